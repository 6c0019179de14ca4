//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// The longest head that is read.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// How often a port looks for new connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the path without its query.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        let code = self.first_line.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or_default()
    }

    fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads one message; none at the end of the connection.
pub fn read_message<R: Read>(reader: &mut BufReader<R>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut size = 0;
    loop {
        let mut line = String::new();
        let count = reader.read_line(&mut line)?;
        size += count;
        if count == 0 && message.first_line.is_empty() {
            return Ok(None);
        }
        if count == 0 || size > MAX_HEAD_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        match line.split_once(':') {
            Some((name, value)) if !message.first_line.is_empty() => {
                let pair = (name.trim().to_owned(), value.trim().to_owned());
                message.headers.push(pair);
            }
            _ => message.first_line = line.to_owned(),
        }
    }
    let chunked = message.header("transfer-encoding").is_some();
    let length = message
        .header("content-length")
        .and_then(|length| length.parse().ok());
    message.body = match (chunked, length) {
        (true, _) => read_chunks(reader)?,
        (false, length) => read_exact(reader, length.unwrap_or(0))?,
    };
    Ok(Some(message))
}

fn read_exact<R: Read>(reader: &mut BufReader<R>, length: usize) -> io::Result<Vec<u8>> {
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_chunks<R: Read>(reader: &mut BufReader<R>) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let length = usize::from_str_radix(line.trim(), 16);
        let length = length.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        body.extend(read_exact(reader, length)?);
        reader.read_line(&mut String::new())?;
        if length == 0 {
            return Ok(body);
        }
    }
}

/// Encodes a message with the length of its body.
pub fn encode(first_line: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{first_line}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// What a handler answers with.
pub enum Reply {
    Bytes(Vec<u8>),
    /// Nothing: the connection is closed.
    Close,
}

/// A port that is served until it is closed.
pub struct Port {
    closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<Weak<TcpStream>>>>,
}

impl Port {
    /// Closes the port and all of its connections.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
        for stream in self.streams.lock().unwrap().drain(..) {
            if let Some(stream) = stream.upgrade() {
                stream.shutdown(Shutdown::Both).ok();
            }
        }
    }
}

/// Answers the requests of each connection, one after the other, in a thread of its own.
pub fn serve<H>(address: SocketAddr, handle: H) -> io::Result<Port>
where
    H: Fn(Message) -> Reply + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let handle = Arc::new(handle);
    let port = Port {
        closed: Arc::default(),
        streams: Arc::default(),
    };
    let (closed, streams) = (Arc::clone(&port.closed), Arc::clone(&port.streams));
    thread::spawn(move || {
        while !closed.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_INTERVAL);
                continue;
            };
            let stream = Arc::new(stream);
            let mut streams = streams.lock().unwrap();
            streams.retain(|stream| stream.strong_count() > 0);
            streams.push(Arc::downgrade(&stream));
            let handle = Arc::clone(&handle);
            thread::spawn(move || drop(serve_connection(&stream, handle.as_ref())));
        }
    });
    Ok(port)
}

fn serve_connection<H>(stream: &TcpStream, handle: &H) -> io::Result<()>
where
    H: Fn(Message) -> Reply,
{
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    let mut writer = stream;
    let mut reader = BufReader::new(stream);
    while let Some(message) = read_message(&mut reader)? {
        match handle(message) {
            Reply::Bytes(bytes) => writer.write_all(&bytes)?,
            Reply::Close => return Ok(()),
        }
    }
    Ok(())
}

/// Sends a request over a connection of its own and reads the response.
pub fn call(address: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut writer = stream.try_clone()?;
    writer.write_all(request)?;
    let mut reader = BufReader::new(stream);
    read_message(&mut reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
