//! One daemon with stand-ins: answers to callers, keys, outcomes and metrics.

#![allow(missing_docs, clippy::unwrap_used)]

mod callers;
mod fleet;
mod idempotency_keys;
mod metrics;
mod odd_entries;
mod outcome;
mod panics;
