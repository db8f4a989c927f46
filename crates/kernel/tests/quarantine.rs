//! A request that crashes its targets is quarantined, and requests that were
//! only in the same batch are not.

#![allow(missing_docs, clippy::unwrap_used)]

mod policy_site;

use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::concurrency_limit::ReportedState;
use gooseberry_kernel::concurrency_limit::TargetSignal;
use gooseberry_kernel::id;
use gooseberry_kernel::node::Node;
use gooseberry_kernel::quarantine;
use gooseberry_kernel::quarantine::Suspects;
use gooseberry_kernel::slot::Call;
use gooseberry_kernel::slot::SlotDecision;
use policy_site::READY;

const BATCH_SIZE: u16 = 10;
const FAULTY: u16 = 4;
const WARM: TargetSignal = TargetSignal::Answered(Some(ReportedState::Warm));

fn digest(number: u16) -> id::Digest {
    id::Digest([u8::try_from(number).unwrap(); 32])
}

fn call(node: &Node, target: usize, number: u16, now: Millis) -> Call {
    let mut call = policy_site::call(target, number, now + Millis(9000));
    call.digest = digest(number);
    call.crashes = node.crashes(call.digest, &policy_site::query(0).pool, now);
    call
}

fn finish(
    node: &mut Node,
    target: usize,
    number: u16,
    signal: TargetSignal,
    now: Millis,
) -> Vec<u16> {
    let attempt = policy_site::attempt(number);
    let target = policy_site::target(target);
    let wakes = node.finish_call(&target, attempt, signal, digest(number), now);
    let granted = wakes.iter().filter(|wake| wake.refusal.is_none());
    granted
        .map(|wake| u16::try_from(wake.attempt.request.0).unwrap())
        .collect()
}

/// Warms a target up until its limit allows the whole batch.
fn warm(node: &mut Node, target: usize) {
    for number in 100..108 {
        let call = call(node, target, number, READY);
        assert_eq!(node.start_call(&call, READY), Ok(SlotDecision::Granted));
        finish(node, target, number, WARM, READY);
    }
}

fn is_refused(node: &mut Node, number: u16, now: Millis) -> bool {
    let mut arrival = policy_site::arrival("desk.big", 0);
    arrival.digest = digest(number);
    let admitted = node.admit(&arrival, now);
    admitted.is_err_and(|failure| failure.kind == Kind::Quarantined)
}

/// Runs the batch at one target, where the faulty request breaks the connections
/// of all its calls.
fn broken_batch() -> Node {
    let mut node = policy_site::node("adaptive", 3);
    warm(&mut node, 0);
    for number in 0..BATCH_SIZE {
        let call = call(&node, 0, number, READY);
        assert_eq!(node.start_call(&call, READY), Ok(SlotDecision::Granted));
    }
    for number in 0..BATCH_SIZE {
        finish(&mut node, 0, number, TargetSignal::Broken, READY);
    }
    node
}

#[test]
fn of_a_broken_batch_only_the_faulty_request_is_quarantined() {
    let mut node = broken_batch();
    let mut crashes = 1;
    let mut running = Vec::new();
    for number in 0..BATCH_SIZE {
        let target = 1 + usize::from(number) % 2;
        let call = call(&node, target, number, READY);
        if node.start_call(&call, READY) == Ok(SlotDecision::Granted) {
            running.push((target, number));
        }
    }
    assert_eq!(running.len(), 2, "each target runs one suspect");
    let mut now = READY;
    while let Some((target, number)) = running.pop() {
        let is_faulty = number == FAULTY;
        crashes += u16::from(is_faulty);
        let signal = if is_faulty {
            TargetSignal::Broken
        } else {
            WARM
        };
        let mut woken = finish(&mut node, target, number, signal, now);
        now = now + Millis(500);
        for action in node.tick(now) {
            if let gooseberry_kernel::node::Action::Wake(wake) = action {
                assert_eq!(wake.refusal, None);
                woken.push(u16::try_from(wake.attempt.request.0).unwrap());
            }
        }
        running.extend(
            woken
                .into_iter()
                .map(|number| (1 + usize::from(number) % 2, number)),
        );
    }
    for number in 0..BATCH_SIZE {
        assert!(!is_refused(&mut node, number, now));
    }
    let again = call(&node, 0, FAULTY, now);
    assert_eq!(again.crashes, 2);
    assert_eq!(node.start_call(&again, now), Ok(SlotDecision::Granted));
    finish(&mut node, 0, FAULTY, TargetSignal::Broken, now);
    crashes += 1;
    for number in 0..BATCH_SIZE {
        assert_eq!(is_refused(&mut node, number, now), number == FAULTY);
    }
    assert_eq!(crashes, quarantine::QUARANTINE_CRASHES);
    let expired_at = now + quarantine::SUSPECT_TTL;
    assert!(!is_refused(&mut node, FAULTY, expired_at));
}

#[test]
fn a_suspect_runs_beside_others_but_beside_no_other_suspect() {
    let mut node = broken_batch();
    warm(&mut node, 1);
    for number in [50, FAULTY] {
        let call = call(&node, 1, number, READY);
        assert_eq!(node.start_call(&call, READY), Ok(SlotDecision::Granted));
    }
    let other = call(&node, 1, 0, READY);
    assert_eq!(node.start_call(&other, READY), Ok(SlotDecision::Queued));
    let beside = call(&node, 1, 51, READY);
    assert_eq!(node.start_call(&beside, READY), Ok(SlotDecision::Granted));
    assert_eq!(finish(&mut node, 1, FAULTY, WARM, READY), [0]);
}

#[test]
fn after_a_second_crash_a_suspect_waits_until_it_can_run_alone() {
    let mut node = broken_batch();
    finish(&mut node, 2, FAULTY, TargetSignal::Broken, READY);
    warm(&mut node, 1);
    let other = call(&node, 1, 50, READY);
    assert_eq!(node.start_call(&other, READY), Ok(SlotDecision::Granted));
    let suspect = call(&node, 1, FAULTY, READY);
    assert_eq!(node.start_call(&suspect, READY), Ok(SlotDecision::Queued));
    let behind = call(&node, 1, 51, READY);
    assert_eq!(node.start_call(&behind, READY), Ok(SlotDecision::Queued));
    assert_eq!(finish(&mut node, 1, 50, WARM, READY), [FAULTY]);
    assert_eq!(finish(&mut node, 1, FAULTY, WARM, READY), [51]);
}

#[test]
fn an_answer_from_another_pool_does_not_clear_a_suspect() {
    let mut node = broken_batch();
    let ledger = id::Target::new("ledger-0").unwrap();
    let attempt = policy_site::attempt(FAULTY);
    node.finish_call(&ledger, attempt, WARM, digest(FAULTY), READY);
    assert_eq!(call(&node, 1, FAULTY, READY).crashes, 1);
}

#[test]
fn only_a_call_that_was_at_the_target_counts_as_a_crash() {
    let mut node = policy_site::node("adaptive", 1);
    for signal in [
        TargetSignal::Unreachable,
        TargetSignal::Foreign,
        TargetSignal::Slow,
        TargetSignal::Refused(None),
    ] {
        finish(&mut node, 0, 1, signal, READY);
    }
    assert_eq!(call(&node, 0, 1, READY).crashes, 0);
}

#[test]
fn crashes_and_clearings_merge_in_any_order() {
    let (mut first, mut second, mut third) = (
        Suspects::default(),
        Suspects::default(),
        Suspects::default(),
    );
    first.record_crash(digest(1), READY);
    let early = first.snapshot(READY);
    second.merge(&early, READY);
    assert_eq!(second.crashes(&digest(1), READY), 1);
    second.record_answer(digest(1));
    third.merge(&second.snapshot(READY), READY);
    for _ in 0..3 {
        third.merge(&early, READY);
        first.merge(&third.snapshot(READY), READY);
        first.merge(&early, READY);
    }
    assert_eq!(third.crashes(&digest(1), READY), 0);
    assert_eq!(first.crashes(&digest(1), READY), 0);
    first.record_crash(digest(1), READY);
    second.merge(&first.snapshot(READY), READY);
    assert_eq!(second.crashes(&digest(1), READY), 1);
}

#[test]
fn a_suspect_expires_although_peers_repeat_it() {
    let (mut first, mut second) = (Suspects::default(), Suspects::default());
    first.record_crash(digest(1), Millis::ZERO);
    let mut now = Millis::ZERO;
    while now < quarantine::SUSPECT_TTL + Millis(1000) {
        let snapshot = first.snapshot(now);
        now = now + Millis(20);
        second.merge(&snapshot, now);
        let snapshot = second.snapshot(now);
        now = now + Millis(20);
        first.merge(&snapshot, now);
        first.expire(now);
        second.expire(now);
    }
    assert!(first.is_empty() && second.is_empty());
}

#[test]
fn a_full_table_evicts_the_oldest_suspect() {
    let mut suspects = Suspects::default();
    for number in 0..=u16::try_from(quarantine::SUSPECTS_MAX).unwrap() {
        suspects.record_crash(digest(number), Millis(u64::from(number)));
    }
    assert_eq!(suspects.crashes(&digest(0), READY), 0);
    assert_eq!(suspects.crashes(&digest(1), READY), 1);
    assert_eq!(suspects.crashes(&digest(64), READY), 1);
}
