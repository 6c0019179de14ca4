//! Authentication of requests between nodes.

use std::sync::Arc;
use std::time::Duration;

use axum::http::HeaderMap;
use quetzalrack_core::ids::NodeName;
use quetzalrack_core::security::Signature;
use quetzalrack_core::time::WallTime;
use quetzalrack_wire::headers;

use super::set_header;
use crate::platform::KeyStore;

/// The maximum age of a signature; the wall clocks of nodes differ by less.
const MAX_SIGNATURE_AGE: Duration = Duration::from_secs(30);

/// Signs requests to other nodes and verifies theirs.
///
/// Without the signature any caller could pose as a node, set its own deadline and bypass the
/// choice of the node. The signature covers the method, the target, the request and attempt ids,
/// the deadline, the slice and the idempotency key, but not the body.
#[derive(Clone, Debug)]
pub(in crate::traffic) struct HopAuthenticator {
    node: NodeName,
    keys: Arc<KeyStore>,
}

/// The result of verifying a request's signature.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::traffic) enum HopVerification {
    /// There is no signature: the request comes from a caller.
    Unsigned,
    /// The signature is valid: the request comes from another node.
    Valid,
    /// The signature is malformed, wrong or too old.
    Invalid,
}

impl HopAuthenticator {
    pub(in crate::traffic) fn new(node: NodeName, keys: Arc<KeyStore>) -> Self {
        Self { node, keys }
    }

    /// Adds the signature to the headers of a request to another node.
    pub(in crate::traffic) fn sign(
        &self,
        now: WallTime,
        method: &str,
        target: &str,
        map: &mut HeaderMap,
    ) {
        let message = message(self.node.as_str(), now.0, method, target, map);
        let signature = self.keys.nodes().sign(&message);
        let code = hex::encode(signature.code);
        let value = format!("{};{};{};{code}", self.node, now.0, signature.key);
        set_header(map, headers::AUTHENTICATOR, value);
    }

    /// Verifies the signature in the headers of a request.
    pub(in crate::traffic) fn verify(
        &self,
        now: WallTime,
        method: &str,
        target: &str,
        map: &HeaderMap,
    ) -> HopVerification {
        let Some(value) = map.get(headers::AUTHENTICATOR) else {
            return HopVerification::Unsigned;
        };
        let parsed = value.to_str().ok().and_then(|text| {
            let mut parts = text.split(';');
            let node = parts.next()?;
            let sent_at = parts.next()?.parse::<u64>().ok()?;
            let key = parts.next()?.to_owned();
            let mut code = [0; Signature::BYTES];
            hex::decode_to_slice(parts.next()?, &mut code).ok()?;
            Some((node, sent_at, Signature { key, code }))
        });
        let Some((node, sent_at, signature)) = parsed else {
            return HopVerification::Invalid;
        };
        let age = now
            .since(WallTime(sent_at))
            .max(WallTime(sent_at).since(now));
        let message = message(node, sent_at, method, target, map);
        if age <= MAX_SIGNATURE_AGE && self.keys.nodes().verify(&message, &signature) {
            return HopVerification::Valid;
        }
        HopVerification::Invalid
    }
}

fn message(node: &str, sent_at: u64, method: &str, target: &str, map: &HeaderMap) -> Vec<u8> {
    let mut message = format!("hop\n{node}\n{sent_at}\n{method}\n{target}").into_bytes();
    for name in [
        headers::REQUEST,
        headers::ATTEMPT,
        headers::DEADLINE,
        headers::SLICE,
        headers::IDEMPOTENCY,
    ] {
        message.push(b'\n');
        message.extend_from_slice(map.get(name).map_or(b"", |value| value.as_bytes()));
    }
    message
}
