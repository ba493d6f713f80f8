//! Errors of the state layer; each message says how to fix the problem.

use std::io;
use std::path::Path;

/// Result of the state layer.
pub type Result<T> = std::result::Result<T, Error>;

/// An error of files or encodings.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// cannot {operation} {path}: {source}; check that the data folder exists, is writable and has free space
    Io {
        /// The operation that failed, as a verb.
        operation: &'static str,
        /// The file or folder.
        path: Box<str>,
        /// The system's error.
        source: io::Error,
    },
    /// no room to {operation} {path}: {source}; free space on its file system, or raise its quota or the limit on file size
    NoSpace {
        /// The operation that was refused, as a verb.
        operation: &'static str,
        /// The file or folder.
        path: Box<str>,
        /// The system's error.
        source: io::Error,
    },
    /// the data folder {0} is in use by another daemon; stop that one or give this one its own --data folder
    Locked(Box<str>),
    /// {path} is damaged at byte {offset}, before records that are intact; nothing was changed. Restore this data folder from a snapshot, or replace this replica by an empty one
    DamagedMiddle {
        /// The log file.
        path: Box<str>,
        /// Offset in the file at or after which the first damaged byte is.
        offset: u64,
    },
    /// the snapshot {0} is damaged or incomplete; nothing was changed. Use another copy of it, or save a new one
    DamagedSnapshot(Box<str>),
    /// the log lacks records {from} to {to}; nothing was changed. Restore this data folder from a snapshot, or replace this replica by an empty one
    Gap {
        /// First missing index.
        from: u64,
        /// Last missing index.
        to: u64,
    },
    /// {path} is format version {found}, this program reads version {known}; run the release that wrote it
    Version {
        /// The file.
        path: Box<str>,
        /// Version in the file.
        found: u32,
        /// The version that this program reads.
        known: u32,
    },
    /// no snapshot in {0} is intact, and the log does not reach back to the start; restore this data folder from a saved snapshot
    NoSnapshot(Box<str>),
    /// cannot decode {what}: {source}; the file was written by a different release, run that one
    Decode {
        /// What was being decoded.
        what: &'static str,
        /// The codec's error.
        source: postcard::Error,
    },
    /// the data folder {0} lacks its log or its `replica` file; nothing was changed. Put the missing file back, or remove the whole folder: this replica then joins again as a new one
    Identity(Box<str>),
    /// the folder {0} is not empty; name a new one, or move its content away first
    NotEmpty(Box<str>),
    /// a record of {size} bytes is over the limit of {limit}; send less at a time
    TooLarge {
        /// Size offered, in bytes.
        size: usize,
        /// Largest accepted, in bytes.
        limit: usize,
    },
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Io { source, .. } | Self::NoSpace { source, .. } => Some(source),
            Self::Decode { source, .. } => Some(source),
            _ => None,
        }
    }
}

impl Error {
    pub(crate) fn io(operation: &'static str, path: &Path, source: io::Error) -> Self {
        Self::Io { operation, path: path.display().to_string().into(), source }
    }

    /// Error of an operation that takes up space. Not for a sync: after a failed one it is unknown
    /// what is on the disk, whatever the reason.
    pub(crate) fn write(operation: &'static str, path: &Path, source: io::Error) -> Self {
        match source.kind() {
            io::ErrorKind::StorageFull
            | io::ErrorKind::QuotaExceeded
            | io::ErrorKind::FileTooLarge => {
                Self::NoSpace { operation, path: path.display().to_string().into(), source }
            }
            _ => Self::io(operation, path, source),
        }
    }
}
