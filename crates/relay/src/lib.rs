//! The daemon's direct path: from a client through the stages to a target.
//!
//! On this path each attempt of a client reaches exactly one daemon, which
//! sends it to a target itself, so no daemon owns targets or keys. What the
//! daemons share is advice: who is alive, what the platform has published, how
//! long pieces wait. `docs/design/platform.md` has the reasons.
//!
//! - [`daemon`] starts and ends the process.
//! - [`state`] holds what the daemon believes, and makes the kernel's decisions
//!   with it.
//! - [`front`] serves connections; [`request`] is the way of one request.
//! - [`stages`] has the stages of a request made, by the daemon that gathers
//!   the pieces of a service: its [`dispatcher`].
//! - [`exchange`] is one call to a target, over the connections in [`pool`].
//! - [`store_watch`] reads the platform's store, [`peers`] talks to other daemons.
//!
//! # Example
//!
//! ```no_run
//! use gooseberry_platform::boot::Boot;
//! use gooseberry_relay::daemon;
//!
//! # async fn run() -> anyhow::Result<()> {
//! daemon::run(Boot::load()?).await
//! # }
//! ```

pub mod body_memory;
pub mod context;
pub mod daemon;
pub mod dispatcher;
pub mod exchange;
pub mod http_server;
pub mod metrics;
pub mod peers;
pub mod pool;
pub mod request;
pub mod shutdown;
pub mod stages;
pub mod state;
pub mod store_watch;

mod activity;
mod forward;
