//! The state machine of one node.

mod appender;
mod claiming;
mod context;
mod control_log;
mod controller;
mod divisions;
mod events;
mod holder;
mod leaving;
mod messages;
mod office;
mod outbox;
mod outlook;
mod pending_append;
mod reach;
mod record_kind;
mod routing_replica;
mod search;
mod succession;
mod voter;

use appender::Appender;
use context::Context;
use control_log::ControlLog;
use controller::Controller;
use divisions::Divisions;
use holder::Holder;
use holder::Voice;
use outbox::Outbox;
use pending_append::PendingAppend;
use reach::Reach;
use record_kind::RecordKind;
use routing_replica::RoutingReplica;
use search::Search;
use succession::MAX_VOTERS;
use succession::build_claim;
use succession::choose_voters;
use succession::interleave_zones;
use voter::Voter;

use std::sync::Arc;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Ballot;
use super::OwnershipAction;
use super::OwnershipConfig;
use super::OwnershipEvent;
use super::PeerMessage;
use crate::ids::Version;
use crate::intent::InForce;
use crate::time::Moment;

/// Decides for one node who owns what; see `docs/design/ownership.md`.
///
/// It is at once the voter, the holder and, when its turn comes, the controller of its node.
#[derive(Debug)]
pub struct Ownership {
    config: OwnershipConfig,
    rng: ChaCha8Rng,
    log: ControlLog,
    voter: Voter,
    holder: Holder,
    appender: Appender,
    controller: Option<Controller>,
    /// The highest ballot under which this life has acted; it never acts under it again.
    acted: Ballot,
    intent: Option<Arc<InForce>>,
    routing: RoutingReplica,
    search: Search,
    reach: Reach,
    /// The highest version of the intent that a controller told of.
    told_intent: Version,
    leaving: Option<Moment>,
    finished: bool,
}

impl Ownership {
    /// Opens the state of a node that holds nothing and knows nothing.
    pub fn open(mut config: OwnershipConfig) -> Self {
        config.member.server = None;
        config.member.service = None;
        Self {
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            log: ControlLog::default(),
            voter: Voter::open(config.member.clone(), config.rules),
            holder: Holder::open(config.member.clone(), config.rules),
            appender: Appender::default(),
            controller: None,
            acted: Ballot::default(),
            intent: None,
            routing: RoutingReplica::default(),
            search: Search::default(),
            reach: Reach::default(),
            told_intent: Version::default(),
            leaving: None,
            finished: false,
            config,
        }
    }

    /// Takes one event at `now` and returns what is to be done, in order.
    pub fn step(&mut self, now: Moment, event: OwnershipEvent) -> Vec<OwnershipAction> {
        let mut out = Outbox::open(self.config.member.heartbeat);
        self.voter.begin(now);
        self.holder.expire(now, &mut out);
        self.take_event(now, event, &mut out);
        self.advance(now, &mut out);
        while let Some(message) = out.take_local() {
            let from = self.config.member.heartbeat;
            self.take_message(now, from, message, &mut out);
        }
        self.holder.publish(&mut out);
        out.into_actions()
    }

    fn advance(&mut self, now: Moment, out: &mut Outbox) {
        self.take_office(now, out);
        self.run_controller(now, out);
        self.search_controller(now, out);
        self.appender.retry(now, &self.log, out);
        self.send_heartbeat(now, out);
        self.finish_leaving(now, out);
    }

    fn send_heartbeat(&mut self, now: Moment, out: &mut Outbox) {
        if !self.holder.is_due(now) {
            return;
        }
        let Some(controller) = self.voter.controller() else {
            return;
        };
        let to = controller.heartbeat;
        let round = self.voter.round();
        let voice = Voice {
            ballot: self.voter.adopted(),
            round: (round > 0 && !self.voter.abstains(now)).then_some(round),
            heard: round,
            routing: self.routing.table().version,
        };
        let heartbeat = self.holder.beat(now, self.voter.times(), voice);
        out.send(to, PeerMessage::Heartbeat(Box::new(heartbeat)));
    }
}
