//! Record of what the backend servers did, and of the guarantees that were violated.

use std::collections::HashMap;
use std::hash::DefaultHasher;
use std::hash::Hasher;
use std::sync::Mutex;
use std::time::Instant;

use super::content_checker::ContentChecker;
use super::notice_checker::NoticeChecker;

/// Size of the key space.
const KEYS: usize = 65_536;

/// A range of keys that a server holds: first key, last key and fencing token.
pub type HeldRange = (u16, u16, u64);

/// Collects what all servers did and each violated guarantee.
#[derive(Default)]
pub struct Truth {
    /// What servers said of themselves, and what they got afterwards.
    pub notices: NoticeChecker,
    /// What servers got of contents under which they end.
    pub contents: ContentChecker,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    runs: HashMap<String, Vec<Run>>,
    /// Length and digest of the long bodies that servers got, by id.
    long_bodies: HashMap<String, Vec<(usize, u64)>>,
    holders: HashMap<String, Vec<(HeldRange, Instant)>>,
    /// The highest token of each key and its holder, by ranges that cover the key space.
    highest_tokens: Vec<TokenRange>,
    violations: Vec<String>,
}

/// A range of keys with the highest token that any server has held it with.
#[derive(Clone, Debug)]
struct TokenRange {
    first: u16,
    last: u16,
    highest: u64,
    holder: String,
}

/// One execution of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub server: String,
    pub at: Instant,
    pub finished: bool,
}

impl Truth {
    pub fn record_violation(&self, what: String) {
        self.state.lock().unwrap().violations.push(what);
    }

    pub fn violations(&self) -> Vec<String> {
        self.state.lock().unwrap().violations.clone()
    }

    /// Records that a server starts executing a request.
    pub fn begin(&self, id: &str, server: &str) {
        let run = Run {
            server: server.to_owned(),
            at: Instant::now(),
            finished: false,
        };
        let mut state = self.state.lock().unwrap();
        state.runs.entry(id.to_owned()).or_default().push(run);
    }

    /// Records that a server has finished a request that it started.
    pub fn finish(&self, id: &str, server: &str) {
        let mut state = self.state.lock().unwrap();
        let runs = state.runs.entry(id.to_owned()).or_default();
        let run = runs.iter_mut().rev().find(|run| run.server == server);
        if let Some(run) = run {
            run.finished = true;
        }
    }

    /// Returns the executions of a request.
    pub fn runs(&self, id: &str) -> Vec<Run> {
        let state = self.state.lock().unwrap();
        state.runs.get(id).cloned().unwrap_or_default()
    }

    /// Records a long body that a server got.
    pub fn record_long_body(&self, id: &str, body: &[u8]) {
        let got = (body.len(), digest(body));
        let mut state = self.state.lock().unwrap();
        state
            .long_bodies
            .entry(id.to_owned())
            .or_default()
            .push(got);
    }

    /// Returns length and digest of the long bodies that servers got with this id.
    pub fn long_bodies(&self, id: &str) -> Vec<(usize, u64)> {
        let state = self.state.lock().unwrap();
        state.long_bodies.get(id).cloned().unwrap_or_default()
    }

    /// Returns how many requests were executed, and the number of executions beyond the first of
    /// each.
    pub fn repeats(&self) -> (usize, usize) {
        let state = self.state.lock().unwrap();
        let runs: usize = state.runs.values().map(Vec::len).sum();
        (state.runs.len(), runs - state.runs.len())
    }

    /// Records what an incarnation of a server holds, and until when. Records a violation if
    /// another holds one of the keys, or had it with a token that is not lower.
    pub fn hold(&self, incarnation: &str, ranges: &[(HeldRange, Instant)]) {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        let State {
            holders,
            highest_tokens,
            violations,
            ..
        } = &mut *state;
        for ((first, last, fence), _) in ranges {
            for (other, held) in holders.iter() {
                let mut live = held.iter().filter(|(_, end)| *end > now);
                let common = live.find(|((a, b, _), _)| a <= last && b >= first);
                if let Some((common, end)) = common.filter(|_| other != incarnation) {
                    violations.push(format!(
                        "{incarnation} gets {first}-{last}#{fence} while {other} holds {common:?} for {:?}",
                        *end - now
                    ));
                }
            }
            let outdated = raise_token(highest_tokens, incarnation, (*first, *last, *fence));
            violations.extend(outdated.map(|known| {
                let TokenRange {
                    first: key,
                    highest,
                    holder,
                    ..
                } = known;
                format!("{incarnation} gets {key} with {fence}, and {holder} had it with {highest}")
            }));
        }
        holders.insert(incarnation.to_owned(), ranges.to_vec());
    }

    /// Records that an incarnation of a server no longer holds any keys.
    pub fn drop_all(&self, incarnation: &str) {
        self.state.lock().unwrap().holders.remove(incarnation);
    }

    /// Returns how many keys are held by any server now.
    pub fn held(&self) -> usize {
        let now = Instant::now();
        let state = self.state.lock().unwrap();
        let mut keys = vec![false; KEYS];
        let live = state.holders.values().flatten();
        for ((first, last, _), _) in live.filter(|(_, until)| *until > now) {
            keys[usize::from(*first)..=usize::from(*last)].fill(true);
        }
        keys.iter().filter(|held| **held).count()
    }
}

/// Returns the digest of a body.
pub fn digest(body: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(body);
    hasher.finish()
}

/// Records a range and its token for an incarnation of a server; returns the first part that
/// another had with a token at least as high. Works on ranges, because a stand-in that went through
/// single keys would exceed the time limit of a grant call.
fn raise_token(
    highest_tokens: &mut Vec<TokenRange>,
    incarnation: &str,
    (first, last, fence): HeldRange,
) -> Option<TokenRange> {
    if highest_tokens.is_empty() {
        highest_tokens.push(TokenRange {
            first: 0,
            last: u16::MAX,
            highest: 0,
            holder: String::new(),
        });
    }
    let mut outdated = None;
    let mut parts: Vec<TokenRange> = Vec::new();
    for known in highest_tokens.drain(..) {
        if known.last < first || known.first > last {
            parts.push(known);
            continue;
        }
        let (from, to) = (known.first.max(first), known.last.min(last));
        let part = |first, last| TokenRange {
            first,
            last,
            ..known.clone()
        };
        if known.holder != incarnation && known.highest >= fence {
            outdated.get_or_insert(part(from, to));
        }
        if known.first < from {
            parts.push(part(known.first, from - 1));
        }
        parts.push(TokenRange {
            highest: known.highest.max(fence),
            holder: incarnation.to_owned(),
            ..part(from, to)
        });
        if known.last > to {
            parts.push(part(to + 1, known.last));
        }
    }
    // Merges equal neighbours; otherwise each renewal would add ranges.
    parts.dedup_by(|next, part| {
        let alike = part.highest == next.highest && part.holder == next.holder;
        if alike {
            part.last = next.last;
        }
        alike
    });
    *highest_tokens = parts;
    outdated
}
