//! Callers that go on calling.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use super::TimedReport;
use crate::caller::CallReport;
use crate::caller::CallRequest;
use crate::caller::HttpCaller;

/// Sends a request at every tick, whether or not earlier ones were answered, until it is stopped.
#[derive(Debug)]
pub struct SteadyLoad {
    stop: watch::Sender<bool>,
    sending: JoinHandle<Vec<TimedReport>>,
    nodes: Arc<Mutex<Vec<SocketAddr>>>,
}

impl SteadyLoad {
    /// Starts calling; `make` names the request of each tick.
    pub fn spawn<M>(caller: HttpCaller, nodes: Vec<SocketAddr>, every: Duration, make: M) -> Self
    where
        M: Fn(u64) -> CallRequest + Send + 'static,
    {
        let (stop, stopped) = watch::channel(false);
        let nodes = Arc::new(Mutex::new(nodes));
        let sending = tokio::spawn(send(caller, Arc::clone(&nodes), every, make, stopped));
        Self {
            stop,
            sending,
            nodes,
        }
    }

    /// Replaces the nodes that the callers know.
    pub fn set_nodes(&self, nodes: Vec<SocketAddr>) {
        *self.nodes.lock().unwrap_or_else(PoisonError::into_inner) = nodes;
    }

    /// Stops calling and returns every report, in the order in which they ended.
    pub async fn stop(self) -> Vec<TimedReport> {
        self.stop.send_replace(true);
        // The sending task does not panic; without it there is nothing to report.
        self.sending.await.unwrap_or_default()
    }
}

async fn send<M>(
    caller: HttpCaller,
    nodes: Arc<Mutex<Vec<SocketAddr>>>,
    every: Duration,
    make: M,
    mut stopped: watch::Receiver<bool>,
) -> Vec<TimedReport>
where
    M: Fn(u64) -> CallRequest,
{
    let began = Instant::now();
    let mut ticks = interval(every);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut calls = JoinSet::new();
    let mut count: u64 = 0;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            _ = stopped.wait_for(|stopped| *stopped) => break,
        }
        let request = make(count);
        let nodes = nodes.lock().unwrap_or_else(PoisonError::into_inner).clone();
        calls.spawn(call(caller.clone(), nodes, count as usize, request, began));
        count += 1;
    }
    calls.join_all().await.into_iter().flatten().collect()
}

/// Calls one node after the other until one takes the connection, as a caller with a list does.
async fn call(
    caller: HttpCaller,
    nodes: Vec<SocketAddr>,
    place: usize,
    request: CallRequest,
    began: Instant,
) -> Option<TimedReport> {
    let at = began.elapsed();
    let mut last: Option<CallReport> = None;
    for number in 0..nodes.len() {
        let report = caller
            .call(nodes[(place + number) % nodes.len()], &request)
            .await;
        let connected = report.connected;
        last = Some(report);
        if connected {
            break;
        }
    }
    last.map(|report| TimedReport { at, report })
}
