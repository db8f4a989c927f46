use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::withdrawal::HOLD_TIME;
use gooseberry_kernel::name;
use gooseberry_kernel::request::routing_table::Target;
use gooseberry_kernel::target::registry::Change;
use gooseberry_kernel::target::registry::LAPSE_GRACE;
use gooseberry_kernel::target::registry::TargetRegistry;

use crate::fixtures;

fn target(name: &str) -> Target {
    fixtures::target(name, 0)
}

fn usable(registry: &TargetRegistry, now: Millis) -> usize {
    registry.usable(&name::Service::new("s"), &[], now).count()
}

#[test]
fn unlisted_target_is_not_usable() {
    let mut registry = TargetRegistry::default();
    assert_eq!(registry.upsert(target("a"), Millis(0)), Change::Joined);
    let name = name::Target::new("a");
    assert_eq!(registry.remove(&name, None, Millis(10)), Some(Change::Gone));
    assert_eq!(usable(&registry, Millis(10)), 0);
    assert_eq!(registry.remove(&name, None, Millis(10)), None);
}

#[test]
fn lapsed_target_is_usable_until_its_grace_ends() {
    let mut registry = TargetRegistry::default();
    registry.upsert(target("a"), Millis(0));
    let name = name::Target::new("a");
    let outage_end = Millis(5_000);
    let change = registry.remove(&name, Some(outage_end), Millis(5_100));
    assert_eq!(change, Some(Change::Lapsed));
    assert_eq!(usable(&registry, Millis(6_000)), 1);
    assert_eq!(usable(&registry, outage_end + LAPSE_GRACE), 0);
    assert_eq!(registry.remove_lapsed(outage_end + LAPSE_GRACE), [name]);
    // A target that is listed again in time is usable like any other.
    registry.upsert(target("b"), Millis(0));
    registry.remove(&name::Target::new("b"), Some(outage_end), Millis(5_100));
    registry.upsert(target("b"), Millis(5_500));
    assert_eq!(usable(&registry, outage_end + LAPSE_GRACE), 1);
}

/// Guards against counting the grace from the removal: a target that left 1.4 s
/// after an outage was used for two more seconds, which is longer than the
/// bound for leaving targets.
#[test]
fn lapse_grace_counts_from_the_end_of_the_outage() {
    let mut registry = TargetRegistry::default();
    registry.upsert(target("a"), Millis(0));
    let outage_end = Millis(25_065);
    let removed_at = Millis(26_506);
    registry.remove(&name::Target::new("a"), Some(outage_end), removed_at);
    assert_eq!(usable(&registry, outage_end + LAPSE_GRACE), 0);
    registry.upsert(target("b"), Millis(0));
    let change = registry.remove(
        &name::Target::new("b"),
        Some(outage_end),
        outage_end + LAPSE_GRACE,
    );
    assert_eq!(change, Some(Change::Gone));
}

#[test]
fn leaving_target_and_taken_out_domain_are_not_usable() {
    let mut registry = TargetRegistry::default();
    registry.upsert(target("a"), Millis(0));
    let service = name::Service::new("s");
    let taken_out = [name::Domain::new("z")];
    assert_eq!(registry.usable(&service, &taken_out, Millis(0)).count(), 0);
    let leaving = Target {
        is_leaving: true,
        ..target("a")
    };
    assert_eq!(registry.upsert(leaving, Millis(1)), Change::Leaving);
    assert_eq!(usable(&registry, Millis(1)), 0);
}

#[test]
fn versions_that_served_lately_are_remembered() {
    let service = name::Service::new("s");
    let versions = |registry: &TargetRegistry, now: u64| -> Vec<String> {
        let versions = registry.versions(&service, Millis(now)).into_iter();
        versions.map(|version| version.to_string()).collect()
    };
    let second = |name: &str| Target {
        version: name::Version::new("v2"),
        ..target(name)
    };
    let mut registry = TargetRegistry::default();
    registry.upsert(target("a"), Millis(0));
    assert_eq!(versions(&registry, 0), ["v1"]);
    registry.upsert(second("b"), Millis(0));
    assert_eq!(versions(&registry, 0), ["v1", "v2"]);
    registry.remove(&name::Target::new("b"), None, Millis(1_000));
    assert_eq!(versions(&registry, 20_000), ["v1", "v2"]);
    assert_eq!(versions(&registry, 31_000), ["v1"]);
    // A target that comes back under its name with another version.
    registry.upsert(second("a"), Millis(40_000));
    assert_eq!(versions(&registry, 40_000), ["v1", "v2"]);
    assert_eq!(versions(&registry, 70_000), ["v2"]);
    let left = |registry: &TargetRegistry| registry.departures(&service, Millis(41_000));
    assert_eq!(left(&registry).len(), 1);
    // An entry that changes in the same run is no departure.
    let mut leaving = TargetRegistry::default();
    for is_leaving in [false, true] {
        let entry = Target {
            is_leaving,
            ..target("a")
        };
        leaving.upsert(entry, Millis(41_000));
    }
    assert!(left(&leaving).is_empty());
    assert!(
        registry
            .versions(&name::Service::new("t"), Millis(0))
            .is_empty()
    );
}

#[test]
fn withdrawn_runs_stay_unused_after_the_store_went_back() {
    let mut registry = TargetRegistry::default();
    let run = |name: &str, started: u64, is_leaving: bool| Target {
        is_leaving,
        ..fixtures::target(name, started)
    };
    registry.upsert(run("leaving", 1, false), Millis(0));
    registry.upsert(run("leaving", 1, true), Millis(100));
    registry.upsert(run("gone", 1, false), Millis(0));
    registry.remove(&name::Target::new("gone"), None, Millis(100));
    registry.upsert(run("staying", 1, false), Millis(0));
    let back_at = Millis(5_000);
    registry.hold_withdrawn(back_at);
    for name in ["leaving", "gone", "staying"] {
        registry.upsert(run(name, 1, false), back_at);
    }
    assert_eq!(usable(&registry, back_at), 1);
    // Another run under the name is another target.
    registry.upsert(run("gone", 2, false), back_at);
    assert_eq!(usable(&registry, back_at), 2);
    // The entry of the run was written again, and calls it ready.
    registry.release(&name::Target::new("leaving"));
    assert_eq!(usable(&registry, back_at), 3);
    registry.upsert(run("gone", 1, false), back_at);
    assert_eq!(usable(&registry, back_at), 2);
    assert_eq!(usable(&registry, back_at + HOLD_TIME), 3);
}
