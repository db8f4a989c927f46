//! The unit of work that waits at a stage service: the pieces of one request at
//! one stage.

use crate::clock::Millis;
use crate::derive::value;
use crate::name;
use crate::request::routing_table::Rank;

value! {
    /// The inputs of the pieces.
    pub enum Source {
        /// The key of the request; the stage has no input stages.
        Key(String),
        /// The results of earlier stages.
        Inputs(Vec<name::Handle>),
    }

    /// The pieces of one request at one stage.
    pub struct Group {
        /// The request.
        pub attempt: name::Attempt,
        /// The index of the stage in the request's plan.
        pub stage: usize,
        /// The indexes of the pieces that are still to be computed.
        pub pieces: Vec<u32>,
        /// The inputs of the pieces.
        pub source: Source,
        /// Size of one result, in bytes.
        pub result_bytes: u64,
        /// Priority of the request.
        pub rank: Rank,
        /// When the pieces must be ready for the answer to be on time.
        pub on_time_deadline: Millis,
        /// When the pieces must be ready to be of any use.
        pub deadline: Millis,
        /// When the targets drop the inputs.
        pub inputs_expire_at: Millis,
        /// Where the pieces are best computed, if that makes a difference.
        pub preferred_domain: Option<PreferredDomain>,
        /// Whether no stage of the request has been computed yet.
        pub is_first: bool,
        /// How much longer the later stages take if the request is late, since
        /// pieces that are on time go first there too.
        pub late_extra: Millis,
    }

    /// The failure domain in which pieces are best computed.
    pub struct PreferredDomain {
        /// The domain that holds most of the inputs, or that reads the results.
        pub domain: name::Domain,
        /// Bytes that cross domains if the pieces are computed elsewhere.
        pub transfer_bytes: u64,
    }
}
