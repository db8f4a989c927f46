//! The binary of the operators' tool.

use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;
use bpaf::Bpaf;
use gooseberry_standin::site::Site;
use gooseberryctl::bench_command;
use gooseberryctl::embedded::Embedded;
use gooseberryctl::load;
use gooseberryctl::load::Plan;
use gooseberryctl::load_command;
use gooseberryctl::report;
use gooseberryctl::slope_command;

/// Operates gooseberryarch.
///
/// Example: `gooseberryctl demo --site huaraz`
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Run one example site on the loopback, with a load on it
    #[bpaf(command)]
    Demo {
        /// The site: huaraz or wadi-rum
        #[bpaf(long, argument("SITE"), fallback("huaraz".to_owned()), display_fallback)]
        site: String,
        /// Requests in each second
        #[bpaf(long, argument("N"), fallback(100), display_fallback)]
        rate: u32,
        /// How long requests are sent
        #[bpaf(long, argument("SECONDS"), fallback(10), display_fallback)]
        seconds: u64,
        /// The seed of the arrivals
        #[bpaf(long, argument("N"), fallback(1), display_fallback)]
        seed: u64,
    },
    /// Measure the policy in scenarios, beside the baseline
    ///
    /// Example: `gooseberryctl load --site huaraz --seed 1`
    #[bpaf(command)]
    Load(#[bpaf(external(load_command::options))] load_command::Options),
    /// Run the scenarios under both policies and check the bounds
    ///
    /// Example: `gooseberryctl bench --site wadi-rum`
    #[bpaf(command)]
    Bench(#[bpaf(external(bench_command::options))] bench_command::Options),
    /// Measure how the cost of a daemon grows with the fleet
    ///
    /// Example: `gooseberryctl slope --axis daemons`
    #[bpaf(command)]
    Slope(#[bpaf(external(slope_command::options))] slope_command::Options),
}

fn main() -> ExitCode {
    match run(command().run()) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("gooseberryctl: {error:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(command: Command) -> anyhow::Result<ExitCode> {
    match command {
        Command::Demo {
            site,
            rate,
            seconds,
            seed,
        } => {
            let plan = Plan {
                seed,
                rate,
                span: Duration::from_secs(seconds),
                ..Plan::default()
            };
            demo(&site, &plan).await
        }
        Command::Slope(options) => {
            slope_command::run(&options).await?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Bench(options) => Ok(exit_code(bench_command::run(&options).await?)),
        Command::Load(options) => Ok(exit_code(load_command::run(&options).await?)),
    }
}

async fn demo(site: &str, plan: &Plan) -> anyhow::Result<ExitCode> {
    let site = Site::find(site).with_context(|| format!("there is no example site `{site}`"))?;
    println!(
        "{}: {} daemons, {} targets, {} requests a second for {} s, seed {}",
        site.name,
        site.daemons,
        site.groups.iter().map(|group| group.count).sum::<usize>(),
        plan.rate,
        plan.span.as_secs(),
        plan.seed
    );
    let embedded = Embedded::start(site).await?;
    let summary = load::run(&embedded, plan).await;
    embedded.shut_down().await;
    print!("{}", report::text(&summary));
    Ok(exit_code(summary.is_accounted()))
}

fn exit_code(is_good: bool) -> ExitCode {
    if is_good {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
