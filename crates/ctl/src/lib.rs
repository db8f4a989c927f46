//! The operators' tool: check settings, ask a daemon, run a load or the demo.
//!
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

pub mod embedded;
pub mod load;
pub mod report;
