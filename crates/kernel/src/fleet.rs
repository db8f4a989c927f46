//! How daemons find each other, exchange state and divide roles.
//!
//! - [`membership`] detects which daemons are alive.
//! - [`mirror`] replicates what the platform publishes.
//! - [`assignment`] chooses the dispatcher of a stage service and the readers
//!   of the store.

pub mod assignment;
pub mod membership;
pub mod mirror;
