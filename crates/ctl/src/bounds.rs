//! The bounds below which a change of the policy counts as a regression.
//!
//! A bound on the policy is a ratio to the baseline in the same run, so that
//! it holds on any machine. The two bounds on time are absolute.

use std::fmt::Write;

use gooseberry_kernel::settings::Policy;

use crate::compare::Run;
use crate::scenario::Scenario;
use crate::score::Score;
use crate::slope::IdleLatency;

/// By how much the attainment of two equal runs may differ.
const ATTAINMENT_SLACK: f64 = 0.002;
/// The share of the baseline's missed requests that may be missed.
const MISSED_RATIO_MAX: f64 = 0.5;
/// The share of the targets' time that may be wasted under overload.
const WASTE_RATIO_MAX: f64 = 0.10;
/// The latency that daemons may add at the median, in microseconds.
const ADDED_LATENCY_MAX_US: f64 = 1000.0;
/// The time that a refusal may take, in microseconds.
const REFUSAL_LATENCY_MAX_US: f64 = 50_000.0;

/// One bound and what was measured.
#[derive(Clone, Debug)]
pub struct Bound {
    /// What it is about.
    pub name: String,
    /// What was measured.
    pub measured: f64,
    /// The least that it may be, or the most.
    pub limit: Limit,
}

/// The side on which a bound limits.
#[derive(Clone, Copy, Debug)]
pub enum Limit {
    /// No less than this.
    AtLeast(f64),
    /// No more than this.
    AtMost(f64),
}

impl Bound {
    /// Tells whether what was measured is within the bound.
    #[must_use]
    pub fn is_met(&self) -> bool {
        match self.limit {
            Limit::AtLeast(limit) => self.measured >= limit,
            Limit::AtMost(limit) => self.measured <= limit,
        }
    }
}

/// Returns the bounds on the policy that the runs allow to check.
#[must_use]
pub fn policy_bounds(runs: &[Run]) -> Vec<Bound> {
    let mut bounds = Vec::new();
    for scenario in Scenario::ALL {
        let score_of = |policy| {
            let mut found = runs.iter().filter(|run| run.scenario == scenario);
            found.find(|run| run.policy == policy).map(|run| &run.score)
        };
        let adaptive = score_of(Policy::Adaptive);
        if let Some(adaptive) = adaptive {
            bounds.extend(absolute_bounds(scenario, adaptive));
        }
        if let (Some(adaptive), Some(baseline)) = (adaptive, score_of(Policy::Baseline)) {
            bounds.extend(relative_bounds(scenario, adaptive, baseline));
        }
    }
    bounds
}

/// Returns the bounds on the time that daemons add.
#[must_use]
pub fn latency_bounds(idle: &IdleLatency) -> Vec<Bound> {
    vec![
        at_most("added latency, p50 us", idle.added_us, ADDED_LATENCY_MAX_US),
        at_most(
            "refusal, p99 us",
            idle.refusal_p99_us,
            REFUSAL_LATENCY_MAX_US,
        ),
    ]
}

fn absolute_bounds(scenario: Scenario, adaptive: &Score) -> Vec<Bound> {
    let breaches = f64::from(u32::try_from(adaptive.breaches.total()).unwrap_or(u32::MAX));
    let mut bounds = vec![at_most(&format!("{scenario}: breaches"), breaches, 0.0)];
    if matches!(scenario, Scenario::Burst | Scenario::Flood) {
        let name = format!("{scenario}: waste");
        bounds.push(at_most(&name, adaptive.waste(), WASTE_RATIO_MAX));
    }
    bounds
}

fn relative_bounds(scenario: Scenario, adaptive: &Score, baseline: &Score) -> Vec<Bound> {
    let mut bounds = vec![Bound {
        name: format!("{scenario}: attainment against the baseline's"),
        measured: adaptive.tally.attainment(),
        limit: Limit::AtLeast(baseline.tally.attainment() - ATTAINMENT_SLACK),
    }];
    if matches!(
        scenario,
        Scenario::Burst | Scenario::DomainOut | Scenario::HalfCold
    ) {
        let name = format!("{scenario}: missed against half of the baseline's");
        let limit = baseline.tally.missed() * MISSED_RATIO_MAX;
        bounds.push(at_most(
            &name,
            adaptive.tally.missed(),
            limit.max(ATTAINMENT_SLACK),
        ));
    }
    bounds
}

fn at_most(name: &str, measured: f64, limit: f64) -> Bound {
    Bound {
        name: name.to_owned(),
        measured,
        limit: Limit::AtMost(limit),
    }
}

/// Writes the bounds, each with its verdict.
#[must_use]
pub fn table(bounds: &[Bound]) -> String {
    let mut out = String::new();
    for bound in bounds {
        let verdict = if bound.is_met() { "met" } else { "NOT MET" };
        let (side, limit) = match bound.limit {
            Limit::AtLeast(limit) => (">=", limit),
            Limit::AtMost(limit) => ("<=", limit),
        };
        let Bound { name, measured, .. } = bound;
        // Writing to a string does not fail.
        writeln!(
            out,
            "{verdict:8} {name:52} {measured:10.4} {side} {limit:.4}"
        )
        .ok();
    }
    out
}
