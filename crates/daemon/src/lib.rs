//! The daemon: serves callers, sends calls to targets and coordinates with
//! its peers.
//!
//! A [`daemon::Daemon`] usually runs once per process; the demo starts several
//! in one process. All decisions are made by the kernel's
//! [`Node`](gooseberry_kernel::node::Node), which does no I/O. The modules
//! around it do the I/O:
//!
//! - [`actor`] runs the node as an actor; only it changes the node;
//! - [`ingress`] serves callers, and [`pipeline`] runs the stages of a request;
//! - [`idempotency`] serves requests with an idempotency key at the daemon that
//!   owns the key;
//! - [`target_call`] sends calls to the targets that this daemon owns, and
//!   forwards calls for other targets to their owners;
//! - [`control`] exchanges control messages with the peers;
//! - [`platform_reader`] polls the list, the settings and the load reports that
//!   the platform publishes;
//! - [`operators`] serves metrics and state, and [`fault_injection`] lets tests
//!   block messages between daemons.
//!
//! # Example
//!
//! ```no_run
//! use gooseberry_kernel::settings::Local;
//! use gooseberryd::daemon::Daemon;
//!
//! # async fn run(text: &str) -> anyhow::Result<()> {
//! let local = Local::parse(text)?;
//! let daemon = Daemon::start(local).await?;
//! daemon.shut_down().await;
//! # Ok(())
//! # }
//! ```

pub use gooseberry_runtime::clock;
pub use gooseberry_runtime::control_stream;
pub use gooseberry_runtime::logs;

pub mod actor;
pub mod answer;
pub mod context;
pub mod control;
pub mod daemon;
pub mod fault_injection;
pub mod idempotency;
pub mod ingress;
pub mod metrics;
pub mod operators;
pub mod peers;
pub mod pipeline;
pub mod platform_reader;
pub mod server;
pub mod target_call;

mod request_head;
mod request_log;
