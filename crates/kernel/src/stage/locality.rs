//! On which targets the pieces of a group may be computed.

use crate::clock::Millis;
use crate::request::routing_table::BatchSpec;
use crate::stage::batch_queue::StageTarget;
use crate::stage::group::Group;

/// Minimum size of a transfer between domains for which a group waits for a
/// target in its preferred domain.
const LOCALITY_MIN_BYTES: u64 = 200_000;
/// Expected time until a target in the preferred domain is free: about the
/// duration of a call.
const LOCAL_TARGET_WAIT: Millis = Millis(300);

/// Returns the free memory that a target needs to get a group: enough for the
/// results of a call or, if that exceeds the capacity of a target, for one
/// result.
pub(super) fn required_bytes(group: &Group, spec: &BatchSpec) -> u64 {
    let max_pieces = usize::try_from(spec.max_pieces).unwrap_or(usize::MAX);
    let count = group.pieces.len().min(max_pieces) as u64;
    let call_bytes = group.result_bytes.saturating_mul(count);
    if call_bytes <= spec.result_capacity_bytes {
        call_bytes
    } else {
        group.result_bytes
    }
}

/// Returns whether a target is in the preferred domain of a group, or the group
/// has none.
pub(super) fn is_preferred_domain(group: &Group, candidate: &StageTarget) -> bool {
    group
        .preferred_domain
        .as_ref()
        .is_none_or(|preferred| preferred.domain == candidate.domain)
}

/// Returns whether a group may run on a target.
///
/// Traffic between domains has a price. A group with a large transfer therefore
/// waits for a target in its preferred domain, as long as the next call there
/// still computes it in time.
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
