//! The places of a target, as its owner counts them.
//!
//! The owner alone sends a target work, so the count is exact. A call keeps
//! its place until the target has answered or the longest call has passed,
//! also when the caller has given up, since the target may still be at work.

use crate::answer::Failure;
use crate::answer::Kind;
use crate::clock::Millis;
use crate::concurrency_limit::Evidence;
use crate::concurrency_limit::Sign;
use crate::concurrency_limit::Warmth;
use crate::derive::scalar;
use crate::derive::value;
use crate::fair_queue::Order;
use crate::fair_queue::Queue;
use crate::id;
use crate::settings::Policy;
use crate::settings::Pool;

value! {
    /// A call that wants a place.
    pub struct Call {
        /// The target it is for.
        pub target: id::Target,
        /// The attempt that it is.
        pub attempt: id::Attempt,
        /// The workspace that it serves.
        pub workspace: id::Workspace,
        /// When its answer is late.
        pub due: Millis,
        /// When its answer is of no use any more; not before it is due.
        pub deadline: Millis,
        /// The digest of the request's workspace and body.
        pub digest: id::Digest,
        /// How many targets broke while they ran this; such a call is kept apart.
        pub crashes: u16,
    }

    /// What becomes of a call.
    pub enum Start {
        /// It may be sent now.
        Go,
        /// It waits for a place.
        Queued,
        /// It is refused, and was not run.
        Refused(Failure),
    }

    /// A call that was waiting and now has a place, or has waited too long.
    pub struct Wake {
        /// The target it was waiting for.
        pub target: id::Target,
        /// The call.
        pub attempt: id::Attempt,
        /// Why it is refused; `None` if it may be sent.
        pub refusal: Option<Kind>,
    }
}

/// The rules by which the places of a target are counted.
#[derive(Clone, Copy, Debug)]
pub struct Terms<'a> {
    /// The pool of the target.
    pub pool: &'a Pool,
    /// How the daemons decide.
    pub policy: Policy,
    /// Which waiting call comes next.
    pub order: Order,
}

scalar! {
    /// How a call is kept apart from others at its target.
    enum Isolation {
        /// It runs beside any other.
        Open,
        /// It runs beside no other suspect, so that an answer clears it.
        Apart,
        /// It runs alone, so that a crash is its own.
        Alone,
    }
}

impl Isolation {
    fn of(call: &Call, terms: Terms<'_>) -> Self {
        match (terms.policy, call.crashes) {
            (Policy::Baseline, _) | (_, 0) => Self::Open,
            (_, 1) => Self::Apart,
            _ => Self::Alone,
        }
    }
}

/// How many suspects may wait at a target until they can be kept apart.
const SUSPECTS_MAX: usize = 4;

#[derive(Clone, Debug)]
struct Sent {
    attempt: id::Attempt,
    at: Millis,
    /// When the target must have let go of the call.
    ends_by: Millis,
    /// How many calls the target had when it was sent, with this one.
    beside: usize,
    /// Whether and how it is kept apart from other calls.
    isolation: Isolation,
}

#[derive(Clone, Debug)]
struct Place {
    target: id::Target,
    warmth: Warmth,
    /// When the owner's right to the target was last found to hold.
    held_at: Millis,
    /// Until when calls of a former owner may be running, which fill it.
    full_until: Millis,
    sent: Vec<Sent>,
    queue: Queue,
    /// The calls that wait until they can be kept apart.
    suspects: Vec<Call>,
}

/// The places of all targets that a daemon owns.
#[derive(Clone, Debug, Default)]
pub struct Table {
    places: Vec<Place>,
    /// How often a send has raised a target above its limit.
    overruns: usize,
    /// The calls that had to give way, until the driver takes them.
    wakes: Vec<Wake>,
}

impl Table {
    /// Asks for a place for the call of a workspace of the weight.
    ///
    /// `since` is when the owner's tenure over the target began: until the
    /// longest call has passed from then, calls of a former owner may run.
    pub fn start(
        &mut self,
        call: &Call,
        weight: u16,
        terms: Terms<'_>,
        since: Millis,
        now: Millis,
    ) -> Start {
        let index = self.place(&call.target, terms.pool, since, now);
        let place = &mut self.places[index];
        place.sent.retain(|sent| sent.ends_by > now);
        if place.queue.is_empty() && place.has_room_for(call, terms, now) {
            self.overruns += usize::from(!place.send(call, terms, now));
            return Start::Go;
        }
        if let Err(failure) = place.judge(call, weight, terms, now) {
            return Start::Refused(failure);
        }
        if Isolation::of(call, terms) != Isolation::Open {
            return place.queue_apart(call, terms, now);
        }
        if place.queue.len() >= usize::from(terms.pool.queue_limit) {
            match place.give_way(call, weight, terms, now) {
                Some(victim) => self.wakes.extend(refused(vec![victim], Kind::QueueFull)),
                None => return Start::Refused(place.full(call, weight, terms, now)),
            }
        }
        place.queue.push(call.clone(), weight);
        Start::Queued
    }

    /// Takes the wakes of calls that had to give way to others.
    #[must_use]
    pub fn take_wakes(&mut self) -> Vec<Wake> {
        std::mem::take(&mut self.wakes)
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
        place.learn(attempt, sign, terms.pool, now);
        let (wakes, overruns) = place.wake(terms, now);
        self.overruns += overruns;
        wakes
    }

    /// Confirms a call's place directly before the call is sent.
    ///
    /// The place may be gone or above the limit by now, if the process was
    /// paused or the target turned cold since it was given. Otherwise the time
    /// in which the target must let go of the call begins now.
    ///
    /// # Errors
    /// Returns the kind with which the call is refused; its place is free.
    pub fn confirm(
        &mut self,
        target: &id::Target,
        attempt: id::Attempt,
        terms: Terms<'_>,
        since: Millis,
        now: Millis,
    ) -> Result<(), Kind> {
        let index = self.place(target, terms.pool, since, now);
        let place = &mut self.places[index];
        place.sent.retain(|sent| sent.ends_by > now);
        let limit = usize::from(place.limit(terms, now));
        let is_waiting = place.is_waiting(terms, now);
        // A place counts under the tenure in which it was given.
        let found = place
            .sent
            .iter_mut()
            .find(|sent| sent.attempt == attempt && sent.at >= since && !is_waiting);
        let sent = found.ok_or(Kind::NoRight)?;
        sent.at = now;
        sent.ends_by = now + terms.pool.longest_call;
        if place.sent.len() <= limit {
            return Ok(());
        }
        place.sent.retain(|sent| sent.attempt != attempt);
        Err(Kind::QueueFull)
    }

    /// Ends the wait of a new owner, since the former one has handed over.
    ///
    /// `running` tells of each call that the former owner has at the target
    /// how long it may last still.
    pub fn take_over(
        &mut self,
        target: &id::Target,
        running: &[(id::Attempt, Millis)],
        pool: &Pool,
        since: Millis,
        now: Millis,
    ) {
        let index = self.place(target, pool, since, now);
        let place = &mut self.places[index];
        place.full_until = now;
        let sent = running.iter().map(|&(attempt, left)| Sent {
            attempt,
            at: now,
            ends_by: now + left,
            beside: 0,
            isolation: Isolation::Open,
        });
        place.sent.extend(sent);
    }

    /// Takes in a report that a target was cold at the moment.
    pub fn note_report(&mut self, target: &id::Target, at: Millis, pool: &Pool, now: Millis) {
        if let Ok(index) = self.find(target) {
            self.places[index].warmth.note_report(at, pool, now);
        }
    }

    /// Takes a call out of the queue, when its caller has gone.
    pub fn cancel(&mut self, target: &id::Target, attempt: id::Attempt) {
        if let Ok(index) = self.find(target) {
            let place = &mut self.places[index];
            place.queue.remove(attempt);
            place.suspects.retain(|call| call.attempt != attempt);
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
    /// `terms_of` returns the terms and when the tenure over the target began,
    /// or the reason if it is not to be given work.
    pub fn tick<'a>(
        &mut self,
        now: Millis,
        terms_of: impl Fn(&id::Target) -> Result<(Terms<'a>, Millis), Kind>,
    ) -> Vec<Wake> {
        let mut wakes = self.take_wakes();
        for place in &mut self.places {
            match terms_of(&place.target) {
                Ok((terms, since)) => {
                    place.renew(terms.pool, since, now);
                    let (woken, overruns) = place.wake(terms, now);
                    wakes.extend(woken);
                    self.overruns += overruns;
                }
                Err(kind) => wakes.extend(place.turn_away(kind, now)),
            }
        }
        let is_kept = |place: &Place| !place.is_unused() || terms_of(&place.target).is_ok();
        self.places.retain(is_kept);
        wakes
    }

    /// Returns the calls at and before a target, and its limit.
    ///
    /// A target that waits for the calls of a former owner counts as full.
    #[must_use]
    pub fn load(&self, target: &id::Target, terms: Terms<'_>, now: Millis) -> Option<(usize, u16)> {
        let index = self.find(target).ok()?;
        let place = &self.places[index];
        let limit = place.limit(terms, now);
        let sent = if place.is_waiting(terms, now) {
            usize::from(limit)
        } else {
            place.sent.len()
        };
        Some((sent + place.waiting(), limit))
    }

    /// Returns how often a send has raised a target above its limit; any is a
    /// fault of the program.
    #[must_use]
    pub fn overruns(&self) -> usize {
        self.overruns
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
        self.places.iter().map(Place::waiting).sum()
    }

    fn find(&self, target: &id::Target) -> Result<usize, usize> {
        self.places.binary_search_by(|one| one.target.cmp(target))
    }

    /// Finds the place of a target, as of the tenure that began at `since`.
    fn place(&mut self, target: &id::Target, pool: &Pool, since: Millis, now: Millis) -> usize {
        let index = self.find(target).unwrap_or_else(|index| {
            let place = Place::new(target.clone(), pool, since);
            self.places.insert(index, place);
            index
        });
        self.places[index].renew(pool, since, now);
        index
    }
}

impl Place {
    fn new(target: id::Target, pool: &Pool, since: Millis) -> Self {
        Self {
            target,
            warmth: Warmth::new(pool),
            held_at: since,
            full_until: since + pool.longest_call,
            sent: Vec::new(),
            queue: Queue::default(),
            suspects: Vec::new(),
        }
    }

    /// Notes that the right holds, in a tenure that began at `since`.
    ///
    /// Between two tenures another daemon may have sent the target calls, so
    /// what was known of it counts no more, but for the calls in flight.
    fn renew(&mut self, pool: &Pool, since: Millis, now: Millis) {
        if since > self.held_at {
            let fresh = Self::new(self.target.clone(), pool, since);
            let former = std::mem::replace(self, fresh);
            self.sent = former.sent;
            self.queue = former.queue;
            self.suspects = former.suspects;
        }
        self.held_at = self.held_at.max(now);
    }

    /// Returns how many calls the target may have at a time.
    fn limit(&self, terms: Terms<'_>, now: Millis) -> u16 {
        let oldest = self.sent.iter().map(|sent| sent.at).min();
        match terms.policy {
            Policy::Adaptive => self.warmth.limit(terms.pool, oldest, now),
            Policy::Baseline => terms.pool.warm_limit,
        }
    }

    /// Tells whether calls of a former owner may still be running.
    fn is_waiting(&self, terms: Terms<'_>, now: Millis) -> bool {
        terms.policy == Policy::Adaptive && now < self.full_until
    }

    fn has_room(&self, terms: Terms<'_>, now: Millis) -> bool {
        let limit = usize::from(self.limit(terms, now));
        let is_open = !self.is_waiting(terms, now) && self.sent.len() < limit;
        is_open && !self.has_sent(Isolation::Alone)
    }

    fn has_room_for(&self, call: &Call, terms: Terms<'_>, now: Millis) -> bool {
        if !self.has_room(terms, now) {
            return false;
        }
        match Isolation::of(call, terms) {
            Isolation::Alone => self.sent.is_empty(),
            Isolation::Apart => self.suspects.is_empty() && !self.has_sent(Isolation::Apart),
            Isolation::Open => !self.is_reserved(terms),
        }
    }

    fn has_sent(&self, isolation: Isolation) -> bool {
        self.sent.iter().any(|sent| sent.isolation == isolation)
    }

    /// Tells whether a call waits that must run alone.
    fn is_reserved(&self, terms: Terms<'_>) -> bool {
        let mut suspects = self.suspects.iter();
        suspects.any(|call| Isolation::of(call, terms) == Isolation::Alone)
    }

    fn waiting(&self) -> usize {
        self.queue.len() + self.suspects.len()
    }

    fn is_unused(&self) -> bool {
        self.sent.is_empty() && self.waiting() == 0
    }

    /// Lets a call wait until it can be kept apart from others.
    fn queue_apart(&mut self, call: &Call, terms: Terms<'_>, now: Millis) -> Start {
        if self.suspects.len() >= SUSPECTS_MAX {
            return Start::Refused(self.full(call, 1, terms, now));
        }
        self.suspects.push(call.clone());
        Start::Queued
    }

    /// Lets go of a call, and takes in what it has shown.
    ///
    /// A call whose reply went astray may run on, and so may one whose connection
    /// broke if the process lives; each keeps its place for as long as a call
    /// usually lasts at most.
    fn learn(&mut self, attempt: id::Attempt, sign: Sign, pool: &Pool, now: Millis) {
        let found = self.sent.iter().position(|sent| sent.attempt == attempt);
        // A call that has lost its place by time was sent that long ago.
        let oldest = now - pool.longest_call;
        let evidence = Evidence {
            sign,
            sent_at: found.map_or(oldest, |index| self.sent[index].at),
            in_flight: self
                .sent
                .len()
                .max(found.map_or(0, |index| self.sent[index].beside)),
        };
        self.warmth.note(evidence, pool, now);
        let may_run_still = match sign {
            Sign::Foreign | Sign::Broken => now + self.warmth.patience(),
            _ => now,
        };
        for sent in &mut self.sent {
            if sent.attempt == attempt {
                sent.ends_by = sent.ends_by.min(may_run_still);
                sent.isolation = Isolation::Open;
            }
        }
        self.sent.retain(|sent| sent.ends_by > now);
    }

    /// Takes a place, and tells whether the target is within its limit.
    fn send(&mut self, call: &Call, terms: Terms<'_>, now: Millis) -> bool {
        self.sent.push(Sent {
            attempt: call.attempt,
            at: now,
            ends_by: now + terms.pool.longest_call,
            beside: self.sent.len() + 1,
            isolation: Isolation::of(call, terms),
        });
        self.sent.len() <= usize::from(self.limit(terms, now))
    }

    /// Wakes calls, and returns with them how many sends were above the limit.
    fn wake(&mut self, terms: Terms<'_>, now: Millis) -> (Vec<Wake>, usize) {
        let mut wakes = Vec::new();
        let mut overruns = 0;
        self.sent.retain(|sent| sent.ends_by > now);
        wakes.extend(refused(self.hopeless(terms, now), Kind::TooLate));
        while let Some(call) = self.next(terms, now) {
            overruns += usize::from(!self.send(&call, terms, now));
            wakes.push(Wake {
                target: self.target.clone(),
                attempt: call.attempt,
                refusal: None,
            });
        }
        (wakes, overruns)
    }

    /// Takes the next call that may be sent now.
    ///
    /// While a call waits that must run alone the others wait for it, as it
    /// would never find the target free otherwise.
    fn next(&mut self, terms: Terms<'_>, now: Millis) -> Option<Call> {
        if !self.has_room(terms, now) {
            return None;
        }
        let is_alone = |call: &Call| Isolation::of(call, terms) == Isolation::Alone;
        if let Some(index) = self.suspects.iter().position(is_alone) {
            return self.sent.is_empty().then(|| self.suspects.remove(index));
        }
        if !self.suspects.is_empty() && !self.has_sent(Isolation::Apart) {
            return Some(self.suspects.remove(0));
        }
        match terms.policy {
            Policy::Adaptive => self.queue.pop(terms.order, now),
            Policy::Baseline => self.queue.pop_first(),
        }
    }

    /// Takes out the calls that can no longer be answered in time.
    ///
    /// While the target has nothing to do they are only given up when their
    /// time has passed, since the measured latency may be out of date.
    fn hopeless(&mut self, terms: Terms<'_>, now: Millis) -> Vec<Call> {
        let is_judged = terms.policy == Policy::Adaptive && !self.sent.is_empty();
        let latency = if is_judged {
            self.warmth.latency()
        } else {
            Millis::ZERO
        };
        let is_hopeless = |call: &Call| call.deadline <= now + latency;
        let mut calls = self.queue.take_where(is_hopeless);
        calls.extend(self.suspects.extract_if(.., |call| is_hopeless(call)));
        calls
    }

    /// Refuses a call that must wait and cannot be answered in time.
    fn judge(
        &self,
        call: &Call,
        weight: u16,
        terms: Terms<'_>,
        now: Millis,
    ) -> Result<(), Failure> {
        if call.deadline <= now {
            return Err(Kind::TooLate.into());
        }
        let is_waiting = self.is_waiting(terms, now);
        if terms.policy == Policy::Baseline || (self.sent.is_empty() && !is_waiting) {
            return Ok(());
        }
        let start = now + self.wait(call, weight, terms, now);
        if start + self.warmth.latency() < call.deadline {
            Ok(())
        } else {
            Err(self.full(call, weight, terms, now))
        }
    }

    /// Returns the refusal of a call that finds too much before it.
    fn full(&self, call: &Call, weight: u16, terms: Terms<'_>, now: Millis) -> Failure {
        let wait = self.wait(call, weight, terms, now);
        Failure::from(Kind::QueueFull).retry_after(wait)
    }

    /// Returns how long a new call would wait for its place.
    fn wait(&self, call: &Call, weight: u16, terms: Terms<'_>, now: Millis) -> Millis {
        let ahead = self.queue.ahead(&call.workspace, weight) + 1;
        let limit = u64::from(self.limit(terms, now)).max(1);
        let turns = Millis(self.warmth.latency().0 * ahead / limit);
        if self.is_waiting(terms, now) {
            turns + (self.full_until - now)
        } else {
            turns
        }
    }

    fn give_way(
        &mut self,
        call: &Call,
        weight: u16,
        terms: Terms<'_>,
        now: Millis,
    ) -> Option<Call> {
        match terms.policy {
            Policy::Adaptive => self.queue.give_way(call, weight, now),
            Policy::Baseline => None,
        }
    }

    /// Refuses what waits, since the target is not to be given work.
    fn turn_away(&mut self, kind: Kind, now: Millis) -> Vec<Wake> {
        self.sent.retain(|sent| sent.ends_by > now);
        let mut calls = self.queue.take_where(|_| true);
        calls.append(&mut self.suspects);
        refused(calls, kind)
    }
}

fn refused(calls: Vec<Call>, kind: Kind) -> Vec<Wake> {
    let refuse = |call: Call| Wake {
        target: call.target,
        attempt: call.attempt,
        refusal: Some(kind),
    };
    calls.into_iter().map(refuse).collect()
}
