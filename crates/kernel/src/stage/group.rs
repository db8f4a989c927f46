//! What waits at a stage service: the pieces of one request at one stage.

use crate::clock::Millis;
use crate::derive::value;
use crate::name;
use crate::request::routing_table::Rank;

value! {
    /// What the pieces of a group are made from.
    pub enum Source {
        /// The key of the request.
        Key(String),
        /// The results of earlier stages.
        Inputs(Vec<name::Handle>),
    }

    /// The pieces of one request at one stage.
    pub struct Group {
        /// The request.
        pub attempt: name::Attempt,
        /// The number of the stage.
        pub stage: usize,
        /// The numbers of the pieces that are still to be made.
        pub pieces: Vec<u32>,
        /// What they are made from.
        pub source: Source,
        /// The size of one result, in bytes.
        pub result_bytes: u64,
        /// How urgent the request is.
        pub rank: Rank,
        /// Until when the pieces must be made for the answer to be on time.
        pub on_time_deadline: Millis,
        /// Until when they are of any use.
        pub deadline: Millis,
        /// Until when the inputs exist.
        pub inputs_expire_at: Millis,
        /// Where the pieces are best made.
        pub preferred_domain: Option<PreferredDomain>,
        /// Whether nothing of the request has been made yet.
        pub is_first: bool,
        /// How much longer the later stages take if the request is late, since
        /// what is on time goes before it there as well.
        pub late_extra: Millis,
    }

    /// A domain near which pieces are best made.
    pub struct PreferredDomain {
        /// Where most of what is read or made lies.
        pub domain: name::Domain,
        /// How many bytes cross domains if the pieces are made elsewhere.
        pub transfer_bytes: u64,
    }
}
