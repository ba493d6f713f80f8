//! What the leader of a job cell decides, sans-IO: feed [`Leader`] asks, commits
//! and ticks with the current [`Now`]; take its commands for the log and its
//! answers. It never reads a clock and draws no random numbers.

pub mod account;
mod admission;
mod advice;
pub mod ask;
mod asks;
mod commits;
mod copies;
mod due;
mod estimate;
mod gangs;
mod heartbeat;
pub mod interference;
mod leader;
mod lives;
mod lost;
mod neighbours;
pub mod outside;
mod pace;
mod place;
pub mod policy;
mod ready;
mod report;
mod room;
mod routes;
pub mod runner;
mod sizes;
mod suits;
mod suspects;
pub mod swing;
mod waves;

pub use ask::{
    CellRequest, CellResponse, FinishedRun, JobState, ReportedRun, RunnerOrders, RunnerReport,
    RunnerState, StartOrder,
};
pub use leader::{Leader, LeaderConfig, Now, RequestToken};
pub use report::LeaderCounters;
