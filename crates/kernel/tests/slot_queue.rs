//! Which calls wait for a target, which are evicted and which are refused.

#![allow(missing_docs, clippy::unwrap_used)]

mod policy_site;

use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::concurrency_limit::TargetSignal;
use gooseberry_kernel::id;
use gooseberry_kernel::node::Action;
use gooseberry_kernel::node::Node;
use gooseberry_kernel::slot::Call;
use gooseberry_kernel::slot::SlotDecision;
use gooseberry_kernel::slot::Wake;
use policy_site::READY;

const DIGEST: id::Digest = id::Digest([1; 32]);
const NO_REPORTED_STATE: TargetSignal = TargetSignal::Answered(None);

fn call(workspace: &str, number: u16, time_left: u64) -> Call {
    let mut call = policy_site::call(0, number, READY + Millis(time_left));
    call.workspace = id::Workspace::new(workspace).unwrap();
    call
}

fn number(wake: &Wake) -> u128 {
    wake.attempt.request.0
}

/// Returns a node with calls 1 and 2 in both slots of the cold target.
fn full_node() -> Node {
    let mut node = policy_site::node("adaptive", 1);
    for number in [1, 2] {
        let call = call("desk.big", number, 9000);
        assert_eq!(node.start_call(&call, READY), Ok(SlotDecision::Granted));
    }
    node
}

fn finish(node: &mut Node, number: u16, now: Millis) -> Vec<Wake> {
    let attempt = policy_site::attempt(number);
    node.finish_call(
        &policy_site::target(0),
        attempt,
        NO_REPORTED_STATE,
        DIGEST,
        now,
    )
}

fn wakes_of_tick(node: &mut Node, now: Millis) -> Vec<Wake> {
    let wake = |action| match action {
        Action::Wake(wake) => Some(wake),
        Action::SendHeartbeat(_) => None,
    };
    node.tick(now).into_iter().filter_map(wake).collect()
}

#[test]
fn workspaces_take_turns_under_a_flood_from_one() {
    let mut node = full_node();
    for number in 10..16 {
        let call = call("desk.big", number, 9000);
        assert_eq!(node.start_call(&call, READY), Ok(SlotDecision::Queued));
    }
    for number in 20..22 {
        let call = call("desk.small", number, 9000);
        assert_eq!(node.start_call(&call, READY), Ok(SlotDecision::Queued));
    }
    let mut order = Vec::new();
    let mut next = 1;
    for _ in 0..4 {
        let woken = finish(&mut node, next, READY);
        order.extend(woken.iter().map(number));
        next = u16::try_from(order[order.len() - 1]).unwrap();
    }
    let small = order.iter().filter(|number| **number >= 20).count();
    assert_eq!(small, 2, "the order was {order:?}");
}

#[test]
fn a_full_queue_evicts_for_a_workspace_with_fewer_calls() {
    let mut node = full_node();
    for number in 10..18 {
        let call = call("desk.big", number, 9000);
        assert_eq!(node.start_call(&call, READY), Ok(SlotDecision::Queued));
    }
    let refused = node.start_call(&call("desk.big", 18, 9000), READY);
    assert_eq!(refused.unwrap_err().kind, Kind::QueueFull);
    let small = call("desk.small", 20, 9000);
    assert_eq!(node.start_call(&small, READY), Ok(SlotDecision::Queued));
    let wakes = node.take_wakes();
    assert_eq!(wakes.len(), 1);
    assert_eq!(number(&wakes[0]), 17);
    assert_eq!(wakes[0].refusal, Some(Kind::QueueFull));
}

#[test]
fn a_late_call_runs_after_those_in_time() {
    let mut node = full_node();
    let mut late = call("desk.big", 10, 9000);
    late.due = READY;
    node.start_call(&late, READY).unwrap();
    node.start_call(&call("desk.big", 11, 9000), READY).unwrap();
    assert_eq!(number(&finish(&mut node, 1, READY)[0]), 11);
    assert_eq!(number(&finish(&mut node, 2, READY)[0]), 10);
}

#[test]
fn a_call_that_would_miss_its_deadline_is_refused_at_once() {
    let mut node = full_node();
    finish(&mut node, 1, READY + Millis(1000));
    let now = READY + Millis(1000);
    node.start_call(&call("desk.big", 3, 9000), now).unwrap();
    // Calls take one second at the two slots, so the next call is expected to
    // wait half a second and to end after one and a half.
    let refused = node
        .start_call(&call("desk.big", 4, 2400), now)
        .unwrap_err();
    assert_eq!(refused.kind, Kind::QueueFull);
    assert_eq!(refused.retry_after, Some(Millis(500)));
    assert_eq!(
        node.start_call(&call("desk.big", 5, 2600), now),
        Ok(SlotDecision::Queued)
    );
}

#[test]
fn a_waiting_call_is_refused_once_it_would_miss_its_deadline() {
    let mut node = full_node();
    finish(&mut node, 1, READY + Millis(1000));
    let now = READY + Millis(1000);
    node.start_call(&call("desk.big", 3, 9000), now).unwrap();
    node.start_call(&call("desk.big", 5, 2600), now).unwrap();
    assert!(wakes_of_tick(&mut node, READY + Millis(1599)).is_empty());
    let wakes = wakes_of_tick(&mut node, READY + Millis(1600));
    assert_eq!(wakes[0].refusal, Some(Kind::TooLate));
}

#[test]
fn waiting_calls_are_refused_when_their_domain_is_taken_out() {
    let mut node = full_node();
    node.start_call(&call("desk.big", 3, 9000), READY).unwrap();
    let mut tree = policy_site::tree(r#"{ "out": ["huaraz"] }"#);
    tree.revision.0 = 2;
    tree.documents[0].revision.0 = 2;
    node.adopt_settings(&tree, READY);
    let wakes = wakes_of_tick(&mut node, READY + Millis(20));
    assert_eq!(wakes[0].refusal, Some(Kind::NoTarget));
    assert!(node.start_call(&call("desk.big", 4, 9000), READY).is_err());
}
