//! Hot keys come and go while the keys of a service are balanced, until the list of a server's ranges
//! is longer than an answer to a heartbeat may be.

use std::io;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::clients::Request;
use crate::record::Record;
use crate::world::Service;
use crate::world::World;

const SERVICES: [Service; 2] = [
    Service {
        name: "desk",
        servers: 6,
        keyed: true,
        slots: 6,
        work: Duration::from_millis(80),
    },
    Service {
        name: "book",
        servers: 1,
        keyed: false,
        slots: 18,
        work: Duration::from_millis(20),
    },
];
const DEADLINE: Duration = Duration::from_millis(1_500);
const READY_LIMIT: Duration = Duration::from_secs(10);
/// How long the keys are given to be distributed before traffic starts.
const SETTLE: Duration = Duration::from_secs(3);

/// How long hot keys come and go, in seconds.
const HOT_TIME: f64 = 88.0;
/// How many requests a second go to the divided service meanwhile: 93 % of what it can do.
const HOT_RATE: f64 = 420.0;
/// The share of the requests that one group of hot keys gets.
const HOT_SHARE: f64 = 0.39;
/// How many keys are hot together, next to one another.
const HOT_KEYS: u64 = 60;
/// How long a group is hot, in seconds.
const HOT_LIFE: f64 = 2.0;
/// How often another group becomes hot, in seconds.
const HOT_INTERVAL: f64 = 1.0;

/// When the measurement begins after the last hot key: `stable_window`, and some.
const CALM_TIME: f64 = 4.0;
const MEASURED_TIME: f64 = 11.0;
const CALM_RATE: f64 = 85.0;
/// The rule: fewer than this many requests on the added route show nothing.
const MIN_REQUESTS: usize = 20;
/// The rule: routes that were added later are served at least so often, compared with the first ones.
const MIN_SHARE: f64 = 0.25;

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let mut world = World::prepare(&SERVICES, record)?;
    world.start_all()?;
    if !world.wait_ready(READY_LIMIT) {
        return Ok(Verdict::NotRun("the routers are not ready"));
    }
    thread::sleep(SETTLE);
    let mut random = Random(42);
    send_hot(&world, &mut random, trouble);
    world
        .store
        .write("config", &world.config(2, &[("menu", "desk")]));
    let measured = record.now() + CALM_TIME;
    send_calm(&world, &mut random, measured + MEASURED_TIME);
    thread::sleep(DEADLINE);
    report(&world);
    let share = |kinds: &[&str]| {
        let counts = kinds
            .iter()
            .map(|kind| world.outcomes.served(kind, measured, f64::MAX));
        let (sent, served) = counts.fold((0, 0), |(a, b), (sent, served)| (a + sent, b + served));
        record.say(&format!(
            "routes {kinds:?} in the calm time: {served} of {sent} requests served"
        ));
        (sent, served as f64 / sent.max(1) as f64)
    };
    let (_, first) = share(&["book", "desk"]);
    let (added_count, added) = share(&["menu"]);
    Ok(
        match added_count >= MIN_REQUESTS && added < first * MIN_SHARE {
            true => Verdict::Broken,
            false => Verdict::Held,
        },
    )
}

/// Sends requests to the divided service, most of them for hot keys.
fn send_hot(world: &World, random: &mut Random, trouble: bool) {
    let start = world.record.now();
    let mut groups: Vec<(f64, u64)> = Vec::new();
    let (mut next_group, mut next_report) = (start, start + 10.0);
    for number in 0.. {
        let now = world.record.now();
        if now >= start + HOT_TIME {
            return;
        }
        if now >= next_group {
            next_group += HOT_INTERVAL;
            groups.retain(|(end, _)| now < *end);
            groups.push((now + HOT_LIFE, random.below(65_536 - HOT_KEYS)));
        }
        if now >= next_report {
            next_report += 10.0;
            report(world);
        }
        let place = random.below(1_000) as f64 / 1_000.0 / HOT_SHARE;
        let key = match groups.get(place as usize) {
            Some((_, first)) if trouble => first + random.below(HOT_KEYS),
            _ => random.below(65_536),
        };
        world.send(number % world.hosts.len(), request("desk", Some(key)));
        wait_turn(world, start, number, HOT_RATE);
    }
}

/// Sends few requests, without hot keys, on all routes.
fn send_calm(world: &World, random: &mut Random, end: f64) {
    let start = world.record.now();
    for number in 0.. {
        if world.record.now() >= end {
            return;
        }
        let kind = match number % 17 {
            0..=3 => "menu",
            4 => "desk",
            _ => "book",
        };
        let key = (kind != "book").then(|| random.below(65_536));
        world.send(number % world.hosts.len(), request(kind, key));
        wait_turn(world, start, number, CALM_RATE);
    }
}

fn wait_turn(world: &World, start: f64, number: usize, rate: f64) {
    let next = start + (number + 1) as f64 / rate;
    let left = (next - world.record.now()).max(0.0);
    thread::sleep(Duration::from_secs_f64(left));
}

fn request(kind: &'static str, key: Option<u64>) -> Request {
    let key = key.map(|key| key as u16);
    Request {
        method: "GET",
        kind,
        key,
        deadline: DEADLINE,
        body: Vec::new(),
    }
}

fn report(world: &World) {
    let servers = world.servers.iter().take(SERVICES[0].servers);
    let lines: Vec<String> = servers
        .map(|server| {
            let (counts, held) = (server.counts(), server.held_keys());
            format!(
                "{}: {held} keys, longest answer {} bytes, {} too long",
                server.id(),
                counts.longest_answer,
                counts.too_long
            )
        })
        .collect();
    world.record.say(&lines.join("; "));
}

/// A generator of numbers that are the same in each run.
struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }
}
