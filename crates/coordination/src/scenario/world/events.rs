//! Performs the events of a scenario.

use super::*;

impl World {
    pub(super) fn step(&mut self, step: &Step) -> Result<(), Box<str>> {
        match &step.event {
            Event::Submit { name, kind, count, urgent } => self.submit(name, kind, *count, *urgent),
            Event::Cancel(name) => {
                let ids = self.ids(name)?;
                self.state.apply(Command::Cancel(ids));
                Ok(())
            }
            Event::Evict(name) => {
                let ids = self.ids(name)?;
                self.state.apply(Command::Evict(ids));
                Ok(())
            }
            Event::Finish(name) => self.end(name, &TaskEvent::Finished),
            Event::Fail(name) => self.end(name, &TaskEvent::Failed { reason: "scenario".into() }),
            Event::Silence(name) => self.set_silent(name, true),
            Event::Hear(name) => self.set_silent(name, false),
            Event::Leave(name) => self.leave(name),
            Event::Restart(name) => self.restart(name),
            Event::Request { name, service, entry, deadline, worth } => {
                self.request(name, service, entry, *deadline, *worth)
            }
            Event::Answer(name) => self.answer(name, RunnerOutcome::Answered),
            Event::Break(name) => self.answer(name, RunnerOutcome::Failed),
            Event::Expect(expect) => self.expect(expect),
        }
    }

    pub(super) fn submit(
        &mut self,
        name: &str,
        kind: &Name,
        count: u32,
        urgent: bool,
    ) -> Result<(), Box<str>> {
        let submit = TaskSubmission {
            key: name.into(),
            service: self.service.clone(),
            kind: kind.clone(),
            count,
            urgent,
            payload: "".into(),
            at_ms: 0,
        };
        match self.state.apply(Command::Submit(submit)) {
            Outcome::Submitted { first, .. } => {
                for at in 0..count {
                    let label = if count == 1 { name.into() } else { format!("{name}.{}", at + 1) };
                    self.tasks.insert(label.into(), TaskId(first.0 + u64::from(at)));
                }
                Ok(())
            }
            other => Err(format!("the submission returned {other:?}").into()),
        }
    }

    /// The tasks named `name`, or `name.1` and so on.
    pub(super) fn ids(&self, name: &str) -> Result<Box<[TaskId]>, Box<str>> {
        let group = format!("{name}.");
        let found: Box<[TaskId]> = self
            .tasks
            .iter()
            .filter(|(label, _)| ***label == *name || label.starts_with(&group))
            .map(|(_, id)| *id)
            .collect();
        match found.is_empty() {
            true => Err(format!("no task is called {name}").into()),
            false => Ok(found),
        }
    }

    pub(super) fn end(&mut self, name: &str, event: &TaskEvent) -> Result<(), Box<str>> {
        for task in self.ids(name)? {
            let holder = self.workers.iter_mut().find(|w| w.running.contains_key(&task));
            let Some(worker) = holder else {
                return Err(format!("{name} is not running on any worker").into());
            };
            let Some(epoch) = worker.running.remove(&task) else { continue };
            match event {
                TaskEvent::Finished => self.task_checker.finished(task, epoch),
                _ => self.task_checker.stopped(task, epoch),
            }
            worker.reports.push(TaskReport { task, epoch, event: event.clone() });
        }
        Ok(())
    }

    pub(super) fn set_silent(&mut self, name: &Name, silent: bool) -> Result<(), Box<str>> {
        if let Some(worker) = self.workers.iter_mut().find(|w| w.spec.name == *name) {
            worker.silent = silent;
        } else if let Some(runner) = self.runners.iter_mut().find(|r| r.spec.name == *name) {
            runner.silent = silent;
        } else if let Some(entry) = self.fake_entries.iter_mut().find(|e| e.name == *name) {
            entry.silent = silent;
        } else {
            return Err(format!("nothing is called {name}").into());
        }
        Ok(())
    }

    pub(super) fn leave(&mut self, name: &Name) -> Result<(), Box<str>> {
        if let Some(worker) = self.workers.iter_mut().find(|w| w.spec.name == *name) {
            worker.leaving = true;
            worker.next_heartbeat = self.now;
        } else if let Some(runner) = self.runners.iter_mut().find(|r| r.spec.name == *name) {
            runner.leaving = true;
            runner.next_heartbeat = self.now;
        } else if let Some(entry) = self.fake_entries.iter_mut().find(|e| e.name == *name) {
            entry.draining = true;
            entry.next_sync = self.now;
        } else {
            return Err(format!("nothing is called {name}").into());
        }
        Ok(())
    }

    pub(super) fn restart(&mut self, name: &Name) -> Result<(), Box<str>> {
        let incarnation = self.next_incarnation();
        if let Some(worker) = self.workers.iter_mut().find(|w| w.spec.name == *name) {
            for (task, epoch) in std::mem::take(&mut worker.running) {
                self.task_checker.stopped(task, epoch);
            }
            worker.spec.incarnation = incarnation;
            worker.known = false;
            worker.seen.clear();
            worker.reports.clear();
            worker.next_heartbeat = self.now;
            Ok(())
        } else if let Some(runner) = self.runners.iter_mut().find(|r| r.spec.name == *name) {
            runner.spec.incarnation = incarnation;
            runner.known = false;
            runner.busy = 0;
            runner.next_heartbeat = self.now;
            Ok(())
        } else if let Some(entry) = self.fake_entries.iter_mut().find(|e| e.name == *name) {
            entry.incarnation = incarnation;
            entry.router = Router::new(entry.zone.clone());
            entry.version = 0;
            entry.lease = ConfigLease::default();
            entry.next_sync = self.now;
            Ok(())
        } else {
            Err(format!("nothing is called {name}").into())
        }
    }

    pub(super) fn request(
        &mut self,
        name: &str,
        service: &Name,
        entry: &Name,
        deadline: Duration,
        worth: u32,
    ) -> Result<(), Box<str>> {
        let at = self.fake_entries.iter().position(|fake| fake.name == *entry);
        let at = at.ok_or_else(|| format!("no entry is called {entry}"))?;
        self.request_checker.sent(name, 0, true);
        let deadline = self.now + deadline;
        let fake = &mut self.fake_entries[at];
        let state = if fake.lease.holds(self.now) {
            let arrival = RoutingRequest { service, deadline, worth, avoid: None };
            fake.router.admit(self.now, arrival)
        } else {
            Admission::Refuse(crate::router::Refusal::NoneHealthy, Duration::ZERO)
        };
        let mut request = Request { entry: at, deadline, state: RequestState::NotRun };
        match state {
            Admission::Refuse(..) => {
                self.request_checker.record_outcome(name, CallerOutcome::NotRun)
            }
            Admission::Wait(ticket) => request.state = RequestState::Waiting(ticket),
            Admission::Granted(_) => {}
        }
        self.requests.insert(name.into(), request);
        if let Admission::Granted(grant) = state {
            self.send(name, grant);
        }
        Ok(())
    }

    pub(super) fn answer(&mut self, name: &str, outcome: RunnerOutcome) -> Result<(), Box<str>> {
        let request =
            self.requests.get_mut(name).ok_or_else(|| format!("no request is called {name}"))?;
        let RequestState::At(grant, runner) = request.state.clone() else {
            return Err(format!("request {name} is not at a runner").into());
        };
        request.state = match outcome {
            RunnerOutcome::Answered => RequestState::Answered,
            RunnerOutcome::Failed | RunnerOutcome::Abandoned => RequestState::Broken,
        };
        if let Some(fake) = self.runners.iter_mut().find(|fake| fake.spec.name == runner) {
            fake.busy = fake.busy.saturating_sub(1);
            self.request_checker.done(runner.as_str());
        }
        let at = request.entry;
        let mut dequeued = Vec::new();
        self.fake_entries[at].router.release(self.now, grant, outcome, &mut dequeued);
        self.send_dequeued(at, dequeued);
        Ok(())
    }
}
