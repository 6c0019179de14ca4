//! The ownership state machine of one node.

mod appender;
mod claiming;
mod context;
mod control_log;
mod controller;
mod controller_role;
mod divisions;
mod events;
mod holder;
mod leaving;
mod messages;
mod new_claim;
mod outbox;
mod pending_append;
mod queries;
mod reachability;
mod record_kind;
mod routing_replica;
mod search;
mod voter;

use appender::Appender;
use context::Context;
use control_log::ControlLog;
use controller::Controller;
use divisions::Divisions;
use holder::HeartbeatContext;
use holder::Holder;
use new_claim::MAX_VOTERS;
use new_claim::build_claim;
use new_claim::choose_voters;
use new_claim::interleave_zones;
use outbox::Outbox;
use pending_append::PendingAppend;
use reachability::Reachability;
use record_kind::RecordKind;
use routing_replica::RoutingReplica;
use search::Search;
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

/// Decides slice ownership on one node; see `docs/design/ownership.md`.
///
/// It combines the node's roles: voter, holder of leases and, at times, controller.
#[derive(Debug)]
pub struct Ownership {
    config: OwnershipConfig,
    rng: ChaCha8Rng,
    log: ControlLog,
    voter: Voter,
    holder: Holder,
    appender: Appender,
    controller: Option<Controller>,
    /// The highest ballot under which this incarnation has acted as controller. It never acts under
    /// that ballot again.
    last_acted: Ballot,
    intent: Option<Arc<InForce>>,
    routing: RoutingReplica,
    search: Search,
    reachability: Reachability,
    /// The highest version of the intent that a controller has announced.
    announced_intent: Version,
    leaving_since: Option<Moment>,
    finished: bool,
}

impl Ownership {
    /// Creates the state of a node without leases or knowledge of other nodes.
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
            last_acted: Ballot::default(),
            intent: None,
            routing: RoutingReplica::default(),
            search: Search::default(),
            reachability: Reachability::default(),
            announced_intent: Version::default(),
            leaving_since: None,
            finished: false,
            config,
        }
    }

    /// Handles one event at `now` and returns the actions to perform, in order.
    pub fn step(&mut self, now: Moment, event: OwnershipEvent) -> Vec<OwnershipAction> {
        let mut out = Outbox::open(self.config.member.heartbeat);
        self.voter.record_start(now);
        self.holder.expire(now, &mut out);
        self.handle_event(now, event, &mut out);
        self.advance(now, &mut out);
        while let Some(message) = out.pop_local() {
            let from = self.config.member.heartbeat;
            self.handle_message(now, from, message, &mut out);
        }
        self.holder.publish(&mut out);
        out.into_actions()
    }

    fn advance(&mut self, now: Moment, out: &mut Outbox) {
        self.try_become_controller(now, out);
        self.run_controller(now, out);
        self.search_controller(now, out);
        self.appender.retry(now, &self.log, out);
        self.send_heartbeat(now, out);
        self.try_finish_leaving(now, out);
    }

    fn send_heartbeat(&mut self, now: Moment, out: &mut Outbox) {
        if !self.holder.is_heartbeat_due(now) {
            return;
        }
        let Some(controller) = self.voter.controller() else {
            return;
        };
        let to = controller.heartbeat;
        let round = self.voter.round();
        let context = HeartbeatContext {
            ballot: self.voter.adopted(),
            acked: (round > 0 && !self.voter.abstains(now)).then_some(round),
            round,
            routing: self.routing.table().version,
        };
        let heartbeat = self
            .holder
            .build_heartbeat(now, self.voter.times(), context);
        out.send(to, PeerMessage::Heartbeat(Box::new(heartbeat)));
    }
}
