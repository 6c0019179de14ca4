//! Requests under which servers end, as one node decides about them.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeSet;
use std::time::Duration;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::RouteName;
use quetzalrack_core::time::Moment;
use quetzalrack_core::traffic::poison::ContentDigest;
use quetzalrack_core::traffic::poison::KnownEnds;
use quetzalrack_core::traffic::poison::NewsOutbox;
use quetzalrack_core::traffic::poison::PeerQuery;
use quetzalrack_core::traffic::poison::PoisonGuard;
use quetzalrack_core::traffic::poison::RunId;
use quetzalrack_core::traffic::poison::ServerLife;
use quetzalrack_core::traffic::poison::SuspectNews;
use quetzalrack_core::traffic::poison::SuspectTable;
use quetzalrack_core::traffic::poison::Suspicion;
use quetzalrack_core::traffic::poison::TrialVerdict;
use quetzalrack_core::traffic::poison::Witness;

fn at(ms: u64) -> Moment {
    Moment((1_000_000 + ms) * 1_000_000)
}

fn content(name: &str) -> ContentDigest {
    ContentDigest::of([name.as_bytes()])
}

fn server(number: u64) -> ServerLife {
    ServerLife::of("server", number)
}

fn route() -> RouteName {
    "route".parse().unwrap()
}

fn nodes(count: usize) -> Vec<NodeName> {
    let name = |number| format!("node-{number:04}").parse().unwrap();
    (0..count).map(name).collect()
}

fn begin(guard: &mut PoisonGuard, ms: u64, on: u64, name: &str) -> RunId {
    guard.begin(at(ms), server(on), content(name), route())
}

/// Ends the server while this content alone is under way there.
fn end_under(guard: &mut PoisonGuard, ms: u64, on: u64, name: &str) {
    begin(guard, ms, on, name);
    assert_eq!(guard.record_end(at(ms), server(on)).len(), 1);
}

/// Guards against a sending after the third end, and against copies under way that make more than three
/// together with the ends.
#[test]
fn three_ends() {
    let mut guard = PoisonGuard::default();
    for (ends, servers) in [(1, 2), (2, 1)] {
        end_under(&mut guard, ends, ends, "guilty");
        let suspicion = guard.suspicion(at(9), &content("guilty"));
        assert_eq!(suspicion, Suspicion::Suspected { servers });
        let run = begin(&mut guard, ends, 9, "guilty");
        assert_eq!(
            guard.try_send(at(9), &content("guilty")),
            TrialVerdict::Wait
        );
        guard.record_not_run(run);
        assert_eq!(
            guard.try_send(at(9), &content("guilty")),
            TrialVerdict::Send
        );
    }
    end_under(&mut guard, 3, 3, "guilty");
    let refused = TrialVerdict::Refuse { certain: true };
    assert_eq!(guard.try_send(at(9), &content("guilty")), refused);
    assert_eq!(guard.try_send(at(9), &content("other")), TrialVerdict::Send);
}

/// Guards against the conviction of a neighbour that goes down with the guilty one twice, and is then tried
/// together with it.
#[test]
fn neighbour_apart() {
    let mut guard = PoisonGuard::default();
    for on in [1, 2] {
        begin(&mut guard, on, on, "guilty");
        begin(&mut guard, on, on, "neighbour");
        assert_eq!(guard.record_end(at(on), server(on)).len(), 2);
    }
    // One that has gone down with them once waits as well.
    guard.record_lost(at(2), content("third"), server(8), true);
    let guilty = begin(&mut guard, 3, 3, "guilty");
    for suspect in ["neighbour", "third"] {
        assert_eq!(guard.try_send(at(9), &content(suspect)), TrialVerdict::Wait);
    }
    assert_eq!(
        guard.try_send(at(9), &content("bystander")),
        TrialVerdict::Send
    );
    guard.record_not_run(guilty);
    let neighbour = begin(&mut guard, 4, 3, "neighbour");
    let news = guard.record_answer(at(5), neighbour);
    assert_eq!(news.len(), 1);
    assert_eq!(
        guard.suspicion(at(9), &content("neighbour")),
        Suspicion::None
    );
}

/// Guards against the conviction of content that is asked for so often that every server which crashes has some
/// of it under way.
#[test]
fn popular_content() {
    let mut guard = PoisonGuard::default();
    let answered = begin(&mut guard, 0, 1, "popular");
    guard.record_answer(at(1), answered);
    for on in 1..=4 {
        begin(&mut guard, 2, on, "popular");
    }
    for on in 1..=4 {
        assert_eq!(guard.record_end(at(3), server(on)).len(), 1);
    }
    let tried = Suspicion::Suspected { servers: 1 };
    assert_eq!(guard.suspicion(at(9), &content("popular")), tried);
    // Now one request at a time shows whether it is guilty, while no other suspect is under way.
    end_under(&mut guard, 4, 5, "popular");
    assert_eq!(guard.suspicion(at(9), &content("popular")), tried);
    let other = begin(&mut guard, 5, 6, "other");
    assert_eq!(
        guard.try_send(at(9), &content("popular")),
        TrialVerdict::Send
    );
    guard.record_not_run(other);
    end_under(&mut guard, 5, 6, "popular");
    assert!(guard.suspicion(at(9), &content("popular")).is_poison());
    // So many ask for it that it is tried again before long.
    assert_eq!(guard.suspicion(at(60_005), &content("popular")), tried);
    end_under(&mut guard, 60_006, 7, "popular");
    assert!(guard.suspicion(at(60_007), &content("popular")).is_poison());
}

/// Guards against a response that arrives after the end of its server was seen, but was written before.
#[test]
fn answered_before_end() {
    let mut guard = PoisonGuard::default();
    let answered = begin(&mut guard, 0, 1, "innocent");
    begin(&mut guard, 0, 1, "guilty");
    guard.record_end(at(1), server(1));
    guard.record_answer(at(2), answered);
    assert_eq!(guard.table().ends_counted(&content("innocent")), 0);
    assert_eq!(guard.table().ends_counted(&content("guilty")), 1);
}

/// Guards against a server that hangs and is replaced long after nobody waits for its response any more.
#[test]
fn hanging_server() {
    let mut guard = PoisonGuard::default();
    let run = begin(&mut guard, 0, 1, "guilty");
    guard.record_cancelled(at(1_500), run);
    assert_eq!(guard.record_end(at(9_000), server(1)).len(), 1);
    // A server that goes on answering others does not hang.
    let run = begin(&mut guard, 10_000, 2, "innocent");
    guard.record_cancelled(at(11_000), run);
    let other = begin(&mut guard, 11_500, 2, "other");
    guard.record_answer(at(11_600), other);
    assert_eq!(guard.record_end(at(14_000), server(2)).len(), 0);
}

/// Guards against nodes that disagree about an end since they heard of it, and of what took it back, in another
/// order.
#[test]
fn any_order() {
    let mut first = SuspectTable::default();
    first.record_end(at(0), content("a"), server(1), Witness::Beside, false);
    let standing = first.ends(&content("a")).to_vec();
    assert!(first.clear(at(1), &content("a"), &standing));
    let cleared = first.ends(&content("a")).to_vec();
    for order in [[&standing, &cleared], [&cleared, &standing]] {
        let mut other = SuspectTable::default();
        other.record_end(at(0), content("a"), server(2), Witness::Beside, false);
        for ends in order {
            other.merge(at(2), content("a"), ends);
        }
        assert_eq!(other.ends_counted(&content("a")), 1);
    }
}

/// Guards against a table that grows with the ends of servers, and against one that drops the guilty first.
#[test]
fn bounded_table() {
    let mut table = SuspectTable::default();
    for on in 0..3 {
        table.record_end(at(0), content("guilty"), server(on), Witness::Beside, false);
    }
    for number in 0..5_000_u64 {
        let innocent = content(&number.to_string());
        table.record_end(at(number), innocent, server(9), Witness::Beside, false);
    }
    assert_eq!(table.len(), 1_024);
    assert!(table.suspicion(at(5_000), &content("guilty")).is_poison());
    table.expire(at(3_700_000));
    assert!(table.is_empty());
}

/// Delivers what is due at one node; returns how many letters it sent, and whom they reach in the end.
fn deliver(outbox: &mut NewsOutbox, now: Moment, away: &NodeName) -> (usize, Vec<NodeName>) {
    let letters = outbox.take_due(now);
    let sent = letters.len();
    let mut reached = Vec::new();
    for letter in letters {
        if letter.to == *away {
            outbox.fail(now, letter);
            continue;
        }
        reached.push(letter.to.clone());
        reached.extend(letter.relay.clone());
        outbox.confirm(now, &letter);
    }
    (sent, reached)
}

/// Guards against messages that grow with the fleet, and against a group whose first node is away and passes
/// nothing on.
#[test]
fn large_fleet() {
    let others = nodes(2_499);
    let mut outbox = NewsOutbox::default();
    outbox.push(at(0), at(0), &[content("guilty")], &others);
    let away = others[0].clone();
    let (sent, mut reached) = deliver(&mut outbox, at(0), &away);
    assert_eq!(sent, 32);
    assert!(!outbox.is_told(at(0)) || reached.len() < others.len());
    for ms in (100..3_000).step_by(100) {
        let (sent, more) = deliver(&mut outbox, at(ms), &away);
        assert!(sent <= 2, "{sent} letters at once");
        reached.extend(more);
    }
    reached.sort();
    reached.dedup();
    // Only the one that is away has not been told.
    assert_eq!(reached.len(), others.len() - 1);
    let (_, back) = deliver(&mut outbox, at(4_000), &others[1]);
    assert_eq!(back, vec![away]);
    assert_eq!(outbox.next_due(), None);
}

/// Guards against a process that asks only others which have just started as well.
#[test]
fn asks_again() {
    let others = nodes(4);
    let (own, others) = (&others[0], &others[1..]);
    let mut query = PeerQuery::new(at(0));
    let mut asked = Vec::new();
    while let Some((node, _)) = query.next(own, others) {
        query.record_answer(at(1), &node, node == others[2]);
        asked.push(node);
    }
    assert_eq!(asked[..3], *others);
    // The informed one is asked once, the others three times.
    assert_eq!(asked.len(), 7);
    assert_eq!(query.time_left(at(1)), Some(Duration::from_millis(9_999)));
}

/// Guards against requests that wait for news where every process of the fleet has just started, and against a
/// process that takes the others for uninformed while the one that knows is slow to answer.
#[test]
fn fleet_restarts() {
    let others = nodes(5);
    let own = &others[0];
    let ran_before: BTreeSet<NodeName> = others.iter().cloned().collect();
    let mut query = PeerQuery::new(at(0));
    assert!(!query.is_fleet_uninformed(own, &BTreeSet::new()));
    for node in &others[1..] {
        assert!(
            !query.is_fleet_uninformed(own, &ran_before),
            "without {node}"
        );
        query.record_answer(at(1), node, false);
    }
    assert!(query.is_fleet_uninformed(own, &ran_before));
}

/// Guards against a node that takes what an uninformed one tells for all that is known.
#[test]
fn ends_as_text() {
    let mut table = SuspectTable::default();
    for on in 0..2 {
        table.record_end(at(0), content("a"), server(on), Witness::Beside, false);
    }
    for (list, informed) in [
        (Vec::new(), true),
        (Vec::new(), false),
        (table.ends(&content("a")).to_vec(), true),
        (table.ends(&content("a")).to_vec(), false),
    ] {
        let known = KnownEnds { list, informed };
        assert_eq!(known.to_string().parse(), Ok(known));
    }
    assert!("?,".parse::<KnownEnds>().is_ok_and(|known| !known.informed));
    assert!("?,x".parse::<KnownEnds>().is_err());
}

/// Guards against news that grow beyond what a node may spend on control.
#[test]
fn message_sizes() {
    let news_of = |table: &SuspectTable| SuspectNews {
        records: table.records(),
        relay: Vec::new(),
        informed: true,
    };
    let size = |news: &SuspectNews| postcard::to_allocvec(news).unwrap().len();
    let mut table = SuspectTable::default();
    for number in 0..18_u64 {
        let name = content(&number.to_string());
        table.record_end(at(0), name, server(1), Witness::Beside, false);
    }
    let one_end = news_of(&table);
    let relay = SuspectNews {
        relay: nodes(78),
        ..one_end.clone()
    };
    for number in 0..1_024_u64 {
        let name = content(&number.to_string());
        for on in 0..3 {
            table.record_end(at(0), name, server(on), Witness::Beside, false);
        }
    }
    let (one, relayed, all) = (size(&one_end), size(&relay), size(&news_of(&table)));
    println!(
        "an end with 18 requests under way {one} bytes, with 78 nodes to tell {relayed}, all {all}"
    );
    assert!(one <= 1_000 && relayed <= 2_000 && all <= 64 * 1_024);
}

/// Guards against the conviction of content that was under way at several nodes which are lost together, at a node
/// that has just started and seen no answer to it.
#[test]
fn lost_together() {
    let mut guard = PoisonGuard::default();
    for on in 1..=4 {
        assert!(guard.record_lost(at(0), content("popular"), server(on), false));
    }
    let tried = Suspicion::Suspected { servers: 1 };
    assert_eq!(guard.suspicion(at(9), &content("popular")), tried);
    guard.record_lost(at(1), content("popular"), server(5), true);
    assert_eq!(guard.suspicion(at(9), &content("popular")), tried);
    guard.record_lost(at(2), content("popular"), server(6), true);
    let convicted = Suspicion::Poison { certain: false };
    assert_eq!(guard.suspicion(at(9), &content("popular")), convicted);
}

/// Guards against the conviction of popular content by requests that waited at nodes whose servers had ended
/// before, under another content, and that were lost with these nodes.
#[test]
fn lost_after_end() {
    let mut guard = PoisonGuard::default();
    for on in 1..=3 {
        end_under(&mut guard, on, on, "guilty");
        assert!(!guard.record_lost(at(4), content("popular"), server(on), true));
    }
    assert_eq!(guard.suspicion(at(9), &content("popular")), Suspicion::None);
}

/// Guards against the conviction of content that had been answered, as one node after the other is lost that tries
/// it.
#[test]
fn lost_while_tried() {
    let tried = Suspicion::Suspected { servers: 1 };
    let mut beside = PoisonGuard::default();
    let answered = begin(&mut beside, 0, 1, "popular");
    beside.record_answer(at(1), answered);
    for on in [1, 2] {
        end_under(&mut beside, 2, on, "popular");
    }
    let known = beside.table().ends(&content("popular")).to_vec();
    // One sender has seen it answered, the other has just started.
    let mut long = PoisonGuard::default();
    long.record_answer_elsewhere(content("popular"));
    let new = PoisonGuard::default();
    for mut sender in [long, new] {
        sender.merge(at(3), content("popular"), &known);
        for on in 3..=6 {
            sender.record_lost(at(on), content("popular"), server(on), true);
        }
        assert_eq!(sender.suspicion(at(9), &content("popular")), tried);
    }
}

/// Guards against the conviction of popular content by nodes that have just started and seen no answer to it.
#[test]
fn ends_beside_new_processes() {
    let mut long = PoisonGuard::default();
    long.record_answer_elsewhere(content("popular"));
    let tried = Suspicion::Suspected { servers: 1 };
    for on in 1..=3 {
        let mut new = PoisonGuard::default();
        end_under(&mut new, on, on, "popular");
        let ends = new.table().ends(&content("popular")).to_vec();
        long.merge(at(on), content("popular"), &ends);
        // What it has put right reaches those that were told otherwise.
        new.merge(
            at(on),
            content("popular"),
            long.table().ends(&content("popular")),
        );
        let expected = match on {
            1 => Suspicion::None,
            _ => tried,
        };
        for guard in [&long, &new] {
            assert_eq!(guard.suspicion(at(9), &content("popular")), expected);
        }
    }
    // While it is tried, ends count as before.
    for on in 4..=5 {
        end_under(&mut long, on, on, "popular");
    }
    assert!(long.suspicion(at(9), &content("popular")).is_poison());
}

/// Guards against a process that takes what one node knows for all, though that one was cut off when the others heard of
/// the latest ends.
#[test]
fn second_answer() {
    let others = nodes(4);
    let (own, others) = (&others[0], &others[1..]);
    let ask_all = || {
        let mut query = PeerQuery::new(at(0));
        while query.next(own, others).is_some() {}
        query.record_answer(at(1), &others[0], true);
        assert!(!query.is_informed(at(2)));
        query
    };
    let mut query = ask_all();
    query.record_answer(at(3), &others[2], true);
    assert!(query.is_informed(at(3)));
    let mut query = ask_all();
    query.record_answer(at(3), &others[1], false);
    assert!(!query.is_informed(at(3)));
    query.record_silence(&others[2]);
    assert!(query.is_informed(at(4)));
    assert!(ask_all().is_informed(at(101)));
}

/// Guards against an end that a node is told late, since what it was told before could not be confirmed.
#[test]
fn unconfirmed() {
    let others = nodes(2);
    let mut outbox = NewsOutbox::default();
    for ms in [0, 1_000, 2_000] {
        outbox.push(at(ms), at(ms), &[content("earlier")], &others[..1]);
        for letter in outbox.take_due(at(ms)) {
            outbox.fail(at(ms + 500), letter);
        }
    }
    // What can wait does not have it told more often.
    outbox.push(at(2_510), at(2_560), &[content("cleared")], &others[..1]);
    assert!(outbox.take_due(at(2_560)).is_empty());
    for ms in [2_570, 2_580] {
        outbox.push(at(ms), at(ms), &[content("guilty")], &others[..1]);
        assert_eq!(outbox.take_due(at(ms)).len(), 1, "at {ms}");
    }
    assert_eq!(outbox.next_due(), None);
}

/// Guards against news that are forgotten as an earlier letter is confirmed.
#[test]
fn two_letters() {
    let others = nodes(1);
    let mut outbox = NewsOutbox::default();
    let mut letters = Vec::new();
    for name in ["first", "second"] {
        outbox.push(at(0), at(0), &[content(name)], &others);
        letters.extend(outbox.take_due(at(0)));
    }
    outbox.confirm(at(1), &letters[0]);
    assert!(!outbox.is_told(at(1)));
    outbox.fail(at(2), letters.remove(1));
    let again = outbox.take_due(at(200));
    assert_eq!(again[0].contents, Some(vec![content("second")]));
    outbox.confirm(at(201), &again[0]);
    assert!(outbox.is_told(at(201)));
    assert_eq!(outbox.next_due(), None);
}
