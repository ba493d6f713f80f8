//! Which process of a job cell runners report to.

mod support;

use serde_json::Value;
use std::time::Duration;
use support::{CONTROL, Cell};
use yuccalink_fakes::{Caller, wait};

const REPORT: &str = r#"{"born-ms":1,"sequence":SEQUENCE,"pool":"p","address":"127.0.0.1:9",
    "zone":"z","capacity":{"millicores":1000,"memory-mib":100},"rack":"r"}"#;

fn report(cell: &Cell, entry: u8, sequence: u64) -> Option<Value> {
    let body = REPORT.replace("SEQUENCE", &sequence.to_string());
    let caller = Caller::new(cell.at(entry, CONTROL));
    let reply = caller.post("/v1/runners/w1/heartbeat", body.as_bytes()).ok()?;
    (reply.status == 200).then(|| serde_json::from_slice(&reply.body).expect("JSON"))
}

/// When all runners reported to the leader, it ran out of file descriptors and CPU time at some
/// thousands of runners. Each process therefore names itself in `report-to`.
#[test]
fn runners_stay_with_the_process_that_answers_them() {
    let cell = Cell::start(120);
    let mut sequence = 0;
    for entry in [2, 1] {
        let orders = wait::wait_until(Duration::from_secs(30), "an answer", || {
            sequence += 1;
            report(&cell, entry, sequence)
        });
        assert_eq!(orders["report-to"], cell.at(entry, CONTROL).to_string(), "{orders}");
    }
}

/// A runner that reports to a stopping process would lose its next report, so such a process
/// names none in `report-to`.
#[test]
fn a_process_that_stops_keeps_no_runner() {
    let cell = Cell::start(130);
    let mut sequence = 0;
    let mut next = || {
        sequence += 1;
        report(&cell, 2, sequence)
    };
    wait::wait_until(Duration::from_secs(30), "an answer", &mut next);
    cell.stop(2);
    let named = wait::wait_until(Duration::from_secs(30), "an answer while it stops", || {
        next().map(|orders| orders["report-to"].clone()).filter(|named| named.is_null())
    });
    assert!(named.is_null());
}
