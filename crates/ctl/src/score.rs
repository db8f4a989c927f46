//! Results of a load run under one policy.
//!
//! Costs are computed from the journals of the stand-ins and not from the
//! reports of the daemons, so that a daemon that miscounts cannot improve its
//! result.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use gooseberry_kernel::settings::TargetKind;
use gooseberry_standin::site::Traffic;
use gooseberry_standin::target::CallRecord;
use hdrhistogram::Histogram;

use crate::embedded::Embedded;
use crate::load;
use crate::load::Class;
use crate::load::Outcome;
use crate::load::Sample;
use crate::load::Summary;
use crate::scenario;
use crate::scenario::Scenario;

/// Longest latency that a histogram holds, in milliseconds.
const LATENCY_MAX_MS: u64 = 600_000;
/// Share of its usual work at which a failure domain counts as recovered, in
/// percent.
const RECOVERED_PERCENT: u64 = 50;
/// Length of the sliding window in which the share of a failure domain is
/// measured.
const RECOVERY_WINDOW: Duration = Duration::from_secs(1);
/// Step of the sliding window.
const RECOVERY_STEP: Duration = Duration::from_millis(100);

/// Outcomes of a group of requests.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Requests sent.
    pub sent: u64,
    /// Complete answers within the deadline.
    pub in_time: u64,
    /// Complete answers after the deadline, flagged as late.
    pub late: u64,
    /// Error answers.
    pub refused: u64,
    /// Answers that were truncated or belonged to another request.
    pub wrong: u64,
    /// Requests without a complete answer.
    pub lost: u64,
}

/// Cost of one stage of one pipeline.
#[derive(Clone, Debug, Default)]
pub struct StageCost {
    /// Calls that targets ran for it.
    pub calls: u64,
    /// Answered requests with this stage.
    pub answers: u64,
    /// Time that targets spent on these calls, in microseconds.
    pub busy_us: u64,
    /// Part of that time that led to an answer, in microseconds.
    pub useful_us: u64,
}

/// Two quantiles of a latency, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    /// Median.
    pub p50_ms: u64,
    /// 99th percentile.
    pub p99_ms: u64,
}

/// Counts of events that must not happen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Breaches {
    /// Wrong answers.
    pub wrong: u64,
    /// Requests without a complete answer.
    pub lost: u64,
    /// Non-idempotent stages that ran more than once.
    pub doubled: u64,
    /// Invariant violations that daemons detected.
    pub violations: u64,
    /// Calls that began in a failure domain after the notice period of taking
    /// it out.
    pub calls_while_out: u64,
}

impl Breaches {
    /// Returns the sum of all counts.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.wrong + self.lost + self.doubled + self.violations + self.calls_while_out
    }
}

/// Results of a load run under one policy.
#[derive(Clone, Debug, Default)]
pub struct Score {
    /// Outcomes of the measured requests. In a flood those of the flooding
    /// workspace are left out.
    pub tally: Tally,
    /// Outcomes by pipeline and workspace, including the flood.
    pub groups: BTreeMap<(&'static str, &'static str), Tally>,
    /// Number of refusals by error kind.
    pub refusals: BTreeMap<String, u64>,
    /// Latency of the answered requests.
    pub latency: Latency,
    /// Latency of the requests that were refused on arrival.
    pub refusal_latency: Latency,
    /// Cost by pipeline and stage.
    pub stages: BTreeMap<(&'static str, String), StageCost>,
    /// For each second, the requests sent in it and how many of them were
    /// answered in time.
    pub seconds: Vec<(u64, u64)>,
    /// Time from the return of a failure domain until it was in use again.
    pub recovery_time: Option<Duration>,
    /// Crashes of cold targets that got more calls than their cold limit.
    pub breaks: u64,
    /// Crashes of targets for any reason.
    pub crashes: u64,
    /// Events that must not happen.
    pub breaches: Breaches,
}

impl Tally {
    fn add(&mut self, outcome: &Outcome) {
        self.sent += 1;
        match outcome {
            Outcome::Answered => self.in_time += 1,
            Outcome::Late => self.late += 1,
            Outcome::Refused(_) => self.refused += 1,
            Outcome::Wrong => self.wrong += 1,
            Outcome::Lost => self.lost += 1,
        }
    }

    /// Returns the share of the requests that were answered in time.
    #[must_use]
    pub fn attainment(&self) -> f64 {
        ratio(self.in_time, self.sent)
    }

    /// Returns the share of the requests that were not answered in time.
    #[must_use]
    pub fn missed(&self) -> f64 {
        ratio(self.sent - self.in_time, self.sent)
    }
}

impl Score {
    /// Computes the results of a load run that has ended.
    #[must_use]
    pub fn new(embedded: &Embedded, summary: &Summary, scenario: Scenario, span: Duration) -> Self {
        let mut score = Self::default();
        for sample in summary.samples.iter().filter(|sample| is_measured(sample)) {
            score.add(sample, scenario, embedded);
        }
        score.latency = latency(summary, |outcome| {
            matches!(outcome, Outcome::Answered | Outcome::Late)
        });
        score.refusal_latency = latency(summary, is_refused_on_arrival);
        score.seconds.resize(whole_seconds(span), (0, 0));
        let journal = Journal::new(embedded);
        score.add_costs(embedded, summary, &journal);
        for listed in &embedded.targets {
            score.breaks += count(listed.target.cold_breaks());
            score.crashes += count(listed.target.crashes());
        }
        score.breaches.wrong = count(summary.count(|outcome| *outcome == Outcome::Wrong));
        score.breaches.lost = count(summary.count(|outcome| *outcome == Outcome::Lost));
        score.breaches.violations = violations(embedded);
        if scenario == Scenario::DomainOut {
            let origin = summary.origin.unwrap_or_else(Instant::now);
            let outage = Outage::new(embedded, origin, span);
            score.breaches.calls_while_out = outage.calls();
            score.recovery_time = outage.recovery_time();
        }
        score
    }

    /// Returns the share of the targets' time that did not lead to an answer.
    #[must_use]
    pub fn waste(&self) -> f64 {
        let busy: u64 = self.stages.values().map(|cost| cost.busy_us).sum();
        let useful: u64 = self.stages.values().map(|cost| cost.useful_us).sum();
        ratio(busy.saturating_sub(useful), busy)
    }

    /// Returns the number of calls to targets per answered request.
    #[must_use]
    pub fn calls_per_answer(&self) -> f64 {
        let calls: u64 = self.stages.values().map(|cost| cost.calls).sum();
        ratio(calls, self.answers())
    }

    /// Returns the targets' time per answered request, in milliseconds.
    #[must_use]
    pub fn target_ms_per_answer(&self) -> f64 {
        let busy: u64 = self.stages.values().map(|cost| cost.busy_us).sum();
        ratio(busy, self.answers()) / 1000.0
    }

    /// Returns the number of answered requests of all workspaces.
    #[must_use]
    pub fn answers(&self) -> u64 {
        let groups = self.groups.values();
        groups.map(|tally| tally.in_time + tally.late).sum()
    }

    fn add(&mut self, sample: &Sample, scenario: Scenario, embedded: &Embedded) {
        let group = (sample.pipeline, sample.workspace);
        let tally = self.groups.entry(group).or_default();
        tally.add(&sample.outcome);
        if let Outcome::Refused(kind) = &sample.outcome {
            let label = kind.row().label.to_owned();
            *self.refusals.entry(label).or_default() += 1;
        }
        let flooding_workspace = embedded.site.traffic[0].workspace;
        if scenario == Scenario::Flood && sample.workspace == flooding_workspace {
            return;
        }
        self.tally.add(&sample.outcome);
        let second = whole_seconds(sample.sent_at);
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, (0, 0));
        }
        self.seconds[second].0 += 1;
        if sample.outcome == Outcome::Answered {
            self.seconds[second].1 += 1;
        }
    }

    fn add_costs(&mut self, embedded: &Embedded, summary: &Summary, journal: &Journal) {
        for sample in &summary.samples {
            let traffic = Traffic {
                workspace: sample.workspace,
                pipeline: sample.pipeline,
                share: 0,
            };
            let is_answered = matches!(sample.outcome, Outcome::Answered | Outcome::Late);
            for input in load::inputs(&embedded.documents, &traffic, &sample.body) {
                let Some(stage) = input.stage else { continue };
                let calls = journal.calls_with(stage.pool.as_str(), &input.body);
                if !stage.is_idempotent && calls.len() > 1 {
                    self.breaches.doubled += 1;
                }
                if !is_measured(sample) {
                    continue;
                }
                let name = (sample.pipeline, stage.id.to_string());
                let cost = self.stages.entry(name).or_default();
                cost.calls += count(calls.len());
                cost.answers += u64::from(is_answered);
                cost.busy_us += calls
                    .iter()
                    .map(|call| micros(call.entry.busy_time()))
                    .sum::<u64>();
                // Only the last answered call led to the answer of the request.
                let useful = calls.iter().rfind(|call| call.entry.is_answered);
                if let Some(useful) = useful.filter(|_| is_answered) {
                    cost.useful_us += micros(useful.entry.busy_time());
                }
            }
        }
    }
}

/// The calls of all targets, sorted by pool, input and start time.
struct Journal {
    calls: Vec<Call>,
}

struct Call {
    pool: &'static str,
    entry: CallRecord,
}

impl Journal {
    fn new(embedded: &Embedded) -> Self {
        let mut calls = Vec::new();
        for listed in &embedded.targets {
            let entries = listed.target.journal().into_iter();
            calls.extend(entries.map(|entry| Call {
                pool: listed.pool,
                entry,
            }));
        }
        calls.sort_by(|left, right| left.key().cmp(&right.key()));
        Self { calls }
    }

    fn calls_with(&self, pool: &str, input: &[u8]) -> &[Call] {
        let compare = |call: &Call| (call.pool, call.entry.body.as_ref()).cmp(&(pool, input));
        let from = self.calls.partition_point(|call| compare(call).is_lt());
        let to = self.calls.partition_point(|call| compare(call).is_le());
        &self.calls[from..to]
    }
}

impl Call {
    fn key(&self) -> (&str, &[u8], Instant) {
        (self.pool, &self.entry.body, self.entry.began)
    }
}

/// The work of the engines while a failure domain is taken out and returns.
struct Outage {
    taken_out_at: Instant,
    back_at: Instant,
    /// End of the measurement.
    ends_at: Instant,
    /// End times of calls that engines answered.
    engine_answers: Vec<Instant>,
    /// End times of those in the failure domain.
    in_domain: Vec<Instant>,
    /// Start times of calls to any target in the failure domain.
    domain_call_starts: Vec<Instant>,
}

impl Outage {
    fn new(embedded: &Embedded, origin: Instant, span: Duration) -> Self {
        let (from, to) = scenario::disturbance_span(span);
        let domain = embedded.site.domains[0];
        let engines = || embedded.targets_of_kind(TargetKind::Engine);
        let in_domain = engines().filter(|listed| listed.domain == domain);
        Self {
            taken_out_at: origin + from,
            back_at: origin + to,
            ends_at: origin + span,
            engine_answers: engines()
                .flat_map(|listed| answer_times(&listed.target))
                .collect(),
            in_domain: in_domain
                .flat_map(|listed| answer_times(&listed.target))
                .collect(),
            domain_call_starts: embedded
                .targets_in_domain(domain)
                .flat_map(|listed| start_times(&listed.target))
                .collect(),
        }
    }

    /// Returns the number of calls that began in the failure domain between
    /// the end of its notice period and its return.
    fn calls(&self) -> u64 {
        let notice_end = self.taken_out_at + scenario::EVACUATION_NOTICE;
        count_between(&self.domain_call_starts, notice_end, self.back_at)
    }

    /// Returns the time from the return of the failure domain until its share
    /// of the answered engine calls is at least [`RECOVERED_PERCENT`] of its
    /// usual share, or `None` if that did not happen.
    fn recovery_time(&self) -> Option<Duration> {
        let began = self.engine_answers.iter().min()?;
        let usual = share(
            &self.in_domain,
            &self.engine_answers,
            *began,
            self.taken_out_at,
        );
        let mut at = self.back_at;
        while at < self.ends_at {
            at += RECOVERY_STEP;
            let from = at
                .checked_sub(RECOVERY_WINDOW)
                .unwrap_or(at)
                .max(self.back_at);
            let now = share(&self.in_domain, &self.engine_answers, from, at);
            if now * 100 >= usual * RECOVERED_PERCENT && now > 0 {
                return Some(at - self.back_at);
            }
        }
        None
    }
}

fn start_times(target: &gooseberry_standin::target::Target) -> Vec<Instant> {
    let entries = target.journal().into_iter();
    entries.map(|entry| entry.began).collect()
}

fn answer_times(target: &gooseberry_standin::target::Target) -> Vec<Instant> {
    let entries = target.journal().into_iter();
    let answered = entries.filter(|entry| entry.is_answered);
    answered
        .map(|entry| entry.began + entry.busy_time())
        .collect()
}

/// Returns the share of the failure domain in the answered calls of a time
/// span, in thousandths.
fn share(in_domain: &[Instant], all: &[Instant], from: Instant, to: Instant) -> u64 {
    let all = count_between(all, from, to);
    count_between(in_domain, from, to) * 1000 / all.max(1)
}

fn count_between(instants: &[Instant], from: Instant, to: Instant) -> u64 {
    let between = instants.iter().filter(|at| **at >= from && **at < to);
    count(between.count())
}

fn is_measured(sample: &Sample) -> bool {
    matches!(sample.class, Class::Measured | Class::Flood)
}

/// Returns whether a request was refused by a decision made on its arrival.
fn is_refused_on_arrival(outcome: &Outcome) -> bool {
    use gooseberry_kernel::answer::Kind;
    matches!(
        outcome,
        Outcome::Refused(Kind::OverShare | Kind::Overloaded | Kind::Quarantined)
    )
}

fn latency(summary: &Summary, matches: impl Fn(&Outcome) -> bool) -> Latency {
    let Ok(mut histogram) = Histogram::<u64>::new_with_max(LATENCY_MAX_MS, 3) else {
        return Latency::default();
    };
    let samples = summary.samples.iter().filter(|sample| is_measured(sample));
    for sample in samples.filter(|sample| matches(&sample.outcome)) {
        let millis = u64::try_from(sample.latency.as_millis());
        histogram.saturating_record(millis.unwrap_or(u64::MAX));
    }
    Latency {
        p50_ms: histogram.value_at_quantile(0.5),
        p99_ms: histogram.value_at_quantile(0.99),
    }
}

/// Returns the number of invariant violations in the metrics of all daemons.
#[must_use]
pub fn violations(embedded: &Embedded) -> u64 {
    let daemons = embedded.daemons.iter();
    let texts = daemons.map(|daemon| daemon.context().metrics.encode());
    texts
        .map(|text| counter_total(&text, "gooseberry_invariant_violations_total"))
        .sum()
}

/// Returns the sum of a counter over all its labels, from the text of the
/// metrics page.
#[must_use]
pub fn counter_total(text: &[u8], name: &str) -> u64 {
    let text = String::from_utf8_lossy(text);
    let lines = text.lines().filter(|line| line.starts_with(name));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
    values.sum()
}

/// Returns the quotient, or zero if the divisor is zero.
#[must_use]
pub fn ratio(part: u64, of: u64) -> f64 {
    // The counts are far below 2^53, so an f64 holds them exactly.
    #[allow(clippy::cast_precision_loss)]
    let (part, of) = (part as f64, of as f64);
    if of > 0.0 { part / of } else { 0.0 }
}

fn count(number: usize) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn whole_seconds(span: Duration) -> usize {
    usize::try_from(span.as_secs()).unwrap_or(usize::MAX)
}
