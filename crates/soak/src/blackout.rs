//! The end of a soak with cancellations: disks are lost and all other processes are killed,
//! right after a request was acknowledged.

use crate::callers::{Client, job, order_zone, read_state};
use crate::cancellers::{cancel, submit};
use crate::final_fault::{DOWNTIME, READ_BACK_MAX, check_read_back};
use crate::plan::{Blackout, CancelledJob, FaultOrder, LastRequest};
use crate::run::{FINAL_ZONE, Operator, SharedSystem, SharedWatch, check_final_zone, recover};
use std::io;
use std::time::Duration;
use tokio::time::Instant;
use yuccalink_coordination::jobs::LeaderConfig;
use yuccalink_state::jobs::JobId;

/// Numbers of the jobs that are accepted and cancelled last.
const ACCEPTED: JobId = JobId(0x6163_6365_7074);
const CANCELLED: JobId = JobId(0x6361_6e63_656c);
const TASKS: u16 = 3;
/// Longest wait until the task to cancel is at work.
const START_MAX: Duration = Duration::from_secs(5);
const POLL: Duration = Duration::from_millis(20);
/// Time after the longest lease in which a run must have ended.
const STOP_SLACK: Duration = Duration::from_millis(1_000);

/// Sends the last requests, injects the fault, starts all processes again, and checks that all
/// that was acknowledged holds.
pub(crate) async fn inject_and_check(
    blackout: Blackout,
    system: &SharedSystem,
    watch: &SharedWatch,
    operator: Operator,
    recovery_max: Duration,
) -> io::Result<()> {
    let name = format!("{blackout:?}");
    let sent =
        tokio::time::timeout(recovery_max, send_requests(blackout, system, watch, operator)).await;
    let Ok(sent) = sent else {
        let violation = format!("{name}: the last requests were not answered in {recovery_max:?}");
        watch.borrow_mut().report.violations.push(violation);
        return Ok(());
    };
    sent?;
    inject(blackout, system).await?;
    tokio::time::sleep(DOWNTIME).await;
    restart(blackout, system).await?;
    check_read_back(&name, system, watch).await?;
    let mut zone_operator = Client::new(system.borrow().control(), 0);
    check_final_zone(&mut zone_operator, watch).await;
    let mut client = Client::new(system.borrow().callers(), blackout.first_lost);
    let body = cancelled_job(blackout);
    let copy = submit(&mut client, CANCELLED, &body);
    if tokio::time::timeout(READ_BACK_MAX, copy).await.is_err() {
        let violation = format!("{name}: a submission was not answered in {READ_BACK_MAX:?}");
        watch.borrow_mut().report.violations.push(violation);
    }
    check_states(&name, system, watch).await;
    recover(system, watch, recovery_max).await;
    // A run at work in the blackout ends with its lease; a copy of it would start meanwhile.
    tokio::time::sleep(LeaderConfig::default().lease + STOP_SLACK).await;
    check_states(&name, system, watch).await;
    Ok(())
}

fn cancelled_job(blackout: Blackout) -> Vec<u8> {
    job(TASKS, blackout.cancelled == CancelledJob::Running)
}

async fn send_requests(
    blackout: Blackout,
    system: &SharedSystem,
    watch: &SharedWatch,
    operator: Operator,
) -> io::Result<()> {
    let mut client = Client::new(system.borrow().callers(), blackout.first_lost);
    if blackout.cancelled == CancelledJob::Running {
        watch.borrow_mut().record_long_running(CANCELLED);
    }
    if blackout.cancelled != CancelledJob::Unknown {
        submit(&mut client, CANCELLED, &cancelled_job(blackout)).await;
    }
    let until = Instant::now() + START_MAX;
    while blackout.cancelled == CancelledJob::Running
        && !watch.borrow().is_at_work(CANCELLED)
        && Instant::now() < until
    {
        tokio::time::sleep(POLL).await;
    }
    let mut requests = vec![
        LastRequest::ZoneOrder,
        LastRequest::Change,
        LastRequest::Submission,
        LastRequest::Cancellation,
    ];
    requests.retain(|request| *request != blackout.last);
    requests.push(blackout.last);
    let Operator { change_next, task } = operator;
    let mut task = Some(task);
    for request in requests {
        match request {
            LastRequest::Submission => {
                if submit(&mut client, ACCEPTED, &job(TASKS, false)).await {
                    watch.borrow_mut().record_accepted(ACCEPTED, TASKS);
                }
            }
            LastRequest::Cancellation => cancel(&mut client, watch, CANCELLED).await,
            LastRequest::Change => {
                change_next.set(true);
                if let Some(task) = task.take() {
                    task.await.map_err(io::Error::other)?;
                }
            }
            LastRequest::ZoneOrder => {
                let mut operator = Client::new(system.borrow().control(), blackout.first_lost);
                order_zone(&mut operator, FINAL_ZONE, true).await;
            }
        }
    }
    Ok(())
}

/// Returns the processes that lose their disks, and the others.
fn split(blackout: Blackout, system: &SharedSystem) -> (Vec<usize>, Vec<usize>) {
    let (nodes, disks) = (system.borrow().nodes(), system.borrow().disks());
    (0..nodes).partition(|at| blackout.takes_disk_of(*at, disks))
}

async fn inject(blackout: Blackout, system: &SharedSystem) -> io::Result<()> {
    let (lost, others) = split(blackout, system);
    let (first, pause, second) = match blackout.kills {
        FaultOrder::Together => ([lost.clone(), others].concat(), Duration::ZERO, Vec::new()),
        FaultOrder::DisksFirst(pause) => (lost.clone(), pause, others),
        FaultOrder::DisksLast(pause) => (others, pause, lost.clone()),
    };
    system.borrow_mut().kill_together(&first);
    if blackout.kills != FaultOrder::Together {
        tokio::time::sleep(pause).await;
    }
    system.borrow_mut().kill_together(&second);
    lost.iter().try_for_each(|at| system.borrow_mut().wipe(*at))
}

async fn restart(blackout: Blackout, system: &SharedSystem) -> io::Result<()> {
    let (lost, others) = split(blackout, system);
    let (first, pause, second) = match blackout.starts {
        FaultOrder::Together => ([lost, others].concat(), Duration::ZERO, Vec::new()),
        FaultOrder::DisksFirst(pause) => (lost, pause, others),
        FaultOrder::DisksLast(pause) => (others, pause, lost),
    };
    first.iter().try_for_each(|at| system.borrow_mut().launch(*at, false))?;
    tokio::time::sleep(pause).await;
    second.iter().try_for_each(|at| system.borrow_mut().launch(*at, false))
}

/// Reads the states of the last jobs at every process.
async fn check_states(name: &str, system: &SharedSystem, watch: &SharedWatch) {
    let callers = system.borrow().callers();
    for (at, address) in callers.into_iter().enumerate() {
        let mut client = Client::new(vec![address], 0);
        for id in [ACCEPTED, CANCELLED] {
            let until = Instant::now() + READ_BACK_MAX;
            while !read_state(&mut client, watch, id).await {
                if Instant::now() > until {
                    let violation = format!("{name}: process {at} does not tell the state of {id}");
                    watch.borrow_mut().report.violations.push(violation);
                    break;
                }
                tokio::time::sleep(POLL).await;
            }
        }
    }
}
