//! The end of a leadership, and its handoff to a successor.

use quetzalrack_core::time::Moment;

use super::NodeMachine;
use super::log_entry::log_event;
use crate::ownership::Action;
use crate::ownership::Epoch;
use crate::ownership::Handoff;
use crate::ownership::PeerMessage;
use crate::ownership::leader::Leader;

impl NodeMachine {
    pub(super) fn check_leadership(&mut self, now: Moment, actions: &mut Vec<Action>) {
        let Some(leader) = &self.leader else {
            return;
        };
        let epoch = leader.record().epoch;
        let followed = self.epoch().is_some_and(|followed| followed > epoch);
        let reason = match () {
            () if followed => "a later leader is followed",
            () if leader.is_superseded() => "a later claim stands in the store",
            () if leader.has_lapsed(now) => "neither store nor majority confirmed it in time",
            () => return,
        };
        self.stand_down(epoch, reason, actions);
    }

    pub(super) fn stand_down(&mut self, epoch: Epoch, reason: &str, actions: &mut Vec<Action>) {
        log_event(actions, "stands_down", epoch, reason.to_owned());
        self.leader = None;
        self.ended_epoch = self.ended_epoch.max(epoch);
        if let Some(followed) = &mut self.followed
            && followed.record.epoch == epoch
        {
            followed.resigned = true;
        }
        self.search.reset();
    }

    pub(super) fn shut_down(&mut self, now: Moment, actions: &mut Vec<Action>) {
        self.leaving = true;
        self.heartbeat_due = now;
        let Some(leader) = &self.leader else {
            return;
        };
        let epoch = leader.record().epoch;
        self.handoff = leader
            .prepare_handoff(now)
            .map(|(successor, handoff)| (successor.control, handoff));
        if self.handoff.is_none() {
            let others = leader
                .responsive_members(now)
                .filter(|member| member.incarnation != self.profile.incarnation);
            let resign = PeerMessage::Resign { epoch };
            actions.extend(others.map(|member| Action::Send(member.control, resign.clone())));
        }
        // From here on this process no longer acts as the leader, so its successor may.
        self.stand_down(epoch, "the node shuts down", actions);
        self.send_handoff(actions);
    }

    /// Sends the handoff, and again until the successor is followed, since datagrams can be lost.
    pub(super) fn send_handoff(&mut self, actions: &mut Vec<Action>) {
        let followed = self.epoch();
        self.handoff
            .take_if(|(_, handoff)| followed >= Some(handoff.record.epoch));
        if let Some((to, handoff)) = &self.handoff {
            let message = PeerMessage::Handoff(Box::new(handoff.clone()));
            actions.push(Action::Send(*to, message));
        }
    }

    /// Takes over the leadership from a leader that handed it off to this process.
    pub(super) fn accept_handoff(
        &mut self,
        now: Moment,
        handoff: &Handoff,
        actions: &mut Vec<Action>,
    ) {
        let epoch = handoff.record.epoch;
        let known = self.epoch().is_some_and(|known| known >= epoch);
        if handoff.successor != self.profile.incarnation
            || known
            || self.ended_epoch >= epoch
            || self.leaving
        {
            return;
        }
        // A handoff that refers to no recent heartbeat of this node is too old.
        let heartbeat = self
            .sent
            .iter()
            .find(|(sequence, _)| *sequence == handoff.sequence);
        let Some((_, sent)) = heartbeat.copied() else {
            return;
        };
        log_event(
            actions,
            "leads",
            epoch,
            "handed on by a leader that shuts down".to_owned(),
        );
        self.follow(now, handoff.record.clone(), actions);
        let intent = self.intent.clone();
        let leader = Leader::from_handoff(now, sent, handoff, &self.directory, intent, self.times);
        self.leader = Some(leader);
        self.announce_leader(actions);
    }
}
