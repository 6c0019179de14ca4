//! What happens, drawn from a seed.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Is one thing that happens, to the host at a place where it has one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process is killed and started again a while later.
    Kill(usize, Duration),
    /// The process stands still.
    Pause(usize, Duration),
    /// The process is told to leave, and started again when it has ended.
    Leave(usize),
    /// The host and its server are gone for good, without a word.
    Lose(usize),
    /// Most processes are killed at once.
    KillMost(Duration),
    /// The settings file is said to have changed.
    Hup(usize),
    /// The server crashes and starts again under its id.
    Crash(usize, Duration),
    /// The server says that it leaves; another takes its place.
    Drain(usize),
    /// The server's answers are lost after it has run requests.
    LoseAnswers(usize, Duration),
    /// The server works slowly.
    Slow(usize, Duration),
    /// A link of the host does something wrong.
    Link(usize, Link, LinkFault, Duration),
    /// The store does something wrong, for all.
    Store(StoreFaultKind, Duration),
    /// An availability zone is emptied and taken back.
    Evacuate(usize, Duration),
    /// A new configuration is written.
    Config,
}

/// Names a connection of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    Clients,
    Server,
    Heartbeats,
    Store,
    Hops,
    Datagrams,
}

/// Says what a link does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    Slow,
    Reset,
    CutForward,
    CutBack,
    Silent,
    Refuse,
}

/// Says what the store does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFaultKind {
    Away,
    Slow,
    LosesAnswers,
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
    StoreFaultKind::Away,
    StoreFaultKind::Slow,
    StoreFaultKind::LosesAnswers,
    StoreFaultKind::Late,
];
/// How long troubles go on.
const FAULT_PERIOD: Duration = Duration::from_secs(14);

/// Draws what happens to a fleet, in the order of time from the start of the clients.
pub fn draw(seed: u64, hosts: usize) -> Vec<(Duration, Fault)> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut script = Vec::new();
    let mut at = Duration::from_millis(random.random_range(200..1_500));
    while at < FAULT_PERIOD {
        // Now and then the same again and again, on one host after the other.
        let series = if random.random_bool(0.2) {
            random.random_range(2..5)
        } else {
            1
        };
        let first = draw_one(&mut random, hosts);
        for number in 0..series {
            let place = random.random_range(0..hosts);
            script.push((
                at + Duration::from_millis(400) * number,
                first.at_host(place),
            ));
        }
        at += Duration::from_millis(random.random_range(100..1_800));
    }
    script.sort_by_key(|(at, _)| *at);
    script
}

fn draw_one(random: &mut SmallRng, hosts: usize) -> Fault {
    let place = random.random_range(0..hosts);
    let short = Duration::from_millis(random.random_range(100..1_500));
    let long = Duration::from_millis(random.random_range(300..5_000));
    match random.random_range(0..21) {
        0..=2 => Fault::Kill(place, short),
        3..=4 => Fault::Pause(place, long),
        5..=6 => Fault::Leave(place),
        7 => Fault::KillMost(short),
        8 => Fault::Hup(place),
        9 => Fault::Crash(place, short),
        10 => Fault::Drain(place),
        11 => Fault::LoseAnswers(place, short),
        12 => Fault::Slow(place, long),
        13..=15 => {
            let link = LINKS[random.random_range(0..LINKS.len())];
            let fault = LINK_FAULTS[random.random_range(0..LINK_FAULTS.len())];
            Fault::Link(place, link, fault, long)
        }
        16..=17 => {
            let fault = STORE_FAULTS[random.random_range(0..STORE_FAULTS.len())];
            Fault::Store(fault, long)
        }
        20 => Fault::Lose(place),
        18 => Fault::Evacuate(random.random_range(0..3), long),
        _ => Fault::Config,
    }
}

impl Fault {
    fn at_host(self, place: usize) -> Self {
        match self {
            Self::Kill(_, time) => Self::Kill(place, time),
            Self::Pause(_, time) => Self::Pause(place, time),
            Self::Leave(_) => Self::Leave(place),
            Self::Lose(_) => Self::Lose(place),
            Self::Hup(_) => Self::Hup(place),
            Self::Crash(_, time) => Self::Crash(place, time),
            Self::Drain(_) => Self::Drain(place),
            Self::LoseAnswers(_, time) => Self::LoseAnswers(place, time),
            Self::Slow(_, time) => Self::Slow(place, time),
            Self::Link(_, link, fault, time) => Self::Link(place, link, fault, time),
            same => same,
        }
    }
}
