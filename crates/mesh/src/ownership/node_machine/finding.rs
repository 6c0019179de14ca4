//! Finding a leader, and becoming one.

use std::time::Duration;

use quetzalrack_core::time::Moment;
use rand::Rng;

use super::NodeMachine;
use super::follower::Following;
use super::note::note;
use crate::boundary::AppendOutcome;
use crate::ownership::Action;
use crate::ownership::Epoch;
use crate::ownership::LeaderRead;
use crate::ownership::LeaderRecord;
use crate::ownership::PeerMessage;
use crate::ownership::election::SearchAction;
use crate::ownership::leader::Leader;
use crate::ownership::leader::LeaderClaim;

/// How often other nodes are asked whether they hear the leader.
const ASK_PAUSE: Duration = Duration::from_millis(400);

impl NodeMachine {
    pub(super) fn tick(&mut self, now: Moment, actions: &mut Vec<Action>) {
        if let Some(leader) = &mut self.leader {
            leader.tick(now, actions);
            return;
        }
        self.send_handoff(actions);
        if self.hears_leader(now) {
            self.search.reset();
            return;
        }
        self.ask_others(now, actions);
        let roll = self.random.random();
        match self.search.step(now, &self.profile, &self.times, roll) {
            SearchAction::Wait => {}
            SearchAction::Read => actions.push(Action::ReadLeader),
            SearchAction::Claim {
                topic_end,
                previous,
            } => self.claim(now, topic_end, previous, actions),
        }
    }

    pub(super) fn hears_leader(&self, now: Moment) -> bool {
        self.following.as_ref().is_some_and(|following| {
            let last = following.heard.unwrap_or(following.since);
            !following.resigned && now.since(last) < self.times.leader_timeout
        })
    }

    pub(super) fn ask_others(&mut self, now: Moment, actions: &mut Vec<Action>) {
        let Some(following) = &self.following else {
            return;
        };
        if now.since(self.asked) < ASK_PAUSE {
            return;
        }
        self.asked = now;
        let record = &following.record;
        let others = record
            .voters
            .iter()
            .filter(|voter| voter.node != *self.me());
        for voter in others {
            let ask = PeerMessage::Ask {
                from: self.profile.life.clone(),
                epoch: record.epoch,
                intent: self.intent.offset,
                traffic: self.profile.traffic,
            };
            actions.push(Action::Send(voter.control, ask));
        }
    }

    pub(super) fn claim(
        &mut self,
        now: Moment,
        topic_end: u64,
        previous: Option<LeaderRecord>,
        actions: &mut Vec<Action>,
    ) {
        if self.claim.is_some() || self.leaving {
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
        let record = LeaderRecord {
            epoch,
            leader: self.profile.life.clone(),
            control: self.profile.control,
            voters,
            complete: false,
            alone: true,
        };
        note(
            actions,
            "claim",
            epoch,
            format!("topic ends at {topic_end}"),
        );
        actions.push(Action::WriteLeader {
            end: topic_end,
            record: record.clone(),
        });
        self.claim = Some(LeaderClaim {
            record,
            previous,
            topic_end: topic_end + 1,
            sent_at: now,
        });
    }

    pub(super) fn learn_write(
        &mut self,
        now: Moment,
        outcome: AppendOutcome,
        actions: &mut Vec<Action>,
    ) {
        if let Some(leader) = &mut self.leader {
            leader.handle_write(outcome);
            return;
        }
        match outcome {
            AppendOutcome::Appended => {
                if let Some(start) = self.claim.take() {
                    self.lead(now, start, actions);
                }
            }
            AppendOutcome::Overtaken | AppendOutcome::Refused => {
                self.claim = None;
                self.search.reset();
            }
            // It may stand or land later; the next reads tell.
            AppendOutcome::Unknown => self.search.reset(),
        }
    }

    pub(super) fn lead(&mut self, now: Moment, start: LeaderClaim, actions: &mut Vec<Action>) {
        let epoch = start.record.epoch;
        note(
            actions,
            "leads",
            epoch,
            format!("{} voters", start.record.voters.len()),
        );
        self.follow(now, start.record.clone(), actions);
        let directory = &self.directory;
        let intent = self.intent.clone();
        let leader = Leader::new(now, start, directory, intent, self.times);
        // The directory's versions are another leader's; its content is this one's start.
        self.leader = Some(leader);
        self.call_all(actions);
    }

    /// Tells all known nodes who leads.
    pub(super) fn call_all(&self, actions: &mut Vec<Action>) {
        let Some(leader) = &self.leader else {
            return;
        };
        for (node, entry) in &self.directory.members {
            if *node != self.profile.life.node {
                let lead = PeerMessage::Lead(Box::new(leader.record().clone()));
                actions.push(Action::Send(entry.member.control, lead));
            }
        }
    }

    pub(super) fn learn_read(
        &mut self,
        now: Moment,
        asked: Moment,
        read: LeaderRead,
        actions: &mut Vec<Action>,
    ) {
        if let LeaderRead::Newest(Some(record), _) = &read {
            self.read_epoch = self.read_epoch.max(Some(record.epoch));
        }
        if let Some(leader) = &mut self.leader {
            leader.handle_read(asked, read);
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
        if let Some(start) = self
            .claim
            .take_if(|start| start.record.epoch <= record.epoch)
            && start.record == record
        {
            // Our claim's answer was lost; it stood when this was asked.
            let start = LeaderClaim {
                sent_at: asked,
                topic_end: end,
                ..start
            };
            self.lead(now, start, actions);
            return;
        }
        self.follow(now, record, actions);
    }

    /// Follows the leader of a later epoch, or takes note of what the one that is followed has
    /// written since.
    ///
    /// A leader's first record names the voters of its predecessor, and the very first one none at
    /// all. Whoever kept that would ask nobody whether the leader is still heard, and could only wait
    /// until its refreshes are missed.
    pub(super) fn follow(&mut self, now: Moment, record: LeaderRecord, actions: &mut Vec<Action>) {
        let epoch = record.epoch;
        if let Some(following) = &mut self.following
            && following.record.epoch == epoch
            && following.record.leader == record.leader
        {
            following.record = record;
            return;
        }
        let known = self
            .following
            .as_ref()
            .map(|following| following.record.epoch);
        if known.is_some_and(|known| known >= epoch) {
            return;
        }
        note(
            actions,
            "follows",
            epoch,
            format!("leader {}", record.leader),
        );
        let heard = self.following.as_ref().and_then(|earlier| earlier.heard);
        self.obeyed = heard.map_or(self.obeyed, |heard| heard.max(self.obeyed));
        // What the earlier leader answers from now on is void, or this node could count for both.
        self.outstanding.clear();
        self.directory.start_epoch(epoch);
        self.keep_offered(now);
        // A record that names an earlier process of this very node names nobody who lives.
        let leader = &record.leader;
        let dead = leader.node == self.profile.life.node && *leader != self.profile.life;
        self.following = Some(Following {
            record,
            since: now,
            heard: None,
            stamp: None,
            resigned: dead,
        });
        self.search.reset();
        self.beat_due = now;
    }
}
