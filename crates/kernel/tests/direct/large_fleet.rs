//! Simulates the heartbeats of large fleets in virtual time.

use std::net::SocketAddr;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::membership::GREET_INTERVAL;
use gooseberry_kernel::fleet::membership::Membership;

use crate::fixtures::member;

/// Exchanges greetings between two daemons.
fn greet(daemons: &mut [Membership], from: usize, to: usize, now: Millis) {
    for (from, to) in [(from, to), (to, from)] {
        let me = daemons[from].me().clone();
        let others = daemons[from].states_for_greeting(now);
        let receiver = &mut daemons[to];
        receiver.update_direct(me, now);
        for other in others {
            receiver.update_relayed(other, now);
        }
    }
}

/// Runs a fleet of this size for `span`, of which the members in `dead` do not
/// take part. Returns how often a live member counted as silent, and for how
/// many pairs of a live and a dead member the latter still counted as live.
fn run(size: usize, dead: &[usize], span: Millis) -> (usize, usize) {
    let mut daemons: Vec<Membership> = (0..size)
        .map(|index| {
            let mut membership = Membership::new(member(index));
            for other in (0..size).filter(|other| *other != index) {
                membership.update_direct(member(other), Millis(1));
            }
            membership
        })
        .collect();
    let addresses: Vec<SocketAddr> = (0..size).map(|index| member(index).address).collect();
    let live: Vec<usize> = (0..size).filter(|index| !dead.contains(index)).collect();
    let mut false_alarms = 0;
    for now in (2..span.0).map(Millis) {
        for index in live.iter().copied() {
            if now.0 % GREET_INTERVAL.0 != (index as u64 * 37) % GREET_INTERVAL.0 {
                continue;
            }
            let before = Millis(now.0.saturating_sub(GREET_INTERVAL.0));
            let silent = daemons[index].silent_since(before, now);
            false_alarms += silent
                .iter()
                .filter(|name| {
                    let number = name.as_str()[2..].parse().expect("it is a number");
                    !dead.contains(&number)
                })
                .count();
            for address in daemons[index].next_greetings(now) {
                let peer = addresses.iter().position(|known| *known == address);
                let peer = peer.expect("it is a daemon");
                if !dead.contains(&peer) {
                    greet(&mut daemons, index, peer, now);
                }
            }
        }
    }
    let undetected = live.iter().map(|index| {
        let others = dead.iter();
        others
            .filter(|other| daemons[*index].is_live(addresses[**other], span))
            .count()
    });
    (false_alarms, undetected.sum())
}

#[test]
fn live_members_of_large_fleets_do_not_count_as_silent() {
    for size in [76, 295, 500] {
        let (false_alarms, _) = run(size, &[], Millis(20_000));
        println!("{size} daemons: {false_alarms} false alarms");
        assert_eq!(false_alarms, 0, "with {size} daemons");
    }
}

/// A failure domain of a fifth of the fleet is lost at once.
#[test]
fn lost_domain_is_detected_and_no_live_member_counts_as_silent() {
    for size in [76, 295] {
        let dead: Vec<usize> = (0..size).filter(|index| index % 5 == 0).collect();
        let (false_alarms, undetected) = run(size, &dead, Millis(10_000));
        println!("{size} daemons: {false_alarms} false alarms, {undetected} undetected");
        assert_eq!((false_alarms, undetected), (0, 0), "with {size} daemons");
    }
}
