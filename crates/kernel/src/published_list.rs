//! The published list of instances and targets.
//!
//! The platform publishes the list with a revision of its own, late and at its
//! own pace. Only a higher revision is ever adopted, from the platform or from
//! a peer. Ownership follows from this list alone; see `docs/design/tenure.md`.

use std::net::SocketAddr;

use crate::derive::scalar;
use crate::derive::value;
use crate::hash;
use crate::id;

scalar! {
    /// The revision of the list or of the settings; it only grows.
    #[derive(Default)]
    pub struct Revision(pub u64);

    /// Whether a listed thing stays.
    pub enum Lifecycle {
        /// It takes new work.
        Live,
        /// It finishes what it has and takes nothing new.
        Leaving,
    }
}

value! {
    /// A listed daemon.
    pub struct Member {
        /// The id of this run of the daemon.
        pub id: id::Instance,
        /// The failure domain it runs in.
        pub domain: id::Domain,
        /// Where peers send control messages.
        pub control: SocketAddr,
        /// Where peers send stage calls.
        pub data: SocketAddr,
        /// Whether it stays.
        pub state: Lifecycle,
    }

    /// A listed target.
    pub struct ListedTarget {
        /// The id of the target.
        pub id: id::Target,
        /// The pool it serves.
        pub pool: id::Pool,
        /// The failure domain it runs in.
        pub domain: id::Domain,
        /// Where it takes calls.
        pub address: SocketAddr,
        /// Whether it stays.
        pub state: Lifecycle,
    }

    /// One published list, sorted by id.
    #[derive(Default)]
    pub struct PublishedList {
        /// The revision under which it was published.
        pub revision: Revision,
        /// The daemons, sorted by id.
        pub members: Vec<Member>,
        /// The targets, sorted by id.
        pub targets: Vec<ListedTarget>,
    }
}

impl PublishedList {
    /// Makes a list; the entries may come in any order.
    #[must_use]
    pub fn new(
        revision: Revision,
        mut members: Vec<Member>,
        mut targets: Vec<ListedTarget>,
    ) -> Self {
        members.sort_by(|one, other| one.id.cmp(&other.id));
        members.dedup_by(|one, other| one.id == other.id);
        targets.sort_by(|one, other| one.id.cmp(&other.id));
        targets.dedup_by(|one, other| one.id == other.id);
        Self {
            revision,
            members,
            targets,
        }
    }

    /// Finds a daemon.
    #[must_use]
    pub fn member(&self, id: &id::Instance) -> Option<&Member> {
        let found = self.members.binary_search_by(|one| one.id.cmp(id));
        found.ok().map(|index| &self.members[index])
    }

    /// Finds a target.
    #[must_use]
    pub fn target(&self, id: &id::Target) -> Option<&ListedTarget> {
        let found = self.targets.binary_search_by(|one| one.id.cmp(id));
        found.ok().map(|index| &self.targets[index])
    }

    /// Names the daemon that owns the target.
    ///
    /// It is the live daemon of the highest rendezvous weight in the target's
    /// failure domain, or of the whole list if that domain has none.
    ///
    /// See also [`Self::owner_of_key`].
    #[must_use]
    pub fn owner_of_target(&self, target: &ListedTarget) -> Option<&Member> {
        let hash = hash::text(target.id.as_str());
        let near = |one: &&Member| one.domain == target.domain;
        self.highest_weight(hash, near)
            .or_else(|| self.highest_weight(hash, |_| true))
    }

    /// Names the daemon that owns an idempotency key.
    ///
    /// See also [`Self::owner_of_target`].
    #[must_use]
    pub fn owner_of_key(&self, key: u64) -> Option<&Member> {
        self.highest_weight(key, |_| true)
    }

    fn highest_weight(&self, hash: u64, keep: impl Fn(&&Member) -> bool) -> Option<&Member> {
        self.members
            .iter()
            .filter(|one| one.state == Lifecycle::Live)
            .filter(keep)
            .max_by_key(|one| hash::mix(hash, hash::text(one.id.as_str())))
    }
}
