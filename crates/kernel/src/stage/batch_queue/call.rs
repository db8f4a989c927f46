//! What a queue is told of targets, and what it says is to be done.

use crate::clock::Millis;
use crate::derive::value;
use crate::name;
use crate::stage::batch_queue::Ticket;
use crate::stage::group::Group;
use crate::stage::pace::Pace;

value! {
    /// A group that was dropped from the queue.
    pub struct ExpiredGroup {
        /// The ticket of the group.
        pub ticket: Ticket,
        /// The request that it belongs to.
        pub attempt: name::Attempt,
        /// Why it was dropped.
        pub reason: ExpiryReason,
        /// The expected wait of a late group when this one was dropped.
        pub late_wait: Millis,
    }

    /// Why a group was dropped.
    pub enum ExpiryReason {
        /// It can't be computed before its deadline.
        Late,
        /// Its inputs have expired and would have to be computed again.
        Gone,
        /// The queue is too long; there may be capacity after this time.
        Full(Millis),
    }

    /// A target that can get calls.
    pub struct StageTarget {
        /// The name of the target.
        pub name: name::Target,
        /// Its failure domain.
        pub domain: name::Domain,
        /// Whether recent calls to it have failed.
        pub is_avoided: bool,
    }

    /// The state that a target reports about itself.
    pub struct TargetReport {
        /// The name of the target.
        pub target: name::Target,
        /// Lower bound of the memory that its results take, in bytes, including
        /// those of the call in flight.
        pub kept_bytes: u64,
        /// Whether it works on a call or has one waiting.
        pub is_busy: bool,
    }

    /// The pieces of one group in a call.
    pub struct CallPart {
        /// The ticket of the group.
        pub ticket: Ticket,
        /// The group, with only the pieces that the call computes.
        pub group: Group,
    }

    /// A call to be sent now.
    pub struct BatchCall {
        /// The target that gets it.
        pub target: name::Target,
        /// The failure domain of the target.
        pub domain: name::Domain,
        /// The groups that it computes, in this order.
        pub parts: Vec<CallPart>,
        /// The pace of the target.
        pub pace: Pace,
        /// When the call is expected to end at this pace.
        pub expected_end: Millis,
        /// How long after it was sent the call is given up.
        pub timeout: Millis,
    }
}
