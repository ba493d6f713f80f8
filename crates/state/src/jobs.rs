//! Jobs: what callers submit, what became of each task, and where tasks may be
//! running. [`CellState::apply`] is deterministic and never fails half way.
//!
//! Every start is a command, so that a new leader knows all tasks that may be
//! running, and every end is one, so that an end that a runner was told to forget
//! is never lost.

pub mod change;
pub mod command;
pub mod loss;
pub mod spec;
mod table;
pub mod task;
mod wave;

pub use change::{ChangeSet, Limits, Pool, Queue};
pub use command::{
    JobCommand, JobOutcome, JobSubmission, PairWeight, RunEnd, RunOutcome, RunStart,
    RunnerIncarnation, Wave,
};
pub use loss::{Crashes, Loss, LossEvidence, Losses, RunnerFate};
pub use spec::{JobSpec, Schedule, StepSpec};
pub use table::{CellState, Job, JobPhase, Occurrence, Step};
pub use task::{IncarnationKey, JobId, RunAssignment, Task, TaskKey};
pub use wave::WaveState;
