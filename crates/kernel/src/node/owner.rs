//! Calls to the targets and requests with the keys that one node owns.

use super::Node;
use super::handover::predecessor_known_since;
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
    /// The permission to send one call.
    pub struct SendPermit {
        /// The target to call.
        pub target: ListedTarget,
        /// The pool of the target.
        pub pool: Pool,
        /// When the permission expires; the sender checks it directly before it
        /// sends.
        pub valid_until: Millis,
    }
}

impl Node {
    // Targets

    /// Decides about a call to a target that this node owns.
    ///
    /// # Errors
    /// Returns why it is refused; the call was not sent.
    pub fn start_call(&mut self, call: &Call, now: Millis) -> Result<SlotDecision, Failure> {
        // If no request of this node is in progress, the call comes from a
        // peer and would keep the shutdown from completing.
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
        let decision = self.slots.acquire(&call, weight, slot_rules, since, now);
        self.check_limits();
        match decision {
            SlotDecision::Refused(failure) => Err(failure),
            decision => Ok(decision),
        }
    }

    /// Permits sending a call that [`Self::start_call`] or a wake has granted.
    ///
    /// The lease is checked again here, directly before the send. A call that
    /// may no longer be sent releases its slot.
    ///
    /// # Errors
    /// Returns why it is refused; the call was not sent.
    pub fn permit_send(
        &mut self,
        target: &id::Target,
        attempt: id::Attempt,
        now: Millis,
    ) -> Result<SendPermit, Failure> {
        let needs_recheck = self.leases.rules().rechecks_before_send;
        let permit = self.usable_target(target).and_then(|(entry, pool)| {
            let lease = self.target_lease(target, now);
            let until = if needs_recheck { lease.clone()?.1 } else { now };
            let slot_rules = self.slot_rules(&pool);
            let since = lease.map_or(Millis::ZERO, |lease| lease.0);
            if needs_recheck {
                self.slots
                    .confirm(target, attempt, slot_rules, since, now)?;
            }
            Ok(SendPermit {
                target: entry,
                pool,
                valid_until: until,
            })
        });
        if permit.is_err() {
            self.cancel_call(target, attempt);
        }
        permit
    }

    /// Records that a call at a target has ended, and what its outcome shows.
    ///
    /// `digest` identifies the request; a broken connection makes it a suspect
    /// of crashing targets.
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

    /// Returns how many targets crashed while they ran the request in the pool.
    #[must_use]
    pub fn crashes(&self, digest: id::Digest, pool: &id::Pool, now: Millis) -> u16 {
        self.suspects
            .crashes(&quarantine::suspect_digest(digest, pool), now)
    }

    /// Removes a call that was not sent from the queue and releases its slot.
    pub fn cancel_call(&mut self, target: &id::Target, attempt: id::Attempt) {
        self.slots.cancel(target, attempt);
        self.slots.release(target, attempt);
    }

    /// Returns a target's load: its calls in flight and queued, per hundred slots.
    #[must_use]
    pub fn load_percent(&self, target: &id::Target, now: Millis) -> Option<u32> {
        let (calls, limit) = self.in_flight_and_limit(target, now)?;
        let percent = calls * 100 / usize::from(limit).max(1);
        Some(u32::try_from(percent).unwrap_or(u32::MAX))
    }

    /// Returns the number of a target's calls in flight and queued, and its limit.
    #[must_use]
    pub fn in_flight_and_limit(&self, target: &id::Target, now: Millis) -> Option<(usize, u16)> {
        let pool = self.pool_of(target)?;
        self.slots.load(target, self.slot_rules(&pool), now)
    }

    /// Wakes queued calls: those that may start, those whose wait has timed out,
    /// and those whose target takes no new work.
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
            let since = predecessor_known_since(leases, handovers, &resource)
                .map_or(since, |at| at.min(since));
            if route::exclusion(entry, settings.fleet(), loads).is_some() {
                return Err(Kind::NoTarget);
            }
            let pool = settings.pool(&entry.pool).ok_or(Kind::NoTarget)?;
            Ok((slot_rules(settings.fleet(), pool), since))
        });
        self.check_limits();
        wakes
    }

    /// Returns and clears the wakes of calls that were displaced from the queue.
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

    /// Returns since when every call to a target is known, and when the lease
    /// expires.
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
    /// Returns why it is refused; nothing was run by this node.
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
        let workspace = self.settings.workspace(&key.workspace);
        let is_trusted = workspace.is_some_and(|workspace| workspace.trusts_attempt_number);
        let request = KeyRequest {
            digest,
            known_since: since,
            is_first_attempt: is_first_attempt && is_trusted
                || !self.leases.rules().refuses_unknown_keys,
        };
        let horizon = self.settings.fleet().horizon;
        Ok(self.keys.begin(key, &request, horizon, now))
    }

    /// Returns whether the lease on a key is still held, directly before its
    /// non-idempotent stage is sent.
    ///
    /// It must be the lease under which the request began, because another
    /// daemon may have owned the key in between.
    #[must_use]
    pub fn holds_key(&self, key: &Key, now: Millis) -> bool {
        let lease = self.leases.lease_state(&Resource::Key(key.hash()), now);
        let is_held = match lease {
            LeaseState::Held { since, .. } => self.keys.is_running(key, since),
            LeaseState::OwnedBy(_) | LeaseState::Unusable(_) | LeaseState::Unowned => false,
        };
        is_held || !self.leases.rules().rechecks_before_send
    }

    /// Records how the request that ran with a key has ended.
    pub fn finish_key(&mut self, key: &Key, completion: Completion, now: Millis) {
        self.keys.finish(key, completion, now);
    }
}

fn slot_rules<'a>(fleet: &Fleet, pool: &'a Pool) -> SlotRules<'a> {
    SlotRules {
        pool,
        policy: fleet.policy,
        order: Order::EarliestDue,
    }
}
