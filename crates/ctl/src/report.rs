//! Formats the result of a load run as tables.

use std::collections::BTreeMap;
use std::fmt::Write;

use gooseberry_kernel::answer::Kind;
use hdrhistogram::Histogram;

use crate::load::Outcome;
use crate::load::Sample;
use crate::load::Summary;

/// Longest latency that the histogram can hold, in milliseconds.
const LATENCY_MAX_MS: u64 = 600_000;

#[derive(Debug, Default)]
struct Row {
    sent: usize,
    answered: usize,
    late: usize,
    latencies_ms: Vec<u64>,
}

#[derive(Debug, Default)]
struct CostRow {
    requests: u64,
    attempts: u64,
    target_ms: u64,
    wasted_ms: u64,
}

/// Formats attainment, refusals, costs and totals as tables.
#[must_use]
pub fn text(summary: &Summary) -> String {
    let mut out = String::new();
    attainment(&mut out, summary);
    refusals(&mut out, summary);
    costs(&mut out, summary);
    accounts(&mut out, summary);
    out
}

fn attainment(out: &mut String, summary: &Summary) {
    let mut rows: BTreeMap<(&str, &str), Row> = BTreeMap::new();
    for sample in &summary.samples {
        let row = rows.entry((sample.pipeline, sample.workspace)).or_default();
        row.add(sample);
    }
    line(out, "attainment (share answered whole within the deadline)");
    line(
        out,
        "  pipeline           workspace                    sent  in time  late     p50 ms   p99 ms",
    );
    for ((pipeline, workspace), row) in rows {
        let percent = percent(row.answered, row.sent);
        let (p50_ms, p99_ms) = row.quantiles();
        let text = format!(
            "  {pipeline:18} {workspace:26} {:6} {percent:7.2}% {:5} {p50_ms:10} {p99_ms:8}",
            row.sent, row.late
        );
        line(out, &text);
    }
}

impl Row {
    fn add(&mut self, sample: &Sample) {
        self.sent += 1;
        let millis = u64::try_from(sample.latency.as_millis()).unwrap_or(u64::MAX);
        match sample.outcome {
            Outcome::Answered => self.answered += 1,
            Outcome::Late => self.late += 1,
            _ => return,
        }
        self.latencies_ms.push(millis);
    }

    fn quantiles(&self) -> (u64, u64) {
        let Ok(mut histogram) = Histogram::<u64>::new_with_max(LATENCY_MAX_MS, 3) else {
            return (0, 0);
        };
        for millis in &self.latencies_ms {
            histogram.saturating_record(*millis);
        }
        let at = |quantile| histogram.value_at_quantile(quantile);
        (at(0.5), at(0.99))
    }
}

fn refusals(out: &mut String, summary: &Summary) {
    line(out, "refusals by reason");
    let mut is_any = false;
    for kind in Kind::ALL {
        let count = summary.count(|outcome| *outcome == Outcome::Refused(*kind));
        if count > 0 {
            is_any = true;
            line(out, &format!("  {:18} {count:6}", kind.row().label));
        }
    }
    if !is_any {
        line(out, "  none");
    }
}

fn costs(out: &mut String, summary: &Summary) {
    let mut rows: BTreeMap<(&str, &str), CostRow> = BTreeMap::new();
    for sample in &summary.samples {
        for cost in &sample.costs {
            let row = rows.entry((sample.pipeline, &cost.stage)).or_default();
            row.requests += 1;
            row.attempts += cost.attempts;
            row.target_ms += cost.target_ms;
            row.wasted_ms += cost.wasted_ms;
        }
    }
    line(out, "cost by stage");
    line(
        out,
        "  pipeline           stage        requests  attempts  target ms  wasted ms",
    );
    for ((pipeline, stage), row) in rows {
        let text = format!(
            "  {pipeline:18} {stage:12} {:8} {:9} {:10} {:10}",
            row.requests, row.attempts, row.target_ms, row.wasted_ms
        );
        line(out, &text);
    }
}

fn accounts(out: &mut String, summary: &Summary) {
    let answered = summary.count(|outcome| *outcome == Outcome::Answered);
    let late = summary.count(|outcome| *outcome == Outcome::Late);
    let refused = summary.count(|outcome| matches!(outcome, Outcome::Refused(_)));
    let wrong = summary.count(|outcome| *outcome == Outcome::Wrong);
    let lost = summary.count(|outcome| *outcome == Outcome::Lost);
    let text = format!(
        "sent {} = answered {answered} + late {late} + refused {refused}; wrong {wrong}, lost {lost}",
        summary.sent
    );
    line(out, &text);
}

fn line(out: &mut String, text: &str) {
    // Writing to a string does not fail.
    writeln!(out, "{text}").ok();
}

fn percent(part: usize, of: usize) -> f64 {
    // The number of requests is far below 2^53, so an f64 holds it exactly.
    #[allow(clippy::cast_precision_loss)]
    let ratio = part as f64 / of.max(1) as f64;
    ratio * 100.0
}
