//! How soon published settings and lists reach every daemon, and that neither
//! is ever reverted.
//!
//! The bounds are in virtual time: 7 s for settings and 3 s for the list.

#![allow(missing_docs, clippy::unwrap_used)]

mod fleet_simulation;

use fleet_simulation::Event;
use fleet_simulation::Random;
use fleet_simulation::STEP;
use fleet_simulation::Simulation;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::lease::Rules;
use gooseberry_kernel::published_list::Revision;

const SETTINGS_BOUND: Millis = Millis(7000);
const LIST_BOUND: Millis = Millis(3000);
const SEEDS: u64 = 40;

fn settled_simulation(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed, 6, Rules::default());
    simulation.platform.is_exact = true;
    for _ in 0..60 {
        simulation.step();
    }
    simulation
}

/// Publishes settings and a list, and returns how long each took to reach every
/// daemon for which `is_measured` returns true.
fn measure_spread(
    simulation: &mut Simulation,
    is_measured: impl Fn(usize) -> bool,
) -> (Millis, Millis) {
    simulation.apply(Event::PublishSettings { is_good: true });
    simulation.platform.publish();
    let published_at = simulation.now;
    let settings = simulation.platform.revision();
    let list = simulation.platform.list(0).revision;
    let mut reached_after = (Millis::NEVER, Millis::NEVER);
    for _ in 0..100 {
        simulation.step();
        assert_eq!(simulation.violation(), None);
        let count = simulation.count();
        let mut has_reached = (true, true);
        for daemon in (0..count).filter(|daemon| is_measured(*daemon)) {
            let (node, _) = simulation.node(daemon);
            has_reached.0 &= node.settings().revision() >= settings;
            has_reached.1 &= node.leases().revision() >= list;
        }
        let elapsed = simulation.now - published_at;
        if has_reached.0 {
            reached_after.0 = reached_after.0.min(elapsed);
        }
        if has_reached.1 {
            reached_after.1 = reached_after.1.min(elapsed);
        }
    }
    reached_after
}

fn worst_spread(scenario: impl Fn(u64, &mut Simulation) -> (Millis, Millis)) -> (Millis, Millis) {
    let mut worst = (Millis::ZERO, Millis::ZERO);
    for seed in 0..SEEDS {
        let mut simulation = settled_simulation(seed);
        let spread = scenario(seed, &mut simulation);
        worst = (worst.0.max(spread.0), worst.1.max(spread.1));
    }
    println!("settings after {} ms, list after {} ms", worst.0, worst.1);
    worst
}

fn assert_within(worst: (Millis, Millis)) {
    assert!(worst.0 <= SETTINGS_BOUND, "settings after {} ms", worst.0);
    assert!(worst.1 <= LIST_BOUND, "the list after {} ms", worst.1);
}

#[test]
fn published_settings_and_lists_reach_every_daemon_in_time() {
    assert_within(worst_spread(|_, simulation| {
        measure_spread(simulation, |_| true)
    }));
}

#[test]
fn paused_readers_do_not_delay_the_other_daemons() {
    // Each failure domain has one reader; every reader is paused for a minute.
    assert_within(worst_spread(|_, simulation| {
        let now = simulation.now;
        let readers: Vec<usize> = (0..simulation.count())
            .filter(|daemon| {
                let (node, now) = simulation.node(*daemon);
                node.is_designated_reader() && node.is_list_reader(now)
            })
            .collect();
        assert_eq!(readers.len(), 3);
        for daemon in &readers {
            simulation.pause(*daemon, now + Millis(60_000));
        }
        measure_spread(simulation, |daemon| !readers.contains(&daemon))
    }));
}

#[test]
fn a_slow_platform_keeps_the_spread_within_the_bounds() {
    assert_within(worst_spread(|_, simulation| {
        simulation.platform.delay = Millis(1000);
        measure_spread(simulation, |_| true)
    }));
}

#[test]
fn both_sides_of_a_partition_read_the_platform() {
    // The fleet is partitioned in two; both sides reach the platform.
    assert_within(worst_spread(|seed, simulation| {
        let sides = u16::try_from(Random::new(seed).next_below(64)).unwrap();
        simulation.apply(Event::Partition {
            sides,
            platform_sides: 3,
            steps: 200,
        });
        measure_spread(simulation, |_| true)
    }));
}

#[test]
fn a_stale_platform_and_a_new_daemon_revert_no_settings() {
    // The platform returns an old version of the settings while a daemon starts.
    for seed in 0..SEEDS {
        let mut simulation = settled_simulation(seed);
        for _ in 0..4 {
            simulation.apply(Event::PublishSettings { is_good: true });
        }
        for _ in 0..60 {
            simulation.step();
        }
        let newest = simulation.platform.revision();
        simulation.apply(Event::AddDaemons { count: 1 });
        simulation.platform.settings_lag = 4;
        let new_daemon = simulation.count() - 1;
        for step in 0..100 {
            simulation.step();
            assert_eq!(simulation.violation(), None);
            for daemon in 0..new_daemon {
                let (node, _) = simulation.node(daemon);
                assert_eq!(node.settings().revision(), newest);
            }
            let (node, _) = simulation.node(new_daemon);
            let is_due = Millis(step * STEP.0) >= SETTINGS_BOUND;
            assert!(!is_due || node.settings().revision() == newest);
        }
    }
}

#[test]
fn a_stale_platform_confirms_nothing() {
    let mut simulation = settled_simulation(1);
    simulation.platform.list_lag = 1;
    // Publishes a list without adding a daemon.
    simulation.apply(Event::AddDaemons { count: 0 });
    simulation.platform.list_lag = 0;
    for _ in 0..30 {
        simulation.step();
    }
    simulation.platform.list_lag = 1;
    for _ in 0..50 {
        simulation.step();
    }
    let (node, now) = simulation.node(0);
    assert!(node.list_age(now).unwrap() > Millis(4000));
    assert!(node.settings_age(now).unwrap() < Millis(4000));
}

#[test]
fn a_bad_document_leaves_the_last_good_one_in_force_also_for_a_new_daemon() {
    let mut simulation = settled_simulation(2);
    simulation.apply(Event::SetFreshness { millis: 900 });
    for _ in 0..70 {
        simulation.step();
    }
    simulation.apply(Event::PublishSettings { is_good: false });
    simulation.apply(Event::AddDaemons { count: 1 });
    for _ in 0..70 {
        simulation.step();
    }
    let revision = simulation.platform.revision();
    for daemon in 0..simulation.count() {
        let (node, _) = simulation.node(daemon);
        assert_eq!(node.settings().revision(), revision);
        assert_eq!(
            node.settings().fleet().freshness,
            Millis(900),
            "daemon {daemon}"
        );
        assert_eq!(node.settings().teams().len(), 1);
    }
}

#[test]
fn racing_settings_changes_end_with_the_last_one_everywhere() {
    for seed in 0..SEEDS {
        let mut simulation = settled_simulation(seed);
        let mut random = Random::new(seed);
        let mut last = 0;
        for _ in 0..20 {
            last = 400 + random.next_below(10) * 100;
            let millis = u16::try_from(last).unwrap();
            simulation.apply(Event::SetFreshness { millis });
            if random.chance_percent(50) {
                simulation.step();
            }
        }
        for _ in 0..70 {
            simulation.step();
        }
        assert_eq!(simulation.violation(), None);
        for daemon in 0..simulation.count() {
            let (node, _) = simulation.node(daemon);
            assert_eq!(node.settings().fleet().freshness, Millis(last));
        }
    }
}

#[test]
fn a_platform_answer_read_late_confirms_only_the_time_of_its_request() {
    let mut simulation = settled_simulation(3);
    let list = simulation.platform.list(0);
    let tree = simulation.platform.tree(0);
    let (node, now) = simulation.node(0);
    let later = now + Millis(60_000);
    node.apply_published_list(&list, now, later);
    node.apply_published_settings(&tree, now, later);
    assert!(node.is_list_reader(later) && node.is_settings_reader(later));
    assert!(list.revision > Revision::default());
}
