//! Real daemon processes with in-process stand-ins for platform and targets,
//! under injected faults.
//!
//! Each test checks one guarantee; `docs/PROOFS.md` lists them. What ran is read
//! from the journals of the stand-in targets, never from what a daemon reports.

#![allow(missing_docs, clippy::unwrap_used)]

mod fleet;
mod process;

mod at_most_once;
mod cold_limit;
mod crash;
mod exclusion;
mod load_generator;
mod results;
mod serving;
mod settings;
mod shutdown;
