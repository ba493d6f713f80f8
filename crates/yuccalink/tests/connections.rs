//! A process of a job cell holds so many connections and no more.

mod support;

use std::net::TcpStream;
use std::time::Duration;
use support::{CALLERS, CONTROL, Cell};
use yuccalink_fakes::{Caller, CallerResponse, wait};

const TIMEOUT: Duration = Duration::from_secs(30);

fn status(cell: &Cell) -> Option<CallerResponse> {
    Caller::new(cell.at(1, CONTROL)).get("/v1/status").ok()
}

/// Connections without end used up a process's descriptors, and with them its way to the others.
#[test]
fn a_connection_beyond_the_most_is_told_to_come_back() {
    let cell = Cell::start_with(140, &["--connections-max", "3"]);
    let good = || status(&cell).filter(|reply| reply.status == 200);
    wait::wait_until(TIMEOUT, "the process", good);
    let connect = || TcpStream::connect(cell.at(1, CALLERS)).expect("a connection");
    let mut idle = vec![connect(), connect(), connect()];
    let refused =
        wait::wait_until(TIMEOUT, "a refusal", || status(&cell).filter(|r| r.status == 503));
    assert!(refused.headers.contains_key("retry-after"), "{:?}", refused.headers);
    assert!(refused.text().contains("--connections-max"), "{}", refused.text());
    idle.pop();
    wait::wait_until(TIMEOUT, "a place", good);
}

/// A limit of none would let nobody in, and nobody would know why.
#[test]
fn a_process_that_could_be_reached_by_nobody_does_not_start() {
    let output = std::process::Command::new(support::daemon())
        .args(["cell", "--callers", "127.0.0.1:0", "--seeds", "127.0.0.1:1"])
        .args(["--connections-max", "0"])
        .output()
        .expect("the daemon");
    assert_eq!(output.status.code(), Some(2));
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(stderr.contains("connections-max"), "{stderr}");
}
