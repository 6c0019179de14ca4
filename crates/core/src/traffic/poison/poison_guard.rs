//! Keeps requests under which servers end from taking one server after the other.

use super::AnsweredContents;
use super::ContentDigest;
use super::RunId;
use super::RunningRequest;
use super::ServerEnd;
use super::ServerLife;
use super::ServerWatch;
use super::SuspectRecord;
use super::SuspectTable;
use super::Suspicion;
use super::TrialVerdict;
use super::Witness;
use crate::ids::RouteName;
use crate::time::Moment;

/// One node's knowledge of suspected contents, and of what is under way at the server beside it.
#[derive(Clone, Debug, Default)]
pub struct PoisonGuard {
    table: SuspectTable,
    watch: ServerWatch,
    answered: AnsweredContents,
}

impl PoisonGuard {
    /// Returns the table of suspected contents.
    pub fn table(&self) -> &SuspectTable {
        &self.table
    }

    /// Returns how strongly a content is suspected.
    pub fn suspicion(&self, now: Moment, content: &ContentDigest) -> Suspicion {
        self.table.suspicion(now, content)
    }

    /// Decides whether a request may be sent to the server beside this node.
    ///
    /// The innocent that were under way with a guilty one must not be retried together with it again: during the
    /// trial that may convict a content, no other suspect is under way there.
    pub fn try_send(&self, now: Moment, content: &ContentDigest) -> TrialVerdict {
        let suspicion = self.table.suspicion(now, content);
        let under_way = |matches: fn(Suspicion) -> bool| {
            let mut others = self.watch.contents().filter(|other| *other != content);
            others.any(|other| matches(self.table.suspicion(now, other)))
        };
        match suspicion {
            Suspicion::None => TrialVerdict::Send,
            Suspicion::Poison { certain } => TrialVerdict::Refuse { certain },
            Suspicion::Suspected { .. } if self.watch.copies(content) > 0 => TrialVerdict::Wait,
            last if last.is_last_trial() && under_way(Suspicion::is_suspected) => {
                TrialVerdict::Wait
            }
            Suspicion::Suspected { .. } if under_way(Suspicion::is_last_trial) => {
                TrialVerdict::Wait
            }
            Suspicion::Suspected { .. } => TrialVerdict::Send,
        }
    }

    /// Records that a request is about to be written to a server.
    pub fn begin(
        &mut self,
        now: Moment,
        server: ServerLife,
        content: ContentDigest,
        route: RouteName,
    ) -> RunId {
        self.watch.begin(RunningRequest {
            begun: now,
            server,
            content,
            route,
            known: self.table.ends(&content).to_vec(),
            is_last_trial: self.table.suspicion(now, &content).is_last_trial(),
            ended: false,
        })
    }

    /// Records that a server answered a request; returns news for the other nodes.
    pub fn record_answer(&mut self, now: Moment, run: RunId) -> Vec<SuspectRecord> {
        let Some(request) = self.watch.answered(run) else {
            return Vec::new();
        };
        self.answered.insert(request.content);
        if request.ended {
            // The server answered this one before it ended, so it ended under another.
            let ends = self.table.ends(&request.content).iter();
            let same = ends.filter(|end| end.server == request.server);
            let same: Vec<ServerEnd> = same.copied().collect();
            let cleared = self.table.clear(now, &request.content, &same);
            return self.records(cleared.then_some(request.content).into_iter().collect());
        }
        let mut changed = self.table.retract(now, request.server, Witness::Beside);
        if self.table.clear(now, &request.content, &request.known) {
            changed.push(request.content);
        }
        self.records(changed)
    }

    /// Records that a server certainly did not run a request.
    pub fn record_not_run(&mut self, run: RunId) {
        self.watch.not_run(run);
    }

    /// Records that nobody waits for the answer to a request any more.
    pub fn record_cancelled(&mut self, now: Moment, run: RunId) {
        self.watch.cancelled(now, run);
    }

    /// Records the end of the server beside this node; returns what was under way there.
    pub fn record_end(&mut self, now: Moment, server: ServerLife) -> Vec<RunningRequest> {
        let ended = self.watch.end(now, server);
        for request in &ended {
            let content = request.content;
            let answered_before = !request.is_last_trial && self.is_known_answered(&content);
            self.table
                .record_end(now, content, server, Witness::Beside, answered_before);
        }
        ended
    }

    /// Records that the node beside a server was lost with a request, and perhaps the server as well; returns
    /// whether that is news.
    ///
    /// Nodes are lost together, with popular content under way at each. So such a loss counts like the end of a
    /// server under content that had been answered, and not at all if this one had, nor if the server had ended
    /// before: the request waited at the node for the next one. Only that of a last trial convicts.
    pub fn record_lost(
        &mut self,
        now: Moment,
        content: ContentDigest,
        server: ServerLife,
        was_last_trial: bool,
    ) -> bool {
        let is_excused = self.is_known_answered(&content) || self.table.has_ended(server);
        let answered_before = !was_last_trial;
        !is_excused
            && self
                .table
                .record_end(now, content, server, Witness::Sender, answered_before)
    }

    /// Records that a request was answered by way of another node.
    pub fn record_answer_elsewhere(&mut self, content: ContentDigest) {
        self.answered.insert(content);
    }

    /// Takes back what [`Self::record_lost`] recorded, since the server is alive or the node beside it knows
    /// better; returns news for the other nodes.
    pub fn retract_lost(&mut self, now: Moment, server: ServerLife) -> Vec<SuspectRecord> {
        let changed = self.table.retract(now, server, Witness::Sender);
        self.records(changed)
    }

    /// Merges what another node knows; returns news for the other nodes.
    ///
    /// A process that has just started takes popular content for one that was never answered. Nodes that know
    /// better put that right, except for the ends of last trials, which count in full.
    pub fn merge(
        &mut self,
        now: Moment,
        content: ContentDigest,
        ends: &[ServerEnd],
    ) -> Vec<SuspectRecord> {
        let mut corrected = false;
        for end in ends {
            let before = self.table.suspicion(now, &content);
            let is_in_full = before.is_last_trial() || before.is_poison();
            let is_news = self.table.merge(now, content, &[*end]);
            if is_news && !is_in_full && self.answered.contains(&content) {
                corrected |= self.table.excuse(now, &content, end);
            }
        }
        self.records(corrected.then_some(content).into_iter().collect())
    }

    /// Forgets what is old.
    pub fn expire(&mut self, now: Moment) {
        self.table.expire(now);
    }

    /// Returns whether this node or one beside a server that ended has seen a request of a content answered.
    fn is_known_answered(&self, content: &ContentDigest) -> bool {
        let mut ends = self.table.ends(content).iter();
        let seen = ends.any(|end| end.answered_before && end.witness == Witness::Beside);
        seen || self.answered.contains(content)
    }

    /// Returns what is known of these contents.
    pub fn records(&self, contents: Vec<ContentDigest>) -> Vec<SuspectRecord> {
        let records = contents.iter().map(|content| self.table.record(content));
        records.flatten().collect()
    }
}
