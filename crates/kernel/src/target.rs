//! What is decided about targets: which one gets a request, and how much.
//!
//! - [`registry`] holds the targets that the platform lists, and who left.
//! - [`health`] judges a target by what calls to it show.
//! - [`cold_rate`] bounds what a cold target gets from all daemons together.
//! - [`selection`] picks the target of a request.

pub mod cold_rate;
pub mod health;
pub mod registry;
pub mod selection;
