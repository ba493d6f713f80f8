//! Converts the leader's state to the API types that operators read.

use yuccalink_protocol::api::{ServiceView, TaskView};
use yuccalink_state::StateMachine;
use yuccalink_state::document::Accepted;
use yuccalink_state::task::{Task, TaskOutcome, TaskPhase};

pub(crate) fn service(accepted: &Accepted, with_text: bool) -> ServiceView {
    ServiceView {
        service: accepted.document.service.clone(),
        team: accepted.document.team.clone(),
        version: accepted.document.version,
        revision: accepted.revision.0,
        author: accepted.author.clone(),
        text: with_text.then(|| accepted.text.clone()),
    }
}

pub(crate) fn phase(task: &Task) -> &'static str {
    match &task.phase {
        TaskPhase::Waiting => "waiting",
        TaskPhase::Placed(_) => "placed",
        TaskPhase::Running(_) => "running",
        TaskPhase::Stopping(..) => "stopping",
        TaskPhase::Ended(TaskOutcome::Finished) => "finished",
        TaskPhase::Ended(TaskOutcome::Failed(_)) => "failed",
        TaskPhase::Ended(TaskOutcome::Cancelled) => "cancelled",
    }
}

pub(crate) fn task(state: &StateMachine, task: &Task) -> TaskView {
    let reason = match &task.phase {
        TaskPhase::Ended(TaskOutcome::Failed(reason)) => Some(reason.clone()),
        _ => None,
    };
    let worker = task.worker().map(|key| state.worker_at(key).spec.name.clone());
    TaskView {
        task: task.id,
        service: state.service_at(task.service).accepted.document.service.clone(),
        kind: task.kind.clone(),
        phase: phase(task).into(),
        reason,
        worker,
        epoch: task.epoch,
        done_ms: task.checkpoint.map_or(0, |saved| saved.done_ms),
        evictions: task.evictions,
        failures: task.failures,
        urgent: task.urgent,
    }
}
