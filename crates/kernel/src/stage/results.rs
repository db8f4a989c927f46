//! The results that the targets of a stage service keep.
//!
//! A target has room for few large results, and keeps each one until it is
//! told that nobody needs it, or for the span that the settings name. The
//! dispatcher gives out all calls and passes on all frees, so it can count. A
//! result takes room until its maker has heard that it is freed.

use crate::clock::Millis;
use crate::derive::value;
use crate::fleet::member::Process;
use crate::name;

value! {
    /// One result.
    struct Held {
        handle: name::Handle,
        target: name::Target,
        bytes: u64,
        made: Millis,
        until: Millis,
        state: State,
        /// The daemon that has its request, once it knows of the result.
        reader: Option<Process>,
    }

    /// Results of a target that were made through another dispatcher.
    struct Unknown {
        target: name::Target,
        bytes: u64,
        until: Millis,
    }

    enum State {
        /// Somebody will read it.
        Needed,
        /// Nobody reads it, and its maker does not know yet.
        Freed,
        /// Its maker is being told.
        Told,
    }
}

/// How long results are expected to be kept before any was freed: about a call
/// of the next stage.
const HOLD_DEFAULT: Millis = Millis(500);
/// The weight of the newest result in the mean, as one part of so many.
const NEWEST: u64 = 32;

/// The results of one service, sorted by handle.
#[derive(Clone, Debug)]
pub struct Results {
    held: Vec<Held>,
    /// What targets keep beside that, made through another dispatcher.
    unknown: Vec<Unknown>,
    hold: Millis,
}

impl Default for Results {
    fn default() -> Self {
        Self {
            held: Vec::new(),
            unknown: Vec::new(),
            hold: HOLD_DEFAULT,
        }
    }
}

impl Results {
    /// Notes a result that a target keeps now.
    pub fn keep(
        &mut self,
        handle: name::Handle,
        target: &name::Target,
        bytes: u64,
        span: Millis,
        now: Millis,
    ) {
        let held = Held {
            handle,
            target: target.clone(),
            bytes,
            made: now,
            until: now + span,
            state: State::Needed,
            reader: None,
        };
        match self.find(&held.handle) {
            Ok(index) => self.held[index] = held,
            Err(index) => self.held.insert(index, held),
        }
    }

    /// Notes that nobody needs the results any more, and returns those that
    /// are not known here.
    pub fn free(&mut self, handles: &[name::Handle]) -> Vec<name::Handle> {
        let mut unknown = Vec::new();
        for handle in handles {
            match self.find(handle) {
                Ok(index) if self.held[index].state == State::Needed => {
                    self.held[index].state = State::Freed;
                }
                Ok(_) => {}
                Err(_) => unknown.push(handle.clone()),
            }
        }
        unknown
    }

    /// Notes which daemon knows of results from now on and will free them.
    pub fn hand_to(&mut self, handles: &[name::Handle], reader: Process) {
        for handle in handles {
            if let Ok(index) = self.find(handle) {
                self.held[index].reader = Some(reader);
            }
        }
    }

    /// Returns the daemons that know of results here, one for each result.
    #[must_use]
    pub fn readers(&self) -> Vec<Process> {
        self.held.iter().filter_map(|held| held.reader).collect()
    }

    /// Frees the results that daemons know of which have ended; returns how many
    /// there were.
    pub fn free_of(&mut self, readers: &[Process]) -> usize {
        let needed = self.held.iter_mut();
        let needed = needed.filter(|held| held.state == State::Needed);
        let is_gone = |reader: Process| readers.contains(&reader);
        let gone = needed.filter(|held| held.reader.is_some_and(is_gone));
        gone.map(|held| held.state = State::Freed).count()
    }

    /// Returns which results each target is to be told of now.
    pub fn take_freed(&mut self) -> Vec<(name::Target, Vec<name::Handle>)> {
        let mut by_target: Vec<(name::Target, Vec<name::Handle>)> = Vec::new();
        let freed = self.held.iter_mut();
        for held in freed.filter(|held| held.state == State::Freed) {
            held.state = State::Told;
            let found = by_target.binary_search_by(|(target, _)| target.cmp(&held.target));
            let handle = held.handle.clone();
            match found {
                Ok(index) => by_target[index].1.push(handle),
                Err(index) => by_target.insert(index, (held.target.clone(), vec![handle])),
            }
        }
        by_target
    }

    /// Notes that a target has heard which results are freed.
    pub fn forget(&mut self, handles: &[name::Handle], now: Millis) {
        for handle in handles {
            if let Ok(index) = self.find(handle) {
                let held = self.held.remove(index);
                let took = (now - held.made).0;
                self.hold = Millis((self.hold.0 * (NEWEST - 1) + took) / NEWEST);
            }
        }
    }

    /// Returns how long a result is kept as a rule.
    #[must_use]
    pub fn hold(&self) -> Millis {
        self.hold
    }

    /// Notes how many bytes a target keeps as it says itself; what goes beyond
    /// the known results ages out within the span.
    pub fn note_kept(&mut self, target: &name::Target, bytes: u64, span: Millis, now: Millis) {
        self.unknown.retain(|unknown| unknown.target != *target);
        let bytes = bytes.saturating_sub(self.bytes(target, now));
        if bytes > 0 {
            self.unknown.push(Unknown {
                target: target.clone(),
                bytes,
                until: now + span,
            });
        }
    }

    /// Returns how many bytes a target keeps.
    #[must_use]
    pub fn bytes(&self, target: &name::Target, now: Millis) -> u64 {
        let kept = self.held.iter();
        let of_target = kept.filter(|held| held.target == *target && held.until > now);
        let known: u64 = of_target.map(|held| held.bytes).sum();
        let unknown = self.unknown.iter();
        let of_target = unknown.filter(|one| one.target == *target && one.until > now);
        known + of_target.map(|one| one.bytes).sum::<u64>()
    }

    /// Returns the targets that keep results which are not known here.
    #[must_use]
    pub fn unknown_keepers(&self, now: Millis) -> Vec<name::Target> {
        let unknown = self.unknown.iter().filter(|one| one.until > now);
        unknown.map(|one| one.target.clone()).collect()
    }

    /// Forgets what has aged out.
    pub fn tick(&mut self, now: Millis) {
        self.held.retain(|held| held.until > now);
        self.unknown.retain(|unknown| unknown.until > now);
    }

    fn find(&self, handle: &name::Handle) -> Result<usize, usize> {
        self.held.binary_search_by(|held| held.handle.cmp(handle))
    }
}
