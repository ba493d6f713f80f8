//! Tests the queue in front of the leader under more load than the leader can handle. The load:
//! reports at a multiple of what the leader handles, with cancellations and ends among them.

use std::time::Duration;
use yuccalink_coordination::Moment;
use yuccalink_coordination::intake::{
    CALLER_WAIT_MAX, Intake, Next, REPORT_WAIT_FULL, REPORT_WAIT_MAX, RequestClass, WAITING_MAX,
};

/// Time that the leader takes for one report.
const HANDLING: Duration = Duration::from_millis(1);
/// Time that the leader takes to renew a lease only.
const BRIEF_HANDLING: Duration = Duration::from_micros(250);
/// Time that the leader takes to reject a request.
const REJECTING: Duration = Duration::from_micros(50);
const SECOND: Duration = Duration::from_secs(1);

#[derive(Default)]
struct Served {
    handled: u32,
    brief: u32,
    expired: u32,
    longest_wait: Duration,
}

/// One leader that handles one request at a time, and reports that arrive at a constant rate.
#[derive(Default)]
struct Server {
    now: Moment,
    intake: Intake<u32>,
    last_arrival: Moment,
}

impl Server {
    fn run(&mut self, reports_per_s: u32, duration: Duration) -> Served {
        let gap = SECOND / reports_per_s;
        let until = self.now + duration;
        let mut served = Served::default();
        while self.now < until {
            while self.last_arrival + gap <= self.now {
                self.last_arrival = self.last_arrival + gap;
                self.intake.push(RequestClass::Report, 0, self.last_arrival);
            }
            let took = match self.intake.pop(self.now) {
                Some(Next::Handle(_, waited)) => {
                    served.handled += 1;
                    served.longest_wait = served.longest_wait.max(waited);
                    HANDLING
                }
                Some(Next::Brief(_, waited)) => {
                    served.brief += 1;
                    served.longest_wait = served.longest_wait.max(waited);
                    BRIEF_HANDLING
                }
                Some(Next::Expired(_)) => {
                    served.expired += 1;
                    REJECTING
                }
                None => HANDLING,
            };
            self.now = self.now + took;
        }
        served
    }
}

/// Guards against a leader that is always busy with requests whose senders have given up.
#[test]
fn an_overloaded_leader_answers_only_what_is_still_waited_for() {
    let mut server = Server::default();
    let overloaded = server.run(8_000, SECOND * 10);
    assert!(overloaded.longest_wait <= REPORT_WAIT_MAX, "{:?}", overloaded.longest_wait);
    let in_time = overloaded.handled + overloaded.brief;
    let capacity = (SECOND * 10).div_duration_f64(BRIEF_HANDLING) as u32;
    assert!(in_time > capacity / 2, "{in_time} answers in time of {capacity} possible");
}

/// Guards against leases that expire because a busy leader renews too few of them.
#[test]
fn a_leader_with_three_times_its_load_renews_every_lease() {
    let mut server = Server::default();
    let overloaded = server.run(3_000, SECOND * 10);
    assert_eq!(overloaded.expired, 0);
    assert!(overloaded.brief > 0);
}

/// Guards against an overload that outlives its cause.
#[test]
fn full_service_returns_within_a_second_after_an_overload() {
    let mut server = Server::default();
    server.run(12_000, SECOND * 10);
    server.run(500, SECOND);
    let calm = server.run(500, SECOND * 5);
    assert_eq!((calm.brief, calm.expired), (0, 0));
    assert!(calm.longest_wait <= HANDLING * 2, "{:?}", calm.longest_wait);
}

/// Guards against a cancellation that waits behind thousands of reports.
#[test]
fn control_requests_and_ends_come_before_reports() {
    let mut intake = Intake::default();
    let now = Moment::from_millis(1_000);
    for class in [
        RequestClass::Report,
        RequestClass::Caller,
        RequestClass::Ends,
        RequestClass::Control,
        RequestClass::Report,
    ] {
        intake.push(class, class, now);
    }
    let mut order = Vec::new();
    while let Some(Next::Handle(class, _)) = intake.pop(now) {
        order.push(class);
    }
    assert!(order.is_sorted(), "{order:?}");
    assert_eq!(order.len(), 5);
}

/// Guards against a submission that waits for its caller's deadline instead of being refused.
#[test]
fn a_request_that_waited_too_long_expires() {
    let mut intake = Intake::default();
    let now = Moment::from_millis(1_000);
    intake.push(RequestClass::Caller, 1, now);
    intake.push(RequestClass::Report, 2, now);
    assert_eq!(intake.pop(now + REPORT_WAIT_MAX), Some(Next::Handle(1, REPORT_WAIT_MAX)));
    let later = now + REPORT_WAIT_FULL + Duration::from_millis(1);
    assert!(matches!(intake.pop(later), Some(Next::Brief(2, _))));
    intake.push(RequestClass::Caller, 3, now);
    assert_eq!(intake.pop_expired(now + CALLER_WAIT_MAX), None);
    let later = now + CALLER_WAIT_MAX + Duration::from_millis(1);
    assert_eq!(intake.pop_expired(later), Some(3));
}

/// Guards against a queue that grows without bound while the leader stands still.
#[test]
fn a_full_queue_expires_its_oldest_requests() {
    let mut intake = Intake::default();
    let now = Moment::from_millis(1_000);
    for number in 0..=WAITING_MAX {
        intake.push(RequestClass::Control, number, now);
    }
    assert_eq!(intake.pop(now), Some(Next::Expired(0)));
    assert!(matches!(intake.pop(now), Some(Next::Handle(1, _))));
}
