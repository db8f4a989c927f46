//! Accounts for the results that the targets of a stage service keep.
//!
//! A target has memory for few large results. It keeps each result until it is
//! told to free it, or until the time to live from the settings ends. The
//! dispatcher sends all calls and forwards all frees, so it can compute the
//! memory in use. A result counts until the call that frees it has ended.

use crate::clock::Millis;
use crate::derive::value;
use crate::fleet::membership::Process;
use crate::name;

value! {
    /// A result that was computed by a call of this dispatcher.
    struct TrackedResult {
        handle: name::Handle,
        target: name::Target,
        bytes: u64,
        created_at: Millis,
        expires_at: Millis,
        state: State,
        /// The daemon that reads the result, once it has received the handle.
        reader: Option<Process>,
    }

    /// Memory that results of other dispatchers take at a target.
    struct UntrackedBytes {
        target: name::Target,
        bytes: u64,
        expires_at: Millis,
    }

    enum State {
        /// Some stage or the final run will read it.
        Needed,
        /// No longer needed; its target has not been told yet.
        Freed,
        /// The free is being sent to its target.
        FreeSent,
    }
}

/// The mean lifetime that is assumed until the first result is freed: about the
/// duration of one call of the next stage.
const LIFETIME_DEFAULT: Millis = Millis(500);
/// The newest result counts as one part of this many in the moving mean
/// lifetime.
const MEAN_WEIGHT_PARTS: u64 = 32;

/// The results of one service, sorted by handle.
#[derive(Clone, Debug)]
pub struct ResultTracker {
    results: Vec<TrackedResult>,
    /// Memory taken by results of other dispatchers.
    untracked: Vec<UntrackedBytes>,
    mean_lifetime: Millis,
}

impl Default for ResultTracker {
    fn default() -> Self {
        Self {
            results: Vec::new(),
            untracked: Vec::new(),
            mean_lifetime: LIFETIME_DEFAULT,
        }
    }
}

impl ResultTracker {
    /// Adds a result that a target keeps from now on, for at most `ttl`. Returns false if its
    /// handle is that of another result, which each has for itself.
    #[must_use]
    pub fn track(
        &mut self,
        handle: name::Handle,
        target: &name::Target,
        bytes: u64,
        ttl: Millis,
        now: Millis,
    ) -> bool {
        let result = TrackedResult {
            handle,
            target: target.clone(),
            bytes,
            created_at: now,
            expires_at: now + ttl,
            state: State::Needed,
            reader: None,
        };
        let Err(index) = self.find(&result.handle) else {
            return false;
        };
        self.results.insert(index, result);
        true
    }

    /// Marks results as no longer needed. Returns the handles that aren't
    /// tracked here.
    pub fn free(&mut self, handles: &[name::Handle]) -> Vec<name::Handle> {
        let mut unknown = Vec::new();
        for handle in handles {
            match self.find(handle) {
                Ok(index) if self.results[index].state == State::Needed => {
                    self.results[index].state = State::Freed;
                }
                Ok(_) => {}
                Err(_) => unknown.push(handle.clone()),
            }
        }
        unknown
    }

    /// Records the daemon that has received the results and will free them.
    pub fn set_reader(&mut self, handles: &[name::Handle], reader: Process) {
        for handle in handles {
            if let Ok(index) = self.find(handle) {
                self.results[index].reader = Some(reader);
            }
        }
    }

    /// Returns the reading daemon of each result that has one; daemons may
    /// repeat.
    #[must_use]
    pub fn readers(&self) -> Vec<Process> {
        self.results
            .iter()
            .filter_map(|result| result.reader)
            .collect()
    }

    /// Marks the results that these daemons would read as no longer needed,
    /// since the daemons have ended. Returns the number of results.
    pub fn free_read_by(&mut self, readers: &[Process]) -> usize {
        let needed = self.results.iter_mut();
        let needed = needed.filter(|result| result.state == State::Needed);
        let has_ended = |reader: Process| readers.contains(&reader);
        let orphaned = needed.filter(|result| result.reader.is_some_and(has_ended));
        orphaned.map(|result| result.state = State::Freed).count()
    }

    /// Returns the results that are to be freed now, by target.
    pub fn take_freed(&mut self) -> Vec<(name::Target, Vec<name::Handle>)> {
        let mut by_target: Vec<(name::Target, Vec<name::Handle>)> = Vec::new();
        let results = self.results.iter_mut();
        for result in results.filter(|result| result.state == State::Freed) {
            result.state = State::FreeSent;
            let found = by_target.binary_search_by(|(target, _)| target.cmp(&result.target));
            let handle = result.handle.clone();
            match found {
                Ok(index) => by_target[index].1.push(handle),
                Err(index) => by_target.insert(index, (result.target.clone(), vec![handle])),
            }
        }
        by_target
    }

    /// Removes results whose free was sent, and updates the mean lifetime.
    pub fn remove_freed(&mut self, handles: &[name::Handle], now: Millis) {
        for handle in handles {
            if let Ok(index) = self.find(handle) {
                let result = self.results.remove(index);
                let lifetime = (now - result.created_at).0;
                self.mean_lifetime = Millis(
                    (self.mean_lifetime.0 * (MEAN_WEIGHT_PARTS - 1) + lifetime) / MEAN_WEIGHT_PARTS,
                );
            }
        }
    }

    /// Returns the mean time for which a result is kept.
    #[must_use]
    pub fn mean_lifetime(&self) -> Millis {
        self.mean_lifetime
    }

    /// Records the memory in use that a target reports. What exceeds the
    /// tracked results expires after `ttl`.
    pub fn record_reported_bytes(
        &mut self,
        target: &name::Target,
        bytes: u64,
        ttl: Millis,
        now: Millis,
    ) {
        self.untracked
            .retain(|untracked| untracked.target != *target);
        let bytes = bytes.saturating_sub(self.kept_bytes(target, now));
        if bytes > 0 {
            self.untracked.push(UntrackedBytes {
                target: target.clone(),
                bytes,
                expires_at: now + ttl,
            });
        }
    }

    /// Returns the memory that results take at a target, in bytes.
    #[must_use]
    pub fn kept_bytes(&self, target: &name::Target, now: Millis) -> u64 {
        let kept = self.results.iter();
        let of_target = kept.filter(|result| result.target == *target && result.expires_at > now);
        let known = of_target.fold(0, |sum: u64, result| sum.saturating_add(result.bytes));
        let untracked = self.untracked.iter();
        let of_target =
            untracked.filter(|untracked| untracked.target == *target && untracked.expires_at > now);
        of_target.fold(known, |sum, untracked| sum.saturating_add(untracked.bytes))
    }

    /// Returns the targets that keep results of other dispatchers.
    #[must_use]
    pub fn targets_with_untracked(&self, now: Millis) -> Vec<name::Target> {
        let untracked = self
            .untracked
            .iter()
            .filter(|untracked| untracked.expires_at > now);
        untracked
            .map(|untracked| untracked.target.clone())
            .collect()
    }

    /// Removes the results whose time to live has ended.
    pub fn remove_expired(&mut self, now: Millis) {
        self.results.retain(|result| result.expires_at > now);
        self.untracked
            .retain(|untracked| untracked.expires_at > now);
    }

    fn find(&self, handle: &name::Handle) -> Result<usize, usize> {
        self.results
            .binary_search_by(|result| result.handle.cmp(handle))
    }
}
