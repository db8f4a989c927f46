//! The hand-over of targets and keys at a shutdown, and its effect at the next
//! owners.

#![allow(missing_docs, clippy::unwrap_used)]

mod fleet_simulation;

use fleet_simulation::Event;
use fleet_simulation::HORIZON;
use fleet_simulation::STEP;
use fleet_simulation::Simulation;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::handover;
use gooseberry_kernel::id;
use gooseberry_kernel::idempotency::Completion;
use gooseberry_kernel::idempotency::Decision;
use gooseberry_kernel::idempotency::KeyRecord;
use gooseberry_kernel::lease::LeaseState;
use gooseberry_kernel::lease::Resource;
use gooseberry_kernel::lease::Rules;
use gooseberry_kernel::node::Node;
use gooseberry_kernel::slot::Call;
use gooseberry_kernel::slot::SlotDecision;

const DIGEST: id::Digest = id::Digest([0; 32]);

/// A simulation whose daemons have held their leases for longer than the horizon.
fn settled_simulation() -> Simulation {
    let mut simulation = Simulation::new(1, 5, Rules::default());
    for _ in 0..HORIZON.0 / STEP.0 + 40 {
        simulation.step();
    }
    simulation
}

fn holds(simulation: &mut Simulation, daemon: usize, resource: &Resource) -> bool {
    let (node, now) = simulation.node(daemon);
    matches!(
        node.leases().lease_state(resource, now),
        LeaseState::Held { .. }
    )
}

/// Finds keys on which the daemon holds the lease now.
fn keys_owned_by(simulation: &mut Simulation, daemon: usize, count: usize) -> Vec<u32> {
    let mut keys = (0..10_000).filter(|key| {
        let resource = Resource::Key(fleet_simulation::key_of(*key).hash());
        holds(simulation, daemon, &resource)
    });
    keys.by_ref().take(count).collect()
}

fn begin(node: &mut Node, key: u32, now: Millis) -> Decision {
    node.begin_key(&fleet_simulation::key_of(key), DIGEST, false, now)
        .unwrap()
}

/// Runs steps until a daemon other than `except` holds the lease on the key;
/// returns that daemon and the number of steps.
fn next_holder(simulation: &mut Simulation, key: u32, except: usize) -> (usize, u32) {
    let resource = Resource::Key(fleet_simulation::key_of(key).hash());
    for step in 0..200 {
        let holders = simulation.holders(&resource);
        if let Some(holder) = holders.into_iter().find(|holder| *holder != except) {
            assert_eq!(simulation.violation(), None);
            return (holder, step);
        }
        simulation.step();
    }
    panic!("no other daemon got the lease");
}

/// Lets daemon 0 answer a request with a key and then shut down or crash.
/// Returns what the next owner decides for that key and for one that was never
/// sent.
fn answers_after(event: Event) -> (Decision, Decision) {
    let mut simulation = settled_simulation();
    let keys = keys_owned_by(&mut simulation, 0, 40);
    let (node, now) = simulation.node(0);
    assert_eq!(begin(node, keys[0], now), Decision::Run);
    node.finish_key(
        &fleet_simulation::key_of(keys[0]),
        Completion::Answered(fleet_simulation::recorded_answer()),
        now,
    );
    simulation.apply(event);
    let is_kill = matches!(event, Event::Kill { .. });
    if is_kill {
        simulation
            .platform
            .drop_daemon(&fleet_simulation::daemon_id(0));
        simulation.platform.publish();
    }
    let (holder, _) = next_holder(&mut simulation, keys[0], 0);
    let is_held_by_next = |key: &&u32| {
        let resource = Resource::Key(fleet_simulation::key_of(**key).hash());
        holds(&mut simulation, holder, &resource)
    };
    let new_key = *keys[1..].iter().find(is_held_by_next).unwrap();
    let (node, now) = simulation.node(holder);
    (begin(node, keys[0], now), begin(node, new_key, now))
}

#[test]
fn the_next_owner_replays_an_answer_that_was_handed_over_and_runs_a_new_key() {
    let (answered, new) = answers_after(Event::ShutDown { daemon: 0 });
    assert_eq!(
        answered,
        Decision::Replay(fleet_simulation::recorded_answer())
    );
    assert_eq!(new, Decision::Run);
}

#[test]
fn without_a_hand_over_neither_key_is_run() {
    let (answered, new) = answers_after(Event::Kill { daemon: 0 });
    assert_eq!(answered, Decision::Refuse(Kind::KeyUnknown));
    assert_eq!(new, Decision::Refuse(Kind::KeyUnknown));
}

#[test]
fn a_key_that_was_running_is_unknown_to_the_next_owner() {
    let mut simulation = settled_simulation();
    let key = keys_owned_by(&mut simulation, 0, 1)[0];
    let (node, now) = simulation.node(0);
    assert_eq!(begin(node, key, now), Decision::Run);
    let chunks = node.start_handover(now);
    assert!(
        node.begin_key(&fleet_simulation::key_of(key), DIGEST, false, now)
            .is_err()
    );
    assert!(!node.holds_key(&fleet_simulation::key_of(key), now));
    let records = chunks.iter().flat_map(|peer_chunks| &peer_chunks.1);
    let records: Vec<&KeyRecord> = records.flat_map(|chunk| &chunk.keys).collect();
    assert_eq!(records.len(), 1);
    assert_eq!(records[0].answer, None);
}

#[test]
fn a_target_that_was_handed_over_is_used_before_the_longest_call_has_passed() {
    let steps_until_call = |event| {
        let mut simulation = settled_simulation();
        let resource = Resource::Target(fleet_simulation::target_id(0));
        let owner = simulation.holders(&resource)[0];
        let daemon = u8::try_from(owner).unwrap();
        let is_kill = matches!(event, Event::Kill { .. });
        simulation.apply(match event {
            Event::Kill { .. } => Event::Kill { daemon },
            _ => Event::ShutDown { daemon },
        });
        if is_kill {
            simulation
                .platform
                .drop_daemon(&fleet_simulation::daemon_id(owner));
            simulation.platform.publish();
        }
        let mut has_tried = false;
        for step in 0..200 {
            simulation.step();
            let holders = simulation.holders(&resource);
            let next = holders.into_iter().find(|holder| *holder != owner);
            if let Some(next) = next.filter(|_| !has_tried) {
                let (node, now) = simulation.node(next);
                let call = Call {
                    crashes: 0,
                    digest: id::Digest([0; 32]),
                    target: fleet_simulation::target_id(0),
                    attempt: fleet_simulation::attempt_id(1000),
                    workspace: id::Workspace::new("desk.porters").unwrap(),
                    due: Millis::NEVER,
                    deadline: Millis::NEVER,
                };
                if node.start_call(&call, now) == Ok(SlotDecision::Granted) {
                    return step;
                }
                has_tried = true;
            }
            if simulation.stats.calls > 0 {
                return step;
            }
        }
        panic!("no call was sent to the target");
    };
    let after_shutdown = steps_until_call(Event::ShutDown { daemon: 0 });
    let after_crash = steps_until_call(Event::Kill { daemon: 0 });
    println!("steps: {after_shutdown} after a hand-over, {after_crash} after a crash");
    assert!(after_shutdown + 20 < after_crash);
}

#[test]
fn a_hand_over_counts_only_when_every_chunk_has_arrived() {
    let mut simulation = settled_simulation();
    let keys = keys_owned_by(&mut simulation, 0, 10);
    let (node, now) = simulation.node(0);
    let mut answer = fleet_simulation::recorded_answer();
    answer.body = vec![0; handover::CHUNK_MAX_BYTES / 2].into();
    for key in &keys {
        assert_eq!(begin(node, *key, now), Decision::Run);
        node.finish_key(
            &fleet_simulation::key_of(*key),
            Completion::Answered(answer.clone()),
            now,
        );
    }
    let chunks = node.start_handover(now);
    let most_chunks = chunks
        .iter()
        .max_by_key(|peer_chunks| peer_chunks.1.len())
        .unwrap();
    assert!(most_chunks.1.len() > 1, "no peer got more than one chunk");
    for chunk in chunks.iter().flat_map(|peer_chunks| &peer_chunks.1) {
        let bytes: usize = chunk.keys.iter().map(KeyRecord::bytes).sum();
        assert!(chunk.keys.len() == 1 || bytes <= handover::CHUNK_MAX_BYTES);
    }
    let next = (1..5)
        .find(|daemon| fleet_simulation::daemon_id(*daemon) == most_chunks.0.id)
        .unwrap();
    let mut chunks = most_chunks.1.clone();
    let last = chunks.pop().unwrap();
    let missing_key = last.keys[0].key.clone();
    simulation
        .platform
        .drop_daemon(&fleet_simulation::daemon_id(0));
    simulation.platform.publish();
    let (node, now) = simulation.node(next);
    for chunk in &chunks {
        node.receive_handover(chunk, now);
    }
    let resource = Resource::Key(missing_key.hash());
    for _ in 0..60 {
        simulation.step();
        if holds(&mut simulation, next, &resource) {
            break;
        }
    }
    let (node, now) = simulation.node(next);
    let before = node.begin_key(&missing_key, DIGEST, false, now).unwrap();
    assert_eq!(before, Decision::Refuse(Kind::KeyUnknown));
    node.receive_handover(&last, now);
    let after = node.begin_key(&missing_key, DIGEST, false, now).unwrap();
    assert_eq!(after, Decision::Replay(answer));
}
