//! Messages by which a controller announces its ballot.

use std::time::Duration;

use super::Context;
use super::Controller;
use super::Outbox;
use super::PeerEntry;
use super::SliceState;
use crate::ids::NodeName;
use crate::ownership::PeerMessage;
use crate::ownership::message::ControllerAnnouncement;
use crate::time::Moment;

/// Interval between messages to the next deputies. Losing three in a row takes less than the
/// deputies' detection time.
const ANNOUNCEMENT_PERIOD: Duration = Duration::from_millis(100);
/// Number of deputies that get these messages. Later deputies wait longer than two heartbeats in
/// any case.
const MAX_ANNOUNCED_DEPUTIES: usize = 2;
/// Interval between messages to the voters while a lapsed slice waits for a majority round.
const LAPSE_ANNOUNCEMENT_PERIOD: Duration = Duration::from_millis(40);
/// Interval between messages to a node that has not answered the first few.
const SLOW_ATTEMPT_PERIOD: Duration = Duration::from_millis(800);
/// Number of messages sent to an unresponsive node at the short interval.
const MAX_QUICK_ATTEMPTS: u32 = 5;

impl Controller {
    /// Sends the due messages: to each node that has not answered yet, and always to the next
    /// deputies.
    pub(super) fn send_announcements(&mut self, context: &Context<'_>, out: &mut Outbox) {
        self.announce_to_new_peers(context, out);
        let has_lapsed = self
            .slices
            .values()
            .any(|entry| matches!(entry.state, SliceState::Lapsed(_)));
        let period = if has_lapsed {
            LAPSE_ANNOUNCEMENT_PERIOD
        } else {
            ANNOUNCEMENT_PERIOD
        };
        let due = self
            .last_announcements
            .is_none_or(|sent| context.now.since(sent) >= period);
        if !due {
            return;
        }
        self.last_announcements = Some(context.now);
        let next = self.ballot.rank.0 as usize + 1;
        let controllers = self.term.claim.controllers.iter();
        let deputies = controllers.skip(next).take(MAX_ANNOUNCED_DEPUTIES);
        let mut nodes: Vec<NodeName> = deputies.map(|member| member.node.clone()).collect();
        nodes.push(context.own.node.clone());
        if has_lapsed {
            nodes.extend(self.term.voter_names());
        }
        nodes.sort();
        nodes.dedup();
        for node in nodes {
            self.send_announcement(context, &node, false, false, out);
        }
    }

    /// Asks a node for an immediate heartbeat, because there is something to send in the answer.
    pub(super) fn request_heartbeat(
        &mut self,
        context: &Context<'_>,
        node: &NodeName,
        out: &mut Outbox,
    ) {
        self.send_announcement(context, node, true, false, out);
    }

    /// Sends the term to a node that does not know this controller.
    pub(in crate::ownership::machine) fn send_term(
        &mut self,
        context: &Context<'_>,
        node: &NodeName,
        out: &mut Outbox,
    ) {
        self.send_announcement(context, node, true, true, out);
    }

    fn announce_to_new_peers(&mut self, context: &Context<'_>, out: &mut Outbox) {
        let due = |(node, peer): (&NodeName, &PeerEntry)| {
            let silent = peer.last_heartbeat.is_none() && !self.authority.has_acknowledged(node);
            (silent && is_attempt_due(peer, context.now)).then(|| node.clone())
        };
        let new_peers: Vec<NodeName> = self.peers.iter().filter_map(due).collect();
        for node in new_peers {
            if let Some(peer) = self.peers.get_mut(&node) {
                peer.last_attempt = Some(context.now);
                peer.attempts = peer.attempts.saturating_add(1);
            }
            self.send_term(context, &node, out);
        }
    }

    fn send_announcement(
        &mut self,
        context: &Context<'_>,
        node: &NodeName,
        request_heartbeat: bool,
        with_term: bool,
        out: &mut Outbox,
    ) {
        let Some(peer) = self.peers.get(node) else {
            return;
        };
        let announcement = ControllerAnnouncement {
            ballot: self.ballot,
            round: self.authority.round_at(context.now),
            request_heartbeat,
            term: with_term.then(|| self.term.as_ref().clone()),
        };
        out.send(
            peer.member.heartbeat,
            PeerMessage::ControllerAnnouncement(Box::new(announcement)),
        );
    }
}

fn is_attempt_due(peer: &PeerEntry, now: Moment) -> bool {
    let period = if peer.attempts < MAX_QUICK_ATTEMPTS {
        ANNOUNCEMENT_PERIOD
    } else {
        SLOW_ATTEMPT_PERIOD
    };
    peer.last_attempt
        .is_none_or(|sent| now.since(sent) >= period)
}
