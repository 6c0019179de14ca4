//! One node's admin address.

use std::time::Duration;

use quetzalrack_core::boundary::BoxFuture;
use quetzalrack_core::boundary::Clock;
use quetzalrack_core::cluster::RoutingTable;
use quetzalrack_core::explain::Explanation;
use quetzalrack_core::security::KeyRing;
use quetzalrack_node::platform::BootClock;
use quetzalrack_wire::access::AccessProof;
use quetzalrack_wire::access::HEADER;
use quetzalrack_wire::status::NodeStatus;
use reqwest::Client;
use reqwest::StatusCode;
use serde::de::DeserializeOwned;

use super::NodeAccess;
use super::NodeError;

/// How long a node may take to answer an operator.
const TIMEOUT: Duration = Duration::from_secs(2);

/// How many entries a node is asked for.
const MOST_EXPLANATIONS: u32 = 1_000;

/// Asks nodes, with a proof of the operator's key.
#[derive(Clone, Debug)]
pub struct NodeReader {
    http: Client,
    keys: KeyRing,
}

impl NodeReader {
    /// Opens a reader that proves itself with a key.
    pub fn open(keys: KeyRing) -> Result<Self, NodeError> {
        let http = Client::builder().timeout(TIMEOUT).no_proxy().build()?;
        Ok(Self { http, keys })
    }

    /// Reads any JSON answer.
    pub async fn get<T>(&self, node: &str, target: &str) -> Result<T, NodeError>
    where
        T: DeserializeOwned,
    {
        let proof = AccessProof::make(target, BootClock.wall(), &self.keys);
        let url = format!("{}{target}", node.trim_end_matches('/'));
        let request = self.http.get(url).header(HEADER, proof.to_header()?);
        let answer = request.send().await?;
        match answer.status() {
            StatusCode::OK => answer
                .json()
                .await
                .map_err(|error| match error.is_decode() {
                    true => NodeError::Unreadable(error),
                    false => NodeError::Unreachable(error),
                }),
            StatusCode::UNAUTHORIZED => Err(NodeError::Refused),
            status => Err(NodeError::Status(status.as_u16())),
        }
    }
}

impl NodeAccess for NodeReader {
    fn status<'a>(&'a self, node: &'a str) -> BoxFuture<'a, Result<NodeStatus, NodeError>> {
        Box::pin(self.get(node, "/status"))
    }

    fn routing<'a>(&'a self, node: &'a str) -> BoxFuture<'a, Result<RoutingTable, NodeError>> {
        Box::pin(self.get(node, "/routing"))
    }

    fn explanations<'a>(
        &'a self,
        node: &'a str,
        text: &'a str,
    ) -> BoxFuture<'a, Result<Vec<Explanation>, NodeError>> {
        Box::pin(async move {
            let target = format!(
                "/explanations?text={}&limit={MOST_EXPLANATIONS}",
                encoded(text)
            );
            self.get(node, &target).await
        })
    }
}

/// Escapes a text for a query.
fn encoded(text: &str) -> String {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_');
    text.bytes()
        .map(|byte| match is_plain(byte) {
            true => char::from(byte).to_string(),
            false => format!("%{byte:02X}"),
        })
        .collect()
}
