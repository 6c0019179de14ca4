//! From the ledger to the report.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use quetzalrack_core::burn::RequestOutcome;
use quetzalrack_core::document::EnvironmentDocument;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::ids::ZoneName;
use quetzalrack_core::time::WallTime;

use super::BurnPoint;
use super::BurnReport;
use super::BurnWindows;
use super::FaultShare;
use super::ServiceBurn;
use super::ServiceShape;
use super::WindowBurn;
use super::tally::Tally;
use crate::ledger::RouteEntry;
use crate::ledger::SampleLedger;

const WHOLE: f64 = 100.0;
const MS_PER_SECOND: f64 = 1_000.0;
/// How many steps a course has.
const STEPS: u64 = 60;

/// Computes the report; none without any request.
pub fn compute(
    document: &EnvironmentDocument,
    ledger: &SampleLedger,
    windows: &BurnWindows,
) -> Option<BurnReport> {
    let (from, to) = ledger.span()?;
    let entries = ledger.entries();
    if entries.is_empty() {
        return None;
    }
    let mut services = Vec::new();
    let mut shapes = Vec::new();
    for spec in &document.services {
        let own: Vec<_> = entries
            .iter()
            .filter(|entry| entry.service == spec.name)
            .collect();
        let zones: BTreeSet<_> = own.iter().map(|entry| entry.zone.clone()).collect();
        let all = Part::new(document, &spec.name, None, &own);
        services.extend(all.burn(to, windows));
        for zone in zones {
            let part = Part::new(document, &spec.name, Some(zone), &own);
            services.extend(part.burn(to, windows));
        }
        shapes.push(shape(ledger, &spec.name, all.course(from, to)));
    }
    Some(BurnReport {
        environment: document.environment.clone(),
        from,
        to,
        nodes: ledger.nodes(),
        restarts: ledger.restarts(),
        services,
        shapes,
    })
}

/// Is one service's entries, of all zones or of one.
struct Part<'a> {
    document: &'a EnvironmentDocument,
    service: &'a ServiceName,
    zone: Option<ZoneName>,
    entries: Vec<&'a RouteEntry>,
}

impl<'a> Part<'a> {
    fn new(
        document: &'a EnvironmentDocument,
        service: &'a ServiceName,
        zone: Option<ZoneName>,
        entries: &[&'a RouteEntry],
    ) -> Self {
        let is_wanted = |entry: &&RouteEntry| zone.as_ref().is_none_or(|zone| entry.zone == *zone);
        let entries = entries.iter().copied().filter(is_wanted).collect();
        Self {
            document,
            service,
            zone,
            entries,
        }
    }

    fn burn(&self, to: WallTime, windows: &BurnWindows) -> Option<ServiceBurn> {
        let all = self.tally(|_| true);
        let requests = all.counts.total();
        if requests == 0 {
            return None;
        }
        let faults = all.counts.faults();
        let latency = &all.counts.latency;
        Some(ServiceBurn {
            service: self.service.clone(),
            zone: self.zone.clone(),
            objective: WHOLE * (1.0 - all.allowed / requests as f64),
            requests,
            good: WHOLE * (requests - faults) as f64 / requests as f64,
            left: WHOLE * (1.0 - all.rate()),
            fast: self.windows(
                to,
                windows.fast_long,
                windows.fast_short,
                BurnWindows::FAST_RATE,
            ),
            slow: self.windows(
                to,
                windows.slow_long,
                windows.slow_short,
                BurnWindows::SLOW_RATE,
            ),
            faults: fault_shares(&all),
            p50_ms: latency.quantile(0.5).as_secs_f64() * MS_PER_SECOND,
            p99_ms: latency.quantile(0.99).as_secs_f64() * MS_PER_SECOND,
        })
    }

    fn windows(&self, to: WallTime, long: Duration, short: Duration, rate: f64) -> WindowBurn {
        let over = |window: Duration| {
            let tally = self.tally(|entry| !entry.is_older && to.since(entry.at) < window);
            tally.rate()
        };
        let (long, short) = (over(long), over(short));
        WindowBurn {
            long,
            short,
            alert: long > rate && short > rate,
        }
    }

    fn course(&self, from: WallTime, to: WallTime) -> Vec<BurnPoint> {
        let step = (to.0 - from.0).div_ceil(STEPS).max(1);
        let mut steps: BTreeMap<u64, Tally> = BTreeMap::new();
        for entry in self.entries.iter().filter(|entry| !entry.is_older) {
            let tally = steps.entry((entry.at.0 - from.0) / step).or_default();
            tally.add(&entry.counts, self.good_share(entry));
        }
        let points = steps.into_iter().map(|(index, tally)| BurnPoint {
            second: (index * step) as f64 / MS_PER_SECOND,
            rate: tally.rate(),
        });
        points.collect()
    }

    fn tally<F>(&self, is_wanted: F) -> Tally
    where
        F: Fn(&RouteEntry) -> bool,
    {
        let mut tally = Tally::default();
        for entry in self.entries.iter().filter(|entry| is_wanted(entry)) {
            tally.add(&entry.counts, self.good_share(entry));
        }
        tally
    }

    /// Returns the promised share of a route; a route that the document no longer has is promised
    /// nothing.
    fn good_share(&self, entry: &RouteEntry) -> f64 {
        let service = self.document.service(self.service);
        let route = service.and_then(|service| {
            service
                .routes
                .iter()
                .find(|route| route.name == entry.route)
        });
        route.map_or(0.0, |route| route.objective.good_percent.as_fraction())
    }
}

fn fault_shares(tally: &Tally) -> Vec<FaultShare> {
    let all = tally.counts.faults();
    let mut shares: Vec<_> = RequestOutcome::FAULTS
        .into_iter()
        .map(|fault| FaultShare {
            fault,
            count: tally.counts.of(fault),
            share: tally.counts.of(fault) as f64 / all.max(1) as f64,
        })
        .filter(|share| share.count > 0)
        .collect();
    shares.sort_by_key(|share| std::cmp::Reverse(share.count));
    shares
}

fn shape(ledger: &SampleLedger, service: &ServiceName, course: Vec<BurnPoint>) -> ServiceShape {
    let work = ledger.work().get(service);
    let sums: Vec<_> = work
        .into_iter()
        .flat_map(|work| work.values().copied())
        .collect();
    let most = sums.iter().max().copied().unwrap_or_default() as f64;
    let all: u64 = sums.iter().sum();
    let mean = all as f64 / sums.len().max(1) as f64;
    ServiceShape {
        service: service.clone(),
        imbalance: if all == 0 { 1.0 } else { most / mean },
        servers: sums.len(),
        moves: ledger.moves().get(service).copied().unwrap_or_default(),
        course,
    }
}
