use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::target::registry::TargetRegistry;

use crate::fixtures::target;

fn usable(registry: &TargetRegistry, now: u64) -> Vec<String> {
    let service = name::Service::new("s");
    let usable = registry.usable(&service, &[], Millis(now));
    let names = usable.map(|listed| listed.target.name.to_string());
    names.collect()
}

#[test]
fn a_notice_outweighs_entries_of_the_same_run() {
    let mut registry = TargetRegistry::default();
    registry.upsert(target("a", 7), Millis(0));
    registry.upsert(target("b", 7), Millis(0));
    let name = name::Target::new("a");
    assert!(registry.record_leaving(&name, Millis(10)));
    assert!(!registry.record_leaving(&name, Millis(20)));
    assert_eq!(usable(&registry, 20), ["b"]);
    // The entry lapses and comes back, or a peer passes on an older one.
    registry.upsert(target("a", 7), Millis(1_000));
    assert_eq!(usable(&registry, 1_000), ["b"]);
    registry.remove(&name, None, Millis(2_000));
    registry.upsert(target("a", 7), Millis(9_000));
    assert_eq!(usable(&registry, 9_000), ["b"]);
}

#[test]
fn a_notice_ends_with_the_run_of_its_target() {
    let mut registry = TargetRegistry::default();
    registry.upsert(target("a", 7), Millis(0));
    let name = name::Target::new("a");
    registry.record_leaving(&name, Millis(10));
    registry.upsert(target("a", 8), Millis(1_000));
    assert_eq!(usable(&registry, 1_000), ["a"]);
    // The new run may leave, too.
    assert!(registry.record_leaving(&name, Millis(2_000)));
    assert!(usable(&registry, 2_000).is_empty());
}

#[test]
fn an_answer_of_an_unlisted_target_is_no_notice() {
    let mut registry = TargetRegistry::default();
    assert!(!registry.record_leaving(&name::Target::new("a"), Millis(0)));
    registry.upsert(target("a", 7), Millis(10));
    assert_eq!(usable(&registry, 10), ["a"]);
}

#[test]
fn a_pause_ends_by_itself_and_with_the_run_of_its_target() {
    let mut registry = TargetRegistry::default();
    registry.upsert(target("a", 7), Millis(0));
    registry.upsert(target("b", 7), Millis(0));
    let [first, second] = ["a", "b"].map(name::Target::new);
    registry.record_pause(&first, Millis(1_500), Millis(1_000));
    assert_eq!(usable(&registry, 2_499), ["b"]);
    assert_eq!(
        registry.paused_until(&first, Millis(2_499)),
        Some(Millis(2_500))
    );
    assert_eq!(usable(&registry, 2_500), ["a", "b"]);
    registry.record_pause(&second, Millis(600_000), Millis(3_000));
    assert_eq!(usable(&registry, 600_000), ["a"]);
    registry.upsert(target("b", 8), Millis(600_001));
    assert_eq!(usable(&registry, 600_001), ["a", "b"]);
}

#[test]
fn a_pause_holds_for_the_run_that_is_listed_later() {
    let name = name::Target::new("a");
    for was_listed in [false, true] {
        let mut registry = TargetRegistry::default();
        if was_listed {
            registry.upsert(target("a", 7), Millis(0));
        }
        registry.record_pause(&name, Millis(3_000), Millis(1_000));
        registry.upsert(target("a", 8), Millis(1_500));
        assert!(usable(&registry, 3_999).is_empty());
        assert_eq!(usable(&registry, 4_000), ["a"]);
        // One that asks again extends it, and a long one may be that of another run.
        registry.record_pause(&name, Millis(60_000), Millis(5_000));
        registry.upsert(target("a", 9), Millis(6_000));
        assert!(usable(&registry, 14_999).is_empty());
        assert_eq!(usable(&registry, 15_000), ["a"]);
    }
}

#[test]
fn the_longest_pause_holds_and_a_leaving_target_does_not_come_back_after_it() {
    let mut registry = TargetRegistry::default();
    registry.upsert(target("a", 7), Millis(0));
    let name = name::Target::new("a");
    registry.record_pause(&name, Millis(5_000), Millis(0));
    registry.record_pause(&name, Millis(100), Millis(1_000));
    assert_eq!(
        registry.paused_until(&name, Millis(1_000)),
        Some(Millis(5_000))
    );
    let service = name::Service::new("s");
    assert_eq!(registry.staying(&service, &[], Millis(1_000)).count(), 1);
    registry.record_leaving(&name, Millis(2_000));
    assert_eq!(registry.staying(&service, &[], Millis(2_000)).count(), 0);
    assert!(usable(&registry, 6_000).is_empty());
}
