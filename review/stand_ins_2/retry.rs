//! The one runner with a label fails all that it starts for some seconds. A task that asks for the
//! label fails there once, and has further attempts.

use crate::{FINISH, IDLE, Outcome, Stage, config, identity, open, runner};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::Duration;

const PREFIX: &str = "/lohu930/";
/// One runner of this many is grey, below the share of 0.085 that the pages name.
const RUNNERS: usize = 12;
/// Its length, of at most 6.5 s.
const GREY: Duration = Duration::from_millis(6_500);
const LABEL: &str = "g";
const FIRST: &str = "00000000000000a1";
const PLAIN: &str = "00000000000000a2";

pub fn play(stage: &mut Stage) -> Result<Outcome, Outcome> {
    open(stage, &config(7, &[("r-a", PREFIX, 0, "")]))?;
    let grey = Arc::new(AtomicBool::new(false));
    for number in 0..RUNNERS {
        let mut me = identity(stage, number, 0);
        if number == 0 {
            me.kind = LABEL.into();
            me.fails_all = grey.clone();
        }
        runner::start(me, stage.world.clone(), Arc::new(AtomicBool::new(true)));
    }
    sleep(Duration::from_secs(3));
    grey.store(stage.trouble, Ordering::SeqCst);
    submit(stage, FIRST, &format!(",\"required_label\":\"{LABEL}\""))?;
    submit(stage, PLAIN, "")?;
    sleep(GREY);
    grey.store(false, Ordering::SeqCst);
    stage.record.line("all runners are sound from now on");
    sleep(FINISH + IDLE + Duration::from_millis(500));
    let plain = stage.cell.state(PREFIX, PLAIN);
    stage.record.line(format!("submission {PLAIN} without a label is {plain}"));
    let state = stage.cell.state(PREFIX, FIRST);
    let starts = stage.world.log.lock().map_or(0, |log| log.starts_of(FIRST));
    stage.record.line(format!("submission {FIRST} with the label is {state}, starts: {starts}"));
    if !stage.cell.all_run() {
        return Err(Outcome::NotRun("a daemon has ended".into()));
    }
    match state.as_str() {
        "completed" => Ok(Outcome::Held),
        "failed" if starts >= 3 => Ok(Outcome::Held),
        other => Ok(Outcome::Broken(format!(
            "submission {FIRST} was accepted, is {other} after {starts} of 3 attempts, and has had \
             nothing running for {} s beside the idle and sound runner that has its label",
            (FINISH + IDLE).as_secs()
        ))),
    }
}

fn submit(stage: &Stage, id: &str, label: &str) -> Result<(), Outcome> {
    let body = format!(
        "{{\"spec\":\"cpu=1000;mem=256;run=400\",\"steps\":[{{\"count\":1,\"cpu\":1000,\
         \"mem_mb\":256,\"estimate_ms\":400{label}}}]}}"
    );
    let status = stage.cell.submit(PREFIX, id, &body);
    stage.record.line(format!("consumer: submission {id}: {status}"));
    match status {
        200 => Ok(()),
        _ => Err(Outcome::NotRun(format!("submission {id} got {status}"))),
    }
}
