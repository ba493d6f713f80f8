//! Clients that misbehave, against real processes. A crowd may be refused or disconnected; the
//! process must live, stay within its memory and descriptors, and answer an ordinary request
//! afterwards. Well-behaved clients at the limits are served. The tests run one at a time.
#![allow(missing_docs)]

mod calm;
mod crowd;
mod exchange;
#[path = "../../../../platform/tests/messages/mod.rs"]
mod platform;
mod process;

use crowd::{Crowd, LONG_STAY, STAY, check};
use exchange::{Framing, Request};
use process::{Listener, Process, Program};
use std::time::Duration;

const KIB: usize = 1_024;
const MIB: usize = 1_024 * KIB;
/// Connections of a crowd that fills almost all places.
const MANY: usize = 780;
/// Queues of a large change set.
const QUEUES: usize = 10_000;

/// Path of a caller's request.
fn caller_path(program: Program) -> &'static str {
    match program {
        Program::Cell | Program::Platform => "/returns/00000000000000aa",
        Program::Services => "/quotes/invoices",
    }
}

/// Method and path of an operator's request with a large body.
fn operator_path(program: Program) -> (&'static str, &'static str) {
    match program {
        Program::Cell => ("PUT", "/v1/change"),
        Program::Platform => platform::REPLACE,
        Program::Services => ("PUT", "/v1/services/quotes"),
    }
}

fn body_max(program: Program) -> usize {
    match program {
        Program::Cell | Program::Platform => 256 * KIB,
        Program::Services => MIB,
    }
}

fn endless_bodies(connections: usize, chunk: usize) -> impl FnOnce(&Process) -> Crowd {
    move |process| {
        let body = vec![b' '; body_max(process.program) - 64];
        let request = Request::new("POST", caller_path(process.program)).body(&body);
        let bytes = request.framing(Framing::Chunks(chunk)).endless();
        Crowd { at: Listener::Callers, connections, bytes, reads: true, stay: stay(chunk) }
    }
}

/// Chunks of one byte take processor time.
fn stay(chunk: usize) -> Duration {
    if chunk == 1 { LONG_STAY } else { STAY }
}

fn bodies_one_byte_short(process: &Process) -> Crowd {
    let body = vec![b' '; body_max(process.program)];
    let mut bytes = Request::new("POST", caller_path(process.program)).body(&body).endless();
    bytes.pop();
    Crowd { at: Listener::Callers, connections: MANY, bytes, reads: true, stay: STAY }
}

fn endless_operator_bodies(connections: usize, chunk: usize) -> impl FnOnce(&Process) -> Crowd {
    move |process| {
        let (method, path) = operator_path(process.program);
        let request = Request::new(method, path).body(&vec![b' '; 4 * MIB - 64]);
        let bytes = request.framing(Framing::Chunks(chunk)).endless();
        Crowd { at: Listener::Control, connections, bytes, reads: true, stay: stay(chunk) }
    }
}

fn endless_heads(process: &Process) -> Crowd {
    let head = format!("GET {} HTTP/1.1\r\nHost: x\r\nPad: ", caller_path(process.program));
    let bytes = [head.as_bytes(), &vec![b'x'; 15 * KIB]].concat();
    Crowd { at: Listener::Callers, connections: MANY, bytes, reads: true, stay: STAY }
}

fn unread_responses(process: &Process) -> Crowd {
    let request = format!("GET {} HTTP/1.1\r\nHost: x\r\n\r\n", caller_path(process.program));
    let bytes = request.repeat(MIB / request.len()).into_bytes();
    Crowd { at: Listener::Callers, connections: 390, bytes, reads: false, stay: STAY }
}

fn unread_change_sets(process: &Process) -> Crowd {
    calm::put_large_change_set(process, QUEUES);
    let path = match process.program {
        Program::Platform => platform::GET_PATH,
        _ => "/v1/change",
    };
    let bytes = format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").into_bytes();
    Crowd { at: Listener::Control, connections: 97, bytes, reads: false, stay: STAY }
}

fn peer_frames(process: &Process) -> Crowd {
    const ANNOUNCED: usize = 15 * MIB;
    let mut bytes = match process.program {
        Program::Cell | Program::Platform => (ANNOUNCED as u32).to_le_bytes().to_vec(),
        Program::Services => {
            let handshake = [b"YUCCA1".as_slice(), &[0; 40]].concat();
            let words = (ANNOUNCED / 8) as u32;
            [handshake.as_slice(), &0u32.to_le_bytes(), &words.to_le_bytes()].concat()
        }
    };
    bytes.resize(bytes.len() + 14 * MIB, 0);
    Crowd { at: Listener::Peer, connections: 70, bytes, reads: true, stay: STAY }
}

/// A body whose parsed form is much larger: a list of empty items.
fn list_of(start: &str, item: &str, end: &str, size: usize) -> Vec<u8> {
    let items = vec![item; (size - start.len() - end.len()) / (item.len() + 1)];
    format!("{start}{}{end}", items.join(",")).into_bytes()
}

fn submissions_of_empty_steps(process: &Process) -> Crowd {
    let start = match process.program {
        Program::Platform => platform::JOB_START,
        _ => r#"{"payload":"","steps":["#,
    };
    let body = list_of(start, "{}", "]}", 256 * KIB);
    let bytes = Request::new("POST", caller_path(process.program)).body(&body).endless();
    Crowd { at: Listener::Callers, connections: 65, bytes, reads: true, stay: STAY }
}

fn large_change_sets_of_empty_queues(_: &Process) -> Crowd {
    let body = list_of(r#"{"version":7,"queues":["#, "{}", "]}", 4 * MIB);
    let bytes = Request::new("PUT", "/v1/change").body(&body).endless();
    Crowd { at: Listener::Control, connections: 4, bytes, reads: true, stay: STAY }
}

fn reports_of_empty_labels(_: &Process) -> Crowd {
    let body = list_of(platform::REPORT_START, r#""""#, "]}", 4 * MIB);
    let bytes = Request::new("POST", platform::REPORT_PATH).body(&body).endless();
    Crowd { at: Listener::Control, connections: 16, bytes, reads: true, stay: STAY }
}

fn documents_of_empty_requests(_: &Process) -> Crowd {
    let body = "[[request]]\n".repeat(4 * MIB / 12 - 1);
    let bytes = Request::new("PUT", "/v1/services/quotes").body(body.as_bytes()).endless();
    Crowd { at: Listener::Control, connections: 4, bytes, reads: true, stay: STAY }
}

fn silent(at: Listener) -> impl FnOnce(&Process) -> Crowd {
    move |_| Crowd { at, connections: 2_000, bytes: Vec::new(), reads: true, stay: STAY }
}

/// Guards against bodies that are bounded one by one and not together.
#[test]
fn a_crowd_of_endless_bodies_at_a_cell() {
    check(Program::Cell, endless_bodies(MANY, 16 * KIB));
}

/// Guards against bodies that are bounded one by one and not together, with the platform's limits.
#[test]
fn a_crowd_of_endless_bodies_at_the_platforms_cell() {
    check(Program::Platform, endless_bodies(MANY, 16 * KIB));
}

/// Guards against bodies that are bounded one by one and not together, in the services' daemon.
#[test]
fn a_crowd_of_endless_bodies_at_the_services_daemon() {
    check(Program::Services, endless_bodies(MANY, 16 * KIB));
}

/// Guards against memory held for a length that a client has announced.
#[test]
fn a_crowd_of_bodies_one_byte_short_at_a_cell() {
    check(Program::Cell, bodies_one_byte_short);
}

/// Guards against memory held for a length that a client has announced, in the services' daemon.
#[test]
fn a_crowd_of_bodies_one_byte_short_at_the_services_daemon() {
    check(Program::Services, bodies_one_byte_short);
}

/// Guards against frames of one byte that each keep the buffer that they were read into.
#[test]
fn a_crowd_of_one_byte_chunks_at_a_cell() {
    check(Program::Cell, endless_bodies(65, 1));
}

/// Guards against frames of one byte that each keep their buffer, with the platform's limits.
#[test]
fn a_crowd_of_one_byte_chunks_at_the_platforms_cell() {
    check(Program::Platform, endless_bodies(65, 1));
}

/// Guards against frames of one byte that each keep their buffer, in the services' daemon.
#[test]
fn a_crowd_of_one_byte_chunks_at_the_services_daemon() {
    check(Program::Services, endless_bodies(65, 1));
}

/// Guards against operators' bodies that are bounded one by one and not together.
#[test]
fn a_crowd_of_endless_change_sets_at_a_cell() {
    check(Program::Cell, endless_operator_bodies(70, 64 * KIB));
}

/// Guards against operators' bodies that are not bounded together, with the platform's limits.
#[test]
fn a_crowd_of_endless_change_sets_at_the_platforms_cell() {
    check(Program::Platform, endless_operator_bodies(97, 64 * KIB));
}

/// Guards against operators' bodies that are not bounded together, in the services' daemon.
#[test]
fn a_crowd_of_endless_documents_at_the_services_daemon() {
    check(Program::Services, endless_operator_bodies(97, 64 * KIB));
}

/// Guards against large bodies in frames of one byte that each keep their buffer.
#[test]
fn a_crowd_of_change_sets_in_one_byte_chunks_at_a_cell() {
    check(Program::Cell, endless_operator_bodies(39, 1));
}

/// Guards against large bodies in frames of one byte, in the services' daemon.
#[test]
fn a_crowd_of_documents_in_one_byte_chunks_at_the_services_daemon() {
    check(Program::Services, endless_operator_bodies(39, 1));
}

/// Guards against heads that are bounded one by one and not together.
#[test]
fn a_crowd_of_endless_heads_at_a_cell() {
    check(Program::Cell, endless_heads);
}

/// Guards against heads that are not bounded together, in the services' daemon.
#[test]
fn a_crowd_of_endless_heads_at_the_services_daemon() {
    check(Program::Services, endless_heads);
}

/// Guards against responses that pile up for clients that do not read them.
#[test]
fn a_crowd_that_reads_no_response_at_a_cell() {
    check(Program::Cell, unread_responses);
}

/// Guards against responses that pile up for clients that do not read, in the services' daemon.
#[test]
fn a_crowd_that_reads_no_response_at_the_services_daemon() {
    check(Program::Services, unread_responses);
}

/// Guards against a copy of the change set for each client that does not read it.
#[test]
fn a_crowd_that_reads_no_change_set_at_a_cell() {
    check(Program::Cell, unread_change_sets);
}

/// Guards against a copy of the change set for each client, with the platform's limits.
#[test]
fn a_crowd_that_reads_no_change_set_at_the_platforms_cell() {
    check(Program::Platform, unread_change_sets);
}

/// Guards against messages between processes that are not bounded together.
#[test]
fn a_crowd_of_endless_frames_at_the_peer_port_of_a_cell() {
    check(Program::Cell, peer_frames);
}

/// Guards against messages between daemons that are not bounded together.
#[test]
fn a_crowd_of_endless_messages_at_the_peer_port_of_the_services_daemon() {
    check(Program::Services, peer_frames);
}

/// Guards against a job that is bounded as a body and not in its parsed form.
#[test]
fn a_crowd_of_submissions_of_empty_steps_at_a_cell() {
    check(Program::Cell, submissions_of_empty_steps);
}

/// Guards against a job that is bounded as a body and not in its parsed form, on the platform.
#[test]
fn a_crowd_of_submissions_of_empty_steps_at_the_platforms_cell() {
    check(Program::Platform, submissions_of_empty_steps);
}

/// Guards against a change set that is bounded as a body and not in its parsed form.
#[test]
fn change_sets_of_empty_queues_at_a_cell() {
    check(Program::Cell, large_change_sets_of_empty_queues);
}

/// Guards against a report that is bounded as a body and not in its parsed form.
#[test]
fn reports_of_empty_labels_at_the_platforms_cell() {
    check(Program::Platform, reports_of_empty_labels);
}

/// Guards against a document that is bounded as a body and not in its parsed form.
#[test]
fn documents_of_empty_requests_at_the_services_daemon() {
    check(Program::Services, documents_of_empty_requests);
}

/// Guards against descriptors used up by silent connections to the peer port.
#[test]
fn silent_connections_to_the_peer_port_of_a_cell() {
    check(Program::Cell, silent(Listener::Peer));
}

/// Guards against descriptors used up by silent connections to the readiness check.
#[test]
fn silent_connections_to_the_readiness_check_of_a_cell() {
    check(Program::Cell, silent(Listener::Ready));
}

/// Guards against descriptors used up by silent connections to the metrics.
#[test]
fn silent_connections_to_the_metrics_of_the_platforms_cell() {
    check(Program::Platform, silent(Listener::Metrics));
}

/// Guards against descriptors used up by silent connections of callers.
#[test]
fn silent_connections_of_callers_to_a_cell() {
    check(Program::Cell, silent(Listener::Callers));
}

/// Guards against descriptors used up by silent connections of operators.
#[test]
fn silent_connections_of_operators_to_the_services_daemon() {
    check(Program::Services, silent(Listener::Control));
}

/// Guards against descriptors used up by silent connections to the services' peer port.
#[test]
fn silent_connections_to_the_peer_port_of_the_services_daemon() {
    check(Program::Services, silent(Listener::Peer));
}
