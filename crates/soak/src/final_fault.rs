//! The end of a soak: processes and disks are lost right after a change set was acknowledged,
//! and the change set must be read back at every process.

use crate::callers::Client;
use crate::plan::FinalFault;
use crate::run::{SharedSystem, SharedWatch};
use std::io;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Time from the final fault until the processes are started again.
pub(crate) const DOWNTIME: Duration = Duration::from_millis(700);
/// Limit on the time from the restart of all processes until each has answered a read: the
/// strictest limit that the users' platform sets.
pub(crate) const READ_BACK_MAX: Duration = Duration::from_secs(12);
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Injects the final fault, starts all processes again, and reads the change set back.
pub(crate) async fn inject_and_read_back(
    final_fault: FinalFault,
    system: &SharedSystem,
    watch: &SharedWatch,
) -> io::Result<()> {
    inject(final_fault, system)?;
    tokio::time::sleep(DOWNTIME).await;
    let nodes = system.borrow().nodes();
    for at in 0..nodes {
        system.borrow_mut().launch(at, false)?;
    }
    check_read_back(&format!("{final_fault:?}"), system, watch).await
}

/// Reads the newest acknowledged change set back at every process.
pub(crate) async fn check_read_back(
    after: &str,
    system: &SharedSystem,
    watch: &SharedWatch,
) -> io::Result<()> {
    let nodes = system.borrow().nodes();
    let Some((version, _)) = watch.borrow().version else { return Ok(()) };
    let began = Instant::now();
    let mut reads = JoinSet::new();
    for at in 0..nodes {
        let client = Client::new(vec![system.borrow().control()[at]], 0);
        reads.spawn_local(async move { (at, read_back(client, version, began).await) });
    }
    while let Some(read) = reads.join_next().await {
        let (at, read) = read.map_err(io::Error::other)?;
        match read {
            Ok(took) => watch.borrow_mut().report.read_back.push(took),
            Err(violation) => {
                let violation = format!("{after}: version {version} at process {at}: {violation}");
                watch.borrow_mut().report.violations.push(violation);
            }
        }
    }
    watch.borrow_mut().report.read_back.sort();
    Ok(())
}

fn inject(final_fault: FinalFault, system: &SharedSystem) -> io::Result<()> {
    let mut system = system.borrow_mut();
    let wiped = match final_fault {
        FinalFault::KillAll => None,
        FinalFault::KillAllAndWipe(at) | FinalFault::Wipe(at) => Some(at),
    };
    if !matches!(final_fault, FinalFault::Wipe(_)) {
        for at in 0..system.nodes() {
            system.kill(at);
        }
    }
    wiped.map_or(Ok(()), |at| system.wipe(at))
}

/// Returns the time from `began` until the process answered a read. Fails if it did not answer
/// in time, or answered with a version older than `version`.
async fn read_back(mut client: Client, version: u64, began: Instant) -> Result<Duration, String> {
    while began.elapsed() < READ_BACK_MAX {
        match client.read_version().await {
            Some(read_version) if read_version >= version => return Ok(began.elapsed()),
            Some(read_version) => {
                return Err(format!("the process returned version {read_version}"));
            }
            None => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
    Err(format!("no response within {READ_BACK_MAX:?}"))
}
