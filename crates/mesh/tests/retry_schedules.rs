//! Random schedules of servers that end in series beside processes that restart and nodes that leave, judged by
//! what the servers get.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use quetzalrack_core::time::Moment;
use quetzalrack_mesh::traffic::retry::RetryBudget;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const RATIO: f64 = 0.2;
const SLACK: f64 = 56.0;
const WINDOW: Duration = Duration::from_secs(10);
/// The window in steps of the simulation.
const WINDOW_STEPS: usize = 1_000;
const STEP: Duration = Duration::from_millis(10);
const STEPS: usize = 6_000;
const NODES: usize = 16;
const SERVERS: usize = 4;
/// How long a server works on a request, in steps.
const WORK_STEPS: usize = 20;
/// Attempts of a request.
const MAX_ATTEMPTS: u32 = 3;
/// How often a run calls another service, and how many calls it then makes.
const CALL_SHARE: f64 = 0.7;
const CALLS: usize = 2;

/// Requests of clients per step for each service, and the service that its runs call.
const SERVICES: [(f64, Option<usize>); 4] = [
    (0.74, Some(1)),
    (0.38, Some(2)),
    (0.1, Some(3)),
    (0.16, None),
];

/// A node's process with one budget a service.
#[derive(Clone)]
struct Process {
    budgets: Vec<RetryBudget>,
    /// Told apart from the process that ran before it.
    generation: u32,
}

/// A request under way at a server.
struct Run {
    node: usize,
    generation: u32,
    service: usize,
    server: usize,
    end: usize,
    attempts: u32,
    is_call: bool,
}

/// What reached the servers of each service in each step, and what clients and servers asked for.
struct Counts {
    requests: Vec<Vec<u32>>,
    repeats: Vec<Vec<u32>>,
}

struct Schedule {
    random: ChaCha8Rng,
    nodes: Vec<Option<Process>>,
    generation: u32,
    runs: Vec<Run>,
    counts: Counts,
    /// The share of the usual requests that clients send.
    load: f64,
    /// How many servers end in a step of a series.
    ends: f64,
}

impl Schedule {
    fn new(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut schedule = Self {
            load: random.random_range(0.02..1.0_f64).powi(2),
            ends: random.random_range(0.1..2.0),
            random,
            nodes: vec![None; NODES],
            generation: 0,
            runs: Vec::new(),
            counts: Counts {
                requests: vec![vec![0; STEPS]; SERVICES.len()],
                repeats: vec![vec![0; STEPS]; SERVICES.len()],
            },
        };
        for node in 0..NODES {
            schedule.start(node, 0);
        }
        schedule
    }

    fn start(&mut self, node: usize, step: usize) {
        self.generation += 1;
        let new = || RetryBudget::new(now(step), RATIO, WINDOW, SLACK);
        self.nodes[node] = Some(Process {
            budgets: SERVICES.iter().map(|_| new()).collect(),
            generation: self.generation,
        });
    }

    fn present(&self) -> Vec<usize> {
        (0..NODES)
            .filter(|node| self.nodes[*node].is_some())
            .collect()
    }

    /// Sends a client's request, and counts it as a repeat if `repeats` another. Its run makes calls.
    fn send(&mut self, step: usize, node: usize, service: usize, attempts: u32, repeats: bool) {
        self.send_one(step, node, service, attempts, repeats, false);
        let Some(called) = SERVICES[service].1 else {
            return;
        };
        if self.nodes[node].is_some() && self.random.random_bool(CALL_SHARE) {
            let present = self.present();
            for _ in 0..CALLS {
                // The calls enter at the host of the server that makes them.
                let node = present[self.random.random_range(0..present.len())];
                self.send_one(step, node, called, 0, repeats, true);
            }
        }
    }

    fn send_one(
        &mut self,
        step: usize,
        node: usize,
        service: usize,
        attempts: u32,
        repeats: bool,
        is_call: bool,
    ) {
        self.counts.requests[service][step] += u32::from(attempts == 0);
        self.counts.repeats[service][step] += u32::from(repeats);
        let Some(process) = &mut self.nodes[node] else {
            return;
        };
        if attempts == 0 {
            process.budgets[service].deposit(now(step));
        }
        self.runs.push(Run {
            node,
            generation: process.generation,
            service,
            server: self.random.random_range(0..SERVERS),
            end: step + WORK_STEPS,
            attempts: attempts + 1,
            is_call,
        });
    }

    /// Ends a server; what is under way there is sent again as far as the budgets allow.
    fn end_server(&mut self, step: usize, service: usize, server: usize) {
        let all = std::mem::take(&mut self.runs);
        let (ended, kept) = all.into_iter().partition(|run| {
            let Run {
                service: s,
                server: n,
                ..
            } = run;
            (*s, *n) == (service, server)
        });
        self.runs = kept;
        let ended: Vec<Run> = ended;
        let members = self.present().len();
        for run in ended {
            let process = self.nodes[run.node].as_mut();
            let process = process.filter(|process| process.generation == run.generation);
            let Some(process) = process.filter(|_| run.attempts < MAX_ATTEMPTS) else {
                continue;
            };
            if process.budgets[service].withdraw(now(step), members) {
                match run.is_call {
                    true => self.send_one(step, run.node, service, run.attempts, true, true),
                    false => self.send(step, run.node, service, run.attempts, true),
                }
            }
        }
    }

    fn play(mut self) -> Counts {
        let mut ending = 0;
        for step in 0..STEPS {
            self.runs.retain(|run| run.end > step);
            for (service, (rate, _)) in SERVICES.iter().enumerate() {
                let present = self.present();
                let node = present[self.random.random_range(0..present.len())];
                if self.random.random_bool(rate * self.load) {
                    self.send(step, node, service, 0, false);
                }
            }
            // Servers end one after the other, in series with pauses between them.
            ending = match ending {
                0 if self.random.random_bool(0.002) => self.random.random_range(100..800),
                left => left.max(1) - 1,
            };
            let ends = self.random.random_range(0.0..2.0 * self.ends).round() as usize;
            for _ in 0..ends.min(ending) {
                let service = self.random.random_range(0..SERVICES.len());
                let server = self.random.random_range(0..SERVERS);
                self.end_server(step, service, server);
            }
            self.disturb_nodes(step);
        }
        self.counts
    }

    /// Restarts processes, many at once now and then, and takes nodes away and back.
    fn disturb_nodes(&mut self, step: usize) {
        let share = match self.random.random_range(0..1_000) {
            0..4 => 0.9,
            4..40 => 0.1,
            _ => return,
        };
        let leaves = self.random.random_bool(0.3);
        for node in 0..NODES {
            if !self.random.random_bool(share) {
                continue;
            }
            match leaves && self.present().len() > 2 {
                true => self.nodes[node] = None,
                false => self.start(node, step),
            }
        }
    }
}

fn now(step: usize) -> Moment {
    Moment(1_000_000_000) + STEP * u32::try_from(step).unwrap()
}

/// Returns the largest excess of the repeats over what is allowed in any window, over all services.
fn largest_excess(counts: &Counts) -> f64 {
    let sum = |steps: &[u32]| f64::from(steps.iter().sum::<u32>());
    let mut largest = f64::MIN;
    for service in 0..SERVICES.len() {
        let (requests, repeats) = (&counts.requests[service], &counts.repeats[service]);
        for from in (0..STEPS - WINDOW_STEPS).step_by(25) {
            let window = |before: usize| {
                let from = from.saturating_sub(before);
                sum(&requests[from..from + WINDOW_STEPS])
            };
            let asked = window(0)
                .max(window(WINDOW_STEPS))
                .max(window(WINDOW_STEPS / 2));
            let again = sum(&repeats[from..from + WINDOW_STEPS]);
            largest = largest.max(again - asked * RATIO - SLACK);
        }
    }
    largest
}

/// Guards against repeats whose sum over all nodes exceeds the budget, since each process that starts begins
/// with slack of its own, and fewer nodes have larger parts of it.
#[test]
fn restarts_and_leaves() {
    let excesses = (0..200).map(|seed| (largest_excess(&Schedule::new(seed).play()), seed));
    let (excess, seed) = excesses
        .max_by(|one, other| one.0.total_cmp(&other.0))
        .unwrap();
    println!("seed {seed} comes closest: {excess} repeats beyond the allowed");
    assert!(excess <= 0.0, "seed {seed}: {excess} repeats too many");
}
