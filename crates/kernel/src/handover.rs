//! The hand-over of targets and keys to their next owners at a shutdown.
//!
//! The departing daemon relinquishes its leases first. It then sends each peer
//! the records of the keys that the peer will own, in chunks of bounded size,
//! together with the lists under which it held its leases. A new owner that has
//! received every chunk knows all that the departing daemon knew of a target or
//! key, so its knowledge reaches back to the start of that daemon's lease. See
//! `docs/design/once.md`.

use crate::clock::Millis;
use crate::derive::value;
use crate::id;
use crate::idempotency::KeyRecord;
use crate::lease;
use crate::lease::Resource;
use crate::published_list::ListedTarget;
use crate::published_list::Member;
use crate::published_list::PublishedList;
use crate::published_list::Revision;

value! {
    /// A list under which the departing daemon held leases.
    pub struct LeasePeriod {
        /// Its revision.
        pub revision: Revision,
        /// Whether its revision directly follows that of the period before.
        pub is_consecutive: bool,
        /// How long ago leases under it began; `None` if they never did.
        pub held_for: Option<Millis>,
        /// Its daemons.
        pub members: Vec<Member>,
    }

    /// One part of a hand-over.
    pub struct Chunk {
        /// The departing daemon.
        pub from: id::Instance,
        /// The number of this chunk, from 0.
        pub index: u16,
        /// How many chunks there are for this peer.
        pub count: u16,
        /// The lists under which the departing daemon held leases, oldest first;
        /// only in chunk 0.
        pub lease_periods: Vec<LeasePeriod>,
        /// The targets at which calls of the departing daemon may still run, sorted;
        /// only in chunk 0.
        pub busy_targets: Vec<id::Target>,
        /// Keys and their outcomes.
        pub keys: Vec<KeyRecord>,
    }
}

/// The most bytes of keys and answers in one chunk, unless a single answer is
/// larger.
pub const CHUNK_MAX_BYTES: usize = 256 << 10;
/// How many hand-overs are kept; the oldest is evicted first.
const HANDOVERS_MAX: usize = 16;

#[derive(Clone, Debug)]
struct ReceivedHandover {
    from: id::Instance,
    received_at: Millis,
    count: u16,
    /// The numbers of the chunks that have arrived, sorted.
    received_chunks: Vec<u16>,
    lease_periods: Vec<LeasePeriod>,
    busy_targets: Vec<id::Target>,
}

/// The hand-overs that one daemon has received.
#[derive(Clone, Debug, Default)]
pub struct ReceivedHandovers {
    handovers: Vec<ReceivedHandover>,
}

impl ReceivedHandovers {
    /// Records a chunk, except for its keys, which go into the key store.
    pub fn receive(&mut self, chunk: &Chunk, now: Millis) {
        let found = self
            .handovers
            .iter()
            .position(|handover| handover.from == chunk.from);
        let index = found.unwrap_or_else(|| {
            self.handovers.push(ReceivedHandover {
                from: chunk.from.clone(),
                received_at: now,
                count: chunk.count,
                received_chunks: Vec::new(),
                lease_periods: Vec::new(),
                busy_targets: Vec::new(),
            });
            self.handovers.len() - 1
        });
        let received = &mut self.handovers[index];
        if let Err(position) = received.received_chunks.binary_search(&chunk.index) {
            received.received_chunks.insert(position, chunk.index);
        }
        if chunk.index == 0 {
            // The ages in the chunk count from when it was written. Counting
            // them from its arrival makes the lease seem to begin later, which
            // only makes the new owner refuse or wait longer.
            received.received_at = now;
            received.lease_periods.clone_from(&chunk.lease_periods);
            received.busy_targets.clone_from(&chunk.busy_targets);
        }
        if self.handovers.len() > HANDOVERS_MAX {
            self.handovers.remove(0);
        }
    }

    /// Expires hand-overs that were received longer ago than `memory`.
    pub fn tick(&mut self, memory: Millis, now: Millis) {
        self.handovers
            .retain(|handover| handover.received_at + memory > now);
    }

    /// Returns since when this daemon knows every use of a resource through a
    /// complete hand-over: the start of the former owner's lease. `None` unless
    /// `departing` was the owner under the list `last_owned` and handed the resource
    /// over to this daemon. For a target, `entry` is its entry in the list.
    #[must_use]
    pub fn known_since(
        &self,
        resource: &Resource,
        entry: Option<&ListedTarget>,
        departing: &id::Instance,
        last_owned: Revision,
        me: &id::Instance,
    ) -> Option<Millis> {
        let received = self
            .handovers
            .iter()
            .find(|handover| handover.from == *departing)?;
        if received.received_chunks.len() != usize::from(received.count)
            || received.is_busy(resource)
        {
            return None;
        }
        let last = received.lease_periods.last()?;
        let next = owner_without(last, departing, resource, entry)?;
        (next == *me).then(|| received.held_since(resource, entry, last_owned))?
    }
}

impl ReceivedHandover {
    fn is_busy(&self, resource: &Resource) -> bool {
        match resource {
            Resource::Target(id) => self.busy_targets.binary_search(id).is_ok(),
            Resource::Key(_) => false,
        }
    }

    fn held_since(
        &self,
        resource: &Resource,
        entry: Option<&ListedTarget>,
        last_owned: Revision,
    ) -> Option<Millis> {
        let is_last = |period: &LeasePeriod| period.revision == last_owned;
        let mut first = self.lease_periods.iter().position(is_last)?;
        let is_owner = |index: usize| {
            let list = list_for(&self.lease_periods[index], entry);
            lease::owner(&list, resource) == Some(&self.from)
        };
        if !is_owner(first) {
            return None;
        }
        while first > 0 && self.lease_periods[first].is_consecutive && is_owner(first - 1) {
            first -= 1;
        }
        let held_for = self.lease_periods[first].held_for?;
        Some(self.received_at - held_for)
    }
}

/// Returns the owner of a resource under a list without the departing daemon.
#[must_use]
pub fn owner_without(
    period: &LeasePeriod,
    departing: &id::Instance,
    resource: &Resource,
    entry: Option<&ListedTarget>,
) -> Option<id::Instance> {
    let mut list = list_for(period, entry);
    list.members.retain(|member| member.id != *departing);
    lease::owner(&list, resource).cloned()
}

fn list_for(period: &LeasePeriod, entry: Option<&ListedTarget>) -> PublishedList {
    let targets = entry.into_iter().cloned().collect();
    PublishedList::new(period.revision, period.members.clone(), targets)
}

/// Splits the records for one peer into chunks of bounded size.
#[must_use]
pub fn split_into_chunks(
    from: &id::Instance,
    lease_periods: &[LeasePeriod],
    busy_targets: &[id::Target],
    records: Vec<KeyRecord>,
) -> Vec<Chunk> {
    let chunk = |keys| Chunk {
        from: from.clone(),
        index: 0,
        count: 0,
        lease_periods: Vec::new(),
        busy_targets: Vec::new(),
        keys,
    };
    let mut chunks = vec![chunk(Vec::new())];
    let mut bytes = 0;
    for record in records {
        bytes += record.bytes();
        if bytes > CHUNK_MAX_BYTES {
            bytes = record.bytes();
            chunks.push(chunk(Vec::new()));
        }
        if let Some(last) = chunks.last_mut() {
            last.keys.push(record);
        }
    }
    let count = u16::try_from(chunks.len()).unwrap_or(u16::MAX);
    for (index, chunk) in (0..count).zip(&mut chunks) {
        chunk.index = index;
        chunk.count = count;
    }
    chunks[0].lease_periods = lease_periods.to_vec();
    chunks[0].busy_targets = busy_targets.to_vec();
    chunks
}
