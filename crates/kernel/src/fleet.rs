//! What daemons know of each other and learn from each other.
//!
//! - [`membership`] says which daemons are alive.
//! - [`mirror`] holds what the platform publishes, and passes it on.
//! - [`assignment`] picks the daemon that gathers the pieces of a stage service.

pub mod assignment;
pub mod membership;
pub mod mirror;
