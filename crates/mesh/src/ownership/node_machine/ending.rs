//! The end of a leadership, and its handing on.

use quetzalrack_core::time::Moment;

use super::NodeMachine;
use super::note::note;
use crate::ownership::Action;
use crate::ownership::Epoch;
use crate::ownership::Handoff;
use crate::ownership::PeerMessage;
use crate::ownership::leader::Leader;

impl NodeMachine {
    pub(super) fn stand_down_if_over(&mut self, now: Moment, actions: &mut Vec<Action>) {
        let Some(leader) = &self.leader else {
            return;
        };
        let epoch = leader.record().epoch;
        let followed = self.epoch().is_some_and(|followed| followed > epoch);
        let why = match () {
            () if followed => "a later leader is followed",
            () if leader.is_superseded() => "a later claim stands in the store",
            () if leader.has_lapsed(now) => "neither store nor majority confirmed it in time",
            () => return,
        };
        self.stand_down(epoch, why, actions);
    }

    pub(super) fn stand_down(&mut self, epoch: Epoch, why: &str, actions: &mut Vec<Action>) {
        note(actions, "stands_down", epoch, why.to_owned());
        self.leader = None;
        self.stood_down = self.stood_down.max(epoch);
        if let Some(following) = &mut self.following
            && following.record.epoch == epoch
        {
            following.resigned = true;
        }
        self.search.reset();
    }

    pub(super) fn shut_down(&mut self, now: Moment, actions: &mut Vec<Action>) {
        self.leaving = true;
        self.beat_due = now;
        let Some(leader) = &self.leader else {
            return;
        };
        let epoch = leader.record().epoch;
        self.handing = leader
            .prepare_handoff(now)
            .map(|(successor, handoff)| (successor.control, handoff));
        if self.handing.is_none() {
            let others = leader
                .responsive_members(now)
                .filter(|member| member.life != self.profile.life);
            let resign = PeerMessage::Resign { epoch };
            actions.extend(others.map(|member| Action::Send(member.control, resign.clone())));
        }
        // From here on this process does not act as a leader any more, so its successor may.
        self.stand_down(epoch, "the node shuts down", actions);
        self.send_handoff(actions);
    }

    /// Sends what is handed on, until its receiver is followed; datagrams are lost now and then.
    pub(super) fn send_handoff(&mut self, actions: &mut Vec<Action>) {
        let followed = self.epoch();
        self.handing
            .take_if(|(_, handoff)| followed >= Some(handoff.record.epoch));
        if let Some((to, handoff)) = &self.handing {
            let message = PeerMessage::Handoff(Box::new(handoff.clone()));
            actions.push(Action::Send(*to, message));
        }
    }

    /// Goes on as the leader where another has stopped.
    pub(super) fn take_over(&mut self, now: Moment, handoff: &Handoff, actions: &mut Vec<Action>) {
        let epoch = handoff.record.epoch;
        let known = self.epoch().is_some_and(|known| known >= epoch);
        if handoff.to != self.profile.life || known || self.stood_down >= epoch || self.leaving {
            return;
        }
        // A handoff that names no recent beat has been on its way for too long.
        let beat = self
            .sent
            .iter()
            .find(|(sequence, _)| *sequence == handoff.sequence);
        let Some((_, written)) = beat.copied() else {
            return;
        };
        note(
            actions,
            "leads",
            epoch,
            "handed on by a leader that shuts down".to_owned(),
        );
        self.follow(now, handoff.record.clone(), actions);
        let intent = self.intent.clone();
        let leader =
            Leader::from_handoff(now, written, handoff, &self.directory, intent, self.times);
        self.leader = Some(leader);
        self.call_all(actions);
    }
}
