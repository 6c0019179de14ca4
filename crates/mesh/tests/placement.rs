//! Placement of keys on servers.

use quetzalrack_mesh::model::KeyRange;
use quetzalrack_mesh::ownership::KeyLoad;
use quetzalrack_mesh::placement::Candidate;
use quetzalrack_mesh::placement::KeyMove;
use quetzalrack_mesh::placement::distribute_ranges;
use quetzalrack_mesh::placement::pick_moves;

fn range(first: u16, last: u16) -> KeyRange {
    KeyRange { first, last }
}

fn server(keys: u32, load: f64) -> Candidate {
    Candidate {
        keys,
        slots: 10,
        load,
        slowness: 1.0,
        ..Candidate::default()
    }
}

/// At a start all servers are equal, and so are their shares of the keys.
#[test]
fn first_shares() {
    let servers = vec![server(0, 0.0); 4];
    let shares = distribute_ranges(&[KeyRange::ALL], &servers);
    assert_eq!(shares.len(), 4);
    let sizes: u32 = shares.iter().map(|(_, keys, _)| keys.size()).sum();
    assert_eq!(sizes, 65_536);
    for (_, keys, _) in shares {
        assert_eq!(keys.size(), 16_384);
    }
}

/// Guards against a slow server that gets back the keys that were moved away from it. It is overloaded, so
/// keys leave it until it has the fewest. If free keys were distributed by number alone, they would return at
/// once, and its requests would be refused permanently while the other servers idle.
#[test]
fn slow_server() {
    let servers = [
        server(9_000, 8.0),
        server(18_000, 0.1),
        server(18_000, 0.1),
        server(20_000, 0.1),
    ];
    for (_, _, to) in distribute_ranges(&[range(8_286, 8_305), range(40_000, 40_499)], &servers) {
        assert_ne!(to, 0);
    }
}

/// A host is lost under full load: its keys go to the servers with free capacity, in proportion to it.
#[test]
fn lost_server() {
    let servers = [
        server(16_384, 1.1),
        server(16_384, 0.3),
        server(16_384, 0.6),
    ];
    let mut got = [0; 3];
    for (_, keys, to) in distribute_ranges(&[range(0, 16_383)], &servers) {
        got[to] += keys.size();
    }
    assert_eq!(got.iter().sum::<u32>(), 16_384);
    assert!(got[1] > got[2], "{got:?}");
    assert_eq!(got[0], 0);
}

/// Returns the loads of ranges, from how many tenths of a slot each occupies.
fn loads(parts: &[(u16, u16, u32)]) -> Vec<KeyLoad> {
    let load = |(first, last, tenths): &(u16, u16, u32)| {
        KeyLoad::of(range(*first, *last), f64::from(*tenths) / 10.0)
    };
    parts.iter().map(load).collect()
}

fn first_move(servers: &[Candidate]) -> Option<KeyMove> {
    pick_moves(servers, 1).into_iter().next()
}

/// A few neighbouring keys get a third of a server's requests: only they move, since requests for every
/// moved key pause for a moment.
#[test]
fn hot_range() {
    let mut busy = server(30_000, 1.5);
    busy.key_loads = loads(&[(0, 9_999, 30), (10_000, 10_019, 55), (10_020, 29_999, 65)]);
    let servers = [busy, server(20_000, 0.4), server(20_000, 0.3)];
    let chosen = first_move(&servers).unwrap();
    assert_eq!(chosen.keys, range(10_000, 10_019));
    assert_eq!((chosen.from, chosen.to), (0, 2));
}

/// Guards against a hot range that cools before it is distributed. Two hundred neighbouring keys suddenly
/// get a third of a whole service's requests, ten times their server's capacity. Moves to one server after
/// another would take longer than the range stays hot. Two rounds of moves must leave no server above its
/// capacity.
#[test]
fn spread_at_once() {
    let mut hot = server(2_000, 10.0);
    let part = |place: u16| (place * 10, place * 10 + 9, 42);
    let parts: Vec<(u16, u16, u32)> = (0..24).map(part).collect();
    hot.key_loads = loads(&parts);
    let mut servers = vec![hot];
    servers.extend((0..29).map(|_| server(2_000, 0.4)));
    let mut after: Vec<f64> = servers.iter().map(|server| server.load).collect();
    let mut rounds = 0;
    while rounds < 2 {
        rounds += 1;
        for chosen in pick_moves(&servers, 12) {
            let load = chosen.usual_slots / 10.0;
            after[chosen.from] -= load;
            after[chosen.to] += load;
            let moved = chosen.keys;
            servers[0]
                .key_loads
                .retain(|part| moved.common(&part.keys).is_none());
        }
        for (server, load) in servers.iter_mut().zip(&after) {
            server.load = *load;
        }
    }
    let worst = after.iter().copied().fold(0.0, f64::max);
    assert!(worst <= 1.0, "the busiest server has a load of {worst}");
}

/// Guards against a hot range from which nothing moves: refused requests come back at once, so the demand on
/// its server seems to be sixty times its capacity, and that on each part more than any server's capacity.
#[test]
fn demand_from_refusals() {
    let mut hot = server(20_000, 60.0);
    let part = |place: u16| (place * 10, place * 10 + 9, 250);
    let parts: Vec<(u16, u16, u32)> = (0..24).map(part).collect();
    hot.key_loads = loads(&parts);
    let servers = [hot, server(20_000, 0.9), server(20_000, 0.9)];
    let moves = pick_moves(&servers, 12);
    let got = |to: usize| moves.iter().filter(move |chosen| chosen.to == to);
    let slots = |to: usize| got(to).map(|chosen| chosen.usual_slots).sum::<f64>();
    let (one, other) = (slots(1), slots(2));
    // An even share would be two hundred.
    for shared in [one, other, 600.0 - one - other] {
        assert!((150.0..=250.0).contains(&shared), "{one} and {other}");
    }
}

/// Nothing moves while no server is overloaded, or none is much less loaded.
#[test]
fn no_need() {
    let mut busy = server(30_000, 0.7);
    busy.key_loads = loads(&[(0, 29_999, 100)]);
    assert_eq!(first_move(&[busy.clone(), server(20_000, 0.1)]), None);
    busy.load = 1.2;
    assert_eq!(first_move(&[busy, server(20_000, 1.0)]), None);
}

/// A hot range does not move to a cold server: it can serve only a few requests per second, and would crash.
#[test]
fn cold_target() {
    let mut busy = server(30_000, 1.5);
    busy.key_loads = loads(&[(0, 9, 45), (10, 29_999, 105)]);
    let mut cold = server(0, 0.0);
    cold.cold = true;
    let chosen = first_move(&[busy, cold, server(20_000, 0.5)]).unwrap();
    assert_eq!(chosen.to, 2);
}

/// Guards against a server that loses all its keys: hot keys have split them into so many ranges that it doesn't
/// take the answer that lists them.
#[test]
fn bounded_ranges() {
    const MAX_ANSWER_BYTES: usize = 4_096;
    const ROW: &str = r#"[65535,65535,9007199254740991,"5c0e7a21d94b36f8"],"#;
    let mut ranges = [1_usize; 4];
    for round in 0..400_u16 {
        let hot = usize::from(round % 4);
        let servers: Vec<Candidate> = (0..4)
            .map(|index| {
                let is_hot = index == hot;
                let keys = (0..12_u16).map(|key| KeyLoad::of(range(key * 9, key * 9), 3.0));
                Candidate {
                    ranges: ranges[index],
                    key_loads: if is_hot { keys.collect() } else { Vec::new() },
                    ..server(16_384, if is_hot { 1.8 } else { 0.1 })
                }
            })
            .collect();
        for chosen in pick_moves(&servers, 12) {
            ranges[chosen.from] += 1;
            ranges[chosen.to] += 1;
        }
    }
    let longest = ranges.iter().max().unwrap() * ROW.len();
    assert!(
        ranges.iter().all(|count| *count > 30),
        "{ranges:?}: nothing moves"
    );
    assert!(
        longest + 64 <= MAX_ANSWER_BYTES,
        "{ranges:?}: {longest} bytes"
    );
}
