//! The phases of a soak: traffic with faults, recovery, and a final fault.

use crate::blackout;
use crate::callers::{self, Client};
use crate::cancellers;
use crate::final_fault;
use crate::plan::{
    Blackout, CancelPlan, FinalFault, InjectedFault, Plan, PlannedFault, SettingsPlan,
};
use crate::runners;
use crate::system::System;
use crate::watch::{SoakReport, Watch};
use std::cell::{Cell, RefCell};
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, JoinSet, LocalSet};
use tokio::time::Instant;

/// Settings of a soak.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// Path of the program `yuccalinkd`.
    pub program: PathBuf,
    /// Folder for state and logs; the caller keeps it if a guarantee was violated.
    pub folder: PathBuf,
    /// Seed of the faults and the traffic.
    pub seed: u64,
    /// Number of processes of the cell.
    pub nodes: usize,
    /// Number of processes with a disk; these come first.
    pub disks: usize,
    /// Number of emulated runners.
    pub runners: usize,
    /// Time during which faults are injected.
    pub span: Duration,
    /// Whether some tasks crash their runners, and the capacity of runners changes.
    pub crashes: bool,
    /// Whether callers cancel jobs, and the soak ends with a blackout.
    pub cancels: bool,
    /// Whether the operator changes weights, floors and holds beside a burst of jobs.
    pub settings: bool,
}

/// The operator that applies change sets.
pub(crate) struct Operator {
    /// Set to ask for the last change set.
    pub(crate) change_next: Rc<Cell<bool>>,
    /// Ends when the last change set is acknowledged.
    pub(crate) task: JoinHandle<()>,
}

/// Longest wait until the first change set is acknowledged.
const START_MAX: Duration = Duration::from_secs(30);
/// Longest wait after the last fault until all jobs have ended.
const RECOVERY_MAX: Duration = Duration::from_secs(40);
/// Longest wait after the last fault if crashes are enabled: each crashing task takes down
/// several runners for some seconds each.
const RECOVERY_WITH_CRASHES_MAX: Duration = Duration::from_secs(90);
/// Time after the last fault in which a lost disk is replaced.
const DISK_CATCH_UP: Duration = Duration::from_secs(6);
/// Pause of a caller after each job.
const JOB_GAP: Duration = Duration::from_millis(150);
/// Pause of a caller after each job of a burst.
const BURST_GAP: Duration = Duration::from_millis(20);
/// Pause of the operator after each change set.
const CHANGE_GAP: Duration = Duration::from_millis(1_500);
/// Time for which a zone is evacuated, and then left in use.
const EVACUATION_SPAN: Duration = Duration::from_millis(1_700);
/// Number of disks from which two may be lost at the same time.
const DISKS_FOR_TWO_LOSSES: usize = 5;
/// A zone without runners that is evacuated right before the final fault.
pub(crate) const FINAL_ZONE: &str = "last-zone";
const POLL: Duration = Duration::from_millis(50);
/// Longest wait for a process to stop after it was asked to; it is killed afterwards.
const STOP_MAX: Duration = Duration::from_secs(6);

/// Runs one soak.
///
/// # Errors
/// If processes cannot be started or files cannot be created.
pub fn run(settings: &SoakSettings) -> io::Result<SoakReport> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, soak(settings))
}

async fn soak(settings: &SoakSettings) -> io::Result<SoakReport> {
    let SoakSettings { program, folder, seed, nodes, disks, .. } = settings;
    // The blackout takes two disks at once if there are enough.
    let tolerated_losses = if settings.cancels && *disks >= DISKS_FOR_TWO_LOSSES { 2 } else { 1 };
    let system = System::start(program, folder, *nodes, *disks, tolerated_losses).await?;
    let watch = Rc::new(RefCell::new(Watch::new()));
    let began = Instant::now();
    let client = |first| Client::new(system.callers(), first);
    let cancel_plan = match settings.cancels {
        true => CancelPlan::draw(*seed, *nodes, settings.span),
        false => CancelPlan::default(),
    };
    let changes = settings.span.as_millis() / CHANGE_GAP.as_millis();
    let changes = usize::try_from(changes).unwrap_or(usize::MAX);
    let settings_plan = settings.settings.then(|| SettingsPlan::draw(*seed, changes));
    let operator = Client::new(system.control(), 0);
    let change_next = Rc::new(Cell::new(false));
    let operator = callers::operate(
        operator,
        watch.clone(),
        CHANGE_GAP,
        change_next.clone(),
        cancel_plan.renames,
        settings_plan,
    );
    let operator = Operator { change_next, task: tokio::task::spawn_local(operator) };
    for at in 0..settings.runners {
        let control = system.control();
        let runner = runners::run(at, control, watch.clone(), began, settings.crashes);
        tokio::task::spawn_local(runner);
    }
    while watch.borrow().version.is_none() {
        if began.elapsed() > START_MAX {
            watch
                .borrow_mut()
                .report
                .violations
                .push("no change set was acknowledged at the start".into());
            return Ok(watch.borrow().report.clone());
        }
        tokio::time::sleep(POLL).await;
    }
    tokio::task::spawn_local(callers::submit_hopeless(client(0)));
    let until = Instant::now() + settings.span;
    for at in 0..2 {
        let seed = seed * 10 + at as u64;
        let traffic =
            callers::submit(client(at), watch.clone(), seed, JOB_GAP, until, settings.crashes);
        tokio::task::spawn_local(traffic);
    }
    if settings.settings {
        let until = Instant::now() + settings.span / 2;
        let burst = callers::submit_burst(client(1), watch.clone(), *seed, BURST_GAP, until);
        tokio::task::spawn_local(burst);
    }
    tokio::task::spawn_local(callers::poll_states(client(2), watch.clone()));
    let zones = callers::operate_zones(
        Client::new(system.control(), 1),
        watch.clone(),
        EVACUATION_SPAN,
        until,
    );
    let zones = tokio::task::spawn_local(zones);
    let cancels = tokio::task::spawn_local({
        let (nodes, watch) = (system.callers(), watch.clone());
        async move { cancellers::start(&cancel_plan.cancels, nodes, watch).await }
    });
    if settings.cancels {
        tokio::task::spawn_local(cancellers::poll_states(client(3), watch.clone()));
    }
    let plan = Plan::draw(*seed, *nodes, *disks, settings.span);
    let system = Rc::new(RefCell::new(system));
    let fault_tasks = inject(&plan, &system, &watch).await;
    tokio::time::sleep_until(until).await;
    let recovery_max = if settings.crashes { RECOVERY_WITH_CRASHES_MAX } else { RECOVERY_MAX };
    let (zones, ()) = tokio::join!(zones, recover(&system, &watch, recovery_max));
    zones.map_err(io::Error::other)?;
    fault_tasks.join_all().await;
    let cancels = cancels.await.map_err(io::Error::other)?;
    cancellers::finish(cancels, recovery_max, &watch).await;
    tokio::time::sleep(DISK_CATCH_UP).await;
    check_memory(&system, &watch);
    if settings.cancels {
        let blackout = Blackout::draw(*seed, *disks, tolerated_losses);
        blackout::inject_and_check(blackout, &system, &watch, operator, recovery_max).await?;
        return Ok(watch.borrow().report.clone());
    }
    let mut zone_operator = Client::new(system.borrow().control(), 2);
    operator.change_next.set(true);
    callers::order_zone(&mut zone_operator, FINAL_ZONE, true).await;
    operator.task.await.map_err(io::Error::other)?;
    final_fault::inject_and_read_back(FinalFault::draw(*seed, *disks), &system, &watch).await?;
    check_final_zone(&mut zone_operator, &watch).await;
    Ok(watch.borrow().report.clone())
}

/// Checks that the evacuation before the final fault is still in force.
pub(crate) async fn check_final_zone(operator: &mut Client, watch: &SharedWatch) {
    let until = Instant::now() + RECOVERY_MAX;
    while Instant::now() < until {
        match operator.is_evacuated(FINAL_ZONE).await {
            Some(true) => return,
            Some(false) => {
                let violation = format!("the evacuation of {FINAL_ZONE} is lost");
                return watch.borrow_mut().report.violations.push(violation);
            }
            None => tokio::time::sleep(POLL).await,
        }
    }
    watch.borrow_mut().report.violations.push("the zones cannot be listed".into());
}

pub(crate) type SharedSystem = Rc<RefCell<System>>;
pub(crate) type SharedWatch = Rc<RefCell<Watch>>;

async fn inject(plan: &Plan, system: &SharedSystem, watch: &SharedWatch) -> JoinSet<()> {
    let mut fault_tasks = JoinSet::new();
    let began = Instant::now();
    for planned in &plan.0 {
        tokio::time::sleep_until(began + planned.at).await;
        check_memory(system, watch);
        let ended_unexpectedly = system.borrow_mut().ended_unexpectedly();
        if !ended_unexpectedly.is_empty() {
            watch
                .borrow_mut()
                .report
                .violations
                .push(format!("processes {ended_unexpectedly:?} ended unexpectedly"));
        }
        watch.borrow_mut().report.faults += 1;
        fault_tasks.spawn_local(apply_fault(*planned, system.clone(), watch.clone()));
    }
    fault_tasks
}

fn check_memory(system: &SharedSystem, watch: &SharedWatch) {
    let over_memory = system.borrow().over_memory();
    if !over_memory.is_empty() {
        let violation = format!("processes {over_memory:?} used more than their memory");
        watch.borrow_mut().report.violations.push(violation);
    }
}

async fn apply_fault(planned: PlannedFault, system: SharedSystem, watch: SharedWatch) {
    let PlannedFault { node, fault, .. } = planned;
    let proxy_faults = system.borrow().proxy_faults[node].clone();
    let result = match fault {
        InjectedFault::Kill(down) => {
            system.borrow_mut().kill(node);
            tokio::time::sleep(down).await;
            system.borrow_mut().launch(node, false)
        }
        InjectedFault::Pause(span) => {
            let paused = system.borrow().signal(node, "-STOP");
            tokio::time::sleep(span).await;
            paused.and(system.borrow().signal(node, "-CONT"))
        }
        InjectedFault::Restart => restart(node, &system, &watch).await,
        InjectedFault::Wipe(down) => {
            let wiped = system.borrow_mut().wipe(node);
            tokio::time::sleep(down).await;
            wiped.and_then(|()| system.borrow_mut().launch(node, false))
        }
        InjectedFault::Delay(by, span) => {
            proxy_faults.delay.set(by);
            tokio::time::sleep(span).await;
            proxy_faults.delay.set(Duration::ZERO);
            Ok(())
        }
        InjectedFault::Silence(span) => {
            proxy_faults.silent.set(true);
            tokio::time::sleep(span).await;
            proxy_faults.silent.set(false);
            Ok(())
        }
        InjectedFault::OneWay(span) => {
            proxy_faults.one_way.set(true);
            tokio::time::sleep(span).await;
            proxy_faults.one_way.set(false);
            Ok(())
        }
        InjectedFault::Reset => {
            proxy_faults.resets.set(proxy_faults.resets.get() + 1);
            Ok(())
        }
        InjectedFault::KillDisks(down) => kill_disks(down, &system).await,
    };
    if let Err(error) = result {
        watch
            .borrow_mut()
            .report
            .violations
            .push(format!("a fault could not be injected: {error}"));
    }
}

async fn kill_disks(down: Duration, system: &SharedSystem) -> io::Result<()> {
    let disks = system.borrow().disks();
    for at in 0..disks {
        system.borrow_mut().kill(at);
    }
    tokio::time::sleep(down).await;
    for at in 0..disks {
        system.borrow_mut().launch(at, false)?;
    }
    Ok(())
}

/// Asks a process to stop, and starts it again. An exit code other than 0 is reported. A process
/// that another fault pauses may not stop in time and is killed.
async fn restart(node: usize, system: &SharedSystem, watch: &SharedWatch) -> io::Result<()> {
    system.borrow_mut().stop(node)?;
    let until = Instant::now() + STOP_MAX;
    loop {
        let ended = system.borrow_mut().has_ended(node)?;
        match ended {
            Some(true) => break,
            Some(false) => {
                watch
                    .borrow_mut()
                    .report
                    .violations
                    .push(format!("process {node} stopped with an error"));
                break;
            }
            // Another fault may have paused the process.
            None if Instant::now() > until => {
                system.borrow_mut().kill(node);
                break;
            }
            None => tokio::time::sleep(POLL).await,
        }
    }
    system.borrow_mut().launch(node, false)
}

/// Starts the processes that are down and waits until every acknowledged job has ended.
pub(crate) async fn recover(system: &SharedSystem, watch: &SharedWatch, recovery_max: Duration) {
    let until = Instant::now() + recovery_max;
    while Instant::now() < until && !watch.borrow().open_jobs().is_empty() {
        tokio::time::sleep(POLL).await;
        let down: Vec<usize> = {
            let system = system.borrow();
            (0..system.nodes()).filter(|at| system.is_down(*at)).collect()
        };
        for at in down {
            let _ = system.borrow_mut().launch(at, false);
        }
    }
    let open = watch.borrow().open_jobs();
    if !open.is_empty() {
        let violation = format!("{} acknowledged jobs did not end: {open:?}", open.len());
        watch.borrow_mut().report.violations.push(violation);
    }
}
