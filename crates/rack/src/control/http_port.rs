//! HTTP ports of the control thread.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;

use crate::accept::accept_all;

/// Maximum wait for the head of the next request on a kept-alive connection; the platform and the
/// backend server call about once a second.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Answers the requests of one port until the process ends.
pub(super) async fn serve_port<F, A>(listener: TcpListener, answer: F)
where
    F: Fn(Request<Incoming>) -> A + 'static,
    A: Future<Output = Response<Full<Bytes>>> + 'static,
{
    let answer = Rc::new(answer);
    accept_all(listener, "control", move |stream| {
        let answer = Rc::clone(&answer);
        let service = service_fn(move |request| {
            let answer = answer(request);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        // A failed connection needs no handling: the caller repeats the call.
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service)
    })
    .await;
}
