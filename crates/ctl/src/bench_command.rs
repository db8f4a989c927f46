//! The subcommand that checks the bounds on regressions.

use std::time::Duration;

use bpaf::Bpaf;

use crate::bounds;
use crate::load_command;
use crate::slope;

/// What the subcommand is asked for.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    #[bpaf(external(load_command::options))]
    load: load_command::Options,
}

/// Runs the scenarios under both policies and tells whether all bounds are met.
///
/// # Errors
/// Returns an error if a site cannot be started.
pub async fn run(options: &Options) -> anyhow::Result<bool> {
    let idle = slope::measure_idle_latency().await?;
    // The sockets of the measurement before are closed by now.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let runs = load_command::runs(&options.load).await?;
    let mut bounds = bounds::latency_bounds(&idle);
    bounds.extend(bounds::policy_bounds(&runs));
    print!("{}", bounds::table(&bounds));
    Ok(bounds.iter().all(bounds::Bound::is_met))
}
