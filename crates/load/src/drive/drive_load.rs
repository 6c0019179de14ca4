//! The open loop.

use std::sync::Arc;
use std::time::Duration;

use quetzalrack_core::document::spec::Method;
use quetzalrack_core::document::spec::RouteSpec;
use quetzalrack_core::ids::IdempotencyKey;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_testutils::caller::CallReport;
use quetzalrack_testutils::caller::CallRequest;
use quetzalrack_testutils::caller::HttpCaller;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep_until;
use uuid::Uuid;

use super::LoadPlan;
use super::LoadTargets;
use super::Sample;
use crate::arrivals::ArrivalTimes;
use crate::keys::ZipfKeys;

/// How many nodes a caller tries when it can't connect; nothing was asked until it can.
const TRIES: usize = 3;
/// The size of an uploaded body, in bytes.
const UPLOAD: usize = 16 * 1024;
/// Keeps the draws of arrivals apart from those of routes and keys.
const ROUTE_SEED: u64 = 0x5eed;

/// Sends a load and returns every request, in the order in which they ended.
///
/// Requests are sent at their drawn times whether or not earlier ones were answered, so that an
/// unavailable system meets as many of them as an available one.
pub async fn drive_load(
    plan: &LoadPlan,
    targets: &Arc<LoadTargets>,
    caller: &HttpCaller,
) -> Vec<Sample> {
    let (ended, mut samples) = mpsc::unbounded_channel();
    let keys = ZipfKeys::new(plan.keys);
    let mut random = ChaCha8Rng::seed_from_u64(plan.seed ^ ROUTE_SEED);
    let began = Instant::now();
    let times = ArrivalTimes::new(plan.shape, plan.rate, plan.seed);
    for at in times.take_while(|at| *at < plan.duration) {
        sleep_until(began + at).await;
        let key = keys.draw(at, &mut random);
        let Some((service, route)) = plan.mix.draw(&mut random) else {
            break;
        };
        let call = Call {
            at,
            began,
            service: service.clone(),
            route: route.clone(),
            request: request(plan, route, &key),
            place: random.random_range(0..usize::MAX),
        };
        tokio::spawn(call.run(Arc::clone(targets), caller.clone(), ended.clone()));
    }
    drop(ended);
    let mut all = Vec::new();
    while let Some(sample) = samples.recv().await {
        all.push(sample);
    }
    all
}

struct Call {
    at: Duration,
    began: Instant,
    service: ServiceName,
    route: RouteSpec,
    request: CallRequest,
    place: usize,
}

impl Call {
    async fn run(
        self,
        targets: Arc<LoadTargets>,
        caller: HttpCaller,
        ended: mpsc::UnboundedSender<Sample>,
    ) {
        let Some(report) = self.try_nodes(&targets, &caller).await else {
            return;
        };
        let sample = Sample {
            at: self.at,
            latency: self.began.elapsed().saturating_sub(self.at),
            service: self.service,
            route: self.route.name,
            report,
        };
        // The receiver outlives every call.
        ended.send(sample).ok();
    }

    async fn try_nodes(&self, targets: &LoadTargets, caller: &HttpCaller) -> Option<CallReport> {
        let mut last = None;
        for number in 0..TRIES {
            let node = targets.at(self.place.wrapping_add(number))?;
            let report = caller.call(node, &self.request).await;
            if report.connected {
                return Some(report);
            }
            last = Some(report);
        }
        last
    }
}

fn request(plan: &LoadPlan, route: &RouteSpec, key: &str) -> CallRequest {
    let path = route.path.replace("{key}", key).replace("{any}", "any");
    let mut request = CallRequest::new(route.method, &path);
    request.bytes = plan.bytes;
    if route.method == Method::Put {
        request.body_bytes = UPLOAD;
    }
    if !route.repeatable {
        request.idempotency = Some(IdempotencyKey(Uuid::now_v7()));
    }
    request
}
