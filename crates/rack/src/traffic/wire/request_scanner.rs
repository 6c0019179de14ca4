//! Finds the requests in the bytes that a client sends.

use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Uri;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use http::request::Parts;

/// How many headers a head may have to be parsed here.
const MAX_HEADERS: usize = 64;
/// How many bytes of an incomplete head are kept.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// The head of a request without a body, and its number on its connection.
#[derive(Debug)]
pub(in crate::traffic) struct ScannedHead {
    pub(in crate::traffic) number: u64,
    pub(in crate::traffic) parts: Parts,
}

/// Finds the heads of requests in the bytes of a connection before the HTTP library does, which
/// reads the next request only after it has answered the one before.
///
/// The result is a hint: the library parses the same bytes, and its result takes precedence. Where
/// the two parsers could differ, at anything but a plain head and a plain length, the scanner
/// stops.
#[derive(Debug, Default)]
pub(in crate::traffic) struct RequestScanner {
    /// The bytes of an incomplete head.
    partial_head: Vec<u8>,
    /// How many bytes of a body are still to be received.
    body_left: usize,
    next_number: u64,
    stopped: bool,
}

impl RequestScanner {
    /// Scans the next bytes and returns the requests without a body that end in them.
    pub(in crate::traffic) fn scan(&mut self, bytes: &[u8]) -> Vec<ScannedHead> {
        let mut heads = Vec::new();
        if self.stopped {
            return heads;
        }
        self.partial_head.extend_from_slice(bytes);
        loop {
            let skipped = self.body_left.min(self.partial_head.len());
            self.partial_head.drain(..skipped);
            self.body_left -= skipped;
            if self.body_left > 0 || self.partial_head.is_empty() {
                return heads;
            }
            match read_head(&self.partial_head) {
                Scan::Partial if self.partial_head.len() <= MAX_HEAD_BYTES => return heads,
                Scan::Partial | Scan::Unclear => {
                    self.stop();
                    return heads;
                }
                Scan::Complete {
                    head_bytes,
                    parts,
                    body_bytes,
                } => {
                    self.partial_head.drain(..head_bytes);
                    self.body_left = body_bytes;
                    let number = self.next_number;
                    self.next_number += 1;
                    if body_bytes == 0 {
                        heads.push(ScannedHead {
                            number,
                            parts: *parts,
                        });
                    }
                }
            }
        }
    }

    /// Returns the number of the request whose head was received in part.
    pub(in crate::traffic) fn partial_request(&self) -> Option<u64> {
        (self.body_left == 0 && !self.partial_head.is_empty()).then_some(self.next_number)
    }

    /// Stops the scanner: it finds no more requests.
    pub(in crate::traffic) fn stop(&mut self) {
        self.stopped = true;
        self.partial_head = Vec::new();
    }
}

enum Scan {
    Partial,
    /// A head that the HTTP library might parse differently.
    Unclear,
    Complete {
        head_bytes: usize,
        parts: Box<Parts>,
        body_bytes: usize,
    },
}

fn read_head(bytes: &[u8]) -> Scan {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head_bytes = match request.parse(bytes) {
        Ok(httparse::Status::Complete(head_bytes)) => head_bytes,
        Ok(httparse::Status::Partial) => return Scan::Partial,
        Err(_) => return Scan::Unclear,
    };
    match to_parts(&request) {
        Some((parts, body_bytes)) => Scan::Complete {
            head_bytes,
            parts: Box::new(parts),
            body_bytes,
        },
        None => Scan::Unclear,
    }
}

fn to_parts(request: &httparse::Request<'_, '_>) -> Option<(Parts, usize)> {
    if request.version != Some(1) {
        return None;
    }
    let mut assembled = Request::new(());
    *assembled.method_mut() = Method::from_bytes(request.method?.as_bytes()).ok()?;
    *assembled.uri_mut() = request.path?.parse::<Uri>().ok()?;
    for header in request.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(header.value).ok()?;
        assembled.headers_mut().append(name, value);
    }
    let (parts, ()) = assembled.into_parts();
    if parts.headers.contains_key(TRANSFER_ENCODING) {
        return None;
    }
    let mut lengths = parts.headers.get_all(CONTENT_LENGTH).iter();
    let body_bytes = match (lengths.next(), lengths.next()) {
        (None, _) => 0,
        (Some(length), None) => length.to_str().ok()?.parse().ok()?,
        (Some(_), Some(_)) => return None,
    };
    Some((parts, body_bytes))
}
