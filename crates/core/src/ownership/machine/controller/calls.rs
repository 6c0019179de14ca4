//! Messages by which a controller asserts itself.

use std::time::Duration;

use super::Context;
use super::Controller;
use super::Outbox;
use super::Seat;
use super::SliceState;
use crate::ids::NodeName;
use crate::ownership::PeerMessage;
use crate::ownership::message::ControllerAnnouncement;
use crate::time::Moment;

/// How often deputies hear the controller; three lost ones stay below their detection time.
const CALL_PERIOD: Duration = Duration::from_millis(100);
/// How many deputies are called; those further back wait longer than two heartbeats anyway.
const CALLED_DEPUTIES: usize = 2;
/// How often voters are asked while a silent holder's slices wait for a majority round.
const URGENT_PERIOD: Duration = Duration::from_millis(40);
/// How often a node is called that has not answered yet, after the first few calls.
const SLOW_PERIOD: Duration = Duration::from_millis(800);
/// How many calls go out at the short period.
const QUICK_CALLS: u32 = 5;

impl Controller {
    /// Calls whom it is time to call: everyone who has not answered, and all the time the next deputies.
    pub(super) fn call_nodes(&mut self, context: &Context<'_>, out: &mut Outbox) {
        self.call_strangers(context, out);
        let waits = self
            .slices
            .values()
            .any(|entry| matches!(entry.state, SliceState::Lapsed(_)));
        let period = if waits { URGENT_PERIOD } else { CALL_PERIOD };
        let due = self
            .called
            .is_none_or(|called| context.now.since(called) >= period);
        if !due {
            return;
        }
        self.called = Some(context.now);
        let next = self.ballot.rank.0 as usize + 1;
        let line = self.term.claim.controllers.iter();
        let deputies = line.skip(next).take(CALLED_DEPUTIES);
        let mut nodes: Vec<NodeName> = deputies.map(|member| member.node.clone()).collect();
        nodes.push(context.own.node.clone());
        if waits {
            nodes.extend(self.term.voter_names());
        }
        nodes.sort();
        nodes.dedup();
        for node in nodes {
            self.call(context, &node, false, false, out);
        }
    }

    /// Asks a node for a heartbeat at once, because there is something to answer it with.
    pub(super) fn prompt(&mut self, context: &Context<'_>, node: &NodeName, out: &mut Outbox) {
        self.call(context, node, true, false, out);
    }

    /// Introduces the controller, with its term, to a node that does not know it.
    pub(in crate::ownership::machine) fn send_term(
        &mut self,
        context: &Context<'_>,
        node: &NodeName,
        out: &mut Outbox,
    ) {
        self.call(context, node, true, true, out);
    }

    fn call_strangers(&mut self, context: &Context<'_>, out: &mut Outbox) {
        let due = |(node, seat): (&NodeName, &Seat)| {
            let silent = seat.heard.is_none() && !self.authority.has_acknowledged(node);
            (silent && is_call_due(seat, context.now)).then(|| node.clone())
        };
        let strangers: Vec<NodeName> = self.seats.iter().filter_map(due).collect();
        for node in strangers {
            if let Some(seat) = self.seats.get_mut(&node) {
                seat.called = Some(context.now);
                seat.calls = seat.calls.saturating_add(1);
            }
            self.send_term(context, &node, out);
        }
    }

    fn call(
        &mut self,
        context: &Context<'_>,
        node: &NodeName,
        prompt: bool,
        introduces: bool,
        out: &mut Outbox,
    ) {
        let Some(seat) = self.seats.get(node) else {
            return;
        };
        let lead = ControllerAnnouncement {
            ballot: self.ballot,
            round: self.authority.round_at(context.now),
            request_heartbeat: prompt,
            term: introduces.then(|| self.term.as_ref().clone()),
        };
        out.send(
            seat.member.heartbeat,
            PeerMessage::ControllerAnnouncement(Box::new(lead)),
        );
    }
}

fn is_call_due(seat: &Seat, now: Moment) -> bool {
    let period = if seat.calls < QUICK_CALLS {
        CALL_PERIOD
    } else {
        SLOW_PERIOD
    };
    seat.called.is_none_or(|called| now.since(called) >= period)
}
