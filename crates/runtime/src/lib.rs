//! The clock, logs and sockets that all processes of gooseberryarch share.
//!
//! - [`clock`] is the monotonic clock of a process.
//! - [`logs`] writes structured log lines.
//! - [`socket`] sets TCP options, so that dead connections fail soon.
//! - [`observed_stream`] reports the bytes read from and written to a TCP stream.
//! - [`control_stream`] carries control messages between daemons and counts
//!   their bytes.
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
