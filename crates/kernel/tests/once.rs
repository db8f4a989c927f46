//! How long the key store keeps keys, and that pauses of the process do not count.

#![allow(missing_docs, clippy::unwrap_used)]

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::id;
use gooseberry_kernel::idempotency::Completion;
use gooseberry_kernel::idempotency::Decision;
use gooseberry_kernel::idempotency::Key;
use gooseberry_kernel::idempotency::KeyRequest;
use gooseberry_kernel::idempotency::KeyStore;
use gooseberry_kernel::idempotency::RecordedAnswer;

const HORIZON: Millis = Millis(60_000);
const STEP: Millis = Millis(20);

fn key() -> Key {
    Key {
        workspace: id::Workspace::new("desk.porters").unwrap(),
        pipeline: id::Pipeline::new("booking-ledger").unwrap(),
        text: "deposit-1".to_owned(),
    }
}

fn recorded_answer() -> RecordedAnswer {
    RecordedAnswer {
        status: 200,
        headers: Vec::new(),
        body: b"paid".as_slice().into(),
    }
}

fn begin(keys: &mut KeyStore, now: Millis) -> Decision {
    let request = KeyRequest {
        digest: id::Digest::of(b"deposit"),
        known_since: Millis::ZERO,
        is_first_attempt: false,
    };
    keys.begin(&key(), &request, HORIZON, now)
}

/// Ticks for the span at the interval of the daemon; returns the time at its end.
fn tick_for(keys: &mut KeyStore, from: Millis, span: Millis) -> Millis {
    let mut now = from;
    while now < from + span {
        now = now + STEP;
        keys.tick(HORIZON, now);
    }
    now
}

#[test]
fn a_request_that_waited_while_the_owner_was_paused_gets_the_recorded_answer() {
    let mut keys = KeyStore::default();
    let now = tick_for(&mut keys, HORIZON, Millis(1000));
    assert_eq!(begin(&mut keys, now), Decision::Run);
    keys.finish(&key(), Completion::Answered(recorded_answer()), now);
    let paused_at = tick_for(&mut keys, now, Millis(1000));
    // The second request arrived during the pause and is read directly after it.
    let resumed_at = paused_at + Millis(10 * HORIZON.0);
    keys.tick(HORIZON, resumed_at);
    assert_eq!(
        begin(&mut keys, resumed_at),
        Decision::Replay(recorded_answer())
    );
}

#[test]
fn a_key_expires_after_twice_the_horizon_without_pauses() {
    let mut keys = KeyStore::default();
    let now = tick_for(&mut keys, HORIZON, Millis(1000));
    assert_eq!(begin(&mut keys, now), Decision::Run);
    keys.finish(&key(), Completion::Answered(recorded_answer()), now);
    tick_for(&mut keys, now, HORIZON + HORIZON);
    assert!(keys.is_empty());
}
