//! A gang starts on a runner that fails all that it starts. Its queue allows three attempts, and
//! the other runners are sound.

use crate::{Outcome, Stage, config, identity, open, runner};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

const PREFIX: &str = "/lohu930/";
/// The disruption hits one runner of this many, below the share of 0.085 that the pages name.
const RUNNERS: usize = 12;
/// Its length, of at most 6.5 s.
const GREY: Duration = Duration::from_millis(6_500);
const ATTEMPTS: usize = 3;
const MEMBERS: usize = 4;
const GANG: &str = "00000000000000ee";
/// Time for three attempts at a gang that works for 0.4 s, and for the other runners.
const LIMIT: Duration = Duration::from_secs(30);

pub fn play(stage: &mut Stage) -> Result<Outcome, Outcome> {
    open(stage, &config(7, &[("r-a", PREFIX, 0, "")]))?;
    let grey = Arc::new(AtomicBool::new(false));
    // The cell fills the runners in the order of their first reports, so the grey one gets a gang.
    for number in 0..RUNNERS {
        let power = Arc::new(AtomicBool::new(true));
        let mut me = identity(stage, number, 0);
        if number == 0 {
            me.fails_all = grey.clone();
        }
        runner::start(me, stage.world.clone(), power);
        sleep(Duration::from_millis(150));
    }
    sleep(Duration::from_secs(2));
    let body = format!(
        "{{\"spec\":\"cpu=500;mem=256;run=400;gang={MEMBERS}\",\"steps\":[{{\"count\":{MEMBERS},\
         \"cpu\":500,\"mem_mb\":256,\"estimate_ms\":400,\"gang\":true}}]}}"
    );
    grey.store(stage.trouble, Ordering::SeqCst);
    let sound_at = Instant::now() + GREY;
    let status = stage.cell.submit(PREFIX, GANG, &body);
    stage.record.line(format!("consumer: gang {GANG} of {MEMBERS}: {status}"));
    if status != 200 {
        return Err(Outcome::NotRun(format!("the gang got {status}")));
    }
    let until = Instant::now() + LIMIT;
    let mut state = String::new();
    while Instant::now() < until {
        if Instant::now() >= sound_at {
            grey.store(false, Ordering::SeqCst);
        }
        let now = stage.cell.state(PREFIX, GANG);
        if now != state {
            stage.record.line(format!("gang {GANG} is {now}"));
            state = now;
        }
        if state == "completed" || state == "failed" {
            break;
        }
        sleep(Duration::from_millis(100));
    }
    let log = stage.world.log.lock().map_err(|_| Outcome::NotRun("no log".into()))?;
    let failed = |(task, _, how): &&(String, u64, String)| task.starts_with(GANG) && how == "failed";
    let mut runs: Vec<u64> = log.ended.iter().filter(failed).map(|(_, run, _)| *run).collect();
    runs.sort_unstable();
    runs.dedup();
    stage.record.line(format!("runs of the gang that failed: {runs:?}"));
    match state.as_str() {
        "completed" => Ok(Outcome::Held),
        "failed" if runs.len() < ATTEMPTS => Ok(Outcome::Broken(format!(
            "gang {GANG} is shown as failed after {} of {ATTEMPTS} attempts",
            runs.len()
        ))),
        "failed" => Ok(Outcome::Held),
        other => Err(Outcome::NotRun(format!("the gang is {other} after {LIMIT:?}"))),
    }
}
