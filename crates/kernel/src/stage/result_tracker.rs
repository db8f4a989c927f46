//! The results that the targets of a stage service keep.
//!
//! A target has room for few large results, and keeps each one until it is
//! told that nobody needs it, or for the span that the settings name. The
//! dispatcher gives out all calls and passes on all frees, so it can count. A
//! result takes room until its maker has heard that it is freed.

use crate::clock::Millis;
use crate::derive::value;
use crate::fleet::membership::Process;
use crate::name;

value! {
    /// One result.
    struct TrackedResult {
        handle: name::Handle,
        target: name::Target,
        bytes: u64,
        created_at: Millis,
        expires_at: Millis,
        state: State,
        /// The daemon that has its request, once it knows of the result.
        reader: Option<Process>,
    }

    /// Results of a target that were made through another dispatcher.
    struct UntrackedBytes {
        target: name::Target,
        bytes: u64,
        expires_at: Millis,
    }

    enum State {
        /// Somebody will read it.
        Needed,
        /// Nobody reads it, and its maker does not know yet.
        Freed,
        /// Its maker is being told.
        FreeSent,
    }
}

/// How long results are expected to be kept before any was freed: about a call
/// of the next stage.
const LIFETIME_DEFAULT: Millis = Millis(500);
/// The weight of the newest result in the mean, as one part of so many.
const MEAN_WEIGHT_PARTS: u64 = 32;

/// The results of one service, sorted by handle.
#[derive(Clone, Debug)]
pub struct ResultTracker {
    results: Vec<TrackedResult>,
    /// What targets keep beside that, made through another dispatcher.
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
    /// Notes a result that a target keeps now.
    pub fn track(
        &mut self,
        handle: name::Handle,
        target: &name::Target,
        bytes: u64,
        ttl: Millis,
        now: Millis,
    ) {
        let result = TrackedResult {
            handle,
            target: target.clone(),
            bytes,
            created_at: now,
            expires_at: now + ttl,
            state: State::Needed,
            reader: None,
        };
        match self.find(&result.handle) {
            Ok(index) => self.results[index] = result,
            Err(index) => self.results.insert(index, result),
        }
    }

    /// Notes that nobody needs the results any more, and returns those that
    /// are not known here.
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

    /// Notes which daemon knows of results from now on and will free them.
    pub fn set_reader(&mut self, handles: &[name::Handle], reader: Process) {
        for handle in handles {
            if let Ok(index) = self.find(handle) {
                self.results[index].reader = Some(reader);
            }
        }
    }

    /// Returns the daemons that know of results here, one for each result.
    #[must_use]
    pub fn readers(&self) -> Vec<Process> {
        self.results
            .iter()
            .filter_map(|result| result.reader)
            .collect()
    }

    /// Frees the results that daemons know of which have ended; returns how many
    /// there were.
    pub fn free_read_by(&mut self, readers: &[Process]) -> usize {
        let needed = self.results.iter_mut();
        let needed = needed.filter(|result| result.state == State::Needed);
        let is_gone = |reader: Process| readers.contains(&reader);
        let gone = needed.filter(|result| result.reader.is_some_and(is_gone));
        gone.map(|result| result.state = State::Freed).count()
    }

    /// Returns which results each target is to be told of now.
    pub fn take_freed(&mut self) -> Vec<(name::Target, Vec<name::Handle>)> {
        let mut by_target: Vec<(name::Target, Vec<name::Handle>)> = Vec::new();
        let newly_freed = self.results.iter_mut();
        for result in newly_freed.filter(|result| result.state == State::Freed) {
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

    /// Notes that a target has heard which results are freed.
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

    /// Returns how long a result is kept as a rule.
    #[must_use]
    pub fn mean_lifetime(&self) -> Millis {
        self.mean_lifetime
    }

    /// Notes how many bytes a target keeps as it says itself; what goes beyond
    /// the known results ages out within the span.
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

    /// Returns how many bytes a target keeps.
    #[must_use]
    pub fn kept_bytes(&self, target: &name::Target, now: Millis) -> u64 {
        let kept = self.results.iter();
        let of_target = kept.filter(|result| result.target == *target && result.expires_at > now);
        let known: u64 = of_target.map(|result| result.bytes).sum();
        let untracked = self.untracked.iter();
        let of_target =
            untracked.filter(|untracked| untracked.target == *target && untracked.expires_at > now);
        known + of_target.map(|untracked| untracked.bytes).sum::<u64>()
    }

    /// Returns the targets that keep results which are not known here.
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

    /// Forgets what has aged out.
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
