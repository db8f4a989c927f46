//! Decisions about targets: which one gets a request, and at what rate.
//!
//! - [`registry`] holds the targets that the platform lists, and those that
//!   lapsed.
//! - [`health`] avoids targets whose calls fail.
//! - [`link`] knows whether this daemon reaches the targets of a service.
//! - [`cold_rate`] limits the rate at which a cold target gets requests.
//! - [`notice`] holds what targets say in their answers about the work they want.
//! - [`rate_limit`] holds the rate limits that targets name in their answers.
//! - [`brittleness`] keeps targets from falling over that can turn few requests away.
//! - [`capacity`] knows how many requests a target works on at once.
//! - [`memory_share`] divides the memory for replies among targets.
//! - [`selection`] picks the target of a request.
//! - [`cost`] estimates what a request costs at an engine.
//! - [`placement`] picks the engine of a request by what it costs there.

pub mod brittleness;
pub mod capacity;
pub mod cold_rate;
pub mod cost;
pub mod health;
pub mod link;
pub mod memory_share;
pub mod notice;
pub mod placement;
pub mod rate_limit;
pub mod registry;
pub mod selection;
