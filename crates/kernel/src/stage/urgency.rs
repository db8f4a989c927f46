//! How urgent the stages of a request are.
//!
//! The load is that of the clients of a whole fleet whose machines lost power. Their
//! connections go silent, so they notice it seconds later and all at the same moment, and
//! come back with a few seconds left, beside the usual load. A stream that was broken off is
//! worth what its client has already received, and the client has no time for another
//! attempt, so its stages go before those of other requests.

use crate::clock::Millis;
use crate::request::routing_table::Rank;

/// Returns the priority of a request's stages. A stream goes first that its client takes up
/// where it is known to have begun; a client's word alone gives no priority. One that the
/// daemon itself sends on has its client still, and often its target, too.
#[must_use]
pub fn stage_rank(rank: Rank, is_taken_up: bool) -> Rank {
    if is_taken_up { Rank::default() } else { rank }
}

/// Returns by when an answer must begin to be of use, if it is on time until `on_time_by` and
/// its client leaves at `leaves_at`. The objective of a stream that goes on counts from its
/// first attempt and has often passed. What its client lacks is the rest, so it is not taken
/// for a late request, which only gets what others leave.
#[must_use]
pub fn useful_by(on_time_by: Millis, leaves_at: Millis, goes_on: bool) -> Millis {
    if goes_on { leaves_at } else { on_time_by }
}

/// Returns by when an answer must begin that is due at `due`: a client that leaves before
/// that gets nothing out of it.
#[must_use]
pub fn on_time_by(due: Millis, leaves_at: Millis) -> Millis {
    due.min(leaves_at)
}
