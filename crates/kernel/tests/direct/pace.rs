use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::routing_table::BatchSpec;
use gooseberry_kernel::request::routing_table::Rank;
use gooseberry_kernel::stage::batch_queue::BatchCall;
use gooseberry_kernel::stage::batch_queue::BatchQueue;
use gooseberry_kernel::stage::batch_queue::StageTarget;
use gooseberry_kernel::stage::group::Group;
use gooseberry_kernel::stage::group::Source;
use gooseberry_kernel::stage::pace::Pace;
use gooseberry_kernel::stage::pace::Paces;
use gooseberry_kernel::stage::pace::Sample;

/// A full call takes 444 ms.
const SPEC: BatchSpec = BatchSpec {
    max_pieces: 60,
    call_micros: 240_000,
    piece_micros: 3_400,
    result_capacity_bytes: 1_000_000,
    result_ttl: Millis(4_000),
};

fn targets(count: usize) -> Vec<StageTarget> {
    let target = |index| StageTarget {
        name: name::Target::new(&format!("t-{index}")),
        domain: name::Domain::new("z"),
        is_avoided: false,
    };
    (0..count).map(target).collect()
}

fn group(pieces: u32, now: Millis) -> Group {
    Group {
        attempt: name::Attempt::new("a"),
        stage: 0,
        pieces: (0..pieces).collect(),
        source: Source::Key(String::new()),
        result_bytes: 100,
        rank: Rank(1),
        on_time_deadline: now + Millis(2_000),
        deadline: now + Millis(8_000),
        inputs_expire_at: Millis::NEVER,
        preferred_domain: None,
        is_first: true,
        late_extra: Millis::ZERO,
    }
}

fn pieces(call: &BatchCall) -> usize {
    call.parts.iter().map(|part| part.group.pieces.len()).sum()
}

#[test]
fn a_pace_follows_the_calls_of_its_target_and_is_forgotten_without_any() {
    let target = name::Target::new("t");
    let mut paces = Paces::default();
    let mut record = |sample, at| {
        paces.record(&target, Millis(400), sample, Millis(at));
        paces.pace(&target, Millis(at))
    };
    assert_eq!(record(Sample::Answered(Millis(300)), 0), Pace(100));
    assert_eq!(record(Sample::Answered(Millis(1_600)), 0), Pace(250));
    // The next call would be given up, too, if it was only averaged.
    assert_eq!(record(Sample::GivenUp(Millis(1_500)), 0), Pace(375));
    assert_eq!(record(Sample::GivenUp(Millis(800)), 0), Pace(375));
    assert_eq!(
        record(Sample::GivenUp(Millis(u64::MAX / 200)), 0),
        Pace(1_000)
    );
    assert_eq!(record(Sample::Answered(Millis(400)), 0), Pace(550));
    assert_eq!(paces.pace(&target, Millis(10_000)), Pace(212));
    assert_eq!(paces.pace(&target, Millis(u64::MAX / 2)), Pace(100));
    assert_eq!(Pace(100).timeout(Millis(445)), Millis(1_635));
    assert_eq!(Pace(400).timeout(Millis(445)), Millis(3_860));
    assert_eq!(Pace(400).max_pieces(Pace(100), 60), 15);
    assert_eq!(Pace(400).max_pieces(Pace(400), 60), 60, "all are slow");
}

#[test]
fn a_slow_target_gets_a_smaller_call_once_the_others_have_enough_to_do() {
    let mut queue = BatchQueue::default();
    let targets = targets(2);
    let slow = &targets[0].name;
    queue.record_pace(slow, 60, Sample::GivenUp(Millis(1_776)), &SPEC, Millis(0));
    queue.push(group(6, Millis(0)), Millis(0));
    let call = queue.next_call(&targets, &SPEC, Millis(0)).expect("a call");
    assert_eq!(call.target, targets[1].name);
    // The other target ends its call and two full ones before the slow one ends any.
    for _ in 0..20 {
        queue.push(group(6, Millis(0)), Millis(0));
    }
    assert_eq!(queue.next_call(&targets, &SPEC, Millis(0)), None);
    for _ in 0..10 {
        queue.push(group(6, Millis(0)), Millis(0));
    }
    let call = queue.next_call(&targets, &SPEC, Millis(0)).expect("a call");
    assert_eq!((&call.target, pieces(&call)), (slow, 12));
    assert_eq!(call.expected_end, Millis(4 * 281));
    queue.finish_call(slow);
    // What it could not compute in time is not sent to it at all.
    let mut queue = BatchQueue::default();
    queue.record_pace(slow, 60, Sample::GivenUp(Millis(1_776)), &SPEC, Millis(0));
    queue.push(group(60, Millis(0)), Millis(0));
    queue.next_call(&targets, &SPEC, Millis(0)).expect("a call");
    for _ in 0..60 {
        let useless = Group {
            deadline: Millis(1_000),
            ..group(6, Millis(0))
        };
        queue.push(useless, Millis(0));
    }
    assert_eq!(queue.next_call(&targets, &SPEC, Millis(0)), None);
}

/// Plays 20 s with five targets, one of which takes four times as long from the start on.
/// Returns how many of the pieces were ready in time, in percent, and how many were given up.
fn play(learns: bool) -> (usize, usize) {
    let targets = targets(5);
    let mut queue = BatchQueue::default();
    // The calls at each target: when it ends, when it is given up, and since when it runs.
    let mut calls: Vec<(Millis, Millis, Millis, BatchCall)> = Vec::new();
    let mut is_free_at = [Millis::ZERO; 5];
    let (mut offered, mut in_time, mut given_up) = (0, 0, 0);
    for now in (0..20_000).map(Millis) {
        if now.0.is_multiple_of(14) {
            queue.push(group(6, now), now);
            offered += 6;
        }
        let is_over = |call: &(Millis, Millis, Millis, BatchCall)| call.0.min(call.1) <= now;
        while let Some(index) = calls.iter().position(is_over) {
            let (end, _, sent, call) = calls.swap_remove(index);
            queue.finish_call(&call.target);
            let count = pieces(&call);
            let sample = if end <= now {
                let ready = call.parts.iter();
                let ready = ready.filter(|part| now <= part.group.on_time_deadline);
                in_time += ready.map(|part| part.group.pieces.len()).sum::<usize>();
                Sample::Answered(now - sent)
            } else {
                given_up += count;
                for part in call.parts {
                    queue.requeue(part.ticket, part.group, now);
                }
                Sample::GivenUp(now - sent)
            };
            if learns {
                queue.record_pace(&call.target, count, sample, &SPEC, now);
            }
        }
        queue.expire(5, &SPEC, now);
        while let Some(call) = queue.next_call(&targets, &SPEC, now) {
            let index = targets.iter().position(|target| target.name == call.target);
            let index = index.expect("it is one of them");
            let expected = SPEC.call_duration(u32::try_from(pieces(&call)).expect("few"));
            let factor = if index == 0 { 4 } else { 1 };
            // A call that is given up is computed nevertheless.
            let end = is_free_at[index].max(now) + Millis(expected.0 * factor);
            is_free_at[index] = end;
            calls.push((end, now + call.timeout, now, call));
        }
    }
    (in_time * 100 / offered, given_up)
}

#[test]
fn learning_the_pace_of_a_slow_target_saves_its_calls() {
    let (without, with) = (play(false), play(true));
    println!("in time, given up: {without:?} without, {with:?} with");
    assert!(with.0 >= without.0);
    assert!(with.1 <= 60 && without.1 > 300, "{without:?} {with:?}");
}
