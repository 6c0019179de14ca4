//! HTTP/1.1 messages on blocking connections.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// A request or a response.
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the path and the query of a request.
    pub fn target(&self) -> (&str, &str) {
        let target = self.first.split(' ').nth(1).unwrap_or_default();
        target.split_once('?').unwrap_or((target, ""))
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; `None` if the connection ends before it begins.
pub fn read_message(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if stream.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let mut message = Message {
        first: first.trim_end().to_owned(),
        headers,
        body: Vec::new(),
    };
    let length = message.header("content-length");
    let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    message.body = body;
    Ok(Some(message))
}

/// Returns the bytes of a response with a length.
pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request on a new connection and reads the response.
pub fn call(
    address: SocketAddr,
    head: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut text = format!("{head} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let read = read_message(&mut BufReader::new(stream))?;
    read.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
