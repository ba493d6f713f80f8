//! Index of the queues of the change set in force. There may be thousands of queues, and
//! every request and every waiting step looks one up, so that a scan would be too slow.

use std::collections::HashMap;
use yuccalink_state::jobs::{CellState, Queue, QueueSettings};

/// Index of the queues of one change set.
#[derive(Debug, Default)]
pub(super) struct Routes {
    by_name: HashMap<Box<str>, Queue>,
    /// Queues of each host, sorted by the length of their prefix, the longest first.
    by_host: HashMap<Box<str>, Vec<Route>>,
    /// Settings by the name of their queue; queues without settings are not listed.
    settings: HashMap<Box<str>, QueueSettings>,
    has_change_set: bool,
}

#[derive(Debug)]
struct Route {
    prefix: Box<str>,
    name: Box<str>,
}

impl Routes {
    /// The queues of the change set in force.
    pub(super) fn new(state: &CellState) -> Self {
        let change = state.change_set();
        let settings = state.queue_settings().iter();
        let mut routes = Self {
            settings: settings.map(|(name, settings)| (name.clone(), *settings)).collect(),
            has_change_set: change.is_some(),
            ..Self::default()
        };
        for queue in change.into_iter().flat_map(|change| &change.queues) {
            let route = Route { prefix: queue.prefix.clone(), name: queue.name.clone() };
            routes.by_host.entry(queue.host.clone()).or_default().push(route);
            routes.by_name.insert(queue.name.clone(), queue.clone());
        }
        for host in routes.by_host.values_mut() {
            host.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        routes
    }

    /// Whether a change set is in force.
    pub(super) fn has_change_set(&self) -> bool {
        self.has_change_set
    }

    /// All queues, by name.
    pub(super) fn queues(&self) -> Vec<&Queue> {
        let mut queues: Vec<&Queue> = self.by_name.values().collect();
        queues.sort_by_key(|queue| &queue.name);
        queues
    }

    /// The queue called `name`.
    pub(super) fn queue(&self, name: &str) -> Option<&Queue> {
        self.by_name.get(name)
    }

    /// The settings of the queue called `name`.
    pub(super) fn settings(&self, name: &str) -> QueueSettings {
        self.settings.get(name).copied().unwrap_or_default()
    }

    /// Whether any queue has a weight.
    pub(super) fn have_weights(&self) -> bool {
        self.settings.values().any(|settings| settings.weight.is_some())
    }

    /// Whether the tasks of the queue called `name` are not started for the time being.
    pub(super) fn is_held(&self, name: &str) -> bool {
        self.settings(name).hold
    }

    /// The queue of a host with the longest prefix that matches the path.
    pub(super) fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let routes = self.by_host.get(host)?;
        let found = routes.iter().find(|route| path.starts_with(&*route.prefix))?;
        self.queue(&found.name)
    }
}
