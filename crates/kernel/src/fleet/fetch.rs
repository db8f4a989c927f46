//! Decides what a daemon fetches from its peers, and from which of them.
//!
//! Changes of the store are fetched by one call at a time and the chunks of large
//! values by another, so that small changes do not wait for large ones. Chunks are
//! asked of all peers that have them, in turn: with the first one alone, the reader
//! that is the first to tell of a change would send it to the whole fleet.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::fleet::replica::Position;
use crate::hash;

/// How long a peer may take to answer a call.
pub const CALL_TIMEOUT: Millis = Millis(1_000);
/// How old the store's last answer may be before changes are fetched from a peer
/// instead.
pub const STORE_AGE_MAX: Millis = Millis(400);

/// The fetches of one daemon.
#[derive(Clone, Debug, Default)]
pub struct Fetches {
    /// When the call for changes that is in progress began.
    changes_since: Option<Millis>,
    /// When the call for chunks that is in progress began.
    chunks_since: Option<Millis>,
    /// The peers that have the missing chunks, sorted.
    sources: Vec<SocketAddr>,
    /// The number of calls for chunks.
    calls: u64,
}

impl Fetches {
    /// Begins to fetch changes from a peer that knows the store through `theirs`,
    /// unless that brings nothing, the store itself answers this daemon or a call is
    /// in progress. Returns whether to make the call.
    pub fn begin_changes(
        &mut self,
        theirs: Position,
        own: Position,
        store_age: Option<Millis>,
        now: Millis,
    ) -> bool {
        let is_cut_off = store_age.is_none_or(|age| age > STORE_AGE_MAX);
        let is_due = theirs > own && is_cut_off && !is_in_progress(self.changes_since, now);
        if is_due {
            self.changes_since = Some(now);
        }
        is_due
    }

    /// Records that the call for changes has ended, with or without success.
    pub fn end_changes(&mut self) {
        self.changes_since = None;
    }

    /// Records a peer that has the store's contents through `theirs`, if this daemon
    /// has them only through `own`: it may be asked for chunks.
    pub fn add_source(&mut self, peer: SocketAddr, theirs: Position, own: Position) {
        if theirs > own
            && let Err(index) = self.sources.binary_search(&peer)
        {
            self.sources.insert(index, peer);
        }
    }

    /// Begins to fetch chunks, unless there is no source or a call is in progress.
    /// Returns the peer to ask. `draw` is a number of this daemon, so that daemons
    /// that begin together ask different peers.
    pub fn begin_chunks(&mut self, draw: u64, now: Millis) -> Option<SocketAddr> {
        if is_in_progress(self.chunks_since, now) {
            return None;
        }
        let count = u64::try_from(self.sources.len()).unwrap_or(u64::MAX);
        let index = hash::mix(draw, self.calls).checked_rem(count)?;
        self.calls += 1;
        self.chunks_since = Some(now);
        self.sources.get(usize::try_from(index).ok()?).copied()
    }

    /// Records the end of the call for chunks. A peer that had none is not asked
    /// again before it says once more that it has them.
    pub fn end_chunks(&mut self, peer: SocketAddr, had_chunks: bool) {
        self.chunks_since = None;
        if !had_chunks && let Ok(index) = self.sources.binary_search(&peer) {
            self.sources.remove(index);
        }
    }

    /// Forgets the sources, once no chunk is missing.
    pub fn clear_sources(&mut self) {
        self.sources.clear();
    }
}

fn is_in_progress(since: Option<Millis>, now: Millis) -> bool {
    since.is_some_and(|since| since + CALL_TIMEOUT > now)
}
