//! What daemons tell each other.
//!
//! A greeting and its reply are the same message. They carry revisions and
//! short lists, never tables, so their size does not grow with the fleet.

use crate::clock::Millis;
use crate::cold_reports::ColdReport;
use crate::derive::value;
use crate::id;
use crate::quarantine::Suspect;
use crate::roster::Revision;
use crate::tenure::Answer;
use crate::tenure::Departed;

value! {
    /// A greeting between two daemons, and the reply to it.
    pub struct Hello {
        /// Who says it.
        pub from: id::Instance,
        /// The newest list that it has read, and how far its answer counts.
        pub answer: Answer,
        /// The newest settings that it has read.
        pub settings: Revision,
        /// How long ago the platform last confirmed the list.
        pub list_age: Millis,
        /// How long ago the platform last confirmed the settings.
        pub settings_age: Millis,
        /// Whether its answer counts as an acknowledgement; a fresh daemon's
        /// does not.
        pub is_witness: bool,
        /// Whether it gives up every right and leaves.
        pub is_goodbye: bool,
        /// The daemons that the list has dropped lately.
        pub departed: Vec<Departed>,
        /// The requests that are under suspicion of crashing targets.
        pub suspects: Vec<Suspect>,
        /// The targets that the platform reported cold lately.
        pub cold: Vec<ColdReport>,
    }
}
