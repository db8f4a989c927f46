use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::target::health::Health;

#[test]
fn target_failing_one_call_in_seven_is_not_avoided() {
    let target = name::Target::new("a");
    let mut health = Health::default();
    for call in 0_u64..200 {
        let now = Millis(call * 20);
        if call % 7 == 0 {
            health.record_failure(&target, now);
        } else {
            health.record_success(&target);
        }
        assert!(!health.is_avoided(&target, now), "avoided at call {call}");
    }
}

#[test]
fn avoidance_grows_with_consecutive_failures() {
    let target = name::Target::new("a");
    let mut health = Health::default();
    health.record_failure(&target, Millis(0));
    let mut spans = Vec::new();
    for round in 1..6 {
        let now = Millis(round * 10_000);
        let until = health
            .record_failure(&target, now)
            .expect("it failed twice");
        spans.push(until - now);
    }
    assert!(spans.is_sorted(), "{spans:?}");
    assert!(spans[0] < spans[4], "{spans:?}");
    assert!(!health.is_avoided(&target, Millis(60_000)));
}

#[test]
fn unreachable_target_is_avoided_immediately() {
    let target = name::Target::new("a");
    let mut health = Health::default();
    health.record_unreachable(&target, Millis(5));
    assert!(health.is_avoided(&target, Millis(6)));
}
