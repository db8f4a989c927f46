//! The operators' tool: check settings, ask a daemon, run a load or the demo.
//!
//! - [`ask`] asks a daemon, [`status`] shows its state, and [`explain`] shows
//!   where a request would go.
//! - [`check`] checks settings before they are published.
//! - [`embedded`] runs one example site on the loopback, within one process.
//! - [`load`] sends requests at it and accounts for each.
//! - [`report`] writes what came of them.
//!
//! # Example
//!
//! ```no_run
//! use gooseberryctl::embedded::Embedded;
//! use gooseberryctl::load;
//! use gooseberry_standin::site;
//!
//! # async fn run() -> anyhow::Result<()> {
//! let embedded = Embedded::start(site::HUARAZ).await?;
//! let summary = load::run(&embedded, &load::Plan::default()).await;
//! assert!(summary.is_accounted());
//! # Ok(())
//! # }
//! ```

pub mod ask;
pub mod check;
pub mod embedded;
pub mod explain;
pub mod load;
pub mod report;
pub mod status;
