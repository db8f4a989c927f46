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
use crate::idempotency::Completion;
use crate::idempotency::Decision;
use crate::idempotency::Key;
use crate::idempotency::KeyRequest;
use crate::lease::LeaseState;
use crate::lease::Resource;
use crate::published_list::ListedTarget;
use crate::quarantine;
use crate::route;
use crate::settings::Fleet;
use crate::settings::Pool;
use crate::slot::Call;
use crate::slot::SlotDecision;
use crate::slot::SlotRules;
use crate::slot::Wake;

value! {
    /// The leave to send one call.
    pub struct SendPermit {
        /// Where the call goes.
        pub target: ListedTarget,
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
    pub fn start_call(&mut self, call: &Call, now: Millis) -> Result<SlotDecision, Failure> {
        // Without a request of its own, the call is a peer's, which would keep
        // the shutdown from ending.
        if self.is_closed() && self.limiter.total() == 0 && self.keys.running_count() == 0 {
            return Err(Kind::NoOwner.into());
        }
        let (entry, pool) = self.usable_target(&call.target)?;
        let since = self.target_lease(&entry.id, now)?.0;
        let suspect = quarantine::suspect_digest(call.digest, &pool.id);
        self.suspects.merge_crashes(suspect, call.crashes, now);
        let call = Call {
            crashes: self.suspects.crashes(&suspect, now),
            ..call.clone()
        };
        let slot_rules = self.slot_rules(&pool);
        let workspace = self.settings.workspace(&call.workspace);
        let weight = workspace.map_or(1, |workspace| workspace.weight);
        let start = self.slots.acquire(&call, weight, slot_rules, since, now);
        self.check_limits();
        match start {
            SlotDecision::Refused(failure) => Err(failure),
            start => Ok(start),
        }
    }

    /// Gives the leave to send a call that [`Self::start_call`] or a wake granted.
    ///
    /// The right is checked again here, directly before the send. A call that
    /// may not be sent any more gives its place back.
    ///
    /// # Errors
    /// Returns the reason of the refusal; the call was not sent.
    pub fn permit_send(
        &mut self,
        target: &id::Target,
        attempt: id::Attempt,
        now: Millis,
    ) -> Result<SendPermit, Failure> {
        let is_checked = self.leases.rules().rechecks_before_send;
        let checked = self.usable_target(target).and_then(|(entry, pool)| {
            let lease = self.target_lease(target, now);
            let until = if is_checked { lease.clone()?.1 } else { now };
            let slot_rules = self.slot_rules(&pool);
            let since = lease.map_or(Millis::ZERO, |lease| lease.0);
            if is_checked {
                self.slots
                    .confirm(target, attempt, slot_rules, since, now)?;
            }
            Ok(SendPermit {
                target: entry,
                pool,
                valid_until: until,
            })
        });
        if checked.is_err() {
            self.cancel_call(target, attempt);
        }
        checked
    }

    /// Notes that a target has let go of a call, and what the call showed.
    ///
    /// `digest` is the request's; a broken connection makes it a suspect.
    pub fn finish_call(
        &mut self,
        target: &id::Target,
        attempt: id::Attempt,
        signal: TargetSignal,
        digest: id::Digest,
        now: Millis,
    ) -> Vec<Wake> {
        if signal.reported_state() == Some(ReportedState::Leaving) {
            let revision = self.leases.revision();
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
    pub fn cancel_call(&mut self, target: &id::Target, attempt: id::Attempt) {
        self.slots.cancel(target, attempt);
        self.slots.release(target, attempt);
    }

    /// Returns a target's calls in flight and waiting for each hundred places.
    #[must_use]
    pub fn load_percent(&self, target: &id::Target, now: Millis) -> Option<u32> {
        let (calls, limit) = self.in_flight_and_limit(target, now)?;
        let percent = calls * 100 / usize::from(limit).max(1);
        Some(u32::try_from(percent).unwrap_or(u32::MAX))
    }

    /// Returns a target's calls in flight and waiting, and its limit.
    #[must_use]
    pub fn in_flight_and_limit(&self, target: &id::Target, now: Millis) -> Option<(usize, u16)> {
        let pool = self.pool_of(target)?;
        self.slots.load(target, self.slot_rules(&pool), now)
    }

    /// Wakes calls that wait: those that may start, and those that waited too
    /// long or whose target is out.
    pub(super) fn wake(&mut self, now: Millis) -> Vec<Wake> {
        let Some(list) = self.leases.list() else {
            return Vec::new();
        };
        self.loads.expire_leaving(list, now);
        let settings = &self.settings;
        let loads = &self.loads;
        let leases = &self.leases;
        let handovers = &self.handovers;
        let wakes = self.slots.tick(now, |id| {
            let entry = list.target(id).ok_or(Kind::NoTarget)?;
            let resource = Resource::Target(id.clone());
            let LeaseState::Held { since, .. } = leases.lease_state(&resource, now) else {
                return Err(Kind::NoRight);
            };
            let since = inherited(leases, handovers, &resource).map_or(since, |at| at.min(since));
            if route::exclusion(entry, settings.fleet(), loads).is_some() {
                return Err(Kind::NoTarget);
            }
            let pool = settings.pool(&entry.pool).ok_or(Kind::NoTarget)?;
            Ok((slot_rules(settings.fleet(), pool), since))
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
        slot_rules(self.settings.fleet(), pool)
    }

    fn check_limits(&mut self) {
        let overruns = self.slots.overruns();
        self.check_invariant(overruns == self.known_overruns, "target-over-limit");
        self.known_overruns = overruns;
    }

    fn usable_target(&self, target: &id::Target) -> Result<(ListedTarget, Pool), Failure> {
        let list = self.leases.list().ok_or(Kind::NotReady)?;
        let entry = list.target(target).ok_or(Kind::NoTarget)?;
        if route::exclusion(entry, self.settings.fleet(), &self.loads).is_some() {
            return Err(Kind::NoTarget.into());
        }
        let pool = self.settings.pool(&entry.pool).ok_or(Kind::NoTarget)?;
        Ok((entry.clone(), pool.clone()))
    }

    pub(super) fn pool_of(&self, target: &id::Target) -> Option<Pool> {
        let entry = self.leases.list()?.target(target)?;
        self.settings.pool(&entry.pool).cloned()
    }

    /// Returns when the tenure over a target began, and when the right ends.
    fn target_lease(&self, target: &id::Target, now: Millis) -> Result<(Millis, Millis), Failure> {
        let resource = Resource::Target(target.clone());
        let rules = self.leases.rules();
        match self.leases.lease_state(&resource, now) {
            LeaseState::Held { until, .. } if !rules.assumes_target_full => {
                Ok((Millis::ZERO, until))
            }
            LeaseState::Held { since, until } => Ok((self.known_since(&resource, since), until)),
            LeaseState::OwnedBy(_) | LeaseState::Unowned => Err(Kind::NoOwner.into()),
            LeaseState::Unusable(_) => Err(Kind::NoRight.into()),
        }
    }

    // Keys

    /// Decides about a request with a key that this node owns.
    ///
    /// # Errors
    /// Returns the reason of the refusal; nothing was run by this node.
    pub fn begin_key(
        &mut self,
        key: &Key,
        digest: id::Digest,
        is_first_attempt: bool,
        now: Millis,
    ) -> Result<Decision, Failure> {
        if self.is_closed() {
            return Err(Kind::NoOwner.into());
        }
        let since = match self.leases.lease_state(&Resource::Key(key.hash()), now) {
            LeaseState::Held { since, .. } => since,
            LeaseState::OwnedBy(_) | LeaseState::Unowned => return Err(Kind::NoOwner.into()),
            LeaseState::Unusable(_) => return Err(Kind::NoRight.into()),
        };
        let since = self.known_since(&Resource::Key(key.hash()), since);
        let trusts = self.settings.workspace(&key.workspace);
        let trusts = trusts.is_some_and(|one| one.trusts_attempt_number);
        let request = KeyRequest {
            digest,
            lease_since: since,
            is_first_attempt: is_first_attempt && trusts
                || !self.leases.rules().refuses_unknown_keys,
        };
        let horizon = self.settings.fleet().horizon;
        Ok(self.keys.begin(key, &request, horizon, now))
    }

    /// Tells whether the right to a key still holds, directly before its
    /// non-idempotent stage is sent.
    ///
    /// It must be the tenure in which the key was taken: another daemon may
    /// have owned the key in between.
    #[must_use]
    pub fn holds_key(&self, key: &Key, now: Millis) -> bool {
        let lease = self.leases.lease_state(&Resource::Key(key.hash()), now);
        let is_held = match lease {
            LeaseState::Held { since, .. } => self.keys.is_running(key, since),
            LeaseState::OwnedBy(_) | LeaseState::Unusable(_) | LeaseState::Unowned => false,
        };
        is_held || !self.leases.rules().rechecks_before_send
    }

    /// Notes how the request that took a key has ended.
    pub fn finish_key(&mut self, key: &Key, end: Completion, now: Millis) {
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
