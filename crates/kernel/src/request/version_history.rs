//! What the history of the platform's store shows of the versions of targets.
//!
//! A daemon that has just started has not seen which targets left before. The store keeps its
//! latest changes for a while, so their entries tell, unless one was removed or replaced whose
//! former version the history does not reach. A stream that a client resumes began at a target
//! that was listed then, or at most for as long before as a target serves on after its removal.
//! So a history that reaches back further than streams last, and that time more, names each
//! version at which it may have begun.
//!
//! The store may have dropped its history early, which cannot be told from its answers. The
//! history is therefore proof only together with a target that has read the stream's prompt
//! ([`Surveys::only_reader`](crate::request::stream_trace::Surveys::only_reader)).

use crate::clock::Millis;
use crate::derive::scalar;
use crate::derive::value;
use crate::fleet::mirror::Revision;
use crate::name;
use crate::request::routing_table::Incarnation;

value! {
    /// A change of a target's entry.
    pub struct Change {
        /// The target.
        pub target: name::Target,
        /// Whether the history shows by itself what the target was before: it had no entry,
        /// or was in the same run.
        pub is_past_known: bool,
        /// The entry.
        pub entry: Entry,
    }

    /// The entry of a target.
    pub enum Entry {
        /// It names a run of a target of a service.
        Target(name::Service, Incarnation),
        /// It names no target to use.
        Unusable,
        /// It was removed.
        Removed,
    }
}

scalar! {
    /// When the history was read.
    pub struct Reading {
        /// When the daemon began to ask for it.
        pub begun: Millis,
        /// When it had it.
        pub ended: Millis,
        /// How far back the store keeps changes.
        pub reach: Millis,
    }

    /// The search for the oldest revision of which the store still has the changes that
    /// followed. Each probe is a call to the store.
    pub struct Search {
        /// The newest revision that the store is known to have forgotten.
        forgotten: Option<Revision>,
        /// The oldest one that it is known to remember.
        remembered: Option<Revision>,
        /// Its latest revision.
        latest: Revision,
    }
}

impl Reading {
    /// Returns whether the history reaches back to where a stream may have begun that a client
    /// resumed at a time.
    #[must_use]
    pub fn covers(&self, resumed_at: Millis, stream_max: Millis) -> bool {
        resumed_at + self.reach >= self.ended + stream_max
    }
}

impl Search {
    /// Begins a search. `forgotten` is a revision that an earlier one found forgotten.
    #[must_use]
    pub fn new(latest: Revision, forgotten: Option<Revision>) -> Self {
        Self {
            forgotten,
            remembered: None,
            latest,
        }
    }

    /// Returns the next revision to ask for; `None` once the oldest one has been found.
    #[must_use]
    pub fn next_probe(&self) -> Option<Revision> {
        match (self.forgotten, self.remembered) {
            (None, None) => Some(Revision::default()),
            (Some(forgotten), None) if forgotten < self.latest => Some(self.latest),
            (Some(forgotten), Some(remembered)) if forgotten.0 + 1 < remembered.0 => {
                Some(Revision(forgotten.0.midpoint(remembered.0)))
            }
            (Some(_), None) | (_, Some(_)) => None,
        }
    }

    /// Records whether the store remembers what followed a revision.
    pub fn record(&mut self, probe: Revision, is_remembered: bool) {
        let known = if is_remembered {
            &mut self.remembered
        } else {
            &mut self.forgotten
        };
        *known = Some(probe);
    }

    /// Returns the newest revision that the store is known to have forgotten.
    #[must_use]
    pub fn forgotten(&self) -> Option<Revision> {
        self.forgotten
    }
}

/// Returns the service and each run of a target that the changes show, which are in the order of
/// their revisions.
///
/// # Errors
/// Returns a target whose version before its first change is unknown.
pub fn runs(changes: &[Change]) -> Result<Vec<(name::Service, Incarnation)>, name::Target> {
    let mut runs = Vec::new();
    for (index, change) in changes.iter().enumerate() {
        let mut earlier = changes[..index].iter();
        let is_first = !earlier.any(|earlier| earlier.target == change.target);
        if is_first && !change.is_past_known {
            return Err(change.target.clone());
        }
        if let Entry::Target(service, run) = &change.entry {
            runs.push((service.clone(), run.clone()));
        }
    }
    runs.sort_by(|(_, a), (_, b)| (&a.target, a.started).cmp(&(&b.target, b.started)));
    runs.dedup();
    Ok(runs)
}
