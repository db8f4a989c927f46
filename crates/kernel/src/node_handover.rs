//! The hand-over of targets and keys when a node leaves.

use super::Node;
use crate::clock::Millis;
use crate::handover;
use crate::handover::Chunk;
use crate::handover::Handovers;
use crate::handover::Stretch;
use crate::id;
use crate::once::Item;
use crate::roster::Member;
use crate::tenure::Right;
use crate::tenure::Tenure;
use crate::tenure::Thing;

impl Node {
    /// Gives up every right, and returns the chunks for each peer.
    ///
    /// Nothing is started afterwards, so the chunks stay true.
    pub fn hand_over(&mut self, now: Millis) -> Vec<(Member, Vec<Chunk>)> {
        self.tenure.give_up();
        let stretches = self.tenure.stretches(now);
        let Some(last) = stretches.last() else {
            return Vec::new();
        };
        let busy = self.slots.busy_targets(now);
        let mut items = self.keys.items(now);
        let mut chunks = Vec::new();
        for peer in self.peers() {
            let is_next = |item: &Item| self.is_next_owner(last, item, &peer.id);
            let (next, others): (Vec<Item>, Vec<Item>) = items.into_iter().partition(is_next);
            items = others;
            let packed = handover::pack(&self.me.instance, &stretches, &busy, next);
            chunks.push((peer, packed));
        }
        chunks
    }

    /// Takes in a part of what a leaver hands over.
    pub fn inherit(&mut self, chunk: &Chunk, now: Millis) {
        for item in &chunk.keys {
            self.keys.inherit(item, now);
        }
        self.handovers.take(chunk, now);
        self.take_over_targets(now);
    }

    /// Ends the wait at the targets whose former owner has handed them over.
    fn take_over_targets(&mut self, now: Millis) {
        let Some(list) = self.tenure.list() else {
            return;
        };
        for entry in &list.targets {
            let thing = Thing::Target(entry.id.clone());
            let pool = self.book.pool(&entry.pool);
            let right = self.tenure.right(&thing, now);
            let known = inherited(&self.tenure, &self.handovers, &thing);
            let (Some(pool), Right::Held { .. }, Some(known)) = (pool, right, known) else {
                continue;
            };
            // The leaver may have waited for its own predecessor's calls.
            if known + pool.longest_call <= now {
                self.slots.take_over(&entry.id, &[], pool, known, now);
            }
        }
    }

    /// Returns since when this node knows all about a thing that it owns.
    ///
    /// That is the beginning of its tenure, or of its predecessor's if that
    /// one has handed the thing over.
    pub(super) fn known_since(&self, thing: &Thing, since: Millis) -> Millis {
        let inherited = inherited(&self.tenure, &self.handovers, thing);
        inherited.map_or(since, |at| at.min(since))
    }

    fn is_next_owner(&self, last: &Stretch, item: &Item, peer: &id::Instance) -> bool {
        let thing = Thing::Key(item.key.hash());
        handover::owner_without(last, &self.me.instance, &thing, None).as_ref() == Some(peer)
    }
}

/// Returns since when the predecessor knew all about a thing, if it has handed
/// the thing over.
pub(super) fn inherited(tenure: &Tenure, handovers: &Handovers, thing: &Thing) -> Option<Millis> {
    let (leaver, until) = tenure.predecessor(thing)?;
    let list = tenure.list()?;
    let entry = match thing {
        Thing::Target(id) => Some(list.target(id)?),
        Thing::Key(_) => None,
    };
    handovers.since(thing, entry, &leaver, until, tenure.me())
}
