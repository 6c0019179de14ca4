//! The stable codes of problems.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::Severity;

/// Is the kind of a problem. A code keeps its meaning for ever; a new kind gets a new code.
///
/// `QZ00xx` concern the text, `QZ01xx` the fields, `QZ02xx` how they fit together, and `QZ09xx`
/// are warnings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum ProblemCode {
    /// The file can't be read.
    #[serde(rename = "QZ0001")]
    MissingFile,
    /// There are no bytes.
    #[serde(rename = "QZ0002")]
    Empty,
    /// There are too many bytes.
    #[serde(rename = "QZ0003")]
    TooLarge,
    /// Lists and objects are nested too deeply.
    #[serde(rename = "QZ0004")]
    TooDeep,
    /// The bytes are not UTF-8 text.
    #[serde(rename = "QZ0005")]
    NotUtf8,
    /// The text is not JSON.
    #[serde(rename = "QZ0006")]
    Syntax,
    /// The schema has no such field.
    #[serde(rename = "QZ0101")]
    UnknownField,
    /// A required field is missing.
    #[serde(rename = "QZ0102")]
    MissingField,
    /// The value has another type.
    #[serde(rename = "QZ0103")]
    WrongType,
    /// The number has another unit.
    #[serde(rename = "QZ0104")]
    WrongUnit,
    /// The field stands twice in one object.
    #[serde(rename = "QZ0105")]
    RepeatedField,
    /// The text is not a name.
    #[serde(rename = "QZ0106")]
    BadName,
    /// The number is too small or too great.
    #[serde(rename = "QZ0107")]
    OutOfRange,
    /// The number is not whole.
    #[serde(rename = "QZ0108")]
    NotWhole,
    /// The text is none of the choices.
    #[serde(rename = "QZ0109")]
    UnknownChoice,
    /// There must be at least one.
    #[serde(rename = "QZ0110")]
    Zero,
    /// The list is too long.
    #[serde(rename = "QZ0111")]
    TooMany,
    /// The text is not a path of a route.
    #[serde(rename = "QZ0112")]
    BadPath,
    /// Two availability zones have one name.
    #[serde(rename = "QZ0201")]
    DuplicateZone,
    /// Two services have one name.
    #[serde(rename = "QZ0202")]
    DuplicateService,
    /// Two routes of a service have one name.
    #[serde(rename = "QZ0203")]
    DuplicateRoute,
    /// Two routes match the same request.
    #[serde(rename = "QZ0204")]
    OverlappingRoute,
    /// A cold backend server would bear more than a warm one.
    #[serde(rename = "QZ0205")]
    ColdAboveSlots,
    /// The route's path needs a key.
    #[serde(rename = "QZ0206")]
    KeyMissing,
    /// The deadline is shorter than the objective's latency.
    #[serde(rename = "QZ0207")]
    DeadlineTooShort,
    /// The lease leaves no time for a lost heartbeat.
    #[serde(rename = "QZ0208")]
    LeaseTooShort,
    /// The objective is tighter than the network allows.
    #[serde(rename = "QZ0901")]
    TightObjective,
    /// The slots can't all be used over the connections.
    #[serde(rename = "QZ0902")]
    SlotsAboveConnections,
    /// Some availability zone has no backend server of the service.
    #[serde(rename = "QZ0903")]
    FewServers,
    /// There is no other backend server to take over.
    #[serde(rename = "QZ0904")]
    LoneServer,
    /// The objective leaves no error budget.
    #[serde(rename = "QZ0905")]
    NoBudget,
    /// Ownership takes longer than 5 s to move after a loss.
    #[serde(rename = "QZ0906")]
    SlowTakeover,
    /// The loss of one availability zone stops changes of ownership.
    #[serde(rename = "QZ0907")]
    FewZones,
    /// Some backend server owns no slice.
    #[serde(rename = "QZ0908")]
    FewSlices,
}

impl ProblemCode {
    /// Every code.
    pub const ALL: [Self; 34] = [
        Self::MissingFile,
        Self::Empty,
        Self::TooLarge,
        Self::TooDeep,
        Self::NotUtf8,
        Self::Syntax,
        Self::UnknownField,
        Self::MissingField,
        Self::WrongType,
        Self::WrongUnit,
        Self::RepeatedField,
        Self::BadName,
        Self::OutOfRange,
        Self::NotWhole,
        Self::UnknownChoice,
        Self::Zero,
        Self::TooMany,
        Self::BadPath,
        Self::DuplicateZone,
        Self::DuplicateService,
        Self::DuplicateRoute,
        Self::OverlappingRoute,
        Self::ColdAboveSlots,
        Self::KeyMissing,
        Self::DeadlineTooShort,
        Self::LeaseTooShort,
        Self::TightObjective,
        Self::SlotsAboveConnections,
        Self::FewServers,
        Self::LoneServer,
        Self::NoBudget,
        Self::SlowTakeover,
        Self::FewZones,
        Self::FewSlices,
    ];

    /// Returns the code's text.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::MissingFile => "QZ0001",
            Self::Empty => "QZ0002",
            Self::TooLarge => "QZ0003",
            Self::TooDeep => "QZ0004",
            Self::NotUtf8 => "QZ0005",
            Self::Syntax => "QZ0006",
            Self::UnknownField => "QZ0101",
            Self::MissingField => "QZ0102",
            Self::WrongType => "QZ0103",
            Self::WrongUnit => "QZ0104",
            Self::RepeatedField => "QZ0105",
            Self::BadName => "QZ0106",
            Self::OutOfRange => "QZ0107",
            Self::NotWhole => "QZ0108",
            Self::UnknownChoice => "QZ0109",
            Self::Zero => "QZ0110",
            Self::TooMany => "QZ0111",
            Self::BadPath => "QZ0112",
            Self::DuplicateZone => "QZ0201",
            Self::DuplicateService => "QZ0202",
            Self::DuplicateRoute => "QZ0203",
            Self::OverlappingRoute => "QZ0204",
            Self::ColdAboveSlots => "QZ0205",
            Self::KeyMissing => "QZ0206",
            Self::DeadlineTooShort => "QZ0207",
            Self::LeaseTooShort => "QZ0208",
            Self::TightObjective => "QZ0901",
            Self::SlotsAboveConnections => "QZ0902",
            Self::FewServers => "QZ0903",
            Self::LoneServer => "QZ0904",
            Self::NoBudget => "QZ0905",
            Self::SlowTakeover => "QZ0906",
            Self::FewZones => "QZ0907",
            Self::FewSlices => "QZ0908",
        }
    }

    /// Returns how bad a problem of this kind is.
    pub fn severity(self) -> Severity {
        match self.as_str().starts_with("QZ09") {
            true => Severity::Warning,
            false => Severity::Error,
        }
    }
}

impl fmt::Display for ProblemCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
