//! Well-behaved clients at the limits, each alone: none is refused.

use crate::crowd::{in_calm, in_calm_with};
use crate::exchange::{Framing, Request, exchange};
use crate::platform;
use crate::process::{CONNECTIONS_MAX, JOB, Listener, Process, Program};
use std::fmt::Write;
use std::net::TcpStream;

const KIB: usize = 1_024;
/// Ends in the longest report of a runner.
const REPORTED_ENDS: usize = 500;

/// A change set of `queues` queues, the one that ordinary requests use among them.
fn large_change_set(program: Program, queues: usize, version: u64) -> String {
    let mut text = format!("{{\"version\":{version},");
    text.push_str(match program {
        Program::Platform => platform::QUEUES_START,
        _ => "\"pools\":[{\"name\":\"duty\"}],\"queues\":[",
    });
    for number in 0..queues {
        let prefix = if number == 0 { "/returns/".into() } else { format!("/returns-{number}/") };
        if number > 0 {
            text.push(',');
        }
        if program == Program::Platform {
            platform::push_queue(&mut text, number, &prefix);
            continue;
        }
        let _ = write!(
            text,
            "{{\"name\":\"r-{number}\",\"host\":\"duty.example\",\"prefix\":\
             \"{prefix}\",\"pool\":\"duty\",\"timeout-ms\":3000,\"objective-ms\":1200,\
             \"slack\":1.5,\"priority\":0,\"attempts\":3,\"weight\":3}}"
        );
    }
    text.push_str("]}");
    text
}

fn change_request(program: Program, text: &str) -> Request {
    let (method, path) = match program {
        Program::Platform => platform::REPLACE,
        _ => ("PUT", "/v1/change"),
    };
    Request::new(method, path).body(text.as_bytes())
}

pub fn put_large_change_set(process: &Process, queues: usize) {
    let text = large_change_set(process.program, queues, 2);
    let request = change_request(process.program, &text);
    let response = process.send(Listener::Control, &request).expect("a response");
    assert_eq!(response.status, 200, "{}", response.text);
}

/// A job whose body has exactly `size` bytes.
fn job_of(program: Program, size: usize) -> Vec<u8> {
    let job = if program == Program::Platform { platform::JOB } else { JOB };
    let mut body = job.trim_end().as_bytes().to_vec();
    body.resize(size, b' ');
    body
}

fn status_of(process: &Process, listener: Listener, request: &Request) -> u16 {
    let response = process.send(listener, request).expect("a response");
    println!("{}", response.text.lines().next().unwrap_or_default());
    response.status
}

/// Guards against a limit that refuses a burst of all the connections that are allowed.
fn a_burst_is_served(program: Program) {
    in_calm(program, |process| {
        let to = process.at(Listener::Callers);
        // Some places are left for the connections of runners and operators.
        let connections = CONNECTIONS_MAX / 4 * 3;
        // All are open before the first sends its request.
        let open: Vec<TcpStream> =
            (0..connections).map(|_| TcpStream::connect(to).expect("a place")).collect();
        let mut refused = 0;
        for (number, stream) in open.iter().enumerate() {
            let request = process.submission(1_000 + number as u64).bytes();
            crate::exchange::send_on(stream, &request).expect("sent");
        }
        for stream in &open {
            let response = crate::exchange::receive_on(stream).expect("a response");
            refused += usize::from(response.status != 200);
        }
        assert_eq!(refused, 0, "of {connections}");
    });
}

/// Guards against a limit that refuses a burst of all the connections that are allowed.
#[test]
fn a_burst_of_all_connections_is_served_by_a_cell() {
    a_burst_is_served(Program::Cell);
}

/// Guards against a limit that refuses a burst of all connections, with the platform's limits.
#[test]
fn a_burst_of_all_connections_is_served_by_the_platforms_cell() {
    a_burst_is_served(Program::Platform);
}

/// Guards against a limit that refuses a burst of all connections, in the services' daemon.
#[test]
fn a_burst_of_all_connections_is_served_by_the_services_daemon() {
    a_burst_is_served(Program::Services);
}

/// Guards against a limit that refuses a change set of 10,000 queues in chunks.
#[test]
fn a_change_set_of_10_000_queues_in_chunks_is_accepted() {
    for program in [Program::Cell, Program::Platform] {
        in_calm(program, |process| {
            let text = large_change_set(program, 10_000, 2);
            let request = change_request(program, &text).framing(Framing::Chunks(KIB));
            assert_eq!(status_of(process, Listener::Control, &request), 200, "{program:?}");
        });
    }
}

/// Guards against a limit that refuses the longest report of a runner.
#[test]
fn a_report_of_500_ends_is_accepted() {
    in_calm(Program::Platform, |process| {
        let body = platform::report_with_ends(REPORTED_ENDS);
        let request = Request::new("POST", platform::REPORT_PATH).body(body.as_bytes());
        assert_eq!(status_of(process, Listener::Control, &request), 200);
    });
}

/// Guards against a limit that refuses a lone request for the size of its chunks.
#[test]
fn a_lone_request_in_chunks_of_one_byte_is_served() {
    for program in [Program::Cell, Program::Platform] {
        in_calm(program, |process| {
            let request = process.submission(1).framing(Framing::Chunks(1));
            assert_eq!(status_of(process, Listener::Callers, &request), 200, "{program:?}");
        });
    }
}

/// Guards against a limit that refuses the largest body in the smallest chunks.
#[test]
fn the_largest_body_in_chunks_of_one_byte_is_served() {
    in_calm(Program::Cell, |process| {
        let body = job_of(Program::Cell, 256 * KIB);
        let request = process.submission(1).body(&body).framing(Framing::Chunks(1));
        assert_eq!(status_of(process, Listener::Callers, &request), 200);
    });
}

/// Guards against a limit that is off by one, and against a refusal that a client cannot read.
#[test]
fn a_body_as_long_as_allowed_is_served_and_one_byte_more_is_refused() {
    for program in [Program::Cell, Program::Platform] {
        in_calm(program, |process| {
            for (size, status) in [(256 * KIB, 200), (256 * KIB + 1, 413)] {
                for framing in [Framing::Length, Framing::Chunks(16 * KIB)] {
                    let request = process.submission(size as u64);
                    let request = request.body(&job_of(program, size)).framing(framing);
                    let found = status_of(process, Listener::Callers, &request);
                    assert_eq!(found, status, "{program:?}: {size} bytes, {framing:?}");
                }
            }
        });
    }
}

/// Guards against limits of the change set that are stored and not applied.
#[test]
fn the_limits_of_the_change_set_are_applied_once_it_is_in_force() {
    in_calm(Program::Cell, |process| {
        let text = large_change_set(Program::Cell, 1, 2);
        let limits = r#""limits":{"body-bytes":4096,"head-bytes":1024},"#;
        let text = text.replacen('{', &format!("{{{limits}"), 1);
        let request = change_request(Program::Cell, &text);
        assert_eq!(status_of(process, Listener::Control, &request), 200);
        let submission = process.submission(1);
        let small = submission.clone().body(&job_of(Program::Cell, 4_096));
        assert_eq!(status_of(process, Listener::Callers, &small), 200);
        let large = submission.clone().body(&job_of(Program::Cell, 4_961));
        assert_eq!(status_of(process, Listener::Callers, &large), 413);
        let long_head = submission.header("Pad", &"x".repeat(1_024));
        assert_eq!(status_of(process, Listener::Callers, &long_head), 431);
    });
}

/// Guards against a refusal that a client loses because it is still sending.
#[test]
fn a_client_that_is_still_sending_reads_its_refusal() {
    for program in [Program::Cell, Program::Services] {
        in_calm(program, |process| {
            let request = process.submission(1).body(&vec![b' '; 8 * KIB * KIB]);
            let response = exchange(process.at(Listener::Callers), &request.bytes());
            assert_eq!(response.expect("a response").status, 413, "{program:?}");
        });
    }
}

/// Guards against callers that are turned away by connections that say nothing.
#[test]
fn silent_connections_give_way_to_a_caller() {
    in_calm(Program::Cell, |process| {
        // None of the silent connections is closed because it is idle for long.
        let text = large_change_set(Program::Cell, 1, 2);
        let limits = r#""limits":{"idle-timeout-ms":600000,"head-timeout-ms":600000},"#;
        let text = text.replacen('{', &format!("{{{limits}"), 1);
        let request = change_request(Program::Cell, &text);
        assert_eq!(status_of(process, Listener::Control, &request), 200);
        let to = process.at(Listener::Callers);
        let silent: Vec<TcpStream> =
            (0..CONNECTIONS_MAX + 100).filter_map(|_| TcpStream::connect(to).ok()).collect();
        assert_eq!(status_of(process, Listener::Callers, &process.submission(1)), 200);
        drop(silent);
    });
}

/// Guards against callers of the services' daemon that are turned away by silent connections.
#[test]
fn silent_connections_give_way_to_a_caller_of_the_services_daemon() {
    // None of the silent connections is closed because it is idle for long.
    let variables = [("YUCCALINK_HEAD_TIMEOUT", "10m"), ("YUCCALINK_IDLE_TIMEOUT", "10m")];
    in_calm_with(Program::Services, &variables, |process| {
        let to = process.at(Listener::Callers);
        let silent: Vec<TcpStream> =
            (0..CONNECTIONS_MAX).filter_map(|_| TcpStream::connect(to).ok()).collect();
        let request = Request::new("GET", "/quotes/prices/x");
        assert_eq!(status_of(process, Listener::Callers, &request), 200);
        drop(silent);
    });
}
