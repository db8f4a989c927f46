//! Bounds that a change must meet so that it does not count as a regression.
//!
//! Attainment, the share of requests answered in time, and missed requests are
//! compared with the baseline policy in the same run, so that these bounds hold
//! on any machine. The bounds on breaches,
//! waste and latency are absolute.

use std::fmt::Write;

use gooseberry_kernel::settings::Policy;

use crate::compare::Run;
use crate::scenario::Scenario;
use crate::score::Score;
use crate::slope::IdleLatency;

/// Attainment may differ by this much between two equal runs.
const ATTAINMENT_SLACK: f64 = 0.002;
/// Most missed requests, as a ratio to those of the baseline.
const MISSED_RATIO_MAX: f64 = 0.5;
/// Most target time that may be wasted under overload, as a share of the total.
const WASTE_RATIO_MAX: f64 = 0.10;
/// Most latency that daemons may add at the median, in microseconds.
const ADDED_LATENCY_MAX_US: f64 = 1000.0;
/// Most time that a refusal may take at the 99th percentile, in microseconds.
const REFUSAL_LATENCY_MAX_US: f64 = 50_000.0;

/// One bound and the measured value.
#[derive(Clone, Debug)]
pub struct Bound {
    /// The measured quantity, with the scenario or the unit.
    pub name: String,
    /// The measured value.
    pub measured: f64,
    /// The lower or upper limit.
    pub limit: Limit,
}

/// A lower or an upper limit.
#[derive(Clone, Copy, Debug)]
pub enum Limit {
    /// The measured value must not be below this.
    AtLeast(f64),
    /// The measured value must not be above this.
    AtMost(f64),
}

impl Bound {
    /// Returns whether the measured value is within the bound.
    #[must_use]
    pub fn is_met(&self) -> bool {
        match self.limit {
            Limit::AtLeast(limit) => self.measured >= limit,
            Limit::AtMost(limit) => self.measured <= limit,
        }
    }
}

/// Returns the bounds on the adaptive policy, for the scenarios that were run.
/// Bounds relative to the baseline need a run of both policies.
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

/// Returns the bounds on the latency that daemons add and on that of refusals.
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

/// Formats the bounds as a table, with one line for each.
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
