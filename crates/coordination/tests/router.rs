//! Tests routing: slots, queues, ejection and changes of a runner's owner, also under random
//! histories.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;
use yuccalink_coordination::Moment;
use yuccalink_coordination::router::{
    Admission, Grant, Refusal, Router, RoutingRequest, RunnerOutcome, RunnerStatus, Ticket,
};
use yuccalink_state::id::{Incarnation, Name};
use yuccalink_state::target::RunnerSpec;

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn runner(at: u32, slots: u32) -> RunnerSpec {
    RunnerSpec {
        name: name(&format!("r{at}")),
        incarnation: Incarnation(1),
        service: name("q"),
        address: "127.0.0.1:1".into(),
        slots,
        connections: slots * 8,
        zone: name("z"),
    }
}

fn router(runners: u32, slots: u32) -> Router {
    let mut router = Router::new(name("z"));
    for at in 0..runners {
        router.add_runner(Moment::ZERO, runner(at, slots), 0, &mut Vec::new());
    }
    router
}

fn admit(router: &mut Router, now: Moment, worth: u32, wait: Duration) -> Admission {
    let service = name("q");
    router
        .admit(now, RoutingRequest { service: &service, deadline: now + wait, worth, avoid: None })
}

fn granted(router: &mut Router, now: Moment) -> Grant {
    match admit(router, now, 1, Duration::from_secs(9)) {
        Admission::Granted(grant) => grant,
        other => panic!("{other:?}"),
    }
}

/// All runners of a service fail every request because the service itself is faulty. Most of
/// them must stay in use: ejecting all would cause an outage that lasts longer than the fault.
#[test]
fn a_faulty_service_does_not_get_all_runners_ejected() {
    let mut router = router(9, 2);
    for at in 0..2000 {
        let now = Moment::from_millis(at);
        let grant = granted(&mut router, now);
        router.release(now, grant, RunnerOutcome::Failed, &mut Vec::new());
    }
    let ejected = router.runners().filter(|r| matches!(r.status, RunnerStatus::Ejected(_))).count();
    assert_eq!(ejected, 3);
}

/// An ejected runner gets one probe request at a time and is used again after the first success.
#[test]
fn an_ejected_runner_comes_back_by_one_probe() {
    let mut router = router(2, 4);
    let now = Moment::from_millis(10);
    let mut grants = Vec::new();
    while grants.len() < 8 {
        grants.push(granted(&mut router, now));
    }
    let failing_runner = grants[0].runner;
    for grant in grants.drain(..) {
        let outcome = if grant.runner == failing_runner {
            RunnerOutcome::Failed
        } else {
            RunnerOutcome::Answered
        };
        router.release(now, grant, outcome, &mut Vec::new());
    }
    for _ in 0..8 {
        let grant = granted(&mut router, now);
        let outcome = if grant.runner == failing_runner {
            RunnerOutcome::Failed
        } else {
            RunnerOutcome::Answered
        };
        router.release(now, grant, outcome, &mut Vec::new());
    }
    let RunnerStatus::Ejected(until) = router.runner(failing_runner).expect("a runner").status
    else {
        panic!("the runner is not ejected");
    };
    let grants: Vec<Grant> = (0..5).map(|_| granted(&mut router, until)).collect();
    let probes: Vec<&Grant> =
        grants.iter().filter(|grant| grant.runner == failing_runner).collect();
    assert_eq!(probes.len(), 1);
    router.release(until, *probes[0], RunnerOutcome::Answered, &mut Vec::new());
    assert_eq!(router.runner(failing_runner).expect("a runner").status, RunnerStatus::Open);
}

/// A request that can't be answered before its deadline is refused on arrival, not after
/// waiting.
#[test]
fn a_request_that_would_be_late_is_refused_at_once() {
    let mut router = router(1, 1);
    let mut now = Moment::ZERO;
    for _ in 0..40 {
        let grant = granted(&mut router, now);
        now = now + Duration::from_millis(100);
        router.release(now, grant, RunnerOutcome::Answered, &mut Vec::new());
    }
    granted(&mut router, now);
    let admission = admit(&mut router, now, 1, Duration::from_millis(50));
    assert!(matches!(admission, Admission::Refuse(Refusal::TooLate, _)), "{admission:?}");
    assert!(matches!(admit(&mut router, now, 1, Duration::from_secs(1)), Admission::Wait(_)));
}

#[test]
fn the_queue_is_bounded() {
    let mut router = router(1, 2);
    let outcomes: Vec<Admission> =
        (0..50).map(|_| admit(&mut router, Moment::ZERO, 1, Duration::from_secs(60))).collect();
    let waiting = outcomes.iter().filter(|a| matches!(a, Admission::Wait(_))).count();
    assert_eq!(waiting, 2 * yuccalink_coordination::router::QUEUE_PER_SLOT);
    assert!(matches!(outcomes[49], Admission::Refuse(Refusal::QueueFull, _)));
}

/// A runner comes from another entry that still has four requests on it. Only the other slots
/// are used until the runner itself reports that those requests have ended.
#[test]
fn slots_of_a_former_owner_stay_reserved() {
    let mut router = Router::new(name("z"));
    router.add_runner(Moment::ZERO, runner(0, 8), 4, &mut Vec::new());
    let now = Moment::from_millis(1);
    for _ in 0..4 {
        granted(&mut router, now);
    }
    assert!(matches!(admit(&mut router, now, 1, Duration::from_secs(9)), Admission::Wait(_)));
    let mut new_grants = Vec::new();
    router.update_busy_count(now, &name("r0"), 7, &mut new_grants);
    assert_eq!(new_grants.len(), 1);
}

#[derive(Clone, Debug)]
enum Action {
    Admit(u32, u64),
    Release(prop::sample::Index, u8),
    Abandon(prop::sample::Index),
    AddRunner(u32, u32),
    StopRouting(u32),
    AdvanceTime(u64),
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        6 => (0u32..4, 0u64..2000).prop_map(|(worth, wait)| Action::Admit(worth, wait)),
        5 => (any::<prop::sample::Index>(), 0u8..3).prop_map(|(at, how)| Action::Release(at, how)),
        1 => any::<prop::sample::Index>().prop_map(Action::Abandon),
        1 => (0u32..4, 1u32..4).prop_map(|(at, slots)| Action::AddRunner(at, slots)),
        1 => (0u32..4).prop_map(Action::StopRouting),
        2 => (0u64..500).prop_map(Action::AdvanceTime),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// In every history: no runner has more requests than slots, each waiting request is granted
    /// at most once, and no request goes to a closed runner.
    #[test]
    fn no_history_exceeds_the_slots_of_a_runner(actions in proptest::collection::vec(action(), 0..200)) {
        let mut router = Router::new(name("z"));
        let mut now = Moment::from_millis(1);
        let mut grants: Vec<Grant> = Vec::new();
        let mut waiting: Vec<Ticket> = Vec::new();
        for action in actions {
            let mut new_grants = Vec::new();
            let before = if matches!(action, Action::Release(..)) { grants.len().saturating_sub(1) } else { grants.len() };
            match action {
                Action::Admit(worth, wait) => {
                    match admit(&mut router, now, worth, Duration::from_millis(wait)) {
                        Admission::Granted(grant) => grants.push(grant),
                        Admission::Wait(ticket) => waiting.push(ticket),
                        Admission::Refuse(..) => {}
                    }
                }
                Action::Release(at, how) if !grants.is_empty() => {
                    let grant = grants.swap_remove(at.index(grants.len()));
                    let outcome = [RunnerOutcome::Answered, RunnerOutcome::Failed, RunnerOutcome::Abandoned][usize::from(how)];
                    router.release(now, grant, outcome, &mut new_grants);
                }
                Action::Abandon(at) if !waiting.is_empty() => {
                    let ticket = waiting.swap_remove(at.index(waiting.len()));
                    router.abandon(ticket);
                }
                Action::AddRunner(at, count) => {
                    let spec = runner(at, count);
                    router.add_runner(now, spec, 0, &mut new_grants);
                }
                Action::StopRouting(at) => router.stop_routing_to(&name(&format!("r{at}"))),
                Action::AdvanceTime(ms) => now = now + Duration::from_millis(ms),
                Action::Release(..) | Action::Abandon(_) => {}
            }
            for new_grant in new_grants {
                let position = waiting.iter().position(|ticket| *ticket == new_grant.ticket);
                prop_assert!(position.is_some(), "a grant to a request that does not wait");
                waiting.swap_remove(position.unwrap_or(0));
                let status = router.runner(new_grant.grant.runner).map(|r| r.status);
                prop_assert_ne!(status, Some(RunnerStatus::Closed));
                grants.push(new_grant.grant);
            }
            for grant in &grants[before.min(grants.len())..] {
                let runner = router.runner(grant.runner).expect("a runner");
                prop_assert!(runner.busy <= runner.spec.slots, "more requests than slots");
            }
            for runner in router.runners() {
                let granted_here = grants
                    .iter()
                    .filter(|grant| router.runner(grant.runner).is_some_and(|r| r.spec.name == runner.spec.name))
                    .count();
                prop_assert_eq!(granted_here, runner.busy as usize);
            }
        }
    }
}
