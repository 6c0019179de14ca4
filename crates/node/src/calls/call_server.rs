//! The answering side.

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

/// The code of an answer to a call that can't be taken.
const REFUSED: i32 = -32_001;
/// How many other nodes may be connected at once.
const MOST_CONNECTIONS: u32 = 256;

/// Answers other nodes' calls.
pub struct CallServer {
    /// The environment.
    pub environment: EnvironmentName,
    /// The followed stage.
    pub stage: Stage,
    /// The keys that callers must have.
    pub keys: Arc<KeyStore>,
    /// What is in force here.
    pub view: Arc<SharedView>,
    /// The snapshot that matches it.
    pub snapshot: Arc<ArcSwapOption<IntentSnapshot>>,
    /// Where handovers go.
    pub traffic: Arc<dyn TrafficControl>,
    /// Who this node is, once every address is bound.
    pub member: Arc<OnceLock<Member>>,
}

impl CallServer {
    /// Binds `address` and answers on the current tokio runtime.
    pub async fn bind(self, address: SocketAddr) -> io::Result<RunningCalls> {
        let config = ServerConfig::builder()
            .max_request_body_size(calls::LARGEST_CALL)
            .max_response_body_size(calls::LARGEST_CALL)
            .max_connections(MOST_CONNECTIONS)
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
            server.answer(calls::INTENT_SNAPSHOT, &params, |question| {
                server.newer_intent(&question)
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
        Ok(module)
    }

    fn newer_intent(&self, question: &IntentQuery) -> Option<IntentSnapshot> {
        if question.environment != self.environment || question.stage != self.stage {
            return None;
        }
        let in_force = self.view.intent.load();
        let version = in_force.as_ref().map(|intent| intent.version)?;
        if version <= question.version {
            return None;
        }
        self.snapshot.load().as_deref().cloned()
    }

    fn answer<Q, A, F>(
        &self,
        method: &str,
        params: &Params<'_>,
        decide: F,
    ) -> Result<SealedCall, ErrorObjectOwned>
    where
        Q: DeserializeOwned,
        A: Serialize,
        F: FnOnce(Q) -> A,
    {
        let keys = self.keys.nodes();
        let sealed: SealedCall = params.one()?;
        let question = sealed.open(method, &keys).map_err(refuse)?;
        sealed
            .answer(method, &decide(question), &keys)
            .map_err(refuse)
    }
}

fn refuse(error: calls::CallError) -> ErrorObjectOwned {
    log::debug!(event = "call_refused"; "{error}");
    ErrorObjectOwned::owned(REFUSED, error.to_string(), None::<()>)
}
