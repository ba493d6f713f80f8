//! Decisions of a job cell's leader, without I/O: pass requests, committed commands and
//! ticks to [`Leader`] with the current [`Now`], and take its commands for the log and its
//! responses. It never reads a clock and draws no random numbers.

pub mod account;
mod commits;
mod due;
mod harm;
mod knowledge;
mod leader;
mod order;
mod placing;
pub mod policy;
mod requests;
mod routes;
mod runners;
mod telemetry;

pub use cancellation::CancelCounters;
use harm::{colocation, pace};
pub use harm::{interference, job_harm, margin_forecast, reserve};
pub use knowledge::HeardKnowledge;
pub use leader::{Leader, LeaderConfig, Now, RequestToken};
pub use messages::{
    CellRequest, CellResponse, FinishedRun, JobState, ReportedRun, RunnerOrders, RunnerReport,
    RunnerState, StartOrder,
};
use order::{estimate, ready, sizes};
pub use order::{scarcity, shares};
pub use pace::ServingHarm;
use placing::{advice, capacity, compatibility, copies, free_index, gangs, place, retry, starting};
pub use requests::{admission, forecast, messages, oversized, returning, room};
use requests::{cancellation, cancelled_runs, refusal, remembered};
use runners::{evacuation, expiry, incarnations, leaving, lost, suspects, waves};
pub use runners::{external, report_rate, runner};
pub use telemetry::LeaderCounters;
