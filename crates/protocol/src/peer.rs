//! Messages between daemons: an entry's requests to the leader, the leader's responses
//! and updates, and their mapping to the Cap'n Proto schema.

use crate::api::{
    Applied, Cancelled, DecisionView, Heartbeat, HeartbeatReply, ServiceView, Status, SubmitTasks,
    Submitted, TargetView, TaskView,
};
use crate::problem::Problem;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use yuccalink_state::command::{RequestBegin, RequestEnd};
use yuccalink_state::document::Accepted;
use yuccalink_state::evacuation::{ZoneOrder, ZoneView};
use yuccalink_state::id::{Incarnation, Name, TaskId};
use yuccalink_state::ledger::Verdict;
use yuccalink_state::target::{RunnerSpec, TargetSpec};

/// Version of the protocol between daemons; a daemon refuses connections of other versions.
pub const VERSION: u32 = 1;
/// Maximum size of an encoded message part, in bytes.
pub const PART_MAX: usize = 8 * 1024 * 1024;

/// A request that an entry sends to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaderRequest {
    /// Applies a document. The entry has validated the text and the leader validates it again.
    Apply {
        /// Text of the document.
        text: Box<str>,
        /// Author who applies the document.
        author: Box<str>,
    },
    /// Asks whether a revision is in force on every entry.
    InForce {
        /// The revision.
        revision: u64,
    },
    /// Lists all documents without their texts.
    Services,
    /// Returns one document with its text.
    Service(Name),
    /// Adds tasks.
    Submit {
        /// Idempotency key: a repeated key gets the same response.
        key: Box<str>,
        /// The tasks to add.
        tasks: SubmitTasks,
    },
    /// Cancels tasks.
    Cancel(Vec<TaskId>),
    /// Returns one task.
    Task(TaskId),
    /// Lists tasks page by page.
    Tasks(TaskFilter),
    /// Registers a target.
    Announce {
        /// Properties from the target's announcement.
        target: TargetSpec,
        /// Number of requests that the target is processing.
        busy: u32,
    },
    /// Passes on the periodic report of a target.
    Heartbeat {
        /// Name of the target.
        name: Name,
        /// Report of the target.
        #[serde(rename = "beat")]
        heartbeat: Heartbeat,
    },
    /// Deregisters a target.
    Leave {
        /// Name of the target.
        name: Name,
        /// Incarnation of the target process.
        incarnation: Incarnation,
    },
    /// Records that a request which must be executed at most once is about to be sent.
    RequestBegin(RequestBegin),
    /// Records the end of a request which must be executed at most once.
    RequestEnd(RequestEnd),
    /// Returns the leader's view of the system.
    Status,
    /// Lists all targets.
    Targets,
    /// Lists the leader's last decisions.
    Decisions,
    /// Returns a snapshot of the whole state.
    Snapshot,
    /// Evacuates an availability zone, or gives it work again.
    Zone(ZoneOrder),
    /// Lists the availability zones.
    Zones,
}

/// Filter for a list of tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskFilter {
    /// Only tasks of this service.
    pub service: Option<Name>,
    /// Only tasks in this phase.
    pub phase: Option<Box<str>>,
    /// Only tasks with an id above this one.
    pub after: u64,
    /// Maximum number of tasks to list.
    pub limit: u32,
}

/// The leader's response to a [`LeaderRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaderResponse {
    /// Response to [`LeaderRequest::Apply`].
    Applied(Applied),
    /// Response to [`LeaderRequest::InForce`].
    InForce {
        /// Whether every entry that may be serving has applied the revision.
        everywhere: bool,
        /// Entries that may still be serving with an older revision.
        waiting_for: Vec<Name>,
    },
    /// Response to [`LeaderRequest::Services`].
    Services(Vec<ServiceView>),
    /// Response to [`LeaderRequest::Service`].
    Service(ServiceView),
    /// Response to [`LeaderRequest::Submit`].
    Submitted(Submitted),
    /// Response to [`LeaderRequest::Cancel`].
    Cancelled(Vec<Cancelled>),
    /// Response to [`LeaderRequest::Task`].
    Task(TaskView),
    /// Response to [`LeaderRequest::Tasks`].
    Tasks(Vec<TaskView>),
    /// Response to [`LeaderRequest::Announce`] and [`LeaderRequest::Heartbeat`].
    Welcome(HeartbeatReply),
    /// Response to [`LeaderRequest::RequestBegin`].
    Request(Verdict),
    /// Response to [`LeaderRequest::Status`].
    Status(Box<Status>),
    /// Response to [`LeaderRequest::Targets`].
    Targets(Vec<TargetView>),
    /// Response to [`LeaderRequest::Decisions`].
    Decisions(Vec<DecisionView>),
    /// Response to [`LeaderRequest::Snapshot`].
    Snapshot(Box<[u8]>),
    /// The request succeeded and has no result.
    Done,
    /// The request failed.
    Problem(Problem),
    /// Response to [`LeaderRequest::Zone`]: the order is in force at all entries.
    Zone(ZoneView),
    /// Response to [`LeaderRequest::Zones`].
    Zones(Vec<ZoneView>),
}

/// New state of a runner, sent to entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerChange {
    /// Properties from the runner's announcement.
    pub spec: RunnerSpec,
    /// Whether entries may send requests to the runner.
    pub usable: bool,
    /// Number of requests that the runner reported as running.
    pub busy: u32,
    /// Entry that routes to the runner.
    pub owner: Option<Name>,
}

/// Another entry that requests can be forwarded to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerEntry {
    /// Name of the entry.
    pub name: Name,
    /// Address that accepts callers' requests.
    pub caller_address: Box<str>,
    /// Availability zone of the entry.
    pub zone: Name,
    /// Whether the entry is about to stop.
    pub draining: bool,
}

impl PeerEntry {
    /// Returns the entries that requests can be forwarded to: those that the leader `reported` and,
    /// until the leader's table is `complete`, also the `former` entries that have not yet reported
    /// to it. Right after its election a leader knows only itself, and without the former entries
    /// no runner would have a reachable owner.
    ///
    /// ```
    /// use yuccalink_protocol::peer::PeerEntry;
    /// use yuccalink_state::id::{BadName, Name};
    /// fn entry(at: &str) -> Result<PeerEntry, BadName> {
    ///     let (name, zone) = (Name::new(at)?, Name::new("z")?);
    ///     Ok(PeerEntry { name, caller_address: at.into(), zone, draining: false })
    /// }
    /// let former = [entry("e1")?, entry("e2")?];
    /// assert_eq!(PeerEntry::known(vec![entry("e2")?], &former, false).len(), 2);
    /// assert_eq!(PeerEntry::known(vec![entry("e2")?], &former, true).len(), 1);
    /// # Ok::<(), BadName>(())
    /// ```
    pub fn known(reported: Vec<Self>, former: &[Self], complete: bool) -> Vec<Self> {
        if complete {
            return reported;
        }
        let is_reported = |entry: &Self| reported.iter().any(|other| other.name == entry.name);
        let unreported: Vec<Self> =
            former.iter().filter(|entry| !is_reported(entry)).cloned().collect();
        reported.into_iter().chain(unreported).collect()
    }
}

/// State that an entry reports to the leader, including the versions of what it already has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryState {
    /// Name of the entry.
    pub entry: Name,
    /// Incarnation of the entry's daemon.
    pub incarnation: Incarnation,
    /// Address that accepts callers' requests.
    pub caller_address: Box<str>,
    /// Availability zone of the entry.
    pub zone: Name,
    /// Document revision that the entry has applied.
    pub acked_revision: u64,
    /// Whether the entry is about to stop.
    pub draining: bool,
    /// Leader's term that `table_version` belongs to.
    pub term: u64,
    /// Version of the runner table that the entry has.
    pub table_version: u64,
    /// Runners that the entry no longer routes to.
    pub released_runners: Vec<Name>,
    /// Runners that the entry routes to, sent once to each new leader.
    pub owned: Vec<RunnerSpec>,
    /// Whether the entry knows that this leader's runner table is complete.
    pub runner_table_complete: bool,
    /// Whether the entry has stopped serving.
    pub leaving: bool,
}

/// Changes that the leader sends to an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EntryUpdate {
    /// The leader's term.
    pub term: u64,
    /// Revision of the last accepted document.
    pub revision: u64,
    /// Documents accepted after the revision that the entry has.
    pub documents: Vec<Accepted>,
    /// Version of the runner table.
    pub table_version: u64,
    /// Runners that changed after the table version that the entry has.
    pub runners: Vec<RunnerChange>,
    /// All entries that may be serving.
    pub entries: Vec<PeerEntry>,
    /// Whether the runner table is complete; the table of a new leader is not at first.
    pub runner_table_complete: bool,
}

/// Why a message between daemons cannot be encoded or decoded.
#[derive(Debug, displaydoc::Display)]
pub enum BadMessage {
    /// a daemon sent a part that cannot be decoded: {0}; run the same release everywhere
    Codec(postcard::Error),
    /// a daemon sent a message that cannot be read: {0}; run the same release everywhere
    Schema(capnp::Error),
    /// a daemon sent text that is not UTF-8: {0}; run the same release everywhere
    Text(std::str::Utf8Error),
    /// a daemon sent {0}; run the same release everywhere
    Name(yuccalink_state::id::BadName),
    /// a message part of {0} bytes exceeds the limit of 8 MiB; request less at a time
    TooLarge(usize),
}

impl std::error::Error for BadMessage {}

impl From<capnp::Error> for BadMessage {
    fn from(error: capnp::Error) -> Self {
        Self::Schema(error)
    }
}

impl From<std::str::Utf8Error> for BadMessage {
    fn from(error: std::str::Utf8Error) -> Self {
        Self::Text(error)
    }
}

impl From<yuccalink_state::id::BadName> for BadMessage {
    fn from(error: yuccalink_state::id::BadName) -> Self {
        Self::Name(error)
    }
}

/// Encodes one part of a message.
///
/// # Errors
/// [`BadMessage::TooLarge`] if the encoded part exceeds [`PART_MAX`].
///
/// ```
/// # use yuccalink_protocol::peer::*;
/// let bytes = encode(&LeaderRequest::Status)?;
/// assert_eq!(decode::<LeaderRequest>(&bytes)?, LeaderRequest::Status);
/// # Ok::<(), BadMessage>(())
/// ```
pub fn encode<T>(value: &T) -> Result<Vec<u8>, BadMessage>
where
    T: Serialize,
{
    let bytes = postcard::to_stdvec(value).map_err(BadMessage::Codec)?;
    match bytes.len() <= PART_MAX {
        true => Ok(bytes),
        false => Err(BadMessage::TooLarge(bytes.len())),
    }
}

/// Decodes one part of a message.
///
/// # Errors
/// [`BadMessage::Codec`] if the bytes do not encode a `T`, [`BadMessage::TooLarge`] if they
/// exceed [`PART_MAX`].
pub fn decode<T>(bytes: &[u8]) -> Result<T, BadMessage>
where
    T: DeserializeOwned,
{
    if bytes.len() > PART_MAX {
        return Err(BadMessage::TooLarge(bytes.len()));
    }
    postcard::from_bytes(bytes).map_err(BadMessage::Codec)
}

fn parse_name(reader: capnp::text::Reader<'_>) -> Result<Name, BadMessage> {
    Ok(Name::new(reader.to_str()?)?)
}

/// Decodes every part of a list.
///
/// # Errors
/// [`BadMessage`] for the first part that cannot be decoded.
pub fn read_parts<T>(list: capnp::data_list::Reader<'_>) -> Result<Vec<T>, BadMessage>
where
    T: DeserializeOwned,
{
    list.iter().map(|part| decode(part?)).collect()
}

/// Encodes a list of values into a message.
///
/// # Errors
/// [`BadMessage::TooLarge`] if one of them exceeds [`PART_MAX`].
pub fn fill_parts<T>(
    mut list: capnp::data_list::Builder<'_>,
    values: &[T],
) -> Result<(), BadMessage>
where
    T: Serialize,
{
    for (index, value) in (0..).zip(values) {
        list.set(index, &encode(value)?);
    }
    Ok(())
}

/// Length of a list as the `u32` that Cap'n Proto uses.
pub fn count<T>(values: &[T]) -> u32 {
    u32::try_from(values.len()).unwrap_or(u32::MAX)
}

impl EntryState {
    /// Writes the state into a message.
    ///
    /// # Errors
    /// [`BadMessage`] if a part is too large.
    pub fn fill(
        &self,
        mut to: crate::peer_capnp::entry_state::Builder<'_>,
    ) -> Result<(), BadMessage> {
        to.set_entry(self.entry.as_str());
        to.set_incarnation(self.incarnation.0);
        to.set_callers(&*self.caller_address);
        to.set_zone(self.zone.as_str());
        to.set_acked(self.acked_revision);
        to.set_draining(self.draining);
        to.set_term(self.term);
        to.set_table_version(self.table_version);
        to.set_leaving(self.leaving);
        to.set_settled(self.runner_table_complete);
        let mut released_runners = to.reborrow().init_let_go(count(&self.released_runners));
        for (index, name) in (0..).zip(&self.released_runners) {
            released_runners.set(index, name.as_str());
        }
        fill_parts(to.init_owned(count(&self.owned)), &self.owned)
    }

    /// Reads a state from a message.
    ///
    /// # Errors
    /// [`BadMessage`] if the message is malformed.
    pub fn read(from: crate::peer_capnp::entry_state::Reader<'_>) -> Result<Self, BadMessage> {
        let released_runners =
            from.get_let_go()?.iter().map(|text| parse_name(text?)).collect::<Result<_, _>>()?;
        Ok(Self {
            entry: parse_name(from.get_entry()?)?,
            incarnation: Incarnation(from.get_incarnation()),
            caller_address: from.get_callers()?.to_str()?.into(),
            zone: parse_name(from.get_zone()?)?,
            acked_revision: from.get_acked(),
            draining: from.get_draining(),
            term: from.get_term(),
            table_version: from.get_table_version(),
            released_runners,
            owned: read_parts(from.get_owned()?)?,
            leaving: from.get_leaving(),
            runner_table_complete: from.get_settled(),
        })
    }
}

impl EntryUpdate {
    /// Writes the update into a message.
    ///
    /// # Errors
    /// [`BadMessage`] if a part is too large.
    pub fn fill(&self, mut to: crate::peer_capnp::news::Builder<'_>) -> Result<(), BadMessage> {
        to.set_term(self.term);
        to.set_revision(self.revision);
        to.set_table_version(self.table_version);
        to.set_settled(self.runner_table_complete);
        fill_parts(to.reborrow().init_documents(count(&self.documents)), &self.documents)?;
        fill_parts(to.reborrow().init_runners(count(&self.runners)), &self.runners)?;
        let mut entries = to.init_entries(count(&self.entries));
        for (index, entry) in (0..).zip(&self.entries) {
            let mut to = entries.reborrow().get(index);
            to.set_name(entry.name.as_str());
            to.set_callers(&*entry.caller_address);
            to.set_zone(entry.zone.as_str());
            to.set_draining(entry.draining);
        }
        Ok(())
    }

    /// Reads an update from a message.
    ///
    /// # Errors
    /// [`BadMessage`] if the message is malformed.
    pub fn read(from: crate::peer_capnp::news::Reader<'_>) -> Result<Self, BadMessage> {
        let mut entries = Vec::new();
        for entry in from.get_entries()?.iter() {
            entries.push(PeerEntry {
                name: parse_name(entry.get_name()?)?,
                caller_address: entry.get_callers()?.to_str()?.into(),
                zone: parse_name(entry.get_zone()?)?,
                draining: entry.get_draining(),
            });
        }
        Ok(Self {
            term: from.get_term(),
            revision: from.get_revision(),
            documents: read_parts(from.get_documents()?)?,
            table_version: from.get_table_version(),
            runners: read_parts(from.get_runners()?)?,
            entries,
            runner_table_complete: from.get_settled(),
        })
    }
}
