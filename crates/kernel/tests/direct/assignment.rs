use std::net::SocketAddr;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::assignment;
use gooseberry_kernel::fleet::assignment::StoreRole;
use gooseberry_kernel::fleet::discovery::Discovery;
use gooseberry_kernel::fleet::discovery::PEER_DISCOVERY_TIME;
use gooseberry_kernel::fleet::discovery::SEED_SKIP_TIME;
use gooseberry_kernel::fleet::discovery::SETTLED_AFTER;
use gooseberry_kernel::fleet::membership::MemberState;
use gooseberry_kernel::fleet::membership::Membership;
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

fn address(index: u64) -> SocketAddr {
    ([10, 0, 0, u8::try_from(index).expect("few daemons")], 80).into()
}

fn seed_order(discovery: &Discovery, me: &MemberState, now: Millis) -> Vec<SocketAddr> {
    let service = name::Service::new("s");
    assignment::dispatchers(&service, me, &[me], discovery, |_| true, now)
}

/// Plays the start of 65 daemons within 0.3 s of each other. The seed 2 is down, and the
/// others are too busy to answer greetings in the first second. With the members that each
/// one knew, most daemons dispatched for the service, and their calls met at full targets.
#[test]
fn after_a_start_of_the_whole_fleet_few_daemons_dispatch_for_a_service() {
    const DAEMONS: u64 = 65;
    const DOWN: u64 = 2;
    let seeds = [address(0), address(1), address(DOWN)];
    let service = name::Service::new("roll");
    let member = |index: u64| MemberState {
        address: address(index),
        ..member(
            &format!("d-{index}"),
            90 + u32::try_from(index * 29 % 400).unwrap_or(0),
        )
    };
    let mut daemons: Vec<(Membership, Discovery)> = (0..DAEMONS)
        .map(|index| {
            let discovery = Discovery::new(&seeds, address(index));
            (Membership::new(member(index)), discovery)
        })
        .collect();
    // By a common clock: when the daemon with this index starts, and from when on a peer
    // answers its greetings.
    let start = |index: u64| index * 37 % 300;
    let answers_from = |index: u64, peer: u64| 800 + (index * 41 + peer * 17) % 400;
    let mut dispatchers_by_time = Vec::new();
    for at in 0..4_000 {
        for index in (0..DAEMONS).filter(|index| *index != DOWN && at >= start(*index)) {
            let now = Millis(at - start(index));
            if !now.0.is_multiple_of(300) {
                continue;
            }
            let mut due = daemons[usize::try_from(index).expect("few")]
                .0
                .next_greetings(now);
            if due.len() < seeds.len() {
                due.extend(seeds);
            }
            for peer in (0..DAEMONS).filter(|peer| *peer != index && due.contains(&address(*peer)))
            {
                let is_up = peer != DOWN && at >= start(peer);
                let answers = is_up && at >= answers_from(index, peer);
                let discovery = &mut daemons[usize::try_from(index).expect("few")].1;
                if answers || !is_up {
                    discovery.record_call(address(peer), answers, now);
                }
                for (from, to) in [(index, peer), (peer, index)] {
                    if !answers {
                        continue;
                    }
                    let sender = &mut daemons[usize::try_from(from).expect("few")].0;
                    let me = sender.me().clone();
                    let states = sender.states_for_greeting(Millis(at - start(from)));
                    let (receiver, discovery) = &mut daemons[usize::try_from(to).expect("few")];
                    let now = Millis(at - start(to));
                    let direct = receiver.update_direct(me, now);
                    let relayed = states.into_iter();
                    let relayed = relayed.filter_map(|state| receiver.update_relayed(state, now));
                    if direct.into_iter().chain(relayed).count() > 0 {
                        discovery.record_found(now);
                    }
                }
            }
        }
        let chosen = |by_seeds: bool| {
            let mut chosen: Vec<SocketAddr> = Vec::new();
            for index in (0..DAEMONS).filter(|index| *index != DOWN && at >= start(*index)) {
                let (membership, discovery) = &daemons[usize::try_from(index).expect("few")];
                let now = Millis(at - start(index));
                let live = membership.live(now);
                let without = Discovery::new(&[], address(index));
                let discovery = if by_seeds { discovery } else { &without };
                let me = membership.me();
                let order = assignment::dispatchers(&service, me, &live, discovery, |_| true, now);
                chosen.push(order[0]);
            }
            chosen.sort_unstable();
            chosen.dedup();
            chosen.len()
        };
        if at % 50 == 0 {
            dispatchers_by_time.push((at, chosen(false), chosen(true)));
        }
    }
    println!("at, by known members, by seeds first: {dispatchers_by_time:?}");
    let most = |counts: &dyn Fn(&(u64, usize, usize)) -> usize| {
        dispatchers_by_time.iter().map(counts).max().unwrap_or(0)
    };
    assert!(most(&|(_, by_members, _)| *by_members) >= 20);
    assert!(most(&|(_, _, by_seeds)| *by_seeds) <= 3);
    assert_eq!(
        dispatchers_by_time.last().map(|(_, _, by_seeds)| *by_seeds),
        Some(1)
    );
}

#[test]
fn a_seed_that_does_not_answer_is_skipped_until_it_is_heard_of() {
    let me = MemberState {
        address: address(9),
        ..member("me", 100)
    };
    let seeds = [address(1), address(2), address(3)];
    let mut discovery = Discovery::new(&seeds, me.address);
    let order = seed_order(&discovery, &me, Millis(0));
    assert_eq!((order.len(), order[3]), (4, me.address));
    discovery.record_call(order[0], false, Millis(0));
    assert_eq!(seed_order(&discovery, &me, Millis(10)), order[1..]);
    assert!(!discovery.is_awaited(order[0], Millis(10)));
    discovery.record_call(order[0], true, Millis(20));
    assert_eq!(seed_order(&discovery, &me, Millis(20)), order);
    for seed in seeds {
        discovery.record_call(seed, false, Millis(20));
    }
    assert_eq!(seed_order(&discovery, &me, Millis(30)), [me.address]);
    let later = Millis(20) + SEED_SKIP_TIME;
    assert_eq!(seed_order(&discovery, &me, later), order);
}

/// A seed that shuts down, or does not reach the targets, would only return the groups.
#[test]
fn a_seed_known_to_leave_is_not_asked_before_the_daemon_itself() {
    let me = MemberState {
        address: address(9),
        ..member("me", 100)
    };
    let discovery = Discovery::new(&[address(1), address(2)], me.address);
    let leaving = MemberState {
        address: address(1),
        is_leaving: true,
        ..member("seed", 500)
    };
    let service = name::Service::new("s");
    let order = assignment::dispatchers(
        &service,
        &me,
        &[&me, &leaving],
        &discovery,
        |_| true,
        Millis(0),
    );
    assert_eq!(order, [address(2), me.address, address(1)]);
}

#[test]
fn the_discovery_ends_when_no_further_member_is_found_and_stays_so() {
    let discovery = Discovery::new(&[address(1)], address(1));
    assert!(discovery.is_complete(Millis(0)), "it is its only seed");
    let mut discovery = Discovery::new(&[address(1), address(2)], address(1));
    assert!(!discovery.is_complete(PEER_DISCOVERY_TIME - Millis(1)));
    assert!(discovery.is_complete(PEER_DISCOVERY_TIME));
    discovery.record_found(Millis(100));
    let settled = Millis(100) + SETTLED_AFTER;
    assert!(!discovery.is_complete(settled - Millis(1)));
    discovery.record_found(settled);
    assert!(discovery.is_complete(settled));
}
