//! A minimal HTTP/1.1 reader and writer for the stand-ins.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Result;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// A request or response as it was received.
#[derive(Debug, Default)]
pub struct Message {
    /// The three parts of the first line.
    pub first: [String; 3],
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first[1].parse().unwrap_or_default()
    }
}

/// Reads one message; `None` if the connection ends before it.
pub fn read(reader: &mut BufReader<TcpStream>) -> Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut parts = line.trim_end().splitn(3, ' ').map(str::to_owned);
    let mut message = Message::default();
    for slot in &mut message.first {
        *slot = parts.next().unwrap_or_default();
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            let entry = (name.trim().to_ascii_lowercase(), value.trim().to_owned());
            message.headers.push(entry);
        }
    }
    let length = message.header("content-length").and_then(|text| text.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Writes a response.
pub fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// Sends one request on a connection of its own and reads the response.
pub fn call(
    to: SocketAddr,
    head: &str,
    headers: &str,
    body: &[u8],
    timeout: Duration,
) -> Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let head = format!(
        "{head} HTTP/1.1\r\nConnection: close\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body].concat())?;
    let read = read(&mut BufReader::new(stream))?;
    read.ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
}
