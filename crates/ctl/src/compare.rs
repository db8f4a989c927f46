//! Runs scenarios on a site under each policy, concurrently and with the same
//! seed, so that the policies get the same arrivals and the same load of the
//! machine.

use std::time::Duration;

use anyhow::Context;
use gooseberry_kernel::settings::Policy;
use gooseberry_standin::site::Site;
use tokio::task::JoinHandle;

use crate::embedded::Embedded;
use crate::load;
use crate::load::Plan;
use crate::scenario::Scenario;
use crate::score::Score;

/// Time for which requests are sent before the measurement begins.
const WARM_UP: Duration = Duration::from_secs(5);

/// Parameters of a comparison.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The site.
    pub site: Site,
    /// The policies, each of which gets a site of its own.
    pub policies: Vec<Policy>,
    /// The scenarios, in the order in which they run.
    pub scenarios: Vec<Scenario>,
    /// Seed of the random arrivals.
    pub seed: u64,
    /// Requests per second.
    pub rate: u32,
    /// Time for which each scenario is measured.
    pub span: Duration,
}

/// Result of one scenario under one policy.
#[derive(Clone, Debug)]
pub struct Run {
    /// The scenario.
    pub scenario: Scenario,
    /// The policy.
    pub policy: Policy,
    /// The measured results.
    pub score: Score,
}

/// Runs all scenarios in sequence and calls `on_run` with each result.
///
/// # Errors
/// Returns an error if a site cannot be started.
pub async fn run(setup: &Setup, on_run: impl Fn(&Run)) -> anyhow::Result<Vec<Run>> {
    let mut runs = Vec::new();
    let mut next = start(setup);
    for (index, scenario) in setup.scenarios.iter().enumerate() {
        let sites = next
            .await
            .context("the task that starts the sites failed")??;
        // The sites of the next scenario start, and wait as long as calls of a
        // previous owner could run, while this one is measured.
        next = if index + 1 < setup.scenarios.len() {
            start(setup)
        } else {
            tokio::spawn(async { Ok(Vec::new()) })
        };
        let measured = sites.iter().map(|site| measure(setup, *scenario, site));
        for run in futures::future::join_all(measured).await {
            on_run(&run);
            runs.push(run);
        }
        let shut_downs = sites.iter().map(Embedded::shut_down);
        futures::future::join_all(shut_downs).await;
    }
    Ok(runs)
}

/// Starts one site for each policy in the background.
fn start(setup: &Setup) -> JoinHandle<anyhow::Result<Vec<Embedded>>> {
    let site = setup.site;
    let policies = setup.policies.clone();
    tokio::spawn(async move {
        let started = policies.into_iter().map(async |policy| {
            let embedded = Embedded::start_loaded(site, policy).await?;
            embedded.wait_for_former_calls().await;
            anyhow::Ok(embedded)
        });
        futures::future::try_join_all(started).await
    })
}

async fn measure(setup: &Setup, scenario: Scenario, embedded: &Embedded) -> Run {
    let plan = Plan {
        seed: setup.seed,
        rate: setup.rate,
        span: setup.span,
        warm_up: WARM_UP,
        scenario,
    };
    let summary = load::run(embedded, &plan).await;
    Run {
        scenario,
        policy: embedded.policy,
        score: Score::new(embedded, &summary, scenario, setup.span),
    }
}
