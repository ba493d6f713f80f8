//! Checks the expectations of a scenario.

use super::*;

impl World {
    pub(super) fn expect(&self, expect: &Expect) -> Result<(), Box<str>> {
        match expect {
            Expect::State(name, want) => expect_equal(&self.state_of(name)?, want, name),
            Expect::On(name, want) => {
                let found = self.location_of(name)?;
                expect_equal(
                    &found.map_or_else(|| "nowhere".into(), |at| at.to_string()),
                    want.as_str(),
                    name,
                )
            }
            Expect::Holds(name, want) => {
                expect_equal(&self.running_count_at(name)?, &want.to_string(), name.as_str())
            }
            Expect::Owner(name, want) => {
                let target = self.directory.get(name);
                let owner = target.and_then(|target| target.owner.clone());
                let found = owner.map_or_else(|| "nobody".into(), |owner| owner.to_string());
                expect_equal(&found, want.as_str(), name.as_str())
            }
        }
    }

    pub(super) fn state_of(&self, name: &str) -> Result<String, Box<str>> {
        if let Some(id) = self.tasks.get(name) {
            let phase = self.state.task(*id).map(|task| &task.phase);
            let found = match phase {
                None => "forgotten",
                Some(TaskPhase::Waiting) => "waiting",
                Some(TaskPhase::Placed(_)) => "placed",
                Some(TaskPhase::Running(_)) => "running",
                Some(TaskPhase::Stopping(..)) => "stopping",
                Some(TaskPhase::Ended(TaskOutcome::Finished)) => "finished",
                Some(TaskPhase::Ended(TaskOutcome::Failed(_))) => "failed",
                Some(TaskPhase::Ended(TaskOutcome::Cancelled)) => "cancelled",
            };
            return Ok(found.into());
        }
        let request = self.requests.get(name).ok_or_else(|| format!("nothing is called {name}"))?;
        let found = match request.state {
            RequestState::Waiting(_) => "queued",
            RequestState::At(..) => "sent",
            RequestState::Answered => "answered",
            RequestState::Broken => "broken",
            RequestState::NotRun => "not-run",
        };
        Ok(found.into())
    }

    pub(super) fn location_of(&self, name: &str) -> Result<Option<Name>, Box<str>> {
        if let Some(id) = self.tasks.get(name) {
            let key: Option<WorkerKey> = self.state.task(*id).and_then(|task| task.worker());
            return Ok(key.map(|key| self.state.worker_at(key).spec.name.clone()));
        }
        let request = self.requests.get(name).ok_or_else(|| format!("nothing is called {name}"))?;
        Ok(match &request.state {
            RequestState::At(_, runner) => Some(runner.clone()),
            _ => None,
        })
    }

    pub(super) fn running_count_at(&self, name: &Name) -> Result<String, Box<str>> {
        if let Some(worker) = self.workers.iter().find(|worker| worker.spec.name == *name) {
            return Ok(worker.running.len().to_string());
        }
        let runner = self.runners.iter().find(|runner| runner.spec.name == *name);
        let runner = runner.ok_or_else(|| format!("nothing is called {name}"))?;
        Ok(runner.busy.to_string())
    }

    pub(super) fn check(&self) -> Result<(), Box<str>> {
        let mut found = invariants::commitments(&self.state);
        found.extend(self.task_checker.violations().iter().cloned());
        found.extend(self.request_checker.violations());
        match found.first() {
            None => Ok(()),
            Some(violation) => Err(format!("invariant violated: {violation}").into()),
        }
    }
}
