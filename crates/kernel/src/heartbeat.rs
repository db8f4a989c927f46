//! The heartbeat that daemons exchange.
//!
//! A heartbeat and its reply are the same message. It carries revisions and
//! short lists, never whole tables, so its size does not grow with the fleet.

use crate::clock::Millis;
use crate::cold_reports::ColdReport;
use crate::derive::value;
use crate::id;
use crate::lease::Acknowledgement;
use crate::lease::Departed;
use crate::published_list::Revision;
use crate::quarantine::Suspect;

value! {
    /// A heartbeat between two daemons, or the reply to one.
    pub struct Heartbeat {
        /// The sender.
        pub from: id::Instance,
        /// The newest list that the sender has read, and how long this message
        /// is valid as an acknowledgement of it.
        pub acknowledgement: Acknowledgement,
        /// The newest settings that the sender has read.
        pub settings: Revision,
        /// How long ago the platform last confirmed the list.
        pub list_age: Millis,
        /// How long ago the platform last confirmed the settings.
        pub settings_age: Millis,
        /// Whether the message counts as an acknowledgement; it does not while
        /// the sender has run for less than the freshness.
        pub may_acknowledge: bool,
        /// Whether the sender has relinquished all leases and is shutting down.
        pub is_departing: bool,
        /// The daemons that were dropped from the list or departed recently.
        pub departed: Vec<Departed>,
        /// The requests that are suspected of crashing targets.
        pub suspects: Vec<Suspect>,
        /// The targets that the platform recently reported as cold.
        pub cold: Vec<ColdReport>,
    }
}
