//! A soak of real programs: the processes of a job cell on loopback addresses, with
//! proxies between them that delay, reset, silence or cut one way, and signals that
//! stop, pause, kill and restart them in series that overlap. Emulated runners and
//! callers check the promises while it runs, by what they see from outside. At the end
//! processes and disks are lost right after a change was acknowledged, and it is read
//! back at every process.
//!
//! Which faults come, when and where is drawn from a seed. The processes themselves
//! run in real time, so a seed gives the same series of faults, not the same
//! interleaving. Only processes that a soak started are ever signalled, by their ids.

mod callers;
mod closing;
mod plan;
mod proxy;
mod run;
mod runners;
mod system;
mod watch;

pub use plan::{Closing, InjectedFault, Plan};
pub use run::{SoakSettings, run};
pub use watch::SoakReport;
