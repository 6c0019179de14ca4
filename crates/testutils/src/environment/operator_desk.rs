//! Operators' orders in tests.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use quetzalrack_core::boundary::Stream;
use quetzalrack_core::ids::DocumentDigest;
use quetzalrack_core::ids::EnvironmentName;
use quetzalrack_core::ids::OperatorName;
use quetzalrack_core::ids::RecordId;
use quetzalrack_core::ids::Version;
use quetzalrack_core::intent::LogRecord;
use quetzalrack_core::intent::Order;
use quetzalrack_core::intent::OrderBody;
use quetzalrack_core::intent::SignedOrder;
use quetzalrack_core::security::KeyRing;
use quetzalrack_core::time::WallTime;
use reqwest::Client;
use uuid::Uuid;

use super::EnvironmentError;

/// Appends signed orders straight to the log, so that a test gives orders in the order and at the
/// moment that it wants, also racing ones.
#[derive(Clone, Debug)]
pub struct OperatorDesk {
    environment: EnvironmentName,
    operator: OperatorName,
    keys: KeyRing,
    log: String,
    http: Client,
}

impl OperatorDesk {
    /// Opens a desk at a log service.
    pub fn new(
        environment: EnvironmentName,
        operator: OperatorName,
        keys: KeyRing,
        log: String,
        http: Client,
    ) -> Self {
        Self {
            environment,
            operator,
            keys,
            log,
            http,
        }
    }

    /// Publishes a document to trial.
    pub async fn publish(&self, text: &str, base: Version) -> Result<(), EnvironmentError> {
        let digest = DocumentDigest::of(text.as_bytes());
        let order = Order::Publish { digest };
        self.append(order, base, Some(text.to_owned())).await
    }

    /// Promotes a document to production.
    pub async fn promote(&self, text: &str, base: Version) -> Result<(), EnvironmentError> {
        let digest = DocumentDigest::of(text.as_bytes());
        self.give(Order::Promote { digest }, base).await
    }

    /// Gives an order that carries no document.
    pub async fn give(&self, order: Order, base: Version) -> Result<(), EnvironmentError> {
        self.append(order, base, None).await
    }

    async fn append(
        &self,
        order: Order,
        base: Version,
        document: Option<String>,
    ) -> Result<(), EnvironmentError> {
        let body = OrderBody {
            id: RecordId(Uuid::new_v4()),
            environment: self.environment.clone(),
            base,
            operator: self.operator.clone(),
            why: String::from("a test's or a developer's order"),
            at: wall_time(),
            order,
        };
        let signed = SignedOrder::sign(&body, document, &self.keys)?;
        let data = LogRecord::Order(signed).to_data()?;
        let stream = Stream::Intent(self.environment.clone());
        let url = format!("{}/streams/{stream}/records", self.log);
        let answer = self.http.post(url).body(data).send().await?;
        match answer.status() {
            status if status.is_success() => Ok(()),
            status => Err(EnvironmentError::Refused(status)),
        }
    }
}

fn wall_time() -> WallTime {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    WallTime(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
