//! Client of the platform's log service over HTTP.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use quetzalrack_core::boundary::AppendOutcome;
use quetzalrack_core::boundary::BoxFuture;
use quetzalrack_core::boundary::LogEntry;
use quetzalrack_core::boundary::LogService;
use quetzalrack_core::boundary::ReadOutcome;
use quetzalrack_core::boundary::Stream;
use quetzalrack_core::ids::Offset;
use quetzalrack_core::time::WallTime;
use reqwest::Response;
use reqwest::StatusCode;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use super::HttpClientError;
use super::LogCounters;

/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of an append; when it expires, the outcome is unknown.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// How much longer than its wait for records a read may take.
const READ_GRACE: Duration = Duration::from_secs(1);
/// Maximum number of records requested by one read.
const READ_LIMIT: u32 = 256;
/// Maximum size of a response body in bytes; a larger one is treated as a failed request.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Client of the log service.
pub struct HttpLog {
    http: reqwest::Client,
    base: String,
    counters: Arc<LogCounters>,
}

#[derive(Deserialize)]
struct Appended {
    offset: Offset,
}

#[derive(Deserialize)]
struct Expired {
    oldest: Offset,
}

#[derive(Deserialize)]
struct Page<'a> {
    #[serde(borrow)]
    entries: Vec<Entry<'a>>,
    next: Offset,
    at_end: bool,
}

#[derive(Deserialize)]
struct Entry<'a> {
    offset: Offset,
    taken_ms: WallTime,
    #[serde(borrow)]
    data: &'a RawValue,
}

impl HttpLog {
    /// Creates a client of the log service at `base`, `http://IP:PORT`.
    pub fn open(base: &str, counters: Arc<LogCounters>) -> Result<Self, HttpClientError> {
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .no_proxy()
            .build()?;
        Ok(Self {
            http,
            base: base.trim_end_matches('/').to_owned(),
            counters,
        })
    }

    fn records_url(&self, stream: &Stream) -> String {
        format!("{}/streams/{stream}/records", self.base)
    }

    async fn append_record(&self, stream: &Stream, data: Vec<u8>) -> AppendOutcome {
        let size = data.len() as u64;
        self.counters.bytes_out.fetch_add(size, Ordering::Relaxed);
        let sent = self
            .http
            .post(self.records_url(stream))
            .header("content-type", "application/json")
            .timeout(APPEND_TIMEOUT)
            .body(data)
            .send()
            .await;
        match sent {
            Ok(response) => self.append_outcome(response).await,
            // Only a connection that failed to open proves that nothing was sent.
            Err(error) if error.is_connect() => AppendOutcome::Refused,
            Err(_) => AppendOutcome::Unknown,
        }
    }

    async fn append_outcome(&self, response: Response) -> AppendOutcome {
        match response.status() {
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                AppendOutcome::Refused
            }
            StatusCode::OK => match self.decode::<Appended>(response).await {
                Some(appended) => AppendOutcome::Appended(appended.offset),
                None => AppendOutcome::Unknown,
            },
            _ => AppendOutcome::Unknown,
        }
    }

    async fn read_records(&self, stream: &Stream, from: Offset, wait: Duration) -> ReadOutcome {
        let url = format!(
            "{}?from={from}&limit={READ_LIMIT}&wait_ms={}",
            self.records_url(stream),
            wait.as_millis()
        );
        let sent = self.http.get(url).timeout(wait + READ_GRACE).send().await;
        let Ok(response) = sent else {
            return ReadOutcome::Unavailable;
        };
        match response.status() {
            StatusCode::OK => self.decode_page(response).await,
            StatusCode::GONE => match self.decode::<Expired>(response).await {
                Some(expired) => ReadOutcome::Expired(expired.oldest),
                None => ReadOutcome::Unavailable,
            },
            _ => ReadOutcome::Unavailable,
        }
    }

    async fn decode_page(&self, response: Response) -> ReadOutcome {
        let Some(bytes) = self.read_body(response).await else {
            return ReadOutcome::Unavailable;
        };
        let Ok(page) = serde_json::from_slice::<Page<'_>>(&bytes) else {
            return ReadOutcome::Unavailable;
        };
        let entries = page.entries.iter().map(|entry| LogEntry {
            offset: entry.offset,
            taken: entry.taken_ms,
            data: entry.data.get().as_bytes().to_vec(),
        });
        ReadOutcome::Entries {
            entries: entries.collect(),
            next: page.next,
            at_end: page.at_end,
        }
    }

    async fn decode<T>(&self, response: Response) -> Option<T>
    where
        T: DeserializeOwned,
    {
        let bytes = self.read_body(response).await?;
        serde_json::from_slice(&bytes).ok()
    }

    async fn read_body(&self, mut response: Response) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        while let Some(chunk) = response.chunk().await.ok()? {
            if body.len() + chunk.len() > MAX_RESPONSE_BYTES {
                return None;
            }
            body.extend_from_slice(&chunk);
        }
        let size = body.len() as u64;
        self.counters.bytes_in.fetch_add(size, Ordering::Relaxed);
        Some(body)
    }
}

impl LogService for HttpLog {
    fn append<'a>(&'a self, stream: &'a Stream, data: Vec<u8>) -> BoxFuture<'a, AppendOutcome> {
        Box::pin(self.append_record(stream, data))
    }

    fn read<'a>(
        &'a self,
        stream: &'a Stream,
        from: Offset,
        wait: Duration,
    ) -> BoxFuture<'a, ReadOutcome> {
        Box::pin(self.read_records(stream, from, wait))
    }
}
