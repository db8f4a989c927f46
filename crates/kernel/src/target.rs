//! Decisions about targets: which one gets a request, and at what rate.
//!
//! - [`registry`] holds the targets that the platform lists, and those that
//!   lapsed.
//! - [`health`] avoids targets whose calls fail.
//! - [`cold_rate`] limits the rate at which a cold target gets requests.
//! - [`selection`] picks the target of a request.

pub mod cold_rate;
pub mod health;
pub mod registry;
pub mod selection;
