//! Randomised simulations of several nodes, with invariants checked at each step.
//!
//! `GOOSEBERRY_SEEDS=from..to cargo test -p gooseberry_kernel --test fleet`
//! runs any range of seeds. For a failing seed the test prints a minimized list
//! of events.

#![allow(missing_docs, clippy::unwrap_used)]

mod fleet_simulation;

use std::fmt::Write as _;

use fleet_simulation::Stats;
use fleet_simulation::draw_events;
use fleet_simulation::minimize;
use fleet_simulation::run;
use gooseberry_kernel::lease::Rules;

/// The number of steps of a run.
const STEPS: u32 = 400;

fn seeds(usual: std::ops::Range<u64>) -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("GOOSEBERRY_SEEDS") else {
        return usual;
    };
    let (from, to) = text.split_once("..").unwrap();
    from.parse().unwrap()..to.parse().unwrap()
}

fn describe_failure(seed: u64, rules: Rules) -> String {
    let events = draw_events(seed, STEPS);
    let kept = minimize(seed, &events, STEPS, rules);
    let violation = run(seed, &kept, STEPS, rules).1.unwrap();
    let mut text = format!("seed {seed}: {violation}\n");
    for timed in kept {
        writeln!(text, "  step {}: {:?}", timed.step, timed.event).unwrap();
    }
    text
}

/// Runs the seeds; returns those that violated an invariant and the summed
/// statistics.
///
/// With a rule disabled the first violation suffices, unless a range of seeds is
/// given in the environment.
fn sweep(seeds: std::ops::Range<u64>, rules: Rules) -> (Vec<u64>, Stats) {
    let stops_at_first = rules != Rules::default() && std::env::var("GOOSEBERRY_SEEDS").is_err();
    let mut failing_seeds = Vec::new();
    let mut sum = Stats::default();
    for seed in seeds {
        let (stats, violation) = run(seed, &draw_events(seed, STEPS), STEPS, rules);
        sum.held += stats.held;
        sum.watched += stats.watched;
        sum.runs += stats.runs;
        sum.calls += stats.calls;
        sum.refused += stats.refused;
        if let Some(violation) = violation {
            println!("seed {seed}: {violation}");
            failing_seeds.push(seed);
            if stops_at_first {
                break;
            }
        }
    }
    (failing_seeds, sum)
}

#[test]
fn all_rules_together_keep_every_invariant() {
    let (failing_seeds, stats) = sweep(seeds(0..100), Rules::default());
    println!("{stats:?}");
    if let Some(seed) = failing_seeds.first() {
        panic!(
            "{} seeds; {}",
            failing_seeds.len(),
            describe_failure(*seed, Rules::default())
        );
    }
}

macro_rules! mutations {
    ($($name:ident: $rule:ident, $seeds:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let without = Rules { $rule: false, ..Rules::default() };
                let (failing_seeds, stats) = sweep(seeds($seeds), without);
                println!("without {}: {} runs violated an invariant; {stats:?}", stringify!($rule), failing_seeds.len());
                assert!(!failing_seeds.is_empty(), "no run without the rule violated an invariant");
            }
        )*
    };
}

mutations! {
    without_only_newer_lists_an_invariant_breaks: only_newer_lists, 0..100;
    without_majorities_an_invariant_breaks: needs_majority, 0..100;
    without_waiting_for_former_leases_an_invariant_breaks: waits_for_former_lease, 0..100;
    without_refusing_unknown_keys_an_invariant_breaks: refuses_unknown_keys, 0..100;
    without_assuming_full_targets_an_invariant_breaks: assumes_target_full, 0..100;
    without_rechecks_before_sends_an_invariant_breaks: rechecks_before_send, 0..100;
    without_owners_by_list_only_an_invariant_breaks: owner_by_list_only, 0..100;
}
