//! What daemons know of each other and learn from each other.
//!
//! - [`member`] says which daemons are alive.
//! - [`mirror`] holds what the platform publishes, and passes it on.
//! - [`choice`] picks the daemon that gathers the pieces of a stage service.

pub mod choice;
pub mod member;
pub mod mirror;
