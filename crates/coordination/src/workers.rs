//! Decides when a worker, or a previous incarnation of it, certainly no longer runs anything.

use crate::directory::{Directory, WORKER_LEASE};
use crate::moment::{Moment, lease_span_with_drift};
use std::time::Duration;
use yuccalink_state::StateMachine;
use yuccalink_state::id::{Incarnation, Name};
use yuccalink_state::worker::{WorkerPhase, WorkerSpec};

/// Workers whose lease has certainly expired. For workers that have not reported to this
/// leader, time counts from `since`, when it was elected: the previous leader may have renewed
/// their leases until then.
///
/// ```
/// # use yuccalink_coordination::{Moment, directory::Directory, workers::expired_workers};
/// # use yuccalink_state::StateMachine;
/// assert!(expired_workers(&StateMachine::new(), &Directory::new(), Moment::ZERO, Moment::ZERO).is_empty());
/// ```
pub fn expired_workers(
    state: &StateMachine,
    directory: &Directory,
    since: Moment,
    now: Moment,
) -> Vec<(Name, Incarnation)> {
    let lease = lease_span_with_drift(WORKER_LEASE);
    let known = state.workers().filter(|(_, worker)| worker.phase != WorkerPhase::Gone);
    known
        .filter(|(_, worker)| {
            let target = directory.get(&worker.spec.name);
            let heard = target.map_or(since, |target| target.last_heard.max(since));
            now.since(heard) > lease
        })
        .map(|(_, worker)| (worker.spec.name.clone(), worker.spec.incarnation))
        .collect()
}

/// The previous incarnation of a worker that announces itself again. It must be marked as gone
/// before the new one is accepted: otherwise its tasks would stay committed to a process that
/// no longer exists, for as long as the new one reports.
///
/// ```
/// # use yuccalink_coordination::workers::previous_incarnation;
/// # use yuccalink_state::{StateMachine, Resources, id::*, worker::WorkerSpec};
/// # let name = Name::new("w1")?;
/// # let spec = WorkerSpec { name: name.clone(), incarnation: Incarnation(1),
/// #   address: "127.0.0.1:1".into(), capacity: Resources::ZERO, rack: name.clone(), zone: name };
/// assert_eq!(previous_incarnation(&StateMachine::new(), &spec), None);
/// # Ok::<(), BadName>(())
/// ```
pub fn previous_incarnation(state: &StateMachine, spec: &WorkerSpec) -> Option<Incarnation> {
    let (_, known) = state.worker(&spec.name)?;
    let former = known.spec.incarnation;
    (former != spec.incarnation && known.phase != WorkerPhase::Gone).then_some(former)
}

/// How long a new incarnation must wait at a leader that was elected at `since` and has heard
/// from neither incarnation: the previous one may hold a lease from the last leader.
///
/// ```
/// # use yuccalink_coordination::{Moment, workers::wait_after_election};
/// # use std::time::Duration;
/// let led_long_ago = wait_after_election(Moment::ZERO, Moment::from_millis(60_000));
/// assert_eq!(led_long_ago, Duration::ZERO);
/// ```
pub fn wait_after_election(since: Moment, now: Moment) -> Duration {
    lease_span_with_drift(WORKER_LEASE).saturating_sub(now.since(since))
}
