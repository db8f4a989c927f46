//! Soak test: real relay daemons under load, with faults injected from outside.
//!
//! CI runs the seeds in [`SEEDS`]. To run others by hand:
//!
//!     SOAK_SEEDS=100..150 cargo test --release -p gooseberryd --test soak -- --ignored --nocapture
//!
//! and with releases of engines, by `SOAK_DAEMONS` daemons:
//!
//!     SOAK_SEEDS=1..20 SOAK_DAEMONS=5 cargo test -p gooseberryd --test soak -- \
//!         --ignored --nocapture releases
//!
//! and with silent targets, `silences` in place of `releases`; with targets that also break
//! streams off, `breaks`.
//!
//! `SOAK_FORMER` names the daemon of a former build. Each daemon then changes between the two
//! builds whenever it is started, so that all mixtures of them serve together. `SOAK_DAEMON`
//! names the daemon that runs in place of this build.

#![allow(missing_docs, clippy::unwrap_used)]

use std::ops::Range;
use std::path::PathBuf;

use gooseberry_soak::process::Builds;
use gooseberry_soak::release;
use gooseberry_soak::run;
use gooseberry_soak::silence;
use gooseberry_soak::silence::Trouble;

/// The seeds that CI runs, and the faults they find:
///
/// - 201: fails if an at-most-once request is sent again after a broken
///   connection, or if a refusal says "not run" of a request that ran. Both were
///   checked by mutating the code.
/// - 203: has found no fault yet; it has faults of every kind one after another.
const SEEDS: [u64; 2] = [201, 203];

/// The seed with which CI runs releases: it joined streams of two versions at a daemon that
/// had just gone on after standing still.
const RELEASE_SEED: u64 = 23;
const RELEASE_DAEMONS: u8 = 12;

/// The seed with which CI runs silent targets: it closed a paused stream before another target
/// had it.
const SILENCE_SEED: u64 = 1;

/// The seed with which CI runs targets that also break streams off: these were given up at the
/// first refusal. The seeds of tests that run beside each other differ, as addresses and folders
/// follow from them.
const BREAKS_SEED: u64 = 2;

/// What is run with each seed.
enum Scenario {
    /// Faults of all kinds.
    Faults,
    /// Releases of engines, with this number of daemons.
    Releases(u8),
    /// Targets in trouble beside changes and restarts.
    Targets(Trouble),
}

async fn run_seeds(scenario: Scenario, seeds: impl Iterator<Item = u64>) {
    let program = |name| std::env::var_os(name).map(PathBuf::from);
    let (other, former) = (program("SOAK_DAEMON"), program("SOAK_FORMER"));
    let builds = Builds {
        log_early_ends: other.is_none() && former.is_none(),
        present: other.unwrap_or(env!("CARGO_BIN_EXE_gooseberryd").into()),
        former,
    };
    let mut failed = Vec::new();
    for seed in seeds {
        let report = match scenario {
            Scenario::Faults => run(&builds, seed).await,
            Scenario::Releases(daemons) => release::run(&builds, seed, daemons).await,
            Scenario::Targets(trouble) => silence::run(&builds, seed, trouble).await,
        };
        let report = report.unwrap();
        let count = report.violations.len();
        println!(
            "seed {seed}: {} requests, {} served, {count} breaches, {:?}",
            report.requests, report.served, report.faults
        );
        if count > 0 {
            println!("  logs in {}", report.folder.display());
            for violation in report.violations.iter().take(5) {
                println!("  breach: {violation}");
            }
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds {failed:?} broke a guarantee");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn guarantees_hold_under_faults() {
    run_seeds(Scenario::Faults, SEEDS.into_iter()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_go_on_at_their_version_while_daemons_are_out_of_step() {
    let seeds = std::iter::once(RELEASE_SEED);
    run_seeds(Scenario::Releases(RELEASE_DAEMONS), seeds).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_targets_beside_changes_and_restarts_end_no_answer() {
    let scenario = Scenario::Targets(Trouble::Silence);
    run_seeds(scenario, std::iter::once(SILENCE_SEED)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn targets_that_break_off_beside_changes_and_restarts_end_no_answer() {
    let scenario = Scenario::Targets(Trouble::Breaks);
    run_seeds(scenario, std::iter::once(BREAKS_SEED)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "runs the seeds that SOAK_SEEDS names, such as 100..150"]
async fn seeds_from_the_environment() {
    run_seeds(Scenario::Faults, seeds_to_run()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "runs the seeds that SOAK_SEEDS names, with SOAK_DAEMONS daemons"]
async fn releases_from_the_environment() {
    let daemons = std::env::var("SOAK_DAEMONS").unwrap();
    run_seeds(Scenario::Releases(daemons.parse().unwrap()), seeds_to_run()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "runs the seeds that SOAK_SEEDS names, such as 100..150"]
async fn silences_from_the_environment() {
    run_seeds(Scenario::Targets(Trouble::Silence), seeds_to_run()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "runs the seeds that SOAK_SEEDS names, such as 100..150"]
async fn breaks_from_the_environment() {
    run_seeds(Scenario::Targets(Trouble::Breaks), seeds_to_run()).await;
}

fn seeds_to_run() -> Range<u64> {
    let seeds = std::env::var("SOAK_SEEDS").unwrap();
    let (from, until) = seeds.split_once("..").unwrap();
    from.parse().unwrap()..until.parse().unwrap()
}
