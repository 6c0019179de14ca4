//! Switches by which tests leave one safety rule out.

/// Says which safety rules are followed. Only tests that show what a rule prevents leave one out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SafetyRules {
    /// Rule 1: a silent holder's slices wait for a majority round begun after the lapse.
    pub confirm_lapse: bool,
    /// Rule 2: a reported lease is extended only if the majority came before its earliest end.
    pub timely_majority: bool,
    /// Rule 3: only acknowledgements of messages sent within the last lease make a majority.
    pub fresh_majority: bool,
    /// Rule 4: a lease runs from the sending of the heartbeat.
    pub send_time: bool,
    /// Rule 5: unreported slices wait two lease times.
    pub double_wait: bool,
    /// Rule 6: releases name their grant, and void every unanswered heartbeat.
    pub fenced_release: bool,
    /// Adopting a higher controller voids every unanswered heartbeat.
    pub void_heartbeats: bool,
    /// Rule 7: only the named life of a node acts as controller or deputy.
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
