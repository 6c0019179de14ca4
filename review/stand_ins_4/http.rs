//! A small HTTP/1.1 codec for clients, servers and the store.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(known, _)| *known == name).map(|(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; returns `None` if the connection ends before its first byte.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if !read_line(reader, &mut message.first_line)? {
        return Ok(None);
    }
    loop {
        let mut line = String::new();
        if !read_line(reader, &mut line)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        match line.split_once(':') {
            Some((name, value)) => message.headers.push((name.to_owned(), value.trim().to_owned())),
            None => break,
        }
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut size = String::new();
            read_line(reader, &mut size)?;
            let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            message.body.extend(chunk);
            read_line(reader, &mut String::new())?;
            if size == 0 {
                return Ok(Some(message));
            }
        }
    }
    let length = message.header("content-length").and_then(|length| length.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

fn read_line(reader: &mut BufReader<TcpStream>, line: &mut String) -> io::Result<bool> {
    let read = reader.read_line(line)?;
    line.truncate(line.trim_end_matches(['\r', '\n']).len());
    Ok(read > 0)
}

pub fn write_message(stream: &mut impl Write, message: &Message) -> io::Result<()> {
    let mut bytes = format!("{}\r\n", message.first_line);
    for (name, value) in &message.headers {
        bytes += &format!("{name}: {value}\r\n");
    }
    bytes += &format!("Content-Length: {}\r\n\r\n", message.body.len());
    let mut bytes = bytes.into_bytes();
    bytes.extend(&message.body);
    stream.write_all(&bytes)
}

pub fn response(status: &str, headers: &[(&str, &str)], body: impl Into<Vec<u8>>) -> Message {
    message(format!("HTTP/1.1 {status}"), headers, body)
}

pub fn message(first_line: String, headers: &[(&str, &str)], body: impl Into<Vec<u8>>) -> Message {
    let headers = headers.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned()));
    Message { first_line, headers: headers.collect(), body: body.into() }
}

/// Sends one request on a connection of its own; returns `None` if no complete response comes in time.
pub fn exchange(address: SocketAddr, request: &Message, timeout: Duration) -> Option<Message> {
    let begun = Instant::now();
    let mut stream = TcpStream::connect_timeout(&address, timeout.min(Duration::from_secs(1))).ok()?;
    stream.set_nodelay(true).ok()?;
    write_message(&mut stream, request).ok()?;
    let left = timeout.checked_sub(begun.elapsed())?;
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
    read_message(&mut BufReader::new(stream)).ok()?
}
