//! The choice of the dispatcher of a stage service.
//!
//! Every daemon makes the same choice from the members that it knows. The
//! choice gives no right: two dispatchers of one service cost extra calls and
//! nothing else, so nothing waits for an agreement.

use std::cmp::Reverse;

use crate::fleet::member::Row;
use crate::hash;
use crate::name;

/// Returns the members in the order in which they are asked to gather pieces.
///
/// A member with much processor goes before one with little, since gathering
/// is work; among equals the order comes from a hash of service and member.
#[must_use]
pub fn order<'a>(service: &name::Service, members: &[&'a Row]) -> Vec<&'a Row> {
    let mut order = members.to_vec();
    let seed = hash::text(service.as_str());
    order.sort_by_key(|row| {
        let weight = hash::mix(seed, hash::text(row.name.as_str()));
        (row.is_leaving, Reverse(row.strength), Reverse(weight))
    });
    order
}
