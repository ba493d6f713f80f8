//! Runners by their free CPU, so that a search for capacity does not scan the whole pool.

use crate::jobs::interference::ImageKey;
use crate::jobs::runner::Runner;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use yuccalink_state::jobs::IncarnationKey;

/// Where a runner stands in the index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Entry {
    millicores: u64,
    image: Option<ImageKey>,
}

/// Free CPU of the runners as of their last reports. What a search returns may have changed
/// since, so the caller checks it against the runner.
#[derive(Debug, Default)]
pub(in crate::jobs) struct FreeIndex {
    entries: HashMap<IncarnationKey, Entry>,
    by_cpu: BTreeSet<(u64, IncarnationKey)>,
    by_image: BTreeMap<ImageKey, BTreeSet<(u64, IncarnationKey)>>,
    scanned: Cell<u64>,
}

impl FreeIndex {
    /// Records the free CPU and the serving image of a runner.
    pub(in crate::jobs) fn update(&mut self, runner: &Runner) {
        let entry = Entry { millicores: runner.free.millicores, image: runner.serving_image };
        if self.entries.get(&runner.key) == Some(&entry) {
            return;
        }
        self.remove(runner.key);
        self.entries.insert(runner.key, entry);
        let row = (entry.millicores, runner.key);
        self.by_cpu.insert(row);
        if let Some(image) = entry.image {
            self.by_image.entry(image).or_default().insert(row);
        }
    }

    pub(in crate::jobs) fn remove(&mut self, key: IncarnationKey) {
        let Some(Entry { millicores, image }) = self.entries.remove(&key) else { return };
        let row = (millicores, key);
        self.by_cpu.remove(&row);
        let Some(image) = image else { return };
        if let Some(rows) = self.by_image.get_mut(&image) {
            rows.remove(&row);
            if rows.is_empty() {
                self.by_image.remove(&image);
            }
        }
    }

    /// Removes the runners that `keep` rejects. They return with their next report.
    pub(in crate::jobs) fn retain<F>(&mut self, keep: F)
    where
        F: Fn(IncarnationKey) -> bool,
    {
        let gone: Vec<IncarnationKey> =
            self.entries.keys().copied().filter(|key| !keep(*key)).collect();
        for key in gone {
            self.remove(key);
        }
    }

    /// Runners with at least this much free CPU, in millicores, the fullest first.
    pub(in crate::jobs) fn with_cpu(
        &self,
        millicores: u64,
    ) -> impl Iterator<Item = IncarnationKey> {
        self.rows(&self.by_cpu, millicores)
    }

    /// Runners that serve only this image and have at least this much free CPU, in millicores.
    pub(in crate::jobs) fn with_image(
        &self,
        image: ImageKey,
        millicores: u64,
    ) -> impl Iterator<Item = IncarnationKey> {
        let rows = self.by_image.get(&image).into_iter();
        rows.flat_map(move |rows| self.rows(rows, millicores))
    }

    /// Number of runners that searches have returned.
    pub(in crate::jobs) fn scanned(&self) -> u64 {
        self.scanned.get()
    }

    fn rows<'a>(
        &'a self,
        rows: &'a BTreeSet<(u64, IncarnationKey)>,
        millicores: u64,
    ) -> impl Iterator<Item = IncarnationKey> + 'a {
        let found = rows.range((millicores, IncarnationKey(0))..);
        found.map(|(_, key)| {
            self.scanned.set(self.scanned.get() + 1);
            *key
        })
    }
}
