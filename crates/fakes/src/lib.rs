//! Small stand-ins for what is outside: a runner, a worker, a caller and a slow link, each
//! written against the public protocol only. The examples are thin wraps of
//! them, and tests watch through them what really happens to requests and tasks.

pub mod caller;
pub mod emulator;
pub mod runner;
pub mod slow_link;
mod target;
pub mod wait;
pub mod worker;

pub use caller::{Caller, CallerResponse};
pub use runner::FakeRunner;
pub use worker::FakeWorker;
