//! Assignment of roles to daemons.
//!
//! One daemon dispatches the pieces of each stage service. A few daemons read
//! the platform's store, and the others get its changes from them. Every daemon
//! computes the assignment from the members that it knows. The assignment
//! grants no exclusive right: two dispatchers of one service only cost
//! additional calls, so nothing waits for an agreement. A dispatcher that is no
//! longer the chosen one hands its waiting groups over.

use std::cmp::Reverse;

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

/// Returns whether a member reads the store itself.
#[must_use]
pub fn is_store_reader(me: &name::Member, members: &[&MemberState]) -> bool {
    if members.len() <= ALL_READ_MAX_MEMBERS {
        return true;
    }
    let order = dispatcher_order(&name::Service::new("store"), members);
    order
        .iter()
        .take(STORE_READERS)
        .any(|member| member.name == *me)
}

/// Returns the members in the order in which they are asked to dispatch a
/// service.
///
/// Dispatching takes processor time, so members with a larger processor share
/// go first, and members that shut down go last. Equal members are ordered by
/// rendezvous hashing.
#[must_use]
pub fn dispatcher_order<'a>(
    service: &name::Service,
    members: &[&'a MemberState],
) -> Vec<&'a MemberState> {
    let mut order = members.to_vec();
    order.sort_by_cached_key(|member| rank_key(service, member));
    order
}

/// Returns the first member of [`dispatcher_order`].
#[must_use]
pub fn dispatcher<'a>(
    service: &name::Service,
    members: &[&'a MemberState],
) -> Option<&'a MemberState> {
    members
        .iter()
        .copied()
        .min_by_key(|member| rank_key(service, member))
}

fn rank_key(service: &name::Service, member: &MemberState) -> (bool, Reverse<u32>, Reverse<u64>) {
    let weight = hash::mix(
        hash::text(service.as_str()),
        hash::text(member.name.as_str()),
    );
    (
        member.is_leaving,
        Reverse(member.cpu_millicores),
        Reverse(weight),
    )
}
