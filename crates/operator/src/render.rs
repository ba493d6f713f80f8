//! Text output of commands: tables and sentences.

use std::fmt::Write;
use yuccalink_protocol::api::{
    Applied, Cancelled, DecisionView, ServiceView, Status, Submitted, TargetView, TaskView,
};
use yuccalink_protocol::units::Span;
use yuccalink_state::Resources;
use yuccalink_state::command::CancelOutcome;
use yuccalink_state::evacuation::ZoneView;
use yuccalink_state::jobs::settings::QueueView;
use yuccalink_state::target::TargetSpec;
use yuccalink_state::task::TaskOutcome;

/// Formats rows as a table with a heading. Each column is as wide as its widest cell.
///
/// ```
/// # use yuccalink_operator::render::table;
/// let text = table(&["a", "bc"], &[vec!["1".into(), "2".into()]]);
/// assert_eq!(text, "a  bc\n1  2\n");
/// ```
pub fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let width = |at: usize| {
        let cells = rows.iter().filter_map(|row| row.get(at)).map(|cell| cell.chars().count());
        cells.chain([head[at].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..head.len()).map(width).collect();
    let mut out = String::new();
    let heading: Vec<String> = head.iter().map(ToString::to_string).collect();
    for row in std::iter::once(&heading).chain(rows) {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
        out.push_str(cells.join("  ").trim_end());
        out.push('\n');
    }
    out
}

/// Formats the result of applying a document.
pub fn applied(applied: &Applied) -> String {
    let Applied { service, version, revision, resent, in_force_everywhere, .. } = applied;
    let again = if *resent { " (accepted before)" } else { "" };
    let force = if *in_force_everywhere { ", in force everywhere" } else { "" };
    format!("{service} version {version} accepted as revision {revision}{again}{force}\n")
}

/// Formats the documents in force as a table.
pub fn services(services: &[ServiceView]) -> String {
    let rows: Vec<Vec<String>> = services
        .iter()
        .map(|s| {
            let version = s.version.to_string();
            let revision = s.revision.to_string();
            vec![s.service.to_string(), s.team.to_string(), version, revision, s.author.to_string()]
        })
        .collect();
    table(&["SERVICE", "TEAM", "VERSION", "REVISION", "AUTHOR"], &rows)
}

/// Formats the result of a submission: the task number or the range of task numbers.
pub fn submitted(submitted: &Submitted) -> String {
    let Submitted { first, count, resent } = submitted;
    let again = if *resent { " (submitted before)" } else { "" };
    match count {
        1 => format!("{first}{again}\n"),
        _ => format!("{first} to t{}{again}\n", first.0 + u64::from(*count) - 1),
    }
}

/// Formats the result of each cancellation, one task a line.
pub fn cancelled(all: &[Cancelled]) -> String {
    let mut out = String::new();
    for Cancelled { task, outcome } in all {
        let words = match outcome {
            CancelOutcome::NotRun => "cancelled; it had not run".into(),
            CancelOutcome::Stopping => "is being stopped".into(),
            CancelOutcome::Ended(TaskOutcome::Finished) => "had finished before".into(),
            CancelOutcome::Ended(TaskOutcome::Cancelled) => "cancelled".into(),
            CancelOutcome::Ended(TaskOutcome::Failed(why)) => format!("had failed before: {why}"),
            CancelOutcome::Unknown => "is not known".into(),
        };
        let _ = writeln!(out, "{task} {words}");
    }
    out
}

/// Formats tasks as a table.
pub fn tasks(tasks: &[TaskView]) -> String {
    let row = |task: &TaskView| {
        vec![
            task.task.to_string(),
            format!("{}/{}", task.service, task.kind),
            task.phase.to_string(),
            task.worker.as_ref().map_or_else(|| "-".into(), ToString::to_string),
            task.epoch.to_string(),
            Span(task.done_ms).to_string(),
            task.evictions.to_string(),
            task.failures.to_string(),
            task.reason.as_deref().unwrap_or("").to_string(),
        ]
    };
    let rows: Vec<Vec<String>> = tasks.iter().map(row).collect();
    let head = ["TASK", "KIND", "PHASE", "WORKER", "EPOCH", "SAVED", "EVICTED", "FAILED", "REASON"];
    table(&head, &rows)
}

/// Formats the state of the system, with a table of the entries.
pub fn status(status: &Status) -> String {
    let leader = status.leader.as_ref().map_or_else(|| "nobody".into(), ToString::to_string);
    let mut out = format!(
        "asked {}; {leader} leads; revision {}\n{} tasks wait, {} are on workers\n\
         {} requests remembered ({} bytes); log at record {}, {} syncs since start\n\n",
        status.entry,
        status.revision,
        status.waiting,
        status.on_workers,
        status.ledger_requests,
        status.ledger_bytes,
        status.log.last,
        status.log.syncs
    );
    let row = |entry: &yuccalink_protocol::api::EntryView| {
        let state = match (entry.lease, entry.draining) {
            (false, _) => "silent",
            (true, true) => "draining",
            (true, false) => "serving",
        };
        vec![
            entry.entry.to_string(),
            entry.zone.to_string(),
            entry.caller_address.to_string(),
            state.into(),
            entry.revision.to_string(),
            Span(entry.silent_ms).to_string(),
        ]
    };
    let rows: Vec<Vec<String>> = status.entries.iter().map(row).collect();
    out.push_str(&table(&["ENTRY", "ZONE", "CALLERS", "STATE", "REVISION", "HEARD"], &rows));
    out
}

fn render_resources(amount: Resources) -> String {
    let Resources { millicores, memory_mib, accelerators } = amount;
    format!(
        "{}.{:03} cores {memory_mib} MiB {accelerators} acc",
        millicores / 1000,
        millicores % 1000
    )
}

/// Formats targets as a table.
pub fn targets(targets: &[TargetView]) -> String {
    let row = |view: &TargetView| {
        let (kind, what) = match &view.target {
            TargetSpec::Runner(spec) => {
                ("runner", format!("{}, {} slots", spec.service, spec.slots))
            }
            TargetSpec::Worker(spec) => {
                let used = view.committed.map_or_else(|| "nothing".into(), render_resources);
                ("worker", format!("{used} of {}", render_resources(spec.capacity)))
            }
        };
        vec![
            view.target.name().to_string(),
            kind.into(),
            view.target.zone().to_string(),
            view.health.to_string(),
            view.busy.to_string(),
            view.owner.as_ref().map_or_else(|| "-".into(), ToString::to_string),
            Span(view.silent_ms).to_string(),
            what,
        ]
    };
    let rows: Vec<Vec<String>> = targets.iter().map(row).collect();
    table(&["TARGET", "IS", "ZONE", "HEALTH", "BUSY", "OWNER", "HEARD", "HAS"], &rows)
}

/// Formats decisions, one a line, in the given order.
pub fn decisions(decisions: &[DecisionView]) -> String {
    let mut out = String::new();
    for decision in decisions {
        let _ = writeln!(out, "{} {} {}", decision.at_ms, decision.entry, decision.line);
    }
    out
}

/// Renders availability zones.
pub(crate) fn zones(zones: &[ZoneView]) -> String {
    let state = |view: &ZoneView| match (view.evacuated, view.empty) {
        (true, true) => "evacuated, emptying",
        (true, false) => "evacuated",
        (false, _) => "in use",
    };
    let row = |view: &ZoneView| {
        vec![
            view.zone.to_string(),
            state(view).to_owned(),
            view.targets.to_string(),
            view.busy.to_string(),
        ]
    };
    let rows: Vec<Vec<String>> = zones.iter().map(row).collect();
    table(&["ZONE", "STATE", "TARGETS", "NOT ENDED"], &rows)
}

/// Renders the queues of a job cell.
pub(crate) fn queues(queues: &[QueueView]) -> String {
    let number = |value: Option<u32>| value.map_or("-".to_owned(), |value| value.to_string());
    let cores = |value: Option<u64>| {
        value.map_or("-".to_owned(), |millicores| format!("{:.1}", millicores as f64 / 1e3))
    };
    let row = |view: &QueueView| {
        vec![
            view.queue.to_string(),
            view.pool.to_string(),
            view.jobs.to_string(),
            view.tasks_waiting.to_string(),
            view.tasks_running.to_string(),
            cores(view.used_millicores),
            cores(view.share_millicores),
            number(view.weight),
            number(view.floor_percent.map(u32::from)),
            if view.hold { "yes" } else { "-" }.to_owned(),
            view.deferred.to_string(),
            view.short.to_string(),
        ]
    };
    let head = [
        "QUEUE",
        "POOL",
        "JOBS",
        "WAITING",
        "RUNNING",
        "CORES",
        "SHARE",
        "WEIGHT",
        "FLOOR %",
        "HOLD",
        "DEFERRED",
        "WHY IT WAITS",
    ];
    table(&head, &queues.iter().map(row).collect::<Vec<_>>())
}
