//! All decisions of one daemon, put together.
//!
//! A [`Node`] holds the state and has no input or output of its own. Whoever
//! drives it calls a method for what has happened, gives it the time, and does
//! what the answer says. The parts stand in files of their own:
//!
//! - `node_control.rs`: the platform and the peers;
//! - `node_entry.rs`: a caller's request and its stages;
//! - `node_handover.rs`: what a leaver gives to the next owners;
//! - `node_owner.rs`: the targets and keys that this daemon owns;
//! - `node_explain.rs`: why a request would go where it goes, for operators.

use crate::admission::PoolThrottle;
use crate::admission::ShareLimiter;
use crate::answer::Kind;
use crate::clock::Millis;
use crate::cold_reports::ColdReports;
use crate::derive::value;
use crate::drain::Drain;
use crate::handover::Handovers;
use crate::hash;
use crate::id;
use crate::once;
use crate::quarantine::Suspects;
use crate::retry_policy::RetryBudget;
use crate::route::Loads;
use crate::route::PoolIndex;
use crate::settings::ActiveSettings;
use crate::settings::Fleet;
use crate::slot;
use crate::tenure::Rules;
use crate::tenure::Tenure;
use crate::tenure::Timing;

#[path = "node_control.rs"]
mod control;
#[path = "node_entry.rs"]
mod entry;
#[path = "node_explain.rs"]
mod explain;
#[path = "node_handover.rs"]
mod handover;
#[path = "node_owner.rs"]
mod owner;

pub use control::Action;
pub use control::Need;
pub use entry::Admission;
pub use entry::Arrival;
pub use entry::Choice;
pub use entry::Step;
pub use explain::Candidate;
pub use explain::Explanation;
pub use explain::Holder;
pub use explain::Plan;
pub use explain::Question;
pub use explain::Standing;
pub use owner::Grant;

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
    random: u64,
    book: ActiveSettings,
    tenure: Tenure,
    loads: Loads,
    index: PoolIndex,
    room: ShareLimiter,
    pressure: PoolThrottle,
    slots: slot::SlotTable,
    keys: once::Memory,
    handovers: Handovers,
    suspects: Suspects,
    budget: RetryBudget,
    drain: Drain,
    cold: ColdReports,
    reach: control::Reach,
    violations: Vec<&'static str>,
    /// How many sends above a target's limit have been noted as violations.
    overruns: usize,
}

impl Node {
    /// Starts a node that knows nothing yet.
    ///
    /// `seed` is the source of every random choice, so that a run can be
    /// repeated.
    #[must_use]
    pub fn new(me: Identity, seed: u64, now: Millis) -> Self {
        let timing = timing(&Fleet::default());
        let tenure = Tenure::new(me.instance.clone(), timing, now);
        Self {
            me,
            random: seed,
            book: ActiveSettings::default(),
            tenure,
            loads: Loads::default(),
            index: PoolIndex::default(),
            room: ShareLimiter::default(),
            pressure: PoolThrottle::default(),
            slots: slot::SlotTable::default(),
            keys: once::Memory::default(),
            handovers: Handovers::default(),
            suspects: Suspects::default(),
            budget: RetryBudget::default(),
            drain: Drain::default(),
            cold: ColdReports::default(),
            reach: control::Reach::new(now),
            violations: Vec::new(),
            overruns: 0,
        }
    }

    /// Takes rules of the rights out, for a test.
    #[doc(hidden)]
    pub fn set_rules(&mut self, rules: Rules) {
        self.tenure.set_rules(rules);
    }

    /// Returns who the node is.
    #[must_use]
    pub fn identity(&self) -> &Identity {
        &self.me
    }

    /// Returns the settings that it holds.
    #[must_use]
    pub fn book(&self) -> &ActiveSettings {
        &self.book
    }

    /// Returns its view of the members and its rights.
    #[must_use]
    pub fn tenure(&self) -> &Tenure {
        &self.tenure
    }

    /// Returns the places of the targets that it owns.
    #[must_use]
    pub fn slots(&self) -> &slot::SlotTable {
        &self.slots
    }

    /// Returns how many requests of callers are in progress.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.room.total()
    }

    /// Tells whether it can serve: it has settings and a list, and stays.
    ///
    /// # Errors
    /// Returns the kind with which a request is refused otherwise.
    pub fn ready(&self) -> Result<(), Kind> {
        if self.drain.is_begun() {
            return Err(Kind::ShuttingDown);
        }
        if self.tenure.list().is_none() || self.book.teams().is_empty() {
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
    fn assert(&mut self, holds: bool, name: &'static str) {
        debug_assert!(INVARIANTS.binary_search(&name).is_ok(), "{name}");
        if !holds {
            self.violations.push(name);
        }
    }

    fn draw(&mut self) -> u64 {
        self.random = hash::mix(self.random, 1);
        self.random
    }
}

fn timing(fleet: &Fleet) -> Timing {
    Timing {
        freshness: fleet.freshness,
        dropped_memory: fleet.dropped_memory,
        horizon: fleet.horizon,
    }
}
