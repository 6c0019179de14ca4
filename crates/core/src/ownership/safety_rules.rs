//! Switches with which tests disable single safety rules.

/// Selects the safety rules to follow. Only tests that show what a rule prevents disable one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SafetyRules {
    /// Rule 1: a silent holder's slices stay ungranted until a majority acknowledges a round that
    /// began after the lease lapsed.
    pub confirm_lapse: bool,
    /// Rule 2: a reported lease is extended only if the majority was reached before the earliest
    /// moment at which the lease can have ended.
    pub timely_majority: bool,
    /// Rule 3: only acknowledgements of messages sent within the last lease time count towards a
    /// majority.
    pub fresh_majority: bool,
    /// Rule 4: a lease is counted from the sending of the heartbeat.
    pub send_time: bool,
    /// Rule 5: unreported slices stay ungranted for two lease times.
    pub double_wait: bool,
    /// Rule 6: a release carries the fence of its grant and voids every unanswered heartbeat.
    pub fenced_release: bool,
    /// Adopting a higher ballot voids every unanswered heartbeat.
    pub void_heartbeats: bool,
    /// Rule 7: only the incarnation of a node that the term names acts as controller or deputy.
    pub exact_incarnation: bool,
    /// A restarted voter abstains for two lease times.
    pub abstention: bool,
}

impl Default for SafetyRules {
    fn default() -> Self {
        Self {
            confirm_lapse: true,
            timely_majority: true,
            fresh_majority: true,
            send_time: true,
            double_wait: true,
            fenced_release: true,
            void_heartbeats: true,
            exact_incarnation: true,
            abstention: true,
        }
    }
}
