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

mod callers;
mod final_fault;
mod plan;
mod proxy;
mod run;
mod runners;
mod system;
mod watch;

pub use plan::{FinalFault, InjectedFault, Plan};
pub use run::{SoakSettings, run};
pub use watch::SoakReport;
