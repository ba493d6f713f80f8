//! The service document: what a service needs and which disruptions it tolerates.
//! The protocol layer parses its text form; these are the validated values.

use crate::id::{Name, Revision};
use crate::resources::Resources;
use serde::{Deserialize, Serialize};

/// A service's validated document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Document {
    /// The service's name, which is also the first segment of its requests' paths.
    pub service: Name,
    /// The team that owns the document.
    pub team: Name,
    /// Chosen by the team; only a higher version replaces the document in force.
    pub version: u64,
    /// The time of day at which the service's users are busiest.
    pub peak: Option<Peak>,
    /// The kinds of request, in the order in which they are matched.
    pub requests: Box<[RequestKind]>,
    /// The kinds of task.
    pub tasks: Box<[TaskKind]>,
    /// The disruptions that the service tolerates when resources are scarce.
    #[serde(rename = "gives-up")]
    pub disruption_tolerance: DisruptionTolerance,
}

/// A service's daily peak, in the local time of its users.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Peak {
    /// IANA time zone, such as `America/Winnipeg`.
    pub time_zone: Box<str>,
    /// First minute of the peak, counted from local midnight.
    pub start_minute: u16,
    /// First minute after the peak, counted from local midnight.
    pub end_minute: u16,
}

/// A kind of request that callers send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RequestKind {
    /// Unique within the document.
    pub name: Name,
    /// The HTTP method, or `None` for any.
    pub method: Option<Box<str>>,
    /// Path after the service segment; `*` matches one segment, a last `**` the rest.
    pub path: Box<str>,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
    /// How long a caller waits for the answer, in milliseconds.
    pub deadline_ms: u64,
    /// Value of a correct answer relative to the other kinds.
    pub worth: u32,
}

/// How urgent a kind of task is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskClass {
    /// Users wait for these tasks: they are placed first and disturbed last.
    LatencyCritical,
    /// These tasks may wait and may be moved.
    #[default]
    Batch,
}

/// How a service's tasks of one kind are spread over failure domains.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Spread {
    /// Tasks may be placed anywhere.
    #[default]
    None,
    /// Prefer the rack with the fewest tasks of this kind.
    Racks,
    /// Prefer the availability zone with the fewest tasks of this kind.
    Zones,
}

/// A kind of task that a service runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct TaskKind {
    /// Unique within the document.
    pub name: Name,
    /// Declared resource need of one task; often inaccurate.
    pub need: Resources,
    /// Declared run time, in milliseconds; often inaccurate.
    pub duration_ms: u64,
    /// How urgent the kind is.
    pub class: TaskClass,
    /// How tasks of this kind are spread.
    pub spread: Spread,
}

/// The disruptions that a service tolerates, the mildest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct DisruptionTolerance {
    /// Tasks may be slowed down.
    pub throttle: bool,
    /// Tasks may be checkpointed and resumed on another worker.
    pub checkpoint: bool,
    /// Tasks may be stopped and started again from the beginning.
    pub stop: bool,
    /// Maximum number of evictions of one task.
    pub evictions: u32,
    /// Maximum time for which a batch task may wait to be placed, in milliseconds.
    pub batch_wait_ms: u64,
}

impl Document {
    /// The kind of task called `name`.
    ///
    /// ```
    /// # use yuccalink_state::document::{Document, DisruptionTolerance};
    /// # use yuccalink_state::id::Name;
    /// # let name = Name::new("quotes")?;
    /// # let doc = Document { service: name.clone(), team: name.clone(), version: 1, peak: None,
    /// #   requests: [].into(), tasks: [].into(), disruption_tolerance: DisruptionTolerance::default() };
    /// assert!(doc.task_kind(&name).is_none());
    /// # Ok::<(), yuccalink_state::id::BadName>(())
    /// ```
    pub fn task_kind(&self, name: &Name) -> Option<&TaskKind> {
        self.tasks.iter().find(|kind| kind.name == *name)
    }
}

/// SHA-256 of a document's text, which distinguishes a resend from a different change.
pub type Digest = [u8; 32];

/// An accepted document, with its origin for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Accepted {
    /// The validated document.
    pub document: Document,
    /// The exact text that was accepted.
    pub text: Box<str>,
    /// The document's position in the order of all document changes.
    pub revision: Revision,
    /// The person or tool that applied the document.
    pub author: Box<str>,
}

/// Record of an accepted version, kept so that a resend gets the first answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastVersion {
    /// The document's version.
    pub version: u64,
    /// Digest of the accepted text.
    pub digest: Digest,
    /// Revision assigned when the version was accepted.
    pub revision: Revision,
    /// The person or tool that applied this version.
    pub author: Box<str>,
}
