//! Which target gets a request, and what is at the targets now.

use std::cell::OnceCell;
use std::net::SocketAddr;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::routing_table::Service;
use gooseberry_kernel::request::routing_table::ServiceKind;
use gooseberry_kernel::target::cold_rate;
use gooseberry_kernel::target::registry::RegisteredTarget;
use gooseberry_kernel::target::selection;
use gooseberry_kernel::target::selection::Candidate;
use gooseberry_platform::target::Load;

use crate::state::Flight;
use crate::state::Pick;
use crate::state::Picked;
use crate::state::State;

/// How long a load that a target told is used.
const LOAD_AGE_MAX: Millis = Millis(1_000);
/// How many requests a second a cold target gets from a daemon that has just
/// started and does not know its peers yet.
const UNKNOWN_SHARE: usize = 1;
/// How long a daemon needs to find its peers.
const JOINING: Millis = Millis(3_000);
/// How many places a plain target has if it has not told.
const SLOTS_DEFAULT: u32 = 8;
/// The fewest connections to one target that a daemon may use.
const CONNECTIONS_MIN: u32 = 1;

/// Returns how many connections to one target this daemon may have: its part of
/// what the target takes from all daemons.
fn connections(service: &Service, fleet: usize) -> u32 {
    let fleet = u32::try_from(fleet).unwrap_or(u32::MAX).max(1);
    (service.max_connections / fleet).max(CONNECTIONS_MIN)
}

impl State {
    /// Tells whether a target is still listed.
    #[must_use]
    pub fn is_listed(&self, target: &name::Target) -> bool {
        self.roster.get(target).is_some()
    }

    /// Returns how many targets are listed.
    #[must_use]
    pub fn listed(&self) -> usize {
        self.roster.all().len()
    }

    /// Returns where a target listens.
    #[must_use]
    pub fn address(&self, target: &name::Target) -> Option<SocketAddr> {
        self.roster.get(target).map(|listed| listed.target.address)
    }

    /// Returns the target of a service that listens at an address.
    #[must_use]
    pub fn target_at(
        &self,
        service: &name::Service,
        address: SocketAddr,
    ) -> Option<(name::Target, SocketAddr)> {
        let mut all = self.roster.all().iter().map(|listed| &listed.target);
        let found = all.find(|one| one.service == *service && one.address == address)?;
        Some((found.name.clone(), address))
    }

    /// Picks the target of a request, and counts it as sent there.
    pub fn pick(
        &mut self,
        service: &Service,
        affinity: Option<u64>,
        tried: &[name::Target],
        draw: u64,
        now: Millis,
    ) -> Pick {
        let pick = self.choose(service, affinity, tried, draw, now);
        if let Pick::Target(picked) = &pick {
            self.pace.record_send(&picked.target, now);
            self.flight(&picked.target).own += 1;
        }
        pick
    }

    /// Tells where a request would run now, without sending it.
    pub fn forecast(
        &mut self,
        service: &Service,
        affinity: Option<u64>,
        draw: u64,
        now: Millis,
    ) -> Option<name::Domain> {
        match self.choose(service, affinity, &[], draw, now) {
            Pick::Target(picked) => Some(picked.domain),
            Pick::Wait | Pick::Nobody => None,
        }
    }

    /// Returns how many idle connections to a target may be kept beside those
    /// that are in use.
    pub fn idle_connections(&mut self, target: &name::Target, now: Millis) -> usize {
        let fleet = self.members.fleet_size(now);
        let listed = self.roster.get(target);
        let service = listed.and_then(|listed| {
            let table = self.table.as_ref()?;
            table.service(&listed.target.service)
        });
        let most = service.map_or(0, |service| connections(service, fleet));
        usize::try_from(most.saturating_sub(self.own(target))).unwrap_or(usize::MAX)
    }

    /// Notes that a request has left its target.
    pub fn note_end(&mut self, target: &name::Target) {
        let flight = self.flight(target);
        flight.own = flight.own.saturating_sub(1);
    }

    /// Notes the load that a target tells.
    pub fn note_load(&mut self, target: &name::Target, load: Load, now: Millis) {
        self.flight(target).told = Some((load, now));
    }

    /// Counts a request for a service.
    pub fn note_first(&mut self, service: &name::Service, now: Millis) {
        self.budget.record_request(service, now);
    }

    /// Takes a repeat from this daemon's part of the budget.
    pub fn take_repeat(&mut self, service: &name::Service, now: Millis) -> bool {
        let fleet = self.members.fleet_size(now);
        self.budget.try_spend(service, fleet, now)
    }

    /// Returns how long a client that gives so much time has waited at least.
    pub fn waited(&mut self, route: &name::Route, given: Millis) -> Millis {
        self.patience.estimate(route, given)
    }

    /// Chooses among the targets that may take a request.
    pub(super) fn choose(
        &mut self,
        service: &Service,
        affinity: Option<u64>,
        tried: &[name::Target],
        draw: u64,
        now: Millis,
    ) -> Pick {
        let fleet = self.members.fleet_size(now);
        let usable = self.roster.usable(&service.name, &self.taken_out, now);
        let listed: Vec<&RegisteredTarget> = usable
            .filter(|listed| !tried.contains(&listed.target.name))
            .collect();
        if listed.is_empty() {
            return Pick::Nobody;
        }
        let most = connections(service, fleet);
        // Most picks meet no cold target, and need no names.
        let members: OnceCell<Vec<name::Member>> = OnceCell::new();
        let names = || {
            let live = self.members.live(now);
            live.iter().map(|row| row.name.clone()).collect()
        };
        let share = |target: &name::Target| {
            if now < JOINING {
                return UNKNOWN_SHARE;
            }
            let me = &self.members.me().name;
            let members = members.get_or_init(names);
            cold_rate::share(service.cold_requests_per_second, target, me, members, fleet)
        };
        let is_open = |listed: &&&RegisteredTarget| {
            let target = &listed.target.name;
            let is_cold = listed.cold_until > now && service.cold_requests_per_second > 0;
            let has_share = !is_cold || self.pace.recent_sends(target, now) < share(target);
            has_share && self.own(target) < most
        };
        let open: Vec<&RegisteredTarget> = listed.iter().filter(is_open).copied().collect();
        let candidates: Vec<Candidate> = open
            .iter()
            .map(|listed| self.candidate(listed, service, now))
            .collect();
        let Some(index) = selection::pick(&candidates, affinity, draw) else {
            return Pick::Wait;
        };
        let target = &open[index].target;
        Pick::Target(Picked {
            target: target.name.clone(),
            address: target.address,
            domain: target.domain.clone(),
        })
    }

    pub(super) fn candidate(
        &self,
        listed: &RegisteredTarget,
        service: &Service,
        now: Millis,
    ) -> Candidate {
        let target = &listed.target;
        let flight = self.find_flight(&target.name);
        let told = flight.and_then(|flight| flight.told);
        let fresh = told.filter(|(_, at)| *at + LOAD_AGE_MAX > now);
        let told_load = fresh.map_or(0, |(load, _)| load.running + load.waiting);
        let slots = match service.kind {
            ServiceKind::Engine(engine) => engine.slots,
            ServiceKind::Plain | ServiceKind::Stage(_) => {
                told.map_or(SLOTS_DEFAULT, |(load, _)| load.slots.max(1))
            }
        };
        Candidate {
            target: target.name.clone(),
            load: told_load.max(flight.map_or(0, |flight| flight.own)),
            slots,
            is_avoided: self.health.is_avoided(&target.name, now),
            is_same_domain: target.domain == self.domain,
        }
    }

    pub(super) fn own(&self, target: &name::Target) -> u32 {
        self.find_flight(target).map_or(0, |flight| flight.own)
    }

    pub(super) fn find_flight(&self, target: &name::Target) -> Option<&Flight> {
        let found = self.flights.binary_search_by(|one| one.target.cmp(target));
        found.ok().map(|index| &self.flights[index])
    }

    pub(super) fn flight(&mut self, target: &name::Target) -> &mut Flight {
        let found = self.flights.binary_search_by(|one| one.target.cmp(target));
        let index = found.unwrap_or_else(|index| {
            let flight = Flight {
                target: target.clone(),
                own: 0,
                told: None,
            };
            self.flights.insert(index, flight);
            index
        });
        &mut self.flights[index]
    }
}
