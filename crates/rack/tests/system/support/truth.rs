//! What really happened, as the backend servers saw it.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Instant;

/// How many keys there are.
const KEYS: usize = 65_536;

/// Is a range of keys that a server holds, with its fencing token.
pub type Row = (u16, u16, u64);

/// Collects what all servers see, and what must never be.
#[derive(Default)]
pub struct Truth {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    runs: HashMap<String, Vec<Run>>,
    holders: HashMap<String, Vec<(Row, Instant)>>,
    /// For each key the highest token, and who had it.
    fences: HashMap<u16, (u64, String)>,
    broken: Vec<String>,
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
    pub fn broken(&self, what: String) {
        self.state.lock().unwrap().broken.push(what);
    }

    /// Returns the promises that were broken.
    pub fn all_broken(&self) -> Vec<String> {
        self.state.lock().unwrap().broken.clone()
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
    pub fn hold(&self, life: &str, rows: &[(Row, Instant)]) {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        let State {
            holders,
            fences,
            broken,
            ..
        } = &mut *state;
        for ((first, last, fence), _) in rows {
            for (other, held) in holders.iter() {
                let mut live = held.iter().filter(|(_, end)| *end > now);
                let common = live.find(|((a, b, _), _)| a <= last && b >= first);
                if let Some((common, end)) = common.filter(|_| other != life) {
                    broken.push(format!(
                        "{life} gets {first}-{last}#{fence} while {other} holds {common:?} for {:?}",
                        *end - now
                    ));
                }
            }
            for key in *first..=*last {
                let (highest, holder) = fences.entry(key).or_default();
                if holder != life && *highest >= *fence {
                    broken.push(format!(
                        "{life} gets {key} with {fence}, and {holder} had it with {highest}"
                    ));
                    break;
                }
                *highest = (*highest).max(*fence);
                life.clone_into(holder);
            }
        }
        holders.insert(life.to_owned(), rows.to_vec());
    }

    /// Notes that a life of a server holds nothing any more.
    pub fn drop_all(&self, life: &str) {
        self.state.lock().unwrap().holders.remove(life);
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
