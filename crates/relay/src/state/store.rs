//! Applies what the platform has published in its store: settings, targets, and
//! failure domains taken out of service. Changes come from the store itself or
//! from a peer.

use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::assignment;
use gooseberry_kernel::fleet::assignment::CONFIRMATION_AGE_MAX;
use gooseberry_kernel::fleet::assignment::StoreRole;
use gooseberry_kernel::fleet::mirror::Changes;
use gooseberry_kernel::fleet::mirror::Revision;
use gooseberry_kernel::hash;
use gooseberry_kernel::id;
use gooseberry_kernel::name;
use gooseberry_kernel::target::registry::Change;
use gooseberry_platform::operator_settings;
use gooseberry_platform::target_entry;

use crate::state::STORE;
use crate::state::State;

/// The shortest outage of the store in which the entries of live targets may
/// have expired.
const OUTAGE_MIN: Millis = Millis(1_000);

impl State {
    /// Returns how long ago the store last answered this daemon; `None` if it
    /// never did.
    #[must_use]
    pub fn store_age(&self, now: Millis) -> Option<Millis> {
        self.store_status.last_answer.map(|at| now - at)
    }

    /// Returns how long ago the store confirmed, to this daemon or to a peer, that
    /// this daemon's copy is complete; `None` if it never did.
    #[must_use]
    pub fn confirmed_age(&self, now: Millis) -> Option<Millis> {
        self.confirmed_at.map(|at| now - at)
    }

    /// Records that the store confirmed a peer's copy `age` ago. This counts for
    /// this daemon only if its own copy is at least as recent as the peer's.
    pub fn record_confirmation(&mut self, through: Revision, age: Millis, now: Millis) {
        if through <= self.mirror.through() && age < now {
            self.confirmed_at = self.confirmed_at.max(Some(now - age));
        }
    }

    /// Returns how this daemon gets the contents of the store.
    #[must_use]
    pub fn store_role(&self, now: Millis) -> StoreRole {
        let live = self.members.live(now);
        assignment::store_role(&self.members.me().name, &live)
    }

    /// Returns whether this daemon reads the store: it is one of the chosen
    /// readers, or has had no recent confirmation from them.
    #[must_use]
    pub fn is_reader(&self, now: Millis) -> bool {
        let is_stale = self
            .confirmed_age(now)
            .is_none_or(|age| age > CONFIRMATION_AGE_MAX);
        is_stale || self.store_role(now) != StoreRole::Follower
    }

    /// Returns what a greeting says of the store: the revision up to which this
    /// daemon has its contents, and how long ago the store confirmed them.
    ///
    /// Contents of which chunks are missing are not announced: a peer could not get
    /// them here.
    #[must_use]
    pub fn announcement(&self, now: Millis) -> (Revision, Millis) {
        let whole = self.mirror.whole_through();
        let is_whole = whole == self.mirror.through();
        let confirmed_age = self.confirmed_age(now).filter(|_| is_whole);
        (whole, confirmed_age.unwrap_or(Millis::NEVER))
    }

    /// Begins to fetch changes from a peer that has the contents of the store
    /// through this revision. Returns the revision after which to ask for them;
    /// `None` if they are not to be fetched now.
    pub fn begin_changes_fetch(&mut self, theirs: Revision, now: Millis) -> Option<Revision> {
        let own = self.mirror.through();
        let store_age = self.store_age(now);
        let is_due = self.fetches.begin_changes(theirs, own, store_age, now);
        is_due.then_some(own)
    }

    /// Records that the fetch of changes has ended, with or without success.
    pub fn end_changes_fetch(&mut self) {
        self.fetches.end_changes();
    }

    /// Records a peer that has the contents of the store through this revision, which
    /// may include chunks that are missing here. Returns whether any are missing.
    pub fn add_chunk_source(&mut self, peer: SocketAddr, theirs: Revision) -> bool {
        let own = self.mirror.whole_through();
        self.fetches.add_source(peer, theirs, own);
        own < self.mirror.through()
    }

    /// Begins to fetch missing chunks. Returns the peer to ask, and for which;
    /// `None` if none are to be fetched now.
    pub fn begin_chunks_fetch(&mut self, now: Millis) -> Option<(SocketAddr, Vec<id::Digest>)> {
        let missing = self.mirror.missing_chunks();
        if missing.is_empty() {
            return None;
        }
        let draw = hash::text(self.members.me().name.as_str());
        let peer = self.fetches.begin_chunks(draw, now)?;
        Some((peer, missing))
    }

    /// Ends a fetch of chunks, and applies the entries that have become whole.
    pub fn end_chunks_fetch(&mut self, peer: SocketAddr, chunks: &[Vec<u8>], now: Millis) {
        self.fetches.end_chunks(peer, !chunks.is_empty());
        let through = self.mirror.through();
        for key in self.mirror.add_chunks(chunks) {
            self.apply_entry(&key, &peer.to_string(), through, now);
        }
        self.forget_unneeded_sources();
    }

    /// Forgets which peers have chunks, once none is missing.
    fn forget_unneeded_sources(&mut self) {
        if self.mirror.whole_through() == self.mirror.through() {
            self.fetches.clear_sources();
        }
    }

    /// Returns the chunks with these digests that this daemon has, for a peer.
    #[must_use]
    pub fn chunks(&self, digests: &[id::Digest]) -> Vec<Vec<u8>> {
        self.mirror.chunks(digests)
    }

    /// Records whether a call to the store succeeded, and logs when the store is
    /// lost and when it is back.
    pub fn record_store_result(&mut self, is_success: bool, now: Millis) {
        match (is_success, self.store_status.lost_at) {
            (true, lost_at) => {
                if let Some(lost_at) = lost_at {
                    log::info!(lost_ms = (now - lost_at).0; "the store is back");
                    if now - lost_at >= OUTAGE_MIN {
                        self.store_status.back_at = Some(now);
                    }
                }
                self.store_status.lost_at = None;
                self.store_status.last_answer = Some(now);
                self.confirmed_at = Some(now);
            }
            (false, None) => {
                self.store_status.lost_at = Some(now);
                log::warn!(revision = self.mirror.through().0; "the store is lost");
            }
            (false, Some(_)) => {}
        }
    }

    /// Applies changes that the platform has published. `source` is [`STORE`] or
    /// the address of the peer that sent them.
    pub fn apply_changes(&mut self, changes: Changes, source: &str, now: Millis) {
        let through = changes.through;
        for key in self.mirror.apply(changes) {
            self.apply_entry(&key, source, through, now);
        }
        self.forget_unneeded_sources();
    }

    /// Applies the changed entry of a key.
    pub(super) fn apply_entry(
        &mut self,
        key: &CompactString,
        source: &str,
        through: Revision,
        now: Millis,
    ) {
        if key == operator_settings::SETTINGS_KEY {
            self.apply_settings(source, through);
        } else if key.starts_with(operator_settings::DOMAIN_OUT_PREFIX) {
            let domains = self.mirror.keys(operator_settings::DOMAIN_OUT_PREFIX);
            let names = domains
                .map(|key| name::Domain::new(&key[operator_settings::DOMAIN_OUT_PREFIX.len()..]));
            self.taken_out = names.collect();
            log::info!(domains:? = self.taken_out, source, revision = through.0; "domains taken out");
        } else if let Some(target) = key.strip_prefix(target_entry::KEY_PREFIX) {
            self.apply_target(key, target, source, through, now);
        }
    }

    /// Puts the published settings in force, unless they are older than those in
    /// force, unusable or removed.
    pub(super) fn apply_settings(&mut self, source: &str, through: Revision) {
        let Some(bytes) = self.mirror.get(operator_settings::SETTINGS_KEY) else {
            log::warn!(source, revision = through.0; "the settings were removed from the store; the last ones stay in force");
            return;
        };
        match operator_settings::decode(bytes) {
            Ok(table)
                if self
                    .routing_table
                    .as_ref()
                    .is_some_and(|old| old.version >= table.version) =>
            {
                log::warn!(version = table.version, source; "settings ignored: their version is not newer");
            }
            Ok(table) => {
                log::info!(
                    version = table.version,
                    routes = table.routes.len(),
                    keys = table.keys.len(),
                    source,
                    revision = through.0;
                    "settings adopted"
                );
                self.routing_table = Some(Arc::new(table));
            }
            Err(error) => {
                log::error!(source, revision = through.0; "settings ignored: they cannot be used: {error:#}");
            }
        }
    }

    /// Applies the changed entry of a target; without a usable entry the target
    /// is removed.
    pub(super) fn apply_target(
        &mut self,
        key: &str,
        target: &str,
        source: &str,
        through: Revision,
        now: Millis,
    ) {
        let name = name::Target::new(target);
        let former_service = self
            .targets
            .get(&name)
            .map(|listed| listed.target.service.clone());
        let decoded = self
            .mirror
            .get(key)
            .map(|bytes| target_entry::decode(target, bytes));
        let change = match decoded {
            Some(Ok(target)) => Some(self.targets.upsert(target, now)),
            Some(Err(error)) => {
                log::warn!(target, source; "the entry of the target cannot be used: {error:#}");
                self.targets.remove(&name, None, now)
            }
            None => {
                // A removal that a peer passes on was read from the store by that
                // peer after the outage, so the outage did not cause it.
                let outage_end = self.store_status.back_at.filter(|_| source == STORE);
                self.targets.remove(&name, outage_end, now)
            }
        };
        if let Some(change) = change.filter(|change| *change != Change::Changed) {
            let service = self.targets.get(&name);
            let service = service.map(|listed| listed.target.service.clone());
            let service = service.or(former_service);
            log::info!(
                target:% = name,
                service:% = service.unwrap_or_default(),
                change:? = change,
                source,
                revision = through.0;
                "the entry of a target changed"
            );
        }
    }
}
