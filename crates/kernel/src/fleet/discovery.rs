//! What a daemon that has just started knows of its fleet.
//!
//! Until it has discovered its peers, a daemon cannot compute assignments that the others
//! would compute as well. Its seeds are the same for all daemons of a site, so
//! [`crate::fleet::assignment::dispatchers`] goes by them for that time.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::derive::value;

/// How long after its start a daemon has discovered its peers, whatever it knows of them.
pub const PEER_DISCOVERY_TIME: Millis = Millis(3_000);
/// A daemon that has found no further member for this long knows its peers: two rounds of
/// greetings, each of which brings the states of several members, and a delay of the
/// second one.
pub const SETTLED_AFTER: Millis = Millis(700);
/// How long a seed is left out after a call that it did not answer. It is greeted in every
/// round meanwhile, and its answer ends this time.
pub const SEED_SKIP_TIME: Millis = Millis(1_000);

/// How long after its own start a daemon waits for seeds that have not started yet. All
/// processes of a site start within 0.3 s of each other, and need a moment to listen.
pub const SEED_START_WAIT: Millis = Millis(600);

value! {
    /// What a daemon knows of its fleet since its start.
    pub struct Discovery {
        /// The addresses at which peers are found, sorted, each with the time until which
        /// it is left out.
        seeds: Vec<(SocketAddr, Millis)>,
        /// When the last member was found while the discovery went on.
        last_found: Option<Millis>,
    }
}

impl Discovery {
    /// Begins the discovery at the start of a process. A daemon whose only seed is itself
    /// has nothing to discover.
    #[must_use]
    pub fn new(seeds: &[SocketAddr], me: SocketAddr) -> Self {
        let mut seeds = seeds.to_vec();
        seeds.sort_unstable();
        seeds.dedup();
        if seeds == [me] {
            seeds.clear();
        }
        Self {
            seeds: seeds.into_iter().map(|seed| (seed, Millis::ZERO)).collect(),
            last_found: None,
        }
    }

    /// Returns whether there are addresses at which this daemon finds its peers.
    #[must_use]
    pub fn has_seeds(&self) -> bool {
        !self.seeds.is_empty()
    }

    /// Returns whether the daemon has discovered its peers. Once it has, that stays so.
    #[must_use]
    pub fn is_complete(&self, now: Millis) -> bool {
        let settled = self.last_found.map(|found| found + SETTLED_AFTER);
        !self.has_seeds() || now >= settled.unwrap_or(Millis::NEVER).min(PEER_DISCOVERY_TIME)
    }

    /// Records that a member was found.
    pub fn record_found(&mut self, now: Millis) {
        if !self.is_complete(now) {
            self.last_found = Some(now);
        }
    }

    /// Records whether the daemon at an address answered a call.
    pub fn record_call(&mut self, address: SocketAddr, is_answered: bool, now: Millis) {
        let found = self.seeds.binary_search_by_key(&address, |(seed, _)| *seed);
        if let Ok(index) = found {
            self.seeds[index].1 = if is_answered {
                now
            } else {
                now + SEED_SKIP_TIME
            };
        }
    }

    /// Returns the seeds that are not left out now.
    pub fn usable_seeds(&self, now: Millis) -> impl Iterator<Item = SocketAddr> {
        let usable = self.seeds.iter().filter(move |(_, until)| *until <= now);
        usable.map(|(seed, _)| *seed)
    }

    /// Returns whether an address is that of a seed which may not have started yet. A
    /// machine without power does not refuse connections, so that they would hang.
    #[must_use]
    pub fn may_start_late(&self, address: SocketAddr, now: Millis) -> bool {
        now < SEED_START_WAIT && self.is_awaited(address, now)
    }

    /// Returns whether an address is that of a seed which may be alive, although its
    /// state is not known yet.
    #[must_use]
    pub fn is_awaited(&self, address: SocketAddr, now: Millis) -> bool {
        !self.is_complete(now) && self.usable_seeds(now).any(|seed| seed == address)
    }
}
