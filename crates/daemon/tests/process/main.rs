//! Real daemon processes beside in-process stand-ins, with faults.
//!
//! Each test names the point that it proves; `docs/PROOFS.md` lists them. The
//! journals of the targets are the witness, never the word of a daemon.

#![allow(missing_docs, clippy::unwrap_used)]

mod fleet;
mod process;

mod answers;
mod at_most_once;
mod cold_limit;
mod crash;
mod exclusion;
mod load_generator;
mod serving;
mod settings;
mod shutdown;
