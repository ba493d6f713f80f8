//! The replicated state of a job cell: the submitted jobs, the state of each task,
//! and where tasks may be running. [`CellState::apply`] is deterministic and applies
//! a command as a whole.
//!
//! The start of a run is a command, so a new leader knows all tasks that may be
//! running. The end of a run is a command too, so an end that was acknowledged to
//! its runner is never lost.

mod cancellations;
pub mod change;
pub mod command;
mod job;
mod knowledge;
pub mod loss;
mod memory;
pub mod settings;
pub mod spec;
mod table;
pub mod task;
mod tasks;
mod wave;

pub use cancellations::{CANCELLATIONS_MAX, Cancellations};
pub use change::{ChangeSet, Limits, Pool, Queue};
pub use command::{
    JobCommand, JobOutcome, JobSubmission, PairWeight, RunEnd, RunOutcome, RunStart,
    RunnerIncarnation, Wave,
};
pub use job::{COPIES_MAX, Job, JobPhase, Occurrence, Step};
pub use knowledge::{DelaySummary, DistrustSummary, Knowledge, MarginSummary, ReserveSummary};
pub use loss::{Crashes, Loss, LossEvidence, Losses, RunnerFate};
pub use memory::MemoryUse;
pub use settings::{ConfiguredChangeSet, QueueSettings};
pub use spec::{JobSpec, Schedule, StepSpec};
pub use table::CellState;
pub use task::{IncarnationKey, JobId, RetriedOn, RunAssignment, Task, TaskKey, TaskRetries};
pub use tasks::Tasks;
pub use wave::WaveState;
