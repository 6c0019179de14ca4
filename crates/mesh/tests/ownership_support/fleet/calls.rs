//! Calls to servers, which may be lost or executed late.

use std::time::Duration;

use quetzalrack_core::time::Moment;
use quetzalrack_mesh::model::HeldRange;
use quetzalrack_mesh::ownership::Event;
use quetzalrack_mesh::ownership::KeyCall;
use quetzalrack_mesh::ownership::KeyCallId;
use quetzalrack_mesh::ownership::KeyCallOutcome;
use quetzalrack_mesh::ownership::KeyRequest;
use quetzalrack_mesh::ownership::LeaseTimes;
use quetzalrack_mesh::ownership::ServerEvent;
use rand::Rng;

use super::Fleet;
use super::HEARTBEAT;
use super::SimEvent;

/// The time limit of a release.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How late a server may execute a call that it does not answer.
const MAX_DELAY_MS: u64 = 6_000;

/// The stages of a call.
#[derive(Clone, Debug)]
pub(super) enum CallStage {
    /// The node has decided on the call; a frozen process sends it when it is resumed.
    Started(KeyCall),
    /// The server that listens there now executes the call.
    Executed(KeyCallId, Arrived),
    /// The node receives the outcome.
    Ended(KeyCallId, KeyCallOutcome),
}

/// A call that has arrived.
#[derive(Clone, Debug)]
pub(super) struct Arrived {
    grant: Option<(Moment, Duration)>,
    held: HeldRange,
    answered: bool,
    /// When the incarnation started to which its connection leads; none if it reaches whichever listens.
    started_ms: Option<u64>,
}

impl Fleet {
    pub(super) fn call(&mut self, index: usize, incarnation: u64, stage: CallStage) {
        match stage {
            CallStage::Started(call) => self.start_call(index, incarnation, call),
            CallStage::Executed(id, arrived) => self.execute_call(index, incarnation, id, arrived),
            CallStage::Ended(id, outcome) => {
                let deferred = CallStage::Ended(id, outcome.clone());
                let event = Event::Server(ServerEvent::CallEnded(id, outcome));
                self.step(
                    index,
                    incarnation,
                    event,
                    SimEvent::Call(index, incarnation, deferred),
                );
            }
        }
    }

    fn start_call(&mut self, index: usize, incarnation: u64, call: KeyCall) {
        let host = &mut self.nodes[index];
        if host.incarnation != incarnation || host.machine.is_none() {
            return;
        }
        if host.frozen {
            let deferred = SimEvent::Call(index, incarnation, CallStage::Started(call));
            host.deferred.push(deferred);
            return;
        }
        let opened_before = call.opened_before;
        let times = LeaseTimes::for_granting(self.plan.granting, HEARTBEAT);
        let now = self.now;
        let (held, grant, limit) = match call.request {
            KeyRequest::Grant { range, end } => {
                let time = times.call_hold(now, end);
                (range.held, time.map(|time| (now, time)), times.call_timeout)
            }
            KeyRequest::Release(held) => (held, None, RELEASE_TIMEOUT),
        };
        let is_release = limit == RELEASE_TIMEOUT;
        // Each release has a connection of its own.
        if !is_release && !self.is_connected(index, opened_before) {
            self.unsent += 1;
            let ended = CallStage::Ended(call.id, KeyCallOutcome::NoConnection);
            self.schedule(Duration::ZERO, SimEvent::Call(index, incarnation, ended));
            return;
        }
        let listens = self.nodes[index].server.is_some();
        if !listens || (grant.is_none() && !is_release) || self.random.random_bool(0.01) {
            let ended = CallStage::Ended(call.id, KeyCallOutcome::NotSent);
            let delay = self.random_delay(20);
            self.schedule(delay, SimEvent::Call(index, incarnation, ended));
            return;
        }
        let answered = !self.random.random_bool(0.06);
        let late = !answered && self.random.random_bool(0.5);
        let delay = match late {
            true => self.random_delay(MAX_DELAY_MS),
            false => self.random_delay(2),
        };
        let arrived = Arrived {
            grant: grant.map(|(sent, time)| (sent + self.random_delay(2).min(delay), time)),
            held,
            answered,
            started_ms: self.connected_to(index),
        };
        let executed = CallStage::Executed(call.id, arrived);
        self.schedule(delay, SimEvent::Call(index, incarnation, executed));
        if !answered {
            if !is_release {
                self.close_connection(index);
            }
            let outcome = KeyCallOutcome::Unanswered {
                closed: now + limit,
                time: grant.map_or(Duration::ZERO, |(_, time)| time),
            };
            let ended = CallStage::Ended(call.id, outcome);
            self.schedule(limit, SimEvent::Call(index, incarnation, ended));
        }
    }

    fn execute_call(&mut self, index: usize, incarnation: u64, id: KeyCallId, arrived: Arrived) {
        let now = self.now;
        let work = self.random_delay(300);
        let leads_to = |incarnation: u64| arrived.started_ms.is_none_or(|to| to == incarnation);
        let server = self.nodes[index].server.as_mut();
        let Some(server) = server.filter(|server| leads_to(server.incarnation.started_ms)) else {
            return;
        };
        let (outcome, delay) = match arrived.grant {
            Some((at, time)) => match server.grant(now, at, arrived.held, time) {
                true => (
                    KeyCallOutcome::Granted {
                        sent: at,
                        answered: now,
                        time,
                    },
                    Duration::ZERO,
                ),
                false => (KeyCallOutcome::StaleToken, Duration::ZERO),
            },
            None => (
                KeyCallOutcome::Released(server.release(now, arrived.held, work)),
                work,
            ),
        };
        if self.trace {
            println!("{now} server-{index} executes {arrived:?}: {outcome:?}");
        }
        self.check(index);
        if arrived.answered {
            let ended = CallStage::Ended(id, outcome);
            self.schedule(delay, SimEvent::Call(index, incarnation, ended));
        }
    }
}
