//! The places of a target, as its owner counts them.
//!
//! The owner alone sends a target work, so the count is exact. A call keeps
//! its place until the target has answered or the longest call has passed,
//! also when the caller has given up, since the target may still be at work.

use crate::answer::Kind;
use crate::clock::Millis;
use crate::derive::value;
use crate::id;
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

#[derive(Clone, Debug)]
struct Sent {
    attempt: id::Attempt,
    /// When it got its place.
    at: Millis,
    /// When the target must have let go of the call.
    ends_by: Millis,
}

#[derive(Clone, Debug)]
struct Place {
    target: id::Target,
    warmth: Warmth,
    /// When the tenure began under which the place was last used.
    since: Millis,
    /// Until when calls of a former owner may be running, which fill it.
    full_until: Millis,
    sent: Vec<Sent>,
    queue: Vec<Call>,
}

/// The places of all targets that a daemon owns.
#[derive(Clone, Debug, Default)]
pub struct Table {
    places: Vec<Place>,
}

impl Table {
    /// Asks for a place for the call.
    ///
    /// `since` is when the owner's tenure over the target began: until the
    /// longest call has passed from then, calls of a former owner may run.
    pub fn start(&mut self, call: &Call, pool: &Pool, since: Millis, now: Millis) -> Start {
        let place = self.place(&call.target, pool, since);
        place.sent.retain(|sent| sent.ends_by > now);
        if place.queue.is_empty() && place.has_room(now) {
            place.send(call.attempt, pool, now);
            return Start::Go;
        }
        if place.queue.len() >= usize::from(pool.queue_limit) {
            return Start::Refused(Kind::QueueFull);
        }
        if call.start_by <= now {
            return Start::Refused(Kind::TooLate);
        }
        place.queue.push(call.clone());
        Start::Queued
    }

    /// Tells, directly before the send, whether a call still has its place.
    ///
    /// The place may have lapsed if the process was paused, and it counts only
    /// under the tenure in which it was given. The longest call begins now.
    pub fn confirm(&mut self, call: &Call, pool: &Pool, since: Millis, now: Millis) -> bool {
        let place = self.place(&call.target, pool, since);
        let is_full = now < place.full_until;
        let found = place
            .sent
            .iter_mut()
            .find(|sent| sent.attempt == call.attempt && sent.at >= since && sent.ends_by > now);
        let Some(sent) = found.filter(|_| !is_full) else {
            return false;
        };
        sent.ends_by = now + pool.longest_call;
        true
    }

    /// Notes that the target has let go of a call, and what the call showed.
    pub fn finish(
        &mut self,
        target: &id::Target,
        attempt: id::Attempt,
        sign: Sign,
        pool: &Pool,
        now: Millis,
    ) -> Vec<Wake> {
        let Ok(index) = self.find(target) else {
            return Vec::new();
        };
        let place = &mut self.places[index];
        place.sent.retain(|sent| sent.attempt != attempt);
        place.warmth.note(sign, pool);
        place.wake(pool, now)
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
    /// `pool_of` returns the pool and when the tenure over the target began,
    /// or `None` if the target is not to be given work.
    pub fn tick<'a>(
        &mut self,
        now: Millis,
        pool_of: impl Fn(&id::Target) -> Option<(&'a Pool, Millis)>,
    ) -> Vec<Wake> {
        let mut wakes = Vec::new();
        for place in &mut self.places {
            match pool_of(&place.target) {
                Some((pool, since)) => {
                    place.renew(pool, since);
                    wakes.extend(place.wake(pool, now));
                }
                None => wakes.extend(place.turn_away()),
            }
        }
        let is_kept = |place: &Place| {
            !place.sent.is_empty() || !place.queue.is_empty() || pool_of(&place.target).is_some()
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
    pub fn load(&self, target: &id::Target) -> Option<(usize, u16)> {
        let index = self.find(target).ok()?;
        let place = &self.places[index];
        Some((place.sent.len(), place.warmth.limit()))
    }

    /// Returns the targets that may have calls, of this owner or a former one.
    #[must_use]
    pub fn busy(&self, now: Millis) -> Vec<id::Target> {
        let is_busy = |place: &&Place| {
            now < place.full_until || place.sent.iter().any(|sent| sent.ends_by > now)
        };
        let busy = self.places.iter().filter(is_busy);
        busy.map(|place| place.target.clone()).collect()
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

    fn place(&mut self, target: &id::Target, pool: &Pool, since: Millis) -> &mut Place {
        let index = self.find(target).unwrap_or_else(|index| {
            let place = Place {
                target: target.clone(),
                warmth: Warmth::new(pool),
                since,
                full_until: since + pool.longest_call,
                sent: Vec::new(),
                queue: Vec::new(),
            };
            self.places.insert(index, place);
            index
        });
        let place = &mut self.places[index];
        place.renew(pool, since);
        place
    }
}

impl Place {
    /// Counts the target as full again when a new tenure over it began, since
    /// another daemon may have sent it calls in between. A hand-over moves the
    /// beginning back to that of the former owner.
    fn renew(&mut self, pool: &Pool, since: Millis) {
        if since != self.since {
            self.since = since;
            self.full_until = since + pool.longest_call;
        }
    }

    fn has_room(&self, now: Millis) -> bool {
        now >= self.full_until && self.sent.len() < usize::from(self.warmth.limit())
    }

    fn send(&mut self, attempt: id::Attempt, pool: &Pool, now: Millis) {
        debug_assert!(self.sent.len() < usize::from(self.warmth.limit()));
        self.sent.push(Sent {
            attempt,
            at: now,
            ends_by: now + pool.longest_call,
        });
    }

    fn wake(&mut self, pool: &Pool, now: Millis) -> Vec<Wake> {
        let mut wakes = Vec::new();
        self.sent.retain(|sent| sent.ends_by > now);
        let (waiting, expired) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition(|call| call.start_by > now);
        self.queue = waiting;
        wakes.extend(refused(expired, &self.target));
        while !self.queue.is_empty() && self.has_room(now) {
            let call = self.queue.remove(0);
            self.send(call.attempt, pool, now);
            wakes.push(Wake {
                target: self.target.clone(),
                attempt: call.attempt,
                is_granted: true,
            });
        }
        wakes
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
