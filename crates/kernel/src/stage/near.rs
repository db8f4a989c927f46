//! Where the pieces of a group may be made.

use crate::clock::Millis;
use crate::request::routing_table::BatchSpec;
use crate::stage::group::Group;
use crate::stage::queue::Maker;

/// From how many bytes on a group waits for a target in its own domain.
const NEAR_MIN_BYTES: u64 = 200_000;
/// How long a target near a group may take to fall free: about a call.
const NEAR_WAIT: Millis = Millis(300);

/// Returns the room that a target must have for a group: for all of it, unless
/// no target ever has that much.
pub(super) fn needed_room(group: &Group, pieces: &BatchSpec) -> u64 {
    let batch = usize::try_from(pieces.max_pieces).unwrap_or(usize::MAX);
    let count = group.pieces.len().min(batch) as u64;
    let whole = group.bytes.saturating_mul(count);
    if whole <= pieces.result_capacity_bytes {
        whole
    } else {
        group.bytes
    }
}

pub(super) fn is_near(group: &Group, maker: &Maker) -> bool {
    group
        .near
        .as_ref()
        .is_none_or(|near| near.domain == maker.domain)
}

/// Tells whether a group may be made by a target.
///
/// What crosses domains is paid for, so a group with much to fetch or to hand
/// on waits for a target near it, as long as it can still be made in time by
/// the next call there.
pub(super) fn may_go(
    group: &Group,
    maker: &Maker,
    makers: &[Maker],
    pieces: &BatchSpec,
    now: Millis,
) -> bool {
    let Some(near) = &group.near else {
        return true;
    };
    if near.domain == maker.domain || near.bytes < NEAR_MIN_BYTES {
        return true;
    }
    let is_served = |maker: &Maker| maker.domain == near.domain && !maker.is_avoided;
    if !makers.iter().any(is_served) {
        return true;
    }
    let count = u32::try_from(group.pieces.len()).unwrap_or(u32::MAX);
    let is_late = now + pieces.call_duration(count) > group.on_time;
    let end = if is_late { group.until } else { group.on_time };
    let next_end = now + NEAR_WAIT + pieces.call_duration(count);
    next_end > end.min(group.inputs_until + pieces.call_duration(count))
}
