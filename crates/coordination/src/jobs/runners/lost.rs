//! Runs that end because their runner is lost: why they are given up, and the last evidence
//! of them.

use crate::jobs::leader::{Leader, Now};
use crate::jobs::runner::{Runner, lease_expiry_bound};
use std::time::Duration;
use yuccalink_state::jobs::{IncarnationKey, LossEvidence, RunEnd, RunOutcome, TaskKey};

/// A run that its runner listed for this long is not taken to be the cause of the loss.
pub(in crate::jobs) const PROVEN_AFTER: Duration = Duration::from_secs(10);

/// Why the runs of a runner incarnation count as ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub(in crate::jobs) enum LossReason {
    /// A later incarnation of the runner, or another runner at its address, has reported.
    #[display("next-life")]
    NextLife,
    /// The lease of the runner has certainly expired.
    #[display("lease")]
    Lease,
    /// The runner reported that it leaves.
    #[display("left")]
    Left,
}

impl Leader {
    /// Collects the ends of all runs that may be running on an ended incarnation.
    pub(in crate::jobs) fn collect_lost(
        &self,
        now: Now,
        incarnation: IncarnationKey,
        why: LossReason,
        ends: &mut Vec<RunEnd>,
    ) {
        let runner = self.runners.get(&incarnation);
        // Runs that end because their runner drains or goes down for maintenance have not crashed.
        let leaves = runner.is_some_and(Runner::is_leaving);
        // Nor does the silence of a runner say anything whose reports this leader rejected.
        let excused = leaves || (why == LossReason::Lease && self.rejected_reports(now));
        for (task, run) in self.state.assigned_runs(incarnation) {
            if self.ending.contains(&(task, run)) {
                continue;
            }
            let evidence = loss_evidence(runner, task, run);
            self.log_lost(now, incarnation, why, (task, run), evidence);
            let view = runner.and_then(|runner| runner.view(task, run));
            let checkpoint = view.map_or_else(Box::default, |view| view.checkpoint.clone());
            let outcome = match (why, evidence.filter(|_| !excused)) {
                (LossReason::Left, _) | (_, None) => RunOutcome::Gone,
                (LossReason::NextLife, Some(evidence)) => RunOutcome::Crashed(evidence),
                (LossReason::Lease, Some(evidence)) => RunOutcome::Silent(evidence),
            };
            ends.push(RunEnd { task, run, incarnation, outcome, checkpoint });
        }
    }

    /// Whether this leader may have rejected reports that would have renewed a lease which expires
    /// now.
    fn rejected_reports(&self, now: Now) -> bool {
        let lease = lease_expiry_bound(self.cfg.lease);
        self.last_expired.is_some_and(|at| now.at.since(at) <= lease)
    }

    fn log_lost(
        &self,
        now: Now,
        incarnation: IncarnationKey,
        why: LossReason,
        (task, run): (TaskKey, u32),
        evidence: Option<LossEvidence>,
    ) {
        let runner = self.runners.get(&incarnation);
        let name =
            self.state.incarnation(incarnation).map_or("unknown", |incarnation| &*incarnation.id);
        let evidence = evidence.map_or("never-ordered".into(), |evidence| evidence.to_string());
        let silent = runner.map(|runner| now.at.since(runner.last_report_at).as_millis());
        let silent = silent.map_or("unknown".into(), |ms| format!("{ms}ms"));
        log::info!(
            "lost task={task} run={run} runner={name} why={why} seen={evidence} silent={silent}"
        );
    }
}

/// Last evidence of a run; `None` if the run was certainly never ordered.
fn loss_evidence(runner: Option<&Runner>, task: TaskKey, run: u32) -> Option<LossEvidence> {
    let Some(runner) = runner else { return Some(LossEvidence::Nothing) };
    match runner.view(task, run) {
        Some(view) if view.age >= PROVEN_AFTER => Some(LossEvidence::Proven),
        Some(_) => Some(LossEvidence::Working),
        None => runner.ordered.contains_key(&(task, run)).then_some(LossEvidence::Ordered),
    }
}
