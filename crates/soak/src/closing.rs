//! The end of a soak: processes and disks are lost right after a change set was acknowledged,
//! and the change set must be read back at every process.

use crate::callers::Asker;
use crate::plan::Closing;
use crate::run::{SharedSystem, SharedWatch};
use std::io;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Time from the final fault until the processes are started again.
const DOWN: Duration = Duration::from_millis(700);
/// Limit on the time from the restart of all processes until each has answered a read: the
/// strictest limit that the users' platform sets.
const READ_BACK_MAX: Duration = Duration::from_secs(12);
const AGAIN: Duration = Duration::from_millis(100);

/// Injects the final fault, starts all processes again, and reads the change set back.
pub(crate) async fn close(
    closing: Closing,
    system: &SharedSystem,
    watch: &SharedWatch,
) -> io::Result<()> {
    strike(closing, system)?;
    tokio::time::sleep(DOWN).await;
    let nodes = system.borrow().nodes();
    for at in 0..nodes {
        system.borrow_mut().launch(at, false)?;
    }
    let Some((version, _)) = watch.borrow().version else { return Ok(()) };
    let began = Instant::now();
    let mut reads = JoinSet::new();
    for at in 0..nodes {
        let asker = Asker::new(vec![system.borrow().control()[at]], 0);
        reads.spawn_local(async move { (at, read_back(asker, version, began).await) });
    }
    while let Some(read) = reads.join_next().await {
        let (at, read) = read.map_err(io::Error::other)?;
        match read {
            Ok(took) => watch.borrow_mut().report.read_back.push(took),
            Err(what) => {
                let what = format!("{closing:?}: version {version} at process {at}: {what}");
                watch.borrow_mut().report.broken.push(what);
            }
        }
    }
    watch.borrow_mut().report.read_back.sort();
    Ok(())
}

fn strike(closing: Closing, system: &SharedSystem) -> io::Result<()> {
    let mut system = system.borrow_mut();
    let wiped = match closing {
        Closing::KillAll => None,
        Closing::KillAllAndWipe(at) | Closing::Wipe(at) => Some(at),
    };
    if !matches!(closing, Closing::Wipe(_)) {
        for at in 0..system.nodes() {
            system.kill(at);
        }
    }
    wiped.map_or(Ok(()), |at| system.wipe(at))
}

/// Returns the time from `began` until the process answered a read. Fails if it did not answer
/// in time, or answered with a version older than `version`.
async fn read_back(mut asker: Asker, version: u64, began: Instant) -> Result<Duration, String> {
    while began.elapsed() < READ_BACK_MAX {
        match asker.read_version().await {
            Some(told) if told >= version => return Ok(began.elapsed()),
            Some(told) => return Err(format!("the process returned version {told}")),
            None => tokio::time::sleep(AGAIN).await,
        }
    }
    Err(format!("no response within {READ_BACK_MAX:?}"))
}
