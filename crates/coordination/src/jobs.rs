//! Decisions of a job cell's leader, without I/O: pass requests, committed commands and
//! ticks to [`Leader`] with the current [`Now`], and take its commands for the log and its
//! responses. It never reads a clock and draws no random numbers.

pub mod account;
mod acknowledgement;
mod admission;
mod advice;
mod cancellation;
mod cancelled_runs;
mod capacity;
mod colocation;
mod commits;
mod compatibility;
mod copies;
mod due;
mod estimate;
mod evacuation;
pub mod external;
mod free_index;
mod gangs;
mod heartbeat;
mod incarnations;
pub mod interference;
mod leader;
mod leaving;
mod lost;
pub mod margin_forecast;
pub mod messages;
mod orders;
mod pace;
mod place;
pub mod policy;
mod ready;
mod remembered;
pub mod report_rate;
mod requests;
mod routes;
pub mod runner;
mod sizes;
mod starting;
mod suspects;
mod telemetry;
mod waves;

pub use cancellation::CancelCounters;
pub use leader::{Leader, LeaderConfig, Now, RequestToken};
pub use messages::{
    CellRequest, CellResponse, FinishedRun, JobState, ReportedRun, RunnerOrders, RunnerReport,
    RunnerState, StartOrder,
};
pub use telemetry::LeaderCounters;
