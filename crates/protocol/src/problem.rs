//! Errors as RFC 9457 problem documents, with a field that says whether the
//! request was executed.

use serde::{Deserialize, Serialize};

/// Media type of a problem document.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// Whether a request was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExecutionStatus {
    /// The request was certainly not executed, so it is safe to retry.
    #[serde(rename = "not run")]
    NotRun,
    /// The request was executed.
    #[serde(rename = "ran")]
    Ran,
    /// The request may have been executed.
    #[serde(rename = "unknown")]
    Unknown,
}

/// Response header that repeats the `ran` field of a problem document, for clients
/// that decide about a retry before they read the body.
pub const RAN_HEADER: &str = "yuccalink-ran";

impl ExecutionStatus {
    /// Value for the header [`RAN_HEADER`].
    pub fn header_value(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

/// Kinds of problem; each has a fixed `type` and title.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ProblemKind {
    /// The request is malformed.
    BadRequest,
    /// No such service, kind, task or path.
    NotFound,
    /// The path does not support the method.
    MethodNotAllowed,
    /// The body exceeds the size limit.
    TooLarge,
    /// A request with the same idempotency key is in progress.
    InProgress,
    /// The idempotency key was used for a different request.
    KeyReused,
    /// The document conflicts with the one in force.
    Conflict,
    /// The document or task is invalid.
    Unacceptable,
    /// There are too many requests at the same time.
    Overloaded,
    /// No runner can accept the request.
    NoRunner,
    /// This entry is currently not allowed to serve requests.
    NotServing,
    /// The runner failed before its response was complete.
    RunnerFailed,
    /// The deadline passed.
    DeadlinePassed,
    /// The request was executed before and its response was not stored.
    AnswerNotKept,
    /// It is unknown whether the request was executed.
    OutcomeUnknown,
}

impl ProblemKind {
    /// HTTP status code of the problem.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::NotFound => 404,
            Self::MethodNotAllowed => 405,
            Self::InProgress | Self::Conflict => 409,
            Self::TooLarge => 413,
            Self::KeyReused | Self::Unacceptable => 422,
            Self::Overloaded | Self::NoRunner | Self::NotServing => 503,
            Self::RunnerFailed => 502,
            Self::DeadlinePassed | Self::OutcomeUnknown => 504,
            Self::AnswerNotKept => 409,
        }
    }

    /// Last part of the problem's `type` URN.
    pub fn slug(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::NotFound => "not-found",
            Self::MethodNotAllowed => "method-not-allowed",
            Self::TooLarge => "too-large",
            Self::InProgress => "in-progress",
            Self::KeyReused => "key-reused",
            Self::Conflict => "conflict",
            Self::Unacceptable => "unacceptable",
            Self::Overloaded => "overloaded",
            Self::NoRunner => "no-runner",
            Self::NotServing => "not-serving",
            Self::RunnerFailed => "runner-failed",
            Self::DeadlinePassed => "deadline-passed",
            Self::AnswerNotKept => "answer-not-kept",
            Self::OutcomeUnknown => "outcome-unknown",
        }
    }

    fn title(self) -> &'static str {
        match self {
            Self::BadRequest => "The request is malformed",
            Self::NotFound => "There is no such thing here",
            Self::MethodNotAllowed => "The method is not allowed here",
            Self::TooLarge => "The request is too large",
            Self::InProgress => "The same request is under way",
            Self::KeyReused => "The key was used for another request",
            Self::Conflict => "Another document is in force",
            Self::Unacceptable => "The content cannot be accepted",
            Self::Overloaded => "Too much is asked at once",
            Self::NoRunner => "No runner can take the request",
            Self::NotServing => "This entry is not serving",
            Self::RunnerFailed => "The runner failed",
            Self::DeadlinePassed => "The deadline has passed",
            Self::AnswerNotKept => "It ran before; its answer is not kept",
            Self::OutcomeUnknown => "Nobody knows whether it ran",
        }
    }
}

/// A problem document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Problem {
    /// URN that identifies the kind.
    #[serde(rename = "type")]
    pub kind: Box<str>,
    /// Short description of the kind.
    pub title: Box<str>,
    /// HTTP status code.
    pub status: u16,
    /// Description of this occurrence and its remedy.
    pub detail: Box<str>,
    /// Whether the request was executed.
    pub ran: ExecutionStatus,
    /// Delay before a retry, in milliseconds; also sent as `Retry-After`.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
    /// Single errors, if there are several.
    #[serde(default)]
    pub faults: Vec<Box<str>>,
}

impl Problem {
    /// Creates a problem of `kind`.
    ///
    /// ```
    /// # use yuccalink_protocol::problem::*;
    /// let problem = Problem::new(ProblemKind::NoRunner, ExecutionStatus::NotRun, "no runner of `quotes` is known");
    /// assert_eq!(problem.status, 503);
    /// assert!(serde_json::to_string(&problem)?.contains("\"ran\":\"not run\""));
    /// # Ok::<(), serde_json::Error>(())
    /// ```
    pub fn new(kind: ProblemKind, ran: ExecutionStatus, detail: impl Into<Box<str>>) -> Self {
        Self {
            kind: format!("urn:yuccalink:problem:{}", kind.slug()).into(),
            title: kind.title().into(),
            status: kind.status(),
            detail: detail.into(),
            ran,
            retry_after_ms: None,
            faults: Vec::new(),
        }
    }

    /// Sets the delay before a retry, in milliseconds.
    #[must_use]
    pub fn retry_after(mut self, ms: u64) -> Self {
        self.retry_after_ms = Some(ms);
        self
    }

    /// Sets the list of single errors.
    #[must_use]
    pub fn with_faults(mut self, faults: Vec<Box<str>>) -> Self {
        self.faults = faults;
        self
    }
}
