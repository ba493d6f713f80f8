//! Requests of entries to the leader: documents, tasks, callers' requests and operators' views.

use super::*;

impl Leader {
    pub(crate) fn handle_request(&mut self, request: LeaderRequest, reply: Reply) {
        let response = match request {
            LeaderRequest::Apply { text, author } => return self.apply(text, author, reply),
            LeaderRequest::InForce { revision } => {
                return self.wait_in_force(Revision(revision), reply);
            }
            LeaderRequest::Submit { key, tasks } => return self.submit(key, tasks, reply),
            LeaderRequest::Cancel(tasks) => return self.cancel(tasks, reply),
            LeaderRequest::Announce { target, busy } => return self.announce(target, busy, reply),
            LeaderRequest::Heartbeat { name, heartbeat } => {
                return self.heartbeat(&name, heartbeat, reply);
            }
            LeaderRequest::Leave { name, incarnation } => {
                return self.leave(name, incarnation, reply);
            }
            LeaderRequest::RequestBegin(begin) => {
                return self.propose_request(
                    Command::RequestBegin(begin),
                    OnCommit::Request,
                    reply,
                );
            }
            LeaderRequest::RequestEnd(end) => {
                return self.propose_request(Command::RequestEnd(end), OnCommit::Done, reply);
            }
            LeaderRequest::Services => {
                let all = self.state.services();
                LeaderResponse::Services(all.map(|s| views::service(&s.accepted, false)).collect())
            }
            LeaderRequest::Service(name) => match self.state.service(&name) {
                Some(found) => LeaderResponse::Service(views::service(&found.accepted, true)),
                None => {
                    not_found(format!("no service is called {name}; `yuccalink list` shows all"))
                }
            },
            LeaderRequest::Task(id) => match self.state.task(id) {
                Some(task) => LeaderResponse::Task(views::task(&self.state, task)),
                None => not_found(format!("no task {id} is known; it may have ended long ago")),
            },
            LeaderRequest::Tasks(filter) => LeaderResponse::Tasks(self.tasks(&filter)),
            LeaderRequest::Zone(order) => return self.order_zone(order, reply),
            LeaderRequest::Zones => LeaderResponse::Zones(self.zones()),
            LeaderRequest::Targets => LeaderResponse::Targets(self.targets()),
            LeaderRequest::Decisions => LeaderResponse::Decisions(self.shared.decisions.list()),
            // The replica answers these itself, as it knows the log and the members.
            LeaderRequest::Status | LeaderRequest::Snapshot => {
                LeaderResponse::Problem(no_leader_problem())
            }
        };
        let _ = reply.send(response);
    }

    pub(super) fn apply(&mut self, text: Box<str>, author: Box<str>, reply: Reply) {
        let document = match document::read(&text) {
            Ok(document) => document,
            Err(faults) => {
                let _ = reply.send(LeaderResponse::Problem(unacceptable_document(&faults)));
                return;
            }
        };
        let service = document.service.clone();
        let version = document.version;
        let digest = document::digest(&text);
        let command = Command::Apply(Box::new(Apply { document, text, digest, author }));
        let on_commit = |reply| OnCommit::Applied { service, version, reply };
        self.propose_request(command, on_commit, reply);
    }

    pub(super) fn wait_in_force(&mut self, revision: Revision, reply: Reply) {
        let deadline = self.clock.now() + IN_FORCE_WAIT_MAX;
        self.in_force_waiters.push(InForceWaiter { revision, deadline, reply });
        self.answer_in_force_waiters();
    }

    /// Responds to the waiting requests whose revision is in force at all entries or whose
    /// deadline has passed.
    pub(super) fn answer_in_force_waiters(&mut self) {
        let now = self.clock.now();
        for waiter in std::mem::take(&mut self.in_force_waiters) {
            let rollout = self.entries.rollout_status(now, waiter.revision);
            let everywhere = rollout == RolloutStatus::Everywhere;
            if !everywhere && now < waiter.deadline {
                self.in_force_waiters.push(waiter);
                continue;
            }
            let waiting_for = match rollout {
                RolloutStatus::Not(names) => names.into(),
                RolloutStatus::Everywhere | RolloutStatus::LeaderTooNew => Vec::new(),
            };
            let _ = waiter.reply.send(LeaderResponse::InForce { everywhere, waiting_for });
        }
    }

    pub(super) fn submit(&mut self, key: Box<str>, tasks: SubmitTasks, reply: Reply) {
        if let Some((first, count)) = self.state.submission(&key) {
            // No refusal may call tasks "not run" that were accepted before.
            let known = Submitted { first, count, resent: true };
            let _ = reply.send(LeaderResponse::Submitted(known));
            return;
        }
        if let Some(problem) = self.submission_problem(&tasks) {
            let _ = reply.send(LeaderResponse::Problem(problem));
            return;
        }
        let command = Command::Submit(TaskSubmission {
            key,
            service: tasks.service,
            kind: tasks.kind,
            count: tasks.count,
            urgent: tasks.urgent,
            payload: tasks.payload,
            at_ms: unix_ms(),
        });
        self.propose_request(command, OnCommit::Submitted, reply);
    }

    /// Returns the reason to refuse a submission; `None` if it is acceptable.
    pub(super) fn submission_problem(&self, tasks: &SubmitTasks) -> Option<Problem> {
        let refuse = |message: String| {
            Some(Problem::new(ProblemKind::Unacceptable, ExecutionStatus::NotRun, message))
        };
        if tasks.count == 0 || tasks.count > SUBMIT_MAX {
            return refuse(format!(
                "count must be from 1 to {SUBMIT_MAX}; submit in several parts"
            ));
        }
        if tasks.payload.len() > PAYLOAD_MAX {
            return refuse(format!(
                "the payload is over {PAYLOAD_MAX} bytes; put it in your own storage and pass its name"
            ));
        }
        let service = self.state.service(&tasks.service)?;
        let need = service.accepted.document.task_kind(&tasks.kind)?.need;
        match placement::possible(&self.state, need) {
            Err(never @ placement::Impossible::TooLarge { .. }) => {
                refuse(format!("{}/{} can never run: {never}", tasks.service, tasks.kind))
            }
            Ok(()) | Err(placement::Impossible::NoWorker) => None,
        }
    }

    pub(super) fn cancel(&mut self, tasks: Vec<TaskId>, reply: Reply) {
        if tasks.len() > LIST_MAX {
            let message =
                format!("at most {LIST_MAX} tasks can be cancelled at once; send several parts");
            let problem = Problem::new(ProblemKind::Unacceptable, ExecutionStatus::NotRun, message);
            let _ = reply.send(LeaderResponse::Problem(problem));
            return;
        }
        let command = Command::Cancel(tasks.clone().into());
        self.propose_request(command, |reply| OnCommit::Cancelled { tasks, reply }, reply);
    }

    pub(super) fn announce(&mut self, target: TargetSpec, busy: u32, reply: Reply) {
        let now = self.clock.now();
        let new_incarnation = self
            .directory
            .get(target.name())
            .is_none_or(|known| known.spec.incarnation() != target.incarnation());
        if let Some(wait) = self.previous_incarnation(&target, now) {
            let _ =
                reply.send(LeaderResponse::Problem(previous_incarnation_problem(&target, wait)));
            return;
        }
        match self.directory.announce(now, target.clone(), busy) {
            HeartbeatOutcome::PreviousIncarnationAlive(wait) => {
                let _ = reply
                    .send(LeaderResponse::Problem(previous_incarnation_problem(&target, wait)));
                return;
            }
            HeartbeatOutcome::Noted | HeartbeatOutcome::AnnounceAgain => {}
        }
        if new_incarnation {
            log::info!("target {} announced itself at {}", target.name(), target.address());
        }
        self.directory.tick(now, &self.entries);
        self.signal_update();
        match target {
            TargetSpec::Runner(_) => {
                let _ = reply.send(LeaderResponse::Welcome(runner_heartbeat_reply()));
            }
            TargetSpec::Worker(spec) => {
                let known = self.state.worker(&spec.name);
                if known.is_some_and(|(_, w)| w.spec == spec && w.phase == WorkerPhase::Live) {
                    let _ = reply.send(LeaderResponse::Welcome(worker_heartbeat_reply(true)));
                    return;
                }
                if let Some(previous) = workers::previous_incarnation(&self.state, &spec) {
                    let name = spec.name.clone();
                    let removal = Command::WorkerGone(name.clone(), previous);
                    self.propose(removal, OnCommit::PreviousIncarnationGone(name));
                }
                let command = Command::WorkerUp(Box::new(spec));
                self.propose_request(command, OnCommit::Announced, reply);
            }
        }
    }

    /// Returns how long a worker must wait to register because its previous incarnation may
    /// still hold a lease from the previous leader. A new leader's directory is empty, but the
    /// replicated state still lists the worker.
    pub(super) fn previous_incarnation(
        &self,
        target: &TargetSpec,
        now: Moment,
    ) -> Option<Duration> {
        let TargetSpec::Worker(spec) = target else { return None };
        workers::previous_incarnation(&self.state, spec)?;
        if self.directory.get(&spec.name).is_some() {
            return None;
        }
        let wait = workers::wait_after_election(self.started, now);
        (wait > Duration::ZERO).then_some(wait)
    }

    pub(super) fn heartbeat(&mut self, name: &Name, heartbeat: Heartbeat, reply: Reply) {
        let now = self.clock.now();
        let usage = Usage {
            busy: heartbeat.busy,
            millicores: heartbeat.millicores,
            memory_mib: heartbeat.memory_mib,
        };
        let before = self.directory.version();
        if self.directory.heartbeat(now, name, heartbeat.incarnation, usage)
            != HeartbeatOutcome::Noted
        {
            let message =
                format!("this incarnation of target {name} is not known; announce it first");
            let problem = Problem::new(ProblemKind::NotFound, ExecutionStatus::NotRun, message);
            let _ = reply.send(LeaderResponse::Problem(problem));
            return;
        }
        if self.directory.version() != before {
            self.signal_update();
        }
        let is_worker = matches!(
            self.directory.get(name).map(|target| &target.spec),
            Some(TargetSpec::Worker(_))
        );
        if !is_worker {
            let _ = reply.send(LeaderResponse::Welcome(runner_heartbeat_reply()));
            return;
        }
        self.worker_heartbeat(name, heartbeat, reply);
    }

    pub(super) fn worker_heartbeat(&mut self, name: &Name, heartbeat: Heartbeat, reply: Reply) {
        let known = self.state.worker(name).filter(|(_, w)| {
            w.spec.incarnation == heartbeat.incarnation && w.phase != WorkerPhase::Gone
        });
        let Some((key, _)) = known else {
            // The leader gave up this worker: its tasks may already run on other workers.
            let message =
                format!("worker {name} was given up; stop its tasks and announce it again");
            let problem = Problem::new(ProblemKind::NotFound, ExecutionStatus::NotRun, message);
            let _ = reply.send(LeaderResponse::Problem(problem));
            return;
        };
        self.update_throttles(key, heartbeat.millicores);
        // The worker is asked for a list of its tasks as long as the digests differ.
        // A lasting difference then shows in two lists in a row.
        let send_held = heartbeat.held_digest != self.confirmed_digest(key);
        let differences = match &heartbeat.held {
            Some(held) => {
                let held: Vec<_> = held.iter().map(|held| (held.task, held.epoch)).collect();
                self.reconcile.compare(&self.state, key, &held)
            }
            None => Differences::default(),
        };
        if !differences.stray.is_empty() {
            log::warn!(
                "worker {name} reports {} tasks that are not assigned to it",
                differences.stray.len()
            );
            self.stray_tasks.insert(key, differences.stray);
            self.dirty_workers.insert(key);
            self.order_wake.notify_one();
        }
        let lost = differences.lost.into_iter();
        let lost = lost.map(|(task, epoch)| TaskReport { task, epoch, event: TaskEvent::Stopped });
        let reports: Box<[TaskReport]> = heartbeat.reports.into_iter().chain(lost).collect();
        if reports.is_empty() {
            let _ = reply.send(LeaderResponse::Welcome(worker_heartbeat_reply(send_held)));
            return;
        }
        let on_commit = |reply| OnCommit::Reported(Some((reply, send_held)));
        self.propose_request(Command::Report(reports), on_commit, reply);
    }

    /// Throttles batch tasks on a worker whose latency-critical tasks need more CPU.
    fn update_throttles(&mut self, worker: WorkerKey, used_millicores: u64) {
        let (throttles, change) = self.pressure.note(&self.state, worker, used_millicores);
        if let Some(change) = change {
            let name = &self.state.worker_at(worker).spec.name;
            let line = match change {
                PressureChange::Pressed => format!(
                    "worker {name} uses {used_millicores} millicores and runs latency-critical \
                     tasks: throttling {} batch tasks",
                    throttles.len()
                ),
                PressureChange::Eased => format!("worker {name} has capacity again: throttles end"),
            };
            self.shared.decisions.note(line);
        }
        if !throttles.is_empty() {
            self.throttles.insert(worker, throttles);
            self.dirty_workers.insert(worker);
            self.order_wake.notify_one();
        }
    }

    /// Computes the digest of the tasks that are assigned to a worker and that it confirmed.
    fn confirmed_digest(&self, worker: WorkerKey) -> u32 {
        let confirmed = self
            .state
            .tasks_on_worker(worker)
            .filter(|task| matches!(task.phase, TaskPhase::Running(_) | TaskPhase::Stopping(..)));
        held_digest(confirmed.map(|task| ReportedTask { task: task.id, epoch: task.epoch }))
    }

    /// Proposes the task reports in a worker's response to orders.
    pub(crate) fn record_reports(&mut self, reports: Vec<TaskReport>) {
        if !reports.is_empty() {
            self.propose(Command::Report(reports.into()), OnCommit::Reported(None));
        }
    }

    pub(super) fn leave(&mut self, name: Name, incarnation: Incarnation, reply: Reply) {
        let now = self.clock.now();
        if self.directory.leave(&name, incarnation) != HeartbeatOutcome::Noted {
            let message = format!("this incarnation of target {name} is not known");
            let _ = reply.send(not_found(message));
            return;
        }
        log::info!("target {name} is leaving");
        self.directory.tick(now, &self.entries);
        self.signal_update();
        if self.state.worker(&name).is_some() {
            let command = Command::WorkerLeaving(name, incarnation);
            self.propose_request(command, OnCommit::Done, reply);
        } else {
            let _ = reply.send(LeaderResponse::Done);
        }
    }

    pub(super) fn tasks(&self, filter: &TaskFilter) -> Vec<yuccalink_protocol::api::TaskView> {
        let limit = filter.limit.clamp(1, TASK_LIST_MAX) as usize;
        let of_service = |task: &&Task| {
            let service = &self.state.service_at(task.service).accepted.document.service;
            filter.service.as_ref().is_none_or(|want| want == service)
        };
        let in_phase =
            |task: &&Task| filter.phase.as_ref().is_none_or(|want| **want == *views::phase(task));
        let found = self.state.tasks_after(TaskId(filter.after)).filter(of_service);
        found.filter(in_phase).take(limit).map(|task| views::task(&self.state, task)).collect()
    }

    pub(crate) fn status(&self, log: LogView, members: Vec<MemberView>) -> Status {
        let now = self.clock.now();
        let entries = self.entries.iter().map(|(name, entry)| EntryView {
            entry: name.clone(),
            zone: entry.zone.clone(),
            caller_address: entry.caller_address.clone(),
            revision: entry.acked_revision.0,
            lease: entry.may_hold_lease(now),
            draining: entry.draining,
            silent_ms: millis(now.since(entry.last_heard)),
        });
        let on_workers = self.state.workers().map(|(_, worker)| u64::from(worker.tasks)).sum();
        Status {
            entry: self.shared.config.name.clone(),
            leader: Some(self.shared.config.name.clone()),
            term: self.term,
            revision: self.state.revision().0,
            entries: entries.collect(),
            waiting: self.state.waiting_len() as u64,
            on_workers,
            ledger_requests: self.state.ledger().len() as u64,
            ledger_bytes: self.state.ledger().bytes() as u64,
            log,
            members,
        }
    }

    pub(super) fn targets(&self) -> Vec<TargetView> {
        let now = self.clock.now();
        let view =
            |(name, target): (&Name, &yuccalink_coordination::directory::Target)| TargetView {
                target: target.spec.clone(),
                health: target.health.to_string().into(),
                busy: target.usage.busy,
                owner: target.owner.clone(),
                silent_ms: millis(now.since(target.last_heard)),
                committed: self.committed_on(name),
            };
        self.directory.iter().map(view).collect()
    }

    pub(super) fn committed_on(&self, name: &Name) -> Option<Resources> {
        self.state.worker(name).map(|(_, worker)| worker.committed)
    }
}
