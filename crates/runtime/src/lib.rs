//! What every process of gooseberryarch needs around its decisions.
//!
//! - [`clock`] is the one clock of a process.
//! - [`logs`] writes structured lines, and never waits for their reader.
//! - [`socket`] lets silent connections fail soon.
//! - [`observed_stream`] tells of the bytes that go over a connection.
//! - [`control_stream`] carries messages between daemons and counts them.
//!
//! # Example
//!
//! ```
//! use gooseberry_runtime::clock::Clock;
//!
//! let clock = Clock::start();
//! assert!(clock.now() <= clock.now());
//! ```

pub mod clock;
pub mod control_stream;
pub mod logs;
pub mod observed_stream;
pub mod socket;
