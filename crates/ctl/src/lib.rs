//! The operators' command line tool `gooseberryctl`.
//!
//! - [`operators_client`] sends requests to a daemon, [`status`] shows its
//!   state, and [`explain`] shows where a request could go.
//! - [`check`] validates settings before they are published.
//! - [`embedded`] runs an example site on the loopback interface, within one
//!   process.
//! - [`load`] sends requests to the site and records the outcome of each;
//!   [`report`] formats the outcomes as tables.
//! - [`compare`] runs load scenarios under each policy; [`scenario`] defines
//!   them, [`score`] computes the results, [`table`] and [`plot`] show them.
//! - [`fleet`] runs a fleet of a given size; [`slope`] measures how the cost of
//!   a daemon grows with it, from the resources that [`usage`] reads.
//! - [`bounds`] are the limits on the results that detect regressions.
//! - [`story`] collects the log lines that concern one request; [`loss`] counts how all of
//!   them ended.
//! - [`bench_command`], [`load_command`] and [`slope_command`] are the
//!   subcommands with these names.
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
pub mod loss;
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
