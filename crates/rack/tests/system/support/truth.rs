//! What really happened, as the backend servers saw it.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Instant;

/// How many keys there are.
const KEYS: usize = 65_536;

/// Is a range of keys that a server holds, with its fencing token.
pub type HeldRange = (u16, u16, u64);

/// Collects what all servers see, and what must never be.
#[derive(Default)]
pub struct Truth {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    runs: HashMap<String, Vec<Run>>,
    holders: HashMap<String, Vec<(HeldRange, Instant)>>,
    /// For all keys the highest token, and who had it.
    highest_tokens: Vec<TokenRange>,
    violations: Vec<String>,
}

/// Is a range of keys with the highest token that any server had them with.
#[derive(Clone, Debug)]
struct TokenRange {
    first: u16,
    last: u16,
    highest: u64,
    holder: String,
}

/// Is one run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub server: String,
    pub at: Instant,
    pub finished: bool,
}

impl Truth {
    /// Notes that a promise was broken.
    pub fn record_violation(&self, what: String) {
        self.state.lock().unwrap().violations.push(what);
    }

    /// Returns the promises that were broken.
    pub fn violations(&self) -> Vec<String> {
        self.state.lock().unwrap().violations.clone()
    }

    /// Notes that a server begins a request.
    pub fn begin(&self, id: &str, server: &str) {
        let run = Run {
            server: server.to_owned(),
            at: Instant::now(),
            finished: false,
        };
        let mut state = self.state.lock().unwrap();
        state.runs.entry(id.to_owned()).or_default().push(run);
    }

    /// Notes that a server has done the work of a request that it began.
    pub fn finish(&self, id: &str, server: &str) {
        let mut state = self.state.lock().unwrap();
        let runs = state.runs.entry(id.to_owned()).or_default();
        let run = runs.iter_mut().rev().find(|run| run.server == server);
        if let Some(run) = run {
            run.finished = true;
        }
    }

    /// Returns the runs of a request.
    pub fn runs(&self, id: &str) -> Vec<Run> {
        let state = self.state.lock().unwrap();
        state.runs.get(id).cloned().unwrap_or_default()
    }

    /// Returns how many requests have run, and how many runs there were beyond the first of each.
    pub fn repeats(&self) -> (usize, usize) {
        let state = self.state.lock().unwrap();
        let runs: usize = state.runs.values().map(Vec::len).sum();
        (state.runs.len(), runs - state.runs.len())
    }

    /// Notes what a life of a server holds until a moment; no other may hold the same key then, and a
    /// key comes to it with a higher token than any other had.
    pub fn hold(&self, incarnation: &str, rows: &[(HeldRange, Instant)]) {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        let State {
            holders,
            highest_tokens,
            violations,
            ..
        } = &mut *state;
        for ((first, last, fence), _) in rows {
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
        holders.insert(incarnation.to_owned(), rows.to_vec());
    }

    /// Notes that a life of a server holds nothing any more.
    pub fn drop_all(&self, incarnation: &str) {
        self.state.lock().unwrap().holders.remove(incarnation);
    }

    /// Returns how many keys some server holds now.
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

/// Notes that a life of a server has a range with its token; returns the first part of it that another had
/// with one as high. It goes by ranges: key by key a stand-in would take as long for a grant as a call may.
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
    // Neighbours that are alike are one, or renewals would make ever more parts.
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
