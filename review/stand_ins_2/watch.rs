//! Runners crash one at a time, each back after 2 s, and each time the one on which the same task of
//! a lasting submission works.

use crate::runner::Identity;
use crate::{Outcome, Stage, config, identity, open, runner};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

const PREFIX: &str = "/lohu930/";
/// One runner of this many crashes at a time, below the share of 0.15 that the pages name.
const RUNNERS: usize = 12;
const DOWN: Duration = Duration::from_secs(2);
const CRASHES: usize = 4;
/// How long the task works on a runner before it crashes.
const WORKS: Duration = Duration::from_secs(4);
const TASKS: usize = 4;
const LASTING: &str = "00000000000000aa";
/// A task that lasts has to run again from 6 s after its last run, for 3 s and the 4 s before.
const AFTER_LAST_RUN: Duration = Duration::from_secs(13);
const START_LIMIT: Duration = Duration::from_secs(12);

struct Server {
    me: Identity,
    power: Arc<AtomicBool>,
}

impl Server {
    fn start(me: Identity, stage: &Stage) -> Self {
        let power = Arc::new(AtomicBool::new(true));
        runner::start(me.clone(), stage.world.clone(), power.clone());
        Self { me, power }
    }
}

pub fn play(stage: &mut Stage) -> Result<Outcome, Outcome> {
    open(stage, &config(7, &[("r-a", PREFIX, 0, "")]))?;
    let mut servers: Vec<Server> =
        (0..RUNNERS).map(|number| Server::start(identity(stage, number, 0), stage)).collect();
    sleep(Duration::from_secs(3));
    let body = format!(
        "{{\"spec\":\"cpu=1000;mem=256;lasts=1\",\"steps\":[{{\"count\":{TASKS},\"cpu\":1000,\
         \"mem_mb\":256,\"estimate_ms\":400,\"long_running\":true,\"anti_affinity\":1}}]}}"
    );
    let status = stage.cell.submit(PREFIX, LASTING, &body);
    stage.record.line(format!("consumer: lasting submission {LASTING}: {status}"));
    if status != 200 {
        return Err(Outcome::NotRun(format!("the submission got {status}")));
    }
    for crash in 1..=CRASHES {
        let Some(host) = wait_for_start(stage, crash) else { break };
        sleep(WORKS);
        if !stage.trouble {
            continue;
        }
        let Some(server) = servers.iter_mut().find(|server| server.me.id == host) else {
            return Err(Outcome::NotRun(format!("there is no runner {host}")));
        };
        stage.record.line(format!("crash {crash}: {host}"));
        server.power.store(false, Ordering::SeqCst);
        sleep(DOWN);
        *server = Server::start(server.me.clone(), stage);
    }
    sleep(AFTER_LAST_RUN);
    let state = stage.cell.state(PREFIX, LASTING);
    let running = running_tasks(stage);
    stage.record.line(format!("submission {LASTING} is {state}, tasks at work: {running}"));
    if !stage.cell.all_run() {
        return Err(Outcome::NotRun("a daemon has ended".into()));
    }
    match state.as_str() {
        "running" if running == TASKS => Ok(Outcome::Held),
        _ => Ok(Outcome::Broken(format!(
            "submission {LASTING} lasts, nobody has cancelled it and none of its tasks ended failed; \
             it is {state}, and {running} of its {TASKS} tasks work {} s after the last crash",
            AFTER_LAST_RUN.as_secs()
        ))),
    }
}

/// The runner on which the first task was started for the `nth` time; waits for that start.
fn wait_for_start(stage: &Stage, nth: usize) -> Option<String> {
    let task = format!("{LASTING}.0.0.0");
    let nth = if stage.trouble { nth } else { 1 };
    let until = Instant::now() + START_LIMIT;
    while Instant::now() < until {
        let found = stage.world.log.lock().ok().and_then(|log| {
            let mut starts = log.started.iter().filter(|(started, _, _)| *started == task);
            starts.nth(nth - 1).map(|(_, _, runner)| runner.clone())
        });
        if found.is_some() {
            return found;
        }
        sleep(Duration::from_millis(20));
    }
    None
}

/// Tasks of the submission of which the newest run was started and has not ended.
fn running_tasks(stage: &Stage) -> usize {
    let Ok(log) = stage.world.log.lock() else { return 0 };
    let is_at_work = |index: usize| {
        let task = format!("{LASTING}.0.0.{index}");
        let started = log.started.iter().filter(|(name, _, _)| *name == task);
        let newest = started.map(|(_, run, _)| *run).max();
        newest.is_some_and(|newest| {
            !log.ended.iter().any(|(name, run, _)| *name == task && *run == newest)
        })
    };
    (0..TASKS).filter(|index| is_at_work(*index)).count()
}
