//! Errors of commands and the exit code of each.

use yuccalink_protocol::fields::ValidationErrors;
use yuccalink_protocol::problem::{ExecutionStatus, Problem};

/// Result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a command failed.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// cannot read {path}: {source}
    Read {
        /// File name.
        path: Box<str>,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// {path} is invalid:\n{faults}
    Document {
        /// File name.
        path: Box<str>,
        /// All errors found in the document.
        faults: ValidationErrors,
    },
    /// no daemon answers at {server}: {why}; name another with --server
    Unreachable {
        /// Addresses that were tried.
        server: Box<str>,
        /// Error of the last attempt.
        why: Box<str>,
    },
    /// {0}
    Failed(Box<str>),
    /// {0}
    Refused(Refused),
    /// cannot read the response: {0}; use the yuccalink program of the daemon's release
    InvalidResponse(Box<str>),
    /// {service} version {version} is accepted and stored, but not yet in force on: {waiting}; see `yuccalink status` for progress
    NotInForce {
        /// Name of the service.
        service: Box<str>,
        /// Accepted version.
        version: u64,
        /// Entries that may still serve an older version.
        waiting: Box<str>,
    },
    /// the file differs from the document in force
    DocumentsDiffer,
    /// {0}; see `yuccalink --help`
    Usage(Box<str>),
    /// {0}
    State(yuccalink_state::Error),
    /// cannot write {path}: {source}
    Write {
        /// File name.
        path: Box<str>,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// cannot write the output: {0}
    Output(std::io::Error),
}

/// A problem document returned by a daemon, as an error.
#[derive(Debug)]
pub struct Refused(pub Problem);

impl std::fmt::Display for Refused {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Problem { title, detail, faults, ran, .. } = &self.0;
        write!(f, "{title}: {detail}")?;
        if *ran == ExecutionStatus::Unknown {
            f.write_str(" (the request may have been executed)")?;
        }
        for fault in faults {
            write!(f, "\n  {fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {}

impl Error {
    /// Returns the exit code of the program, as listed in its help.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => 2,
            Self::Document { .. } => 3,
            Self::Refused(Refused(problem)) if problem.status == 409 => 4,
            Self::Refused(Refused(problem)) if !problem.faults.is_empty() => 3,
            Self::Unreachable { .. } => 5,
            Self::NotInForce { .. } => 6,
            Self::DocumentsDiffer => 7,
            Self::State(_) => 8,
            Self::Read { .. }
            | Self::Write { .. }
            | Self::Refused(_)
            | Self::InvalidResponse(_)
            | Self::Failed(_)
            | Self::Output(_) => 1,
        }
    }
}
