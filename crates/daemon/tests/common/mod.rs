//! Starts the daemons, runners and workers of one test in this process, on loopback.
#![allow(dead_code, missing_docs)]

use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tempfile::TempDir;
use yuccalink_coordination::invariants::{RequestChecker, TaskChecker};
use yuccalink_daemon::{Config, ConfigBuilder, Daemon, Peer};
use yuccalink_fakes::runner::RunnerSettings;
pub use yuccalink_fakes::wait::name;
use yuccalink_fakes::worker::WorkerSettings;
use yuccalink_fakes::{Caller, CallerResponse, FakeRunner, FakeWorker};
use yuccalink_protocol::api::{Status, TargetView};
use yuccalink_state::Resources;

pub const DOCUMENT: &str = "service = 'q'\nteam = 't'\nversion = 1\n\
    [[request]]\nname = 'once'\nmethod = 'POST'\npath = '/once'\nidempotent = false\n\
    deadline = '8s'\nworth = 9\n\
    [[request]]\nname = 'any'\npath = '/**'\nidempotent = true\ndeadline = '8s'\n\
    [[task]]\nname = 'k'\nprocessors = 1\nmemory = '10MiB'\nduration = '1s'\n\
    [gives-up]\ncheckpoint = true\nevictions = 3\n";

pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Calls [`yuccalink_fakes::wait::wait_until`] with a limit of 60 seconds.
pub fn wait_until<T>(what: &str, condition: impl FnMut() -> Option<T>) -> T {
    yuccalink_fakes::wait::wait_until(Duration::from_secs(60), what, condition)
}

pub struct System {
    pub folder: TempDir,
    pub daemons: Vec<Option<Daemon>>,
    pub callers: Vec<SocketAddr>,
    pub controls: Vec<SocketAddr>,
    pub runners: Vec<FakeRunner>,
    pub workers: Vec<FakeWorker>,
    pub requests: Arc<Mutex<RequestChecker>>,
    pub tasks: Arc<Mutex<TaskChecker>>,
}

pub fn daemon_config(entry: &str) -> ConfigBuilder {
    let delay = Duration::from_millis(50);
    Config::builder()
        .name(entry)
        .callers(loopback())
        .control(loopback())
        .peer(loopback())
        .drain_delay(delay)
}

impl System {
    /// Starts one daemon that stores the state and `followers` daemons that do not.
    pub fn start(followers: usize) -> Self {
        Self::start_with(followers, |config| config)
    }

    pub fn start_with(followers: usize, set: fn(ConfigBuilder) -> ConfigBuilder) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        // The first daemon has no list of voters, so it stores the state alone.
        let config =
            set(daemon_config("e1").data(folder.path().join("e1"))).build().expect("settings");
        let first = Daemon::start(config).expect("a daemon");
        let voter = Peer { name: name("e1"), address: first.peer() };
        let mut daemons = vec![first];
        for at in 0..followers {
            let config = set(daemon_config(&format!("e{}", at + 2))).voters(vec![voter.clone()]);
            daemons.push(Daemon::start(config.build().expect("settings")).expect("a daemon"));
        }
        let system = Self {
            folder,
            callers: daemons.iter().map(Daemon::callers).collect(),
            controls: daemons.iter().map(Daemon::control).collect(),
            daemons: daemons.into_iter().map(Some).collect(),
            runners: Vec::new(),
            workers: Vec::new(),
            requests: Arc::default(),
            tasks: Arc::default(),
        };
        for at in 0..=followers {
            wait_until("a ready entry", || system.is_ready(at).then_some(()));
        }
        system
    }

    pub fn is_ready(&self, at: usize) -> bool {
        Caller::new(self.controls[at]).get("/readyz").is_ok_and(|reply| reply.status == 200)
    }

    pub fn control(&self, at: usize) -> Caller {
        Caller::new(self.controls[at])
    }

    pub fn caller(&self, at: usize) -> Caller {
        Caller::new(self.callers[at])
    }

    pub fn apply(&self, at: usize, text: &str) -> CallerResponse {
        self.control(at).put("/v1/services/q", text.as_bytes()).expect("a response")
    }

    /// Applies [`DOCUMENT`] and waits until it is in force everywhere.
    pub fn with_document(self) -> Self {
        let reply = self.apply(0, DOCUMENT);
        assert_eq!(reply.status, 200, "{}", reply.text());
        assert!(reply.text().contains("\"in-force-everywhere\":true"), "{}", reply.text());
        self
    }

    pub fn runner_settings(&self, at: usize, slots: u32) -> RunnerSettings {
        RunnerSettings {
            name: name(&format!("r{at}")),
            service: name("q"),
            zone: name("zone"),
            slots,
            connections: 64,
            listen: loopback(),
            entries: self.controls.clone(),
            threads: 1,
        }
    }

    /// Adds runners and waits until each has an owner and each entry routes requests.
    pub fn with_runners(mut self, count: usize, slots: u32) -> Self {
        for at in 0..count {
            let runner = FakeRunner::start(self.runner_settings(at, slots)).expect("a runner");
            runner.set_checker(self.requests.clone());
            self.runners.push(runner);
        }
        wait_until("an owner of each runner", || {
            let owned = self.targets().iter().filter(|target| target.owner.is_some()).count();
            (owned >= count).then_some(())
        });
        for at in 0..self.callers.len() {
            wait_until("a routed request", || {
                let reply = self.caller(at).get("/q/ready").ok()?;
                (reply.status == 200).then_some(())
            });
        }
        self
    }

    pub fn add_worker(&mut self, at: usize, cores: u64) {
        let worker = FakeWorker::start(WorkerSettings {
            name: name(&format!("w{at}")),
            capacity: Resources { millicores: cores * 1000, memory_mib: 100_000, accelerators: 0 },
            rack: name(&format!("rack{}", at % 2)),
            zone: name("zone"),
            listen: loopback(),
            entries: self.controls.clone(),
        })
        .expect("a worker");
        worker.set_checker(self.tasks.clone());
        self.workers.push(worker);
    }

    pub fn get<T>(&self, at: usize, path: &str) -> T
    where
        T: DeserializeOwned,
    {
        let reply = self.control(at).get(path).expect("a response");
        serde_json::from_slice(&reply.body).unwrap_or_else(|e| panic!("{e}: {}", reply.text()))
    }

    pub fn status(&self, at: usize) -> Status {
        self.get(at, "/v1/status")
    }

    pub fn targets(&self) -> Vec<TargetView> {
        self.get(0, "/v1/targets")
    }

    pub fn kill(&mut self, at: usize) {
        if let Some(daemon) = self.daemons[at].take() {
            daemon.kill();
        }
    }

    pub fn assert_no_violations(&self) {
        let requests = self.requests.lock().expect("a lock").violations();
        assert!(requests.is_empty(), "{requests:?}");
        let tasks = self.tasks.lock().expect("a lock");
        assert!(tasks.violations().is_empty(), "{:?}", tasks.violations());
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for runner in &mut self.runners {
            runner.stop();
        }
        for worker in &mut self.workers {
            worker.stop();
        }
        for at in 0..self.daemons.len() {
            self.kill(at);
        }
    }
}
