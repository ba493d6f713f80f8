//! Where a task may run.

pub(super) mod advice;
pub(super) mod capacity;
pub(super) mod compatibility;
pub(super) mod copies;
pub(super) mod free_index;
pub(super) mod gangs;
pub(super) mod place;
pub(super) mod retry;
pub(super) mod starting;
