//! The `load` subcommand, which measures the policies in load scenarios.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use bpaf::Bpaf;
use gooseberry_kernel::settings::Policy;
use gooseberry_standin::site::Site;

use crate::compare;
use crate::compare::Run;
use crate::compare::Setup;
use crate::plot;
use crate::scenario::Scenario;
use crate::table;

/// Options of the subcommand.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// The site: huaraz or wadi-rum
    #[bpaf(long, argument("SITE"), fallback("huaraz".to_owned()), display_fallback)]
    pub site: String,
    /// The policies: adaptive, baseline or both
    #[bpaf(long, argument("POLICY"), fallback("both".to_owned()), display_fallback)]
    pub policy: String,
    /// A scenario; may be repeated; all scenarios are run by default
    #[bpaf(long, argument("SCENARIO"))]
    pub scenario: Vec<Scenario>,
    /// Seed of the random arrivals
    #[bpaf(long, argument("N"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Requests per second; the usual rate of the site by default
    #[bpaf(long, argument("N"), optional)]
    pub rate: Option<u32>,
    /// Time for which each scenario is measured
    #[bpaf(long, argument("SECONDS"), fallback(15), display_fallback)]
    pub seconds: u64,
    /// Also write the details of each run
    pub details: bool,
    /// Write the results as JSON to a file, or to standard output for `-`
    #[bpaf(long, argument("FILE"), optional)]
    pub json: Option<PathBuf>,
    /// Draw the attainment over time of the domain-out scenario as an SVG file
    #[bpaf(long, argument("FILE"), optional)]
    pub plot: Option<PathBuf>,
}

impl Options {
    /// Returns the parameters of the comparison.
    ///
    /// # Errors
    /// Returns an error if the site or the policy is unknown.
    pub fn setup(&self) -> anyhow::Result<Setup> {
        let site = Site::find(&self.site);
        let site = site.with_context(|| format!("unknown example site `{}`", self.site))?;
        let policies = if self.policy == "both" {
            vec![Policy::Adaptive, Policy::Baseline]
        } else {
            vec![self.policy.parse()?]
        };
        let mut scenarios = self.scenario.clone();
        if scenarios.is_empty() {
            scenarios = Scenario::ALL.to_vec();
        }
        Ok(Setup {
            site,
            policies,
            scenarios,
            seed: self.seed,
            rate: self.rate.unwrap_or(site.rate),
            span: Duration::from_secs(self.seconds),
        })
    }
}

/// Runs the scenarios and returns whether no guarantee was breached.
///
/// # Errors
/// Returns an error if a site cannot be started or a file cannot be written.
pub async fn run(options: &Options) -> anyhow::Result<bool> {
    let runs = runs(options).await?;
    Ok(runs.iter().all(|run| run.score.breaches.total() == 0))
}

/// Runs the scenarios, writes the requested output, and returns the results.
///
/// # Errors
/// Returns an error if a site cannot be started or a file cannot be written.
pub async fn runs(options: &Options) -> anyhow::Result<Vec<Run>> {
    let setup = options.setup()?;
    // With JSON on standard output, the table goes to standard error.
    let is_json_output = options
        .json
        .as_ref()
        .is_some_and(|path| path.as_os_str() == "-");
    let write = |text: &str| {
        if is_json_output {
            eprint!("{text}");
        } else {
            print!("{text}");
        }
    };
    write(&format!("{}\n{}\n", title(&setup), table::HEAD));
    let print_row = |run: &Run| {
        write(&format!("{}\n", table::row(run)));
    };
    let runs = compare::run(&setup, print_row).await?;
    for run in &runs {
        // Runs with breaches are always shown in detail.
        if options.details || run.score.breaches.total() > 0 {
            write(&table::details(run));
        }
    }
    if let Some(path) = &options.json {
        let text = format!("{:#}\n", table::json(&setup, &runs));
        if is_json_output {
            print!("{text}");
        } else {
            std::fs::write(path, text).with_context(|| path.display().to_string())?;
        }
    }
    if let Some(path) = &options.plot {
        let is_drawn = |run: &&Run| run.scenario == Scenario::DomainOut;
        let drawn_runs: Vec<Run> = runs.iter().filter(is_drawn).cloned().collect();
        plot::draw(path, &setup, &drawn_runs)?;
    }
    Ok(runs)
}

fn title(setup: &Setup) -> String {
    format!(
        "{}: {} daemons, {} targets, {} requests a second, {} s a scenario, seed {}",
        setup.site.name,
        setup.site.daemons,
        setup
            .site
            .groups
            .iter()
            .map(|group| group.count)
            .sum::<usize>(),
        setup.rate,
        setup.span.as_secs(),
        setup.seed
    )
}
