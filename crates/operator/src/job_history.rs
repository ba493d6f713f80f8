//! What the log lines of a job say of its cancellation and of the runs that have not ended.

use crate::losses::field;
use crate::why::LogLine;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Largest number of runs in the text output.
const RUNS_SHOWN: usize = 10;

/// Cancellation of a job, and its runs without an end.
#[derive(Debug, Default)]
pub(crate) struct JobHistory {
    /// Time of the line of the committed cancellation.
    pub(crate) cancelled: Option<Box<str>>,
    /// Time from then until the last run had ended, as the leader logged it.
    pub(crate) runs_ended_after: Option<Box<str>>,
    /// Cancellations that changed nothing.
    pub(crate) ineffective: Vec<IneffectiveCancellation>,
    /// Runs that were ordered to start and whose end no line reports.
    pub(crate) not_ended: Vec<OpenRun>,
}

/// A cancellation that changed nothing.
#[derive(Debug, Serialize)]
pub(crate) struct IneffectiveCancellation {
    time: Box<str>,
    found: Box<str>,
    response: Box<str>,
}

/// A run without an end.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct OpenRun {
    task: Box<str>,
    run: Box<str>,
    runner: Box<str>,
    started: Box<str>,
    stop_ordered: Option<Box<str>>,
}

impl JobHistory {
    /// Reads the lines, which are in order of time.
    pub(crate) fn read(id: &str, lines: &[LogLine]) -> Self {
        let mut history = Self::default();
        let mut open: BTreeMap<(&str, &str), OpenRun> = BTreeMap::new();
        for line in lines {
            let event = line.text.split(' ').next().unwrap_or_default();
            if event.strip_prefix("job=") == Some(id) {
                history.read_cancellation(line);
                continue;
            }
            let (Some(task), Some(run)) = (field(&line.text, "task"), field(&line.text, "run"))
            else {
                continue;
            };
            let key = (task, run);
            match event {
                "start" => {
                    open.entry(key).or_insert_with(|| OpenRun {
                        task: task.into(),
                        run: run.into(),
                        runner: field(&line.text, "runner").unwrap_or_default().into(),
                        started: line.time.clone(),
                        stop_ordered: None,
                    });
                }
                "stop" if field(&line.text, "why").is_some() => {
                    if let Some(run) = open.get_mut(&key) {
                        run.stop_ordered.get_or_insert_with(|| line.time.clone());
                    }
                }
                "end" => drop(open.remove(&key)),
                _ => {}
            }
        }
        history.not_ended = open.into_values().collect();
        history
    }

    fn read_cancellation(&mut self, line: &LogLine) {
        let text = |name| field(&line.text, name).unwrap_or_default().into();
        match line.text.split(' ').nth(1) {
            Some("cancelled") if field(&line.text, "after").is_some() => {
                self.runs_ended_after = Some(text("after"));
            }
            Some("cancelled") => {
                self.cancelled.get_or_insert_with(|| line.time.clone());
            }
            Some("cancel") => self.ineffective.push(IneffectiveCancellation {
                time: line.time.clone(),
                found: text("found"),
                response: text("response"),
            }),
            _ => {}
        }
    }

    /// Writes a line for the cancellation, for those without effect, and for each open run.
    pub(crate) fn render(&self, id: &str, text: &mut String) {
        if let Some(time) = &self.cancelled {
            let ended = self
                .runs_ended_after
                .as_deref()
                .map(|after| format!("; last run ended after {after}"));
            let _ = writeln!(text, "{id}: cancelled at {time}{}", ended.unwrap_or_default());
        }
        for IneffectiveCancellation { time, found, response } in &self.ineffective {
            let _ = writeln!(
                text,
                "{id}: cancellation without effect at {time}: found {found}, answered {response}"
            );
        }
        for open in self.not_ended.iter().take(RUNS_SHOWN) {
            let stop = open.stop_ordered.as_deref().unwrap_or("never");
            let _ = writeln!(
                text,
                "{id}: no end of {} run {} on {}: started {}, stop ordered {stop}",
                open.task, open.run, open.runner, open.started
            );
        }
        if let Some(more) = self.not_ended.len().checked_sub(RUNS_SHOWN).filter(|more| *more > 0) {
            let _ = writeln!(text, "{id}: no end of {more} further runs");
        }
    }
}
