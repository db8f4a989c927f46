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
use gooseberry_kernel::fleet::mirror::Revision;
use gooseberry_kernel::fleet::replica::Contents;
use gooseberry_kernel::fleet::replica::Position;
use gooseberry_kernel::fleet::replica::Request;
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

    /// Returns when this daemon asked the store for the last contents that its copy has for
    /// certain; `None` if it never did.
    #[must_use]
    pub fn asked_at(&self) -> Option<Millis> {
        self.store_status.asked_at
    }

    /// Records that the store has answered a question with its contents through this
    /// position, and that they were merged. Returns false if the copy is of another era.
    pub fn record_answer(&mut self, through: Position, asked_at: Millis) -> bool {
        let own = self.replica.position();
        let is_merged = own.era == through.era && own >= through;
        if is_merged {
            self.store_status.asked_at = self.store_status.asked_at.max(Some(asked_at));
        }
        is_merged
    }

    /// Records that the store confirmed a peer's copy `age` ago. This counts for
    /// this daemon only if its own copy is at least as recent as the peer's, and not if
    /// the peer has that of an earlier era.
    pub fn record_confirmation(&mut self, theirs: Position, age: Millis, now: Millis) {
        let own = self.replica.position();
        if theirs.era == own.era && theirs <= own && age < now {
            self.confirmed_at = self.confirmed_at.max(Some(now - age));
            self.update_startup(now);
        }
    }

    /// Updates whether clients may be served with this daemon's copy of the store.
    pub(super) fn update_startup(&mut self, now: Millis) {
        let was_over = self.startup.is_over;
        let confirmed_age = self.confirmed_age(now);
        self.startup.update(confirmed_age, now);
        if self.startup.is_over && !was_over {
            log::info!(
                confirmed_ms:? = confirmed_age.map(|age| age.0),
                revision = self.replica.position().revision.0;
                "the copy of the store may be used"
            );
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

    /// Returns what a greeting says of the store: the position up to which this
    /// daemon has its contents, and how long ago the store confirmed them.
    ///
    /// Contents of which chunks are missing are not announced: a peer could not get
    /// them here.
    #[must_use]
    pub fn announcement(&self, now: Millis) -> (Position, Millis) {
        let whole = self.replica.whole_position();
        let is_whole = whole == self.replica.position();
        let confirmed_age = self.confirmed_age(now).filter(|_| is_whole);
        (whole, confirmed_age.unwrap_or(Millis::NEVER))
    }

    /// Begins to fetch changes from a peer that has the contents of the store
    /// through this position. Returns what to ask for; `None` if nothing is to be
    /// fetched now.
    pub fn begin_changes_fetch(&mut self, theirs: Position, now: Millis) -> Option<Request> {
        let own = self.replica.position();
        let store_age = self.store_age(now);
        let is_due = self.fetches.begin_changes(theirs, own, store_age, now);
        is_due.then(|| self.replica.request(theirs))
    }

    /// Records that the fetch of changes has ended, with or without success.
    pub fn end_changes_fetch(&mut self) {
        self.fetches.end_changes();
    }

    /// Records a peer that has the contents of the store through this position, which
    /// may include chunks that are missing here. Returns whether any are missing.
    pub fn add_chunk_source(&mut self, peer: SocketAddr, theirs: Position) -> bool {
        let own = self.replica.whole_position();
        self.fetches.add_source(peer, theirs, own);
        own < self.replica.position()
    }

    /// Begins to fetch missing chunks. Returns the peer to ask, and for which;
    /// `None` if none are to be fetched now.
    pub fn begin_chunks_fetch(&mut self, now: Millis) -> Option<(SocketAddr, Vec<id::Digest>)> {
        let missing = self.replica.mirror().missing_chunks();
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
        for key in self.replica.add_chunks(chunks) {
            self.apply_entry(&key, &peer.to_string(), false, now);
        }
        self.forget_unneeded_sources();
        self.hand_out_all(now);
    }

    /// Forgets which peers have chunks, once none is missing.
    fn forget_unneeded_sources(&mut self) {
        if self.replica.whole_position() == self.replica.position() {
            self.fetches.clear_sources();
        }
    }

    /// Returns the chunks with these digests that this daemon has, for a peer.
    #[must_use]
    pub fn chunks(&self, digests: &[id::Digest]) -> Vec<Vec<u8>> {
        self.replica.mirror().chunks(digests)
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
                self.update_startup(now);
            }
            (false, None) => {
                self.store_status.lost_at = Some(now);
                log::warn!(revision = self.replica.position().revision.0; "the store is lost");
            }
            (false, Some(_)) => {}
        }
    }

    /// Applies what the platform has published. `source` is [`STORE`] or the address of
    /// the peer that sent it.
    pub fn apply_contents(&mut self, contents: Contents, source: &str, now: Millis) {
        let former = self.replica.position();
        self.remember_passed_versions(&contents, now);
        let update = self.replica.apply(contents);
        if update.has_gap {
            self.listed_since = Some(now);
        }
        if update.is_return {
            self.begin_era(former, source, now);
        }
        for key in update.keys {
            self.apply_entry(&key, source, update.is_return, now);
        }
        for key in update.rewritten {
            self.release_withdrawal(&key, now);
        }
        self.forget_unneeded_sources();
        self.hand_out_all(now);
    }

    /// Remembers the versions of targets that came and went within these contents. A removal
    /// alone does not say of which version the target was.
    fn remember_passed_versions(&mut self, contents: &Contents, now: Millis) {
        let entries = &contents.changes.entries;
        for (index, entry) in entries.iter().enumerate() {
            let Some(name) = entry.key.strip_prefix(target_entry::KEY_PREFIX) else {
                continue;
            };
            match &entry.value {
                Some(value) => {
                    let mut later = entries[index + 1..].iter();
                    if later.any(|later| later.key == entry.key)
                        && let Ok(target) = target_entry::decode(name, value)
                    {
                        let (service, version) = (target.service, target.version);
                        self.targets.remember_version(service, version, now);
                    }
                }
                None if self.replica.mirror().has_seen(&entry.key) => {}
                None => self.listed_since = Some(now),
            }
        }
    }

    /// Keeps in force what was withdrawn before the store came back from an older copy,
    /// and targets usable that the copy may lack.
    fn begin_era(&mut self, former: Position, source: &str, now: Millis) {
        let position = self.replica.position();
        log::warn!(
            era = position.era.unwrap_or_default().0,
            revision = position.revision.0,
            former_era = former.era.unwrap_or_default().0,
            former_revision = former.revision.0,
            source;
            "the store came back from an older copy"
        );
        self.store_status.back_at = Some(now);
        self.targets.hold_withdrawn(now);
        for domain in &self.taken_out {
            self.held_out.hold(domain.clone(), now);
        }
    }

    /// Applies the changed entry of a key. `is_of_copy` says whether the store has come
    /// back with it from an older copy.
    pub(super) fn apply_entry(
        &mut self,
        key: &CompactString,
        source: &str,
        is_of_copy: bool,
        now: Millis,
    ) {
        let revision = self.replica.position().revision;
        if key == operator_settings::SETTINGS_KEY {
            self.apply_settings(source, revision, now);
        } else if key.starts_with(operator_settings::DOMAIN_OUT_PREFIX) {
            self.update_taken_out(now);
            log::info!(domains:? = self.taken_out, source, revision = revision.0; "domains taken out");
        } else if let Some(target) = key.strip_prefix(target_entry::KEY_PREFIX) {
            self.apply_target(key, target, source, is_of_copy, now);
        }
    }

    /// Ends what is kept in force of a key that has been written again.
    fn release_withdrawal(&mut self, key: &str, now: Millis) {
        if let Some(domain) = key.strip_prefix(operator_settings::DOMAIN_OUT_PREFIX) {
            self.held_out.release(&name::Domain::new(domain));
            self.update_taken_out(now);
        } else if let Some(target) = key.strip_prefix(target_entry::KEY_PREFIX) {
            self.targets.release(&name::Target::new(target));
        }
    }

    /// Updates the failure domains that are out of service: those that the store names,
    /// and those that it named before it went back to an older copy.
    pub(super) fn update_taken_out(&mut self, now: Millis) {
        let prefix = operator_settings::DOMAIN_OUT_PREFIX;
        let keys = self.replica.mirror().keys(prefix);
        let named = keys.map(|key| name::Domain::new(&key[prefix.len()..]));
        let mut domains: Vec<name::Domain> = named.collect();
        domains.extend(self.held_out.held(now).cloned());
        domains.sort_unstable();
        domains.dedup();
        self.taken_out = domains;
    }

    /// Puts the published settings in force, unless they are older than those in
    /// force, unusable or removed.
    fn apply_settings(&mut self, source: &str, through: Revision, now: Millis) {
        let mirror = self.replica.mirror();
        let Some(bytes) = mirror.get(operator_settings::SETTINGS_KEY) else {
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
                self.client_limits.replace(table.limits, now);
                if let Some(former) = &self.routing_table {
                    self.retired_services.replace(former, &table, now);
                }
                self.routing_table = Some(Arc::new(table));
            }
            Err(error) => {
                log::error!(source, revision = through.0; "settings ignored: they cannot be used: {error:#}");
            }
        }
    }

    /// Applies the changed entry of a target; without a usable entry the target
    /// is removed.
    fn apply_target(
        &mut self,
        key: &str,
        target: &str,
        source: &str,
        is_of_copy: bool,
        now: Millis,
    ) {
        let through = self.replica.position().revision;
        let name = name::Target::new(target);
        let former_service = self
            .targets
            .get(&name)
            .map(|listed| listed.target.service.clone());
        let decoded = self
            .replica
            .mirror()
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
                let may_lapse = source == STORE || is_of_copy;
                let outage_end = self.store_status.back_at.filter(|_| may_lapse);
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
