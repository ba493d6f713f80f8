//! What an emulated cell did, second by second.

use std::fmt;
use std::time::Duration;

/// Counts of one second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SecondReport {
    /// Reports that runners sent.
    pub reports: u64,
    /// Reports whose answer arrived in time.
    pub answered: u64,
    /// Answered reports that renewed a lease only.
    pub brief: u64,
    /// Requests that the leader answered without handling them.
    pub expired: u64,
    /// Reports that got an error or no answer in time.
    pub failed: u64,
    /// Tasks that runners started.
    pub starts: u64,
    /// Jobs whose cancellation was answered.
    pub cancelled: u64,
    /// Runs that ended because the lease of their runner expired.
    pub lapsed: u64,
    /// Entries that dropped the leader.
    pub leaders_dropped: u64,
    /// Connections that entries opened to look for the leader.
    pub connections: u64,
    /// Longest wait of a request at the leader.
    pub longest_wait: Duration,
    /// Part of the leader's share that was in use.
    pub busy: f64,
    /// Runners that other decisions than the reporting ones scanned.
    pub runners_scanned: u64,
}

/// Report on a whole run.
#[derive(Clone, Debug, Default)]
pub struct CellReport {
    /// One entry for each second.
    pub seconds: Vec<SecondReport>,
    /// Broken promises, in words.
    pub violations: Vec<String>,
}

impl CellReport {
    /// Sum of one count over a range of seconds.
    pub fn sum<F>(&self, seconds: std::ops::Range<usize>, count: F) -> u64
    where
        F: Fn(&SecondReport) -> u64,
    {
        self.seconds.iter().take(seconds.end).skip(seconds.start).map(count).sum()
    }
}

impl fmt::Display for CellReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            " s  reports answered brief expired failed starts lapsed dropped connects wait-ms busy scanned"
        )?;
        for (at, second) in self.seconds.iter().enumerate() {
            writeln!(
                f,
                "{at:2}  {:7} {:8} {:5} {:7} {:6} {:6} {:6} {:7} {:8} {:7} {:4.2} {:7}",
                second.reports,
                second.answered,
                second.brief,
                second.expired,
                second.failed,
                second.starts,
                second.lapsed,
                second.leaders_dropped,
                second.connections,
                second.longest_wait.as_millis(),
                second.busy,
                second.runners_scanned,
            )?;
        }
        for violation in &self.violations {
            writeln!(f, "violation: {violation}")?;
        }
        Ok(())
    }
}
