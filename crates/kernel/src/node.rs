//! The state machine of one daemon, which combines all decisions.
//!
//! A [`Node`] holds the state and does no I/O. Its driver calls a method for each
//! event, passes the current time, and carries out what the method returns. The
//! submodules are:
//!
//! - `node/control.rs`: updates from the platform and from peers;
//! - `node/request.rs`: admission, routing and retries of client requests;
//! - `node/handover.rs`: the hand-over to the next owners at a shutdown;
//! - `node/owner.rs`: calls to owned targets and requests with owned keys;
//! - `node/explain.rs`: where a request would go now and why, for operators.

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
    /// The identity of a node.
    pub struct Identity {
        /// The id of this run of the daemon.
        pub instance: id::Instance,
        /// The failure domain it runs in.
        pub domain: id::Domain,
    }
}

/// The names of the invariants that the node checks at run time, sorted.
pub const INVARIANTS: [&str; 3] = ["list-reverted", "settings-reverted", "target-over-limit"];

/// The state machine of one daemon.
#[derive(Clone, Debug)]
pub struct Node {
    me: Identity,
    random_state: u64,
    settings: ActiveSettings,
    leases: Leases,
    loads: Loads,
    index: PoolIndex,
    limiter: ShareLimiter,
    throttle: PoolThrottle,
    slots: slot::SlotTable,
    keys: idempotency::KeyStore,
    handovers: ReceivedHandovers,
    suspects: Suspects,
    retry_budget: RetryBudget,
    drain: Drain,
    cold_reports: ColdReports,
    control_state: control::ControlState,
    violations: Vec<&'static str>,
    /// How many sends above a target's limit were already reported as violations.
    known_overruns: usize,
}

impl Node {
    /// Creates a node without a list and without settings.
    ///
    /// All random choices derive from `seed`, so that a run can be repeated.
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
            throttle: PoolThrottle::default(),
            slots: slot::SlotTable::default(),
            keys: idempotency::KeyStore::default(),
            handovers: ReceivedHandovers::default(),
            suspects: Suspects::default(),
            retry_budget: RetryBudget::default(),
            drain: Drain::default(),
            cold_reports: ColdReports::default(),
            control_state: control::ControlState::new(now),
            violations: Vec::new(),
            known_overruns: 0,
        }
    }

    /// Replaces the lease rules, for a test.
    #[doc(hidden)]
    pub fn set_rules(&mut self, rules: Rules) {
        self.leases.set_rules(rules);
    }

    /// Returns the identity of the node.
    #[must_use]
    pub fn identity(&self) -> &Identity {
        &self.me
    }

    /// Returns the settings in force.
    #[must_use]
    pub fn settings(&self) -> &ActiveSettings {
        &self.settings
    }

    /// Returns its leases and the members that it knows.
    #[must_use]
    pub fn leases(&self) -> &Leases {
        &self.leases
    }

    /// Returns the concurrency slots of the targets that it owns.
    #[must_use]
    pub fn slots(&self) -> &slot::SlotTable {
        &self.slots
    }

    /// Returns the number of client requests in progress.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.limiter.total()
    }

    /// Checks that it can serve: it has settings and a list and is not shutting
    /// down.
    ///
    /// # Errors
    /// Returns the error kind with which requests are refused otherwise.
    pub fn ready(&self) -> Result<(), Kind> {
        if self.drain.has_begun() {
            return Err(Kind::ShuttingDown);
        }
        if self.leases.list().is_none() || self.settings.teams().is_empty() {
            return Err(Kind::NotReady);
        }
        Ok(())
    }

    /// Returns and clears the invariant violations since the last call.
    #[must_use]
    pub fn take_violations(&mut self) -> Vec<&'static str> {
        std::mem::take(&mut self.violations)
    }

    /// Records a violation of the named invariant unless `holds`.
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
