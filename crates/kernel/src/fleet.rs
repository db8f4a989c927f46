//! How daemons find each other, exchange state and divide roles.
//!
//! - [`membership`] detects which daemons are alive.
//! - [`mirror`] replicates what the platform publishes. [`chunks`] cuts its large
//!   values into parts, and [`fetch`] decides from which peers to fetch what is missing.
//! - [`assignment`] chooses the dispatcher of a stage service and the readers
//!   of the store, and [`share`] divides limits of the whole fleet, of which an
//!   [`allowance`] says what a daemon may send.

pub mod allowance;
pub mod assignment;
pub mod chunks;
pub mod fetch;
pub mod membership;
pub mod mirror;
pub mod share;
