//! Trace lines about the actions of a node, to find the cause of a failure.

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
        Action::Send(to, PeerMessage::Heartbeat(heartbeat)) => format!(
            "heartbeat {} to {to} epoch {} reply {:?} left {} complete {} known {:?} holding {}",
            heartbeat.sequence,
            heartbeat.epoch,
            heartbeat.applied_reply,
            heartbeat.lease_left,
            heartbeat.holding_complete,
            heartbeat
                .member
                .server
                .as_ref()
                .map(|server| (server.holding_known, server.silent)),
            ranges(&heartbeat.holding)
        ),
        Action::Send(to, PeerMessage::Reply(reply)) => format!(
            "reply {} to {to} epoch {} sent at {} lease {} {:?}",
            reply.sequence,
            reply.epoch,
            reply.sent_at,
            reply.lease,
            reply.assignment.as_ref().map(|assignment| {
                let held: Vec<HeldRange> =
                    assignment.ranges.iter().map(|range| range.held).collect();
                ranges(&held)
            })
        ),
        Action::AnswerHeartbeat(HeartbeatAnswer::Renewed(renewal)) => {
            let held: Vec<HeldRange> = renewal.ranges.iter().map(|range| range.held).collect();
            format!("renewed for {:?} {}", renewal.hold, ranges(&held))
        }
        action => format!("{action:?}"),
    }
}
