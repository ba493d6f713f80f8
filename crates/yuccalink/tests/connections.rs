//! Limit on the connections of a process of a job cell.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use support::{CALLERS, CONTROL, Cell};
use yuccalink_fakes::{Caller, CallerResponse, wait};

const TIMEOUT: Duration = Duration::from_secs(30);

fn status(cell: &Cell) -> Option<CallerResponse> {
    Caller::new(cell.at(1, CONTROL)).get("/v1/status").ok()
}

/// Sends requests on a connection of its own, many each second, until the flag is set.
fn keep_busy(to: SocketAddr, stop: Arc<AtomicBool>) -> std::thread::JoinHandle<()> {
    let mut stream = TcpStream::connect(to).expect("a connection");
    let mut exchange = move || {
        let mut buf = [0; 4 * 1_024];
        stream.write_all(b"GET /duty/ HTTP/1.1\r\nHost: duty.example\r\n\r\n").expect("sent");
        assert_ne!(stream.read(&mut buf).expect("a response"), 0, "it gave way");
    };
    exchange();
    std::thread::spawn(move || {
        while !stop.load(Ordering::Acquire) {
            exchange();
            std::thread::sleep(Duration::from_millis(20));
        }
    })
}

/// Without a limit, client connections used up the file descriptors of a process, which then
/// could not connect to the other processes. Connections in use do not give way.
#[test]
fn a_connection_over_the_limit_is_refused_with_503() {
    let cell = Cell::start_with(140, &["--connections-max", "3"]);
    let good = || status(&cell).filter(|reply| reply.status == 200);
    wait::wait_until(TIMEOUT, "the process", good);
    let stop = Arc::new(AtomicBool::new(false));
    let busy: Vec<_> = (0..3).map(|_| keep_busy(cell.at(1, CALLERS), stop.clone())).collect();
    let refused =
        wait::wait_until(TIMEOUT, "a refusal", || status(&cell).filter(|r| r.status == 503));
    assert!(refused.headers.contains_key("retry-after"), "{:?}", refused.headers);
    assert!(refused.text().contains("--connections-max"), "{}", refused.text());
    stop.store(true, Ordering::Release);
    for busy in busy {
        busy.join().expect("its connection stays open");
    }
    wait::wait_until(TIMEOUT, "a place", good);
}

/// With a limit of 0 a process would refuse every connection without a visible reason.
#[test]
fn a_process_with_a_connection_limit_of_0_does_not_start() {
    let output = std::process::Command::new(support::daemon())
        .args(["cell", "--callers", "127.0.0.1:0", "--seeds", "127.0.0.1:1"])
        .args(["--connections-max", "0"])
        .output()
        .expect("the daemon");
    assert_eq!(output.status.code(), Some(2));
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(stderr.contains("connections-max"), "{stderr}");
}
