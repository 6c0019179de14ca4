//! The server of calls between nodes.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;

use arc_swap::ArcSwapOption;
use jsonrpsee::RpcModule;
use jsonrpsee::core::RegisterMethodError;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerConfig;
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::Params;
use quetzalrack_core::cluster::Member;
use quetzalrack_core::ids::EnvironmentName;
use quetzalrack_core::intent::IntentSnapshot;
use quetzalrack_core::intent::Stage;
use quetzalrack_core::traffic::poison::SuspectNews;
use quetzalrack_wire::calls;
use quetzalrack_wire::calls::SealedCall;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::IntentQuery;
use super::RunningCalls;
use crate::platform::KeyStore;
use crate::shared::Handover;
use crate::shared::SharedView;
use crate::shared::TrafficControl;

/// The JSON-RPC error code of a rejected call.
const REJECTED_CODE: i32 = -32_001;
/// Maximum number of concurrent connections from other nodes.
const MAX_CONNECTIONS: u32 = 256;

/// Handles calls from other nodes.
pub struct CallServer {
    /// The environment.
    pub environment: EnvironmentName,
    /// The stage whose intent the node follows.
    pub stage: Stage,
    /// The keys with which calls must be signed.
    pub keys: Arc<KeyStore>,
    /// The node's shared state, for the version of the intent in force.
    pub view: Arc<SharedView>,
    /// The snapshot of that version.
    pub snapshot: Arc<ArcSwapOption<IntentSnapshot>>,
    /// Receives the handovers.
    pub traffic: Arc<dyn TrafficControl>,
    /// This node's identity and addresses; set once every address is bound.
    pub member: Arc<OnceLock<Member>>,
}

impl CallServer {
    /// Binds `address` and serves on the current tokio runtime.
    pub async fn bind(self, address: SocketAddr) -> io::Result<RunningCalls> {
        let config = ServerConfig::builder()
            .max_request_body_size(calls::LARGEST_CALL)
            .max_response_body_size(calls::LARGEST_CALL)
            .max_connections(MAX_CONNECTIONS)
            .http_only()
            .build();
        let server = Server::builder().set_config(config).build(address).await?;
        let address = server.local_addr()?;
        let module = self.into_module().map_err(io::Error::other)?;
        Ok(RunningCalls {
            address,
            handle: server.start(module),
        })
    }

    fn into_module(self) -> Result<RpcModule<Self>, RegisterMethodError> {
        let mut module = RpcModule::new(self);
        module.register_method(calls::INTENT_SNAPSHOT, |params, server, _| {
            server.answer(calls::INTENT_SNAPSHOT, &params, |query| {
                server.newer_intent(&query)
            })
        })?;
        module.register_method(calls::MEMBER, |params, server, _| {
            server.answer(calls::MEMBER, &params, |()| server.member.get().cloned())
        })?;
        module.register_method(calls::HANDOVER, |params, server, _| {
            server.answer(calls::HANDOVER, &params, |handover: Handover| {
                server.traffic.receive_handover(handover);
                true
            })
        })?;
        module.register_method(calls::TELL_SUSPECTS, |params, server, _| {
            server.answer(calls::TELL_SUSPECTS, &params, |news: SuspectNews| {
                server.traffic.receive_suspects(&news);
                true
            })
        })?;
        module.register_method(calls::KNOWN_SUSPECTS, |params, server, _| {
            server.answer(calls::KNOWN_SUSPECTS, &params, |()| {
                server.traffic.known_suspects()
            })
        })?;
        Ok(module)
    }

    fn newer_intent(&self, query: &IntentQuery) -> Option<IntentSnapshot> {
        if query.environment != self.environment || query.stage != self.stage {
            return None;
        }
        let in_force = self.view.intent.load();
        let version = in_force.as_ref().map(|intent| intent.version)?;
        if version <= query.version {
            return None;
        }
        self.snapshot.load().as_deref().cloned()
    }

    fn answer<Q, A, F>(
        &self,
        method: &str,
        params: &Params<'_>,
        handle: F,
    ) -> Result<SealedCall, ErrorObjectOwned>
    where
        Q: DeserializeOwned,
        A: Serialize,
        F: FnOnce(Q) -> A,
    {
        let keys = self.keys.nodes();
        let sealed: SealedCall = params.one()?;
        let query = sealed.open(method, &keys).map_err(reject)?;
        sealed.answer(method, &handle(query), &keys).map_err(reject)
    }
}

fn reject(error: calls::CallError) -> ErrorObjectOwned {
    log::debug!(event = "call_refused"; "{error}");
    ErrorObjectOwned::owned(REJECTED_CODE, error.to_string(), None::<()>)
}
