//! The hand-over of targets and keys to their next owners at a shutdown.

use super::Node;
use crate::clock::Millis;
use crate::handover;
use crate::handover::Chunk;
use crate::handover::LeasePeriod;
use crate::handover::ReceivedHandovers;
use crate::id;
use crate::idempotency::KeyRecord;
use crate::lease::LeaseState;
use crate::lease::Leases;
use crate::lease::Resource;
use crate::published_list::Member;

impl Node {
    /// Relinquishes all leases and returns the chunks for each peer.
    ///
    /// This node starts no work afterwards, so the chunks stay accurate.
    pub fn start_handover(&mut self, now: Millis) -> Vec<(Member, Vec<Chunk>)> {
        self.leases.relinquish();
        let lease_periods = self.leases.lease_periods(now);
        let Some(last) = lease_periods.last() else {
            return Vec::new();
        };
        let busy = self.slots.busy_targets(now);
        let mut records = self.keys.records(now);
        let mut chunks = Vec::new();
        for peer in self.peers() {
            let is_next = |record: &KeyRecord| self.is_next_owner(last, record, &peer.id);
            let (records_for_peer, others): (Vec<KeyRecord>, Vec<KeyRecord>) =
                records.into_iter().partition(is_next);
            records = others;
            let peer_chunks = handover::split_into_chunks(
                &self.me.instance,
                &lease_periods,
                &busy,
                records_for_peer,
            );
            chunks.push((peer, peer_chunks));
        }
        chunks
    }

    /// Applies one chunk of a hand-over from a departing peer.
    pub fn receive_handover(&mut self, chunk: &Chunk, now: Millis) {
        for record in &chunk.keys {
            self.keys.import(record, now);
        }
        self.handovers.receive(chunk, now);
        self.take_over_targets(now);
    }

    /// Ends the wait for a former owner's calls at the targets that it has handed
    /// over.
    fn take_over_targets(&mut self, now: Millis) {
        let Some(list) = self.leases.list() else {
            return;
        };
        for entry in &list.targets {
            let resource = Resource::Target(entry.id.clone());
            let pool = self.settings.pool(&entry.pool);
            let lease = self.leases.lease_state(&resource, now);
            let known_since = predecessor_known_since(&self.leases, &self.handovers, &resource);
            let (Some(pool), LeaseState::Held { .. }, Some(known_since)) =
                (pool, lease, known_since)
            else {
                continue;
            };
            // The former owner may itself have waited for calls of the owner
            // before it.
            if known_since + pool.longest_call <= now {
                self.slots.take_over(&entry.id, &[], pool, known_since, now);
            }
        }
    }

    /// Returns since when this node knows every use of a resource that it owns.
    ///
    /// That is the start of its lease, or of its predecessor's lease if the
    /// predecessor has handed the resource over.
    pub(super) fn known_since(&self, resource: &Resource, lease_start: Millis) -> Millis {
        let inherited = predecessor_known_since(&self.leases, &self.handovers, resource);
        inherited.map_or(lease_start, |at| at.min(lease_start))
    }

    fn is_next_owner(&self, last: &LeasePeriod, record: &KeyRecord, peer: &id::Instance) -> bool {
        let resource = Resource::Key(record.key.hash());
        handover::owner_without(last, &self.me.instance, &resource, None).as_ref() == Some(peer)
    }
}

/// Returns since when the predecessor knew every use of a resource, if it has
/// handed the resource over.
pub(super) fn predecessor_known_since(
    leases: &Leases,
    handovers: &ReceivedHandovers,
    resource: &Resource,
) -> Option<Millis> {
    let (departing, last_owned) = leases.predecessor(resource)?;
    let list = leases.list()?;
    let entry = match resource {
        Resource::Target(id) => Some(list.target(id)?),
        Resource::Key(_) => None,
    };
    handovers.known_since(resource, entry, &departing, last_owned, leases.me())
}
