//! Tests how a whole cell bears more load than its leader can handle. The load: the reports of a
//! full pool, long-running tasks that all start at once, and a steady stream of short tasks.

use std::time::Duration;
use yuccalink_coordination::Moment;
use yuccalink_fakes::cell::{
    CancelLoad, CellReport, CellSpec, Disturbance, EmulatedCell, Queueing,
};

const ENTRIES: usize = 60;
const RUNNERS: usize = 600;
const SECONDS: usize = 24;
/// Second from which all runners have registered and all long-running tasks are placed.
const SETTLED: usize = 14;

/// A tenth of a fleet, with a tenth of its leader's share.
fn spec() -> CellSpec {
    let sized = CellSpec::sized(ENTRIES, RUNNERS);
    CellSpec { leader_share: 0.048, ..sized }
}

fn run(spec: CellSpec) -> CellReport {
    EmulatedCell::new(spec).run(Duration::from_secs(SECONDS as u64))
}

fn dear_messages(factor: f64) -> CellSpec {
    let always = (Moment::ZERO, Duration::from_secs(100), Disturbance::DearMessages(factor));
    CellSpec { disturbances: vec![always], ..spec() }
}

fn assert_no_violations(report: &CellReport) {
    assert!(report.violations.is_empty(), "{report}");
}

/// Guards against a cell in which load makes time-outs, and time-outs make load, for ever.
#[test]
fn a_cell_whose_messages_cost_four_times_as_much_keeps_its_leases_and_its_leader() {
    let report = run(dear_messages(4.0));
    assert_no_violations(&report);
    assert_eq!(report.sum(0..SECONDS, |s| s.lapsed), 0, "{report}");
    assert_eq!(report.sum(0..SECONDS, |s| s.leaders_dropped), 0, "{report}");
    assert!(report.sum(SETTLED..SECONDS, |s| s.starts) > 0, "{report}");
}

/// Guards against messages that wait in the sockets, where no queue of the leader counts them.
#[test]
fn a_leader_that_reads_slowly_asks_for_fewer_reports() {
    let mut slow = spec();
    // Reading all reports alone takes 1.3 of the share.
    slow.costs.read = Duration::from_micros(105);
    let report = run(slow);
    assert_no_violations(&report);
    assert_eq!(report.sum(0..SECONDS, |s| s.lapsed), 0, "{report}");
    let sent = report.sum(SETTLED..SECONDS, |s| s.reports);
    let answered = report.sum(SETTLED..SECONDS, |s| s.answered);
    assert!(answered * 10 > sent * 9, "{report}");
}

/// Guards against an emulated cell that bears everything: in the order of arrival, it does not.
#[test]
fn a_leader_that_handles_late_requests_first_falls_and_stays_down() {
    let first_come = CellSpec { queueing: Queueing::FirstCome, ..dear_messages(4.0) };
    let report = run(first_come);
    let answered = report.sum(SETTLED..SECONDS, |s| s.answered);
    let sent = report.sum(SETTLED..SECONDS, |s| s.reports);
    assert!(answered < sent / 10, "{report}");
}

/// Guards against an overload that outlives its cause.
#[test]
fn full_service_returns_within_three_seconds_after_an_overload() {
    // A calm leader uses 0.55 of its share, so this is three times what it can handle.
    let overload = Disturbance::DearMessages(5.5);
    let (from, span) = (Moment::from_millis(8_000), Duration::from_secs(10));
    let report = run(CellSpec { disturbances: vec![(from, span, overload)], ..spec() });
    assert_no_violations(&report);
    let after = 18 + 3;
    assert_eq!(report.sum(after..SECONDS, |s| s.expired + s.brief + s.failed), 0, "{report}");
    assert!(report.sum(after..SECONDS, |s| s.starts) > 0, "{report}");
}

/// Guards against runners that lose their tasks because a fifth of the entries is cut off.
#[test]
fn runners_of_entries_that_are_cut_off_keep_their_runs() {
    let cut = Disturbance::EntriesCut(0.22);
    let (from, span) = (Moment::from_millis(15_000), Duration::from_millis(4_300));
    let report = run(CellSpec { disturbances: vec![(from, span, cut)], ..spec() });
    assert_no_violations(&report);
    // A runner that asks four cut entries in a row loses its lease: 0.22 to the power of four.
    let lapsed = report.sum(0..SECONDS, |s| s.lapsed);
    assert!(lapsed <= RUNNERS as u64 / 100, "{report}");
    let cut_entries = (ENTRIES as f64 * 0.22) as u64;
    let dropped = report.sum(0..SECONDS, |s| s.leaders_dropped);
    assert!(dropped <= cut_entries, "{dropped} of {cut_entries} cut entries dropped the leader");
    let connections = report.sum(15..SECONDS, |s| s.connections);
    // Three for each second of the cut that has begun.
    assert!(connections <= cut_entries * 3 * 5, "{connections} connections\n{report}");
}

/// Guards against a cell that behaves differently at twice its size.
#[test]
fn a_cell_of_twice_the_size_answers_every_report() {
    let sized = CellSpec::sized(ENTRIES * 2, RUNNERS * 2);
    let report = run(CellSpec { leader_share: 0.096, ..sized });
    assert_no_violations(&report);
    assert_eq!(report.sum(SETTLED..SECONDS, |s| s.failed + s.expired + s.lapsed), 0, "{report}");
}

/// Guards against an emulated cell whose seeds give another result each time.
#[test]
fn the_same_seed_gives_the_same_seconds() {
    let one = run(dear_messages(3.0));
    let other = run(dear_messages(3.0));
    assert_eq!(one.seconds, other.seconds);
}

/// Guards against a cancelled job that runs on, or starts after the answer, whoever is behind.
#[test]
fn cancelled_jobs_do_not_run_beside_an_overload_and_entries_that_are_cut_off() {
    let (from, span) = (Moment::from_millis(15_000), Duration::from_millis(4_300));
    let overload = (from, span, Disturbance::DearMessages(4.0));
    let cut = (from, span, Disturbance::EntriesCut(0.22));
    for (seed, disturbances) in [(1, vec![]), (2, vec![overload]), (3, vec![cut])] {
        let cancels = CancelLoad { share: 0.6 };
        let report = run(CellSpec { cancels, disturbances, seed, ..spec() });
        assert!(report.sum(0..SECONDS, |s| s.cancelled) > 0, "{report}");
        assert_no_violations(&report);
    }
}
