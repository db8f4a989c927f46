//! What a leaver hands over, and what its next owners make of it.

#![allow(missing_docs, clippy::unwrap_used)]

mod world;

use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::handover;
use gooseberry_kernel::id;
use gooseberry_kernel::node::Node;
use gooseberry_kernel::once::End;
use gooseberry_kernel::once::Item;
use gooseberry_kernel::once::Verdict;
use gooseberry_kernel::slot::Call;
use gooseberry_kernel::slot::SlotDecision;
use gooseberry_kernel::tenure::Right;
use gooseberry_kernel::tenure::Rules;
use gooseberry_kernel::tenure::Thing;
use world::Event;
use world::HORIZON;
use world::STEP;
use world::World;

const DIGEST: id::Digest = id::Digest([0; 32]);

/// A world whose daemons have held their rights for longer than the horizon.
fn settled() -> World {
    let mut world = World::new(1, 5, Rules::default());
    for _ in 0..HORIZON.0 / STEP.0 + 40 {
        world.step();
    }
    world
}

fn holds(world: &mut World, at: usize, thing: &Thing) -> bool {
    let (node, now) = world.node(at);
    matches!(node.tenure().right(thing, now), Right::Held { .. })
}

/// Finds keys that the daemon owns now.
fn keys_of(world: &mut World, at: usize, count: usize) -> Vec<u32> {
    let mut keys = (0..10_000).filter(|key| {
        let thing = Thing::Key(world::key_of(*key).hash());
        holds(world, at, &thing)
    });
    keys.by_ref().take(count).collect()
}

fn begin(node: &mut Node, key: u32, now: Millis) -> Verdict {
    node.begin(&world::key_of(key), DIGEST, false, now).unwrap()
}

/// Steps until the key has another holder, and returns it with the steps.
fn next_holder(world: &mut World, key: u32, but: usize) -> (usize, u32) {
    let thing = Thing::Key(world::key_of(key).hash());
    for step in 0..200 {
        let holders = world.holders(&thing);
        if let Some(holder) = holders.into_iter().find(|one| *one != but) {
            assert_eq!(world.broken(), None);
            return (holder, step);
        }
        world.step();
    }
    panic!("nobody took over");
}

/// Lets daemon 0 answer a key and then leave or die, and returns what its next
/// owner says of that key and of one that was never sent.
fn take_over(event: Event) -> (Verdict, Verdict) {
    let mut world = settled();
    let keys = keys_of(&mut world, 0, 40);
    let (node, now) = world.node(0);
    assert_eq!(begin(node, keys[0], now), Verdict::Run);
    node.end(&world::key_of(keys[0]), End::Answered(world::record()), now);
    world.apply(event);
    let is_kill = matches!(event, Event::Kill { .. });
    if is_kill {
        world.platform.drop_daemon(&world::name(0));
        world.platform.publish();
    }
    let (holder, _) = next_holder(&mut world, keys[0], 0);
    let is_next = |key: &&u32| {
        let thing = Thing::Key(world::key_of(**key).hash());
        holds(&mut world, holder, &thing)
    };
    let other = *keys[1..].iter().find(is_next).unwrap();
    let (node, now) = world.node(holder);
    (begin(node, keys[0], now), begin(node, other, now))
}

#[test]
fn the_next_owner_replays_an_answer_that_was_handed_over_and_runs_a_new_key() {
    let (answered, new) = take_over(Event::Leave { who: 0 });
    assert_eq!(answered, Verdict::Replay(world::record()));
    assert_eq!(new, Verdict::Run);
}

#[test]
fn without_a_hand_over_neither_key_is_run() {
    let (answered, new) = take_over(Event::Kill { who: 0 });
    assert_eq!(answered, Verdict::Refuse(Kind::KeyUnknown));
    assert_eq!(new, Verdict::Refuse(Kind::KeyUnknown));
}

#[test]
fn a_key_that_was_running_is_unknown_to_the_next_owner() {
    let mut world = settled();
    let key = keys_of(&mut world, 0, 1)[0];
    let (node, now) = world.node(0);
    assert_eq!(begin(node, key, now), Verdict::Run);
    let chunks = node.hand_over(now);
    assert!(node.begin(&world::key_of(key), DIGEST, false, now).is_err());
    assert!(!node.holds_key(&world::key_of(key), now));
    let items = chunks.iter().flat_map(|one| &one.1);
    let items: Vec<&Item> = items.flat_map(|chunk| &chunk.keys).collect();
    assert_eq!(items.len(), 1);
    assert_eq!(items[0].record, None);
}

#[test]
fn a_target_that_was_handed_over_is_used_before_the_longest_call_has_passed() {
    let start_at = |event| {
        let mut world = settled();
        let thing = Thing::Target(world::target_of(0));
        let owner = world.holders(&thing)[0];
        let who = u8::try_from(owner).unwrap();
        let is_kill = matches!(event, Event::Kill { .. });
        world.apply(match event {
            Event::Kill { .. } => Event::Kill { who },
            _ => Event::Leave { who },
        });
        if is_kill {
            world.platform.drop_daemon(&world::name(owner));
            world.platform.publish();
        }
        let mut is_asked = false;
        for step in 0..200 {
            world.step();
            let holders = world.holders(&thing);
            let next = holders.into_iter().find(|one| *one != owner);
            if let Some(next) = next.filter(|_| !is_asked) {
                let (node, now) = world.node(next);
                let call = Call {
                    crashes: 0,
                    digest: id::Digest([0; 32]),
                    target: world::target_of(0),
                    attempt: world::attempt_of(1000),
                    workspace: id::Workspace::new("desk.porters").unwrap(),
                    due: Millis::NEVER,
                    deadline: Millis::NEVER,
                };
                if node.start(&call, now) == Ok(SlotDecision::Granted) {
                    return step;
                }
                is_asked = true;
            }
            if world.stats.calls > 0 {
                return step;
            }
        }
        panic!("the target was never used");
    };
    let after_leave = start_at(Event::Leave { who: 0 });
    let after_kill = start_at(Event::Kill { who: 0 });
    println!("steps: {after_leave} after a hand-over, {after_kill} after a death");
    assert!(after_leave + 20 < after_kill);
}

#[test]
fn a_hand_over_counts_only_when_every_parcel_has_arrived() {
    let mut world = settled();
    let keys = keys_of(&mut world, 0, 10);
    let (node, now) = world.node(0);
    let mut record = world::record();
    record.body = vec![0; handover::CHUNK_BYTES / 2].into();
    for key in &keys {
        assert_eq!(begin(node, *key, now), Verdict::Run);
        node.end(&world::key_of(*key), End::Answered(record.clone()), now);
    }
    let chunks = node.hand_over(now);
    let of_most = chunks.iter().max_by_key(|one| one.1.len()).unwrap();
    assert!(of_most.1.len() > 1, "one chunk holds too much");
    for chunk in chunks.iter().flat_map(|one| &one.1) {
        let bytes: usize = chunk.keys.iter().map(Item::bytes).sum();
        assert!(chunk.keys.len() == 1 || bytes <= handover::CHUNK_BYTES);
    }
    let next = (1..5).find(|at| world::name(*at) == of_most.0.id).unwrap();
    let mut chunks = of_most.1.clone();
    let last = chunks.pop().unwrap();
    let missing = last.keys[0].key.clone();
    world.platform.drop_daemon(&world::name(0));
    world.platform.publish();
    let (node, now) = world.node(next);
    for chunk in &chunks {
        node.inherit(chunk, now);
    }
    let thing = Thing::Key(missing.hash());
    for _ in 0..60 {
        world.step();
        if holds(&mut world, next, &thing) {
            break;
        }
    }
    let (node, now) = world.node(next);
    let before = node.begin(&missing, DIGEST, false, now).unwrap();
    assert_eq!(before, Verdict::Refuse(Kind::KeyUnknown));
    node.inherit(&last, now);
    let after = node.begin(&missing, DIGEST, false, now).unwrap();
    assert_eq!(after, Verdict::Replay(record));
}
