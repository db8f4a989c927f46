//! All decisions of one daemon, put together.
//!
//! A [`Node`] holds the state and has no input or output of its own. Whoever
//! drives it calls a method for what has happened, gives it the time, and does
//! what the answer says. The parts stand in files of their own:
//!
//! - `node/control.rs`: the platform and the peers;
//! - `node/request.rs`: a caller's request and its stages;
//! - `node/handover.rs`: what a leaver gives to the next owners;
//! - `node/owner.rs`: the targets and keys that this daemon owns;
//! - `node/explain.rs`: why a request would go where it goes, for operators.

use crate::admission::PoolThrottle;
use crate::admission::ShareLimiter;
use crate::answer::Kind;
use crate::clock::Millis;
use crate::cold_reports::ColdReports;
use crate::derive::value;
use crate::drain::Drain;
use crate::handover::ReceivedHandovers;
use crate::hash;
use crate::id;
use crate::idempotency;
use crate::lease::Leases;
use crate::lease::Rules;
use crate::lease::Timing;
use crate::quarantine::Suspects;
use crate::retry_policy::RetryBudget;
use crate::route::Loads;
use crate::route::PoolIndex;
use crate::settings::ActiveSettings;
use crate::settings::Fleet;
use crate::slot;

mod control;
mod explain;
mod handover;
mod owner;
mod request;

pub use control::Action;
pub use control::Missing;
pub use explain::Candidate;
pub use explain::ExplainRequest;
pub use explain::Explanation;
pub use explain::LeaseStatus;
pub use explain::Ownership;
pub use explain::StageCandidates;
pub use owner::SendPermit;
pub use request::AdmittedRequest;
pub use request::IncomingRequest;
pub use request::RetryDecision;
pub use request::TargetChoice;

value! {
    /// Who a node is.
    pub struct Identity {
        /// The id of this run of the daemon.
        pub instance: id::Instance,
        /// The failure domain it runs in.
        pub domain: id::Domain,
    }
}

/// The names of what the node checks while it runs, sorted.
pub const INVARIANTS: [&str; 3] = ["list-reverted", "settings-reverted", "target-over-limit"];

/// All decisions of one daemon.
#[derive(Clone, Debug)]
pub struct Node {
    me: Identity,
    random_state: u64,
    settings: ActiveSettings,
    leases: Leases,
    loads: Loads,
    index: PoolIndex,
    limiter: ShareLimiter,
    pressure: PoolThrottle,
    slots: slot::SlotTable,
    keys: idempotency::KeyStore,
    handovers: ReceivedHandovers,
    suspects: Suspects,
    budget: RetryBudget,
    drain: Drain,
    cold_reports: ColdReports,
    contact: control::Contact,
    violations: Vec<&'static str>,
    /// How many sends above a target's limit have been noted as violations.
    known_overruns: usize,
}

impl Node {
    /// Starts a node that knows nothing yet.
    ///
    /// `seed` is the source of every random choice, so that a run can be
    /// repeated.
    #[must_use]
    pub fn new(me: Identity, seed: u64, now: Millis) -> Self {
        let timing = timing(&Fleet::default());
        let leases = Leases::new(me.instance.clone(), timing, now);
        Self {
            me,
            random_state: seed,
            settings: ActiveSettings::default(),
            leases,
            loads: Loads::default(),
            index: PoolIndex::default(),
            limiter: ShareLimiter::default(),
            pressure: PoolThrottle::default(),
            slots: slot::SlotTable::default(),
            keys: idempotency::KeyStore::default(),
            handovers: ReceivedHandovers::default(),
            suspects: Suspects::default(),
            budget: RetryBudget::default(),
            drain: Drain::default(),
            cold_reports: ColdReports::default(),
            contact: control::Contact::new(now),
            violations: Vec::new(),
            known_overruns: 0,
        }
    }

    /// Takes rules of the rights out, for a test.
    #[doc(hidden)]
    pub fn set_rules(&mut self, rules: Rules) {
        self.leases.set_rules(rules);
    }

    /// Returns who the node is.
    #[must_use]
    pub fn identity(&self) -> &Identity {
        &self.me
    }

    /// Returns the settings that it holds.
    #[must_use]
    pub fn settings(&self) -> &ActiveSettings {
        &self.settings
    }

    /// Returns its view of the members and its rights.
    #[must_use]
    pub fn leases(&self) -> &Leases {
        &self.leases
    }

    /// Returns the places of the targets that it owns.
    #[must_use]
    pub fn slots(&self) -> &slot::SlotTable {
        &self.slots
    }

    /// Returns how many requests of callers are in progress.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.limiter.total()
    }

    /// Tells whether it can serve: it has settings and a list, and stays.
    ///
    /// # Errors
    /// Returns the kind with which a request is refused otherwise.
    pub fn ready(&self) -> Result<(), Kind> {
        if self.drain.has_begun() {
            return Err(Kind::ShuttingDown);
        }
        if self.leases.list().is_none() || self.settings.teams().is_empty() {
            return Err(Kind::NotReady);
        }
        Ok(())
    }

    /// Takes the invariant violations noted since the last call.
    #[must_use]
    pub fn take_violations(&mut self) -> Vec<&'static str> {
        std::mem::take(&mut self.violations)
    }

    /// Notes a violation when the condition does not hold.
    fn check_invariant(&mut self, holds: bool, name: &'static str) {
        debug_assert!(INVARIANTS.binary_search(&name).is_ok(), "{name}");
        if !holds {
            self.violations.push(name);
        }
    }

    fn next_random(&mut self) -> u64 {
        self.random_state = hash::mix(self.random_state, 1);
        self.random_state
    }
}

fn timing(fleet: &Fleet) -> Timing {
    Timing {
        freshness: fleet.freshness,
        dropped_memory: fleet.dropped_memory,
        horizon: fleet.horizon,
    }
}
