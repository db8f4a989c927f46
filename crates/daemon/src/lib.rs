//! The daemon: callers on one side, targets on the other, peers beside it.
//!
//! A [`daemon::Daemon`] is one process's worth of the system, and can also be
//! started several times within one process, as the demo does. Around the
//! kernel's [`Node`](gooseberry_kernel::node::Node) it has:
//!
//! - [`actor`], the one place that changes the node;
//! - [`ingress`], which serves callers, and [`pipeline`], which runs the stages;
//! - [`idempotency`], which serves requests with an idempotency key at their owner;
//! - [`target_call`], which sends calls to the targets that this daemon owns;
//! - [`control`], which talks to the peers, and [`platform_reader`], which reads what
//!   the platform publishes;
//! - [`operators`], where metrics and state are read, and [`fault_injection`], which
//!   tests switch on there.
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
