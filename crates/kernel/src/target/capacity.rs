//! How many requests a target works on at once.
//!
//! What a target tells of itself counts before what is known of its service, and its answers
//! before its entry in the list. The load is that of services whose targets do not report it:
//! there the entry is all that a target says.

use crate::request::routing_table::Service;
use crate::request::routing_table::ServiceKind;
use crate::request::routing_table::Target;

/// How many requests a target works on at once if neither it nor the settings say so.
const SLOTS_DEFAULT: u32 = 8;

/// Returns how many requests a target works on at once. `reported` is what it said in an
/// answer.
#[must_use]
pub fn slots(target: &Target, reported: Option<u32>, service: &Service) -> u32 {
    let told = match service.kind {
        ServiceKind::Engine(engine) => target.slots.or(Some(engine.slots)),
        ServiceKind::Plain | ServiceKind::Stage(_) => reported.or(target.slots),
    };
    told.unwrap_or(SLOTS_DEFAULT).max(1)
}
