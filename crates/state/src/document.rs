//! The service document: what a service needs and what it may give up. Its
//! text form is read by the protocol layer; these are the checked values.

use crate::id::{Name, Revision};
use crate::resources::Resources;
use serde::{Deserialize, Serialize};

/// One service's document, checked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Document {
    /// The service; also the first segment of its requests' paths.
    pub service: Name,
    /// The team that owns the document.
    pub team: Name,
    /// Chosen by the team; only a higher one replaces what is in force.
    pub version: u64,
    /// When the service's people are busiest.
    pub peak: Option<Peak>,
    /// The kinds of request, in the order they are matched.
    pub requests: Box<[RequestKind]>,
    /// The kinds of task.
    pub tasks: Box<[TaskKind]>,
    /// What the service may give up under pressure.
    #[serde(rename = "gives-up")]
    pub disruption_tolerance: DisruptionTolerance,
}

/// The daily peak by the wall clock of the people who cause it.
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
    /// How long a caller waits, in milliseconds.
    pub deadline_ms: u64,
    /// What a correct answer is worth against other kinds.
    pub worth: u32,
}

/// How urgent a kind of task is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskClass {
    /// Serves people who wait: placed first, disturbed last.
    LatencyCritical,
    /// May wait and may be moved.
    #[default]
    Batch,
}

/// What a service's tasks of one kind must not share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Spread {
    /// Tasks may sit anywhere.
    #[default]
    None,
    /// Prefer the rack that holds the fewest of this kind.
    Racks,
    /// Prefer the availability zone that holds the fewest of this kind.
    Zones,
}

/// A kind of task that a service runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct TaskKind {
    /// Unique within the document.
    pub name: Name,
    /// Declared need of one task; often far off.
    pub need: Resources,
    /// Declared run time, in milliseconds; often far off.
    pub duration_ms: u64,
    /// How urgent the kind is.
    pub class: TaskClass,
    /// How its tasks are spread.
    pub spread: Spread,
}

/// What a service may give up, mildest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct DisruptionTolerance {
    /// Its tasks may be slowed.
    pub throttle: bool,
    /// Its tasks may be saved and resumed elsewhere.
    pub checkpoint: bool,
    /// Its tasks may be stopped and begun again.
    pub stop: bool,
    /// Most evictions one task may suffer.
    pub evictions: u32,
    /// Longest a batch task may wait for a place, in milliseconds.
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

/// SHA-256 of a document's text: tells a resend from a different change.
pub type Digest = [u8; 32];

/// An accepted document with what an operator needs to trace it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Accepted {
    /// The checked document.
    pub document: Document,
    /// The exact text that was accepted.
    pub text: Box<str>,
    /// Position in the order of changes.
    pub revision: Revision,
    /// Who applied it.
    pub author: Box<str>,
}

/// What is remembered of each accepted version, so that a resend gets its first answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastVersion {
    /// The version that the document stated.
    pub version: u64,
    /// Digest of the accepted text.
    pub digest: Digest,
    /// Revision given at acceptance.
    pub revision: Revision,
    /// Who applied it.
    pub author: Box<str>,
}
