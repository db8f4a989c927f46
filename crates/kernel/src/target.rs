//! What is decided about targets: which one gets a request, and how much.
//!
//! - [`roster`] holds the targets that the platform lists, and who left.
//! - [`health`] judges a target by what calls to it show.
//! - [`pace`] bounds what a cold target gets from all daemons together.
//! - [`place`] picks the target of a request.

pub mod health;
pub mod pace;
pub mod place;
pub mod roster;
