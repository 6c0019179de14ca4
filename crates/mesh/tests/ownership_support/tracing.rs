//! Short lines about what a node does, for the cause of a failure.

use quetzalrack_mesh::model::HeldRange;
use quetzalrack_mesh::ownership::Action;
use quetzalrack_mesh::ownership::HeartbeatAnswer;
use quetzalrack_mesh::ownership::PeerMessage;

pub fn ranges(ranges: &[HeldRange]) -> String {
    let texts = ranges
        .iter()
        .map(|held| format!("{}#{}", held.keys, held.fence));
    texts.collect::<Vec<_>>().join(" ")
}

pub fn line(action: &Action) -> String {
    match action {
        Action::Send(to, PeerMessage::Heartbeat(beat)) => format!(
            "beat {} to {to} epoch {} order {:?} left {} known {} settled {:?} holding {}",
            beat.sequence,
            beat.epoch,
            beat.applied_reply,
            beat.lease_left,
            beat.holding_complete,
            beat.member
                .server
                .as_ref()
                .map(|server| (server.holding_known, server.silent)),
            ranges(&beat.holding)
        ),
        Action::Send(to, PeerMessage::Reply(order)) => format!(
            "order {} to {to} epoch {} stamp {} lease {} {:?}",
            order.sequence,
            order.epoch,
            order.sent_at,
            order.lease,
            order.assignment.as_ref().map(|assignment| {
                let held: Vec<HeldRange> =
                    assignment.ranges.iter().map(|range| range.held).collect();
                ranges(&held)
            })
        ),
        Action::AnswerHeartbeat(HeartbeatAnswer::Renewed(renewal)) => {
            let held: Vec<HeldRange> = renewal.ranges.iter().map(|range| range.held).collect();
            format!("renews for {:?} {}", renewal.hold, ranges(&held))
        }
        action => format!("{action:?}"),
    }
}
