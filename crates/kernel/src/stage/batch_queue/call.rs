//! What a call to a target is built from, and the call itself.

use crate::clock::Millis;
use crate::derive::value;
use crate::name;
use crate::stage::batch_queue::Ticket;
use crate::stage::group::Group;

value! {
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
        /// When the call is expected to end.
        pub expected_end: Millis,
    }
}
