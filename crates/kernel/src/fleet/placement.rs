//! Assignment of engines, requests and placers to each other.
//!
//! The engines of a large service are divided into groups. One daemon, the placer, chooses
//! the engines for all requests of a group ([`crate::target::placement`]). Every daemon
//! computes the same assignment from the members and targets that it knows; a disagreement
//! costs only the quality of the choice.

use compact_str::format_compact;

use crate::hash;
use crate::name;
use crate::request::routing_table::Service;
use crate::request::routing_table::ServiceKind;

/// The largest number of engines in a group. A placer answers some 300 requests a second
/// for that many, which takes a few percent of a core.
const GROUP_ENGINES_MAX: usize = 160;
/// From how many engines for each slot of one engine on requests are placed by cost. Fewer
/// engines with larger batches always run streams, and the hash of the prefix, which needs
/// no message, keeps their caches warm.
const ENGINES_PER_SLOT_MIN: usize = 4;

/// From how many bytes of memory for each token of a prompt on requests are placed by cost.
/// Models with less memory for a token read prompts fast: with 18 KB, 110 tokens and more in
/// a millisecond, so long prompts seldom stretch the events of others beyond their gap. There
/// placement by cost read more prompts again and made no fewer streams late.
const TOKEN_BYTES_MIN: u32 = 65_536;

/// Returns whether the engines of a service are chosen by cost; `engines` is how many are
/// listed.
#[must_use]
pub fn applies(service: &Service, engines: usize) -> bool {
    match service.kind {
        ServiceKind::Engine(engine) => {
            let slots = usize::try_from(engine.slots).unwrap_or(usize::MAX);
            let has_many = engines >= slots.saturating_mul(ENGINES_PER_SLOT_MIN);
            has_many && engine.token_bytes >= TOKEN_BYTES_MIN
        }
        ServiceKind::Plain | ServiceKind::Stage(_) => false,
    }
}

/// Returns the number of groups of this number of engines.
#[must_use]
pub fn group_count(engines: usize) -> u32 {
    u32::try_from(engines.div_ceil(GROUP_ENGINES_MAX)).unwrap_or(u32::MAX)
}

/// Returns the group, below `groups`, of an engine.
#[must_use]
pub fn group_of_target(target: &name::Target, groups: u32) -> u32 {
    rendezvous(hash::text(target.as_str()), groups)
}

/// Returns the group, below `groups`, of a request. Requests with the same prefix are in
/// the same group; `draw` decides for those without one.
#[must_use]
pub fn group_of_request(affinity: Option<u64>, draw: u64, groups: u32) -> u32 {
    rendezvous(affinity.unwrap_or(draw), groups)
}

/// Returns the name under which the placer of a group is assigned, see
/// [`crate::fleet::assignment::dispatcher_order`].
#[must_use]
pub fn role(service: &name::Service, group: u32) -> name::Service {
    name::Service::new(&format_compact!("{service}/{group}"))
}

/// Returns the group with the largest weight, so that a further group takes its part from
/// all others.
fn rendezvous(key: u64, groups: u32) -> u32 {
    let weight = |group: &u32| hash::mix(key, u64::from(*group));
    (0..groups).max_by_key(weight).unwrap_or_default()
}
