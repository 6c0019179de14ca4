//! Persistent connections to the backend server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use http::HeaderValue;
use http::Request;
use http::header;
use reqwest::Body;
use reqwest::Response;

use super::PoolLimits;
use super::ServerCallError;
use super::connection::Connection;

/// Keeps connections to the backend server. It never sends a request twice.
#[derive(Debug)]
pub(crate) struct ServerPool {
    limits: PoolLimits,
    idle: Mutex<Vec<Connection>>,
}

impl ServerPool {
    /// Makes an empty pool.
    pub(crate) fn new(limits: PoolLimits) -> Arc<Self> {
        Arc::new(Self {
            limits,
            idle: Mutex::default(),
        })
    }

    /// Sends a request, whose URI is a path, and waits for the status and headers of its response.
    pub(crate) async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        mut request: Request<Body>,
    ) -> Result<Response, ServerCallError> {
        if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
            request.headers_mut().insert(header::HOST, host);
        }
        loop {
            let taken = self.take(address);
            let is_reused = taken.is_some();
            let mut connection = match taken {
                Some(connection) => connection,
                None => Connection::open(address, &self.limits).await?,
            };
            connection.meter.lock().start();
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    let response = connection.meter_body(response);
                    self.put_back(connection);
                    return Ok(response);
                }
                Err(mut error) => match error.take_message() {
                    // The connection had been closed, and nothing was written.
                    Some(unsent) if is_reused => request = unsent,
                    _ => return Err(error.into_error().into()),
                },
            }
        }
    }

    /// Takes the idle connection that was used last.
    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle();
        idle.retain(|connection| !connection.sender.is_closed());
        let index = idle
            .iter()
            .rposition(|connection| connection.address == address)?;
        Some(idle.remove(index))
    }

    /// Keeps a connection once its response has been read to the end.
    fn put_back(self: &Arc<Self>, mut connection: Connection) {
        let pool = Arc::downgrade(self);
        tokio::spawn(async move {
            if connection.sender.ready().await.is_err() {
                return;
            }
            if let Some(pool) = pool.upgrade() {
                let mut idle = pool.idle();
                if idle.len() < pool.limits.max_idle {
                    idle.push(connection);
                }
            }
        });
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
