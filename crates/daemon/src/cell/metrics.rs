//! Counters and latency histograms of one process, as text.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;
use yuccalink_coordination::histogram::Histogram;
use yuccalink_coordination::jobs::{CancelCounters, Leader};
use yuccalink_coordination::store_health::StoreState;
use yuccalink_transport::account::{ClientAccount, ClientClass};

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
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
    /// Reports of runners that were not answered by the leader in time.
    pub(crate) reports_unanswered: u64,
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
        store: Option<(StoreState, BTreeMap<StoreState, u64>)>,
        account: &ClientAccount,
    ) -> String {
        let mut out = String::new();
        for (class, count) in self.statuses.iter().enumerate() {
            let class = class + 2;
            let _ = writeln!(out, "yuccalink_responses{{class=\"{class}xx\"}} {count}");
        }
        write_histogram("yuccalink_callers", &self.callers, &mut out);
        write_histogram("yuccalink_control", &self.control, &mut out);
        write_histogram("yuccalink_changes", &self.changes, &mut out);
        write_clients(account, &mut out);
        let _ = writeln!(out, "yuccalink_links_lost {}", self.connections_lost);
        let _ = writeln!(out, "yuccalink_leaders_lost {}", self.leaders_lost);
        let _ = writeln!(out, "yuccalink_reports_unanswered {}", self.reports_unanswered);
        if let Some(version) = change_version {
            let _ = writeln!(out, "yuccalink_change_version {version}");
        }
        if let Some((state, changes)) = store {
            write_store(state, &changes, &mut out);
        }
        let _ = writeln!(out, "yuccalink_leads {}", u8::from(leader.is_some()));
        if let Some(leader) = leader {
            let counts = leader.counts();
            let values = [
                ("jobs_accepted", counts.accepted),
                ("jobs_refused", counts.refused),
                (
                    "waves_open",
                    leader.state().waves().filter(|wave| !wave.is_done()).count() as u64,
                ),
                ("maintenance_orders_failed", counts.maintenance_orders_failed),
                ("jobs_refused_for_memory", counts.refused_for_memory),
                ("jobs_memory_bytes", leader.state().memory().total()),
                ("jobs_memory_limit_bytes", leader.memory_limit()),
                ("jobs_refused_by_forecast", counts.admission.refused),
                ("jobs_refused_again", counts.admission.repeated),
                ("jobs_refused_oversized", counts.oversized),
                ("jobs_returned", counts.admission.returned),
                ("admission_probes", counts.admission.probes),
                ("admission_probes_in_time", counts.admission.probes_in_time),
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
                ("tasks_given", counts.tasks_given),
                ("heartbeats", counts.heartbeats),
                ("heartbeats_brief", counts.brief_heartbeats),
                ("requests_expired", counts.expired),
                ("submissions_refused_stalled", counts.refused_stalled),
                ("report_interval_ms", millis(leader.report_interval())),
                ("runners_looked_at", counts.runners_scanned),
                ("steps_looked_at", counts.steps_examined),
                ("runners", leader.usable_runners_len() as u64),
                ("runners_leaving", leader.leaving_runners_len() as u64),
                ("runners_awaiting_expiry", leader.awaited_expiries_len() as u64),
                ("runners_hiding_ends", leader.runners_hiding_ends_len() as u64),
                ("expiries_awaited", counts.expiries_awaited),
                ("short_leases", counts.short_leases),
                ("orders_ignored", counts.orders_ignored),
                ("free_millicores", leader.free_millicores()),
                ("knowledge_bytes", counts.knowledge_bytes),
                ("margins_recalled", counts.margins_recalled),
                ("distrusted_recalled", counts.distrusted_recalled),
                ("accounts_recalled", counts.accounts_recalled),
                ("starts_deferred", counts.starts_deferred),
                ("cancelled_jobs_with_runs", leader.cancelled_with_runs_len() as u64),
                ("cancel_stops_ordered", counts.cancels.stops_ordered),
                ("cancel_stops_repeated", counts.cancels.stops_repeated),
                ("cancel_stops_late", counts.cancels.stops_late),
                ("cancel_stops_after_end", counts.cancels.stops_after_end),
                ("cancel_reports_without_lease", counts.cancels.reports_without_lease),
                ("steps_waiting", leader.waiting_len() as u64),
                ("reserve_percent", leader.reserve_percent()),
                ("serving_jobs_at_bound", leader.serving_harm().jobs_at_bound as u64),
                ("serving_over_bound_s", leader.serving_harm().over_bound_s),
            ];
            for (name, value) in values {
                let _ = writeln!(out, "yuccalink_{name} {value}");
            }
            write_cancels(&counts.cancels, &mut out);
            write_shares(leader, &mut out);
            let times = leader.cancellation_times();
            write_histogram("yuccalink_cancelled_runs_ended", times, &mut out);
        }
        out
    }
}

/// 1 for the current state of the store, and how often each state began.
fn write_store(state: StoreState, changes: &BTreeMap<StoreState, u64>, out: &mut String) {
    for each in StoreState::ALL {
        let is_current = u8::from(each == state);
        let began = changes.get(&each).copied().unwrap_or(0);
        let _ = writeln!(out, "yuccalink_store{{state=\"{each}\"}} {is_current}");
        let _ = writeln!(out, "yuccalink_store_changes{{to=\"{each}\"}} {began}");
    }
}

/// What clients hold and its bound, and how many were turned away, by class and reason.
fn write_clients(account: &ClientAccount, out: &mut String) {
    for class in ClientClass::ALL {
        let usage = account.usage(class);
        let values = [
            ("connections", usage.open as u64),
            ("clients_held_bytes", usage.held as u64),
            ("clients_bound_bytes", usage.bound as u64),
            ("connections_turned_away", usage.refused_connections),
            ("requests_without_memory", usage.refused_requests),
            ("clients_gave_way", usage.gave_way),
            ("clients_timed_out", usage.timed_out),
        ];
        for (name, value) in values {
            let _ = writeln!(out, "yuccalink_{name}{{clients=\"{}\"}} {value}", class.name());
        }
    }
}

fn write_histogram(name: &str, times: &Histogram, out: &mut String) {
    for (bound_ms, count) in times.cumulative() {
        let _ = writeln!(out, "{name}_ms_bucket{{le=\"{bound_ms}\"}} {count}");
    }
    let _ = writeln!(out, "{name}_ms_bucket{{le=\"+Inf\"}} {}", times.count());
    let _ = writeln!(out, "{name}_ms_sum {}", times.sum().as_millis());
    let _ = writeln!(out, "{name}_ms_count {}", times.count());
}

/// CPU in use and share of each queue whose pool is contended, in millicores.
fn write_shares(leader: &Leader, out: &mut String) {
    for (queue, share) in leader.queue_shares() {
        // Names are free text; the format needs these characters escaped.
        let queue = queue.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n");
        let _ = writeln!(out, "yuccalink_queue_used{{queue=\"{queue}\"}} {}", share.used);
        let _ = writeln!(out, "yuccalink_queue_share{{queue=\"{queue}\"}} {}", share.share);
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
