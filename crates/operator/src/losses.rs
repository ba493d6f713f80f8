//! Lost worth of the jobs of a cell, computed from the logs of its processes: the causes that
//! delayed jobs which ended late or not at all, by cause, by queue and by time of acceptance.
//!
//! The worth of a job depends on its work relative to the mean work of its queue. The lost
//! worth of a late job is divided among the causes logged by the leader, in proportion to the
//! delay by each. The rest of its lateness is attributed to its own length.
//!
//! Long-running jobs have no end. For them the report sums up, by queue, how long tasks were
//! not at work and how long jobs had nothing at work.

use crate::command::{Output, read_text};
use crate::error::{Error, Result};
use crate::plot;
use crate::render;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Part of a job's worth that does not depend on its work.
const WORTH_FIXED: f64 = 0.3;
/// Part of a job's worth that grows with its work, at the mean work of its queue.
const WORTH_PER_WORK: f64 = 0.7;
/// Largest worth of one job.
const WORTH_MAX: f64 = 4.0;
/// Length of a window, in seconds. Jobs accepted in the same window are summed up together.
pub(crate) const WINDOW_S: u64 = 2;
/// Number of windows in the text output.
const WINDOWS_SHOWN: usize = 8;
/// Cause of the part of a job's lateness that no logged delay explains.
const OWN_LENGTH: &str = "own-length";
/// Cause for jobs with a task that failed too often.
const FAILED: &str = "failed";
/// Cause for jobs with a task that was given up because too many runners were lost with it.
const CRASHES: &str = "crashes";
/// Cause for jobs that should have ended but whose end is not in the logs.
const UNEXPLAINED: &str = "untold";

/// A job as found in the logs.
#[derive(Clone, Debug, Default)]
struct Job {
    queue: Box<str>,
    /// Time of acceptance, in seconds of the day.
    accepted_s: f64,
    /// Estimated work, in core-seconds.
    work: f64,
    long_running: bool,
    end: JobEnd,
}

/// How a job ended.
#[derive(Clone, Debug, Default)]
enum JobEnd {
    /// The logs contain neither an end nor an overdue line.
    #[default]
    Unknown,
    /// The job was cancelled.
    Cancelled,
    /// A task failed too often.
    Failed,
    /// A task was given up because too many runners were lost with it.
    GivenUp,
    /// The job ended or is overdue, `took` after its acceptance. `delays` holds the delay by
    /// each cause.
    EndedOrOverdue { took: Duration, objective: Duration, delays: Vec<(Box<str>, Duration)> },
}

/// Worth of a set of jobs and the part of it that was lost, by cause.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LossTotals {
    /// Number of jobs.
    pub jobs: u32,
    /// Worth of these jobs.
    pub worth: f64,
    /// Lost worth by cause.
    #[serde(rename = "missing")]
    pub lost_by_cause: BTreeMap<Box<str>, f64>,
}

/// What the long-running jobs of a queue lacked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LongRunningLack {
    /// Most jobs at once.
    pub jobs: u32,
    /// Most jobs that had nothing at work at once.
    pub nothing: u32,
    /// Seconds of all tasks not at work, together.
    pub missing_s: f64,
    /// Seconds of all jobs with nothing at work, together.
    pub nothing_s: f64,
}

/// Losses of all jobs, by queue and by window.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LossReport {
    /// Totals of all jobs.
    pub all: LossTotals,
    /// Totals by queue.
    pub queues: BTreeMap<Box<str>, LossTotals>,
    /// Totals by window. The key is the start of the window, in seconds after the first job in
    /// the logs.
    pub windows: BTreeMap<u64, LossTotals>,
    /// Jobs accepted shortly before the end of the logs, whose end the logs do not contain.
    #[serde(rename = "open")]
    pub unfinished: u32,
    /// What long-running jobs lacked, by queue.
    pub long_running: BTreeMap<Box<str>, LongRunningLack>,
}

impl LossTotals {
    /// Returns the lost worth of all causes together.
    pub fn lost(&self) -> f64 {
        self.lost_by_cause.values().sum()
    }

    fn add(&mut self, worth: f64, lost: &[(Box<str>, f64)]) {
        self.jobs += 1;
        self.worth += worth;
        for (cause, part) in lost {
            *self.lost_by_cause.entry(cause.clone()).or_default() += part;
        }
    }
}

/// Sums up the losses of the jobs in these log files and draws them if a path is given.
///
/// # Errors
/// [`Error::Read`] for a file that cannot be read; [`Error::Failed`] if the plot cannot be
/// drawn or the logs contain no job that ended.
pub(crate) fn run(files: &[Box<str>], plot_path: Option<&str>) -> Result<Output> {
    let mut text = String::new();
    for file in files {
        text.push_str(&read_text(file)?);
    }
    let losses = compute_losses(&text);
    if losses.all.jobs == 0 && losses.long_running.is_empty() {
        let what = "no log line reports the end of a job; give the logs of all VMs of that time";
        return Err(Error::Failed(what.into()));
    }
    if let Some(path) = plot_path {
        plot::losses(&losses, path)?;
    }
    let json =
        serde_json::to_value(&losses).map_err(|e| Error::InvalidResponse(e.to_string().into()))?;
    Ok(Output { text: render_report(&losses), json })
}

/// Sums up the losses of all jobs in the log lines.
///
/// ```
/// let lines = "[2030-01-01T00:00:01.0Z INFO a] job=05 accepted queue=q steps=[2x1000m/1M/500ms]\n\
///     [2030-01-01T00:00:05.0Z INFO a] job=05 ended state=Completed after=4s objective=2s \
///     held-up=former:0,room:1500 failures=0\n";
/// let losses = yuccalink_operator::losses::compute_losses(lines);
/// assert_eq!(losses.all.lost_by_cause["room"], 0.75);
/// assert_eq!(losses.all.lost_by_cause["own-length"], 0.25);
/// ```
pub fn compute_losses(text: &str) -> LossReport {
    let jobs = parse_jobs(text);
    let mean_work = mean_work_by_queue(&jobs);
    let last_s = jobs.values().map(|job| job.accepted_s).fold(0.0, f64::max);
    let first_s = jobs.values().map(|job| job.accepted_s).fold(f64::INFINITY, f64::min);
    let mut losses = LossReport { long_running: parse_lacks(text), ..LossReport::default() };
    for job in jobs.values().filter(|job| !job.long_running) {
        let mean = mean_work.get(&job.queue).copied().unwrap_or(job.work).max(1e-9);
        let worth = (WORTH_FIXED + WORTH_PER_WORK * job.work / mean).min(WORTH_MAX);
        let Some(lost) = lost_by_cause(job, worth, last_s) else {
            losses.unfinished += u32::from(!matches!(job.end, JobEnd::Cancelled));
            continue;
        };
        let window = (job.accepted_s - first_s).max(0.0) as u64 / WINDOW_S * WINDOW_S;
        losses.all.add(worth, &lost);
        losses.queues.entry(job.queue.clone()).or_default().add(worth, &lost);
        losses.windows.entry(window).or_default().add(worth, &lost);
    }
    losses
}

/// Returns the worth that a job lost to each cause. Returns `None` for a cancelled job and for
/// one that may still be running at the end of the logs.
fn lost_by_cause(job: &Job, worth: f64, last_s: f64) -> Option<Vec<(Box<str>, f64)>> {
    /// A job without an end in the logs counts as lost if it was accepted at least this many
    /// seconds before the last job.
    const END_EXPECTED_AFTER_S: f64 = 30.0;
    match &job.end {
        JobEnd::Cancelled => None,
        JobEnd::Unknown if job.accepted_s + END_EXPECTED_AFTER_S > last_s => None,
        JobEnd::Unknown => Some(vec![(UNEXPLAINED.into(), worth)]),
        JobEnd::Failed => Some(vec![(FAILED.into(), worth)]),
        JobEnd::GivenUp => Some(vec![(CRASHES.into(), worth)]),
        JobEnd::EndedOrOverdue { took, objective, .. } if took <= objective => Some(Vec::new()),
        JobEnd::EndedOrOverdue { took, objective, delays } => {
            let late = (*took - *objective).as_secs_f64();
            let held: f64 = delays.iter().map(|(_, span)| span.as_secs_f64()).sum();
            let own = (late - held).max(0.0);
            let whole = (own + held).max(1e-9);
            let part = |(cause, span): &(Box<str>, Duration)| {
                (cause.clone(), worth * span.as_secs_f64() / whole)
            };
            let mut parts: Vec<(Box<str>, f64)> = delays.iter().map(part).collect();
            parts.push((OWN_LENGTH.into(), worth * own / whole));
            Some(parts)
        }
    }
}

/// Returns the mean work of the jobs of each queue, without long-running jobs.
fn mean_work_by_queue(jobs: &BTreeMap<Box<str>, Job>) -> BTreeMap<Box<str>, f64> {
    let mut sums: BTreeMap<Box<str>, (f64, f64)> = BTreeMap::new();
    for job in jobs.values().filter(|job| !job.long_running) {
        let (work, count) = sums.entry(job.queue.clone()).or_default();
        *work += job.work;
        *count += 1.0;
    }
    sums.into_iter().map(|(queue, (work, count))| (queue, work / count)).collect()
}

fn parse_jobs(text: &str) -> BTreeMap<Box<str>, Job> {
    let mut jobs: BTreeMap<Box<str>, Job> = BTreeMap::new();
    for line in text.lines() {
        let Some((head, rest)) = line.split_once("job=") else { continue };
        let Some((id, event)) = rest.split_once(' ') else { continue };
        if let Some(event) = event.strip_prefix("accepted ") {
            let Some(job) = parse_accepted(head, event) else { continue };
            jobs.entry(id.into()).or_insert(job);
        } else if let Some(job) = jobs.get_mut(id)
            && let Some(end) = parse_end(event)
        {
            job.end = end;
        }
    }
    jobs
}

/// Sums up the lines in which leaders log what long-running jobs lacked.
fn parse_lacks(text: &str) -> BTreeMap<Box<str>, LongRunningLack> {
    let mut lacks: BTreeMap<Box<str>, LongRunningLack> = BTreeMap::new();
    let lines = text.lines().filter_map(|line| line.split_once("long-running lacks "));
    for part in lines.flat_map(|(_, parts)| parts.split_whitespace()) {
        let Some((queue, figures)) = part.rsplit_once('=') else { continue };
        let figure = |name: &str| -> u32 {
            let of = |figure: &str| figure.strip_prefix(name)?.strip_prefix(':')?.parse().ok();
            figures.split(',').find_map(of).unwrap_or(0)
        };
        let lack = lacks.entry(queue.into()).or_default();
        lack.jobs = lack.jobs.max(figure("jobs"));
        lack.nothing = lack.nothing.max(figure("nothing"));
        lack.missing_s += f64::from(figure("missing-ms")) / 1e3;
        lack.nothing_s += f64::from(figure("nothing-ms")) / 1e3;
    }
    lacks
}

fn parse_accepted(head: &str, event: &str) -> Option<Job> {
    let steps = event.split_once("steps=[")?.1.split(']').next()?;
    let mut work = 0.0;
    for step in steps.split_whitespace() {
        work += step_work(step)?;
    }
    Some(Job {
        queue: field(event, "queue")?.into(),
        accepted_s: second_of_day(head)?,
        work,
        long_running: steps.contains("+lasts"),
        end: JobEnd::Unknown,
    })
}

/// Returns the core-seconds of a step in the form of the log:
/// `COUNTxMILLICORESm/MEMORYM/ESTIMATEms+FLAGS`.
fn step_work(step: &str) -> Option<f64> {
    let (count, rest) = step.split_once('x')?;
    let (millicores, rest) = rest.split_once("m/")?;
    let estimate = rest.split_once("M/")?.1.split_once("ms")?.0;
    let number = |text: &str| text.parse::<f64>().ok();
    Some(number(count)? * number(millicores)? / 1e3 * number(estimate)? / 1e3)
}

fn parse_end(event: &str) -> Option<JobEnd> {
    if event.starts_with("cancelled") {
        return Some(JobEnd::Cancelled);
    }
    if event.starts_with("ended") && field(event, "state")? == "Failed" {
        let given_up = field(event, "why") == Some("crashes");
        return Some(if given_up { JobEnd::GivenUp } else { JobEnd::Failed });
    }
    if !event.starts_with("ended") && !event.starts_with("overdue") {
        return None;
    }
    let delays = field(event, "held-up").unwrap_or_default().split(',').filter_map(parse_delay);
    Some(JobEnd::EndedOrOverdue {
        took: parse_duration(field(event, "after")?)?,
        objective: parse_duration(field(event, "objective")?)?,
        delays: delays.filter(|(_, span)| !span.is_zero()).collect(),
    })
}

fn parse_delay(text: &str) -> Option<(Box<str>, Duration)> {
    let (cause, ms) = text.split_once(':')?;
    Some((cause.into(), Duration::from_millis(ms.parse().ok()?)))
}

/// Returns the value after `name=`.
pub(crate) fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let word = |word: &'a str| word.strip_prefix(name)?.strip_prefix('=');
    text.split_whitespace().find_map(word)
}

/// Parses a duration in the form of the log, such as `1.5s`, `20ms` or `3µs`.
fn parse_duration(text: &str) -> Option<Duration> {
    const UNITS: [(&str, f64); 4] = [("ms", 1e-3), ("µs", 1e-6), ("ns", 1e-9), ("s", 1.0)];
    let (number, unit) =
        UNITS.iter().find_map(|(unit, size)| Some((text.strip_suffix(unit)?, size)))?;
    Duration::try_from_secs_f64(number.parse::<f64>().ok()? * unit).ok()
}

/// Returns the second of the day from the timestamp `[DATETTIMEZ` of a line.
fn second_of_day(head: &str) -> Option<f64> {
    let time = head.split_once('[')?.1.split_once('T')?.1.split_once('Z')?.0;
    let mut seconds = 0.0;
    for part in time.split(':') {
        seconds = seconds * 60.0 + part.parse::<f64>().ok()?;
    }
    Some(seconds)
}

fn render_report(losses: &LossReport) -> String {
    let mut queues: Vec<(&str, &LossTotals)> =
        losses.queues.iter().map(|(name, sum)| (&**name, sum)).collect();
    queues.push(("all", &losses.all));
    let mut causes: Vec<&str> = losses.all.lost_by_cause.keys().map(|cause| &**cause).collect();
    causes.sort_by(|a, b| losses.all.lost_by_cause[*b].total_cmp(&losses.all.lost_by_cause[*a]));
    let mut head = vec!["QUEUE", "JOBS", "WORTH", "LOST"];
    head.extend(&causes);
    let rows: Vec<Vec<String>> =
        queues.iter().map(|(name, sum)| totals_row((*name).into(), sum, &causes)).collect();
    let mut text = render::table(&head, &rows);
    let mut worst: Vec<(&u64, &LossTotals)> =
        losses.windows.iter().filter(|(_, sum)| sum.lost() > 0.0).collect();
    worst.sort_by(|a, b| (b.1.lost() / b.1.worth).total_cmp(&(a.1.lost() / a.1.worth)));
    worst.truncate(WINDOWS_SHOWN);
    head[0] = "SECOND";
    let rows: Vec<Vec<String>> =
        worst.iter().map(|(second, sum)| totals_row(second.to_string(), sum, &causes)).collect();
    text.push('\n');
    text.push_str(&render::table(&head, &rows));
    if !losses.long_running.is_empty() {
        let rows = losses.long_running.iter().map(|(queue, lack)| {
            vec![
                queue.to_string(),
                lack.jobs.to_string(),
                format!("{:.1}", lack.missing_s),
                lack.nothing.to_string(),
                format!("{:.1}", lack.nothing_s),
            ]
        });
        let rows: Vec<Vec<String>> = rows.collect();
        let head = ["LONG-RUNNING", "JOBS", "TASK-S NOT AT WORK", "JOBS WITHOUT", "JOB-S WITHOUT"];
        text.push('\n');
        text.push_str(&render::table(&head, &rows));
    }
    if losses.unfinished > 0 {
        text.push_str(&format!("\n{} jobs had not ended and were not due\n", losses.unfinished));
    }
    text
}

fn totals_row(name: String, sum: &LossTotals, causes: &[&str]) -> Vec<String> {
    let percent = |part: f64| format!("{:.1}%", 100.0 * part / sum.worth.max(1e-9));
    let mut cells =
        vec![name, sum.jobs.to_string(), format!("{:.1}", sum.worth), percent(sum.lost())];
    let part = |cause: &&str| percent(sum.lost_by_cause.get(*cause).copied().unwrap_or(0.0));
    cells.extend(causes.iter().map(part));
    cells
}
