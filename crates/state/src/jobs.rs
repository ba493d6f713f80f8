//! Jobs: what callers submit, what became of each task, and where tasks may be
//! running. [`Jobs::apply`] is deterministic and never fails half way.
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
pub use command::{End, How, JobCommand, JobOutcome, Life, PairWeight, Start, Submit, Wave};
pub use loss::{Crashes, Fate, Loss, Losses, Seen};
pub use spec::{JobSpec, Schedule, StepSpec};
pub use table::{Job, JobPhase, Jobs, Occurrence, Step};
pub use task::{Hold, JobId, LifeKey, Task, TaskKey};
pub use wave::WaveState;
