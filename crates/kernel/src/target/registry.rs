//! The targets that the platform lists.
//!
//! A target that leaves the list gets nothing more at once. The exception is
//! an outage of the platform, during which live targets may lapse: their
//! entries come back within [`LAPSE_GRACE`] of its end, so a target that was dropped
//! around an outage is used until then. The span counts from the end of the
//! outage, not from the drop: a target that leaves just after the outage must
//! not be used longer than one that leaves at any other time.

use crate::clock::Millis;
use crate::derive::value;
use crate::name;
use crate::request::routing_table::Target;

/// How long after an outage a target that lapsed may come back.
///
/// The platform says two seconds; the margin keeps a target that left at the
/// end of the outage within the bound for leaving targets, also two seconds.
pub const LAPSE_GRACE: Millis = Millis(1_800);

value! {
    /// A target with what this daemon knows of its state.
    pub struct RegisteredTarget {
        /// What the list says.
        pub target: Target,
        /// Until when it is cold.
        pub cold_until: Millis,
        /// When it goes, if it lapsed during an outage of the platform.
        pub lapse_ends: Option<Millis>,
    }
}

/// What a change of the list did to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is new.
    Joined,
    /// Something that the list says of it is different.
    Changed,
    /// It takes no new work.
    Leaving,
    /// It is not listed any more.
    Gone,
    /// It is not listed any more, but may have lapsed.
    Lapsed,
}

/// The targets of all services, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct TargetRegistry {
    targets: Vec<RegisteredTarget>,
}

impl TargetRegistry {
    /// Takes in what the list says of a target now.
    pub fn upsert(&mut self, target: Target, now: Millis) -> Change {
        let cold_until = match target.cold_remaining {
            Millis::ZERO => Millis::ZERO,
            cold => now + cold,
        };
        let is_leaving = target.is_leaving;
        let listed = RegisteredTarget {
            target,
            cold_until,
            lapse_ends: None,
        };
        match self.find(&listed.target.name) {
            Ok(index) => {
                let was_leaving = self.targets[index].target.is_leaving;
                self.targets[index] = listed;
                if is_leaving && !was_leaving {
                    Change::Leaving
                } else {
                    Change::Changed
                }
            }
            Err(index) => {
                self.targets.insert(index, listed);
                Change::Joined
            }
        }
    }

    /// Takes in that a target is not listed any more.
    ///
    /// `outage_end` is the end of the platform's last outage.
    pub fn remove(
        &mut self,
        name: &name::Target,
        outage_end: Option<Millis>,
        now: Millis,
    ) -> Option<Change> {
        let index = self.find(name).ok()?;
        let listed = &mut self.targets[index];
        let lapse_ends = outage_end
            .map(|end| end + LAPSE_GRACE)
            .filter(|at| *at > now);
        if lapse_ends.is_some() && !listed.target.is_leaving {
            listed.lapse_ends = lapse_ends;
            return Some(Change::Lapsed);
        }
        self.targets.remove(index);
        Some(Change::Gone)
    }

    /// Drops the targets whose lapse has ended, and returns them.
    pub fn remove_lapsed(&mut self, now: Millis) -> Vec<name::Target> {
        let is_over = |listed: &RegisteredTarget| listed.lapse_ends.is_some_and(|at| at <= now);
        let lapsed = self.targets.iter().filter(|listed| is_over(listed));
        let gone = lapsed.map(|listed| listed.target.name.clone()).collect();
        self.targets.retain(|listed| !is_over(listed));
        gone
    }

    /// Finds a target.
    #[must_use]
    pub fn get(&self, name: &name::Target) -> Option<&RegisteredTarget> {
        self.find(name).ok().map(|index| &self.targets[index])
    }

    /// Returns every target, sorted by name.
    #[must_use]
    pub fn all(&self) -> &[RegisteredTarget] {
        &self.targets
    }

    /// Returns the targets of a service that take new work and whose domain is
    /// not taken out.
    pub fn usable<'a>(
        &'a self,
        service: &'a name::Service,
        taken_out: &'a [name::Domain],
        now: Millis,
    ) -> impl Iterator<Item = &'a RegisteredTarget> + 'a {
        self.targets.iter().filter(move |listed| {
            let target = &listed.target;
            let is_current = listed.lapse_ends.is_none_or(|at| at > now);
            let accepts_work = !target.is_leaving && !taken_out.contains(&target.domain);
            target.service == *service && is_current && accepts_work
        })
    }

    fn find(&self, name: &name::Target) -> Result<usize, usize> {
        self.targets
            .binary_search_by(|listed| listed.target.name.cmp(name))
    }
}
