//! Errors of commands, each with the exit code of the program.

use yuccalink_protocol::fields::ValidationErrors;
use yuccalink_protocol::problem::{ExecutionStatus, Problem};

/// Result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a command failed.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// cannot read {path}: {source}
    Read {
        /// The file.
        path: Box<str>,
        /// The system's error.
        source: std::io::Error,
    },
    /// {path} has faults:\n{faults}
    Document {
        /// The file.
        path: Box<str>,
        /// All of them.
        faults: ValidationErrors,
    },
    /// no daemon answers at {server}: {why}; name another with --server
    Unreachable {
        /// Addresses tried.
        server: Box<str>,
        /// The last error.
        why: Box<str>,
    },
    /// {0}
    Failed(Box<str>),
    /// {0}
    Refused(Refused),
    /// the answer cannot be read: {0}; use the command of the daemon's release
    InvalidResponse(Box<str>),
    /// {service} version {version} is accepted and lasts, but not yet in force on: {waiting}; `yuccalink status` shows when it is
    NotInForce {
        /// The service.
        service: Box<str>,
        /// The accepted version.
        version: u64,
        /// Entries that may still serve an older one.
        waiting: Box<str>,
    },
    /// the file and what is in force differ
    DocumentsDiffer,
    /// {0}; see `yuccalink --help`
    Usage(Box<str>),
    /// {0}
    State(yuccalink_state::Error),
    /// cannot write {path}: {source}
    Write {
        /// The file.
        path: Box<str>,
        /// The system's error.
        source: std::io::Error,
    },
    /// cannot write the output: {0}
    Output(std::io::Error),
}

/// A problem document as a command's error.
#[derive(Debug)]
pub struct Refused(pub Problem);

impl std::fmt::Display for Refused {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Problem { title, detail, faults, ran, .. } = &self.0;
        write!(f, "{title}: {detail}")?;
        if *ran == ExecutionStatus::Unknown {
            f.write_str(" (it may have been done)")?;
        }
        for fault in faults {
            write!(f, "\n  {fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {}

impl Error {
    /// Exit code of the program; documented in its help.
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
