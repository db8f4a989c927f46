//! The targets and keys that one node owns.

use super::Node;
use super::handover::inherited;
use crate::answer::Failure;
use crate::answer::Kind;
use crate::clock::Millis;
use crate::concurrency_limit::ReportedState;
use crate::concurrency_limit::TargetSignal;
use crate::derive::value;
use crate::fair_queue::Order;
use crate::id;
use crate::once::Claim;
use crate::once::End;
use crate::once::Key;
use crate::once::Verdict;
use crate::quarantine;
use crate::roster::Entry;
use crate::route;
use crate::settings::Fleet;
use crate::settings::Pool;
use crate::slot::Call;
use crate::slot::SlotDecision;
use crate::slot::SlotRules;
use crate::slot::Wake;
use crate::tenure::Right;
use crate::tenure::Thing;

value! {
    /// The leave to send one call.
    pub struct Grant {
        /// Where the call goes.
        pub target: Entry,
        /// The pool of the target.
        pub pool: Pool,
        /// When the leave ends; the sender checks it directly before it sends.
        pub valid_until: Millis,
    }
}

impl Node {
    // Targets

    /// Decides about a call to a target that this node owns.
    ///
    /// # Errors
    /// Returns the reason of the refusal; the call was not sent.
    pub fn start(&mut self, call: &Call, now: Millis) -> Result<SlotDecision, Failure> {
        // Without a request of its own, the call is a peer's, which would keep
        // the shutdown from ending.
        if self.is_closed() && self.room.total() == 0 && self.keys.running() == 0 {
            return Err(Kind::NoOwner.into());
        }
        let (entry, pool) = self.may_use(&call.target)?;
        let since = self.target_right(&entry.id, now)?.0;
        let suspect = quarantine::suspect_digest(call.digest, &pool.id);
        self.suspects.merge_crashes(suspect, call.crashes, now);
        let call = Call {
            crashes: self.suspects.crashes(&suspect, now),
            ..call.clone()
        };
        let slot_rules = self.slot_rules(&pool);
        let workspace = self.book.workspace(&call.workspace);
        let weight = workspace.map_or(1, |workspace| workspace.weight);
        let start = self.slots.acquire(&call, weight, slot_rules, since, now);
        self.check_limits();
        match start {
            SlotDecision::Refused(failure) => Err(failure),
            start => Ok(start),
        }
    }

    /// Gives the leave to send a call that [`Self::start`] or a wake granted.
    ///
    /// The right is checked again here, directly before the send. A call that
    /// may not be sent any more gives its place back.
    ///
    /// # Errors
    /// Returns the reason of the refusal; the call was not sent.
    pub fn grant(
        &mut self,
        target: &id::Target,
        attempt: id::Attempt,
        now: Millis,
    ) -> Result<Grant, Failure> {
        let is_checked = self.tenure.rules().check;
        let checked = self.may_use(target).and_then(|(entry, pool)| {
            let right = self.target_right(target, now);
            let until = if is_checked { right.clone()?.1 } else { now };
            let slot_rules = self.slot_rules(&pool);
            let since = right.map_or(Millis::ZERO, |right| right.0);
            if is_checked {
                self.slots
                    .confirm(target, attempt, slot_rules, since, now)?;
            }
            Ok(Grant {
                target: entry,
                pool,
                valid_until: until,
            })
        });
        if checked.is_err() {
            self.cancel(target, attempt);
        }
        checked
    }

    /// Notes that a target has let go of a call, and what the call showed.
    ///
    /// `digest` is the request's; a broken connection makes it a suspect.
    pub fn finish(
        &mut self,
        target: &id::Target,
        attempt: id::Attempt,
        signal: TargetSignal,
        digest: id::Digest,
        now: Millis,
    ) -> Vec<Wake> {
        if signal.reported_state() == Some(ReportedState::Leaving) {
            let revision = self.tenure.revision();
            self.loads.record_leaving(target, revision, now);
        }
        let Some(pool) = self.pool_of(target) else {
            self.slots.release(target, attempt);
            return Vec::new();
        };
        let suspect = quarantine::suspect_digest(digest, &pool.id);
        match signal {
            TargetSignal::Broken => self.suspects.record_crash(suspect, now),
            TargetSignal::Answered(_) => self.suspects.record_answer(suspect),
            _ => {}
        }
        let slot_rules = self.slot_rules(&pool);
        let wakes = self.slots.finish(target, attempt, signal, slot_rules, now);
        self.check_limits();
        wakes
    }

    /// Returns how many targets broke while they ran the request in the pool.
    #[must_use]
    pub fn crashes(&self, digest: id::Digest, pool: &id::Pool, now: Millis) -> u16 {
        self.suspects
            .crashes(&quarantine::suspect_digest(digest, pool), now)
    }

    /// Takes a call that was not sent out of the queue and off its place.
    pub fn cancel(&mut self, target: &id::Target, attempt: id::Attempt) {
        self.slots.cancel(target, attempt);
        self.slots.release(target, attempt);
    }

    /// Returns a target's calls in flight and waiting for each hundred places.
    #[must_use]
    pub fn load_percent(&self, target: &id::Target, now: Millis) -> Option<u32> {
        let (calls, limit) = self.places(target, now)?;
        let percent = calls * 100 / usize::from(limit).max(1);
        Some(u32::try_from(percent).unwrap_or(u32::MAX))
    }

    /// Returns a target's calls in flight and waiting, and its limit.
    #[must_use]
    pub fn places(&self, target: &id::Target, now: Millis) -> Option<(usize, u16)> {
        let pool = self.pool_of(target)?;
        self.slots.load(target, self.slot_rules(&pool), now)
    }

    /// Wakes calls that wait: those that may start, and those that waited too
    /// long or whose target is out.
    pub(super) fn wake(&mut self, now: Millis) -> Vec<Wake> {
        let Some(list) = self.tenure.list() else {
            return Vec::new();
        };
        self.loads.expire_leaving(list, now);
        let book = &self.book;
        let loads = &self.loads;
        let tenure = &self.tenure;
        let handovers = &self.handovers;
        let wakes = self.slots.tick(now, |id| {
            let entry = list.target(id).ok_or(Kind::NoTarget)?;
            let thing = Thing::Target(id.clone());
            let Right::Held { since, .. } = tenure.right(&thing, now) else {
                return Err(Kind::NoRight);
            };
            let since = inherited(tenure, handovers, &thing).map_or(since, |at| at.min(since));
            if route::exclusion(entry, book.fleet(), loads).is_some() {
                return Err(Kind::NoTarget);
            }
            let pool = book.pool(&entry.pool).ok_or(Kind::NoTarget)?;
            Ok((slot_rules(book.fleet(), pool), since))
        });
        self.check_limits();
        wakes
    }

    /// Takes the wakes of calls that had to give way to others.
    #[must_use]
    pub fn take_wakes(&mut self) -> Vec<Wake> {
        self.slots.take_wakes()
    }

    fn slot_rules<'a>(&self, pool: &'a Pool) -> SlotRules<'a> {
        slot_rules(self.book.fleet(), pool)
    }

    fn check_limits(&mut self) {
        let overruns = self.slots.overruns();
        self.assert(overruns == self.overruns, "target-over-limit");
        self.overruns = overruns;
    }

    fn may_use(&self, target: &id::Target) -> Result<(Entry, Pool), Failure> {
        let list = self.tenure.list().ok_or(Kind::NotReady)?;
        let entry = list.target(target).ok_or(Kind::NoTarget)?;
        if route::exclusion(entry, self.book.fleet(), &self.loads).is_some() {
            return Err(Kind::NoTarget.into());
        }
        let pool = self.book.pool(&entry.pool).ok_or(Kind::NoTarget)?;
        Ok((entry.clone(), pool.clone()))
    }

    pub(super) fn pool_of(&self, target: &id::Target) -> Option<Pool> {
        let entry = self.tenure.list()?.target(target)?;
        self.book.pool(&entry.pool).cloned()
    }

    /// Returns when the tenure over a target began, and when the right ends.
    fn target_right(&self, target: &id::Target, now: Millis) -> Result<(Millis, Millis), Failure> {
        let thing = Thing::Target(target.clone());
        let rules = self.tenure.rules();
        match self.tenure.right(&thing, now) {
            Right::Held { until, .. } if !rules.full => Ok((Millis::ZERO, until)),
            Right::Held { since, until } => Ok((self.known_since(&thing, since), until)),
            Right::Elsewhere(_) | Right::Nobody => Err(Kind::NoOwner.into()),
            Right::Resting(_) => Err(Kind::NoRight.into()),
        }
    }

    // Keys

    /// Decides about a request with a key that this node owns.
    ///
    /// # Errors
    /// Returns the reason of the refusal; nothing was run by this node.
    pub fn begin(
        &mut self,
        key: &Key,
        digest: id::Digest,
        is_first_attempt: bool,
        now: Millis,
    ) -> Result<Verdict, Failure> {
        if self.is_closed() {
            return Err(Kind::NoOwner.into());
        }
        let since = match self.tenure.right(&Thing::Key(key.hash()), now) {
            Right::Held { since, .. } => since,
            Right::Elsewhere(_) | Right::Nobody => return Err(Kind::NoOwner.into()),
            Right::Resting(_) => return Err(Kind::NoRight.into()),
        };
        let since = self.known_since(&Thing::Key(key.hash()), since);
        let trusts = self.book.workspace(&key.workspace);
        let trusts = trusts.is_some_and(|one| one.trusts_attempt_number);
        let claim = Claim {
            digest,
            since,
            is_first_attempt: is_first_attempt && trusts || !self.tenure.rules().vouch,
        };
        let horizon = self.book.fleet().horizon;
        Ok(self.keys.begin(key, &claim, horizon, now))
    }

    /// Tells whether the right to a key still holds, directly before its
    /// non-idempotent stage is sent.
    ///
    /// It must be the tenure in which the key was taken: another daemon may
    /// have owned the key in between.
    #[must_use]
    pub fn holds_key(&self, key: &Key, now: Millis) -> bool {
        let right = self.tenure.right(&Thing::Key(key.hash()), now);
        let is_held = match right {
            Right::Held { since, .. } => self.keys.is_running(key, since),
            Right::Elsewhere(_) | Right::Resting(_) | Right::Nobody => false,
        };
        is_held || !self.tenure.rules().check
    }

    /// Notes how the request that took a key has ended.
    pub fn end(&mut self, key: &Key, end: End, now: Millis) {
        self.keys.finish(key, end, now);
    }
}

fn slot_rules<'a>(fleet: &Fleet, pool: &'a Pool) -> SlotRules<'a> {
    SlotRules {
        pool,
        policy: fleet.policy,
        order: Order::EarliestDue,
    }
}
