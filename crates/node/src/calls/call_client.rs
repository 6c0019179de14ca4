//! The client of calls between nodes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::core::client::ClientT;
use jsonrpsee::http_client::HttpClientBuilder;
use jsonrpsee::rpc_params;
use quetzalrack_core::boundary::BoxFuture;
use quetzalrack_core::cluster::Member;
use quetzalrack_core::intent::IntentSnapshot;
use quetzalrack_core::traffic::poison::SuspectNews;
use quetzalrack_wire::calls;
use quetzalrack_wire::calls::SealedCall;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::IntentQuery;
use super::PeerCallError;
use crate::platform::KeyStore;
use crate::shared::Handover;
use crate::shared::HandoverLink;
use crate::shared::SuspectLink;

/// Timeout of one call. After a handover that was lost, the successor starts with empty state once
/// this has passed.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a call about suspected requests; what was not confirmed is told again.
const NEWS_TIMEOUT: Duration = Duration::from_millis(500);

/// Calls other nodes; cheap to clone.
#[derive(Clone, Debug)]
pub struct CallClient {
    keys: Arc<KeyStore>,
}

impl CallClient {
    /// Creates a client that signs every call with the keys then in force.
    pub fn new(keys: Arc<KeyStore>) -> Self {
        Self { keys }
    }

    /// Queries another node for newer intent; returns none when it has nothing newer.
    pub async fn intent_snapshot(
        &self,
        to: SocketAddr,
        query: &IntentQuery,
    ) -> Result<Option<IntentSnapshot>, PeerCallError> {
        self.call(to, calls::INTENT_SNAPSHOT, query).await
    }

    /// Queries the identity and addresses of another node.
    pub async fn member(&self, to: SocketAddr) -> Result<Member, PeerCallError> {
        self.call(to, calls::MEMBER, &()).await
    }

    async fn call<Q, A>(&self, to: SocketAddr, method: &str, body: &Q) -> Result<A, PeerCallError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let client = HttpClientBuilder::default()
            .request_timeout(CALL_TIMEOUT)
            .max_request_size(calls::LARGEST_CALL)
            .max_response_size(calls::LARGEST_CALL)
            .build(format!("http://{to}"))?;
        let keys = self.keys.nodes();
        let sealed = SealedCall::seal(method, body, &keys)?;
        let reply: SealedCall = client.request(method, rpc_params![&sealed]).await?;
        Ok(sealed.open_answer(method, &reply, &keys)?)
    }
}

impl SuspectLink for CallClient {
    fn tell<'a>(&'a self, to: &'a Member, news: SuspectNews) -> BoxFuture<'a, bool> {
        Box::pin(async move {
            let told = self.call(to.control, calls::TELL_SUSPECTS, &news);
            let confirmed = tokio::time::timeout(NEWS_TIMEOUT, told).await;
            matches!(confirmed, Ok(Ok(true)))
        })
    }

    fn ask(&self, address: SocketAddr) -> BoxFuture<'_, Option<SuspectNews>> {
        Box::pin(async move {
            let asked = self.call(address, calls::KNOWN_SUSPECTS, &());
            tokio::time::timeout(NEWS_TIMEOUT, asked).await.ok()?.ok()
        })
    }
}

impl HandoverLink for CallClient {
    fn hand_over<'a>(&'a self, to: &'a Member, handover: Handover) -> BoxFuture<'a, bool> {
        Box::pin(async move {
            let called = self.call::<_, bool>(to.control, calls::HANDOVER, &handover);
            match called.await {
                Ok(confirmed) => confirmed,
                Err(error) => {
                    log::warn!(
                        event = "handover_failed",
                        slice:% = handover.slice,
                        to:% = to.node;
                        "{error}"
                    );
                    false
                }
            }
        })
    }
}
