//! The places of a target, as its owner counts them.
//!
//! The owner alone sends a target work, so the count is exact. A call keeps
//! its place until the target has answered or the longest call has passed,
//! also when the caller has given up, since the target may still be at work.

use crate::answer::Failure;
use crate::answer::Kind;
use crate::clock::Millis;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::concurrency_limit::Observation;
use crate::concurrency_limit::TargetSignal;
use crate::derive::scalar;
use crate::derive::value;
use crate::fair_queue::FairQueue;
use crate::fair_queue::Order;
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
    pub enum SlotDecision {
        /// It may be sent now.
        Granted,
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
pub struct SlotRules<'a> {
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
        Shared,
        /// It runs beside no other suspect, so that an answer clears it.
        NoOtherSuspect,
        /// It runs alone, so that a crash is its own.
        Exclusive,
    }
}

impl Isolation {
    fn of(call: &Call, rules: SlotRules<'_>) -> Self {
        match (rules.policy, call.crashes) {
            (Policy::Baseline, _) | (_, 0) => Self::Shared,
            (_, 1) => Self::NoOtherSuspect,
            _ => Self::Exclusive,
        }
    }
}

/// How many suspects may wait at a target until they can be kept apart.
const SUSPECTS_WAITING_MAX: usize = 4;

#[derive(Clone, Debug)]
struct InFlightCall {
    attempt: id::Attempt,
    sent_at: Millis,
    /// When the target must have let go of the call.
    ends_by: Millis,
    /// How many calls the target had when it was sent, with this one.
    in_flight_at_send: usize,
    /// Whether and how it is kept apart from other calls.
    isolation: Isolation,
}

#[derive(Clone, Debug)]
struct TargetSlots {
    target: id::Target,
    concurrency: ConcurrencyLimit,
    /// When the owner's right to the target was last found to hold.
    right_held_at: Millis,
    /// Until when calls of a former owner may be running, which fill it.
    former_calls_until: Millis,
    in_flight: Vec<InFlightCall>,
    queue: FairQueue,
    /// The calls that wait until they can be kept apart.
    suspects: Vec<Call>,
}

/// The places of all targets that a daemon owns.
#[derive(Clone, Debug, Default)]
pub struct SlotTable {
    targets: Vec<TargetSlots>,
    /// How often a send has raised a target above its limit.
    overruns: usize,
    /// The calls that had to give way, until the driver takes them.
    wakes: Vec<Wake>,
}

impl SlotTable {
    /// Asks for a place for the call of a workspace of the weight.
    ///
    /// `tenure_start` is when the owner's tenure over the target began: until the
    /// longest call has passed from then, calls of a former owner may run.
    pub fn acquire(
        &mut self,
        call: &Call,
        weight: u16,
        rules: SlotRules<'_>,
        tenure_start: Millis,
        now: Millis,
    ) -> SlotDecision {
        let index = self.slots_index(&call.target, rules.pool, tenure_start, now);
        let slots = &mut self.targets[index];
        slots.in_flight.retain(|sent| sent.ends_by > now);
        if slots.queue.is_empty() && slots.has_room_for(call, rules, now) {
            self.overruns += usize::from(!slots.add_in_flight(call, rules, now));
            return SlotDecision::Granted;
        }
        if let Err(failure) = slots.check_deadline(call, weight, rules, now) {
            return SlotDecision::Refused(failure);
        }
        if Isolation::of(call, rules) != Isolation::Shared {
            return slots.queue_isolated(call, rules, now);
        }
        if slots.queue.len() >= usize::from(rules.pool.queue_limit) {
            match slots.evict_for(call, weight, rules, now) {
                Some(evicted) => self.wakes.extend(refused(vec![evicted], Kind::QueueFull)),
                None => return SlotDecision::Refused(slots.queue_full(call, weight, rules, now)),
            }
        }
        slots.queue.push(call.clone(), weight);
        SlotDecision::Queued
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
        signal: TargetSignal,
        rules: SlotRules<'_>,
        now: Millis,
    ) -> Vec<Wake> {
        let Ok(index) = self.find(target) else {
            return Vec::new();
        };
        let slots = &mut self.targets[index];
        slots.complete(attempt, signal, rules.pool, now);
        let (wakes, overruns) = slots.wake(rules, now);
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
        rules: SlotRules<'_>,
        tenure_start: Millis,
        now: Millis,
    ) -> Result<(), Kind> {
        let index = self.slots_index(target, rules.pool, tenure_start, now);
        let slots = &mut self.targets[index];
        slots.in_flight.retain(|sent| sent.ends_by > now);
        let limit = usize::from(slots.limit(rules, now));
        let awaits_former_calls = slots.awaits_former_calls(rules, now);
        // A place counts under the tenure in which it was given.
        let found = slots.in_flight.iter_mut().find(|sent| {
            sent.attempt == attempt && sent.sent_at >= tenure_start && !awaits_former_calls
        });
        let sent = found.ok_or(Kind::NoRight)?;
        sent.sent_at = now;
        sent.ends_by = now + rules.pool.longest_call;
        if slots.in_flight.len() <= limit {
            return Ok(());
        }
        slots.in_flight.retain(|sent| sent.attempt != attempt);
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
        tenure_start: Millis,
        now: Millis,
    ) {
        let index = self.slots_index(target, pool, tenure_start, now);
        let slots = &mut self.targets[index];
        slots.former_calls_until = now;
        let sent = running.iter().map(|&(attempt, left)| InFlightCall {
            attempt,
            sent_at: now,
            ends_by: now + left,
            in_flight_at_send: 0,
            isolation: Isolation::Shared,
        });
        slots.in_flight.extend(sent);
    }

    /// Takes in a report that a target was cold at the moment.
    pub fn record_cold_report(
        &mut self,
        target: &id::Target,
        reported_at: Millis,
        pool: &Pool,
        now: Millis,
    ) {
        if let Ok(index) = self.find(target) {
            self.targets[index]
                .concurrency
                .record_cold_report(reported_at, pool, now);
        }
    }

    /// Takes a call out of the queue, when its caller has gone.
    pub fn cancel(&mut self, target: &id::Target, attempt: id::Attempt) {
        if let Ok(index) = self.find(target) {
            let slots = &mut self.targets[index];
            slots.queue.remove(attempt);
            slots.suspects.retain(|call| call.attempt != attempt);
        }
    }

    /// Gives a call's place back without judging the target.
    pub fn release(&mut self, target: &id::Target, attempt: id::Attempt) {
        if let Ok(index) = self.find(target) {
            let slots = &mut self.targets[index];
            slots.in_flight.retain(|sent| sent.attempt != attempt);
        }
    }

    /// Wakes what can start now and what has waited too long.
    ///
    /// `rules_of` returns the terms and when the tenure over the target began,
    /// or the reason if it is not to be given work.
    pub fn tick<'a>(
        &mut self,
        now: Millis,
        rules_of: impl Fn(&id::Target) -> Result<(SlotRules<'a>, Millis), Kind>,
    ) -> Vec<Wake> {
        let mut wakes = self.take_wakes();
        for slots in &mut self.targets {
            match rules_of(&slots.target) {
                Ok((rules, tenure_start)) => {
                    slots.renew(rules.pool, tenure_start, now);
                    let (woken, overruns) = slots.wake(rules, now);
                    wakes.extend(woken);
                    self.overruns += overruns;
                }
                Err(kind) => wakes.extend(slots.refuse_waiting(kind, now)),
            }
        }
        let is_kept = |slots: &TargetSlots| !slots.is_unused() || rules_of(&slots.target).is_ok();
        self.targets.retain(is_kept);
        wakes
    }

    /// Returns the calls at and before a target, and its limit.
    ///
    /// A target that waits for the calls of a former owner counts as full.
    #[must_use]
    pub fn load(
        &self,
        target: &id::Target,
        rules: SlotRules<'_>,
        now: Millis,
    ) -> Option<(usize, u16)> {
        let index = self.find(target).ok()?;
        let slots = &self.targets[index];
        let limit = slots.limit(rules, now);
        let sent = if slots.awaits_former_calls(rules, now) {
            usize::from(limit)
        } else {
            slots.in_flight.len()
        };
        Some((sent + slots.waiting(), limit))
    }

    /// Returns how often a send has raised a target above its limit; any is a
    /// fault of the program.
    #[must_use]
    pub fn overruns(&self) -> usize {
        self.overruns
    }

    /// Returns the targets that may have calls, of this owner or a former one.
    #[must_use]
    pub fn busy_targets(&self, now: Millis) -> Vec<id::Target> {
        let is_busy = |slots: &&TargetSlots| {
            now < slots.former_calls_until || slots.in_flight.iter().any(|sent| sent.ends_by > now)
        };
        let busy = self.targets.iter().filter(is_busy);
        busy.map(|slots| slots.target.clone()).collect()
    }

    /// Returns the calls in flight over all targets.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.targets.iter().map(|slots| slots.in_flight.len()).sum()
    }

    /// Returns the calls that wait over all targets.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.targets.iter().map(TargetSlots::waiting).sum()
    }

    fn find(&self, target: &id::Target) -> Result<usize, usize> {
        self.targets
            .binary_search_by(|slots| slots.target.cmp(target))
    }

    /// Finds the place of a target, as of the tenure that began at `tenure_start`.
    fn slots_index(
        &mut self,
        target: &id::Target,
        pool: &Pool,
        tenure_start: Millis,
        now: Millis,
    ) -> usize {
        let index = self.find(target).unwrap_or_else(|index| {
            let slots = TargetSlots::new(target.clone(), pool, tenure_start);
            self.targets.insert(index, slots);
            index
        });
        self.targets[index].renew(pool, tenure_start, now);
        index
    }
}

impl TargetSlots {
    fn new(target: id::Target, pool: &Pool, tenure_start: Millis) -> Self {
        Self {
            target,
            concurrency: ConcurrencyLimit::new(pool),
            right_held_at: tenure_start,
            former_calls_until: tenure_start + pool.longest_call,
            in_flight: Vec::new(),
            queue: FairQueue::default(),
            suspects: Vec::new(),
        }
    }

    /// Notes that the right holds, in a tenure that began at `tenure_start`.
    ///
    /// Between two tenures another daemon may have sent the target calls, so
    /// what was known of it counts no more, but for the calls in flight.
    fn renew(&mut self, pool: &Pool, tenure_start: Millis, now: Millis) {
        if tenure_start > self.right_held_at {
            let fresh = Self::new(self.target.clone(), pool, tenure_start);
            let former = std::mem::replace(self, fresh);
            self.in_flight = former.in_flight;
            self.queue = former.queue;
            self.suspects = former.suspects;
        }
        self.right_held_at = self.right_held_at.max(now);
    }

    /// Returns how many calls the target may have at a time.
    fn limit(&self, rules: SlotRules<'_>, now: Millis) -> u16 {
        let oldest_sent_at = self.in_flight.iter().map(|sent| sent.sent_at).min();
        match rules.policy {
            Policy::Adaptive => self.concurrency.limit(rules.pool, oldest_sent_at, now),
            Policy::Baseline => rules.pool.warm_limit,
        }
    }

    /// Tells whether calls of a former owner may still be running.
    fn awaits_former_calls(&self, rules: SlotRules<'_>, now: Millis) -> bool {
        rules.policy == Policy::Adaptive && now < self.former_calls_until
    }

    fn has_room(&self, rules: SlotRules<'_>, now: Millis) -> bool {
        let limit = usize::from(self.limit(rules, now));
        let is_open = !self.awaits_former_calls(rules, now) && self.in_flight.len() < limit;
        is_open && !self.has_in_flight(Isolation::Exclusive)
    }

    fn has_room_for(&self, call: &Call, rules: SlotRules<'_>, now: Millis) -> bool {
        if !self.has_room(rules, now) {
            return false;
        }
        match Isolation::of(call, rules) {
            Isolation::Exclusive => self.in_flight.is_empty(),
            Isolation::NoOtherSuspect => {
                self.suspects.is_empty() && !self.has_in_flight(Isolation::NoOtherSuspect)
            }
            Isolation::Shared => !self.has_exclusive_waiting(rules),
        }
    }

    fn has_in_flight(&self, isolation: Isolation) -> bool {
        self.in_flight
            .iter()
            .any(|sent| sent.isolation == isolation)
    }

    /// Tells whether a call waits that must run alone.
    fn has_exclusive_waiting(&self, rules: SlotRules<'_>) -> bool {
        let mut suspects = self.suspects.iter();
        suspects.any(|call| Isolation::of(call, rules) == Isolation::Exclusive)
    }

    fn waiting(&self) -> usize {
        self.queue.len() + self.suspects.len()
    }

    fn is_unused(&self) -> bool {
        self.in_flight.is_empty() && self.waiting() == 0
    }

    /// Lets a call wait until it can be kept apart from others.
    fn queue_isolated(&mut self, call: &Call, rules: SlotRules<'_>, now: Millis) -> SlotDecision {
        if self.suspects.len() >= SUSPECTS_WAITING_MAX {
            return SlotDecision::Refused(self.queue_full(call, 1, rules, now));
        }
        self.suspects.push(call.clone());
        SlotDecision::Queued
    }

    /// Lets go of a call, and takes in what it has shown.
    ///
    /// A call whose reply went astray may run on, and so may one whose connection
    /// broke if the process lives; each keeps its place for as long as a call
    /// usually lasts at most.
    fn complete(&mut self, attempt: id::Attempt, signal: TargetSignal, pool: &Pool, now: Millis) {
        let found = self
            .in_flight
            .iter()
            .position(|sent| sent.attempt == attempt);
        // A call that has lost its place by time was sent that long ago.
        let oldest_sent_at = now - pool.longest_call;
        let observation = Observation {
            signal,
            sent_at: found.map_or(oldest_sent_at, |index| self.in_flight[index].sent_at),
            in_flight: self
                .in_flight
                .len()
                .max(found.map_or(0, |index| self.in_flight[index].in_flight_at_send)),
        };
        self.concurrency.record(observation, pool, now);
        let may_run_until = match signal {
            TargetSignal::Foreign | TargetSignal::Broken => now + self.concurrency.silence_limit(),
            _ => now,
        };
        for sent in &mut self.in_flight {
            if sent.attempt == attempt {
                sent.ends_by = sent.ends_by.min(may_run_until);
                sent.isolation = Isolation::Shared;
            }
        }
        self.in_flight.retain(|sent| sent.ends_by > now);
    }

    /// Takes a place, and tells whether the target is within its limit.
    fn add_in_flight(&mut self, call: &Call, rules: SlotRules<'_>, now: Millis) -> bool {
        self.in_flight.push(InFlightCall {
            attempt: call.attempt,
            sent_at: now,
            ends_by: now + rules.pool.longest_call,
            in_flight_at_send: self.in_flight.len() + 1,
            isolation: Isolation::of(call, rules),
        });
        self.in_flight.len() <= usize::from(self.limit(rules, now))
    }

    /// Wakes calls, and returns with them how many sends were above the limit.
    fn wake(&mut self, rules: SlotRules<'_>, now: Millis) -> (Vec<Wake>, usize) {
        let mut wakes = Vec::new();
        let mut overruns = 0;
        self.in_flight.retain(|sent| sent.ends_by > now);
        wakes.extend(refused(self.remove_too_late(rules, now), Kind::TooLate));
        while let Some(call) = self.next_call(rules, now) {
            overruns += usize::from(!self.add_in_flight(&call, rules, now));
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
    fn next_call(&mut self, rules: SlotRules<'_>, now: Millis) -> Option<Call> {
        if !self.has_room(rules, now) {
            return None;
        }
        let is_exclusive = |call: &Call| Isolation::of(call, rules) == Isolation::Exclusive;
        if let Some(index) = self.suspects.iter().position(is_exclusive) {
            return self
                .in_flight
                .is_empty()
                .then(|| self.suspects.remove(index));
        }
        if !self.suspects.is_empty() && !self.has_in_flight(Isolation::NoOtherSuspect) {
            return Some(self.suspects.remove(0));
        }
        match rules.policy {
            Policy::Adaptive => self.queue.pop(rules.order, now),
            Policy::Baseline => self.queue.pop_oldest(),
        }
    }

    /// Takes out the calls that can no longer be answered in time.
    ///
    /// While the target has nothing to do they are only given up when their
    /// time has passed, since the measured latency may be out of date.
    fn remove_too_late(&mut self, rules: SlotRules<'_>, now: Millis) -> Vec<Call> {
        let is_checked = rules.policy == Policy::Adaptive && !self.in_flight.is_empty();
        let latency = if is_checked {
            self.concurrency.latency()
        } else {
            Millis::ZERO
        };
        let is_too_late = |call: &Call| call.deadline <= now + latency;
        let mut calls = self.queue.remove_where(is_too_late);
        calls.extend(self.suspects.extract_if(.., |call| is_too_late(call)));
        calls
    }

    /// Refuses a call that must wait and cannot be answered in time.
    fn check_deadline(
        &self,
        call: &Call,
        weight: u16,
        rules: SlotRules<'_>,
        now: Millis,
    ) -> Result<(), Failure> {
        if call.deadline <= now {
            return Err(Kind::TooLate.into());
        }
        let awaits_former_calls = self.awaits_former_calls(rules, now);
        if rules.policy == Policy::Baseline || (self.in_flight.is_empty() && !awaits_former_calls) {
            return Ok(());
        }
        let start = now + self.estimated_wait(call, weight, rules, now);
        if start + self.concurrency.latency() < call.deadline {
            Ok(())
        } else {
            Err(self.queue_full(call, weight, rules, now))
        }
    }

    /// Returns the refusal of a call that finds too much before it.
    fn queue_full(&self, call: &Call, weight: u16, rules: SlotRules<'_>, now: Millis) -> Failure {
        let wait = self.estimated_wait(call, weight, rules, now);
        Failure::from(Kind::QueueFull).with_retry_after(wait)
    }

    /// Returns how long a new call would wait for its place.
    fn estimated_wait(
        &self,
        call: &Call,
        weight: u16,
        rules: SlotRules<'_>,
        now: Millis,
    ) -> Millis {
        let ahead = self.queue.calls_ahead(&call.workspace, weight) + 1;
        let limit = u64::from(self.limit(rules, now)).max(1);
        let turns = Millis(self.concurrency.latency().0 * ahead / limit);
        if self.awaits_former_calls(rules, now) {
            turns + (self.former_calls_until - now)
        } else {
            turns
        }
    }

    fn evict_for(
        &mut self,
        call: &Call,
        weight: u16,
        rules: SlotRules<'_>,
        now: Millis,
    ) -> Option<Call> {
        match rules.policy {
            Policy::Adaptive => self.queue.evict_for(call, weight, now),
            Policy::Baseline => None,
        }
    }

    /// Refuses what waits, since the target is not to be given work.
    fn refuse_waiting(&mut self, kind: Kind, now: Millis) -> Vec<Wake> {
        self.in_flight.retain(|sent| sent.ends_by > now);
        let mut calls = self.queue.remove_where(|_| true);
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
