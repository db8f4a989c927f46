//! Plays the return of the clients of a whole fleet at one stage service, beside its usual
//! load, and checks what both get.

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::routing_table::BatchSpec;
use gooseberry_kernel::request::routing_table::Rank;
use gooseberry_kernel::stage::batch_queue::BatchCall;
use gooseberry_kernel::stage::batch_queue::BatchQueue;
use gooseberry_kernel::stage::batch_queue::StageTarget;
use gooseberry_kernel::stage::group::Group;
use gooseberry_kernel::stage::group::Source;
use gooseberry_kernel::stage::urgency;

const SPEC: BatchSpec = BatchSpec {
    max_pieces: 22,
    call_micros: 240_000,
    piece_micros: 9_400,
    result_capacity_bytes: u64::MAX,
    result_ttl: Millis(4_000),
};
const TARGETS: usize = 5;
const PIECES: u32 = 8;
/// The intervals of the usual requests, which take 0.70 to 0.85 of what the targets compute.
const USUAL_INTERVALS: [u64; 3] = [46, 42, 38];
const USUAL: u64 = 400;
/// The usual requests have these ranks in turn, and the streams the last one.
const RANKS: [Rank; 3] = [Rank(0), Rank(1), Rank(4)];
const OBJECTIVE: Millis = Millis(2_200);
const TIMEOUT: Millis = Millis(15_000);
/// The streams that come back, within 60 ms.
const RESUMED: u64 = 30;
const RETURN: u64 = 8_000;

/// How many requests were answered.
#[derive(Debug, Default, PartialEq, Eq)]
struct Answered {
    /// Usual requests, on time.
    on_time: usize,
    /// Usual requests, on time or late.
    usual: usize,
    /// Streams, before their clients left.
    resumed: usize,
}

struct Arrival {
    at: Millis,
    group: Group,
}

fn group(attempt: &str, rank: Rank, due: Millis, leaves_at: Millis) -> Group {
    Group {
        attempt: name::Attempt::new(attempt),
        stage: 0,
        pieces: (0..PIECES).collect(),
        source: Source::Key("key".to_owned()),
        result_bytes: 1,
        rank,
        on_time_deadline: due,
        deadline: leaves_at,
        inputs_expire_at: Millis::NEVER,
        preferred_domain: None,
        is_first: true,
        late_extra: Millis::ZERO,
    }
}

fn usual(number: u64, interval: u64) -> Arrival {
    let at = Millis(number * interval);
    let due = urgency::on_time_by(at + OBJECTIVE, at + TIMEOUT);
    let rank = RANKS[usize::try_from(number).expect("it is small") % RANKS.len()];
    let rank = urgency::stage_rank(rank, false);
    let group = group(&format!("usual-{number}"), rank, due, at + TIMEOUT);
    Arrival { at, group }
}

/// A stream whose client has 0.7 to 2.2 s left.
fn resumed(number: u64, goes_on: bool) -> Arrival {
    let at = Millis(RETURN + number * 2);
    let leaves_at = at + Millis(700 + number * 50);
    let mut due = at + OBJECTIVE;
    if goes_on {
        due = urgency::on_time_by(due, leaves_at);
    }
    let rank = urgency::stage_rank(RANKS[2], goes_on);
    let group = group(&format!("resumed-{number}"), rank, due, leaves_at);
    Arrival { at, group }
}

/// A stream whose client has waited for longer than the objective and has 5 to 6 s left.
fn resumed_late(number: u64, counts_as_late: bool) -> Arrival {
    let at = Millis(RETURN + number * 2);
    let leaves_at = at + Millis(5_000 + number * 33);
    let due = urgency::useful_by(at, leaves_at, !counts_as_late);
    let rank = urgency::stage_rank(RANKS[2], true);
    let mut group = group(&format!("resumed-{number}"), rank, due, leaves_at);
    group.is_first = false;
    Arrival { at, group }
}

fn play(mut arrivals: Vec<Arrival>) -> Answered {
    let targets = (0..TARGETS).map(|index| StageTarget {
        name: name::Target::new(&format!("t-{index}")),
        domain: name::Domain::new("z-1"),
        is_avoided: false,
    });
    let targets: Vec<StageTarget> = targets.collect();
    let mut queue = BatchQueue::default();
    let mut calls: Vec<BatchCall> = Vec::new();
    let mut answered = Answered::default();
    for now in (0..30_000).map(Millis) {
        let ended = calls.extract_if(.., |call| call.expected_end <= now);
        for call in ended.collect::<Vec<_>>() {
            queue.finish_call(&call.target);
            for part in call.parts {
                if !part.group.attempt.as_str().starts_with("usual") {
                    answered.resumed += usize::from(now <= part.group.deadline);
                    continue;
                }
                answered.on_time += usize::from(now <= part.group.on_time_deadline);
                answered.usual += usize::from(now <= part.group.deadline);
            }
        }
        let arrived = arrivals.extract_if(.., |arrival| arrival.at <= now);
        for Arrival { group, .. } in arrived.collect::<Vec<_>>() {
            match queue.admit(&group, TARGETS, &SPEC, now) {
                Ok(()) => {
                    queue.push(group, now);
                }
                // A client comes back if it has three times as long left.
                Err(retry_after) if retry_after * 3 <= group.deadline - now => {
                    let at = now + retry_after;
                    arrivals.push(Arrival { at, group });
                }
                Err(_) => {}
            }
        }
        queue.expire(TARGETS, &SPEC, now);
        while let Some(call) = queue.next_call(&targets, &SPEC, now) {
            calls.push(call);
        }
    }
    answered
}

/// All streams have time for one call. Without their priority they wait behind requests that
/// have seven times as much time, and their clients leave.
#[test]
fn streams_that_come_back_at_once_go_on_before_their_clients_leave() {
    for interval in USUAL_INTERVALS {
        let both = |goes_on| {
            let usual = (0..USUAL).map(|number| usual(number, interval));
            let resumed = (0..RESUMED).map(|number| resumed(number, goes_on));
            play(usual.chain(resumed).collect())
        };
        let (known, unknown) = (both(true), both(false));
        assert!(known.resumed * 10 >= 9 * 30, "{known:?}, {unknown:?}");
        assert!(
            unknown.resumed * 2 < known.resumed,
            "{known:?}, {unknown:?}"
        );
        // Some of the others are turned away instead, and no more than go on.
        let lost = unknown.usual - known.usual;
        let gained = known.resumed - unknown.resumed;
        assert!(lost <= gained, "{known:?}, {unknown:?}");
    }
}

/// The streams are at their second stage. As late requests they get what new ones leave.
#[test]
fn streams_that_come_back_after_their_objective_are_not_lost_to_new_requests() {
    for interval in [38, 34, 30] {
        let both = |counts_as_late| {
            let usual = (0..USUAL).map(|number| usual(number, interval));
            let resumed = (0..RESUMED).map(|number| resumed_late(number, counts_as_late));
            play(usual.chain(resumed).collect())
        };
        let (useful, late) = (both(false), both(true));
        assert!(useful.resumed >= 27, "{useful:?}, {late:?}");
        assert!(late.resumed < 15, "{useful:?}, {late:?}");
        let lost = late.usual.saturating_sub(useful.usual);
        let gained = useful.resumed - late.resumed;
        assert!(lost <= gained, "{useful:?}, {late:?}");
    }
}

#[test]
fn only_a_stream_whose_beginning_is_known_goes_first() {
    assert_eq!(urgency::stage_rank(Rank(4), false), Rank(4));
    assert_eq!(urgency::stage_rank(Rank(4), true), Rank(0));
}

#[test]
fn an_answer_that_comes_after_its_client_has_left_is_not_on_time() {
    assert_eq!(urgency::on_time_by(Millis(900), Millis(400)), Millis(400));
    assert_eq!(urgency::on_time_by(Millis(900), Millis(4_000)), Millis(900));
}
