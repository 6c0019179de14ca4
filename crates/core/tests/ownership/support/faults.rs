//! Faults of the network and of the log.

/// Sets the probability of each fault of a message, in percent, and the delays of messages.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub lost: u32,
    pub duplicated: u32,
    pub late: u32,
    pub delay_us: u64,
    pub late_us: u64,
    /// Probability that an append's answer is lost, in percent.
    pub answer_lost: u32,
}

impl Faults {
    /// A network without faults.
    pub fn none() -> Self {
        Self {
            lost: 0,
            duplicated: 0,
            late: 0,
            delay_us: 500,
            late_us: 0,
            answer_lost: 0,
        }
    }
}
