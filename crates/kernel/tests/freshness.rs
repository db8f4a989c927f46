//! How soon settings and lists are in force, and that they never revert.
//!
//! The bounds are in virtual time: 7 s for settings and 3 s for the list.

#![allow(missing_docs, clippy::unwrap_used)]

mod world;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::lease::Rules;
use gooseberry_kernel::published_list::Revision;
use world::Event;
use world::Random;
use world::STEP;
use world::World;

const SETTINGS_BOUND: Millis = Millis(7000);
const LIST_BOUND: Millis = Millis(3000);
const SEEDS: u64 = 40;

fn settled(seed: u64) -> World {
    let mut world = World::new(seed, 6, Rules::default());
    world.platform.is_exact = true;
    for _ in 0..60 {
        world.step();
    }
    world
}

/// Publishes settings and a list, and returns after how long each was known
/// to every daemon that `counts`.
fn spread(world: &mut World, counts: impl Fn(usize) -> bool) -> (Millis, Millis) {
    world.apply(Event::Publish { is_good: true });
    world.platform.publish();
    let begun = world.now;
    let settings = world.platform.revision();
    let list = world.platform.list(0).revision;
    let mut known = (Millis::NEVER, Millis::NEVER);
    for _ in 0..100 {
        world.step();
        assert_eq!(world.broken(), None);
        let count = world.count();
        let mut is_known = (true, true);
        for at in (0..count).filter(|at| counts(*at)) {
            let (node, _) = world.node(at);
            is_known.0 &= node.settings().revision() >= settings;
            is_known.1 &= node.leases().revision() >= list;
        }
        let span = world.now - begun;
        if is_known.0 {
            known.0 = known.0.min(span);
        }
        if is_known.1 {
            known.1 = known.1.min(span);
        }
    }
    known
}

fn worst(story: impl Fn(u64, &mut World) -> (Millis, Millis)) -> (Millis, Millis) {
    let mut worst = (Millis::ZERO, Millis::ZERO);
    for seed in 0..SEEDS {
        let mut world = settled(seed);
        let spans = story(seed, &mut world);
        worst = (worst.0.max(spans.0), worst.1.max(spans.1));
    }
    println!("settings after {} ms, list after {} ms", worst.0, worst.1);
    worst
}

fn assert_within(worst: (Millis, Millis)) {
    assert!(worst.0 <= SETTINGS_BOUND, "settings after {} ms", worst.0);
    assert!(worst.1 <= LIST_BOUND, "the list after {} ms", worst.1);
}

#[test]
fn what_is_published_is_known_everywhere_in_time() {
    assert_within(worst(|_, world| spread(world, |_| true)));
}

#[test]
fn a_paused_reader_does_not_keep_it_from_the_others() {
    // Each failure domain has one reader; every reader is paused for a minute.
    assert_within(worst(|_, world| {
        let now = world.now;
        let readers: Vec<usize> = (0..world.count())
            .filter(|at| {
                let (node, now) = world.node(*at);
                node.is_designated_reader() && node.is_list_reader(now)
            })
            .collect();
        assert_eq!(readers.len(), 3);
        for at in &readers {
            world.pause(*at, now + Millis(60_000));
        }
        spread(world, |at| !readers.contains(&at))
    }));
}

#[test]
fn a_slow_platform_delays_it_within_the_bounds() {
    assert_within(worst(|_, world| {
        world.platform.delay = Millis(1000);
        spread(world, |_| true)
    }));
}

#[test]
fn a_half_that_only_reaches_peers_of_its_own_reads_for_itself() {
    // The fleet is cut in two; both halves reach the platform.
    assert_within(worst(|seed, world| {
        let sides = u16::try_from(Random::new(seed).below(64)).unwrap();
        world.apply(Event::Cut {
            sides,
            reaches: 3,
            steps: 200,
        });
        spread(world, |_| true)
    }));
}

#[test]
fn an_old_service_and_a_fresh_daemon_bring_nothing_back() {
    // The service comes back with an old state, and a daemon starts beside it.
    for seed in 0..SEEDS {
        let mut world = settled(seed);
        for _ in 0..4 {
            world.apply(Event::Publish { is_good: true });
        }
        for _ in 0..60 {
            world.step();
        }
        let newest = world.platform.revision();
        world.apply(Event::Add { count: 1 });
        world.platform.settings_lag = 4;
        let fresh = world.count() - 1;
        for step in 0..100 {
            world.step();
            assert_eq!(world.broken(), None);
            for at in 0..fresh {
                let (node, _) = world.node(at);
                assert_eq!(node.settings().revision(), newest);
            }
            let (node, _) = world.node(fresh);
            let is_due = Millis(step * STEP.0) >= SETTINGS_BOUND;
            assert!(!is_due || node.settings().revision() == newest);
        }
    }
}

#[test]
fn a_stale_platform_confirms_nothing() {
    let mut world = settled(1);
    world.platform.list_lag = 1;
    world.apply(Event::Add { count: 0 });
    world.platform.list_lag = 0;
    for _ in 0..30 {
        world.step();
    }
    world.platform.list_lag = 1;
    for _ in 0..50 {
        world.step();
    }
    let (node, now) = world.node(0);
    assert!(node.list_age(now).unwrap() > Millis(4000));
    assert!(node.settings_age(now).unwrap() < Millis(4000));
}

#[test]
fn a_bad_document_leaves_the_good_ones_and_a_fresh_daemon_gets_the_last_good_one() {
    let mut world = settled(2);
    world.apply(Event::Freshness { millis: 900 });
    for _ in 0..70 {
        world.step();
    }
    world.apply(Event::Publish { is_good: false });
    world.apply(Event::Add { count: 1 });
    for _ in 0..70 {
        world.step();
    }
    let revision = world.platform.revision();
    for at in 0..world.count() {
        let (node, _) = world.node(at);
        assert_eq!(node.settings().revision(), revision);
        assert_eq!(
            node.settings().fleet().freshness,
            Millis(900),
            "daemon {at}"
        );
        assert_eq!(node.settings().teams().len(), 1);
    }
}

#[test]
fn two_operators_who_race_end_with_the_last_one_everywhere() {
    for seed in 0..SEEDS {
        let mut world = settled(seed);
        let mut random = Random::new(seed);
        let mut last = 0;
        for _ in 0..20 {
            last = 400 + random.below(10) * 100;
            let millis = u16::try_from(last).unwrap();
            world.apply(Event::Freshness { millis });
            if random.percent(50) {
                world.step();
            }
        }
        for _ in 0..70 {
            world.step();
        }
        assert_eq!(world.broken(), None);
        for at in 0..world.count() {
            let (node, _) = world.node(at);
            assert_eq!(node.settings().fleet().freshness, Millis(last));
        }
    }
}

#[test]
fn an_answer_that_waited_in_a_paused_process_confirms_only_its_own_time() {
    let mut world = settled(3);
    let list = world.platform.list(0);
    let tree = world.platform.tree(0);
    let (node, now) = world.node(0);
    let later = now + Millis(60_000);
    node.apply_published_list(&list, now, later);
    node.apply_published_settings(&tree, now, later);
    assert!(node.is_list_reader(later) && node.is_settings_reader(later));
    assert!(list.revision > Revision::default());
}
