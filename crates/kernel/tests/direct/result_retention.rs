//! Results that a stage has read are retained for retries of its failed pieces,
//! unless their memory is needed.

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::routing_table::BatchSpec;
use gooseberry_kernel::request::routing_table::Rank;
use gooseberry_kernel::stage::batch_queue::BatchQueue;
use gooseberry_kernel::stage::batch_queue::StageTarget;
use gooseberry_kernel::stage::group::Group;
use gooseberry_kernel::stage::group::Source;
use gooseberry_kernel::stage::result_tracker::RETENTION;

/// A target has memory for the results of three full calls.
const SPEC: BatchSpec = BatchSpec {
    max_pieces: 10,
    call_micros: 200_000,
    piece_micros: 0,
    result_capacity_bytes: 3_000,
    result_ttl: Millis(4_000),
};

fn group(attempt: &str, pieces: u32) -> Group {
    Group {
        attempt: name::Attempt::new(attempt),
        stage: 0,
        pieces: (0..pieces).collect(),
        source: Source::Key("key".to_owned()),
        result_bytes: 100,
        rank: Rank(1),
        on_time_deadline: Millis(9_000),
        deadline: Millis(10_000),
        inputs_expire_at: Millis::NEVER,
        preferred_domain: None,
        is_first: true,
        late_extra: Millis::ZERO,
    }
}

/// Computes a group of ten pieces with a call from `at` to `at` + 200 ms, and
/// returns its results.
fn compute(queue: &mut BatchQueue, attempt: &str, at: Millis) -> Vec<name::Handle> {
    let target = StageTarget {
        name: name::Target::new("m-0"),
        domain: name::Domain::new("z-0"),
        is_avoided: false,
    };
    queue.push(group(attempt, 10), at);
    let call = queue.next_call(&[target], &SPEC, at);
    let call = call.expect("the target is free");
    queue.finish_call(&call.target);
    let handles = (0..10).map(|piece| name::Handle::new(&format!("{attempt}-{piece}")));
    let handles: Vec<name::Handle> = handles.collect();
    for handle in &handles {
        let (bytes, ttl) = (call.parts[0].group.result_bytes, SPEC.result_ttl);
        let results = queue.results();
        results.track(handle.clone(), &call.target, bytes, ttl, call.expected_end);
    }
    handles
}

fn freed_count(queue: &mut BatchQueue, now: Millis) -> usize {
    let freed = queue.take_freed(&SPEC, now);
    freed.iter().map(|(_, handles)| handles.len()).sum()
}

#[test]
fn read_results_stay_while_the_next_call_fits_beside_them() {
    let mut queue = BatchQueue::default();
    let first = compute(&mut queue, "first", Millis(0));
    assert!(queue.results().release(&first, Millis(300)).is_empty());
    assert_eq!(freed_count(&mut queue, Millis(350)), 0);
    let last_moment = Millis(300) + RETENTION - Millis(1);
    assert_eq!(freed_count(&mut queue, last_moment), 0);
    assert_eq!(freed_count(&mut queue, Millis(300) + RETENTION), 10);
}

/// With the results of two calls at the target a third call fits, but not if
/// another one follows.
#[test]
fn read_results_go_when_the_next_call_needs_their_memory() {
    let mut queue = BatchQueue::default();
    let first = compute(&mut queue, "first", Millis(0));
    let second = compute(&mut queue, "second", Millis(200));
    queue.results().release(&first, Millis(450));
    assert_eq!(freed_count(&mut queue, Millis(450)), 0);
    let third = compute(&mut queue, "third", Millis(500));
    assert_eq!(freed_count(&mut queue, Millis(700)), 10);
    queue.results().remove_freed(&first, Millis(710));
    // Results that are still to be read are never freed for others.
    assert_eq!(freed_count(&mut queue, Millis(720)), 0);
    queue.results().release(&second, Millis(730));
    queue.results().release(&third, Millis(730));
    assert_eq!(freed_count(&mut queue, Millis(740)), 0);
}

/// While a call runs, the memory of the next one is not needed yet. It must be
/// free when the call ends, so it is reclaimed shortly before.
#[test]
fn memory_is_reclaimed_shortly_before_the_running_call_ends() {
    let mut queue = BatchQueue::default();
    let target = StageTarget {
        name: name::Target::new("m-0"),
        domain: name::Domain::new("z-0"),
        is_avoided: false,
    };
    let first = compute(&mut queue, "first", Millis(0));
    let second = compute(&mut queue, "second", Millis(200));
    queue.results().release(&first, Millis(400));
    queue.results().release(&second, Millis(400));
    queue.push(group("running", 10), Millis(400));
    let running = queue.next_call(std::slice::from_ref(&target), &SPEC, Millis(400));
    let end = running.expect("the target is free").expected_end;
    assert_eq!(freed_count(&mut queue, Millis(401)), 0);
    assert_eq!(freed_count(&mut queue, end - Millis(100)), 20);
}

/// The time of retention must not count as time that requests need the memory:
/// the estimated waits would grow, and clients would be refused in vain.
#[test]
fn retention_does_not_lengthen_the_mean_lifetime() {
    let mut queue = BatchQueue::default();
    let before = queue.results().mean_lifetime();
    for round in 0..20 {
        let start = Millis(round * 2_000);
        let results = compute(&mut queue, &format!("round-{round}"), start);
        queue.results().release(&results, start + Millis(300));
        let end = start + Millis(300) + RETENTION;
        assert_eq!(freed_count(&mut queue, end), 10);
        queue.results().remove_freed(&results, end);
    }
    assert!(queue.results().mean_lifetime() < before);
}

#[test]
fn results_of_failed_groups_are_not_retained() {
    let mut queue = BatchQueue::default();
    let results = compute(&mut queue, "first", Millis(0));
    assert!(queue.results().free(&results).is_empty());
    assert_eq!(freed_count(&mut queue, Millis(210)), 10);
}
