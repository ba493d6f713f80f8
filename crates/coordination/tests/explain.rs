//! Tests that the log lines of the leader alone lead from a failed job to its cause, as the
//! operators' page describes.

#[path = "cell/desk.rs"]
#[allow(dead_code)]
mod desk;
#[path = "cell/world.rs"]
#[allow(dead_code)]
mod world;

use desk::Desk;
use log::{LevelFilter, Log, Metadata, Record};
use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;
use world::{place, step};
use yuccalink_coordination::jobs::{CellRequest, CellResponse, RequestToken};
use yuccalink_fakes::emulator::{RunnerFault, TaskBehavior};
use yuccalink_state::jobs::{JobId, JobSpec};

thread_local! {
    static LINES: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

/// Captures the log lines of the test's own thread, on which the leader runs.
struct Keeper;

impl Log for Keeper {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        LINES.with_borrow_mut(|lines| lines.push(record.args().to_string()));
    }

    fn flush(&self) {}
}

fn keep_lines() {
    // Another test of this process may have set the logger; all set the same one.
    let _ = log::set_logger(&Keeper);
    log::set_max_level(LevelFilter::Info);
}

/// Lines that name a job, in order.
fn lines_of(id: JobId) -> Vec<String> {
    LINES.with_borrow(|lines| {
        lines.iter().filter(|line| line.contains(&id.to_string())).cloned().collect()
    })
}

fn assert_in_order(lines: &[String], wanted: &[&str]) {
    let mut rest = lines.iter();
    for part in wanted {
        assert!(rest.any(|line| line.contains(part)), "no `{part}` in this order: {lines:#?}");
    }
}

fn behavior(work_ms: u64, fails: bool) -> TaskBehavior {
    TaskBehavior { run_time: Duration::from_millis(work_ms), fails, ..TaskBehavior::default() }
}

fn rounds(desk: &mut Desk, count: u32) {
    for _ in 0..count {
        desk.pass(Duration::from_millis(200));
        desk.round();
    }
}

/// A job is refused because the log has more to write than it can take. Its only line names the
/// queue and the time after which the caller may retry.
#[test]
fn a_refused_job_has_a_line_with_the_time_to_come_back() {
    keep_lines();
    let mut desk = Desk::new(1, None, behavior(500, false));
    let (spec, _) = step(1, 1, 500);
    let spec = Arc::new(JobSpec { payload: "p".into(), steps: vec![spec], schedule: None });
    // Nothing is committed in between, as if the log were stalled.
    let mut refused = None;
    for number in 1..20_000 {
        let (now, id) = (desk.clock(), JobId(number));
        desk.leader.handle_request(
            now,
            RequestToken(number),
            CellRequest::Submit { at: place(), id, spec: spec.clone() },
        );
        if let Some((_, CellResponse::Refused { after_ms })) = desk.leader.take_answers().pop() {
            refused = Some((id, after_ms));
            break;
        }
    }
    let (id, after_ms) = refused.expect("a refusal");
    let lines = lines_of(id);
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert_in_order(&lines, &[&format!("queue=q refused after-ms={after_ms}")]);
}

/// A job ends late. Its lines show one stalled run with its runner, its progress and how long it
/// stalled, the stop, the second run on another runner, and how late the job ended.
#[test]
fn a_late_job_leads_to_the_run_that_stood_still() {
    keep_lines();
    let mut desk = Desk::new(2, None, behavior(1_000, false));
    desk.round();
    desk.runners[0].fault = RunnerFault::TasksStall;
    desk.runners[1].fault = RunnerFault::TasksStall;
    let (spec, _) = step(1, 2, 1_000);
    desk.submit(vec![spec]);
    rounds(&mut desk, 2);
    let on = usize::from(desk.runners[0].running().next().is_none());
    desk.runners[1 - on].fault = RunnerFault::None;
    rounds(&mut desk, 30);
    let runner = &desk.runners[on].id;
    let lines = lines_of(JobId(1));
    assert_in_order(
        &lines,
        &[
            "accepted queue=q",
            &format!("run=1 runner={runner}"),
            "why=standing percent=0",
            "run=1",
            "start task=0000000000000001.0.0.0 run=2",
            "how=Done",
            "ended state=Completed after=",
        ],
    );
}

/// A job fails. Its lines show as many failed runs as the queue has attempts, each on another
/// runner, which tells that the job is at fault and not the runners.
#[test]
fn a_failed_job_leads_to_its_own_fault() {
    keep_lines();
    let mut desk = Desk::new(4, None, behavior(300, true));
    desk.round();
    let (spec, _) = step(1, 2, 300);
    desk.submit(vec![spec]);
    rounds(&mut desk, 60);
    let lines = lines_of(JobId(1));
    assert_in_order(
        &lines,
        &[
            "accepted queue=q",
            "run=1 runner=w",
            "how=Failed",
            "run=2 runner=w",
            "how=Failed",
            "run=3 runner=w",
            "how=Failed",
            "ended state=Failed",
        ],
    );
    assert!(lines.last().is_some_and(|line| line.ends_with("failures=3")), "{lines:#?}");
    let runners: std::collections::BTreeSet<&str> = lines
        .iter()
        .filter(|line| line.starts_with("end "))
        .filter_map(|line| line.split("runner=").nth(1)?.split(' ').next())
        .collect();
    assert_eq!(runners.len(), 3, "{lines:#?}");
}

/// A job ends late though each of its runs was fast. Its last line tells for how long no runner
/// had capacity for its next task.
#[test]
fn a_late_job_says_that_it_waited_for_room() {
    keep_lines();
    let mut desk = Desk::new(1, None, behavior(2_000, false));
    desk.round();
    let (spec, _) = step(1, 12, 2_000);
    desk.submit_as(JobId(1), vec![spec.clone()]);
    rounds(&mut desk, 1);
    desk.submit_as(JobId(2), vec![spec]);
    rounds(&mut desk, 30);
    let lines = lines_of(JobId(2));
    let ended = lines.last().expect("a line");
    assert!(ended.contains("ended state=Completed"), "{lines:#?}");
    let waited_ms = ended.split("room:").nth(1).and_then(|rest| rest.split([',', ' ']).next());
    let waited_ms: u64 = waited_ms.and_then(|ms| ms.parse().ok()).unwrap_or(0);
    assert!((1_250..=2_500).contains(&waited_ms), "{ended}");
}
