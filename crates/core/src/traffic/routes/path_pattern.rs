//! The pattern of a route's path.

/// Matches paths segment by segment: `{key}` stands for the key, `{any}` for any other segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PathPattern {
    segments: Vec<Segment>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Segment {
    Literal(String),
    Key,
    Any,
}

impl PathPattern {
    /// Parses a pattern as it is written in a document.
    pub fn new(path: &str) -> Self {
        let segments = split(path)
            .map(|segment| match segment {
                "{key}" => Segment::Key,
                "{any}" => Segment::Any,
                literal => Segment::Literal(literal.to_owned()),
            })
            .collect();
        Self { segments }
    }

    /// Returns the number of segments.
    pub fn length(&self) -> usize {
        self.segments.len()
    }

    /// Matches a path; the inner value is the key's segment, still percent-encoded.
    pub fn matches<'a>(&self, path: &'a str) -> Option<Option<&'a str>> {
        let mut key = None;
        let mut parts = split(path);
        for segment in &self.segments {
            let text = parts.next()?;
            match segment {
                Segment::Literal(literal) if literal != text => return None,
                Segment::Literal(_) => {}
                Segment::Key | Segment::Any if text.is_empty() => return None,
                Segment::Key => key = Some(text),
                Segment::Any => {}
            }
        }
        parts.next().is_none().then_some(key)
    }
}

/// Counts the segments of a path.
pub(super) fn count_segments(path: &str) -> usize {
    split(path).count()
}

/// Percent-decodes a segment. A key must have one hash however a caller encodes it; otherwise two
/// nodes could each own one encoding of it.
pub(super) fn decode_segment(segment: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(segment.len());
    let mut rest = segment.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let high = char::from(rest.next()?).to_digit(16)?;
        let low = char::from(rest.next()?).to_digit(16)?;
        bytes.push((high * 16 + low) as u8);
    }
    String::from_utf8(bytes).ok()
}

fn split(path: &str) -> std::str::Split<'_, char> {
    path.strip_prefix('/').unwrap_or(path).split('/')
}
