//! The operators' tool: check settings, ask a daemon, run a load or the demo.
//!
//! - [`operators_client`] asks a daemon, [`status`] shows its state, and [`explain`] shows
//!   where a request would go.
//! - [`check`] checks settings before they are published.
//! - [`embedded`] runs one example site on the loopback, within one process.
//! - [`compare`] runs scenarios on it under each policy; [`scenario`] lists them,
//!   [`score`] scores them, [`table`] and [`plot`] show them.
//! - [`fleet`] runs a fleet of a given size, and [`slope`] measures on it how
//!   costs grow; [`bounds`] are what a change must not fall below.
//! - [`load`] sends requests at it and accounts for each.
//! - [`report`] writes what came of them.
//! - [`story`] tells what became of a request, from the logs of the daemons.
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

pub mod bench_command;
pub mod bounds;
pub mod check;
pub mod compare;
pub mod embedded;
pub mod explain;
pub mod fleet;
pub mod load;
pub mod load_command;
pub mod operators_client;
pub mod plot;
pub mod report;
pub mod scenario;
pub mod score;
pub mod slope;
pub mod slope_command;
pub mod status;
pub mod story;
pub mod table;
pub mod usage;
