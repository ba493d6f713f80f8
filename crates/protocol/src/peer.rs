//! Messages between daemons: what an entry asks the leader, and their mapping
//! to the Cap'n Proto schema.

use crate::api::{
    Applied, Cancelled, DecisionView, Heartbeat, HeartbeatReply, ServiceView, Status, SubmitTasks,
    Submitted, TargetView, TaskView,
};
use crate::problem::Problem;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use yuccalink_state::command::{RequestBegin, RequestEnd};
use yuccalink_state::document::Accepted;
use yuccalink_state::id::{Incarnation, Name, TaskId};
use yuccalink_state::ledger::Verdict;
use yuccalink_state::target::{RunnerSpec, TargetSpec};

/// Version of the protocol between daemons; daemons of another refuse to talk.
pub const VERSION: u32 = 1;
/// Largest encoded message part, in bytes.
pub const PART_MAX: usize = 8 * 1024 * 1024;

/// What an entry asks the leader to decide.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaderRequest {
    /// Put a document in force; the text was checked by the entry and is
    /// checked again by the leader.
    Apply {
        /// The document's text.
        text: Box<str>,
        /// Who applies it.
        author: Box<str>,
    },
    /// Whether a revision is in force everywhere.
    InForce {
        /// The revision.
        revision: u64,
    },
    /// All documents, without texts.
    Services,
    /// One document, with its text.
    Service(Name),
    /// Add tasks.
    Submit {
        /// Same key, same answer.
        key: Box<str>,
        /// What to add.
        tasks: SubmitTasks,
    },
    /// Cancel tasks.
    Cancel(Vec<TaskId>),
    /// One task.
    Task(TaskId),
    /// Tasks, a page at a time.
    Tasks(TaskFilter),
    /// A target announces itself.
    Announce {
        /// What it is.
        target: TargetSpec,
        /// Requests that it holds.
        busy: u32,
    },
    /// A target's regular word.
    Heartbeat {
        /// The target.
        name: Name,
        /// Its word.
        beat: Heartbeat,
    },
    /// A target leaves.
    Leave {
        /// The target.
        name: Name,
        /// This run of its program.
        incarnation: Incarnation,
    },
    /// A request that must run at most once is about to be sent.
    RequestBegin(RequestBegin),
    /// Such a request ended.
    RequestEnd(RequestEnd),
    /// The leader's view of the system.
    Status,
    /// All targets.
    Targets,
    /// The leader's last decisions.
    Decisions,
    /// The whole state, as a snapshot.
    Snapshot,
}

/// Which tasks to list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskFilter {
    /// Only of this service.
    pub service: Option<Name>,
    /// Only in this phase.
    pub phase: Option<Box<str>>,
    /// Only above this number.
    pub after: u64,
    /// At most this many.
    pub limit: u32,
}

/// What the leader answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaderResponse {
    /// To [`LeaderRequest::Apply`].
    Applied(Applied),
    /// To [`LeaderRequest::InForce`].
    InForce {
        /// Whether it is.
        everywhere: bool,
        /// Entries that may still serve an older one.
        waiting_for: Vec<Name>,
    },
    /// To [`LeaderRequest::Services`].
    Services(Vec<ServiceView>),
    /// To [`LeaderRequest::Service`].
    Service(ServiceView),
    /// To [`LeaderRequest::Submit`].
    Submitted(Submitted),
    /// To [`LeaderRequest::Cancel`].
    Cancelled(Vec<Cancelled>),
    /// To [`LeaderRequest::Task`].
    Task(TaskView),
    /// To [`LeaderRequest::Tasks`].
    Tasks(Vec<TaskView>),
    /// To [`LeaderRequest::Announce`] and [`LeaderRequest::Heartbeat`].
    Welcome(HeartbeatReply),
    /// To [`LeaderRequest::RequestBegin`].
    Request(Verdict),
    /// To [`LeaderRequest::Status`].
    Status(Box<Status>),
    /// To [`LeaderRequest::Targets`].
    Targets(Vec<TargetView>),
    /// To [`LeaderRequest::Decisions`].
    Decisions(Vec<DecisionView>),
    /// To [`LeaderRequest::Snapshot`].
    Snapshot(Box<[u8]>),
    /// Done, with nothing to say.
    Done,
    /// It cannot be done.
    Problem(Problem),
}

/// A runner as an entry needs to know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerChange {
    /// What it announced.
    pub spec: RunnerSpec,
    /// Whether it is to be used.
    pub usable: bool,
    /// Requests it said it holds.
    pub busy: u32,
    /// The entry that routes to it.
    pub owner: Option<Name>,
}

/// An entry, for others to hand requests on to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerEntry {
    /// Its name.
    pub name: Name,
    /// Where it takes callers' requests.
    pub caller_address: Box<str>,
    /// Its availability zone.
    pub zone: Name,
    /// Whether it is about to stop.
    pub draining: bool,
}

impl PeerEntry {
    /// The entries to hand requests on to: those that a leader tells of, and until its table is
    /// `complete` also the `former` ones that it has not heard yet. Right after its election a
    /// leader knows itself only, and no runner would have an owner that can be reached.
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
    pub fn known(told: Vec<Self>, former: &[Self], complete: bool) -> Vec<Self> {
        if complete {
            return told;
        }
        let is_told = |entry: &Self| told.iter().any(|other| other.name == entry.name);
        let untold: Vec<Self> = former.iter().filter(|entry| !is_told(entry)).cloned().collect();
        told.into_iter().chain(untold).collect()
    }
}

/// What an entry tells the leader, and what it knows already.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryState {
    /// Its name.
    pub entry: Name,
    /// This run of its daemon.
    pub incarnation: Incarnation,
    /// Where it takes callers' requests.
    pub caller_address: Box<str>,
    /// Its availability zone.
    pub zone: Name,
    /// The revision it has in force.
    pub acked_revision: u64,
    /// Whether it is about to stop.
    pub draining: bool,
    /// The term that `table_version` belongs to.
    pub term: u64,
    /// What it knows of the table of runners.
    pub table_version: u64,
    /// Runners that it no longer routes to.
    pub released_runners: Vec<Name>,
    /// Runners that it routes to, told once to each new leader.
    pub owned: Vec<RunnerSpec>,
    /// It knows that this leader's table is complete.
    pub runner_table_complete: bool,
    /// It has stopped serving.
    pub leaving: bool,
}

/// What is new for an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EntryUpdate {
    /// The leader's term.
    pub term: u64,
    /// Revision of the last accepted document.
    pub revision: u64,
    /// Documents accepted since the entry's revision.
    pub documents: Vec<Accepted>,
    /// Version of the table of runners.
    pub table_version: u64,
    /// Runners that changed since the entry's version.
    pub runners: Vec<RunnerChange>,
    /// All entries that may serve.
    pub entries: Vec<PeerEntry>,
    /// Whether the table is complete; a new leader's is not at first.
    pub runner_table_complete: bool,
}

/// What is wrong with a message between daemons.
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
    /// a part of {0} bytes is over the limit of 8 MiB; ask for less at a time
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
/// [`BadMessage::TooLarge`] over [`PART_MAX`].
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
/// [`BadMessage::Codec`] when the bytes are no such value.
pub fn decode<T>(bytes: &[u8]) -> Result<T, BadMessage>
where
    T: DeserializeOwned,
{
    if bytes.len() > PART_MAX {
        return Err(BadMessage::TooLarge(bytes.len()));
    }
    postcard::from_bytes(bytes).map_err(BadMessage::Codec)
}

fn name(reader: capnp::text::Reader<'_>) -> Result<Name, BadMessage> {
    Ok(Name::new(reader.to_str()?)?)
}

/// Reads every part of a list.
///
/// # Errors
/// [`BadMessage`] at the first part that cannot be read.
pub fn read_parts<T>(list: capnp::data_list::Reader<'_>) -> Result<Vec<T>, BadMessage>
where
    T: DeserializeOwned,
{
    list.iter().map(|part| decode(part?)).collect()
}

/// Writes a list of asks or answers into a message.
///
/// # Errors
/// [`BadMessage::TooLarge`] when one is over [`PART_MAX`].
pub fn fill_parts<T>(
    mut list: capnp::data_list::Builder<'_>,
    values: &[T],
) -> Result<(), BadMessage>
where
    T: Serialize,
{
    for (at, value) in (0..).zip(values) {
        list.set(at, &encode(value)?);
    }
    Ok(())
}

/// How many items a list has, as Cap'n Proto counts them.
pub fn count<T>(values: &[T]) -> u32 {
    u32::try_from(values.len()).unwrap_or(u32::MAX)
}

impl EntryState {
    /// Writes the state into a message.
    ///
    /// # Errors
    /// [`BadMessage`] when a part is too large.
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
        for (at, name) in (0..).zip(&self.released_runners) {
            released_runners.set(at, name.as_str());
        }
        fill_parts(to.init_owned(count(&self.owned)), &self.owned)
    }

    /// Reads a state from a message.
    ///
    /// # Errors
    /// [`BadMessage`] when it is malformed.
    pub fn read(from: crate::peer_capnp::entry_state::Reader<'_>) -> Result<Self, BadMessage> {
        let released_runners =
            from.get_let_go()?.iter().map(|text| name(text?)).collect::<Result<_, _>>()?;
        Ok(Self {
            entry: name(from.get_entry()?)?,
            incarnation: Incarnation(from.get_incarnation()),
            caller_address: from.get_callers()?.to_str()?.into(),
            zone: name(from.get_zone()?)?,
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
    /// Writes the news into a message.
    ///
    /// # Errors
    /// [`BadMessage`] when a part is too large.
    pub fn fill(&self, mut to: crate::peer_capnp::news::Builder<'_>) -> Result<(), BadMessage> {
        to.set_term(self.term);
        to.set_revision(self.revision);
        to.set_table_version(self.table_version);
        to.set_settled(self.runner_table_complete);
        fill_parts(to.reborrow().init_documents(count(&self.documents)), &self.documents)?;
        fill_parts(to.reborrow().init_runners(count(&self.runners)), &self.runners)?;
        let mut entries = to.init_entries(count(&self.entries));
        for (at, entry) in (0..).zip(&self.entries) {
            let mut to = entries.reborrow().get(at);
            to.set_name(entry.name.as_str());
            to.set_callers(&*entry.caller_address);
            to.set_zone(entry.zone.as_str());
            to.set_draining(entry.draining);
        }
        Ok(())
    }

    /// Reads news from a message.
    ///
    /// # Errors
    /// [`BadMessage`] when it is malformed.
    pub fn read(from: crate::peer_capnp::news::Reader<'_>) -> Result<Self, BadMessage> {
        let mut entries = Vec::new();
        for entry in from.get_entries()?.iter() {
            entries.push(PeerEntry {
                name: name(entry.get_name()?)?,
                caller_address: entry.get_callers()?.to_str()?.into(),
                zone: name(entry.get_zone()?)?,
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
