//! Where the pieces of a group may be made.

use crate::clock::Millis;
use crate::request::routing_table::BatchSpec;
use crate::stage::batch_queue::StageTarget;
use crate::stage::group::Group;

/// From how many bytes on a group waits for a target in its own domain.
const LOCALITY_MIN_BYTES: u64 = 200_000;
/// How long a target near a group may take to fall free: about a call.
const LOCAL_TARGET_WAIT: Millis = Millis(300);

/// Returns the room that a target must have for a group: for all of it, unless
/// no target ever has that much.
pub(super) fn required_bytes(group: &Group, spec: &BatchSpec) -> u64 {
    let batch = usize::try_from(spec.max_pieces).unwrap_or(usize::MAX);
    let count = group.pieces.len().min(batch) as u64;
    let whole = group.result_bytes.saturating_mul(count);
    if whole <= spec.result_capacity_bytes {
        whole
    } else {
        group.result_bytes
    }
}

pub(super) fn is_preferred_domain(group: &Group, candidate: &StageTarget) -> bool {
    group
        .preferred_domain
        .as_ref()
        .is_none_or(|preferred| preferred.domain == candidate.domain)
}

/// Tells whether a group may be made by a target.
///
/// What crosses domains is paid for, so a group with much to fetch or to hand
/// on waits for a target near it, as long as it can still be made in time by
/// the next call there.
pub(super) fn may_run_on(
    group: &Group,
    candidate: &StageTarget,
    targets: &[StageTarget],
    spec: &BatchSpec,
    now: Millis,
) -> bool {
    let Some(preferred) = &group.preferred_domain else {
        return true;
    };
    if preferred.domain == candidate.domain || preferred.transfer_bytes < LOCALITY_MIN_BYTES {
        return true;
    }
    let is_usable_there =
        |candidate: &StageTarget| candidate.domain == preferred.domain && !candidate.is_avoided;
    if !targets.iter().any(is_usable_there) {
        return true;
    }
    let count = u32::try_from(group.pieces.len()).unwrap_or(u32::MAX);
    let is_late = now + spec.call_duration(count) > group.on_time_deadline;
    let end = if is_late {
        group.deadline
    } else {
        group.on_time_deadline
    };
    let next_end = now + LOCAL_TARGET_WAIT + spec.call_duration(count);
    next_end > end.min(group.inputs_expire_at + spec.call_duration(count))
}
