//! The choice of the daemons that do something for the others.
//!
//! One of them gathers the pieces of a stage service; a few read the store, and
//! the others learn from them. Every daemon makes the same choice from the
//! members that it knows. The choice gives no right: two dispatchers of one
//! service cost extra calls, so nothing waits for an agreement. The one that is
//! no longer chosen hands over what waits.

use std::cmp::Reverse;

use crate::fleet::membership::MemberState;
use crate::hash;
use crate::name;

/// How many daemons read the store in a large fleet: some may be cut off, and
/// each passes large settings on to about ten others.
pub const STORE_READERS: usize = 6;
/// Up to how many daemons each reads the store itself; a call is priced, and a
/// small fleet gains little from saving some.
pub const ALL_READ_MAX_MEMBERS: usize = 8;

/// Tells whether a member reads the store itself.
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

/// Returns the members in the order in which they are asked to gather pieces.
///
/// A member with much processor goes before one with little, since gathering
/// is work; among equals the order comes from a hash of service and member.
#[must_use]
pub fn dispatcher_order<'a>(
    service: &name::Service,
    members: &[&'a MemberState],
) -> Vec<&'a MemberState> {
    let mut order = members.to_vec();
    order.sort_by_cached_key(|member| rank_key(service, member));
    order
}

/// Returns the member that is asked first.
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
