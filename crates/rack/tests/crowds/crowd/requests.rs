//! Texts of requests.

use bytes::Bytes;

/// How the length of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(usize),
    Chunked,
}

/// Time that clients give, in ms: longer than any check takes.
const DEADLINE_MS: u64 = 120_000;

/// Returns the head of an unsafe request to the service beside host 1.
pub fn head(id: &str, framing: Framing) -> Vec<u8> {
    let framing = match framing {
        Framing::Length(bytes) => format!("Content-Length: {bytes}"),
        Framing::Chunked => "Transfer-Encoding: chunked".to_owned(),
    };
    let head = format!(
        "POST /once/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n{framing}\r\n\r\n"
    );
    head.into_bytes()
}

/// Returns a body whose parts differ, so that a lost or doubled part shows.
pub fn body(bytes: usize) -> Bytes {
    let words = (0_u32..).flat_map(u32::to_be_bytes);
    words.take(bytes).collect::<Vec<u8>>().into()
}

/// Returns a chunk of a body.
pub fn chunk(data: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", data.len()).into_bytes();
    chunk.extend_from_slice(data);
    chunk.extend_from_slice(b"\r\n");
    chunk
}
