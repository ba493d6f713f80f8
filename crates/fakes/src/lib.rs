//! Fakes of the external parties: a runner, a worker, a caller and a slow network link. Each
//! uses only the public protocol. The examples are thin wrappers around them, and tests use
//! them to observe what happens to requests and tasks.

pub mod caller;
pub mod cancel_checker;
pub mod cell;
pub mod emulator;
mod request_body;
pub mod runner;
pub mod slow_link;
mod target;
pub mod wait;
pub mod worker;

pub use caller::{Caller, CallerResponse};
pub use runner::FakeRunner;
pub use worker::FakeWorker;
