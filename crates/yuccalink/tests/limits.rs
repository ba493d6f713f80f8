//! Limits of the change set, at a process that does not store it.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;
use support::{CALLERS, Cell};
use yuccalink_fakes::wait;

const TIMEOUT: Duration = Duration::from_secs(30);
const JOB: &str = include_str!("../../../examples/job.json");
const CHANGE: &str = include_str!("../../../examples/change.json");

fn apply(cell: &Cell, version: u64, limits: &str) {
    let text = CHANGE.replace("\"version\": 1", &format!("\"version\": {version}, {limits}"));
    let file = cell.folder.path().join("change.json");
    std::fs::write(&file, text).expect("a file");
    cell.run_ok(1, &["change", "apply", file.to_str().expect("its path")]);
}

/// Status of a job whose body has `size` bytes, at the entry without a disk.
fn submit(cell: &Cell, id: u64, size: usize) -> Option<u16> {
    let mut body = JOB.trim_end().as_bytes().to_vec();
    body.resize(size, b' ');
    let head = format!(
        "POST /returns/{id:016x} HTTP/1.1\r\nHost: duty.example\r\nConnection: close\r\n\
         Content-Length: {size}\r\n\r\n"
    );
    let mut stream = TcpStream::connect(cell.at(2, CALLERS)).ok()?;
    stream.write_all(&[head.as_bytes(), &body].concat()).ok()?;
    let mut response = String::new();
    stream.read_to_string(&mut response).ok()?;
    response.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()
}

/// Guards against limits that only the processes apply that store the change set, and against an
/// entry that goes on refusing what a later change set allows.
#[test]
fn an_entry_without_a_disk_applies_the_limits_of_each_change_set() {
    let cell = Cell::start(150);
    let is = |size, status| move |cell: &Cell| submit(cell, 1, size).filter(|s| *s == status);
    let wait_for = |what: &str, size, status| {
        wait::wait_until(TIMEOUT, what, || is(size, status)(&cell).map(drop));
    };
    apply(&cell, 1, "\"limits\": {\"body-bytes\": 4096}");
    wait_for("a refusal", 4_097, 413);
    wait_for("the largest body", 4_096, 200);
    apply(&cell, 2, "\"limits\": {\"body-bytes\": 8192}");
    wait_for("a larger body", 8_192, 200);
    assert_eq!(submit(&cell, 2, 8_193), Some(413));
}
