//! How much tasks on one runner slow each other, and how that is limited.

pub(super) mod colocation;
pub mod interference;
pub mod job_harm;
pub mod margin_forecast;
pub(super) mod pace;
pub mod reserve;
