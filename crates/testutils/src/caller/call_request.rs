//! What a caller asks.

use quetzalrack_core::document::spec::Method;
use quetzalrack_core::ids::IdempotencyKey;

/// Is one request to any node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRequest {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The identity of work that must not repeat.
    pub idempotency: Option<IdempotencyKey>,
    /// The wanted size of the answer, in bytes.
    pub bytes: Option<u64>,
    /// The wanted time of the work, in milliseconds.
    pub work_ms: Option<u64>,
    /// The size of the request's own body, in bytes.
    pub body_bytes: usize,
}

impl CallRequest {
    /// Asks for a path.
    pub fn get(path: &str) -> Self {
        Self::new(Method::Get, path)
    }

    /// Makes a request without any wish.
    pub fn new(method: Method, path: &str) -> Self {
        Self {
            method,
            path: path.to_owned(),
            idempotency: None,
            bytes: None,
            work_ms: None,
            body_bytes: 0,
        }
    }

    /// Returns the method and path, as the backend server names them.
    pub fn target(&self) -> String {
        format!("{} {}", self.method, self.path)
    }

    /// Returns the path with the wishes as parameters.
    pub fn path_and_query(&self) -> String {
        let wishes = [("bytes", self.bytes), ("work_ms", self.work_ms)];
        let wishes: Vec<String> = wishes
            .iter()
            .filter_map(|(name, value)| Some(format!("{name}={}", (*value)?)))
            .collect();
        match wishes.is_empty() {
            true => self.path.clone(),
            false => format!("{}?{}", self.path, wishes.join("&")),
        }
    }
}
