//! Messages in English; `{0}` is the field, `{1}` what was found, `{2}` what is right.

use crate::document::ProblemCode;

pub(super) fn template(code: ProblemCode) -> &'static str {
    match code {
        ProblemCode::MissingFile => "The file {1} can't be read: {2}",
        ProblemCode::Empty => "The file is empty.",
        ProblemCode::TooLarge => "The file has {1} bytes; at most {2} are allowed.",
        ProblemCode::TooDeep => "Lists and objects are nested more than {2} deep.",
        ProblemCode::NotUtf8 => "Byte {1} is not UTF-8 text.",
        ProblemCode::Syntax => "This is not JSON: {1}",
        ProblemCode::UnknownField => "Unknown field {1}. Known fields here: {2}",
        ProblemCode::MissingField => "The field {1} is missing.",
        ProblemCode::WrongType => "{0} must be {2}, not {1}.",
        ProblemCode::WrongUnit => "{1} has another unit. Write {2}",
        ProblemCode::RepeatedField => "The field {1} stands twice.",
        ProblemCode::BadName => {
            "{1} is not a name. A name has 1 to 63 characters: a-z, 0-9, and - inside."
        }
        ProblemCode::OutOfRange => "{0} is {1}; allowed: {2}.",
        ProblemCode::NotWhole => "{0} is {1}; it must be a whole number.",
        ProblemCode::UnknownChoice => "{0} is {1}; allowed: {2}.",
        ProblemCode::Zero => "{0} must be at least 1.",
        ProblemCode::TooMany => "{0} has {1} entries; at most {2} are allowed.",
        ProblemCode::BadPath => {
            "{1} is not a path. Write /text/{3} with a-z, A-Z, 0-9, . _ ~ - in each part, and {3} at most once."
        }
        ProblemCode::DuplicateZone => "The availability zone {1} stands twice; first at {2}.",
        ProblemCode::DuplicateService => "The service {1} stands twice; first at {2}.",
        ProblemCode::DuplicateRoute => "The route {1} stands twice; first at {2}.",
        ProblemCode::OverlappingRoute => "{1} matches the same requests as {2}.",
        ProblemCode::ColdAboveSlots => "cold_slots is {1}, more than slots, which is {2}.",
        ProblemCode::KeyMissing => {
            "The path {1} needs {3}: the service is divided by key, or the route is not repeatable."
        }
        ProblemCode::DeadlineTooShort => {
            "deadline_ms is {1}, less than the objective's latency_ms, which is {2}."
        }
        ProblemCode::LeaseTooShort => {
            "lease_ms is {1}; with this heartbeat_ms and margin_ms it must be at least {2}."
        }
        ProblemCode::TightObjective => {
            "The objective is {1} ms, but the network alone takes {2} ms."
        }
        ProblemCode::SlotsAboveConnections => {
            "slots is {1}, but only {2} connections are accepted: some slots stay empty."
        }
        ProblemCode::FewServers => {
            "There are {1} backend servers for {2} availability zones: some zone has none."
        }
        ProblemCode::LoneServer => {
            "There is only one backend server: when it is lost, nothing answers."
        }
        ProblemCode::NoBudget => "good_percent is 100: one bad request breaks the objective.",
        ProblemCode::SlowTakeover => {
            "After a loss a key can be unavailable for {1} ms; at most {2} ms is wanted."
        }
        ProblemCode::FewZones => {
            "There are {1} availability zones; with fewer than {2}, the loss of one stops changes of ownership."
        }
        ProblemCode::FewSlices => "There are {1} slices for {2} backend servers: some own nothing.",
    }
}
