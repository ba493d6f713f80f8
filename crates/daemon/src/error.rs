//! Errors of starting and running the daemon. Each message names the remedy.

use std::io;

/// Result of operations of the daemon.
pub type Result<T> = std::result::Result<T, Error>;

/// Why the daemon cannot start or continue.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// --{flag}: {detail}
    Setting {
        /// The flag, without dashes.
        flag: &'static str,
        /// The fault and its remedy.
        detail: Box<str>,
    },
    /// cannot listen on {address} for {clients}: {source}; free the port or choose another with --{flag}
    Listen {
        /// The requested address.
        address: Box<str>,
        /// The clients that connect to this address.
        clients: &'static str,
        /// The flag, without dashes.
        flag: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
    /// {0}
    State(yuccalink_state::Error),
    /// cannot start a thread: {0}; raise the limit on processes
    Thread(io::Error),
    /// the control thread stopped; see the log lines before this one
    Stopped,
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Listen { source, .. } | Self::Thread(source) => Some(source),
            Self::State(source) => Some(source),
            Self::Setting { .. } | Self::Stopped => None,
        }
    }
}

impl From<yuccalink_state::Error> for Error {
    fn from(error: yuccalink_state::Error) -> Self {
        Self::State(error)
    }
}
