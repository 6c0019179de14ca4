//! Messages in English.

use super::MessageCode;

pub(super) fn template(code: MessageCode) -> &'static str {
    match code {
        MessageCode::Accepted => "{0}: accepted as version {1} in {2}.",
        MessageCode::LostRace => {
            "Rejected: another order took version {0} in {1} first. Nothing of yours is in force."
        }
        MessageCode::Winner => "Version {0} is: {1}, by {2}. Reason: {3}",
        MessageCode::NothingToDo => "{0}: already so in {1}; nothing to do.",
        MessageCode::Unknown => {
            "Unknown: the order may be in the log or not. Run the same command again: it can't count twice. Record {0}"
        }
        MessageCode::LogDown => {
            "The log service {0} does not answer. Nothing was done; run this again safely."
        }
        MessageCode::BaseNeeded => {
            "Version {0} is in force in {1}. Look at it, then give --base {0}."
        }
        MessageCode::NotInTrial => "Rejected: trial has not accepted the document {0}.",
        MessageCode::NotInHistory => "Rejected: {0} is not in the history of {1}.",
        MessageCode::UnknownZone => "Rejected: there is no availability zone {0}. There are: {1}",
        MessageCode::NothingInForce => "Nothing is in force in {0} yet.",
        MessageCode::RecordsMissed => {
            "The log no longer tells what is in force, and holds no snapshot. Nothing was done."
        }
        MessageCode::DocumentRight => "{0} is right. Digest {1}. Warnings: {2}",
        MessageCode::DocumentWrong => "{0} is refused. Errors: {1}. Warnings: {2}. Not listed: {3}",
        MessageCode::Everywhere => "Version {0} is in force at every node that is known ({1}).",
        MessageCode::NotEverywhere => "Version {0} is not in force at {1} of {2} nodes.",
        MessageCode::Waiting => "Waiting: version {0} at {1} of {2} nodes.",
        MessageCode::LagUnreachable => "{0}: does not answer.",
        MessageCode::LagNoLog => "{0}: has version {1}; it can't reach the log service.",
        MessageCode::LagBehind => "{0}: has version {1}; it is still reading.",
        MessageCode::NodeNeeded => "Give the admin address of a node: --node http://IP:PORT",
        MessageCode::NodeDown => "The node {0} gives no answer: {1}",
        MessageCode::KeyOwned => "Key {0} of {1} is in slice {2}, held by {3} under fence {4}.",
        MessageCode::KeyUnowned => {
            "Key {0} of {1} is in slice {2}; the routing table names no holder now."
        }
        MessageCode::NothingFound => "No node remembers anything about {0}.",
        MessageCode::UnknownService => "There is no service {0}. There are: {1}",
        MessageCode::Same => "There is no difference.",
        MessageCode::RejectedOther => "Rejected: {0}",
        MessageCode::UnknownDigest => "{0} names no single document. Give more of its digest.",
        MessageCode::KeyUnsure => {
            "Key {0} of {1} is in slice {2}; the routing table names {3}, which does not confirm it."
        }
        MessageCode::ForeignDocument => {
            "The document describes the environment {0}, the settings {1}. Nothing was done."
        }
        MessageCode::BadName => {
            "{0} is not a name. A name has 1 to 63 characters: a-z, 0-9, and - inside."
        }
        MessageCode::FewServers => {
            "{0}: {1} of {2} backend servers are known; the others have no node that could follow."
        }
    }
}
