//! Division of limits of the whole fleet among its daemons.
//!
//! Every daemon computes its own part from the members that it knows, without
//! agreement.

use crate::hash;
use crate::name;

/// Returns how many of the members come before this daemon in the order in which they
/// get parts of a target's limit, by rendezvous hashing.
#[must_use]
pub fn position(target: &name::Target, me: &name::Member, members: &[name::Member]) -> usize {
    let weight =
        |member: &name::Member| hash::mix(hash::text(target.as_str()), hash::text(member.as_str()));
    let own_weight = weight(me);
    let ahead = members.iter().filter(|member| weight(member) > own_weight);
    ahead.count()
}
