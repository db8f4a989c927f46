//! The baseline policy ignores the limits that the adaptive policy keeps, so it
//! can serve as the baseline of measurements.

#![allow(missing_docs, clippy::unwrap_used)]

mod policy_site;

use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::answer::Outcome;
use gooseberry_kernel::node::RetryDecision;
use gooseberry_kernel::retry_policy::RetryState;
use gooseberry_kernel::slot::SlotDecision;
use policy_site::READY;

#[test]
fn baseline_fills_a_cold_target_and_adaptive_does_not() {
    let started = |policy| {
        let mut node = policy_site::node(policy, 1);
        let call = |number| policy_site::call(0, number, READY + READY);
        let starts = (0..20).map(|number| node.start_call(&call(number), READY));
        let count = starts
            .filter(|start| *start == Ok(SlotDecision::Granted))
            .count();
        assert!(node.take_violations().is_empty());
        count
    };
    assert_eq!(started("baseline"), 16);
    assert_eq!(started("adaptive"), 2);
}

#[test]
fn baseline_spreads_one_prefix_over_all_targets() {
    let mut node = policy_site::node("baseline", 20);
    let query = policy_site::query(1);
    let mut chosen = Vec::new();
    for _ in 0..400 {
        chosen.push(node.choose_target(&query, READY).unwrap().target.id);
    }
    chosen.sort();
    chosen.dedup();
    assert_eq!(chosen.len(), 20);
}

#[test]
fn baseline_retries_twice_without_a_budget() {
    let mut node = policy_site::node("baseline", 1);
    let failure = Failure {
        outcome: Outcome::NotRun,
        ..Kind::TargetFailed.into()
    };
    let mut is_retried = |attempts| {
        let retry_state = RetryState {
            is_idempotent: true,
            max_attempts: 3,
            counted_attempts: attempts,
            total_attempts: attempts,
        };
        let decision = node.decide_retry(
            &policy_site::query(0).pool,
            &failure,
            retry_state,
            READY + READY,
            READY,
        );
        matches!(decision, RetryDecision::Retry { .. })
    };
    for _ in 0..200 {
        assert!(is_retried(1));
        assert!(is_retried(2));
        assert!(!is_retried(3));
    }
}

#[test]
fn baseline_lets_one_workspace_use_the_whole_limit() {
    let mut node = policy_site::node("baseline", 1);
    for _ in 0..100 {
        node.admit(&policy_site::arrival("desk.big", 1), READY)
            .unwrap();
    }
    let refused = node.admit(&policy_site::arrival("desk.small", 2), READY);
    assert_eq!(refused.unwrap_err().kind, Kind::Overloaded);
}
