//! The progress of a maintenance wave.

use super::command::Wave;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A maintenance wave and the progress of its machines.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveState {
    /// The wave as it was ordered.
    pub wave: Wave,
    /// Machines whose maintenance has begun, each with the runner that was on it.
    begun: BTreeMap<Box<str>, Option<Box<str>>>,
    /// Machines that are up again or were removed.
    done: BTreeSet<Box<str>>,
}

impl WaveState {
    /// A wave in which no machine has begun its maintenance.
    ///
    /// ```
    /// use yuccalink_state::jobs::{Wave, WaveState};
    /// let mut state = WaveState::new(Wave { machines: vec!["m".into()], ..Wave::default() });
    /// state.begin("m".into(), None);
    /// assert!(!state.is_done());
    /// state.finish("m".into());
    /// assert!(state.is_done());
    /// ```
    pub fn new(wave: Wave) -> Self {
        Self { wave, ..Self::default() }
    }

    /// Records that a machine's maintenance has begun.
    pub fn begin(&mut self, machine: Box<str>, runner: Option<Box<str>>) {
        self.begun.insert(machine, runner);
    }

    /// Records that a machine is up again or was removed.
    pub fn finish(&mut self, machine: Box<str>) {
        self.done.insert(machine);
    }

    /// Whether all machines are done.
    pub fn is_done(&self) -> bool {
        self.wave.machines.iter().all(|machine| self.done.contains(machine))
    }

    /// Whether a machine is up again or was removed.
    pub fn is_machine_done(&self, machine: &str) -> bool {
        self.done.contains(machine)
    }

    /// Machines whose maintenance has not begun.
    pub fn waiting(&self) -> impl Iterator<Item = &str> {
        let waits = |m: &&str| !self.begun.contains_key(*m) && !self.done.contains(*m);
        self.wave.machines.iter().map(|machine| &**machine).filter(waits)
    }

    /// Machines whose maintenance has begun and that are not up again.
    pub fn in_maintenance(&self) -> impl Iterator<Item = &str> {
        self.begun.keys().filter(|machine| !self.done.contains(*machine)).map(|m| &**m)
    }

    /// The runner that was on a machine before its maintenance.
    pub fn runner_before(&self, machine: &str) -> Option<&str> {
        self.begun.get(machine).and_then(|runner| runner.as_deref())
    }
}
