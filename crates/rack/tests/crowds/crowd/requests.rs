//! Texts of requests.

use bytes::Bytes;

use super::Script;

/// How the length of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(usize),
    Chunked,
}

/// Size of a write.
const BLOCK_BYTES: usize = 65_536;
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

/// Returns as many bytes of a body as one write holds.
pub fn block() -> Bytes {
    body(BLOCK_BYTES)
}

/// Returns a script that announces a body and writes it but for its last bytes.
pub fn with_length(id: &str, bytes: usize, missing: usize) -> Script {
    let sent = bytes - missing;
    Script {
        start: head(id, Framing::Length(bytes)).into(),
        piece: block(),
        pieces: sent / BLOCK_BYTES,
        end: block().slice(..sent % BLOCK_BYTES),
        reads: true,
    }
}

/// Returns a script that writes this many chunks and stops before the last byte of the next.
pub fn in_chunks(id: &str, chunk_bytes: usize, chunks: usize) -> Script {
    let piece = Bytes::from(chunk(&body(chunk_bytes)));
    // The line break behind the chunk is missing too.
    let short = piece.slice(..piece.len() - 3);
    Script {
        start: head(id, Framing::Chunked).into(),
        piece,
        pieces: chunks,
        end: short,
        reads: true,
    }
}
