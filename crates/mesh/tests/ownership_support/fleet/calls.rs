//! Calls to servers, with what can become of them on the way.

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
use super::Happening;

/// How long the answer to a release is waited for.
const RELEASE_LIMIT: Duration = Duration::from_millis(1_500);
/// How late a server may obey a call that it does not answer.
const LATE_MS: u64 = 6_000;

/// Is where a call is on its way.
#[derive(Clone, Debug)]
pub(super) enum CallStage {
    /// The node has decided on it; a frozen process sends it when it thaws.
    Begun(KeyCall),
    /// It is obeyed by whoever listens there now.
    Obeyed(KeyCallId, Arrived),
    /// The node learns what became of it.
    Ended(KeyCallId, KeyCallOutcome),
}

/// Is a call that has arrived.
#[derive(Clone, Debug)]
pub(super) struct Arrived {
    grant: Option<(Moment, Duration)>,
    held: HeldRange,
    answered: bool,
}

impl Fleet {
    pub(super) fn call(&mut self, place: usize, life: u64, stage: CallStage) {
        match stage {
            CallStage::Begun(call) => self.begin_call(place, life, call),
            CallStage::Obeyed(id, arrived) => self.obey_call(place, life, id, arrived),
            CallStage::Ended(id, outcome) => {
                let again = CallStage::Ended(id, outcome.clone());
                let event = Event::Server(ServerEvent::CallEnded(id, outcome));
                self.step(place, life, event, Happening::Call(place, life, again));
            }
        }
    }

    fn begin_call(&mut self, place: usize, life: u64, call: KeyCall) {
        let host = &mut self.nodes[place];
        if host.life != life || host.machine.is_none() {
            return;
        }
        if host.frozen {
            let again = Happening::Call(place, life, CallStage::Begun(call));
            host.held_up.push(again);
            return;
        }
        let times = LeaseTimes::for_granting(self.plan.granting, HEARTBEAT);
        let now = self.now;
        let listens = host.server.is_some();
        let (held, grant, limit) = match call.request {
            KeyRequest::Grant { range, end } => {
                let time = times.call_hold(now, end);
                (range.held, time.map(|time| (now, time)), times.call_timeout)
            }
            KeyRequest::Release(held) => (held, None, RELEASE_LIMIT),
        };
        let is_release = limit == RELEASE_LIMIT;
        if !listens || (grant.is_none() && !is_release) || self.random.random_bool(0.01) {
            let ended = CallStage::Ended(call.id, KeyCallOutcome::NotSent);
            let delay = self.spread(20);
            self.after(delay, Happening::Call(place, life, ended));
            return;
        }
        let answered = !self.random.random_bool(0.06);
        let late = !answered && self.random.random_bool(0.5);
        let delay = match late {
            true => self.spread(LATE_MS),
            false => self.spread(2),
        };
        let arrived = Arrived {
            grant: grant.map(|(sent, time)| (sent + self.spread(2).min(delay), time)),
            held,
            answered,
        };
        let obeyed = CallStage::Obeyed(call.id, arrived);
        self.after(delay, Happening::Call(place, life, obeyed));
        if !answered {
            let outcome = KeyCallOutcome::Unanswered {
                closed: now + limit,
                time: grant.map_or(Duration::ZERO, |(_, time)| time),
            };
            let ended = CallStage::Ended(call.id, outcome);
            self.after(limit, Happening::Call(place, life, ended));
        }
    }

    fn obey_call(&mut self, place: usize, life: u64, id: KeyCallId, arrived: Arrived) {
        let now = self.now;
        let work = self.spread(300);
        let Some(server) = self.nodes[place].server.as_mut() else {
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
        if self.traced {
            println!("{now} server-{place} obeys {arrived:?}: {outcome:?}");
        }
        self.check(place);
        if arrived.answered {
            let ended = CallStage::Ended(id, outcome);
            self.after(delay, Happening::Call(place, life, ended));
        }
    }
}
