//! A target never gets more calls than its adaptive concurrency limit allows.

#![allow(missing_docs, clippy::unwrap_used)]

mod policy_site;

use arbitrary::Unstructured;
use arbtest::arbtest;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::concurrency_limit::ReportedState;
use gooseberry_kernel::concurrency_limit::TargetSignal;
use gooseberry_kernel::fair_queue::Order;
use gooseberry_kernel::id;
use gooseberry_kernel::node::Node;
use gooseberry_kernel::settings::Policy;
use gooseberry_kernel::slot::SlotDecision;
use gooseberry_kernel::slot::SlotRules;
use gooseberry_kernel::slot::SlotTable;
use policy_site::READY;

const DIGEST: id::Digest = id::Digest([1; 32]);
const WARM: TargetSignal = TargetSignal::Answered(Some(ReportedState::Warm));
const COLD: TargetSignal = TargetSignal::Answered(Some(ReportedState::Cold));
const LATENCY: Millis = Millis(100);
/// The number of random runs, each with a seed of its own.
const RUN_COUNT: u64 = 200;
/// The number of random bytes that each run may use.
const RUN_BYTES: u64 = 4096;

fn limit(node: &Node, now: Millis) -> u32 {
    // With one call in flight, the load is 100 percent divided by the limit.
    100 / node.load_percent(&policy_site::target(0), now).unwrap()
}

/// Starts calls until one is not granted a slot, and returns the numbers of the
/// started ones.
fn fill(node: &mut Node, from: u16, now: Millis) -> Vec<u16> {
    let is_started = |number: &u16| {
        let call = policy_site::call(0, *number, now + Millis(9000));
        let start = node.start_call(&call, now);
        if start == Ok(SlotDecision::Queued) {
            node.cancel_call(&call.target, call.attempt);
        }
        start == Ok(SlotDecision::Granted)
            && node.permit_send(&call.target, call.attempt, now).is_ok()
    };
    (from..from + 40).take_while(is_started).collect()
}

fn finish(node: &mut Node, number: u16, signal: TargetSignal, now: Millis) {
    let attempt = policy_site::attempt(number);
    node.finish_call(&policy_site::target(0), attempt, signal, DIGEST, now);
}

/// Warms the target up and returns the node and the time afterwards.
fn warm_node() -> (Node, Millis) {
    let mut node = policy_site::node("adaptive", 1);
    let mut now = READY;
    for round in 0..4 {
        let sent = fill(&mut node, round * 40, now);
        now = now + LATENCY;
        for number in sent {
            finish(&mut node, number, WARM, now);
        }
    }
    (node, now)
}

#[test]
fn warm_answers_reach_the_warm_limit_within_four_rounds() {
    let (mut node, now) = warm_node();
    assert_eq!(fill(&mut node, 1000, now).len(), 16);
    assert!(node.take_violations().is_empty());
}

#[test]
fn answers_to_calls_sent_before_the_reset_do_not_raise_the_limit() {
    let (mut node, now) = warm_node();
    let sent = fill(&mut node, 1000, now);
    let now = now + LATENCY;
    finish(&mut node, sent[0], COLD, now);
    for number in &sent[1..] {
        finish(&mut node, *number, WARM, now);
    }
    assert_eq!(fill(&mut node, 2000, now).len(), 2);
}

#[test]
fn an_idle_target_is_probed_at_its_cold_limit() {
    let (mut node, now) = warm_node();
    let now = now + Millis(5000);
    let sent = fill(&mut node, 1000, now);
    assert_eq!(sent.len(), 2);
    finish(&mut node, sent[0], WARM, now + LATENCY);
    assert_eq!(fill(&mut node, 2000, now + LATENCY).len(), 15);
}

#[test]
fn a_silent_busy_target_gets_nothing_above_its_cold_limit() {
    let (mut node, now) = warm_node();
    let sent = fill(&mut node, 1000, now);
    finish(&mut node, sent[0], WARM, now + LATENCY);
    let silent = now + LATENCY + Millis(501);
    assert_eq!(fill(&mut node, 2000, silent).len(), 0);
    finish(&mut node, sent[1], WARM, silent);
    assert_eq!(fill(&mut node, 3000, silent).len(), 2);
}

#[test]
fn a_call_delayed_by_a_process_pause_loses_its_slot() {
    let (mut node, now) = warm_node();
    let call = policy_site::call(0, 1000, now + Millis(60_000));
    assert_eq!(node.start_call(&call, now), Ok(SlotDecision::Granted));
    let resumed_at = now + Millis(9000);
    fill(&mut node, 2000, resumed_at);
    assert!(
        node.permit_send(&call.target, call.attempt, resumed_at)
            .is_err()
    );
    assert!(node.take_violations().is_empty());
}

#[test]
fn an_abandoned_call_keeps_its_slot_until_the_longest_call_has_passed() {
    let mut node = policy_site::node("adaptive", 1);
    assert_eq!(fill(&mut node, 1, READY).len(), 2);
    assert_eq!(fill(&mut node, 100, READY + Millis(7999)).len(), 0);
    assert_eq!(fill(&mut node, 200, READY + Millis(8000)).len(), 2);
}

/// Runs rounds of as many calls as the limit allows. Returns the mean number of
/// calls in the last 20 rounds.
///
/// After 20 rounds with a constant latency, the calls of a round take
/// `latency(number of calls)` milliseconds.
fn rounds(count: u16, latency: impl Fn(u64) -> u64) -> usize {
    let (mut node, mut now) = warm_node();
    let mut last_calls = 0;
    for index in 0..count {
        let is_steady = index < 20;
        let sent = fill(&mut node, 1000 + index * 40, now);
        let calls = u64::try_from(sent.len()).unwrap();
        now = now
            + if is_steady {
                LATENCY
            } else {
                Millis(latency(calls))
            };
        for number in &sent {
            finish(&mut node, *number, WARM, now);
        }
        last_calls += if index + 20 >= count { sent.len() } else { 0 };
    }
    assert!(node.take_violations().is_empty());
    last_calls / 20
}

#[test]
fn a_target_that_slows_down_with_its_calls_gets_fewer() {
    let calls = rounds(100, |calls| 100 + 60 * calls.saturating_sub(6));
    assert!((5..=11).contains(&calls), "{calls} calls at a time");
}

#[test]
fn a_target_with_slower_work_keeps_its_limit() {
    assert_eq!(rounds(60, |_| 1000), 16);
}

#[test]
fn the_limit_climbs_back_when_the_target_is_fast_again() {
    let latency = |calls: u64| 100 + 60 * calls.saturating_sub(6);
    let slow_for = 60;
    let index = std::cell::Cell::new(0);
    let calls = rounds(300, |calls| {
        index.set(index.get() + 1);
        if index.get() < slow_for {
            latency(calls)
        } else {
            100
        }
    });
    assert_eq!(calls, 16);
}

/// The target of a random run, which may turn cold once, at any time.
#[derive(Default)]
struct TargetModel {
    is_cold: bool,
    is_cold_reported: bool,
    running: Vec<u16>,
}

impl TargetModel {
    fn send(&mut self, node: &mut Node, number: u16, now: Millis) {
        let attempt = policy_site::attempt(number);
        if node
            .permit_send(&policy_site::target(0), attempt, now)
            .is_ok()
        {
            self.running.push(number);
            assert!(!self.is_cold_reported || self.running.len() <= 2);
        }
    }

    fn answer(&mut self, node: &mut Node, index: usize, now: Millis) {
        let attempt = policy_site::attempt(self.running.remove(index));
        self.is_cold_reported = self.is_cold;
        let signal = if self.is_cold { COLD } else { WARM };
        for wake in node.finish_call(&policy_site::target(0), attempt, signal, DIGEST, now) {
            let number = u16::try_from(wake.attempt.request.0).unwrap();
            self.send(node, number, now);
        }
    }
}

fn random_run(bytes: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let (mut node, mut now) = warm_node();
    let mut model = TargetModel::default();
    for number in 0..200 {
        now = now + Millis(bytes.int_in_range(0..=40)?);
        match bytes.int_in_range(0..=9)? {
            0 => model.is_cold |= bytes.ratio(1, 4)?,
            1..=5 => {
                let call = policy_site::call(0, number, now + Millis(9000));
                if node.start_call(&call, now) == Ok(SlotDecision::Granted) {
                    model.send(&mut node, number, now);
                }
            }
            _ if model.running.is_empty() => {}
            _ => {
                let index = bytes.choose_index(model.running.len())?;
                model.answer(&mut node, index, now);
            }
        }
        assert_eq!(node.take_violations(), Vec::<&str>::new());
    }
    Ok(())
}

#[test]
fn no_send_raises_a_target_above_its_limit_in_random_runs() {
    for seed in 0..RUN_COUNT {
        arbtest(random_run).seed(seed << 32 | RUN_BYTES).run();
    }
}

#[test]
fn the_load_shows_the_limit() {
    let mut node = policy_site::node("adaptive", 1);
    let call = policy_site::call(0, 1, READY + LATENCY);
    node.start_call(&call, READY).unwrap();
    assert_eq!(limit(&node, READY), 2);
}

#[test]
fn a_new_lease_makes_the_target_cold_and_full() {
    let (node, _) = warm_node();
    let pool = node
        .settings()
        .pool(&policy_site::query(0).pool)
        .unwrap()
        .clone();
    let rules = SlotRules {
        pool: &pool,
        policy: Policy::Adaptive,
        order: Order::Fifo,
    };
    let mut table = SlotTable::default();
    let call = |number| policy_site::call(0, number, Millis::NEVER);
    assert_eq!(
        table.acquire(&call(1), 1, rules, READY, READY + Millis(8000)),
        SlotDecision::Granted
    );
    // The reported start of a lease may move forward, once the lists from its
    // beginning have been dropped.
    let moved_start = READY + Millis(7000);
    assert_eq!(
        table.acquire(&call(2), 1, rules, moved_start, READY + Millis(8100)),
        SlotDecision::Granted
    );
    for number in [1, 2] {
        let attempt = policy_site::attempt(number);
        table.finish(&call(0).target, attempt, WARM, rules, READY + Millis(8200));
    }
    let new_start = READY + Millis(9000);
    assert_eq!(
        table.acquire(&call(3), 1, rules, new_start, new_start),
        SlotDecision::Queued
    );
    assert_eq!(
        table.load(&policy_site::target(0), rules, new_start),
        Some((3, 2))
    );
    let woken = table.tick(new_start + Millis(8000), |_| Ok((rules, new_start)));
    assert_eq!(woken.len(), 1);
}

#[test]
fn a_hand_over_ends_the_wait_and_counts_the_calls_that_run() {
    let (node, _) = warm_node();
    let pool = node
        .settings()
        .pool(&policy_site::query(0).pool)
        .unwrap()
        .clone();
    let rules = SlotRules {
        pool: &pool,
        policy: Policy::Adaptive,
        order: Order::Fifo,
    };
    let mut table = SlotTable::default();
    let running = [(policy_site::attempt(90), Millis(500))];
    let target = policy_site::target(0);
    table.take_over(&target, &running, &pool, READY, READY);
    let call = |number| policy_site::call(0, number, Millis::NEVER);
    assert_eq!(
        table.acquire(&call(1), 1, rules, READY, READY),
        SlotDecision::Granted
    );
    assert_eq!(
        table.acquire(&call(2), 1, rules, READY, READY),
        SlotDecision::Queued
    );
    assert_eq!(
        table
            .tick(READY + Millis(500), |_| Ok((rules, READY)))
            .len(),
        1
    );
}
