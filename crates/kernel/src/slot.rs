//! The places of a target, as its owner counts them.
//!
//! The owner alone sends a target work, so the count is exact. A call keeps
//! its place until the target has answered or the longest call has passed,
//! also when the caller has given up, since the target may still be at work.

use crate::answer::Kind;
use crate::clock::Millis;
use crate::derive::value;
use crate::id;
use crate::settings::Policy;
use crate::settings::Pool;
use crate::warmth::Sign;
use crate::warmth::Warmth;

value! {
    /// A call that wants a place.
    pub struct Call {
        /// The target it is for.
        pub target: id::Target,
        /// The attempt that it is.
        pub attempt: id::Attempt,
        /// The latest moment at which it may start.
        pub start_by: Millis,
    }

    /// What becomes of a call.
    pub enum Start {
        /// It may be sent now.
        Go,
        /// It waits for a place.
        Queued,
        /// It is refused, and was not run.
        Refused(Kind),
    }

    /// A call that was waiting and now has a place, or has waited too long.
    pub struct Wake {
        /// The target it was waiting for.
        pub target: id::Target,
        /// The call.
        pub attempt: id::Attempt,
        /// Whether it may be sent; otherwise it waited too long.
        pub is_granted: bool,
    }
}

/// The rules by which the places of a target are counted.
#[derive(Clone, Copy, Debug)]
pub struct Terms<'a> {
    /// The pool of the target.
    pub pool: &'a Pool,
    /// How the daemons decide.
    pub policy: Policy,
}

#[derive(Clone, Debug)]
struct Sent {
    attempt: id::Attempt,
    /// When the target must have let go of the call.
    ends_by: Millis,
}

#[derive(Clone, Debug)]
struct Place {
    target: id::Target,
    warmth: Warmth,
    /// Until when calls of a former owner may be running, which fill it.
    full_until: Millis,
    sent: Vec<Sent>,
    queue: Vec<Call>,
}

/// The places of all targets that a daemon owns.
#[derive(Clone, Debug, Default)]
pub struct Table {
    places: Vec<Place>,
    /// How often a send has raised a target above its limit.
    overruns: usize,
}

impl Table {
    /// Asks for a place for the call.
    ///
    /// `since` is when the owner's tenure over the target began: until the
    /// longest call has passed from then, calls of a former owner may run.
    pub fn start(&mut self, call: &Call, terms: Terms<'_>, since: Millis, now: Millis) -> Start {
        let index = self.place(&call.target, terms.pool, since);
        let place = &mut self.places[index];
        place.sent.retain(|sent| sent.ends_by > now);
        if place.queue.is_empty() && place.has_room(terms, now) {
            self.overruns += usize::from(!place.send(call.attempt, terms, now));
            return Start::Go;
        }
        if place.queue.len() >= usize::from(terms.pool.queue_limit) {
            return Start::Refused(Kind::QueueFull);
        }
        if call.start_by <= now {
            return Start::Refused(Kind::TooLate);
        }
        place.queue.push(call.clone());
        Start::Queued
    }

    /// Notes that the target has let go of a call, and what the call showed.
    pub fn finish(
        &mut self,
        target: &id::Target,
        attempt: id::Attempt,
        sign: Sign,
        terms: Terms<'_>,
        now: Millis,
    ) -> Vec<Wake> {
        let Ok(index) = self.find(target) else {
            return Vec::new();
        };
        let place = &mut self.places[index];
        place.sent.retain(|sent| sent.attempt != attempt);
        place.warmth.note(sign, terms.pool);
        let (wakes, overruns) = place.wake(terms, now);
        self.overruns += overruns;
        wakes
    }

    /// Takes a call out of the queue, when its caller has gone.
    pub fn cancel(&mut self, target: &id::Target, attempt: id::Attempt) {
        if let Ok(index) = self.find(target) {
            let place = &mut self.places[index];
            place.queue.retain(|call| call.attempt != attempt);
        }
    }

    /// Gives a call's place back without judging the target.
    pub fn release(&mut self, target: &id::Target, attempt: id::Attempt) {
        if let Ok(index) = self.find(target) {
            let place = &mut self.places[index];
            place.sent.retain(|sent| sent.attempt != attempt);
        }
    }

    /// Wakes what can start now and what has waited too long.
    ///
    /// `terms_of` returns `None` if the target is not to be given work.
    pub fn tick<'a>(
        &mut self,
        now: Millis,
        terms_of: impl Fn(&id::Target) -> Option<Terms<'a>>,
    ) -> Vec<Wake> {
        let mut wakes = Vec::new();
        for place in &mut self.places {
            match terms_of(&place.target) {
                Some(terms) => {
                    let (woken, overruns) = place.wake(terms, now);
                    wakes.extend(woken);
                    self.overruns += overruns;
                }
                None => wakes.extend(place.turn_away()),
            }
        }
        let is_kept = |place: &Place| {
            !place.sent.is_empty() || !place.queue.is_empty() || terms_of(&place.target).is_some()
        };
        self.places.retain(is_kept);
        wakes
    }

    /// Forgets what a target bears, when its right was lost and regained.
    pub fn forget(&mut self, target: &id::Target) {
        if let Ok(index) = self.find(target) {
            self.places.remove(index);
        }
    }

    /// Returns the calls in flight and the limit of a target.
    #[must_use]
    pub fn load(&self, target: &id::Target, terms: Terms<'_>) -> Option<(usize, u16)> {
        let index = self.find(target).ok()?;
        let place = &self.places[index];
        Some((place.sent.len(), place.limit(terms)))
    }

    /// Returns how often a send has raised a target above its limit; any is a
    /// fault of the program.
    #[must_use]
    pub fn overruns(&self) -> usize {
        self.overruns
    }

    /// Returns the calls in flight over all targets.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.places.iter().map(|place| place.sent.len()).sum()
    }

    /// Returns the calls that wait over all targets.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.places.iter().map(|place| place.queue.len()).sum()
    }

    fn find(&self, target: &id::Target) -> Result<usize, usize> {
        self.places.binary_search_by(|one| one.target.cmp(target))
    }

    fn place(&mut self, target: &id::Target, pool: &Pool, since: Millis) -> usize {
        self.find(target).unwrap_or_else(|index| {
            let place = Place {
                target: target.clone(),
                warmth: Warmth::new(pool),
                full_until: since + pool.longest_call,
                sent: Vec::new(),
                queue: Vec::new(),
            };
            self.places.insert(index, place);
            index
        })
    }
}

impl Place {
    /// Returns how many calls the target may have at a time.
    fn limit(&self, terms: Terms<'_>) -> u16 {
        match terms.policy {
            Policy::Adaptive => self.warmth.limit(),
            Policy::Baseline => terms.pool.warm_limit,
        }
    }

    fn has_room(&self, terms: Terms<'_>, now: Millis) -> bool {
        let is_full = terms.policy == Policy::Adaptive && now < self.full_until;
        !is_full && self.sent.len() < usize::from(self.limit(terms))
    }

    /// Takes a place, and tells whether the target is within its limit.
    fn send(&mut self, attempt: id::Attempt, terms: Terms<'_>, now: Millis) -> bool {
        self.sent.push(Sent {
            attempt,
            ends_by: now + terms.pool.longest_call,
        });
        self.sent.len() <= usize::from(self.limit(terms))
    }

    /// Wakes calls, and returns with them how many sends were above the limit.
    fn wake(&mut self, terms: Terms<'_>, now: Millis) -> (Vec<Wake>, usize) {
        let mut wakes = Vec::new();
        let mut overruns = 0;
        self.sent.retain(|sent| sent.ends_by > now);
        let (waiting, expired) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition(|call| call.start_by > now);
        self.queue = waiting;
        wakes.extend(refused(expired, &self.target));
        while !self.queue.is_empty() && self.has_room(terms, now) {
            let call = self.queue.remove(0);
            overruns += usize::from(!self.send(call.attempt, terms, now));
            wakes.push(Wake {
                target: self.target.clone(),
                attempt: call.attempt,
                is_granted: true,
            });
        }
        (wakes, overruns)
    }

    fn turn_away(&mut self) -> Vec<Wake> {
        refused(std::mem::take(&mut self.queue), &self.target)
    }
}

fn refused(calls: Vec<Call>, target: &id::Target) -> Vec<Wake> {
    let refuse = |call: Call| Wake {
        target: target.clone(),
        attempt: call.attempt,
        is_granted: false,
    };
    calls.into_iter().map(refuse).collect()
}
