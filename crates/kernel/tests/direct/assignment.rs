use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::assignment;
use gooseberry_kernel::fleet::assignment::StoreRole;
use gooseberry_kernel::fleet::membership::MemberState;
use gooseberry_kernel::name;

fn member(name: &str, cpu_millicores: u32) -> MemberState {
    MemberState {
        name: name::Member::new(name),
        incarnation: 1,
        beat: 1,
        address: ([10, 0, 0, 1], 80).into(),
        cpu_millicores,
        is_leaving: false,
    }
}

fn dispatcher(service: &str, members: &[MemberState]) -> String {
    let members: Vec<&MemberState> = members.iter().collect();
    let order = assignment::dispatcher_order(&name::Service::new(service), &members, |_| true);
    order[0].name.to_string()
}

#[test]
fn all_daemons_agree_on_dispatchers_and_services_are_spread() {
    let members: Vec<MemberState> = (0..6)
        .map(|index| member(&format!("d-{index}"), 250))
        .collect();
    let mut reversed = members.clone();
    reversed.reverse();
    let mut chosen: Vec<String> = Vec::new();
    for service in 0..30 {
        let service = format!("service-{service}");
        assert_eq!(
            dispatcher(&service, &members),
            dispatcher(&service, &reversed)
        );
        chosen.push(dispatcher(&service, &members));
    }
    chosen.sort();
    chosen.dedup();
    assert!(chosen.len() >= 4, "only {chosen:?} dispatch");
}

#[test]
fn dispatcher_prefers_more_cpu_and_avoids_leaving_members() {
    let mut members = vec![member("a", 120), member("b", 500), member("c", 120)];
    assert_eq!(dispatcher("s", &members), "b");
    members[1].is_leaving = true;
    assert_ne!(dispatcher("s", &members), "b");
}

/// With equal delays for all, an outage of some seconds made 76 daemons call the
/// store over a thousand times.
#[test]
fn followers_call_a_failing_store_ever_less_often_than_readers() {
    let calls_within = |role, span: Millis| {
        let mut at = Millis::ZERO;
        let calls = (1..).take_while(|failures| {
            at = at + assignment::retry_delay(role, *failures);
            at < span
        });
        calls.count()
    };
    let outage = Millis(9_000);
    for role in [StoreRole::ReadsForItself, StoreRole::Reader(0)] {
        assert_eq!(calls_within(role, outage), 35);
    }
    assert_eq!(calls_within(StoreRole::Follower, outage), 5);
    let longest = assignment::retry_delay(StoreRole::Follower, u32::MAX);
    assert_eq!(longest, Millis(2_000));
}
