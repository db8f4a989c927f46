//! How daemons find each other, exchange state and divide roles.
//!
//! - [`membership`] detects which daemons are alive.
//! - [`mirror`] replicates what the platform publishes, and [`replica`] does so over the
//!   eras of its store. [`chunks`] cuts large values into parts, and [`fetch`] decides
//!   from which peers to fetch what is missing.
//! - [`withdrawal`] keeps in force what a store that went back has forgotten.
//! - [`startup`] decides when a daemon may serve with the copy that it got at its start.
//! - [`detour`] chooses the daemon that sends a request for one that is cut off.
//! - [`placement`] divides engines and requests into groups, each with a daemon that chooses,
//!   and [`placer_call`] decides when that daemon is asked and told.
//! - [`assignment`] chooses the dispatcher of a stage service and the readers
//!   of the store, and [`share`] divides limits of the whole fleet, of which an
//!   [`allowance`] says what a daemon may send.

pub mod allowance;
pub mod assignment;
pub mod chunks;
pub mod detour;
pub mod fetch;
pub mod membership;
pub mod mirror;
pub mod placement;
pub mod placer_call;
pub mod replica;
pub mod share;
pub mod startup;
pub mod withdrawal;
