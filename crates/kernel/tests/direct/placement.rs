use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::demand::Demand;
use gooseberry_kernel::request::demand::DemandPart;
use gooseberry_kernel::request::routing_table::Rank;
use gooseberry_kernel::target::placement::Engine;
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

fn place(ledger: &mut Ledger, request: &Request, engines: &[Engine], now: u64) -> Placed {
    let placed = ledger.place(request, engines, Millis(now));
    placed.expect("there are engines")
}

/// Load: several requests of one prefix at once, after a daemon has become placer. All of
/// them at the engine of the prefix would wait for each other.
#[test]
fn a_prefix_stays_at_one_engine_until_it_is_busy() {
    let engines = engines(16);
    let mut ledger = Ledger::new(16, None, 9);
    let home = place(&mut ledger, &request(0, 7, 2_000, 1_000), &engines, 0);
    let next = place(&mut ledger, &request(1, 7, 2_000, 1_000), &engines, 1_000);
    assert_eq!((&next.target, next.cached_tokens), (&home.target, 2_000));
    let mut used: Vec<name::Target> = (2..10)
        .map(|attempt| {
            place(
                &mut ledger,
                &request(attempt, 7, 2_000, 20_000),
                &engines,
                1_001,
            )
        })
        .map(|placed| placed.target)
        .collect();
    used.sort();
    used.dedup();
    assert!(used.len() >= 4, "only {used:?} are used");
}
