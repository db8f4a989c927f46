//! Decides which calls may run at a target, by the slots that its owner counts.
//!
//! Only the owner sends calls to a target, so its count is exact. A call keeps
//! its slot until the target has answered or the pool's longest call time has
//! passed, even if the caller has given up, because the target may still be
//! working on the call.

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
    /// A call that needs a slot at a target.
    pub struct Call {
        /// The target that is to run the call.
        pub target: id::Target,
        /// The id of the attempt.
        pub attempt: id::Attempt,
        /// The workspace on whose behalf the call is made.
        pub workspace: id::Workspace,
        /// From when on its answer is late.
        pub due: Millis,
        /// From when on its answer is useless; never earlier than `due`.
        pub deadline: Millis,
        /// The digest of the request's workspace and body.
        pub digest: id::Digest,
        /// How many targets crashed while running the request; a call with
        /// crashes is isolated from others.
        pub crashes: u16,
    }

    /// The decision about a call that needs a slot.
    pub enum SlotDecision {
        /// The call has a slot and may be sent now.
        Granted,
        /// The call waits for a slot.
        Queued,
        /// The call is refused; it was not run.
        Refused(Failure),
    }

    /// The decision about a call that was waiting for a slot.
    pub struct Wake {
        /// The target whose slot the call was waiting for.
        pub target: id::Target,
        /// The attempt of the call.
        pub attempt: id::Attempt,
        /// Why the call is refused; `None` if it has a slot and may be sent.
        pub refusal: Option<Kind>,
    }
}

/// The settings that govern the slots of a target.
#[derive(Clone, Copy, Debug)]
pub struct SlotRules<'a> {
    /// The pool of the target.
    pub pool: &'a Pool,
    /// The policy of the fleet.
    pub policy: Policy,
    /// Which waiting call of a workspace starts next.
    pub order: Order,
}

scalar! {
    /// With which other calls a call may run at its target.
    enum Isolation {
        /// With any other call.
        Shared,
        /// With no other suspect, so that an answer clears it.
        NoOtherSuspect,
        /// With no other call, so that a crash is certainly caused by it.
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

/// How many suspects may wait at a target until they can run isolated.
const SUSPECTS_WAITING_MAX: usize = 4;

#[derive(Clone, Debug)]
struct InFlightCall {
    attempt: id::Attempt,
    sent_at: Millis,
    /// By when the target has finished or dropped the call.
    ends_by: Millis,
    /// How many calls the target had right after this one was sent, including it.
    in_flight_at_send: usize,
    isolation: Isolation,
}

#[derive(Clone, Debug)]
struct TargetSlots {
    target: id::Target,
    concurrency: ConcurrencyLimit,
    /// When the owner's lease on the target was last confirmed.
    lease_held_at: Millis,
    /// Until when calls of a former owner may still run; until then the target
    /// counts as full.
    former_calls_until: Millis,
    in_flight: Vec<InFlightCall>,
    queue: FairQueue,
    /// The suspects that wait until they can run isolated.
    suspects: Vec<Call>,
}

/// The slots of all targets that a daemon owns.
#[derive(Clone, Debug, Default)]
pub struct SlotTable {
    targets: Vec<TargetSlots>,
    /// How many times a call took a target above its limit.
    overruns: usize,
    /// The refusals of evicted calls, until the driver collects them.
    wakes: Vec<Wake>,
}

impl SlotTable {
    /// Takes a slot for a call, or queues or refuses the call.
    ///
    /// `weight` is the weight of the call's workspace. `lease_start` is when the
    /// owner's lease on the target began: calls of a former owner may run
    /// until the pool's longest call time has passed since then.
    pub fn acquire(
        &mut self,
        call: &Call,
        weight: u16,
        rules: SlotRules<'_>,
        lease_start: Millis,
        now: Millis,
    ) -> SlotDecision {
        let index = self.slots_index(&call.target, rules.pool, lease_start, now);
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

    /// Returns and clears the refusals of calls that were evicted for others.
    #[must_use]
    pub fn take_wakes(&mut self) -> Vec<Wake> {
        std::mem::take(&mut self.wakes)
    }

    /// Records the end of a call at its target.
    ///
    /// `signal` is what the call showed about the target. Returns the waiting
    /// calls that may start now and those that are refused.
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

    /// Confirms a call's slot directly before the call is sent.
    ///
    /// The slot may have expired or exceed the limit by now, if the process was
    /// paused or the target turned cold since it was granted. If the slot is
    /// confirmed, its expiry is counted from now.
    ///
    /// # Errors
    /// Returns [`Kind::NoRight`] if the slot has expired or belongs to a former
    /// lease, or if calls of a former owner may still run. Returns
    /// [`Kind::QueueFull`] if the target is above its limit; the slot is then
    /// released.
    pub fn confirm(
        &mut self,
        target: &id::Target,
        attempt: id::Attempt,
        rules: SlotRules<'_>,
        lease_start: Millis,
        now: Millis,
    ) -> Result<(), Kind> {
        let index = self.slots_index(target, rules.pool, lease_start, now);
        let slots = &mut self.targets[index];
        slots.in_flight.retain(|sent| sent.ends_by > now);
        let limit = usize::from(slots.limit(rules, now));
        let awaits_former_calls = slots.awaits_former_calls(rules, now);
        // A slot is valid only under the lease under which it was granted.
        let found = slots.in_flight.iter_mut().find(|sent| {
            sent.attempt == attempt && sent.sent_at >= lease_start && !awaits_former_calls
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

    /// Ends a new owner's wait for the former owner's calls after a hand-over.
    ///
    /// `running` lists the former owner's calls that still run at the target,
    /// each with the longest time it may still take.
    pub fn take_over(
        &mut self,
        target: &id::Target,
        running: &[(id::Attempt, Millis)],
        pool: &Pool,
        lease_start: Millis,
        now: Millis,
    ) {
        let index = self.slots_index(target, pool, lease_start, now);
        let slots = &mut self.targets[index];
        slots.former_calls_until = now;
        let sent = running.iter().map(|&(attempt, remaining)| InFlightCall {
            attempt,
            sent_at: now,
            ends_by: now + remaining,
            in_flight_at_send: 0,
            isolation: Isolation::Shared,
        });
        slots.in_flight.extend(sent);
    }

    /// Applies a platform report that a target was cold at `reported_at`.
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

    /// Removes a call from the queue, when its caller no longer waits for it.
    pub fn cancel(&mut self, target: &id::Target, attempt: id::Attempt) {
        if let Ok(index) = self.find(target) {
            let slots = &mut self.targets[index];
            slots.queue.remove(attempt);
            slots.suspects.retain(|call| call.attempt != attempt);
        }
    }

    /// Frees a call's slot without drawing a conclusion about the target.
    pub fn release(&mut self, target: &id::Target, attempt: id::Attempt) {
        if let Ok(index) = self.find(target) {
            let slots = &mut self.targets[index];
            slots.in_flight.retain(|sent| sent.attempt != attempt);
        }
    }

    /// Returns the waiting calls that may start now and those that are refused.
    ///
    /// `rules_of` returns a target's rules and when the lease on it began, or
    /// why it may not be given work, in which case its waiting calls are refused.
    pub fn tick<'a>(
        &mut self,
        now: Millis,
        rules_of: impl Fn(&id::Target) -> Result<(SlotRules<'a>, Millis), Kind>,
    ) -> Vec<Wake> {
        let mut wakes = self.take_wakes();
        for slots in &mut self.targets {
            match rules_of(&slots.target) {
                Ok((rules, lease_start)) => {
                    slots.renew(rules.pool, lease_start, now);
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

    /// Returns the number of calls in flight and waiting, and the limit.
    ///
    /// While calls of a former owner may run, the target counts as full.
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

    /// Returns how many times a call took a target above its limit. Anything
    /// but zero is a bug.
    #[must_use]
    pub fn overruns(&self) -> usize {
        self.overruns
    }

    /// Returns the targets that may be running calls of this owner or of a
    /// former one.
    #[must_use]
    pub fn busy_targets(&self, now: Millis) -> Vec<id::Target> {
        let is_busy = |slots: &&TargetSlots| {
            now < slots.former_calls_until || slots.in_flight.iter().any(|sent| sent.ends_by > now)
        };
        let busy = self.targets.iter().filter(is_busy);
        busy.map(|slots| slots.target.clone()).collect()
    }

    /// Returns the number of calls in flight over all targets.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.targets.iter().map(|slots| slots.in_flight.len()).sum()
    }

    /// Returns the number of waiting calls over all targets.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.targets.iter().map(TargetSlots::waiting).sum()
    }

    fn find(&self, target: &id::Target) -> Result<usize, usize> {
        self.targets
            .binary_search_by(|slots| slots.target.cmp(target))
    }

    /// Returns the index of a target's slots, added or renewed for the lease
    /// that began at `lease_start`.
    fn slots_index(
        &mut self,
        target: &id::Target,
        pool: &Pool,
        lease_start: Millis,
        now: Millis,
    ) -> usize {
        let index = self.find(target).unwrap_or_else(|index| {
            let slots = TargetSlots::new(target.clone(), pool, lease_start);
            self.targets.insert(index, slots);
            index
        });
        self.targets[index].renew(pool, lease_start, now);
        index
    }
}

impl TargetSlots {
    fn new(target: id::Target, pool: &Pool, lease_start: Millis) -> Self {
        Self {
            target,
            concurrency: ConcurrencyLimit::new(pool),
            lease_held_at: lease_start,
            former_calls_until: lease_start + pool.longest_call,
            in_flight: Vec::new(),
            queue: FairQueue::default(),
            suspects: Vec::new(),
        }
    }

    /// Records that the lease on the target, which began at `lease_start`, is
    /// held.
    ///
    /// Between two leases another daemon may have sent calls to the target, so
    /// a new lease resets the concurrency limit. The calls in flight and the
    /// waiting calls are kept.
    fn renew(&mut self, pool: &Pool, lease_start: Millis, now: Millis) {
        if lease_start > self.lease_held_at {
            let fresh = Self::new(self.target.clone(), pool, lease_start);
            let former = std::mem::replace(self, fresh);
            self.in_flight = former.in_flight;
            self.queue = former.queue;
            self.suspects = former.suspects;
        }
        self.lease_held_at = self.lease_held_at.max(now);
    }

    /// Returns how many calls may be in flight at the target.
    fn limit(&self, rules: SlotRules<'_>, now: Millis) -> u16 {
        let oldest_sent_at = self.in_flight.iter().map(|sent| sent.sent_at).min();
        match rules.policy {
            Policy::Adaptive => self.concurrency.limit(rules.pool, oldest_sent_at, now),
            Policy::Baseline => rules.pool.warm_limit,
        }
    }

    /// Returns whether calls of a former owner may still be running.
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

    /// Returns whether a call is waiting that must run alone.
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

    /// Queues a suspect until it can run isolated.
    fn queue_isolated(&mut self, call: &Call, rules: SlotRules<'_>, now: Millis) -> SlotDecision {
        if self.suspects.len() >= SUSPECTS_WAITING_MAX {
            return SlotDecision::Refused(self.queue_full(call, 1, rules, now));
        }
        self.suspects.push(call.clone());
        SlotDecision::Queued
    }

    /// Ends a call and updates the concurrency limit by what it showed.
    ///
    /// A call may still be running if the reply belonged to another call, or if
    /// its connection broke but the target's process lives. Such a call keeps its
    /// slot for up to [`ConcurrencyLimit::silence_limit`].
    fn complete(&mut self, attempt: id::Attempt, signal: TargetSignal, pool: &Pool, now: Millis) {
        let found = self
            .in_flight
            .iter()
            .position(|sent| sent.attempt == attempt);
        // A call whose slot has expired was sent at least that long ago.
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

    /// Takes a slot and returns whether the target is within its limit.
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

    /// Returns the waiting calls that may start or are too late, and how many of
    /// the started ones exceed the limit.
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

    /// Removes and returns the next waiting call that may be sent now.
    ///
    /// While a call that must run alone is waiting, no other call starts;
    /// otherwise it might never find the target idle.
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

    /// Removes and returns the waiting calls that would miss their deadline.
    ///
    /// While the target is idle, a call is removed only once its deadline has
    /// passed, because the measured latency may be out of date.
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

    /// Refuses a call that would wait too long to meet its deadline.
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

    /// Returns a [`Kind::QueueFull`] failure with the estimated wait as the time
    /// to retry after.
    fn queue_full(&self, call: &Call, weight: u16, rules: SlotRules<'_>, now: Millis) -> Failure {
        let wait = self.estimated_wait(call, weight, rules, now);
        Failure::from(Kind::QueueFull).with_retry_after(wait)
    }

    /// Estimates how long a new call would wait for a slot.
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

    /// Refuses all waiting calls, when the target may not be given work.
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
