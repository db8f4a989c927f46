//! The `slope` subcommand, which measures how the cost of a daemon grows.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use bpaf::Bpaf;
use gooseberry_kernel::clock::Millis;
use serde_json::Value;

use crate::slope;
use crate::slope::Axis;
use crate::slope::Setup;

/// Options of the subcommand.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// The dimension that grows: daemons, targets, workspaces, changes, settings, rate, choices or
    /// keys; may be repeated; all are measured by default
    #[bpaf(long, argument("AXIS"))]
    pub axis: Vec<Axis>,
    /// A size; may be repeated; a fixed list for each dimension is measured by
    /// default
    #[bpaf(long, argument("N"))]
    pub size: Vec<u64>,
    /// Time for which each size is measured
    #[bpaf(long, argument("SECONDS"), fallback(5), display_fallback)]
    pub seconds: u64,
    /// Seed of the random arrivals
    #[bpaf(long, argument("N"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Interval of the heartbeats from a daemon to each peer, in milliseconds
    #[bpaf(long, argument("MS"), fallback(500), display_fallback)]
    pub exchange_ms: u64,
    /// Also write the results as JSON to a file
    #[bpaf(long, argument("FILE"), optional)]
    pub json: Option<PathBuf>,
}

/// Measures the axes and prints a table for each.
///
/// # Errors
/// Returns an error if a fleet cannot be started or the JSON file cannot be
/// written.
pub async fn run(options: &Options) -> anyhow::Result<()> {
    let mut axes = options.axis.clone();
    if axes.is_empty() {
        axes = Axis::ALL.to_vec();
    }
    let setup = Setup {
        span: Duration::from_secs(options.seconds),
        seed: options.seed,
        exchange: Millis(options.exchange_ms),
    };
    let mut results = Vec::new();
    for axis in axes {
        let sizes = match options.size.as_slice() {
            [] => axis.sizes(),
            sizes => sizes,
        };
        let points = slope::measure(axis, sizes, &setup).await?;
        print!("{}", slope::table(axis, &points));
        results.push(slope::json(axis, &points));
    }
    if let Some(path) = &options.json {
        let text = format!("{:#}\n", Value::Array(results));
        std::fs::write(path, text).with_context(|| path.display().to_string())?;
    }
    Ok(())
}
