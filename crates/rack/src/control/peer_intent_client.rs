//! Fetching the operators' intent from a peer, for a node that can't reach the store.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use quetzalrack_mesh::model::OperatorsIntent;
use quetzalrack_mesh::ownership::Event;
use tokio::sync::mpsc;

use crate::traffic::INTENT_PATH;

/// Time limit of a fetch; the peer responds from memory.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Fetches the operators' intent from peers.
#[derive(Clone)]
pub(super) struct PeerIntentClient {
    pub(super) http: reqwest::Client,
    pub(super) events: mpsc::UnboundedSender<Event>,
    pub(super) intent: Rc<RefCell<OperatorsIntent>>,
}

impl PeerIntentClient {
    /// Fetches the intent of one peer and adopts it if it is newer.
    pub(super) async fn fetch(self, from: SocketAddr) {
        let url = format!("http://{from}{INTENT_PATH}");
        let response = self.http.get(url).timeout(FETCH_TIMEOUT).send().await;
        let Ok(bytes) = async { response?.error_for_status()?.bytes().await }.await else {
            return;
        };
        let fetched: OperatorsIntent = match postcard::from_bytes(&bytes) {
            Ok(fetched) => fetched,
            Err(error) => {
                log::warn!(event = "peer_intent_unreadable", from:% = from; "{error}");
                return;
            }
        };
        let version =
            |intent: &OperatorsIntent| intent.config.as_ref().map(|config| config.version);
        let newer = {
            let known = self.intent.borrow();
            fetched.offset > known.offset && version(&fetched) >= version(&known)
        };
        if !newer {
            return;
        }
        log::info!(
            event = "intent_in_force", source = "peer", from:% = from, offset = fetched.offset,
            version = version(&fetched).unwrap_or_default(); ""
        );
        self.intent.replace(fetched.clone());
        // The receiver is dropped only when the process ends.
        self.events.send(Event::Intent(fetched)).ok();
    }
}
