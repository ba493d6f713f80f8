//! Queues of the change set in force, found without a scan: there may be thousands,
//! and every request and every waiting step asks for one.

use std::collections::HashMap;
use yuccalink_state::jobs::{ChangeSet, Queue};

/// An index of one change set.
#[derive(Debug, Default)]
pub(super) struct Routes {
    by_name: HashMap<Box<str>, Queue>,
    /// Names of a host's queues, the longest prefix first.
    by_host: HashMap<Box<str>, Vec<Route>>,
    in_force: bool,
}

#[derive(Debug)]
struct Route {
    prefix: Box<str>,
    name: Box<str>,
}

impl Routes {
    pub(super) fn new(change: Option<&ChangeSet>) -> Self {
        let mut routes = Self { in_force: change.is_some(), ..Self::default() };
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

    /// Whether there is a change set at all.
    pub(super) fn in_force(&self) -> bool {
        self.in_force
    }

    /// The queue called `name`.
    pub(super) fn queue(&self, name: &str) -> Option<&Queue> {
        self.by_name.get(name)
    }

    /// The queue for a path, the one with the longest matching prefix.
    pub(super) fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let routes = self.by_host.get(host)?;
        let found = routes.iter().find(|route| path.starts_with(&*route.prefix))?;
        self.queue(&found.name)
    }
}
