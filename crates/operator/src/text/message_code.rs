//! The codes of what operators are told.

/// Is the kind of a message; a code keeps its meaning for ever.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MessageCode {
    /// QZ1001.
    Accepted,
    /// QZ1002.
    LostRace,
    /// QZ1003.
    Winner,
    /// QZ1004.
    NothingToDo,
    /// QZ1005.
    Unknown,
    /// QZ1006.
    LogDown,
    /// QZ1007.
    BaseNeeded,
    /// QZ1008.
    NotInTrial,
    /// QZ1009.
    NotInHistory,
    /// QZ1010.
    UnknownZone,
    /// QZ1011.
    NothingInForce,
    /// QZ1012.
    RecordsMissed,
    /// QZ1013.
    DocumentRight,
    /// QZ1014.
    DocumentWrong,
    /// QZ1015.
    Everywhere,
    /// QZ1016.
    NotEverywhere,
    /// QZ1017.
    Waiting,
    /// QZ1018.
    LagUnreachable,
    /// QZ1019.
    LagNoLog,
    /// QZ1020.
    LagBehind,
    /// QZ1021.
    NodeNeeded,
    /// QZ1022.
    NodeDown,
    /// QZ1023.
    KeyOwned,
    /// QZ1024.
    KeyUnowned,
    /// QZ1025.
    NothingFound,
    /// QZ1026.
    UnknownService,
    /// QZ1027.
    Same,
    /// QZ1028.
    RejectedOther,
    /// QZ1029.
    UnknownDigest,
    /// QZ1030.
    KeyUnsure,
    /// QZ1031.
    ForeignDocument,
    /// QZ1032.
    BadName,
    /// QZ1033.
    FewServers,
}

impl MessageCode {
    /// Every code.
    pub const ALL: [Self; 33] = [
        Self::Accepted,
        Self::LostRace,
        Self::Winner,
        Self::NothingToDo,
        Self::Unknown,
        Self::LogDown,
        Self::BaseNeeded,
        Self::NotInTrial,
        Self::NotInHistory,
        Self::UnknownZone,
        Self::NothingInForce,
        Self::RecordsMissed,
        Self::DocumentRight,
        Self::DocumentWrong,
        Self::Everywhere,
        Self::NotEverywhere,
        Self::Waiting,
        Self::LagUnreachable,
        Self::LagNoLog,
        Self::LagBehind,
        Self::NodeNeeded,
        Self::NodeDown,
        Self::KeyOwned,
        Self::KeyUnowned,
        Self::NothingFound,
        Self::UnknownService,
        Self::Same,
        Self::RejectedOther,
        Self::UnknownDigest,
        Self::KeyUnsure,
        Self::ForeignDocument,
        Self::BadName,
        Self::FewServers,
    ];

    /// Returns the code's text.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "QZ1001",
            Self::LostRace => "QZ1002",
            Self::Winner => "QZ1003",
            Self::NothingToDo => "QZ1004",
            Self::Unknown => "QZ1005",
            Self::LogDown => "QZ1006",
            Self::BaseNeeded => "QZ1007",
            Self::NotInTrial => "QZ1008",
            Self::NotInHistory => "QZ1009",
            Self::UnknownZone => "QZ1010",
            Self::NothingInForce => "QZ1011",
            Self::RecordsMissed => "QZ1012",
            Self::DocumentRight => "QZ1013",
            Self::DocumentWrong => "QZ1014",
            Self::Everywhere => "QZ1015",
            Self::NotEverywhere => "QZ1016",
            Self::Waiting => "QZ1017",
            Self::LagUnreachable => "QZ1018",
            Self::LagNoLog => "QZ1019",
            Self::LagBehind => "QZ1020",
            Self::NodeNeeded => "QZ1021",
            Self::NodeDown => "QZ1022",
            Self::KeyOwned => "QZ1023",
            Self::KeyUnowned => "QZ1024",
            Self::NothingFound => "QZ1025",
            Self::UnknownService => "QZ1026",
            Self::Same => "QZ1027",
            Self::RejectedOther => "QZ1028",
            Self::UnknownDigest => "QZ1029",
            Self::KeyUnsure => "QZ1030",
            Self::ForeignDocument => "QZ1031",
            Self::BadName => "QZ1032",
            Self::FewServers => "QZ1033",
        }
    }
}
