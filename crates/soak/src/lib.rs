//! Soak test of real programs. It runs the processes of a job cell on loopback addresses.
//! Proxies between them delay, reset or silence connections, or block one direction; signals
//! stop, pause, kill and restart processes; faults may overlap. Meanwhile emulated runners and
//! callers check the guarantees of the cell by what they observe from outside. At the end,
//! processes and disks are lost right after a change set was acknowledged, and the change set
//! must be read back at every process.
//!
//! The kind, time and place of each fault are drawn from a seed. The processes run in real
//! time, so a seed gives the same series of faults, but not the same interleaving. A soak
//! signals only processes that it started, by their ids.
//!
//! With cancellations, callers also cancel jobs at every moment of the jobs' lives. After an
//! answer 2xx or 410 to a cancellation, no run of the job may be at work for longer than it takes
//! to stop it, whatever arrives later. Such a soak ends with a blackout: disks are lost while all
//! other processes are killed, right after a request was acknowledged.
//!
//! With settings, the operator changes weights, floors and holds with each change set while one
//! caller submits a burst of jobs to another queue. Acknowledged settings must be shown by every
//! process, and a queue on hold may start nothing.

mod blackout;
mod callers;
mod cancellers;
mod final_fault;
mod plan;
mod proxy;
mod run;
mod runners;
mod system;
mod watch;

pub use plan::{
    Blackout, CancelPlan, CancelTime, CancelledJob, FaultOrder, FinalFault, InjectedFault,
    LastRequest, Plan, PlannedCancel, PlannedSettings, SettingsPlan,
};
pub use run::{SoakSettings, run};
pub use watch::SoakReport;
