//! The ledger.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use quetzalrack_core::burn::NodeSample;
use quetzalrack_core::burn::RouteSample;
use quetzalrack_core::burn::SliceSample;
use quetzalrack_core::burn::WorkSample;
use quetzalrack_core::ids::Incarnation;
use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::ServerName;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::time::WallTime;

use super::RouteEntry;
use super::ServiceMoves;

/// Adds readings of many nodes.
///
/// A counter that restarted looks smaller than before. Comparing incarnations tells a restart from
/// a reading that was delayed or doubled: the first starts from zero and counts whole, the others
/// count only what they add to the newest reading of the same life.
#[derive(Clone, Debug, Default)]
pub struct SampleLedger {
    newest: BTreeMap<NodeName, BTreeMap<Incarnation, NodeSample>>,
    entries: Vec<RouteEntry>,
    work: BTreeMap<ServiceName, BTreeMap<ServerName, u64>>,
    moves: BTreeMap<ServiceName, ServiceMoves>,
    restarts: BTreeSet<(NodeName, Incarnation)>,
    span: Option<(WallTime, WallTime)>,
}

impl SampleLedger {
    /// Opens an empty ledger.
    pub fn open() -> Self {
        Self::default()
    }

    /// Adds one reading; an older or doubled one of the same life adds nothing.
    pub fn add(&mut self, sample: NodeSample) {
        let lives = self.newest.entry(sample.node.clone()).or_default();
        let is_first_life = lives.is_empty();
        let earlier = lives.get(&sample.incarnation).cloned();
        if earlier
            .as_ref()
            .is_some_and(|earlier| sample.at <= earlier.at)
        {
            return;
        }
        if earlier.is_none() && !is_first_life {
            let life = (sample.node.clone(), sample.incarnation);
            self.restarts.insert(life);
        }
        lives.insert(sample.incarnation, sample.clone());
        let (first, last) = self.span.unwrap_or((sample.at, sample.at));
        self.span = Some((first.min(sample.at), last.max(sample.at)));
        let is_older = earlier.is_none() && is_first_life;
        self.add_routes(&sample, earlier.as_ref(), is_older);
        self.add_work(&sample, earlier.as_ref());
        self.add_moves(&sample, earlier.as_ref());
    }

    /// Returns what was counted, in the order of the readings.
    pub fn entries(&self) -> &[RouteEntry] {
        &self.entries
    }

    /// Returns the requests sent to each backend server.
    pub fn work(&self) -> &BTreeMap<ServiceName, BTreeMap<ServerName, u64>> {
        &self.work
    }

    /// Returns the changes of ownership of each service.
    pub fn moves(&self) -> &BTreeMap<ServiceName, ServiceMoves> {
        &self.moves
    }

    /// Counts the restarts seen.
    pub fn restarts(&self) -> usize {
        self.restarts.len()
    }

    /// Counts the nodes seen.
    pub fn nodes(&self) -> usize {
        self.newest.len()
    }

    /// Returns the times of the first and last reading.
    pub fn span(&self) -> Option<(WallTime, WallTime)> {
        self.span
    }

    fn add_routes(&mut self, sample: &NodeSample, earlier: Option<&NodeSample>, is_older: bool) {
        for route in &sample.routes {
            let before = earlier.and_then(|earlier| same_route(earlier, route));
            let counts = match before {
                Some(before) => route.counts.since(&before.counts),
                None => route.counts.clone(),
            };
            if counts.total() == 0 {
                continue;
            }
            self.entries.push(RouteEntry {
                at: sample.at,
                zone: sample.zone.clone(),
                service: route.service.clone(),
                route: route.route.clone(),
                counts,
                is_older,
            });
        }
    }

    fn add_work(&mut self, sample: &NodeSample, earlier: Option<&NodeSample>) {
        for work in &sample.work {
            let before = earlier.and_then(|earlier| same_work(earlier, work));
            let servers = self.work.entry(work.service.clone()).or_default();
            let sum = servers.entry(work.server.clone()).or_default();
            *sum += work
                .sent
                .saturating_sub(before.map_or(0, |before| before.sent));
        }
    }

    fn add_moves(&mut self, sample: &NodeSample, earlier: Option<&NodeSample>) {
        for slices in &sample.slices {
            let before = earlier.and_then(|earlier| same_slices(earlier, slices));
            let added = |count: fn(&SliceSample) -> u64| {
                count(slices).saturating_sub(before.map_or(0, count))
            };
            let sum = self.moves.entry(slices.service.clone()).or_default();
            sum.granted += added(|slices| slices.granted);
            sum.released += added(|slices| slices.released);
            sum.lapsed += added(|slices| slices.lapsed);
            sum.unavailable_ms += added(|slices| slices.unavailable_ms);
        }
    }
}

fn same_route<'a>(sample: &'a NodeSample, route: &RouteSample) -> Option<&'a RouteSample> {
    let mut routes = sample.routes.iter();
    routes.find(|known| known.service == route.service && known.route == route.route)
}

fn same_work<'a>(sample: &'a NodeSample, work: &WorkSample) -> Option<&'a WorkSample> {
    let mut known = sample.work.iter();
    known.find(|known| known.service == work.service && known.server == work.server)
}

fn same_slices<'a>(sample: &'a NodeSample, slices: &SliceSample) -> Option<&'a SliceSample> {
    sample
        .slices
        .iter()
        .find(|known| known.service == slices.service)
}
