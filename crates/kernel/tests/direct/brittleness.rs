use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::target::brittleness::Brittleness;

fn names() -> (name::Service, name::Target) {
    (name::Service::new("service"), name::Target::new("target"))
}

#[test]
fn all_daemons_together_keep_to_the_slots_of_a_target() {
    let (service, _) = names();
    let mut brittleness = Brittleness::default();
    assert_eq!(brittleness.in_flight_max(&service, 48, 7), None);
    assert!(brittleness.observe(&service, Some(5), Millis(0)));
    assert!(!brittleness.observe(&service, Some(5), Millis(1_000)));
    assert!(brittleness.observe(&service, Some(6), Millis(2_000)));
    assert_eq!(brittleness.in_flight_max(&service, 48, 7), Some(6));
    // A daemon of a fleet that is larger than the target's slots is not starved.
    assert_eq!(brittleness.in_flight_max(&service, 6, 81), Some(1));
    let other = name::Service::new("other");
    assert_eq!(brittleness.in_flight_max(&other, 48, 7), None);
    assert!(brittleness.observe(&service, None, Millis(3_000)));
    assert_eq!(brittleness.in_flight_max(&service, 48, 7), None);
}

#[test]
fn all_daemons_together_are_turned_away_no_more_often_than_a_target_can_bear() {
    let (service, target) = names();
    for (turned_away_max, fleet_size, pause) in [
        (5, 10, Some(2_000)),
        (100, 7, Some(200)),
        (1, 295, Some(10_000)),
        (0, 7, Some(10_000)),
    ] {
        let mut brittleness = Brittleness::default();
        brittleness.record_turned_away(&service, &target, fleet_size, Millis(500));
        assert_eq!(brittleness.paused_until(&target, Millis(500)), None);
        brittleness.observe(&service, Some(turned_away_max), Millis(1_000));
        brittleness.record_turned_away(&service, &target, fleet_size, Millis(1_000));
        let until = pause.map(|pause| Millis(1_000 + pause));
        assert_eq!(brittleness.paused_until(&target, Millis(1_001)), until);
        brittleness.expire(until.unwrap_or_default());
        assert_eq!(brittleness.paused_until(&target, Millis(1_001)), None);
    }
}

#[test]
fn the_word_of_a_service_is_forgotten_if_it_does_not_answer() {
    let (service, _) = names();
    let mut brittleness = Brittleness::default();
    brittleness.observe(&service, Some(5), Millis(0));
    brittleness.expire(Millis(29_999));
    assert!(brittleness.in_flight_max(&service, 8, 2).is_some());
    brittleness.expire(Millis(30_000));
    assert_eq!(brittleness.in_flight_max(&service, 8, 2), None);
}
