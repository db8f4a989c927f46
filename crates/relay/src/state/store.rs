//! What the platform has published, as this daemon has heard it.

use std::sync::Arc;

use compact_str::CompactString;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::assignment;
use gooseberry_kernel::fleet::mirror::Changes;
use gooseberry_kernel::fleet::mirror::Revision;
use gooseberry_kernel::name;
use gooseberry_kernel::target::registry::Change;
use gooseberry_platform::listing;
use gooseberry_platform::orders;

use crate::state::STORE;
use crate::state::State;

/// How old the last confirmation by the store may be before a daemon that does
/// not read it does so.
const CONFIRMED_MAX: Millis = Millis(1_200);
/// How long to wait for a peer's changes before another one is asked.
const LEARNING_MAX: Millis = Millis(700);
/// How long the store must be silent before live targets may have lapsed.
const OUTAGE_MIN: Millis = Millis(1_000);

impl State {
    /// Returns how long ago the store answered; `None` if it never did.
    #[must_use]
    pub fn store_age(&self, now: Millis) -> Option<Millis> {
        self.feed.answered.map(|at| now - at)
    }

    /// Returns how long ago the store confirmed what is known here, to this
    /// daemon or to one that told it.
    #[must_use]
    pub fn confirmed_age(&self, now: Millis) -> Option<Millis> {
        self.confirmed.map(|at| now - at)
    }

    /// Takes in that a peer's knowledge was confirmed so long ago. It counts
    /// here only if the peer knows no more than this daemon.
    pub fn confirm(&mut self, through: Revision, age: Millis, now: Millis) {
        if through <= self.mirror.through() && age < now {
            self.confirmed = self.confirmed.max(Some(now - age));
        }
    }

    /// Tells whether this daemon reads the store: it is one of those that do,
    /// or has not heard of a confirmation from them for a while.
    #[must_use]
    pub fn is_reader(&self, now: Millis) -> bool {
        let is_stale = self
            .confirmed_age(now)
            .is_none_or(|age| age > CONFIRMED_MAX);
        let live = self.members.live(now);
        is_stale || assignment::is_store_reader(&self.members.me().name, &live)
    }

    /// Tells whether changes are being fetched from a peer.
    #[must_use]
    pub fn is_learning(&self, now: Millis) -> bool {
        self.learning
            .is_some_and(|since| since + LEARNING_MAX > now)
    }

    /// Notes that changes are being fetched from a peer.
    pub fn note_learning(&mut self, now: Millis) {
        self.learning = Some(now);
    }

    /// Notes that they were fetched, or not.
    pub fn note_learnt(&mut self) {
        self.learning = None;
    }

    /// Notes that the store answered, or not.
    pub fn note_store(&mut self, is_good: bool, now: Millis) {
        match (is_good, self.feed.lost_at) {
            (true, lost_at) => {
                if let Some(lost_at) = lost_at {
                    log::info!(lost_ms = (now - lost_at).0; "the store is back");
                    if now - lost_at >= OUTAGE_MIN {
                        self.feed.back_at = Some(now);
                    }
                }
                self.feed.lost_at = None;
                self.feed.answered = Some(now);
                self.confirmed = Some(now);
            }
            (false, None) => {
                self.feed.lost_at = Some(now);
                log::warn!(revision = self.mirror.through().0; "the store is lost");
            }
            (false, Some(_)) => {}
        }
    }

    /// Takes in what the platform has published, from it or from a peer.
    pub fn adopt(&mut self, changes: Changes, source: &str, now: Millis) {
        let through = changes.through;
        for key in self.mirror.apply(changes) {
            self.adopt_entry(&key, source, through, now);
        }
    }

    pub(super) fn adopt_entry(
        &mut self,
        key: &CompactString,
        source: &str,
        through: Revision,
        now: Millis,
    ) {
        if key == orders::SETTINGS {
            self.adopt_settings(source, through);
        } else if key.starts_with(orders::TAKEN_OUT) {
            let domains = self.mirror.keys(orders::TAKEN_OUT);
            let names = domains.map(|key| name::Domain::new(&key[orders::TAKEN_OUT.len()..]));
            self.taken_out = names.collect();
            log::info!(domains:? = self.taken_out, source, revision = through.0; "domains taken out");
        } else if let Some(target) = key.strip_prefix(listing::PREFIX) {
            self.adopt_target(key, target, source, through, now);
        }
    }

    pub(super) fn adopt_settings(&mut self, source: &str, through: Revision) {
        let Some(bytes) = self.mirror.get(orders::SETTINGS) else {
            log::warn!(source, revision = through.0; "the settings were removed; they stay in force");
            return;
        };
        match orders::decode(bytes) {
            Ok(table)
                if self
                    .table
                    .as_ref()
                    .is_some_and(|old| old.version >= table.version) =>
            {
                log::warn!(version = table.version, source; "older settings are not adopted");
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
                self.table = Some(Arc::new(table));
            }
            Err(error) => {
                log::error!(source, revision = through.0; "unusable settings: {error:#}");
            }
        }
    }

    pub(super) fn adopt_target(
        &mut self,
        key: &str,
        target: &str,
        source: &str,
        through: Revision,
        now: Millis,
    ) {
        let name = name::Target::new(target);
        let listed = self
            .roster
            .get(&name)
            .map(|listed| listed.target.service.clone());
        let decoded = self
            .mirror
            .get(key)
            .map(|bytes| listing::decode(target, bytes));
        let change = match decoded {
            Some(Ok(target)) => Some(self.roster.upsert(target, now)),
            Some(Err(error)) => {
                log::warn!(target, source; "unusable entry: {error:#}");
                self.roster.remove(&name, None, now)
            }
            None => {
                // A peer that tells of a drop has reached the store meanwhile,
                // so the target did not lapse behind an outage.
                let outage_end = self.feed.back_at.filter(|_| source == STORE);
                self.roster.remove(&name, outage_end, now)
            }
        };
        if let Some(change) = change.filter(|change| *change != Change::Changed) {
            let service = self.roster.get(&name);
            let service = service.map(|listed| listed.target.service.clone());
            let service = service.or(listed);
            log::info!(
                target:% = name,
                service:% = service.unwrap_or_default(),
                change:? = change,
                source,
                revision = through.0;
                "target"
            );
        }
    }
}
