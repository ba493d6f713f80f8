//! Identifiers: short validated names for objects that people name, small `Copy`
//! numbers for objects that the system numbers.

use derive_more::{AsRef, Display, From, Into};
use serde::{Deserialize, Serialize};

/// Longest accepted name, in bytes.
pub const NAME_MAX: usize = 63;

/// A name given by people: 1 to 63 of `a-z`, `0-9`, `-`, `_` and `.`, starting
/// with a letter or digit.
///
/// ```
/// use yuccalink_state::id::Name;
/// assert!(Name::new("duty-desk").is_ok());
/// assert!(Name::new("Duty Desk").is_err());
/// ```
#[derive(
    Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, AsRef,
)]
#[as_ref(str)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct Name(Box<str>);

/// `{0:?}` is not a name: use 1 to 63 of a-z, 0-9, '-', '_' and '.', starting with a letter or digit
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub struct BadName(pub Box<str>);

impl std::error::Error for BadName {}

impl Name {
    /// Validates `text` as a name.
    ///
    /// # Errors
    /// [`BadName`] if a character or the length is not accepted.
    ///
    /// ```
    /// # use yuccalink_state::id::Name;
    /// assert_eq!(Name::new("quotes")?.as_str(), "quotes");
    /// # Ok::<(), yuccalink_state::id::BadName>(())
    /// ```
    pub fn new(text: &str) -> Result<Self, BadName> {
        let head_ok = text.bytes().next().is_some_and(|b| b.is_ascii_alphanumeric());
        let all_ok = text.bytes().all(|b| {
            b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'-' | b'_' | b'.')
        });
        if head_ok && all_ok && text.len() <= NAME_MAX {
            Ok(Self(text.into()))
        } else {
            Err(BadName(text.into()))
        }
    }

    /// The name as text.
    ///
    /// ```
    /// # use yuccalink_state::id::Name;
    /// assert_eq!(Name::new("a")?.as_str(), "a");
    /// # Ok::<(), yuccalink_state::id::BadName>(())
    /// ```
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<Box<str>> for Name {
    type Error = BadName;

    fn try_from(text: Box<str>) -> Result<Self, BadName> {
        Self::new(&text)
    }
}

impl From<Name> for Box<str> {
    fn from(name: Name) -> Self {
        name.0
    }
}

/// A task's number, which is never reused.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    From,
    Into,
)]
#[display("t{_0}")]
#[serde(transparent)]
pub struct TaskId(pub u64);

/// `{0}` is no task number; write one such as 7 or t7
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub struct BadTaskId(pub Box<str>);

impl std::error::Error for BadTaskId {}

/// Parses `7` or `t7`.
///
/// ```
/// # use yuccalink_state::id::TaskId;
/// assert_eq!("t7".parse(), Ok(TaskId(7)));
/// assert!("seven".parse::<TaskId>().is_err());
/// ```
impl std::str::FromStr for TaskId {
    type Err = BadTaskId;

    fn from_str(text: &str) -> Result<Self, BadTaskId> {
        let digits = text.strip_prefix('t').unwrap_or(text);
        digits.parse().map(Self).map_err(|_| BadTaskId(text.into()))
    }
}

/// How many times a task has been placed. An order or report with an older epoch
/// is ignored.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    From,
    Into,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The epoch of the next placement.
    ///
    /// ```
    /// # use yuccalink_state::id::Epoch;
    /// assert_eq!(Epoch(1).next(), Epoch(2));
    /// ```
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Position of an accepted document change in the total order of these changes.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    From,
    Into,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// Index of a service in the state machine's list of services.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceKey(pub u32);

/// Index of a worker in the state machine's list of workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkerKey(pub u32);

/// Number of one run of a target's process; a target that restarts draws a new one.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    From,
    Into,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);
