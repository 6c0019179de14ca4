//! Learning the operators' intent from another node, for a node that can't reach the store.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use quetzalrack_mesh::model::OperatorsIntent;
use quetzalrack_mesh::ownership::Event;
use tokio::sync::mpsc;

use crate::traffic::INTENT_PATH;

/// How long the other node may take; it answers from memory.
const PATIENCE: Duration = Duration::from_millis(800);

/// Asks other nodes.
#[derive(Clone)]
pub(super) struct PeerIntent {
    pub(super) http: reqwest::Client,
    pub(super) events: mpsc::UnboundedSender<Event>,
    pub(super) intent: Rc<RefCell<OperatorsIntent>>,
}

impl PeerIntent {
    /// Asks one node and takes over what it knows, if that is newer.
    pub(super) async fn fetch(self, from: SocketAddr) {
        let url = format!("http://{from}{INTENT_PATH}");
        let asked = self.http.get(url).timeout(PATIENCE).send().await;
        let Ok(bytes) = async { asked?.error_for_status()?.bytes().await }.await else {
            return;
        };
        let told: OperatorsIntent = match postcard::from_bytes(&bytes) {
            Ok(told) => told,
            Err(error) => {
                log::warn!(event = "peer_intent_unreadable", from:% = from; "{error}");
                return;
            }
        };
        let version =
            |intent: &OperatorsIntent| intent.config.as_ref().map(|config| config.version);
        let newer = {
            let known = self.intent.borrow();
            told.offset > known.offset && version(&told) >= version(&known)
        };
        if !newer {
            return;
        }
        log::info!(
            event = "intent_in_force", source = "peer", from:% = from, offset = told.offset,
            version = version(&told).unwrap_or_default(); ""
        );
        self.intent.replace(told.clone());
        // The control loop ends only with the process.
        self.events.send(Event::Intent(told)).ok();
    }
}
