//! The `bench` subcommand, which checks the regression bounds.

use std::time::Duration;

use bpaf::Bpaf;

use crate::bounds;
use crate::load_command;
use crate::slope;

/// Options of the subcommand.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    #[bpaf(external(load_command::options))]
    load: load_command::Options,
}

/// Runs the scenarios under the chosen policies and returns whether all bounds
/// are met.
///
/// # Errors
/// Returns an error if a fleet or a site cannot be started, or a result file
/// cannot be written.
pub async fn run(options: &Options) -> anyhow::Result<bool> {
    let idle = slope::measure_idle_latency().await?;
    // Lets the sockets of the latency measurement close.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let runs = load_command::runs(&options.load).await?;
    let mut bounds = bounds::latency_bounds(&idle);
    bounds.extend(bounds::policy_bounds(&runs));
    print!("{}", bounds::table(&bounds));
    Ok(bounds.iter().all(bounds::Bound::is_met))
}
