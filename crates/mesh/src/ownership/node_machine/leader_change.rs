//! Finding a new leader, following it, and becoming the leader.

use std::sync::Arc;
use std::time::Duration;

use quetzalrack_core::time::Moment;
use rand::Rng;

use super::NodeMachine;
use super::followed_leader::FollowedLeader;
use super::log_entry::log_event;
use crate::boundary::AppendOutcome;
use crate::ownership::Action;
use crate::ownership::Epoch;
use crate::ownership::LeaderRead;
use crate::ownership::LeaderRecord;
use crate::ownership::PeerMessage;
use crate::ownership::election::SearchAction;
use crate::ownership::leader::Leader;
use crate::ownership::leader::LeaderClaim;

/// For how long after the start of a process its records tell which nodes ran before it.
const EARLY_TIME: Duration = Duration::from_secs(5);
/// How often peers are asked whether the leader responds to them.
const QUERY_INTERVAL: Duration = Duration::from_millis(400);

impl NodeMachine {
    pub(super) fn tick(&mut self, now: Moment, actions: &mut Vec<Action>) {
        if let Some(leader) = &mut self.leader {
            leader.tick(now, actions);
            return;
        }
        self.send_handoff(actions);
        if self.is_leader_responsive(now) {
            self.search.reset();
            return;
        }
        self.query_voters(now, actions);
        let jitter = self.random.random();
        match self.search.step(now, &self.profile, &self.times, jitter) {
            SearchAction::Wait => {}
            SearchAction::Read => actions.push(Action::ReadLeader),
            SearchAction::Claim {
                topic_end,
                previous,
            } => self.claim(now, topic_end, previous, actions),
        }
    }

    pub(super) fn is_leader_responsive(&self, now: Moment) -> bool {
        self.followed.as_ref().is_some_and(|followed| {
            let last = followed.reply_at.unwrap_or(followed.since);
            !followed.resigned && now.since(last) < self.times.leader_timeout
        })
    }

    pub(super) fn query_voters(&mut self, now: Moment, actions: &mut Vec<Action>) {
        let Some(followed) = &self.followed else {
            return;
        };
        if now.since(self.queried_at) < QUERY_INTERVAL {
            return;
        }
        self.queried_at = now;
        let record = &followed.record;
        let others = record
            .voters
            .iter()
            .filter(|voter| voter.node != *self.own_name());
        for voter in others {
            let query = PeerMessage::LeaderQuery {
                from: self.profile.incarnation.clone(),
                epoch: record.epoch,
                intent_offset: self.intent.offset,
                traffic: self.profile.traffic,
            };
            actions.push(Action::Send(voter.control, query));
        }
    }

    pub(super) fn claim(
        &mut self,
        now: Moment,
        topic_end: u64,
        previous: Option<LeaderRecord>,
        actions: &mut Vec<Action>,
    ) {
        if self.leaving {
            return;
        }
        if let Some(claim) = &mut self.claim {
            // Both attempts require the same end of the topic, so at most one takes effect.
            if claim.is_unanswered && claim.topic_end == topic_end + 1 {
                claim.is_unanswered = false;
                claim.sent_at = now;
                let record = claim.record.clone();
                actions.push(Action::WriteLeader { topic_end, record });
            }
            return;
        }
        let epoch = previous
            .as_ref()
            .map_or(Epoch::default(), |previous| previous.epoch)
            .next_claim();
        let voters = previous
            .as_ref()
            .map(|previous| previous.voters.clone())
            .unwrap_or_default();
        let departures = previous
            .as_ref()
            .map(|previous| previous.departures.clone())
            .unwrap_or_default();
        let record = LeaderRecord {
            epoch,
            leader: self.profile.incarnation.clone(),
            control: self.profile.control,
            voters,
            takeover_complete: false,
            store_suffices: true,
            departures,
        };
        log_event(
            actions,
            "claim",
            epoch,
            format!("topic ends at {topic_end}"),
        );
        actions.push(Action::WriteLeader {
            topic_end,
            record: record.clone(),
        });
        self.claim = Some(LeaderClaim {
            record,
            previous,
            topic_end: topic_end + 1,
            sent_at: now,
            is_unanswered: false,
        });
    }

    pub(super) fn handle_write(
        &mut self,
        now: Moment,
        outcome: AppendOutcome,
        actions: &mut Vec<Action>,
    ) {
        if let Some(leader) = &mut self.leader {
            leader.handle_write(outcome);
            leader.request_heartbeats(actions);
            return;
        }
        match outcome {
            AppendOutcome::Appended => {
                if let Some(claim) = self.claim.take() {
                    self.lead(now, claim, actions);
                }
            }
            AppendOutcome::Superseded | AppendOutcome::Refused => {
                self.claim = None;
                self.search.reset();
            }
            // The claim may have been appended, or may still be; the next reads tell, and if they show it
            // nowhere, it is sent again.
            AppendOutcome::Unknown => {
                if let Some(claim) = &mut self.claim {
                    claim.is_unanswered = true;
                }
                self.search.reset();
            }
        }
    }

    pub(super) fn lead(&mut self, now: Moment, claim: LeaderClaim, actions: &mut Vec<Action>) {
        let epoch = claim.record.epoch;
        log_event(
            actions,
            "leads",
            epoch,
            format!("{} voters", claim.record.voters.len()),
        );
        self.follow(now, claim.record.clone(), actions);
        let directory = &self.directory;
        let intent = self.intent.clone();
        let leader = Leader::new(now, claim, directory, intent, self.times);
        // The version numbers of the directory belong to another leader; its contents are where this
        // leader starts.
        self.leader = Some(leader);
        self.announce_leader(actions);
    }

    /// Announces this node as the leader to all known nodes.
    pub(super) fn announce_leader(&self, actions: &mut Vec<Action>) {
        let Some(leader) = &self.leader else {
            return;
        };
        for (node, entry) in &self.directory.members {
            if *node != self.profile.incarnation.node {
                let announcement =
                    PeerMessage::LeaderAnnouncement(Box::new(leader.record().announcement()));
                actions.push(Action::Send(entry.member.control, announcement));
            }
        }
    }

    pub(super) fn handle_leader_read(
        &mut self,
        now: Moment,
        begun: Moment,
        read: LeaderRead,
        actions: &mut Vec<Action>,
    ) {
        if let LeaderRead::Newest(Some(record), _) = &read {
            self.read_epoch = self.read_epoch.max(Some(record.epoch));
        }
        if let Some(leader) = &mut self.leader {
            leader.handle_read(begun, read);
            leader.request_heartbeats(actions);
            return;
        }
        let LeaderRead::Newest(record, end) = read else {
            self.search.handle_read_failure();
            return;
        };
        self.search.handle_record(now, record.clone(), end);
        let Some(record) = record else {
            return;
        };
        self.record_stored_departures(now, &record.departures, actions);
        if let Some(claim) = self
            .claim
            .take_if(|claim| claim.record.epoch <= record.epoch)
            && claim.record == record
        {
            // The claim was appended, but the store's response was lost. The claim was already the newest
            // record when this read began.
            let claim = LeaderClaim {
                sent_at: begun,
                topic_end: end,
                ..claim
            };
            self.lead(now, claim, actions);
            return;
        }
        self.follow(now, record, actions);
    }

    /// Follows the leader of a later epoch, or updates the record of the leader already followed.
    ///
    /// A leader's first record names the voters of its predecessor, and the very first leader's none at all.
    /// A node that kept it would ask no peer whether the leader still responds, and could only wait until
    /// the leader stops refreshing its record.
    pub(super) fn follow(&mut self, now: Moment, record: LeaderRecord, actions: &mut Vec<Action>) {
        if now.since(self.started) < EARLY_TIME {
            let voters = record.voters.iter();
            let voters = voters.map(|voter| (voter.node.clone(), voter.control));
            Arc::make_mut(&mut self.early_voters).extend(voters);
        }
        let epoch = record.epoch;
        if let Some(followed) = &mut self.followed
            && followed.record.epoch == epoch
            && followed.record.leader == record.leader
        {
            followed.record = record;
            return;
        }
        let known = self.followed.as_ref().map(|followed| followed.record.epoch);
        if known.is_some_and(|known| known >= epoch) {
            return;
        }
        log_event(
            actions,
            "follows",
            epoch,
            format!("leader {}", record.leader),
        );
        let reply_at = self.followed.as_ref().and_then(|earlier| earlier.reply_at);
        self.prior_reply = reply_at.map_or(self.prior_reply, |at| at.max(self.prior_reply));
        // Later replies of the earlier leader are ignored; otherwise this node could confirm both leaders.
        self.outstanding.clear();
        self.directory.start_epoch(epoch);
        self.keep_held_ranges(now);
        // An earlier process of this node has ended.
        let leader = &record.leader;
        let ended =
            leader.node == self.profile.incarnation.node && *leader != self.profile.incarnation;
        self.followed = Some(FollowedLeader {
            record,
            since: now,
            reply_at: None,
            reply_sent: None,
            resigned: ended,
        });
        self.search.reset();
        self.heartbeat_due = now;
    }
}
