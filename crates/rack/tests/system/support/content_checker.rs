//! Checks what servers get of a content under which they end.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// How many ends of servers a content may cause before it must not be sent any more.
const MAX_ENDS: usize = 3;

/// What a request asks for, whatever its id: method, path with query, key and body.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Content {
    pub method: String,
    pub uri: String,
    pub key: Option<u16>,
    pub body: Vec<u8>,
}

/// Records by content which servers got a request and which ended under it, over all ids and hosts.
#[derive(Default)]
pub struct ContentChecker {
    contents: Mutex<HashMap<Content, ContentRecord>>,
}

/// What servers got of one content.
#[derive(Clone, Debug, Default)]
pub struct ContentRecord {
    /// When a server got it, the server and the id, in their order.
    pub arrivals: Vec<(Instant, String, String)>,
    /// When a server ended under it, and the server.
    pub ends: Vec<(Instant, String)>,
}

impl Content {
    /// Returns whether the stand-in servers end under this content.
    pub fn ends_servers(&self) -> bool {
        const MARK: &[u8] = b"ends-servers";
        let marked = |bytes: &[u8]| bytes.windows(MARK.len()).any(|part| part == MARK);
        marked(self.uri.as_bytes()) || marked(&self.body)
    }
}

impl ContentRecord {
    /// Returns the arrivals more than `delay` after the third end.
    pub fn arrivals_after_ends(&self, delay: Duration) -> usize {
        let Some((third, _)) = self.ends.get(MAX_ENDS - 1) else {
            return 0;
        };
        let late = self.arrivals.iter().filter(|(at, ..)| *at > *third + delay);
        late.count()
    }
}

impl ContentChecker {
    /// Records that a server starts to work on a request.
    pub fn arrived(&self, content: &Content, server: &str, id: &str) {
        let mut contents = self.contents.lock().unwrap();
        let record = contents.entry(content.clone()).or_default();
        record
            .arrivals
            .push((Instant::now(), server.to_owned(), id.to_owned()));
    }

    /// Records that a server ended under a content.
    pub fn ended(&self, content: &Content, server: &str) {
        let mut contents = self.contents.lock().unwrap();
        let record = contents.entry(content.clone()).or_default();
        record.ends.push((Instant::now(), server.to_owned()));
    }

    /// Forgets all ends: no process runs that could know of them.
    pub fn forget_ends(&self) {
        let mut contents = self.contents.lock().unwrap();
        for record in contents.values_mut() {
            record.ends.clear();
        }
    }

    /// Returns the records of the contents under which servers end whose URI has this part.
    pub fn marked(&self, part: &str) -> Vec<ContentRecord> {
        let contents = self.contents.lock().unwrap();
        let marked = contents.iter().filter(|(content, _)| {
            content.ends_servers() && (content.uri.contains(part) || part.is_empty())
        });
        marked.map(|(_, record)| record.clone()).collect()
    }

    /// Returns the contents that were sent on more than `delay` after the third end under them.
    pub fn violations(&self, delay: Duration) -> Vec<String> {
        let contents = self.contents.lock().unwrap();
        let late = contents.iter().filter_map(|(content, record)| {
            let late = record.arrivals_after_ends(delay);
            (late > 0).then(|| {
                let ends = record.ends.len();
                let uri = &content.uri;
                format!("{uri}: {late} sendings after the third end, {ends} servers ended under it")
            })
        });
        late.collect()
    }
}
