use std::net::SocketAddr;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::assignment;
use gooseberry_kernel::fleet::detour::Announcement;
use gooseberry_kernel::fleet::detour::Detours;
use gooseberry_kernel::fleet::membership::MemberState;
use gooseberry_kernel::name;
use gooseberry_kernel::target::link::Change;
use gooseberry_kernel::target::link::Links;
use gooseberry_kernel::target::link::RECHECK_INTERVAL;
use gooseberry_kernel::target::link::SILENCE_MAX;

fn service() -> name::Service {
    name::Service::new("service")
}

/// Runs a check that reaches some of the targets that it connects to.
fn check(links: &mut Links, reached: usize, tried: usize, now: Millis) -> Option<Change> {
    assert!(links.begin_check(&service(), now), "a check is needed");
    links.end_check(&service(), reached, tried, now + Millis(400))
}

#[test]
fn a_link_is_down_while_fewer_than_a_quarter_of_the_targets_are_reached() {
    for (reached, tried, is_down) in [
        (0, 1, true),
        (0, 3, true),
        (1, 5, true),
        (1, 8, true),
        (1, 4, false),
        (1, 3, false),
        (2, 8, false),
        (3, 5, false),
    ] {
        let mut links = Links::default();
        let change = check(&mut links, reached, tried, Millis(1_000));
        assert_eq!(change.is_some(), is_down, "{reached} of {tried} reached");
        assert_eq!(links.is_down(&service()), is_down);
    }
}

#[test]
fn a_service_without_targets_says_nothing_of_its_link() {
    let mut links = Links::default();
    assert_eq!(check(&mut links, 0, 0, Millis(1_000)), None);
    assert!(!links.is_down(&service()));
    // A call that broke off before waits for no other check.
    let verdict = links.is_fault_of_target(&service(), Millis(1_000));
    assert_eq!(verdict, Some(true));
}

#[test]
fn a_link_that_is_down_is_checked_again_until_half_of_the_targets_are_reached() {
    let mut links = Links::default();
    check(&mut links, 0, 3, Millis(1_000));
    let mut now = Millis(1_400);
    assert_eq!(links.begin_rechecks(now), []);
    for (reached, change) in [
        (0, None),
        (1, None),
        (2, Some(Change::Up(Millis(3 * RECHECK_INTERVAL.0)))),
    ] {
        now = now + RECHECK_INTERVAL;
        assert_eq!(links.begin_rechecks(now), [service()]);
        assert_eq!(links.begin_rechecks(now), [], "one check at a time");
        assert_eq!(links.end_check(&service(), reached, 3, now), change);
    }
    assert!(!links.is_down(&service()));
}

#[test]
fn a_silent_call_is_no_reason_for_a_check_while_others_have_replies() {
    let mut links = Links::default();
    links.record_reply(&service(), Millis(1_000));
    let soon = Millis(1_000 + SILENCE_MAX.0 - 1);
    assert!(!links.begin_check_after_silence(&service(), soon));
    assert!(links.begin_check_after_silence(&service(), soon + Millis(1)));
}

fn member(number: u8) -> MemberState {
    MemberState {
        name: name::Member::new(&format!("d-{number}")),
        incarnation: 1,
        beat: 1,
        address: ([10, 0, 0, number], 80).into(),
        cpu_millicores: 250,
        is_leaving: false,
    }
}

fn address(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 81).into()
}

fn announcement(number: u8, unreached: &[name::Service]) -> Announcement {
    Announcement {
        address: Some(address(number)),
        unreached: unreached.to_vec(),
    }
}

#[test]
fn requests_are_spread_over_the_peers_that_reach_the_service() {
    let members: Vec<MemberState> = (1..=6).map(member).collect();
    let mut live: Vec<&MemberState> = members.iter().collect();
    let mut detours = Detours::default();
    for number in 1..=4 {
        let unreached = if number == 1 {
            vec![service()]
        } else {
            Vec::new()
        };
        let announced = announcement(number, &unreached);
        detours.record(&members[usize::from(number) - 1].name, Some(announced));
    }
    // The fifth is of a build that says nothing, and the sixth takes no requests.
    detours.record(&members[4].name, None);
    let silent = Announcement {
        address: None,
        unreached: Vec::new(),
    };
    detours.record(&members[5].name, Some(silent));
    let mut counts = [0; 7];
    for draw in 0..300 {
        let chosen = detours.choose(&service(), &live, &[], draw);
        let chosen = chosen.expect("three peers reach the service");
        let number = (1..=6).find(|number| address(*number) == chosen);
        counts[usize::from(number.expect("a peer"))] += 1;
    }
    assert_eq!((counts[1], counts[5], counts[6]), (0, 0, 0));
    assert!(counts[2..=4].iter().all(|count| *count > 60), "{counts:?}");
    let tried = [address(2), address(3)];
    assert_eq!(
        detours.choose(&service(), &live, &tried, 7),
        Some(address(4))
    );
    detours.record_unreached(address(4), &service());
    assert_eq!(detours.choose(&service(), &live, &tried, 7), None);
    let other = name::Service::new("other");
    assert_eq!(detours.choose(&other, &live, &tried, 7), Some(address(4)));
    live.truncate(3);
    assert_eq!(detours.choose(&service(), &live, &tried, 7), None);
}

#[test]
fn a_daemon_that_does_not_reach_a_service_dispatches_for_it_last() {
    let members: Vec<MemberState> = (1..=5).map(member).collect();
    let live: Vec<&MemberState> = members.iter().collect();
    let usual = assignment::dispatcher(&service(), &live, |_| true);
    let usual = usual.expect("a dispatcher").name.clone();
    let mut detours = Detours::default();
    detours.record(&usual, Some(announcement(9, &[service()])));
    let reaches = |member: &MemberState| detours.reaches(&member.name, &service());
    let order = assignment::dispatcher_order(&service(), &live, reaches);
    assert_eq!(order.last().map(|member| &member.name), Some(&usual));
    assert_eq!(order.len(), 5);
}
