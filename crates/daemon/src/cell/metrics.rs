//! Counters and latency histograms of one process, as text.

use crate::cell::connections::ConnectionLimiter;
use std::fmt::Write;
use std::time::Duration;
use yuccalink_coordination::jobs::{CancelCounters, Leader};

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Upper bounds of the histogram buckets.
const BOUNDS_MS: [u64; 10] = [1, 2, 5, 10, 20, 50, 100, 250, 1_000, 2_500];

/// Histogram of durations.
#[derive(Debug, Default)]
pub(crate) struct Histogram {
    buckets: [u64; BOUNDS_MS.len()],
    count: u64,
    sum: Duration,
}

impl Histogram {
    pub(crate) fn record(&mut self, took: Duration) {
        let ms = took.as_millis();
        if let Some(at) = BOUNDS_MS.iter().position(|bound| ms <= u128::from(*bound)) {
            self.buckets[at] += 1;
        }
        self.count += 1;
        self.sum += took;
    }

    fn write(&self, name: &str, out: &mut String) {
        let mut cumulative = 0;
        for (bound, count) in BOUNDS_MS.iter().zip(self.buckets) {
            cumulative += count;
            let _ = writeln!(out, "{name}_ms_bucket{{le=\"{bound}\"}} {cumulative}");
        }
        let _ = writeln!(out, "{name}_ms_bucket{{le=\"+Inf\"}} {}", self.count);
        let _ = writeln!(out, "{name}_ms_sum {}", self.sum.as_millis());
        let _ = writeln!(out, "{name}_ms_count {}", self.count);
    }
}

/// Counters and histograms of one process.
#[derive(Debug, Default)]
pub(crate) struct Metrics {
    /// Durations of callers' requests.
    pub(crate) callers: Histogram,
    /// Durations of requests of runners and operators.
    pub(crate) control: Histogram,
    /// Durations of requests that read or replace the change set.
    pub(crate) changes: Histogram,
    /// Connections to other processes that were lost or could not be established.
    pub(crate) connections_lost: u64,
    /// Times when the known leader was dropped because it did not respond or no longer led.
    pub(crate) leaders_lost: u64,
    /// Responses by status class: 2xx, 3xx, 4xx, 5xx.
    pub(crate) statuses: [u64; 4],
}

impl Metrics {
    pub(crate) fn record_status(&mut self, status: u16) {
        let class = usize::from(status / 100).saturating_sub(2);
        if let Some(count) = self.statuses.get_mut(class) {
            *count += 1;
        }
    }

    /// Renders all metrics as text.
    pub(crate) fn render(
        &self,
        leader: Option<&Leader>,
        change_version: Option<u64>,
        connections: &ConnectionLimiter,
    ) -> String {
        let mut out = String::new();
        for (class, count) in self.statuses.iter().enumerate() {
            let class = class + 2;
            let _ = writeln!(out, "yuccalink_responses{{class=\"{class}xx\"}} {count}");
        }
        self.callers.write("yuccalink_callers", &mut out);
        self.control.write("yuccalink_control", &mut out);
        self.changes.write("yuccalink_changes", &mut out);
        let _ = writeln!(out, "yuccalink_connections {}", connections.open());
        let _ = writeln!(out, "yuccalink_connections_turned_away {}", connections.rejected_total());
        let _ = writeln!(out, "yuccalink_links_lost {}", self.connections_lost);
        let _ = writeln!(out, "yuccalink_leaders_lost {}", self.leaders_lost);
        if let Some(version) = change_version {
            let _ = writeln!(out, "yuccalink_change_version {version}");
        }
        let _ = writeln!(out, "yuccalink_leads {}", u8::from(leader.is_some()));
        if let Some(leader) = leader {
            let counts = leader.counts();
            let values = [
                ("jobs_accepted", counts.accepted),
                ("jobs_refused", counts.refused),
                ("runs_started", counts.starts),
                ("runs_done", counts.done),
                ("runs_failed", counts.failed),
                ("runs_standing", counts.stalled_runs),
                ("runs_lost", counts.lost),
                ("runs_crashed", counts.crashed),
                ("runs_tried", counts.tried),
                ("jobs_given_up", counts.given_up),
                ("zones_evacuated", counts.zones_evacuated),
                ("zones_restored", counts.zones_restored),
                ("zones_under_evacuation", leader.state().evacuations().evacuated().count() as u64),
                ("heartbeats", counts.heartbeats),
                ("heartbeats_brief", counts.brief_heartbeats),
                ("requests_expired", counts.expired),
                ("report_interval_ms", millis(leader.report_interval())),
                ("runners_looked_at", counts.runners_scanned),
                ("runners", leader.runners_len() as u64),
                ("steps_waiting", leader.waiting_len() as u64),
            ];
            for (name, value) in values {
                let _ = writeln!(out, "yuccalink_{name} {value}");
            }
            write_cancels(&counts.cancels, &mut out);
        }
        out
    }
}

fn write_cancels(counts: &CancelCounters, out: &mut String) {
    let outcomes = [
        ("cancelled", counts.cancelled),
        ("ended-before", counts.ended_before),
        ("unknown", counts.unknown),
        ("under-way", counts.under_way),
        ("renamed", counts.renamed),
        ("no-queue", counts.without_queue),
    ];
    for (outcome, count) in outcomes {
        let _ = writeln!(out, "yuccalink_cancels{{outcome=\"{outcome}\"}} {count}");
    }
}
