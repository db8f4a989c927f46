//! Small stand-ins for the platform and for targets, with fault injection.
//!
//! Tests, the demo and the load tool run the real daemons against these. A
//! stand-in speaks the protocol of `docs/PROTOCOLS.md` over real sockets. A
//! target also keeps a journal of the calls that it ran, against which tests
//! check the daemons.
//!
//! - [`platform`] publishes the list and the settings.
//! - [`target`] answers calls of any kind.
//! - [`capacity`] models how fast a target works under load.
//! - [`site`] defines the two example sites.
//! - [`server`] is the HTTP server of all stand-ins.
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
