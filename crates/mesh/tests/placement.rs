//! Which server gets which keys.

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

/// At a start all servers are equal, and so are their shares.
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

/// A slow server is overloaded, so keys leave it again and again until it has the fewest. Were free
/// keys shared out by number, each would come straight back, and its callers would be refused all
/// day while the other servers idle.
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

/// A host is lost under full load: its keys go to those that have room, by how much they have.
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

/// Ranges and how many tenths of a slot each keeps busy.
fn loads(parts: &[(u16, u16, u32)]) -> Vec<KeyLoad> {
    let load = |(first, last, tenths): &(u16, u16, u32)| {
        KeyLoad::of(range(*first, *last), f64::from(*tenths) / 10.0)
    };
    parts.iter().map(load).collect()
}

fn first_move(servers: &[Candidate]) -> Option<KeyMove> {
    pick_moves(servers, 1).into_iter().next()
}

/// A few neighbouring keys get a third of a server's requests: just they move, since every moved
/// key's work stops for a moment.
#[test]
fn hot_range() {
    let mut full = server(30_000, 1.5);
    full.key_loads = loads(&[(0, 9_999, 30), (10_000, 10_019, 55), (10_020, 29_999, 65)]);
    let servers = [full, server(20_000, 0.4), server(20_000, 0.3)];
    let chosen = first_move(&servers).unwrap();
    assert_eq!(chosen.keys, range(10_000, 10_019));
    assert_eq!((chosen.from, chosen.to), (0, 2));
}

/// Two hundred neighbouring keys suddenly get a third of a whole service's requests, ten times what
/// their server can do. Moved to one server after the other, they would have cooled before they are
/// spread; so one round of moves leaves no server with more than it can do.
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
    assert!(
        worst <= 1.0,
        "the fullest server is asked for {worst} of what it can do"
    );
}

/// Guards against a hot range from which nothing moves: refused requests come back at once, so its server
/// seems to be asked for sixty times what it can do, and each part of it for more than any server can.
#[test]
fn far_too_much() {
    let mut hot = server(20_000, 60.0);
    let part = |place: u16| (place * 10, place * 10 + 9, 250);
    let parts: Vec<(u16, u16, u32)> = (0..24).map(part).collect();
    hot.key_loads = loads(&parts);
    let servers = [hot, server(20_000, 0.9), server(20_000, 0.9)];
    let moves = pick_moves(&servers, 12);
    let got = |to: usize| moves.iter().filter(move |chosen| chosen.to == to);
    let work = |to: usize| got(to).map(|chosen| chosen.usual_slots).sum::<f64>();
    let (one, other) = (work(1), work(2));
    // An even share would be two hundred.
    for shared in [one, other, 600.0 - one - other] {
        assert!((150.0..=250.0).contains(&shared), "{one} and {other}");
    }
}

/// Nothing moves while no server is full, or none is much emptier.
#[test]
fn no_need() {
    let mut full = server(30_000, 0.7);
    full.key_loads = loads(&[(0, 29_999, 100)]);
    assert_eq!(first_move(&[full.clone(), server(20_000, 0.1)]), None);
    full.load = 1.2;
    assert_eq!(first_move(&[full, server(20_000, 1.0)]), None);
}

/// A cold server bears a few requests a second; a hot range would crash it.
#[test]
fn cold_target() {
    let mut full = server(30_000, 1.5);
    full.key_loads = loads(&[(0, 9, 45), (10, 29_999, 105)]);
    let mut cold = server(0, 0.0);
    cold.cold = true;
    let chosen = first_move(&[full, cold, server(20_000, 0.5)]).unwrap();
    assert_eq!(chosen.to, 2);
}
