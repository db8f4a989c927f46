//! The list of instances and targets that the platform publishes.
//!
//! Each list has a revision, and it may reach a daemon late. Daemons adopt
//! a list from the platform or from a peer, and only if its revision is higher
//! than their own. The owner of each target and key is computed from this list
//! alone, by rendezvous hashing; see `docs/design/tenure.md`.

use std::net::SocketAddr;

use crate::derive::scalar;
use crate::derive::value;
use crate::hash;
use crate::id;

scalar! {
    /// The revision of the published list or of the settings; it never decreases.
    #[derive(Default)]
    pub struct Revision(pub u64);

    /// Whether a listed daemon or target takes new work.
    pub enum Lifecycle {
        /// It takes new work.
        Live,
        /// It finishes its current work and takes no new work.
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
        /// The address to which peers send control messages.
        pub control: SocketAddr,
        /// The address to which peers send stage calls.
        pub data: SocketAddr,
        /// Whether it takes new work.
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
        /// The address at which it takes calls.
        pub address: SocketAddr,
        /// Whether it takes new work.
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
    /// Creates a list from entries in any order; duplicates by id are dropped.
    #[must_use]
    pub fn new(
        revision: Revision,
        mut members: Vec<Member>,
        mut targets: Vec<ListedTarget>,
    ) -> Self {
        members.sort_by(|member, other| member.id.cmp(&other.id));
        members.dedup_by(|member, other| member.id == other.id);
        targets.sort_by(|target, other| target.id.cmp(&other.id));
        targets.dedup_by(|target, other| target.id == other.id);
        Self {
            revision,
            members,
            targets,
        }
    }

    /// Finds a daemon by its id.
    #[must_use]
    pub fn member(&self, id: &id::Instance) -> Option<&Member> {
        let found = self.members.binary_search_by(|member| member.id.cmp(id));
        found.ok().map(|index| &self.members[index])
    }

    /// Finds a target by its id.
    #[must_use]
    pub fn target(&self, id: &id::Target) -> Option<&ListedTarget> {
        let found = self.targets.binary_search_by(|target| target.id.cmp(id));
        found.ok().map(|index| &self.targets[index])
    }

    /// Returns the daemon that owns the target.
    ///
    /// It is the live daemon with the highest rendezvous weight in the target's
    /// failure domain, or in the whole list if that domain has no live daemon.
    ///
    /// See also [`Self::owner_of_key`].
    #[must_use]
    pub fn owner_of_target(&self, target: &ListedTarget) -> Option<&Member> {
        let hash = hash::text(target.id.as_str());
        let is_in_domain = |member: &&Member| member.domain == target.domain;
        self.highest_weight(hash, is_in_domain)
            .or_else(|| self.highest_weight(hash, |_| true))
    }

    /// Returns the daemon that owns an idempotency key.
    ///
    /// See also [`Self::owner_of_target`].
    #[must_use]
    pub fn owner_of_key(&self, key: u64) -> Option<&Member> {
        self.highest_weight(key, |_| true)
    }

    fn highest_weight(&self, hash: u64, keep: impl Fn(&&Member) -> bool) -> Option<&Member> {
        self.members
            .iter()
            .filter(|member| member.state == Lifecycle::Live)
            .filter(keep)
            .max_by_key(|member| hash::mix(hash, hash::text(member.id.as_str())))
    }
}
