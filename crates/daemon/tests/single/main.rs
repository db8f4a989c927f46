//! One daemon before stand-ins: its callers' side and what it counts.

#![allow(missing_docs, clippy::unwrap_used)]

mod callers;
mod fleet;
mod idempotency_keys;
mod metrics;
mod outcome;
