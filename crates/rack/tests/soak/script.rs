//! Faults drawn at random from a seed.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// A fault; the first `usize` is the index of its host, if it has one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process is killed and restarted after a delay.
    Kill(usize, Duration),
    /// The process is paused.
    Pause(usize, Duration),
    /// The process receives SIGTERM and is restarted after it has exited.
    Terminate(usize),
    /// The host and its server are removed permanently without a shutdown.
    RemoveHost(usize),
    /// All processes but the first are killed at once.
    KillMost(Duration),
    /// The process receives SIGHUP.
    Hup(usize),
    /// The server crashes and restarts under the same id.
    Crash(usize, Duration),
    /// The server reports that it is draining, and is replaced.
    Drain(usize),
    /// The server says in its responses that it is leaving, and nothing in heartbeats, and is replaced.
    LeaveByResponse(usize),
    /// The server names a rate limit, in requests per second, for a while.
    NameLimit(usize, u16, Duration),
    /// The server's responses are lost after it has executed the requests.
    LoseResponses(usize, Duration),
    /// The server is slow.
    Slow(usize, Duration),
    /// A link of the host is faulty.
    Link(usize, Link, LinkFault, Duration),
    /// The store is faulty for all hosts.
    Store(StoreFaultKind, Duration),
    /// An availability zone is evacuated for a while.
    Evacuate(usize, Duration),
    /// A new configuration is written.
    Config,
}

/// A connection of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    Clients,
    Server,
    Heartbeats,
    Store,
    Hops,
    Datagrams,
}

/// Fault of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    Slow,
    Reset,
    CutForward,
    CutBack,
    Silent,
    Refuse,
}

/// Fault of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFaultKind {
    Unavailable,
    Slow,
    DropsReplies,
    Late,
}

const LINKS: [Link; 6] = [
    Link::Clients,
    Link::Server,
    Link::Heartbeats,
    Link::Store,
    Link::Hops,
    Link::Datagrams,
];
const LINK_FAULTS: [LinkFault; 6] = [
    LinkFault::Slow,
    LinkFault::Reset,
    LinkFault::CutForward,
    LinkFault::CutBack,
    LinkFault::Silent,
    LinkFault::Refuse,
];
const STORE_FAULTS: [StoreFaultKind; 4] = [
    StoreFaultKind::Unavailable,
    StoreFaultKind::Slow,
    StoreFaultKind::DropsReplies,
    StoreFaultKind::Late,
];
/// Period in which faults start.
const FAULT_PERIOD: Duration = Duration::from_secs(14);

/// Draws the faults of a run, ordered by the time since the clients started.
pub fn draw(seed: u64, hosts: usize) -> Vec<(Duration, Fault)> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut script = Vec::new();
    let mut at = Duration::from_millis(random.random_range(200..1_500));
    while at < FAULT_PERIOD {
        // With a probability of 0.2 the fault repeats on several hosts in turn.
        let series = if random.random_bool(0.2) {
            random.random_range(2..5)
        } else {
            1
        };
        let first = draw_one(&mut random, hosts);
        for number in 0..series {
            let index = random.random_range(0..hosts);
            script.push((
                at + Duration::from_millis(400) * number,
                first.at_host(index),
            ));
        }
        at += Duration::from_millis(random.random_range(100..1_800));
    }
    script.extend(draw_rolls(seed, hosts));
    script.sort_by_key(|(at, _)| *at);
    script
}

/// Draws series of signals, restarts and changes that go on while their effects last, so that they overlap each other
/// and the other faults.
fn draw_rolls(seed: u64, hosts: usize) -> Vec<(Duration, Fault)> {
    let mut random = SmallRng::seed_from_u64(!seed);
    let mut script = Vec::new();
    for _ in 0..random.random_range(1..=2) {
        let mut at = FAULT_PERIOD.mul_f64(random.random());
        let mut index = random.random_range(0..hosts);
        for _ in 0..random.random_range(3..=hosts + 2) {
            let short = Duration::from_millis(random.random_range(50..600));
            let fault = match random.random_range(0..12) {
                0..=4 => Fault::Terminate(index),
                5..=7 => Fault::Hup(index),
                8..=9 => Fault::Config,
                10 => Fault::Kill(index, short),
                _ => Fault::Crash(index, short),
            };
            script.push((at, fault));
            at += Duration::from_millis(random.random_range(20..500));
            // Now and then the next one is for a process that is shutting down or starting.
            if random.random_bool(0.7) {
                index = (index + 1) % hosts;
            }
        }
    }
    script
}

fn draw_one(random: &mut SmallRng, hosts: usize) -> Fault {
    let index = random.random_range(0..hosts);
    let short = Duration::from_millis(random.random_range(100..1_500));
    let long = Duration::from_millis(random.random_range(300..5_000));
    // Long enough for the rule on limits to apply.
    let limited = Duration::from_millis(random.random_range(4_000..10_000));
    match random.random_range(0..26) {
        0..=2 => Fault::Kill(index, short),
        3..=4 => Fault::Pause(index, long),
        5..=6 => Fault::Terminate(index),
        7 => Fault::KillMost(short),
        8 => Fault::Hup(index),
        9 => Fault::Crash(index, short),
        10 => Fault::Drain(index),
        11 => Fault::LoseResponses(index, short),
        12 => Fault::Slow(index, long),
        13..=15 => {
            let link = LINKS[random.random_range(0..LINKS.len())];
            let fault = LINK_FAULTS[random.random_range(0..LINK_FAULTS.len())];
            Fault::Link(index, link, fault, long)
        }
        16..=17 => {
            let fault = STORE_FAULTS[random.random_range(0..STORE_FAULTS.len())];
            Fault::Store(fault, long)
        }
        20 => Fault::RemoveHost(index),
        21..=23 => Fault::NameLimit(index, random.random_range(1..30), limited),
        24 => Fault::LeaveByResponse(index),
        18 => Fault::Evacuate(random.random_range(0..3), long),
        _ => Fault::Config,
    }
}

impl Fault {
    fn at_host(self, index: usize) -> Self {
        match self {
            Self::Kill(_, time) => Self::Kill(index, time),
            Self::Pause(_, time) => Self::Pause(index, time),
            Self::Terminate(_) => Self::Terminate(index),
            Self::LeaveByResponse(_) => Self::LeaveByResponse(index),
            Self::NameLimit(_, limit, time) => Self::NameLimit(index, limit, time),
            Self::RemoveHost(_) => Self::RemoveHost(index),
            Self::Hup(_) => Self::Hup(index),
            Self::Crash(_, time) => Self::Crash(index, time),
            Self::Drain(_) => Self::Drain(index),
            Self::LoseResponses(_, time) => Self::LoseResponses(index, time),
            Self::Slow(_, time) => Self::Slow(index, time),
            Self::Link(_, link, fault, time) => Self::Link(index, link, fault, time),
            same => same,
        }
    }
}
