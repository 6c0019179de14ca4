//! One connection to the backend server.

use std::net::SocketAddr;
use std::time::Duration;

use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use quetzalrack_core::traffic::ResponseBounds;
use reqwest::Body;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

use super::PoolLimits;
use super::ServerCallError;
use super::metered_stream::MeteredStream;
use super::metered_stream::SharedMeter;

/// The interval of TCP keepalive probes on a silent connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// How many bytes are read at once, and the longest head.
const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// A head, the framing of a body, and what is read ahead of the body's reader.
const MAX_UNUSED_BYTES: usize = 3 * MAX_BUFFER_BYTES;

/// One connection to the backend server; dropping it closes it.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) address: SocketAddr,
    pub(super) sender: SendRequest<Body>,
    pub(super) meter: SharedMeter,
}

impl Connection {
    pub(super) async fn open(
        address: SocketAddr,
        limits: &PoolLimits,
    ) -> Result<Self, ServerCallError> {
        let opened = tokio::time::timeout(limits.connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| ServerCallError::ConnectTimeout)?;
        let stream = opened
            .and_then(set_options)
            .map_err(ServerCallError::Connect)?;
        let meter = SharedMeter::new(ResponseBounds {
            unused_bytes: MAX_UNUSED_BYTES,
            body_bytes: limits.body_bytes,
        });
        let stream = MeteredStream::new(stream, meter.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await?;
        // The sender reports when the connection ends.
        tokio::spawn(connection);
        Ok(Self {
            address,
            sender,
            meter,
        })
    }

    /// Counts a response's body as it is read.
    pub(super) fn meter_body(&self, response: Response<Incoming>) -> reqwest::Response {
        let meter = self.meter.clone();
        let response = response.map(|body| {
            Body::wrap(body.inspect_frame(move |frame| {
                if let Some(data) = frame.data_ref() {
                    meter.lock().record_body(data.len());
                }
            }))
        });
        reqwest::Response::from(response)
    }
}

fn set_options(stream: TcpStream) -> std::io::Result<TcpStream> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL);
    SockRef::from(&stream).set_tcp_keepalive(&keepalive)?;
    Ok(stream)
}
