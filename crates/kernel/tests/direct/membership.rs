use std::net::SocketAddr;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::membership::FLEET_SIZE_MEMORY;
use gooseberry_kernel::fleet::membership::GREET_MAX;
use gooseberry_kernel::fleet::membership::GREETING_STATES_MAX;
use gooseberry_kernel::fleet::membership::MemberChange;
use gooseberry_kernel::fleet::membership::MemberState;
use gooseberry_kernel::fleet::membership::Membership;
use gooseberry_kernel::fleet::membership::Process;
use gooseberry_kernel::fleet::membership::SILENT_AFTER;
use gooseberry_kernel::name;

fn address(index: u8) -> SocketAddr {
    ([10, 0, 0, index], 80).into()
}

fn state(index: u8, incarnation: u64, beat: u64) -> MemberState {
    MemberState {
        name: name::Member::new(&format!("d-{index}")),
        incarnation,
        beat,
        address: address(index),
        cpu_millicores: 250,
        is_leaving: false,
    }
}

#[test]
fn member_is_live_while_its_heartbeat_advances_from_any_source() {
    let mut membership = Membership::new(state(0, 1, 0));
    assert!(
        membership
            .update_relayed(state(1, 1, 1), Millis(0))
            .is_some()
    );
    // A repeated old heartbeat doesn't keep a member alive.
    membership.update_relayed(state(1, 1, 1), Millis(1_400));
    assert!(membership.is_live(address(1), Millis(1_400)));
    assert!(!membership.is_live(address(1), SILENT_AFTER));
    assert_eq!(
        membership.silent_since(Millis(1_400), SILENT_AFTER).len(),
        1
    );
    let change = membership.update_relayed(state(1, 1, 2), Millis(2_000));
    assert_eq!(change, Some(MemberChange::Found(name::Member::new("d-1"))));
}

#[test]
fn lower_incarnation_is_accepted_only_from_the_member_itself() {
    let mut membership = Membership::new(state(0, 1, 0));
    membership.update_direct(state(1, 5_000, 40), Millis(0));
    membership.update_relayed(state(1, 3_000, 1), Millis(100));
    assert_eq!(
        membership.states_for_greeting(Millis(100))[0].incarnation,
        5_000
    );
    membership.update_direct(state(1, 3_000, 1), Millis(200));
    assert_eq!(
        membership.states_for_greeting(Millis(200))[0].incarnation,
        3_000
    );
}

/// Guards against ignoring the leaving state: for up to a round of greetings
/// other daemons kept sending work to a dispatcher that had announced its
/// shutdown.
#[test]
fn leaving_state_takes_effect_immediately() {
    let mut leaving_member = Membership::new(state(0, 1, 0));
    let mut other = Membership::new(state(1, 1, 0));
    leaving_member.next_greetings(Millis(0));
    other.update_direct(leaving_member.me().clone(), Millis(0));
    leaving_member.mark_leaving();
    other.update_direct(leaving_member.me().clone(), Millis(100));
    let live = other.live(Millis(100));
    let leaving = live.iter().filter(|state| state.is_leaving);
    assert_eq!(leaving.count(), 1);
}

#[test]
fn process_has_ended_when_silent_or_restarted() {
    let mut membership = Membership::new(state(0, 1, 0));
    let process = |incarnation| Process {
        address: address(1),
        incarnation,
    };
    // A daemon that sends a request before its first greeting has not ended.
    assert!(!membership.has_ended(process(5), Millis(0)));
    membership.update_direct(state(1, 5, 1), Millis(0));
    assert!(!membership.has_ended(process(5), Millis(100)));
    membership.update_direct(state(1, 6, 1), Millis(200));
    assert!(membership.has_ended(process(5), Millis(200)));
    assert!(!membership.has_ended(process(6), Millis(200)));
    assert!(membership.has_ended(process(6), Millis(200) + SILENT_AFTER));
}

#[test]
fn fleet_size_still_counts_members_lost_to_a_partition() {
    let mut membership = Membership::new(state(0, 1, 0));
    for index in 1..6 {
        membership.update_direct(state(index, 1, 1), Millis(0));
    }
    assert_eq!(membership.fleet_size(Millis(10)), 6);
    assert_eq!(membership.live(Millis(5_000)).len(), 1);
    assert_eq!(membership.fleet_size(Millis(5_000)), 6);
    assert_eq!(membership.fleet_size(FLEET_SIZE_MEMORY + Millis(20)), 1);
}

#[test]
fn greetings_rotate_over_all_members_of_a_large_fleet() {
    let mut membership = Membership::new(state(0, 1, 0));
    for index in 1..65 {
        membership.update_direct(state(index, 1, 1), Millis(0));
    }
    let mut greeted: Vec<SocketAddr> = Vec::new();
    for _ in 0..8 {
        let due = membership.next_greetings(Millis(100));
        assert!(due.len() <= GREET_MAX);
        greeted.extend(due);
    }
    greeted.sort();
    greeted.dedup();
    assert_eq!(greeted.len(), 64);
}

#[test]
fn greeting_size_is_bounded_and_rotates_over_all_members() {
    let mut membership = Membership::new(state(0, 1, 0));
    for index in 1..65 {
        membership.update_direct(state(index, 1, 1), Millis(0));
    }
    let mut announced: Vec<name::Member> = Vec::new();
    for _ in 0..8 {
        let states = membership.states_for_greeting(Millis(100));
        assert!(states.len() <= GREETING_STATES_MAX);
        announced.extend(states.into_iter().map(|state| state.name));
    }
    announced.sort();
    announced.dedup();
    assert_eq!(announced.len(), 64);
}

/// Simulates a large fleet in which a greeting carries only a few states: all
/// daemons find each other, and all detect a daemon that ends.
#[test]
fn large_fleet_discovers_all_members_and_detects_a_dead_one() {
    let count: u8 = 64;
    let seeds = [address(0), address(1), address(2)];
    let mut memberships: Vec<Membership> = (0..count)
        .map(|index| Membership::new(state(index, 1, 0)))
        .collect();
    let run_rounds =
        |memberships: &mut Vec<Membership>, from: u64, until: u64, dead: Option<u8>| {
            for round in from..until {
                let now = Millis(round * 300);
                for index in (0..count).filter(|index| Some(*index) != dead) {
                    let mut due = memberships[usize::from(index)].next_greetings(now);
                    if due.len() < seeds.len() {
                        due.extend(seeds);
                    }
                    for peer in due {
                        let peer = (0..count)
                            .find(|candidate| address(*candidate) == peer)
                            .expect("the address belongs to a member");
                        if peer == index || Some(peer) == dead {
                            continue;
                        }
                        for (sender, receiver) in [(index, peer), (peer, index)] {
                            let sender = &mut memberships[usize::from(sender)];
                            let me = sender.me().clone();
                            let states = sender.states_for_greeting(now);
                            let receiver = &mut memberships[usize::from(receiver)];
                            receiver.update_direct(me, now);
                            for state in states {
                                receiver.update_relayed(state, now);
                            }
                        }
                    }
                }
            }
        };
    run_rounds(&mut memberships, 0, 20, None);
    let live = |memberships: &[Membership], round: u64| {
        let live = memberships
            .iter()
            .map(|membership| membership.live(Millis(round * 300)).len());
        live.min().unwrap_or(0)
    };
    assert_eq!(live(&memberships, 20), usize::from(count));
    run_rounds(&mut memberships, 20, 60, Some(7));
    memberships.remove(7);
    assert_eq!(live(&memberships, 60), usize::from(count) - 1);
}
