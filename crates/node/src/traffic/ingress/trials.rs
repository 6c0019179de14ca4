//! Requests whose content is suspected of ending backend servers.

use std::sync::Arc;

use quetzalrack_core::cluster::Member;
use quetzalrack_core::cluster::RoutingNode;
use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::RouteName;
use quetzalrack_core::traffic::poison::ContentDigest;
use quetzalrack_core::traffic::poison::KnownEnds;
use quetzalrack_core::traffic::poison::Suspicion;
use quetzalrack_core::traffic::poison::TrialRank;
use quetzalrack_core::traffic::refusal::RefusalCode;
use quetzalrack_core::traffic::refusal::WorkOutcome;

use super::incoming_request::IncomingRequest;
use super::remote::AttemptResult;
use crate::traffic::hop::HopRequest;
use crate::traffic::refusal::Refusal;
use crate::traffic::traffic_core::TrafficCore;

impl TrafficCore {
    /// Refuses a request whose content is not sent any more.
    pub(super) fn check_poison(&self, incoming: &IncomingRequest) -> Result<(), Refusal> {
        match self.suspects.suspicion(incoming.content.as_ref()) {
            Suspicion::Poison { .. } => Err(RefusalCode::PoisonRequest.into()),
            Suspicion::None | Suspicion::Suspected { .. } => Ok(()),
        }
    }

    /// Returns whether the content of a request is suspected, so that no copies of it are sent.
    pub(super) fn is_suspected(&self, incoming: &IncomingRequest) -> bool {
        self.suspects.suspicion(incoming.content.as_ref()) != Suspicion::None
    }

    /// Keeps the nodes at which a request may be tried, if its content is suspected.
    pub(super) fn retain_trial_nodes(
        &self,
        incoming: &IncomingRequest,
        nodes: &mut Vec<&RoutingNode>,
    ) {
        let (Suspicion::Suspected { servers }, Some(content)) = (
            self.suspects.suspicion(incoming.content.as_ref()),
            &incoming.content,
        ) else {
            return;
        };
        nodes.sort_by_cached_key(|node| TrialRank::of(content, &node.member.node, false));
        nodes.truncate(servers);
    }

    /// Serves an attempt of another node, which knows these ends of servers under its content.
    pub(super) async fn serve_peer(
        self: &Arc<Self>,
        hop: HopRequest,
        ends: &KnownEnds,
    ) -> AttemptResult {
        let content = hop.content;
        if let Some(content) = &content {
            self.suspects.merge_ends(content, &ends.list);
        }
        let informed = match ends.informed {
            true => Ok(()),
            false => self.suspects.wait_informed(hop.deadline).await,
        };
        let result = match informed {
            Err(code) => Err(code.into()),
            Ok(()) if self.is_misplaced_trial(&hop, ends) => Err(RefusalCode::Suspected.into()),
            Ok(()) => self.egress.serve(hop).await,
        };
        result.map_err(|refusal| Refusal {
            ends: self.suspects.ends(content.as_ref()),
            ..refusal
        })
    }

    /// Records that a request was lost on its way to a node or back, so that nobody says whether the server there
    /// ended; its content was suspected so when it was sent.
    pub(super) async fn record_lost(
        &self,
        content: Option<&ContentDigest>,
        route: &RouteName,
        member: &Member,
        refusal: &Refusal,
        sent_as: Suspicion,
    ) {
        if let Some(content) = content
            && refusal.code.outcome() == WorkOutcome::Unknown
        {
            self.suspects
                .record_lost(*content, route, member, sent_as.is_last_trial());
            self.suspects.wait_told().await;
        }
    }

    /// Records what the response of a node tells of the request's content.
    pub(super) fn record_response(
        &self,
        content: Option<&ContentDigest>,
        member: &Member,
        refusal: Option<&Refusal>,
    ) {
        self.suspects.record_contact(member);
        match (content, refusal) {
            (Some(content), Some(refusal)) => self.suspects.merge_ends(content, &refusal.ends.list),
            (Some(content), None) => self.suspects.record_answer_elsewhere(*content),
            (None, _) => {}
        }
    }

    /// Returns whether a node that knows fewer ends than this one chose this server for a content that is to be
    /// tried at others.
    fn is_misplaced_trial(&self, hop: &HopRequest, ends: &KnownEnds) -> bool {
        let (Suspicion::Suspected { servers }, Some(content)) =
            (self.suspects.suspicion(hop.content.as_ref()), &hop.content)
        else {
            return false;
        };
        if hop.matched.needs_owner() || self.suspects.is_covered(content, &ends.list) {
            return false;
        }
        let routing = self.view.routing.load();
        let service = &hop.matched.service.name;
        let members = routing.nodes.values();
        let members = members
            .filter(|node| node.in_service)
            .filter(|node| node.member.service.as_ref() == Some(service));
        let mut nodes: Vec<&NodeName> = members.map(|node| &node.member.node).collect();
        nodes.sort_by_cached_key(|node| TrialRank::of(content, node, false));
        !nodes
            .into_iter()
            .take(servers)
            .any(|node| *node == self.config.node)
    }
}
