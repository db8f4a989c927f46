//! Plays the load of a deployment with 140 engines and 260 streams a second, and compares
//! what clients get with the placement by cost and with the choice by the prefix, which
//! here even knows the present load of each engine.

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::hash;
use gooseberry_kernel::name;
use gooseberry_kernel::request::demand::DemandPart;
use gooseberry_kernel::target::placement::End;
use gooseberry_kernel::target::placement::Engine;
use gooseberry_kernel::target::placement::Finish;
use gooseberry_kernel::target::placement::Ledger;
use gooseberry_kernel::target::placement::Request;
use gooseberry_kernel::target::selection;
use gooseberry_kernel::target::selection::Candidate;

use crate::engine_simulation::STRIDE;
use crate::engine_simulation::SimulatedEngine;
use crate::engine_simulation::Stream;
use crate::placement::engines;
use crate::placement::request;

const ENGINES: usize = 140;
const SLOTS: u32 = 16;
const ARRIVALS_MS: u64 = 20_000;
/// Own tokens of the prompts, by twentieths of the requests; the mean is 6,300.
const PROMPT_TOKENS: [u64; 21] = [
    1_000, 1_100, 1_250, 1_400, 1_600, 1_800, 2_050, 2_300, 2_650, 3_000, 3_400, 3_900, 4_500,
    5_200, 6_000, 7_000, 8_300, 10_000, 13_000, 20_000, 54_000,
];

/// Random numbers of a fixed sequence.
struct Draw(u64);

impl Draw {
    /// Returns a number within a range, which includes its end.
    fn within(&mut self, (first, last): (u64, u64)) -> u64 {
        self.0 += 1;
        first + hash::mix(self.0, 1) % (last - first + 1)
    }
}

#[derive(Clone, Copy)]
struct Scenario {
    /// Whether a quarter of the engines has 0.55 of the speed, and the others 1.2.
    has_slow_engines: bool,
    has_slow_periods: bool,
    report_delay_ms: u64,
    lost_reports_percent: u64,
    /// When another daemon becomes placer, with an empty ledger.
    new_placer_ms: Option<u64>,
}

#[derive(Debug)]
struct Outcome {
    streams: usize,
    late_by_gap: usize,
    late_by_first: usize,
    mean_first_ms: u64,
    /// Mean time to the first event of the tenth with the largest prompts.
    largest_first_ms: u64,
}

impl Outcome {
    fn new(streams: &mut [Stream]) -> Self {
        streams.sort_by_key(|stream| stream.request.demand.prompt_tokens);
        let mean_first_ms = |streams: &[Stream]| {
            let sum: u64 = streams.iter().map(|stream| stream.first).sum();
            sum / 1_000 / streams.len() as u64
        };
        let all = streams.iter();
        let by_gap = all.clone().filter(|stream| stream.longest_gap > 500_000);
        let by_first = all.filter(|stream| stream.first > 2_000_000);
        Self {
            streams: streams.len(),
            late_by_gap: by_gap.count(),
            late_by_first: by_first.count(),
            mean_first_ms: mean_first_ms(streams),
            largest_first_ms: mean_first_ms(&streams[streams.len() * 9 / 10..]),
        }
    }
}

/// Returns a request and the real length of its answer.
fn arrival(attempt: u64, draw: &mut Draw) -> (Request, u64) {
    let tokens = |number| u32::try_from(number).expect("it is small");
    let twentieth = usize::try_from(draw.within((0, 19))).expect("it is small");
    let own = draw.within((PROMPT_TOKENS[twentieth], PROMPT_TOKENS[twentieth + 1]));
    let workspace = draw.within((0, 399));
    let shared = tokens(500 + workspace * 4_500 / 400);
    let mut request = request(attempt, workspace, shared, tokens(own));
    if draw.within((0, 1)) == 0 {
        // Half of the requests belong to sessions, which share a further part.
        let session = 1_000 + workspace * 10 + draw.within((0, 9));
        let part = DemandPart {
            chain: session,
            tokens: tokens(200 + session % 7 * 500),
        };
        request.demand.parts.insert(1, part);
        request.demand.prompt_tokens += part.tokens;
        request.affinity = Some(session);
    }
    let output = 10 + draw.within((0, 9)) * draw.within((0, 9)) * 6;
    let hint = output * draw.within((40, 100)) * draw.within((100, 250)) / 10_000;
    request.demand.output_hint = Some(tokens(hint));
    (request, output)
}

/// Picks as a daemon does without a placer.
fn pick_by_prefix(request: &Request, targets: &[Engine], engines: &[SimulatedEngine]) -> usize {
    let candidates = targets.iter().zip(engines);
    let candidates = candidates.map(|(target, engine)| Candidate {
        target: target.target.clone(),
        load: u32::try_from(engine.load()).expect("it is small"),
        slots: SLOTS,
        is_avoided: false,
        is_same_domain: true,
    });
    let candidates: Vec<Candidate> = candidates.collect();
    selection::pick(&candidates, request.affinity, 0).expect("there are engines")
}

fn report(stream: &Stream, target: &name::Target, now: u64) -> Finish {
    Finish {
        attempt: stream.request.attempt.clone(),
        target: target.clone(),
        first: Some(Millis(stream.first / 1_000)),
        events: stream.events,
        took: Millis(now - stream.sent / 1_000),
        longest_gap: Millis(stream.longest_gap / 1_000),
        slowness_percent: Some(stream.slowness_percent),
        end: End::Complete,
    }
}

fn play(scenario: Scenario, is_by_cost: bool) -> Outcome {
    let targets = engines(ENGINES);
    let speed_percent = |index| match (scenario.has_slow_engines, index % 4) {
        (false, _) => 100,
        (true, 0) => 55,
        (true, _) => 120,
    };
    let engine = |index| {
        let slow_offset = scenario.has_slow_periods.then_some(index * 4_273);
        SimulatedEngine::new(speed_percent(index), slow_offset)
    };
    let mut engines: Vec<SimulatedEngine> = (0..ENGINES as u64).map(engine).collect();
    let mut ledger = Ledger::new(SLOTS, None, STRIDE);
    let mut draw = Draw(5);
    let mut loss_draw = Draw(1 << 32);
    let mut reports: Vec<(u64, Finish)> = Vec::new();
    let mut streams = Vec::new();
    let mut attempts = 0;
    for now in 0..ARRIVALS_MS + 20_000 {
        if scenario.new_placer_ms == Some(now) {
            ledger = Ledger::new(SLOTS, None, STRIDE);
        }
        if now < ARRIVALS_MS && draw.within((1, 1_000)) <= 260 {
            attempts += 1;
            let (request, output_tokens) = arrival(attempts, &mut draw);
            let index = if is_by_cost {
                let placed = ledger.place(&request, &targets, Millis(now));
                let target = placed.expect("there are engines").target;
                let index = targets.iter().position(|known| known.target == target);
                index.expect("it is an engine")
            } else {
                pick_by_prefix(&request, &targets, &engines)
            };
            engines[index].send(request, output_tokens, now * 1_000);
        }
        for (engine, target) in engines.iter_mut().zip(&targets) {
            for stream in engine.advance(now * 1_000) {
                if loss_draw.within((1, 100)) > scenario.lost_reports_percent {
                    let finish = report(&stream, &target.target, now);
                    reports.push((now + scenario.report_delay_ms, finish));
                }
                streams.push(stream);
            }
        }
        for (_, finish) in reports.extract_if(.., |(at, _)| *at <= now) {
            ledger.finish(&finish, Millis(now));
        }
        if now % 500 == 0 {
            ledger.expire(|_| true, Millis(now));
        }
    }
    assert_eq!(streams.len() as u64, attempts, "every stream ends");
    Outcome::new(&mut streams)
}

/// Clients need at most one late stream in 50, and no more than a quarter of those before,
/// without a longer wait for the others or for large prompts.
fn compare(name: &str, scenario: Scenario) {
    let before = play(scenario, false);
    let after = play(scenario, true);
    println!("{name}: before {before:?}, after {after:?}");
    let late = after.late_by_gap + after.late_by_first;
    let late_before = before.late_by_gap + before.late_by_first;
    assert!(late * 4 <= late_before, "{name}: {late} of {late_before}");
    assert!(late * 50 <= after.streams, "{name}: {late} late");
    assert!(after.mean_first_ms <= before.mean_first_ms, "{name}");
    assert!(after.largest_first_ms <= before.largest_first_ms, "{name}");
}

const ALIKE: Scenario = Scenario {
    has_slow_engines: false,
    has_slow_periods: false,
    report_delay_ms: 0,
    lost_reports_percent: 0,
    new_placer_ms: None,
};

const MIXED: Scenario = Scenario {
    has_slow_engines: true,
    ..ALIKE
};

/// The prefix alone sends long prompts to engines whose streams they make late.
#[test]
fn fewer_streams_are_late_with_engines_that_are_alike() {
    compare("alike", ALIKE);
    let scenario = Scenario {
        report_delay_ms: 100,
        ..ALIKE
    };
    compare("alike, late reports", scenario);
}

/// Engines whose speeds differ by a factor of 2.2, and slow down for short periods: a
/// choice that does not learn the speeds makes the streams of the slow ones late.
#[test]
fn fewer_streams_are_late_with_engines_of_two_speeds() {
    compare("mixed", MIXED);
    let scenario = Scenario {
        has_slow_periods: true,
        ..MIXED
    };
    compare("mixed, slow periods", scenario);
}

/// Reports that are late or lost, and a placer that fails, must not undo the gain.
#[test]
fn fewer_streams_are_late_with_faulty_reports_and_a_new_placer() {
    let scenario = Scenario {
        has_slow_periods: true,
        ..MIXED
    };
    let late = Scenario {
        report_delay_ms: 100,
        ..scenario
    };
    compare("late reports", late);
    let lost = Scenario {
        lost_reports_percent: 10,
        ..scenario
    };
    compare("lost reports", lost);
    let new_placer = Scenario {
        new_placer_ms: Some(10_000),
        ..scenario
    };
    compare("new placer", new_placer);
}
