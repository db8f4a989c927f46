//! What the memory of keys keeps while its process is paused.

#![allow(missing_docs, clippy::unwrap_used)]

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::id;
use gooseberry_kernel::once::Claim;
use gooseberry_kernel::once::End;
use gooseberry_kernel::once::Key;
use gooseberry_kernel::once::Memory;
use gooseberry_kernel::once::Record;
use gooseberry_kernel::once::Verdict;

const HORIZON: Millis = Millis(60_000);
const STEP: Millis = Millis(20);

fn key() -> Key {
    Key {
        workspace: id::Workspace::new("desk.porters").unwrap(),
        pipeline: id::Pipeline::new("booking-ledger").unwrap(),
        text: "deposit-1".to_owned(),
    }
}

fn record() -> Record {
    Record {
        status: 200,
        headers: Vec::new(),
        body: b"paid".as_slice().into(),
    }
}

fn begin(memory: &mut Memory, now: Millis) -> Verdict {
    let claim = Claim {
        digest: id::Digest::of(b"deposit"),
        since: Millis::ZERO,
        is_first_attempt: false,
    };
    memory.begin(&key(), &claim, HORIZON, now)
}

/// Ticks as often as the daemon does, and returns the time afterwards.
fn awake(memory: &mut Memory, from: Millis, span: Millis) -> Millis {
    let mut now = from;
    while now < from + span {
        now = now + STEP;
        memory.tick(HORIZON, now);
    }
    now
}

#[test]
fn a_request_that_waited_while_the_owner_was_paused_meets_the_recorded_answer() {
    let mut memory = Memory::default();
    let now = awake(&mut memory, HORIZON, Millis(1000));
    assert_eq!(begin(&mut memory, now), Verdict::Run);
    memory.finish(&key(), End::Answered(record()), now);
    let paused = awake(&mut memory, now, Millis(1000));
    // The second request came in the pause, and is read directly after it.
    let woken = paused + Millis(10 * HORIZON.0);
    memory.tick(HORIZON, woken);
    assert_eq!(begin(&mut memory, woken), Verdict::Replay(record()));
}

#[test]
fn a_key_is_forgotten_after_twice_the_horizon_awake() {
    let mut memory = Memory::default();
    let now = awake(&mut memory, HORIZON, Millis(1000));
    assert_eq!(begin(&mut memory, now), Verdict::Run);
    memory.finish(&key(), End::Answered(record()), now);
    awake(&mut memory, now, HORIZON + HORIZON);
    assert!(memory.is_empty());
}
