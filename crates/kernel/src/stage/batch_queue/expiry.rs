//! Groups that are dropped from the queue.

use crate::clock::Millis;
use crate::derive::value;
use crate::name;
use crate::stage::batch_queue::Ticket;

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
}
