//! The contents under which servers have ended.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::ContentDigest;
use super::ServerEnd;
use super::ServerLife;
use super::SuspectRecord;
use super::Suspicion;
use super::Witness;
use crate::time::Moment;

/// How long a content is remembered after the last news of it.
const RETENTION: Duration = Duration::from_secs(60 * 60);
/// How long content that had been answered before its servers ended is refused before it is tried once more: it
/// may be innocent, and many ask for it.
const RETRIAL_TIME: Duration = Duration::from_secs(60);
/// How many contents are remembered: two for each slot of some fifty servers that end within the hour.
const MAX_CONTENTS: usize = 1_024;
/// How many ends are remembered for each content.
const MAX_ENDS_KEPT: usize = 8;

/// Remembers under which contents servers have ended. It grows only with such ends.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    contents: BTreeMap<ContentDigest, Suspect>,
}

#[derive(Clone, Debug)]
struct Suspect {
    ends: Vec<ServerEnd>,
    changed: Moment,
}

impl SuspectTable {
    /// Returns how strongly a content is suspected.
    pub fn suspicion(&self, now: Moment, content: &ContentDigest) -> Suspicion {
        let suspect = self.contents.get(content);
        suspect.map_or(Suspicion::None, |suspect| suspect.suspicion(now))
    }

    /// Returns the ends under a content.
    pub fn ends(&self, content: &ContentDigest) -> &[ServerEnd] {
        let suspect = self.contents.get(content);
        suspect.map_or(&[], |suspect| &suspect.ends)
    }

    /// Returns how many servers have ended under a content, as far as the ends count.
    pub fn ends_counted(&self, content: &ContentDigest) -> usize {
        let ends = self.ends(content).iter();
        let standing = ends.filter(|end| end.is_standing());
        let servers: BTreeSet<ServerLife> = standing.map(|end| end.server).collect();
        servers.len()
    }

    /// Returns how many contents are remembered.
    pub fn len(&self) -> usize {
        self.contents.len()
    }

    /// Returns whether no content is remembered.
    pub fn is_empty(&self) -> bool {
        self.contents.is_empty()
    }

    /// Returns everything that is remembered.
    pub fn records(&self) -> Vec<SuspectRecord> {
        let contents = self.contents.iter();
        let records = contents.map(|(content, suspect)| SuspectRecord {
            content: *content,
            ends: suspect.ends.clone(),
        });
        records.collect()
    }

    /// Returns what is remembered of a content.
    pub fn record(&self, content: &ContentDigest) -> Option<SuspectRecord> {
        let suspect = self.contents.get(content)?;
        Some(SuspectRecord {
            content: *content,
            ends: suspect.ends.clone(),
        })
    }

    /// Records that a server ended under a content; returns whether that is new.
    pub fn record_end(
        &mut self,
        now: Moment,
        content: ContentDigest,
        server: ServerLife,
        witness: Witness,
        answered_before: bool,
    ) -> bool {
        let known = self.ends(&content).iter();
        let known = known.copied().find(|end| {
            let other = (end.server, end.witness);
            other == (server, witness)
        });
        let round = match known {
            Some(known) if known.is_standing() => return false,
            Some(known) => known.round.saturating_add(1),
            None => 1,
        };
        let end = ServerEnd {
            server,
            witness,
            round,
            answered_before,
        };
        self.merge_end(now, content, end)
    }

    /// Takes back those ends under a content that were known when a request of it was sent which a server has
    /// answered; returns whether any still counted.
    pub fn clear(&mut self, now: Moment, content: &ContentDigest, known: &[ServerEnd]) -> bool {
        let Some(suspect) = self.contents.get_mut(content) else {
            return false;
        };
        let mut cleared = false;
        for end in suspect.ends.iter_mut().filter(|end| end.is_standing()) {
            if known.contains(end) {
                end.round = end.round.saturating_add(1);
                cleared = true;
            }
        }
        if cleared {
            suspect.changed = now;
        }
        cleared
    }

    /// Takes back that a server has ended, since it is alive; returns the contents of which that is news.
    pub fn retract(
        &mut self,
        now: Moment,
        server: ServerLife,
        witness: Witness,
    ) -> Vec<ContentDigest> {
        let mut changed = Vec::new();
        for (content, suspect) in &mut self.contents {
            let mut ends = suspect.ends.iter_mut();
            let end = ends.find(|end| {
                let other = (end.server, end.witness);
                end.is_standing() && other == (server, witness)
            });
            if let Some(end) = end {
                end.round = end.round.saturating_add(1);
                suspect.changed = now;
                changed.push(*content);
            }
        }
        changed
    }

    /// Records that a content had been answered before this end, which the node beside the server did not know;
    /// returns whether that is new.
    pub fn excuse(&mut self, now: Moment, content: &ContentDigest, end: &ServerEnd) -> bool {
        let is_blamed = end.is_standing() && !end.answered_before && end.witness == Witness::Beside;
        let excused = ServerEnd {
            round: end.round.saturating_add(2),
            answered_before: true,
            ..*end
        };
        is_blamed && self.merge_end(now, *content, excused)
    }

    /// Returns whether the node beside a server has seen its end.
    pub fn has_ended(&self, server: ServerLife) -> bool {
        let mut ends = self.contents.values().flat_map(Suspect::standing);
        ends.any(|end| end.server == server && end.witness == Witness::Beside)
    }

    /// Merges what another node knows; returns whether that is news.
    pub fn merge(&mut self, now: Moment, content: ContentDigest, ends: &[ServerEnd]) -> bool {
        let mut changed = false;
        for end in ends {
            changed |= self.merge_end(now, content, *end);
        }
        changed
    }

    /// Returns whether another node, which knows these ends under a content, knows all that count here.
    pub fn is_covered(&self, content: &ContentDigest, told: &[ServerEnd]) -> bool {
        let standing = self.ends(content).iter().filter(|end| end.is_standing());
        let mut unknown = standing.filter(|end| {
            let known = told.iter().find(|known| known.is_same(end));
            known.is_none_or(|known| known.round < end.round)
        });
        unknown.next().is_none()
    }

    /// Forgets what is old.
    pub fn expire(&mut self, now: Moment) {
        self.contents
            .retain(|_, suspect| now.since(suspect.changed) < RETENTION);
    }

    fn merge_end(&mut self, now: Moment, content: ContentDigest, end: ServerEnd) -> bool {
        // What was taken back and is not known here is no news.
        if !self.contents.contains_key(&content) {
            if !end.is_standing() {
                return false;
            }
            self.make_room();
        }
        let suspect = self.contents.entry(content).or_insert_with(|| Suspect {
            ends: Vec::new(),
            changed: now,
        });
        let changed = suspect.merge_end(end);
        if changed {
            suspect.changed = now;
        }
        changed
    }

    /// Drops the least suspected content, of several the one without news for the longest time.
    fn make_room(&mut self) {
        if self.contents.len() < MAX_CONTENTS {
            return;
        }
        let standing = |suspect: &Suspect| suspect.standing().count();
        let least = self
            .contents
            .iter()
            .min_by_key(|(_, suspect)| (standing(suspect), suspect.changed));
        if let Some((content, _)) = least {
            let content = *content;
            self.contents.remove(&content);
        }
    }
}

impl Suspect {
    fn standing(&self) -> impl Iterator<Item = &ServerEnd> {
        self.ends.iter().filter(|end| end.is_standing())
    }

    fn suspicion(&self, now: Moment) -> Suspicion {
        let was_answered = self.standing().any(|end| end.answered_before);
        match self.judge() {
            Suspicion::Poison { .. } if was_answered && now.since(self.changed) >= RETRIAL_TIME => {
                Suspicion::LAST_TRIAL
            }
            suspicion => suspicion,
        }
    }

    fn judge(&self) -> Suspicion {
        let judge = |ends: &[&ServerEnd], certain| {
            let servers: BTreeSet<ServerLife> = ends.iter().map(|end| end.server).collect();
            let unanswered: BTreeSet<ServerLife> = ends
                .iter()
                .filter(|end| !end.answered_before)
                .map(|end| end.server)
                .collect();
            let answered = servers.len() - unanswered.len();
            Suspicion::of(unanswered.len(), answered, certain)
        };
        let all: Vec<&ServerEnd> = self.standing().collect();
        let seen = self.standing();
        let seen: Vec<&ServerEnd> = seen.filter(|end| end.witness == Witness::Beside).collect();
        match judge(&seen, true) {
            poison @ Suspicion::Poison { .. } => poison,
            _ => judge(&all, false),
        }
    }

    fn merge_end(&mut self, end: ServerEnd) -> bool {
        if let Some(known) = self.ends.iter_mut().find(|known| known.is_same(&end)) {
            let newer = end.round > known.round;
            if newer {
                *known = end;
            }
            return newer;
        }
        if self.ends.len() >= MAX_ENDS_KEPT {
            let Some(index) = self.ends.iter().position(|end| !end.is_standing()) else {
                return false;
            };
            self.ends.remove(index);
        }
        self.ends.push(end);
        true
    }
}
