//! Whether a failed attempt is retried, and after which backoff.

#![allow(missing_docs, clippy::unwrap_used)]

mod policy_site;

use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::answer::Outcome;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::node::Node;
use gooseberry_kernel::node::RetryDecision;
use gooseberry_kernel::retry_policy;
use gooseberry_kernel::retry_policy::Denial;
use gooseberry_kernel::retry_policy::RetryState;
use policy_site::READY;

fn retry_state(is_idempotent: bool, attempts: u16) -> RetryState {
    RetryState {
        is_idempotent,
        max_attempts: 2,
        counted_attempts: attempts,
        total_attempts: attempts,
    }
}

fn not_run(kind: Kind) -> Failure {
    Failure {
        outcome: Outcome::NotRun,
        ..kind.into()
    }
}

fn denial(decision: &RetryDecision) -> Option<Denial> {
    match decision {
        RetryDecision::Retry { .. } => None,
        RetryDecision::GiveUp { denial, .. } => Some(*denial),
    }
}

fn denial_after(
    node: &mut Node,
    failure: &Failure,
    retry_state: RetryState,
    time_left: Millis,
) -> Option<Denial> {
    denial(&node.decide_retry(
        &policy_site::query(0).pool,
        failure,
        retry_state,
        READY + time_left,
        READY,
    ))
}

#[test]
fn work_that_may_have_run_is_retried_only_if_idempotent() {
    for kind in Kind::ALL {
        for outcome in [Outcome::Unknown, Outcome::Run] {
            let failure = Failure {
                outcome,
                ..(*kind).into()
            };
            assert!(retry_policy::decide(&failure, retry_state(false, 1)).is_err());
        }
    }
}

#[test]
fn attempts_that_did_not_run_are_limited_too() {
    let mut node = policy_site::node("adaptive", 1);
    for kind in [Kind::TargetFailed, Kind::QueueFull, Kind::NoTarget] {
        let mut attempts = 1;
        while denial_after(
            &mut node,
            &not_run(kind),
            retry_state(false, attempts),
            READY,
        )
        .is_none()
        {
            attempts += 1;
        }
        assert_eq!(attempts, 6);
    }
}

#[test]
fn an_attempt_that_lacks_an_owner_is_retried_until_the_deadline() {
    let mut node = policy_site::node("adaptive", 1);
    let failure = not_run(Kind::NoRight);
    for attempts in 1..1000 {
        assert_eq!(
            denial_after(&mut node, &failure, retry_state(false, attempts), READY),
            None
        );
    }
    let late = denial_after(&mut node, &failure, retry_state(false, 1), Millis(5));
    assert_eq!(late, Some(Denial::Time));
}

#[test]
fn retries_are_limited_to_a_share_of_traffic() {
    let mut node = policy_site::node("adaptive", 1);
    let failure = Failure::from(Kind::TargetFailed);
    let mut retries = 0;
    for _ in 0..1000 {
        node.record_first_attempt();
        let denied = denial_after(&mut node, &failure, retry_state(true, 1), READY);
        retries += u32::from(denied.is_none());
        assert!(matches!(denied, None | Some(Denial::Budget)));
    }
    assert!((200..=220).contains(&retries), "{retries} of 1000");
}

#[test]
fn backoff_grows_and_is_jittered() {
    let mut before = Millis::ZERO;
    for rounds in 1..=5 {
        let least = retry_policy::backoff(rounds, 0);
        assert!(least > before);
        assert!(retry_policy::backoff(rounds, u64::MAX - 7) > least);
        before = least;
    }
    assert!(retry_policy::backoff(u16::MAX, u64::MAX) <= Millis(500));
}
