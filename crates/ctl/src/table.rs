//! Formats scores as tables and as JSON.

use std::fmt::Write;

use serde_json::Value;
use serde_json::json;

use crate::compare::Run;
use crate::compare::Setup;
use crate::embedded;
use crate::score::Score;
use crate::score::Tally;
use crate::score::ratio;

/// Header of the scenario table.
pub const HEAD: &str = "\
scenario       policy      sent  in time    late  refused   waste  calls/  target  answered ms  refused  back   breaks  breaches
                                                                   answer  ms/ans   p50    p99  ms p99   s";

/// Formats one run as a row of the scenario table.
#[must_use]
pub fn row(run: &Run) -> String {
    let score = &run.score;
    let tally = &score.tally;
    let back = score.recovery_time.map(|span| span.as_secs_f64());
    let back = back.map_or("-".to_owned(), |secs| format!("{secs:.1}"));
    format!(
        "{:14} {:9} {:6} {:7.2}% {:6.2}% {:7.2}% {:6.2}% {:7.2} {:7.0} {:6} {:6} {:8}  {back:>4} {:8} {:9}",
        run.scenario.label(),
        embedded::label(run.policy),
        tally.sent,
        tally.attainment() * 100.0,
        ratio(tally.late, tally.sent) * 100.0,
        ratio(tally.refused, tally.sent) * 100.0,
        score.waste() * 100.0,
        score.calls_per_answer(),
        score.target_ms_per_answer(),
        score.latency.p50_ms,
        score.latency.p99_ms,
        score.refusal_latency.p99_ms,
        score.breaks,
        score.breaches.total(),
    )
}

/// Formats the details of one run that the scenario table omits.
#[must_use]
pub fn details(run: &Run) -> String {
    let mut out = String::new();
    let policy = embedded::label(run.policy);
    line(&mut out, &format!("{} under {policy}", run.scenario));
    groups(&mut out, &run.score);
    stages(&mut out, &run.score);
    seconds(&mut out, &run.score);
    refusals(&mut out, &run.score);
    line(&mut out, &format!("  crashes: {}", run.score.crashes));
    line(&mut out, &format!("  {:?}", run.score.breaches));
    out
}

fn groups(out: &mut String, score: &Score) {
    for ((pipeline, workspace), tally) in &score.groups {
        let text = format!(
            "  {pipeline:18} {workspace:27} sent {:6}  in time {:7.2}%  late {:5}  refused {:5}",
            tally.sent,
            tally.attainment() * 100.0,
            tally.late,
            tally.refused
        );
        line(out, &text);
    }
}

fn stages(out: &mut String, score: &Score) {
    for ((pipeline, stage), cost) in &score.stages {
        let answers = cost.answers;
        let text = format!(
            "  {pipeline:18} {stage:10} answers {answers:6}  calls/answer {:6.2}  target ms/answer {:8.1}  waste {:6.2}%",
            ratio(cost.calls, answers),
            ratio(cost.busy_us, answers) / 1000.0,
            ratio(cost.busy_us - cost.useful_us, cost.busy_us) * 100.0
        );
        line(out, &text);
    }
}

fn seconds(out: &mut String, score: &Score) {
    let percents = score.seconds.iter();
    let percents = percents.map(|(sent, in_time)| ratio(*in_time, *sent) * 100.0);
    let texts: Vec<String> = percents.map(|percent| format!("{percent:.0}")).collect();
    let text = format!("  in time, % of each second's: {}", texts.join(" "));
    line(out, &text);
}

fn refusals(out: &mut String, score: &Score) {
    let counts = score.refusals.iter();
    let texts: Vec<String> = counts
        .map(|(kind, count)| format!("{kind} {count}"))
        .collect();
    let text = format!("  refused: {}", texts.join(", "));
    line(out, &text);
}

/// Returns all runs as JSON.
#[must_use]
pub fn json(setup: &Setup, runs: &[Run]) -> Value {
    json!({
        "site": setup.site.name,
        "seed": setup.seed,
        "rate": setup.rate,
        "seconds": setup.span.as_secs(),
        "runs": runs.iter().map(run_json).collect::<Vec<_>>(),
    })
}

fn run_json(run: &Run) -> Value {
    let score = &run.score;
    let breaches = &score.breaches;
    json!({
        "scenario": run.scenario.label(),
        "policy": embedded::label(run.policy),
        "total": tally_json(&score.tally),
        "groups": score.groups.iter().map(|((pipeline, workspace), tally)| json!({
            "pipeline": pipeline,
            "workspace": workspace,
            "tally": tally_json(tally),
        })).collect::<Vec<_>>(),
        "stages": score.stages.iter().map(|((pipeline, stage), cost)| json!({
            "pipeline": pipeline,
            "stage": stage,
            "calls": cost.calls,
            "answers": cost.answers,
            "target_us": cost.busy_us,
            "useful_us": cost.useful_us,
        })).collect::<Vec<_>>(),
        "refusals": score.refusals,
        "waste": score.waste(),
        "calls_per_answer": score.calls_per_answer(),
        "target_ms_per_answer": score.target_ms_per_answer(),
        "latency_ms": { "p50": score.latency.p50_ms, "p99": score.latency.p99_ms },
        "refusal_ms": { "p50": score.refusal_latency.p50_ms, "p99": score.refusal_latency.p99_ms },
        "seconds": score.seconds.iter().map(|(sent, in_time)| json!({
            "sent": sent,
            "in_time": in_time,
        })).collect::<Vec<_>>(),
        "back_after_ms": score.recovery_time.map(|span| span.as_secs_f64() * 1000.0),
        "cold_breaks": score.breaks,
        "crashes": score.crashes,
        "breaches": {
            "wrong": breaches.wrong,
            "lost": breaches.lost,
            "doubled": breaches.doubled,
            "violations": breaches.violations,
            "calls_while_out": breaches.calls_while_out,
        },
    })
}

fn tally_json(tally: &Tally) -> Value {
    json!({
        "sent": tally.sent,
        "in_time": tally.in_time,
        "late": tally.late,
        "refused": tally.refused,
        "wrong": tally.wrong,
        "lost": tally.lost,
    })
}

fn line(out: &mut String, text: &str) {
    // Writing to a string does not fail.
    writeln!(out, "{text}").ok();
}
