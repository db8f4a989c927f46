//! The bound on what a cold target gets.
//!
//! The bound is a rate over all daemons. Each daemon takes an equal share of
//! it. When a share would be below one request a second, only the first few
//! daemons by rendezvous send to the target, one request a second each. A
//! daemon that knows fewer members than there are takes too large a share, so
//! it counts the largest fleet that it has seen of late.

use crate::clock::Millis;
use crate::hash;
use crate::name;

/// The span in which sends are counted.
pub const SPAN: Millis = Millis(1_000);

#[derive(Clone, Debug)]
struct Sends {
    target: name::Target,
    moments: Vec<Millis>,
}

/// The sends of the last second, by target.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    sends: Vec<Sends>,
}

/// Returns how many requests a second this daemon may send to a cold target.
#[must_use]
pub fn share(
    rate: u32,
    target: &name::Target,
    me: &name::Member,
    members: &[name::Member],
    fleet: usize,
) -> usize {
    let rate = usize::try_from(rate).unwrap_or(usize::MAX);
    let fleet = fleet.max(members.len()).max(1);
    if rate >= fleet {
        return rate / fleet;
    }
    let weight =
        |member: &name::Member| hash::mix(hash::text(target.as_str()), hash::text(member.as_str()));
    let mine = weight(me);
    let before = members.iter().filter(|member| weight(member) > mine);
    usize::from(before.count() < rate)
}

impl Pace {
    /// Notes a send, and forgets those that are older than the span.
    pub fn note(&mut self, target: &name::Target, now: Millis) {
        let found = self.sends.binary_search_by(|one| one.target.cmp(target));
        let index = found.unwrap_or_else(|index| {
            let sends = Sends {
                target: target.clone(),
                moments: Vec::new(),
            };
            self.sends.insert(index, sends);
            index
        });
        let moments = &mut self.sends[index].moments;
        moments.retain(|moment| *moment + SPAN > now);
        moments.push(now);
    }

    /// Returns how many sends the last second saw.
    #[must_use]
    pub fn recent(&self, target: &name::Target, now: Millis) -> usize {
        let found = self.sends.binary_search_by(|one| one.target.cmp(target));
        let moments = found.ok().map(|index| &self.sends[index].moments);
        moments.map_or(0, |moments| {
            let fresh = moments.iter().filter(|moment| **moment + SPAN > now);
            fresh.count()
        })
    }

    /// Forgets targets that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(&name::Target) -> bool) {
        self.sends.retain(|sends| is_listed(&sends.target));
    }
}
