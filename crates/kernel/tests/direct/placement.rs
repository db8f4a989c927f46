use std::collections::BTreeSet;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::demand::Demand;
use gooseberry_kernel::request::demand::DemandPart;
use gooseberry_kernel::request::routing_table::Rank;
use gooseberry_kernel::target::placement::End;
use gooseberry_kernel::target::placement::Engine;
use gooseberry_kernel::target::placement::Finish;
use gooseberry_kernel::target::placement::Ledger;
use gooseberry_kernel::target::placement::Placed;
use gooseberry_kernel::target::placement::Request;

pub fn engines(count: usize) -> Vec<Engine> {
    let engine = |index| Engine {
        target: name::Target::new(&format!("t-{index:03}")),
        started: 1,
        domain: name::Domain::new(if index % 2 == 0 { "even" } else { "odd" }),
    };
    (0..count).map(engine).collect()
}

/// Returns a request with a shared part, of which the id is `prefix`, and one of its own.
pub fn request(attempt: u64, prefix: u64, shared_tokens: u32, own_tokens: u32) -> Request {
    let part = |chain, tokens| DemandPart { chain, tokens };
    Request {
        attempt: name::Attempt::new(&format!("a-{attempt}")),
        route: name::Route::new("r"),
        rank: Rank(0),
        demand: Demand {
            prompt_tokens: shared_tokens + own_tokens,
            parts: vec![
                part(prefix, shared_tokens),
                part(u64::MAX - attempt, own_tokens),
            ],
            max_output_tokens: 500,
            output_hint: Some(100),
        },
        affinity: Some(prefix),
        gap_max: Millis(500),
        time_left: Millis(2_000),
        preferred_domain: None,
        excluded: Vec::new(),
    }
}

fn finish(request: &Request, placed: &Placed, end: End, first: Option<u64>) -> Finish {
    Finish {
        attempt: request.attempt.clone(),
        target: placed.target.clone(),
        first: first.map(Millis),
        events: 10,
        took: Millis(first.unwrap_or_default().saturating_add(450)),
        longest_gap: Millis(50),
        slowness_percent: None,
        end,
    }
}

struct Group {
    ledger: Ledger,
    engines: Vec<Engine>,
}

impl Group {
    fn new(count: usize, slots: u32, memory_tokens: Option<u32>) -> Self {
        Self {
            ledger: Ledger::new(slots, memory_tokens, 9),
            engines: engines(count),
        }
    }

    fn place(&mut self, request: &Request, now: u64) -> Placed {
        let placed = self.ledger.place(request, &self.engines, Millis(now));
        placed.expect("there are engines")
    }

    /// Places a request with a prefix of its own.
    fn place_own(&mut self, attempt: u64, tokens: u32, now: u64) -> Placed {
        self.place(&request(attempt, attempt, 0, tokens), now)
    }
}

/// Load: several requests of one prefix at once, after a daemon has become placer. All of
/// them at the engine of the prefix would wait for each other.
#[test]
fn a_prefix_stays_at_one_engine_until_it_is_busy() {
    let mut group = Group::new(16, 16, None);
    let home = group.place(&request(0, 7, 2_000, 1_000), 0);
    let next = group.place(&request(1, 7, 2_000, 1_000), 1_000);
    assert_eq!((&next.target, next.cached_tokens), (&home.target, 2_000));
    let placed = (2..10).map(|attempt| {
        let mut request = request(attempt, 7, 2_000, 20_000);
        request.gap_max = Millis::ZERO;
        group.place(&request, 1_001).target
    });
    let used: BTreeSet<name::Target> = placed.collect();
    assert!(used.len() >= 4, "only {used:?} are used");
}

/// Load: prompts of 54,000 tokens among short streams. Read at an engine with a stream,
/// such a prompt makes it late; a short request behind it waits for all of it.
#[test]
fn long_prompts_and_streams_avoid_each_other() {
    let mut group = Group::new(4, 16, None);
    let streams = [0, 1, 2].map(|attempt| group.place_own(attempt, 20_000, 0));
    // By its prefix alone, it would go to the engine of the first stream.
    let mut long = request(10, 0, 0, 54_000);
    long.gap_max = Millis::ZERO;
    long.time_left = Millis::from_secs(100);
    let long = group.place(&long, 500);
    assert!(streams.iter().all(|stream| stream.target != long.target));
    for attempt in 11..20 {
        let placed = group.place_own(attempt, 1_000, 510);
        assert_ne!(placed.target, long.target);
        assert!(placed.wait < Millis(400), "{placed:?}");
    }
}

/// A client, or a fault in a peer, states any demand; a panic would end the daemon.
#[test]
fn extreme_demands_are_placed() {
    let mut group = Group::new(3, 0, Some(0));
    for (index, tokens) in (0..).zip([0, 1, 10_000_000, u32::MAX]) {
        for (attempt, hint) in (index * 8..).zip([None, Some(0), Some(u32::MAX)]) {
            let mut request = request(attempt, 1, 0, tokens);
            let part = |chain| DemandPart { chain, tokens };
            request.demand.parts = (0..64).map(part).collect();
            request.demand.max_output_tokens = tokens;
            request.demand.output_hint = hint;
            request.gap_max = Millis(tokens.into());
            request.time_left = Millis(hint.unwrap_or_default().into());
            let placed = group.place(&request, 0);
            let mut finish = finish(&request, &placed, End::Complete, Some(u64::MAX));
            finish.events = u32::MAX;
            finish.slowness_percent = hint;
            group.ledger.finish(&finish, Millis(0));
            group.place(&request, u64::MAX);
        }
    }
    assert!(group.ledger.error_permille().is_some());
    group.ledger.expire(|_| true, Millis::NEVER);
    let mut request = request(100, 1, 0, 100);
    request.demand.parts.clear();
    group.place(&request, u64::MAX);
    assert_eq!(group.ledger.place(&request, &[], Millis::NEVER), None);
}

/// Daemons that fail report nothing; their streams must not count for ever, nor must a
/// wrong demand close an engine for hours.
#[test]
fn unreported_requests_expire() {
    for (tokens, until) in [(500, 10_000), (10_000_000, 611_000)] {
        let mut group = Group::new(2, 1, None);
        let mut request = request(0, 1, 1_000, 100);
        request.demand.max_output_tokens = tokens;
        request.demand.output_hint = None;
        let home = group.place(&request, 0).target;
        request.attempt = name::Attempt::new("next");
        for (now, is_home) in [(500, false), (until, true)] {
            let mut ledger = group.ledger.clone();
            let placed = ledger.place(&request, &group.engines, Millis(now));
            let target = placed.expect("there are engines").target;
            assert_eq!(target == home, is_home, "at {now} ms");
        }
    }
}

/// The reading of a request that was not run is not waited for, and the one behind it reads
/// the parts of both.
#[test]
fn requests_that_were_not_run_leave_nothing_to_read() {
    let mut group = Group::new(1, 16, None);
    let requests = [0, 1].map(|attempt| request(attempt, 1, 50_000, 100));
    let placed = requests.each_ref().map(|request| group.place(request, 0));
    let probe = request(2, 1, 50_000, 100);
    for (request, cached_tokens) in requests.iter().zip([50_000, 0]) {
        let finish = finish(request, &placed[0], End::NotRun, None);
        group.ledger.finish(&finish, Millis(0));
        let placed = group
            .ledger
            .clone()
            .place(&probe, &group.engines, Millis(0));
        let placed = placed.expect("there is an engine");
        assert_eq!(placed.cached_tokens, cached_tokens);
        assert!(
            placed.wait < Millis(100) || cached_tokens == 0,
            "{placed:?}"
        );
    }
}

/// Reading a shared part at a second engine takes time from the others there, so a request
/// waits for the engine that has the part as long as it is on time, and no longer.
#[test]
fn a_cached_part_is_worth_waiting_that_is_on_time() {
    for (backlog_tokens, stays) in [(24_000, true), (120_000, false)] {
        let mut group = Group::new(2, 16, None);
        let home = group.place(&request(0, 1, 12_000, 100), 0).target;
        let mut backlog = request(1, 2, 0, backlog_tokens);
        backlog.gap_max = Millis::ZERO;
        let elsewhere = group.engines.iter().filter(|engine| engine.target != home);
        backlog.excluded = elsewhere.map(|engine| engine.target.clone()).collect();
        group.place(&backlog, 5_000);
        let placed = group.place(&request(2, 1, 12_000, 100), 5_000);
        assert_eq!(placed.target == home, stays, "{placed:?}");
    }
}

/// A request that was not run read nothing; a restarted or unlisted engine lost its cache.
#[test]
fn cached_parts_are_forgotten_when_they_are_lost() {
    let mut group = Group::new(1, 16, None);
    let cached = |group: &mut Group, attempt, end| {
        let request = request(attempt, 1, 3_000, 100);
        let placed = group.place(&request, attempt * 1_000);
        let first = (end == End::Complete).then_some(90);
        let finish = finish(&request, &placed, end, first);
        group.ledger.finish(&finish, Millis(attempt * 1_000 + 600));
        placed.cached_tokens
    };
    assert_eq!(cached(&mut group, 0, End::NotRun), 0);
    assert_eq!(cached(&mut group, 1, End::Broken), 0);
    assert_eq!(cached(&mut group, 2, End::Complete), 0);
    assert_eq!(cached(&mut group, 3, End::NotRun), 3_000);
    assert_eq!(cached(&mut group, 4, End::Complete), 3_000);
    group.engines[0].started = 2;
    assert_eq!(cached(&mut group, 5, End::Complete), 0);
    assert_eq!(cached(&mut group, 6, End::Complete), 3_000);
    group.ledger.expire(|_| false, Millis(7_000));
    assert_eq!(cached(&mut group, 7, End::Complete), 0);
}

/// Thousands of prefixes pass through an engine; the ledger must not grow with them, and
/// must not count on parts that the engine's memory cannot hold.
#[test]
fn cached_parts_are_limited_in_number_and_by_memory() {
    for (memory, kept) in [(None, 512), (Some(100_000), 90)] {
        let mut group = Group::new(1, 16, memory);
        for attempt in 0..2_000 {
            let request = request(attempt, attempt, 1_000, 1);
            let placed = group.place(&request, attempt);
            let finish = finish(&request, &placed, End::Complete, Some(1));
            group.ledger.finish(&finish, Millis(attempt));
        }
        for (age, cached) in [(kept, 1_000), (kept + 20, 0)] {
            let placed = group.place(&request(5_000, 2_000 - age, 1_000, 1), 2_000);
            assert_eq!(placed.cached_tokens, cached, "{memory:?}");
        }
    }
}

/// An engine without a free slot or memory refuses requests or lets them wait.
#[test]
fn slots_and_memory_limit_what_an_engine_gets() {
    for (slots, memory, most) in [(16, None, 6), (2, None, 2), (16, Some(41_300), 2)] {
        let mut group = Group::new(3, slots, memory);
        // All six want the engine that has their prefix.
        let requests = (0..6).map(|attempt| request(attempt, 1, 40_000, 500));
        let placed: Vec<name::Target> = (0..)
            .zip(requests)
            .map(|(index, request)| group.place(&request, index * 700).target)
            .collect();
        let count = |engine: &Engine| placed.iter().filter(|name| **name == engine.target).count();
        assert_eq!(group.engines.iter().map(count).max(), Some(most));
    }
}

/// An engine that refused a request must not get it again, and inputs in another domain
/// are fetched over a slow path.
#[test]
fn excluded_engines_are_not_used_and_the_preferred_domain_is() {
    let mut group = Group::new(12, 16, None);
    let mut request = request(0, 1, 1_000, 1_000);
    request.preferred_domain = Some(name::Domain::new("odd"));
    for index in 0..12 {
        let target = group.place(&request, 0).target;
        assert!(!request.excluded.contains(&target));
        let mut odd = group.engines.iter().skip(1).step_by(2);
        assert_eq!(odd.any(|engine| engine.target == target), index < 6);
        request.excluded.push(target);
    }
    assert_eq!(
        group.ledger.place(&request, &group.engines, Millis(0)),
        None
    );
}

/// Load: sessions go on while another daemon becomes placer. Without what the former one
/// knows, they would leave the engines that have their prompts, and go to slow ones.
#[test]
fn a_new_placer_goes_on_with_what_the_former_one_knows() {
    let mut group = Group::new(8, 16, None);
    // Slow engines that the hash would choose are known, and one prefix is away from home.
    let home = group.place(&request(0, 7, 5_000, 100), 0).target;
    let mut away = request(1, 8, 5_000, 100);
    let by_hash = group.ledger.clone().place(&away, &group.engines, Millis(0));
    away.excluded = by_hash.into_iter().map(|placed| placed.target).collect();
    let placed = group.place(&away, 0);
    let first = finish(&away, &placed, End::Complete, Some(100));
    group.ledger.finish(&first, Millis(600));
    for attempt in 10..40 {
        let mut slow = request(attempt, 7, 5_000, 100);
        let others = group.engines.iter().filter(|engine| engine.target != home);
        slow.excluded = others.map(|engine| engine.target.clone()).collect();
        let placed = group.place(&slow, attempt * 1_000);
        let mut end = finish(&slow, &placed, End::Complete, Some(1_000));
        end.took = Millis(3_000);
        group.ledger.finish(&end, Millis(attempt * 1_000 + 900));
    }
    let now = Millis(40_000);
    let mut new = Ledger::new(16, None, 9);
    new.adopt(group.ledger.summaries(Millis(20_000)), now);
    let place = |attempt, prefix| {
        let request = request(attempt, prefix, 5_000, 100);
        let placed = new.clone().place(&request, &group.engines, now);
        placed.expect("there are engines").target
    };
    assert_eq!(place(50, 8), placed.target);
    // Of the prefixes that nobody has cached, none goes to the slow engine.
    assert!((100..150).all(|prefix| place(prefix, prefix) != home));
    // An engine that has started again has lost what was cached.
    let mut restarted = Ledger::new(16, None, 9);
    let mut engines = group.engines.clone();
    for engine in &mut engines {
        engine.started += 1;
    }
    restarted.adopt(group.ledger.summaries(Millis(20_000)), now);
    let placed = restarted.place(&request(60, 8, 5_000, 100), &engines, now);
    assert_eq!(placed.map(|placed| placed.cached_tokens), Some(0));
}
