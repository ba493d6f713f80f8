//! Decisions of a cell about one job, from the logs of its processes: all log lines of the job
//! in order of time, with its last state and the number of runs by outcome.

use crate::command::{Output, read_text};
use crate::error::{Error, Result};
use crate::job_history::JobHistory;
use serde_json::json;
use std::collections::BTreeMap;
use std::fmt::Write;

/// A log line of the job, with the name of its file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LogLine {
    /// Timestamp in the form of the log, whose text order is the order of time.
    pub(crate) time: Box<str>,
    pub(crate) file: Box<str>,
    pub(crate) text: Box<str>,
}

/// Prints the log lines of a job in order of time, with a summary.
///
/// # Errors
/// [`Error::Read`] for a file that cannot be read, [`Error::Failed`] if no line names the job.
pub(crate) fn explain(id: &str, files: &[Box<str>]) -> Result<Output> {
    let mut lines = Vec::new();
    for file in files {
        let text = read_text(file)?;
        lines.extend(
            text.lines().filter(|line| line.contains(id)).map(|line| parse_line(file, line)),
        );
    }
    if lines.is_empty() {
        let what = format!("no log line names {id}; give the logs of all VMs of that time");
        return Err(Error::Failed(what.into()));
    }
    lines.sort();
    let outcomes = count_outcomes(&lines);
    let mut text = String::new();
    for line in &lines {
        let _ = writeln!(text, "{} {} {}", line.time, line.file, line.text);
    }
    let shown: Vec<String> = outcomes.iter().map(|(how, count)| format!("{how} {count}")).collect();
    let state = last_state(&lines);
    let _ = writeln!(text, "{id}: {state}; runs ended: {}", or_none(&shown.join(", ")));
    let history = JobHistory::read(id, &lines);
    history.render(id, &mut text);
    let rows: Vec<_> = lines
        .iter()
        .map(|line| json!({ "time": line.time, "file": line.file, "text": line.text }))
        .collect();
    let json = json!({
        "job": id,
        "lines": rows,
        "ends": outcomes,
        "state": state,
        "cancelled": history.cancelled,
        "cancelled_runs_ended_after": history.runs_ended_after,
        "cancellations_without_effect": history.ineffective,
        "not_ended": history.not_ended,
    });
    Ok(Output { text, json })
}

/// Parses a line of the form `[TIME LEVEL MODULE] TEXT`. A line of another form is kept as
/// text without a time.
fn parse_line(file: &str, line: &str) -> LogLine {
    let parts = line.split_once('[').and_then(|(_, rest)| rest.split_once("] "));
    let (head, text) = parts.unwrap_or(("", line));
    let time = head.split(' ').next().unwrap_or_default();
    LogLine { time: time.into(), file: file.into(), text: text.into() }
}

/// Counts the ended runs by outcome.
fn count_outcomes(lines: &[LogLine]) -> BTreeMap<Box<str>, u32> {
    let mut outcomes = BTreeMap::new();
    for line in lines.iter().filter(|line| line.text.starts_with("end ")) {
        if let Some((_, how)) = line.text.split_once("how=") {
            *outcomes.entry(Box::from(how)).or_default() += 1;
        }
    }
    outcomes
}

/// Returns the text of the last line that reports a state of the job.
fn last_state(lines: &[LogLine]) -> &str {
    const STATE_TEXTS: [&str; 4] = [" ended state=", " cancelled", " refused ", " accepted "];
    let found = lines
        .iter()
        .rev()
        .find(|line| STATE_TEXTS.iter().any(|state_text| line.text.contains(state_text)));
    found.map_or("no log line reports its state", |line| {
        let text: &str = &line.text;
        text.split_once(' ').map_or(text, |(_, rest)| rest)
    })
}

fn or_none(text: &str) -> &str {
    if text.is_empty() { "none" } else { text }
}
