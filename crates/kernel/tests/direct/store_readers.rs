//! Simulates how the confirmations of the store's readers spread over a large
//! fleet, in virtual time. Each call to the store has a cost, so a follower must
//! not call it while the readers do.

use std::net::SocketAddr;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::assignment;
use gooseberry_kernel::fleet::assignment::CONFIRMATION_AGE_MAX;
use gooseberry_kernel::fleet::assignment::StoreRole;
use gooseberry_kernel::fleet::membership::GREET_INTERVAL;
use gooseberry_kernel::fleet::membership::Membership;

use crate::fixtures::member;

/// The time between the end of a watch and the next one.
const READ_PAUSE: Millis = Millis(100);
/// How often a follower checks the age of the last confirmation.
const CHECK_INTERVAL: u64 = 100;

struct Daemon {
    membership: Membership,
    confirmed_at: Millis,
    /// When the current watch ends, for a reader.
    watch_end: Option<Millis>,
}

fn role(daemon: &Daemon, now: Millis) -> StoreRole {
    let live = daemon.membership.live(now);
    assignment::store_role(&daemon.membership.me().name, &live)
}

/// Exchanges greetings between two daemons.
fn greet(daemons: &mut [Daemon], from: usize, to: usize, now: Millis) {
    for (from, to) in [(from, to), (to, from)] {
        let me = daemons[from].membership.me().clone();
        let others = daemons[from].membership.states_for_greeting(now);
        let confirmed_at = daemons[from].confirmed_at;
        let receiver = &mut daemons[to];
        receiver.membership.update_direct(me, now);
        for other in others {
            receiver.membership.update_relayed(other, now);
        }
        receiver.confirmed_at = receiver.confirmed_at.max(confirmed_at);
    }
}

/// Returns how often followers found the last confirmation too old within ten
/// seconds after a change of the store, in a fleet of this size.
fn calls_of_followers(size: usize) -> usize {
    let mut daemons: Vec<Daemon> = (0..size)
        .map(|index| {
            let mut membership = Membership::new(member(index));
            for other in (0..size).filter(|other| *other != index) {
                membership.update_direct(member(other), Millis(1));
            }
            Daemon {
                membership,
                confirmed_at: Millis::ZERO,
                watch_end: None,
            }
        })
        .collect();
    let addresses: Vec<SocketAddr> = (0..size).map(|index| member(index).address).collect();
    let mut calls = 0;
    // All readers learn of a change at the start.
    for daemon in &mut daemons {
        if let role @ StoreRole::Reader(_) = role(daemon, Millis(1)) {
            let wait = assignment::watch_wait(role, true);
            daemon.watch_end = Some(Millis(1) + READ_PAUSE + wait);
        }
        daemon.confirmed_at = Millis(1);
    }
    for now in (2..10_000).map(Millis) {
        for index in 0..size {
            let daemon = &mut daemons[index];
            if daemon.watch_end == Some(now) {
                daemon.confirmed_at = now;
                let wait = assignment::watch_wait(role(daemon, now), false);
                daemon.watch_end = Some(now + READ_PAUSE + wait);
            }
            let is_follower = daemon.watch_end.is_none();
            let is_check_due = now.0 % CHECK_INTERVAL == index as u64 % CHECK_INTERVAL;
            if is_follower && is_check_due && now - daemon.confirmed_at > CONFIRMATION_AGE_MAX {
                calls += 1;
            }
            if now.0 % GREET_INTERVAL.0 == (index as u64 * 37) % GREET_INTERVAL.0 {
                for address in daemons[index].membership.next_greetings(now) {
                    let peer = addresses.iter().position(|known| *known == address);
                    greet(&mut daemons, index, peer.expect("it is a daemon"), now);
                }
            }
        }
    }
    calls
}

#[test]
fn followers_do_not_call_the_store_while_the_readers_confirm() {
    for size in [20, 76, 295] {
        assert_eq!(calls_of_followers(size), 0, "with {size} daemons");
    }
}
