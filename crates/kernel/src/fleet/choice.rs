//! The choice of the daemons that do something for the others.
//!
//! One of them gathers the pieces of a stage service; a few read the store, and
//! the others learn from them. Every daemon makes the same choice from the
//! members that it knows. The choice gives no right: two dispatchers of one
//! service cost extra calls, so nothing waits for an agreement. The one that is
//! no longer chosen hands over what waits.

use std::cmp::Reverse;

use crate::fleet::member::Row;
use crate::hash;
use crate::name;

/// How many daemons read the store in a large fleet: some may be cut off, and
/// each passes large settings on to about ten others.
pub const READERS: usize = 6;
/// Up to how many daemons each reads the store itself; a call is priced, and a
/// small fleet gains little from saving some.
pub const READERS_ALL: usize = 8;

/// Tells whether a member reads the store itself.
#[must_use]
pub fn is_reader(me: &name::Member, members: &[&Row]) -> bool {
    if members.len() <= READERS_ALL {
        return true;
    }
    let order = order(&name::Service::new("store"), members);
    order.iter().take(READERS).any(|row| row.name == *me)
}

/// Returns the members in the order in which they are asked to gather pieces.
///
/// A member with much processor goes before one with little, since gathering
/// is work; among equals the order comes from a hash of service and member.
#[must_use]
pub fn order<'a>(service: &name::Service, members: &[&'a Row]) -> Vec<&'a Row> {
    let mut order = members.to_vec();
    order.sort_by_cached_key(|row| key(service, row));
    order
}

/// Returns the member that is asked first.
#[must_use]
pub fn first<'a>(service: &name::Service, members: &[&'a Row]) -> Option<&'a Row> {
    members.iter().copied().min_by_key(|row| key(service, row))
}

fn key(service: &name::Service, row: &Row) -> (bool, Reverse<u32>, Reverse<u64>) {
    let weight = hash::mix(hash::text(service.as_str()), hash::text(row.name.as_str()));
    (row.is_leaving, Reverse(row.strength), Reverse(weight))
}
