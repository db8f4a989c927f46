//! Randomised runs of several nodes, with invariants checked after each step.
//!
//! `GOOSEBERRY_SEEDS=from..to cargo test -p gooseberry_kernel --test fleet`
//! runs any range of seeds. A failing seed prints its shortest trace.

#![allow(missing_docs, clippy::unwrap_used)]

mod world;

use std::fmt::Write as _;

use gooseberry_kernel::lease::Rules;
use world::Stats;
use world::draw;
use world::run;
use world::shorten;

/// How many steps a run takes.
const STEPS: u32 = 400;

fn seeds(usual: std::ops::Range<u64>) -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("GOOSEBERRY_SEEDS") else {
        return usual;
    };
    let (from, to) = text.split_once("..").unwrap();
    from.parse().unwrap()..to.parse().unwrap()
}

fn explain(seed: u64, rules: Rules) -> String {
    let events = draw(seed, STEPS);
    let kept = shorten(seed, &events, STEPS, rules);
    let broken = run(seed, &kept, STEPS, rules).1.unwrap();
    let mut text = format!("seed {seed}: {broken}\n");
    for timed in kept {
        writeln!(text, "  step {}: {:?}", timed.step, timed.event).unwrap();
    }
    text
}

/// Counts the runs that broke something, and adds up what the runs showed.
///
/// A mutation needs one broken run, unless a range of seeds is asked for.
fn sweep(seeds: std::ops::Range<u64>, rules: Rules) -> (Vec<u64>, Stats) {
    let is_one_enough = rules != Rules::default() && std::env::var("GOOSEBERRY_SEEDS").is_err();
    let mut broken = Vec::new();
    let mut sum = Stats::default();
    for seed in seeds {
        let (stats, found) = run(seed, &draw(seed, STEPS), STEPS, rules);
        sum.held += stats.held;
        sum.watched += stats.watched;
        sum.runs += stats.runs;
        sum.calls += stats.calls;
        sum.unknown += stats.unknown;
        if let Some(found) = found {
            println!("seed {seed}: {found}");
            broken.push(seed);
            if is_one_enough {
                break;
            }
        }
    }
    (broken, sum)
}

#[test]
fn every_rule_together_breaks_nothing() {
    let (broken, stats) = sweep(seeds(0..100), Rules::default());
    println!("{stats:?}");
    if let Some(seed) = broken.first() {
        panic!(
            "{} seeds; {}",
            broken.len(),
            explain(*seed, Rules::default())
        );
    }
}

macro_rules! mutations {
    ($($name:ident: $rule:ident, $seeds:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let without = Rules { $rule: false, ..Rules::default() };
                let (broken, stats) = sweep(seeds($seeds), without);
                println!("without {}: {} runs broken; {stats:?}", stringify!($rule), broken.len());
                assert!(!broken.is_empty(), "nothing shows that the rule is needed");
            }
        )*
    };
}

mutations! {
    without_newest_something_breaks: only_newer_lists, 0..100;
    without_majority_something_breaks: needs_majority, 0..100;
    without_wait_something_breaks: waits_for_former_lease, 0..100;
    without_vouch_something_breaks: refuses_unknown_keys, 0..100;
    without_full_something_breaks: assumes_target_full, 0..100;
    without_check_something_breaks: rechecks_before_send, 0..100;
    without_ordered_ownership_something_breaks: owner_by_list_only, 0..100;
}
