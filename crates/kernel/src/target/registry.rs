//! Targets that the platform lists.
//!
//! A target that leaves the list gets no more requests. The exception is an
//! outage of the platform's store, during which the entries of live targets may
//! lapse. They are listed again within [`LAPSE_GRACE`] after the outage, so a
//! target that is removed before the end of this grace stays usable until it
//! ends. The grace counts from the end of the outage and not from the removal,
//! so that a target that leaves just after an outage isn't used longer than one
//! that leaves at any other time.
//!
//! A store that comes back from an older copy lists targets as ready that leave or have
//! gone since. Their runs stay unused for a while ([`Withdrawals`]).

use crate::clock::Millis;
use crate::derive::value;
use crate::fleet::withdrawal::Withdrawals;
use crate::name;
use crate::request::routing_table::Target;
use crate::request::stream_origin;
use crate::request::stream_origin::Departure;
use crate::target::notice::Notices;

/// How long after an outage a lapsed target may be listed again.
///
/// The platform promises two seconds. A target that left at the end of the
/// outage must also be unused within two seconds, hence the margin.
pub const LAPSE_GRACE: Millis = Millis(1_800);
/// How long a run that was removed is remembered. The store comes back from copies that
/// are some seconds old.
const REMOVED_MEMORY: Millis = Millis(30_000);

value! {
    /// A target and its state as this daemon knows it.
    pub struct RegisteredTarget {
        /// The target as last listed.
        pub target: Target,
        /// When it stops being cold; zero if it isn't cold.
        pub cold_until: Millis,
        /// When it is removed, if it lapsed during an outage.
        pub lapse_ends: Option<Millis>,
    }
}

/// The effect of a list update on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The target is new.
    Joined,
    /// The entry of the target has changed.
    Changed,
    /// The target takes no new work from now on.
    Leaving,
    /// The target was removed.
    Gone,
    /// The target is no longer listed, but stays usable until its grace ends.
    Lapsed,
}

/// The version of a target that was removed or has changed its version.
#[derive(Clone, Debug)]
struct FormerVersion {
    service: name::Service,
    version: name::Version,
    at: Millis,
}

/// One run of a target: its name, and when it started.
type Run = (name::Target, u64);

/// The targets of all services, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct TargetRegistry {
    targets: Vec<RegisteredTarget>,
    /// The versions that served within [`stream_origin::MEMORY`].
    former_versions: Vec<FormerVersion>,
    notices: Notices,
    /// The runs that were removed within [`REMOVED_MEMORY`], and when.
    removed: Vec<(Run, Millis)>,
    /// The runs that were withdrawn before the store went back to an older copy.
    withdrawals: Withdrawals<Run>,
}

impl TargetRegistry {
    /// Adds or replaces a listed target.
    pub fn upsert(&mut self, target: Target, now: Millis) -> Change {
        let cold_until = match target.cold_remaining {
            Millis::ZERO => Millis::ZERO,
            cold => now + cold,
        };
        let is_leaving = target.is_leaving;
        let run = run_of(&target);
        self.removed.retain(|(removed, _)| *removed != run);
        let listed = RegisteredTarget {
            target,
            cold_until,
            lapse_ends: None,
        };
        match self.find(&listed.target.name) {
            Ok(index) => {
                let was_leaving = self.targets[index].target.is_leaving;
                let former = std::mem::replace(&mut self.targets[index], listed);
                let former = former.target;
                let listed = &self.targets[index].target;
                let is_same_run = run_of(listed) == run_of(&former)
                    && (&listed.service, &listed.version) == (&former.service, &former.version);
                if !is_same_run {
                    self.remember_version(former.service, former.version, now);
                }
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

    /// Removes a target that is no longer listed, or starts its grace. Returns
    /// `None` if it is unknown.
    ///
    /// `outage_end` is the end of the last outage of the platform's store.
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
        let gone = self.targets.remove(index);
        self.remember_removed(gone.target, now);
        Some(Change::Gone)
    }

    /// Keeps the runs unused for a while that leave or were removed lately. The store has
    /// come back from an older copy, which may list them as ready.
    pub fn hold_withdrawn(&mut self, now: Millis) {
        let leaving = self.targets.iter().map(|listed| &listed.target);
        let leaving = leaving.filter(|target| target.is_leaving).map(run_of);
        let removed = self.removed.iter();
        let removed = removed.filter(|(_, at)| *at + REMOVED_MEMORY > now);
        let withdrawn = leaving.chain(removed.map(|(run, _)| run.clone()));
        for run in withdrawn {
            self.withdrawals.hold(run, now);
        }
    }

    /// Ends the hold of a target whose entry was written since the store has come back.
    pub fn release(&mut self, name: &name::Target) {
        if let Some(listed) = self.get(name) {
            let run = run_of(&listed.target);
            self.withdrawals.release(&run);
        }
    }

    /// Returns the software versions of a service's targets that serve now or did so
    /// within [`stream_origin::MEMORY`], sorted.
    #[must_use]
    pub fn versions(&self, service: &name::Service, now: Millis) -> Vec<name::Version> {
        let listed = self.targets.iter().map(|listed| &listed.target);
        let listed = listed.map(|target| (&target.service, &target.version));
        let former = self.recently_left(now);
        let former = former.map(|one| (&one.service, &one.version));
        let of_service = listed.chain(former).filter(|(of, _)| *of == service);
        let mut versions: Vec<_> = of_service.map(|(_, version)| version.clone()).collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    /// Returns the versions of a service's targets of which a run has left within
    /// [`stream_origin::MEMORY`].
    #[must_use]
    pub fn departures(&self, service: &name::Service, now: Millis) -> Vec<Departure> {
        let left = self.recently_left(now);
        let of_service = left.filter(|one| one.service == *service);
        let departures = of_service.map(|one| Departure {
            version: one.version.clone(),
            at: one.at,
        });
        departures.collect()
    }

    fn recently_left(&self, now: Millis) -> impl Iterator<Item = &FormerVersion> {
        let former = self.former_versions.iter();
        former.filter(move |one| one.at + stream_origin::MEMORY > now)
    }

    fn remember_removed(&mut self, gone: Target, now: Millis) {
        self.removed.retain(|(_, at)| *at + REMOVED_MEMORY > now);
        self.removed.push((run_of(&gone), now));
        self.remember_version(gone.service, gone.version, now);
    }

    /// Remembers the version of a target of a service that has served and may do so no more.
    pub fn remember_version(
        &mut self,
        service: name::Service,
        version: name::Version,
        now: Millis,
    ) {
        self.former_versions.retain(|one| {
            let is_same = one.service == service && one.version == version;
            one.at + stream_origin::MEMORY > now && !is_same
        });
        self.former_versions.push(FormerVersion {
            service,
            version,
            at: now,
        });
    }

    /// Removes the lapsed targets whose grace has ended, and returns their
    /// names.
    pub fn remove_lapsed(&mut self, now: Millis) -> Vec<name::Target> {
        let is_over = |listed: &RegisteredTarget| listed.lapse_ends.is_some_and(|at| at <= now);
        let lapsed = self.targets.iter().filter(|listed| is_over(listed));
        let lapsed: Vec<Target> = lapsed.map(|listed| listed.target.clone()).collect();
        self.targets.retain(|listed| !is_over(listed));
        let gone = lapsed.iter().map(|target| target.name.clone()).collect();
        for target in lapsed {
            self.remember_removed(target, now);
        }
        gone
    }

    /// Returns the target with this name.
    #[must_use]
    pub fn get(&self, name: &name::Target) -> Option<&RegisteredTarget> {
        self.find(name).ok().map(|index| &self.targets[index])
    }

    /// Returns all targets, sorted by name.
    #[must_use]
    pub fn all(&self) -> &[RegisteredTarget] {
        &self.targets
    }

    /// Records an answer in which a target says that it leaves. Returns whether it is
    /// listed and this is the first such answer.
    pub fn record_leaving(&mut self, name: &name::Target, now: Millis) -> bool {
        self.notices.expire(now);
        let Ok(index) = self.find(name) else {
            return false;
        };
        self.notices
            .record_leaving(&self.targets[index].target, now)
    }

    /// Records an answer in which a target asks for no work for a time. It may not be
    /// listed any more, or not yet.
    pub fn record_pause(&mut self, name: &name::Target, pause: Millis, now: Millis) {
        self.notices.expire(now);
        let started = self.get(name).map(|listed| listed.target.started);
        self.notices.record_pause(name, started, pause, now);
    }

    /// Returns until when a target wants no work; `None` if it wants some or is
    /// unknown.
    #[must_use]
    pub fn paused_until(&self, name: &name::Target, now: Millis) -> Option<Millis> {
        let listed = self.get(name)?;
        self.notices.paused_until(&listed.target, now)
    }

    /// Returns the targets of a service that take new work now and whose failure
    /// domain is not taken out.
    pub fn usable<'a>(
        &'a self,
        service: &'a name::Service,
        taken_out: &'a [name::Domain],
        now: Millis,
    ) -> impl Iterator<Item = &'a RegisteredTarget> + 'a {
        let staying = self.staying(service, taken_out, now);
        staying.filter(move |listed| !self.is_paused(&listed.target, now))
    }

    /// Returns the targets of a service that take new work now or after a pause that
    /// they asked for, and whose failure domain is not taken out.
    pub fn staying<'a>(
        &'a self,
        service: &'a name::Service,
        taken_out: &'a [name::Domain],
        now: Millis,
    ) -> impl Iterator<Item = &'a RegisteredTarget> + 'a {
        let serving = self.serving(service, taken_out, now);
        serving.filter(move |listed| {
            let target = &listed.target;
            let is_leaving = target.is_leaving || self.notices.is_leaving(target, now);
            !is_leaving && !self.withdrawals.is_held(&run_of(target), now)
        })
    }

    /// Returns the targets of a service that may be asked for what they know: those that are
    /// listed, also if they leave, want no pause, and are in no failure domain that is taken out.
    pub fn queryable<'a>(
        &'a self,
        service: &'a name::Service,
        taken_out: &'a [name::Domain],
        now: Millis,
    ) -> impl Iterator<Item = &'a RegisteredTarget> + 'a {
        let serving = self.serving(service, taken_out, now);
        serving.filter(move |listed| !self.is_paused(&listed.target, now))
    }

    /// Returns the targets of a service that are listed and whose failure domain is not taken out.
    fn serving<'a>(
        &'a self,
        service: &'a name::Service,
        taken_out: &'a [name::Domain],
        now: Millis,
    ) -> impl Iterator<Item = &'a RegisteredTarget> + 'a {
        self.targets.iter().filter(move |listed| {
            let target = &listed.target;
            let is_current = listed.lapse_ends.is_none_or(|at| at > now);
            target.service == *service && is_current && !taken_out.contains(&target.domain)
        })
    }

    fn is_paused(&self, target: &Target, now: Millis) -> bool {
        self.notices.paused_until(target, now).is_some()
    }

    fn find(&self, name: &name::Target) -> Result<usize, usize> {
        self.targets
            .binary_search_by(|listed| listed.target.name.cmp(name))
    }
}

fn run_of(target: &Target) -> Run {
    (target.name.clone(), target.started)
}
