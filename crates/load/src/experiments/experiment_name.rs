//! The names of the experiments.

use clap::ValueEnum;

/// Names an experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(ValueEnum)]
pub enum ExperimentName {
    /// How unevenly work spreads over servers
    Imbalance,
    /// How many slices move when a host is lost and comes back
    Churn,
    /// How long keys go without service after losses, with the log up and down
    Unavailable,
    /// An availability zone leaves and returns under load
    Zone,
    /// Tail latency while one and two servers are slow
    Slowed,
    /// A server turns cold unannounced
    SilentCold,
    /// The log is down and a host is lost meanwhile
    LogOutage,
    /// Every node restarts in turn under load
    RollingRestart,
    /// The hottest keys move
    HotKey,
    /// Two operators give orders at once
    RacingOperators,
    /// What control costs at several sizes; not among `all`
    Capacity,
    /// Every one of them but capacity
    All,
}

impl ExperimentName {
    const EACH: [Self; 10] = [
        Self::Imbalance,
        Self::Churn,
        Self::Unavailable,
        Self::Zone,
        Self::Slowed,
        Self::SilentCold,
        Self::LogOutage,
        Self::RollingRestart,
        Self::HotKey,
        Self::RacingOperators,
    ];

    /// Lists the experiments that the name stands for.
    pub fn each(self) -> Vec<Self> {
        match self {
            Self::All => Self::EACH.to_vec(),
            one => vec![one],
        }
    }

    /// Returns the name as files carry it.
    pub fn file_name(self) -> &'static str {
        match self {
            Self::Imbalance => "imbalance",
            Self::Churn => "churn",
            Self::Unavailable => "unavailable",
            Self::Zone => "zone",
            Self::Slowed => "slowed",
            Self::SilentCold => "silent-cold",
            Self::LogOutage => "log-outage",
            Self::RollingRestart => "rolling-restart",
            Self::HotKey => "hot-key",
            Self::RacingOperators => "racing-operators",
            Self::Capacity => "capacity",
            Self::All => "all",
        }
    }
}
