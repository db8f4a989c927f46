//! Small stand-ins of the platform and of targets, with faults that can be
//! switched on.
//!
//! Tests, the demo and the load tool run the real daemons against these. A
//! stand-in speaks the protocol of `docs/PROTOCOLS.md` over real sockets, and
//! keeps a journal of what it ran, which is the witness in tests.
//!
//! - [`platform`] publishes the list and the settings.
//! - [`target`] answers calls of any kind.
//! - [`capacity`] says what a target bears under load.
//! - [`site`] describes the two example sites at their sizes.
//!
//! # Example
//!
//! ```
//! # #[tokio::main]
//! # async fn main() -> anyhow::Result<()> {
//! use gooseberry_standin::platform::Platform;
//!
//! let platform = Platform::start().await?;
//! platform.put("/fleet", "{}");
//! assert_eq!(platform.settings().revision, 1);
//! # Ok(())
//! # }
//! ```

pub mod capacity;
pub mod platform;
pub mod server;
pub mod site;
pub mod target;
