//! The cell's own HTTP interface, in JSON.
//!
//! Callers: `POST`, `GET` and `DELETE /v1/HOST/QUEUE-PATH/JOB`, where the host is
//! taken from the `Host` header. Runners: `POST /v1/runners/ID/heartbeat` and
//! `/leave`. Operators: `PUT` and `GET /v1/change`.

use crate::cell::dialect::{Dialect, Incoming, Outgoing, Reply};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use yuccalink_coordination::jobs::ask::Place;
use yuccalink_coordination::jobs::outside::{Call, Told};
use yuccalink_coordination::jobs::{Answer, Ask, JobState, Report};
use yuccalink_state::jobs::{ChangeSet, JobId, JobSpec, Wave};

/// The interface that this project speaks by itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Native;

/// An error as callers see it.
#[derive(Debug, Serialize)]
struct Problem<'a> {
    error: &'a str,
}

/// How far a job is.
#[derive(Debug, Serialize)]
struct StateView {
    state: JobState,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<Box<str>>,
}

/// How many jobs have not begun.
#[derive(Debug, Serialize)]
struct PendingView {
    pending: u64,
}

/// How far a wave is.
#[derive(Debug, Serialize)]
struct WaveView {
    state: &'static str,
}

impl Dialect for Native {
    fn caller(&self, req: Incoming<'_>) -> Result<Ask, Reply> {
        caller_ask(req, parse::<JobSpec>)
    }

    fn control(&self, req: Incoming<'_>) -> Result<Ask, Reply> {
        let parts: Vec<&str> = req.path.trim_matches('/').split('/').collect();
        match (req.method, parts.as_slice()) {
            ("POST", ["v1", "runners", id, "heartbeat"]) => {
                let mut report: Report = parse(req.body)?;
                report.runner = (*id).into();
                Ok(Ask::Heartbeat(Box::new(report)))
            }
            ("POST", ["v1", "runners", id, "leave"]) => {
                Ok(Ask::Leave { runner: (*id).into(), born_ms: None })
            }
            ("PUT", ["v1", "change"]) => {
                let mut change: ChangeSet = parse(req.body)?;
                change.text = req.body.into();
                Ok(Ask::Change(Arc::new(change)))
            }
            ("GET", ["v1", "change"]) => Ok(Ask::Document),
            ("PUT", ["v1", "waves", id]) => {
                let mut wave: Wave = parse(req.body)?;
                wave.id = number(id)?;
                Ok(Ask::WaveStart(wave))
            }
            ("GET", ["v1", "waves", id]) => Ok(Ask::WaveState(number(id)?)),
            _ => Err(problem(404, "no such path; see docs/PROTOCOLS.md for those there are")),
        }
    }

    fn reply(&self, answer: Answer) -> Reply {
        match answer {
            Answer::Orders(orders) => json(200, &*orders),
            Answer::Invalid(what) => problem(400, &what),
            other => plain_reply(other),
        }
    }

    fn request(&self, _: &Call) -> Option<Outgoing> {
        // On its own the cell has no policy to ask and no machines to order.
        None
    }

    fn told(&self, _: &Call, _: u16, _: &[u8]) -> Told {
        Told::Refused
    }
}

/// Reads a number in a path.
///
/// # Errors
/// The response to what is none.
pub fn number(text: &str) -> Result<u64, Reply> {
    text.parse().map_err(|_| problem(400, &format!("{text:?} is no number; use digits")))
}

/// Reads a caller's request: the last part of its path is the job's number.
///
/// # Errors
/// The response to a body that `read` refuses.
pub fn caller_ask<F>(req: Incoming<'_>, read: F) -> Result<Ask, Reply>
where
    F: FnOnce(&[u8]) -> Result<JobSpec, Reply>,
{
    let host = req.host.split(':').next().unwrap_or_default();
    let cut = req.path.rfind('/').map_or(0, |at| at + 1);
    let (prefix, name) = req.path.split_at(cut);
    let at = Place { host: host.into(), path: prefix.into() };
    if name.is_empty() {
        return Ok(if req.method == "GET" { Ask::Pending { at } } else { Ask::Other { at } });
    }
    let Some(id) = JobId::parse(name) else { return Ok(Ask::Other { at }) };
    match req.method {
        "POST" => Ok(Ask::Submit { at, id, spec: Arc::new(read(req.body)?) }),
        "GET" => Ok(Ask::State { at, id }),
        "DELETE" => Ok(Ask::Cancel { at, id }),
        _ => Ok(Ask::Other { at }),
    }
}

/// The responses that any JSON interface gives in the same way.
pub fn plain_reply(answer: Answer) -> Reply {
    let later = |status, after_ms| Reply { retry_after_ms: Some(after_ms), ..Reply::empty(status) };
    match answer {
        Answer::Accepted | Answer::Ok => Reply::empty(200),
        Answer::State(state) => json(200, &StateView { state, reason: None }),
        Answer::Failed(reason) => {
            json(200, &StateView { state: JobState::Failed, reason: Some(reason) })
        }
        Answer::Pending(pending) => json(200, &PendingView { pending }),
        Answer::Gone => Reply::empty(410),
        Answer::NoQueue => Reply::empty(404),
        Answer::NotTaken => Reply::empty(405),
        Answer::Refused { after_ms } => later(429, after_ms),
        Answer::NotServing { after_ms } => later(503, after_ms),
        Answer::Unknown | Answer::NotLeader { .. } | Answer::AskLeader { .. } => Reply::empty(504),
        Answer::Document(text) => Reply::json(200, text.to_vec()),
        Answer::Invalid(what) => problem(400, &what),
        Answer::Orders(orders) => json(200, &*orders),
        Answer::Wave { done } => {
            json(200, &WaveView { state: if done { "completed" } else { "running" } })
        }
    }
}

/// Reads a JSON body.
///
/// # Errors
/// A response that says what is wrong and where.
pub fn parse<T>(body: &[u8]) -> Result<T, Reply>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(body).map_err(|error| problem(400, &error.to_string()))
}

/// An error with its remedy.
pub fn problem(status: u16, error: &str) -> Reply {
    json(status, &Problem { error })
}

/// A JSON response.
pub fn json<T>(status: u16, value: &T) -> Reply
where
    T: Serialize,
{
    match serde_json::to_vec(value) {
        Ok(body) => Reply::json(status, body),
        Err(error) => {
            log::error!("a response cannot be written: {error}");
            Reply::empty(500)
        }
    }
}
