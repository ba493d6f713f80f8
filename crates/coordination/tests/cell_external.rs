//! Tests the leader with services outside the cell: a policy service that issues tickets, and a
//! service that maintains machines.

#[path = "cell/harness.rs"]
#[allow(dead_code)]
mod harness;
#[path = "cell/world.rs"]
#[allow(dead_code)]
mod world;

use harness::LeaderHarness;
use std::time::Duration;
use world::{CAPACITY, step};
use yuccalink_coordination::jobs::external::{ExternalCall, ExternalReply, Machine, MachineState};
use yuccalink_coordination::jobs::{CellRequest, CellResponse, HeardKnowledge};
use yuccalink_fakes::emulator::{EmulatedRunner, TaskBehavior};
use yuccalink_state::jobs::change::Advisor;
use yuccalink_state::jobs::{JobCommand, StepSpec, Wave};

const POLICY: Advisor = Advisor { decision_ms: 20, per_runner_ms: 1, validity_ms: 3_000 };

const TICK: Duration = Duration::from_millis(150);

fn advice(runner: &str) -> ExternalReply {
    ExternalReply::Advice { allowed: vec![(runner.into(), "ticket-7".into())], validity_ms: 3_000 }
}

/// The policy service allows one runner of three. A start on another runner or without the
/// ticket would be rejected and cost a round trip.
#[test]
fn a_step_starts_only_where_the_policy_allows_and_with_its_ticket() {
    let (spec, behavior) = step(2, 1, 5_000);
    let mut harness = LeaderHarness::new(3, Some(POLICY), behavior);
    harness.report_round();
    harness.submit(vec![spec]);
    assert!(harness.report_round().iter().all(|orders| orders.start.is_empty()), "no ticket yet");
    harness.advance(TICK);
    let (id, call) = harness.take_call().expect("a question");
    let ExternalCall::Advise { runners, .. } = call else { panic!("{call:?}") };
    assert_eq!(runners.len(), 3);
    harness.reply_to_call(id, advice("w1"));
    let orders = harness.report_round();
    assert_eq!(orders[1].start.len(), 2);
    assert!(orders[1].start.iter().all(|start| start.ticket.as_deref() == Some("ticket-7")));
    assert!(orders[0].start.is_empty() && orders[2].start.is_empty());
}

/// The policy service takes one call at a time and refuses calls when too many wait. A question
/// in flight is not repeated; a question without an answer is repeated after its timeout.
#[test]
fn one_policy_call_is_in_flight_at_a_time() {
    let (spec, behavior) = step(2, 1, 5_000);
    let mut harness = LeaderHarness::new(2, Some(POLICY), behavior);
    harness.report_round();
    harness.submit(vec![spec]);
    harness.advance(TICK);
    assert!(harness.take_call().is_some());
    harness.advance(TICK);
    assert!(harness.take_call().is_none(), "the call is in flight");
    harness.advance(Duration::from_secs(4));
    harness.report_round();
    harness.advance(TICK);
    assert!(harness.take_call().is_some(), "the first call got no reply");
}

/// A start is committed, its order is lost, and meanwhile the ticket expires. The same order
/// would be rejected, so the leader gives up the run and asks for a new ticket.
#[test]
fn an_order_with_an_expired_ticket_is_not_repeated() {
    let (spec, behavior) = step(1, 1, 5_000);
    let mut harness = LeaderHarness::new(1, Some(POLICY), behavior);
    harness.report_round();
    harness.submit(vec![spec]);
    harness.advance(TICK);
    let (id, _) = harness.take_call().expect("a question");
    harness.reply_to_call(id, advice("w0"));
    let report = Box::new(harness.runners[0].report(harness.now));
    let CellResponse::Orders(lost) = harness.request(CellRequest::Heartbeat(report)) else {
        panic!()
    };
    assert_eq!(lost.start.len(), 1);
    harness.advance(Duration::from_millis(2_500));
    assert!(harness.report_round()[0].start.is_empty());
    harness.advance(TICK);
    let (id, _) = harness.take_call().expect("another question");
    harness.reply_to_call(id, advice("w0"));
    assert_eq!(harness.report_round()[0].start[0].run, 2);
}

fn long_running_step(count: u32, disruptions_max: Option<u32>) -> (StepSpec, TaskBehavior) {
    let (spec, behavior) = step(count, 8, 0);
    let spec = StepSpec { long_running: true, disruptions_max, ..spec };
    (spec, TaskBehavior { long_running: true, ..behavior })
}

fn machines(harness: &LeaderHarness, away: &[usize]) -> ExternalReply {
    let machine = |at: usize| Machine {
        name: format!("m{at}").into(),
        state: if away.contains(&at) { MachineState::Away } else { MachineState::Up },
        runner: Some(harness.runners[at].id.clone()),
    };
    ExternalReply::Machines {
        machines: (0..harness.runners.len()).map(machine).collect(),
        next: None,
    }
}

fn wave(machines: &[&str], at_once: u32) -> Wave {
    let machines = machines.iter().map(|name| Box::from(*name)).collect();
    Wave { id: 1, machines, until_ms: 1_900_000_000_000, at_once }
}

/// Two machines of a wave each run one of two tasks of a step that allows one task to be
/// missing. Emptied at the same time, they would leave no task running, so the second machine
/// waits for the first.
#[test]
fn a_wave_keeps_the_disruption_limit_of_a_step() {
    let (spec, behavior) = long_running_step(2, Some(1));
    let spec = StepSpec { per_runner_max: 1, ..spec };
    let mut harness = LeaderHarness::new(2, None, behavior);
    harness.report_round();
    harness.submit(vec![spec]);
    for _ in 0..3 {
        harness.advance(TICK);
        harness.report_round();
    }
    assert_eq!(harness.request(CellRequest::WaveStart(wave(&["m0", "m1"], 2))), CellResponse::Ok);
    harness.advance(TICK);
    let (id, call) = harness.take_call().expect("a call that lists the machines");
    assert_eq!(call, ExternalCall::Machines { page: None });
    harness.reply_to_call(id, machines(&harness, &[]));
    harness.advance(TICK);
    let stops: usize = harness.report_round().iter().map(|orders| orders.stop.len()).sum();
    assert_eq!(stops, 1, "one task may be missing, not two");
}

/// A machine goes down only when it is empty, by an order with the leader's term. The wave is
/// done when the machine is up again with another runner. Starting the same wave again changes
/// nothing.
#[test]
fn a_wave_is_done_when_its_machines_are_up_again() {
    let mut harness = LeaderHarness::new(1, None, TaskBehavior::default());
    harness.report_round();
    assert_eq!(harness.request(CellRequest::WaveStart(wave(&["m0"], 1))), CellResponse::Ok);
    assert_eq!(harness.request(CellRequest::WaveStart(wave(&["m0"], 1))), CellResponse::Ok);
    harness.advance(TICK);
    let (id, _) = harness.take_call().expect("a call that lists the machines");
    harness.reply_to_call(id, machines(&harness, &[]));
    harness.advance(TICK);
    let (id, call) = harness.take_call().expect("an upkeep call");
    let ExternalCall::Upkeep { machine, wave, holder, token } = call else { panic!("{call:?}") };
    assert_eq!((&*machine, wave, &*holder, token), ("m0", 1, "e1", 3));
    harness.reply_to_call(id, ExternalReply::Later);
    harness.advance(Duration::from_secs(1));
    let calls = harness.leader.take_calls();
    let repeated = calls.into_iter().find(|(_, call)| matches!(call, ExternalCall::Upkeep { .. }));
    let (id, _) = repeated.expect("the upkeep call may not have taken effect, so it is repeated");
    harness.reply_to_call(id, ExternalReply::Done);
    assert_eq!(harness.request(CellRequest::WaveState(1)), CellResponse::Wave { done: false });
    harness.runners[0] = EmulatedRunner::new("w9", "r1", 6, CAPACITY, harness.now);
    for _ in 0..8 {
        harness.advance(Duration::from_millis(800));
        if let Some((id, ExternalCall::Machines { .. })) = harness.take_call() {
            harness.reply_to_call(id, machines(&harness, &[]));
        }
    }
    assert_eq!(harness.request(CellRequest::WaveState(1)), CellResponse::Wave { done: true });
    assert_eq!(harness.request(CellRequest::WaveState(2)), CellResponse::Gone);
}

/// A leader elected during a wave of machines m0 and m1, one at a time.
fn new_leader_during_a_wave(commands: Vec<JobCommand>) -> LeaderHarness {
    let mut all = vec![JobCommand::Wave(wave(&["m0", "m1"], 1))];
    all.extend(commands);
    let mut harness = LeaderHarness::with_commands(2, None, TaskBehavior::default(), all);
    harness.report_round();
    harness.advance(TICK);
    harness
}

/// Lets time pass and answers each listing of the machines with `reply`; returns the machines
/// that went down.
fn upkeeps<F>(harness: &mut LeaderHarness, reply: F) -> Vec<Box<str>>
where
    F: Fn(&LeaderHarness) -> ExternalReply,
{
    let mut begun = Vec::new();
    for _ in 0..20 {
        for (id, call) in harness.leader.take_calls() {
            match call {
                ExternalCall::Upkeep { machine, .. } => {
                    begun.push(machine);
                    harness.reply_to_call(id, ExternalReply::Done);
                }
                _ => harness.reply_to_call(id, reply(harness)),
            }
        }
        harness.advance(TICK);
    }
    begun
}

fn begun_on_m0() -> JobCommand {
    JobCommand::UpkeepBegun { wave: 1, machine: "m0".into(), runner: Some("w0".into()) }
}

/// Guards against two machines down at once after an election, because the list was not read yet.
#[test]
fn a_new_leader_ends_no_maintenance_before_it_has_read_all_machines() {
    let mut harness = new_leader_during_a_wave(vec![begun_on_m0()]);
    let refused = upkeeps(&mut harness, |_| ExternalReply::Later);
    assert_eq!(refused, Vec::<Box<str>>::new());
    assert_eq!(upkeeps(&mut harness, |harness| machines(harness, &[0])), Vec::<Box<str>>::new());
    assert_eq!(harness.request(CellRequest::WaveState(1)), CellResponse::Wave { done: false });
}

/// Guards against two machines down at once after an election between two pages of the list.
#[test]
fn a_machine_on_a_later_page_has_not_left() {
    let mut harness = new_leader_during_a_wave(vec![begun_on_m0()]);
    let (id, _) = harness.take_call().expect("a call that lists the machines");
    let ExternalReply::Machines { machines: mut all, .. } = machines(&harness, &[0]) else {
        panic!("no machines")
    };
    let (first, second) = (all.remove(0), all);
    let next = Some("p2".into());
    harness.reply_to_call(id, ExternalReply::Machines { machines: second, next });
    harness.advance(TICK);
    let (id, _) = harness.take_call().expect("a call for the next page");
    harness.reply_to_call(id, ExternalReply::Machines { machines: vec![first], next: None });
    assert_eq!(upkeeps(&mut harness, |harness| machines(harness, &[0])), Vec::<Box<str>>::new());
}

/// Guards against two machines down at once because the first order was not committed.
#[test]
fn a_machine_that_is_away_counts_though_its_order_was_not_committed() {
    let mut harness = new_leader_during_a_wave(Vec::new());
    assert_eq!(upkeeps(&mut harness, |harness| machines(harness, &[0])), Vec::<Box<str>>::new());
    assert_eq!(upkeeps(&mut harness, |harness| machines(harness, &[])).len(), 1);
}

/// A delayed report that arrives after newer ones does not list a run that began meanwhile. If
/// the leader acted on it, it would order that run again and renew a lease by a report that is
/// seconds old.
#[test]
fn a_late_report_gets_no_orders() {
    let (spec, behavior) = step(1, 1, 5_000);
    let mut harness = LeaderHarness::new(1, None, behavior);
    let late_report = harness.runners[0].report(harness.now);
    harness.report_round();
    harness.submit(vec![spec]);
    assert_eq!(harness.report_round()[0].start.len(), 1);
    harness.report_round();
    let CellResponse::Orders(orders) =
        harness.request(CellRequest::Heartbeat(Box::new(late_report)))
    else {
        panic!()
    };
    assert_eq!((orders.lease_ms, orders.start.len(), orders.stop.len()), (0, 0, 0));
}

/// A task fails on a runner that may be at fault. Retries on that runner would use up the
/// attempts of the job within a second, so the task waits for another runner.
#[test]
fn a_retry_goes_to_another_runner() {
    let (spec, behavior) = step(1, 1, 100);
    let mut harness = LeaderHarness::new(1, None, TaskBehavior { fails: true, ..behavior });
    harness.report_round();
    harness.submit(vec![spec]);
    assert_eq!(harness.report_round()[0].start.len(), 1);
    for _ in 0..4 {
        harness.advance(TICK);
        assert!(
            harness.report_round()[0].start.is_empty(),
            "started again on the runner where it failed"
        );
    }
    let other = EmulatedRunner::new("w1", "r1", 5, CAPACITY, harness.now);
    harness.runners.push(other);
    harness.report_round();
    assert_eq!(harness.report_round()[1].start.len() + harness.runners[1].running().count(), 1);
}

/// Guards against a machine that counts as maintained because an answer to an earlier leader of the
/// same process comes late.
#[test]
fn an_answer_to_a_call_of_an_earlier_leader_is_ignored() {
    let mut harness = LeaderHarness::new(1, None, TaskBehavior::default());
    let calls_of = |harness: &mut LeaderHarness| {
        harness.report_round();
        harness.request(CellRequest::WaveStart(wave(&["m0"], 1)));
        harness.advance(TICK);
        let calls = harness.leader.take_calls();
        let ids: Vec<_> = calls.into_iter().map(|(id, _)| id).collect();
        ids
    };
    let earlier = calls_of(&mut harness);
    harness.replace_leader(&HeardKnowledge::default());
    let later = calls_of(&mut harness);
    assert!(!earlier.is_empty() && !later.is_empty());
    assert!(earlier.iter().all(|id| !later.contains(id)), "{earlier:?} {later:?}");
}

/// Guards against two machines that are down at once because the first one's order is confirmed and
/// not committed yet.
#[test]
fn a_confirmed_order_counts_before_it_is_committed() {
    let mut harness = LeaderHarness::new(2, None, TaskBehavior::default());
    harness.report_round();
    harness.request(CellRequest::WaveStart(wave(&["m0", "m1"], 1)));
    let mut ordered = Vec::new();
    for _ in 0..60 {
        // Once an order is confirmed, no commit comes.
        match ordered.is_empty() {
            true => harness.advance(TICK),
            false => {
                harness.now = harness.now + TICK;
                harness.leader.tick(harness.leader_now());
            }
        }
        let now = harness.leader_now();
        for (id, call) in harness.leader.take_calls() {
            let reply = match call {
                ExternalCall::Upkeep { machine, .. } => {
                    ordered.push(machine);
                    ExternalReply::Done
                }
                _ => machines(&harness, &[]),
            };
            harness.leader.handle_external_reply(now, id, reply);
        }
    }
    assert_eq!(ordered, [Box::from("m0")]);
}
