//! Assignment of roles to daemons.
//!
//! One daemon dispatches the pieces of each stage service. A few daemons read
//! the platform's store, and the others get its changes from them. Every daemon
//! computes the assignment from the members that it knows. The assignment
//! grants no exclusive right: two dispatchers of one service only cost
//! additional calls, so nothing waits for an agreement. A dispatcher that is no
//! longer the chosen one hands its waiting groups over.

use std::cmp::Reverse;

use crate::clock::Millis;
use crate::derive::scalar;
use crate::fleet::membership::MemberState;
use crate::hash;
use crate::name;

/// Number of daemons that read the store in a large fleet. It takes several,
/// since some may be cut off from the store and each passes large settings on
/// to about ten others.
pub const STORE_READERS: usize = 6;
/// Up to this number of members each daemon reads the store itself. Every call
/// to the store has a cost, but fewer readers would save few calls in a small
/// fleet.
pub const ALL_READ_MAX_MEMBERS: usize = 8;

/// How old the store's last confirmation may be before a daemon that is not one
/// of the chosen readers reads the store itself.
pub const CONFIRMATION_AGE_MAX: Millis = Millis(1_200);
/// How long a watch of the store waits for a change.
///
/// If a connection goes silent without an error, changes are missed until the
/// watch times out, so this is well below the time within which a change must
/// take effect. A shorter one would cost more calls.
pub const WATCH_TIMEOUT: Millis = Millis(1_500);

/// The shortest delay before a retry after a failed call to the store.
pub const RETRY_DELAY_MIN: Millis = Millis(250);
/// How often followers double the delay of their retries, up to two seconds.
const FOLLOWER_DOUBLINGS_MAX: u32 = 3;

scalar! {
    /// How a member gets the contents of the store.
    pub enum StoreRole {
        /// The fleet is small, and each member reads for itself.
        ReadsForItself,
        /// It reads for the others, as the reader at this position.
        Reader(usize),
        /// It gets the contents from the readers.
        Follower,
    }
}

/// Returns how a member gets the contents of the store.
#[must_use]
pub fn store_role(me: &name::Member, members: &[&MemberState]) -> StoreRole {
    if members.len() <= ALL_READ_MAX_MEMBERS {
        return StoreRole::ReadsForItself;
    }
    let order = dispatcher_order(&name::Service::new("store"), members, |_| true);
    let mut readers = order.iter().take(STORE_READERS);
    let position = readers.position(|member| member.name == *me);
    position.map_or(StoreRole::Follower, StoreRole::Reader)
}

/// Returns how long the next watch of the store waits for a change.
///
/// Each watch that ends confirms to the whole fleet that its contents are current.
/// A change ends the watches of all readers at the same moment. If all of them
/// then waited equally long, confirmations would come only once in
/// [`WATCH_TIMEOUT`], which is more than [`CONFIRMATION_AGE_MAX`], and all followers
/// would call the store each time. Their first waits after a change therefore
/// differ, which spreads the later ones evenly.
#[must_use]
pub fn watch_wait(role: StoreRole, follows_change: bool) -> Millis {
    match role {
        StoreRole::Reader(position) if follows_change => {
            Millis(WATCH_TIMEOUT.0 * (position as u64 + 1) / STORE_READERS as u64)
        }
        StoreRole::Reader(_) | StoreRole::ReadsForItself | StoreRole::Follower => WATCH_TIMEOUT,
    }
}

/// Returns the shortest delay before the next call to the store after this number
/// of failed calls in a row.
///
/// In an outage of the store all followers of a large fleet call it themselves. They
/// double their delays, since the readers notice its end within [`RETRY_DELAY_MIN`]
/// and tell them.
#[must_use]
pub fn retry_delay(role: StoreRole, failures: u32) -> Millis {
    match role {
        StoreRole::ReadsForItself | StoreRole::Reader(_) => RETRY_DELAY_MIN,
        StoreRole::Follower => {
            let doublings = failures.min(FOLLOWER_DOUBLINGS_MAX);
            Millis(RETRY_DELAY_MIN.0 << doublings)
        }
    }
}

/// Returns the members in the order in which they are asked to dispatch a
/// service.
///
/// Dispatching takes processor time, so members with a larger processor share
/// go first. Members that shut down, and those that do not reach the service's targets, go
/// last. Equal members are ordered by rendezvous hashing.
#[must_use]
pub fn dispatcher_order<'a>(
    service: &name::Service,
    members: &[&'a MemberState],
    reaches: impl Fn(&MemberState) -> bool,
) -> Vec<&'a MemberState> {
    let mut order = members.to_vec();
    order.sort_by_cached_key(|member| rank_key(service, member, &reaches));
    order
}

/// Returns the first member of [`dispatcher_order`].
#[must_use]
pub fn dispatcher<'a>(
    service: &name::Service,
    members: &[&'a MemberState],
    reaches: impl Fn(&MemberState) -> bool,
) -> Option<&'a MemberState> {
    members
        .iter()
        .copied()
        .min_by_key(|member| rank_key(service, member, &reaches))
}

/// Whether a member goes last, its processor share, and its weight.
type RankKey = (bool, Reverse<u32>, Reverse<u64>);

fn rank_key(
    service: &name::Service,
    member: &MemberState,
    reaches: &impl Fn(&MemberState) -> bool,
) -> RankKey {
    let weight = hash::mix(
        hash::text(service.as_str()),
        hash::text(member.name.as_str()),
    );
    (
        member.is_leaving || !reaches(member),
        Reverse(member.cpu_millicores),
        Reverse(weight),
    )
}
