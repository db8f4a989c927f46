//! Picks the target of a request, and counts the requests in flight at targets.

use std::net::SocketAddr;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::routing_table::Service;
use gooseberry_kernel::request::routing_table::Target;
use gooseberry_kernel::target::capacity;
use gooseberry_kernel::target::rate_limit;
use gooseberry_kernel::target::rate_limit::Booking;
use gooseberry_kernel::target::rate_limit::NextSend;
use gooseberry_kernel::target::rate_limit::Rate;
use gooseberry_kernel::target::registry::RegisteredTarget;
use gooseberry_kernel::target::selection;
use gooseberry_kernel::target::selection::Candidate;
use gooseberry_platform::target::Load;

use crate::state::Need;
use crate::state::Pick;
use crate::state::PickedTarget;
use crate::state::State;
use crate::state::TargetUsage;
use crate::state::share::Shares;

/// How long the load that a target reported is used.
const LOAD_AGE_MAX: Millis = Millis(1_000);
/// The fewest connections to one target that a daemon may use.
const CONNECTIONS_MIN: u32 = 1;

/// Returns how many connections to one target this daemon may have: an equal
/// share of those that the target accepts from all daemons.
fn connection_limit(service: &Service, fleet_size: usize) -> u32 {
    let fleet_size = u32::try_from(fleet_size).unwrap_or(u32::MAX).max(1);
    (service.max_connections / fleet_size).max(CONNECTIONS_MIN)
}

impl State {
    /// Returns whether a target is known.
    #[must_use]
    pub fn is_listed(&self, target: &name::Target) -> bool {
        self.targets.get(target).is_some()
    }

    /// Returns whether a target that was picked is listed in the same run.
    #[must_use]
    pub fn is_listed_run(&self, picked: &PickedTarget) -> bool {
        let listed = self.targets.get(&picked.target);
        listed.is_some_and(|listed| picked.is_still(&listed.target))
    }

    /// Returns how many targets are known.
    #[must_use]
    pub fn listed_count(&self) -> usize {
        self.targets.all().len()
    }

    /// Records an answer in which a target says that it leaves. Returns whether it is
    /// listed and this is the first such answer.
    pub fn record_leaving(&mut self, target: &name::Target, now: Millis) -> bool {
        self.targets.record_leaving(target, now)
    }

    /// Records an answer in which a target asks for no work for a time.
    pub fn record_pause(&mut self, target: &name::Target, pause: Millis, now: Millis) {
        self.targets.record_pause(target, pause, now);
    }

    /// Records the rate limit that an answer of a target names, if any; returns what
    /// has changed.
    pub fn record_rate_limit(
        &mut self,
        target: &name::Target,
        rate: Option<Rate>,
        now: Millis,
    ) -> Option<rate_limit::Change> {
        let listed = self.targets.get(target)?;
        self.rate_limits.observe(&listed.target, rate, now)
    }

    /// Records how many requests a target says that it can turn away in a second; returns
    /// whether that is a change for its service.
    pub fn observe_brittleness(
        &mut self,
        target: &name::Target,
        turned_away_max: Option<u32>,
        now: Millis,
    ) -> bool {
        let Some(service) = self.service_of(target) else {
            return false;
        };
        self.brittleness.observe(&service, turned_away_max, now)
    }

    /// Records that a target turned a request away.
    pub fn record_turned_away(&mut self, target: &name::Target, now: Millis) {
        let fleet_size = self.members.fleet_size(now);
        if let Some(service) = self.service_of(target) {
            self.brittleness
                .record_turned_away(&service, target, fleet_size, now);
        }
    }

    /// Returns until when a target wants no work; `None` if it wants some or is
    /// unknown.
    #[must_use]
    pub fn paused_until(&self, target: &name::Target, now: Millis) -> Option<Millis> {
        self.targets.paused_until(target, now)
    }

    /// Returns the address on which a target listens; `None` if it is unknown.
    #[must_use]
    pub fn address(&self, target: &name::Target) -> Option<SocketAddr> {
        self.targets.get(target).map(|listed| listed.target.address)
    }

    /// Returns the target of a service that listens at an address.
    #[must_use]
    pub fn target_at(
        &self,
        service: &name::Service,
        address: SocketAddr,
    ) -> Option<(name::Target, SocketAddr)> {
        let mut all = self.targets.all().iter().map(|listed| &listed.target);
        let found = all.find(|listed| listed.service == *service && listed.address == address)?;
        Some((found.name.clone(), address))
    }

    /// Picks the target of a request and counts the request as in flight there, unless
    /// it has to wait.
    pub fn pick(&mut self, need: Need<'_>, now: Millis) -> Pick {
        let mut pick = self.choose(need, now);
        if let Pick::Target(picked) | Pick::Booked(picked, _) = &mut pick {
            picked.workspace = need.workspace.cloned();
            self.spend_rate(&picked.target, now);
        }
        if let Pick::Target(picked) = &pick {
            self.record_send(picked, now);
        }
        pick
    }

    /// Counts a request as in flight at the target at which it was booked; returns
    /// false if the target no longer takes it, or has started again since.
    pub fn begin_booked(&mut self, picked: &PickedTarget, service: &Service, now: Millis) -> bool {
        let fleet_size = self.members.fleet_size(now);
        let shares = self.shares(fleet_size, now);
        let mut usable = self.targets.usable(&service.name, &self.taken_out, now);
        let listed = usable.find(|listed| picked.is_still(&listed.target));
        let has_room = listed.is_some_and(|listed| self.has_room(listed, service, &shares));
        drop(usable);
        if has_room {
            self.record_send(picked, now);
        }
        has_room
    }

    fn record_send(&mut self, picked: &PickedTarget, now: Millis) {
        self.cold_rate_limiter.record_send(&picked.target, now);
        self.usage_mut(&picked.target).in_flight += 1;
        let queue = self.queue_mut(&picked.service);
        queue.order.use_place(picked.workspace.as_ref());
    }

    /// Returns the failure domain in which a request would run if it were sent
    /// now; counts nothing.
    pub fn forecast_domain(&mut self, need: Need<'_>, now: Millis) -> Option<name::Domain> {
        match self.choose(need, now) {
            Pick::Target(picked) | Pick::Booked(picked, _) => Some(picked.domain),
            Pick::Wait | Pick::NoShare | Pick::Paused(_) | Pick::NoTarget => None,
        }
    }

    /// Returns whether a request could be sent to a target now; counts nothing.
    pub fn has_free_target(&mut self, need: Need<'_>, now: Millis) -> bool {
        matches!(self.choose(need, now), Pick::Target(_))
    }

    /// Returns how many idle connections to a target may be kept: its connection
    /// limit less the connections in use.
    pub fn idle_connections(&mut self, target: &name::Target, now: Millis) -> usize {
        let fleet_size = self.members.fleet_size(now);
        let listed = self.targets.get(target);
        let service = listed.and_then(|listed| {
            let table = self.routing_table.as_ref()?;
            table.service(&listed.target.service)
        });
        let limit = service.map_or(0, |service| connection_limit(service, fleet_size));
        usize::try_from(limit.saturating_sub(self.in_flight(target))).unwrap_or(usize::MAX)
    }

    /// Records that a request is no longer in flight at a target. The first request that
    /// waits for such a place gets it.
    pub fn record_request_end(&mut self, picked: &PickedTarget, now: Millis) {
        let usage = self.usage_mut(&picked.target);
        usage.in_flight = usage.in_flight.saturating_sub(1);
        let queue = self.queue_mut(&picked.service);
        queue.order.free_place(picked.workspace.as_ref(), now);
        self.hand_out(&picked.service, Some(&picked.target), now);
    }

    /// Records the load that a target reported.
    pub fn record_load(&mut self, target: &name::Target, load: Load, now: Millis) {
        self.usage_mut(target).reported = Some((load, now));
    }

    /// Counts a request, not a retry, in the retry budget of its service.
    pub fn record_first_send(&mut self, service: &name::Service, now: Millis) {
        self.retry_budget.record_request(service, now);
    }

    /// Takes a retry from this daemon's share of the retry budget; returns false
    /// if none is left.
    pub fn try_take_retry(&mut self, service: &name::Service, now: Millis) -> bool {
        let fleet_size = self.members.fleet_size(now);
        let share = self.shares(fleet_size, now).of_retry_slack(service);
        self.retry_budget.try_spend(service, share, now)
    }

    /// Returns whether a retry is left in this daemon's share of the retry budget; takes
    /// none.
    pub fn has_retry(&mut self, service: &name::Service, now: Millis) -> bool {
        let fleet_size = self.members.fleet_size(now);
        let share = self.shares(fleet_size, now).of_retry_slack(service);
        self.retry_budget.has_left(service, share, now)
    }

    /// Returns how long a client has waited at least before this attempt, judged
    /// by the timeout that it sent.
    pub fn waited_at_least(&mut self, route: &name::Route, client_timeout: Millis) -> Millis {
        self.prior_waits.estimate(route, client_timeout)
    }

    /// Chooses among the usable targets that are below their connection limit and their
    /// rate limit and, if cold, below this daemon's share of their cold rate.
    pub(super) fn choose(&mut self, need: Need<'_>, now: Millis) -> Pick {
        let service = need.service;
        let fleet_size = self.members.fleet_size(now);
        let fits = |target: &Target| need.fits(target);
        let usable = self.targets.usable(&service.name, &self.taken_out, now);
        let listed: Vec<&RegisteredTarget> = usable.filter(|listed| fits(&listed.target)).collect();
        if listed.is_empty() {
            let staying = self.targets.staying(&service.name, &self.taken_out, now);
            let paused = staying.filter(|listed| fits(&listed.target));
            let ends = paused.filter_map(|listed| self.paused_until(&listed.target.name, now));
            return ends.min().map_or(Pick::NoTarget, Pick::Paused);
        }
        let shares = self.shares(fleet_size, now);
        let next_send = |listed: &RegisteredTarget| {
            let share = shares.of_rate(&listed.target);
            self.rate_limits.next_send(&listed.target, share, now)
        };
        let has_capacity = |listed: &&&RegisteredTarget| {
            self.has_room(listed, service, &shares) && next_send(listed).is_due(now)
        };
        let available: Vec<&RegisteredTarget> =
            listed.iter().filter(has_capacity).copied().collect();
        let candidates: Vec<Candidate> = available
            .iter()
            .map(|listed| self.candidate(listed, service, now))
            .collect();
        let preferred = need.preferred;
        let preferred = preferred.and_then(|target| selection::pick_preferred(&candidates, target));
        let picked = preferred.or_else(|| selection::pick(&candidates, need.affinity, need.draw));
        if let Some(index) = picked {
            return Pick::Target(PickedTarget::from(&available[index].target));
        }
        let pauses = listed.iter();
        let pauses = pauses.map(|listed| self.brittleness.paused_until(&listed.target.name, now));
        // Without one of them, a target may have room soon.
        let all_pauses: Option<Vec<Millis>> = pauses.collect();
        if let Some(end) = all_pauses.and_then(|pauses| pauses.into_iter().min()) {
            return Pick::Paused(end);
        }
        let next_sends = listed.iter().map(|listed| {
            let next_send = match next_send(listed) {
                // It is cold or full, as is one without a limit.
                NextSend::At(_) if !self.has_room(listed, service, &shares) => NextSend::Unlimited,
                next_send => next_send,
            };
            (next_send, &listed.target)
        });
        match rate_limit::booking(next_sends) {
            Booking::Unlimited => Pick::Wait,
            Booking::NoShare => Pick::NoShare,
            Booking::At(at, _) if at >= need.due => Pick::Paused(at),
            Booking::At(at, target) => Pick::Booked(PickedTarget::from(target), at),
        }
    }

    /// Returns whether a target is below its connection limit and, if cold, below this
    /// daemon's share of its cold rate. If it can turn few requests away, it must also be
    /// below this daemon's part of its slots.
    pub(super) fn has_room(
        &self,
        listed: &RegisteredTarget,
        service: &Service,
        shares: &Shares<'_>,
    ) -> bool {
        let slots = self.slots(&listed.target, service);
        let target = &listed.target.name;
        let is_cold = listed.cold_until > shares.now && service.cold_requests_per_second > 0;
        let has_share = !is_cold
            || self.cold_rate_limiter.recent_sends(target, shares.now)
                < shares.of_cold_rate(service, target);
        let fleet_size = shares.fleet_size;
        let brittleness = &self.brittleness;
        let in_flight_max = brittleness.in_flight_max(&service.name, slots, fleet_size);
        let in_flight_max = in_flight_max.unwrap_or(u32::MAX);
        let in_flight_max = in_flight_max.min(connection_limit(service, fleet_size));
        let is_paused = brittleness.paused_until(target, shares.now).is_some();
        has_share && !is_paused && self.in_flight(target) < in_flight_max
    }

    /// Returns whether a request waits for a place at a target that is full, and not only for
    /// targets that are cold or have asked for a pause.
    pub(super) fn waits_for_full(&self, need: Need<'_>, now: Millis) -> bool {
        let is_cold = |listed: &RegisteredTarget| {
            listed.cold_until > now && need.service.cold_requests_per_second > 0
        };
        let is_paused = |target| self.brittleness.paused_until(target, now).is_some();
        let mut usable = self
            .targets
            .usable(&need.service.name, &self.taken_out, now);
        usable.any(|listed| {
            need.fits(&listed.target) && !is_cold(listed) && !is_paused(&listed.target.name)
        })
    }

    /// Returns how many requests a target works on at once.
    fn slots(&self, target: &Target, service: &Service) -> u32 {
        let reported = self.usage(&target.name).and_then(|usage| usage.reported);
        capacity::slots(target, reported.map(|(load, _)| load.slots), service)
    }

    /// Returns a target with its load, the greater of the reported load and this
    /// daemon's requests in flight.
    pub(super) fn candidate(
        &self,
        listed: &RegisteredTarget,
        service: &Service,
        now: Millis,
    ) -> Candidate {
        let target = &listed.target;
        let usage = self.usage(&target.name);
        let reported = usage.and_then(|usage| usage.reported);
        let fresh = reported.filter(|(_, at)| *at + LOAD_AGE_MAX > now);
        let reported_load = fresh.map_or(0, |(load, _)| load.running.saturating_add(load.waiting));
        Candidate {
            target: target.name.clone(),
            load: reported_load.max(usage.map_or(0, |usage| usage.in_flight)),
            slots: self.slots(target, service),
            is_avoided: self.health.is_avoided(&target.name, now),
            is_same_domain: target.domain == self.domain,
        }
    }

    /// Returns how many requests of this daemon are in flight at a target.
    pub(super) fn in_flight(&self, target: &name::Target) -> u32 {
        self.usage(target).map_or(0, |usage| usage.in_flight)
    }

    /// Returns the usage of a target; `None` if nothing is known of it.
    pub(super) fn usage(&self, target: &name::Target) -> Option<&TargetUsage> {
        let found = self
            .usages
            .binary_search_by(|usage| usage.target.cmp(target));
        found.ok().map(|index| &self.usages[index])
    }

    /// Returns the usage of a target, which is inserted if it is missing.
    pub(super) fn usage_mut(&mut self, target: &name::Target) -> &mut TargetUsage {
        let found = self
            .usages
            .binary_search_by(|usage| usage.target.cmp(target));
        let index = found.unwrap_or_else(|index| {
            let usage = TargetUsage {
                target: target.clone(),
                in_flight: 0,
                reported: None,
            };
            self.usages.insert(index, usage);
            index
        });
        &mut self.usages[index]
    }
}
