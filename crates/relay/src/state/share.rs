//! This daemon's parts of the limits that hold for the whole fleet.

use std::cell::OnceCell;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::membership::Membership;
use gooseberry_kernel::fleet::share::Place;
use gooseberry_kernel::name;
use gooseberry_kernel::request::retry_budget;
use gooseberry_kernel::request::routing_table::Service;
use gooseberry_kernel::request::routing_table::ServiceKind;
use gooseberry_kernel::request::routing_table::Target;
use gooseberry_kernel::target::cold_rate;
use gooseberry_kernel::target::rate_limit;
use gooseberry_kernel::target::rate_limit::NextSend;
use gooseberry_kernel::target::rate_limit::Observation;
use gooseberry_kernel::target::rate_limit::Rate;

use crate::state::State;

/// How many requests a second a cold target gets from a daemon that has just
/// started and cannot compute its share, as it does not know its peers yet.
const COLD_SHARE_BEFORE_DISCOVERY: usize = 1;
/// How long after its start a daemon has discovered its peers.
const PEER_DISCOVERY_TIME: Millis = Millis(3_000);

/// What the parts of one daemon are computed from.
pub(super) struct Shares<'a> {
    state: &'a State,
    pub(super) fleet_size: usize,
    pub(super) now: Millis,
    /// Computed on first use: most choices meet no limit.
    members: OnceCell<Vec<name::Member>>,
}

impl Shares<'_> {
    /// Returns how many requests a second this daemon may send to a cold target.
    pub(super) fn of_cold_rate(&self, service: &Service, target: &name::Target) -> usize {
        if !self.is_fleet_known() {
            return COLD_SHARE_BEFORE_DISCOVERY;
        }
        cold_rate::share(
            service.cold_requests_per_second,
            target,
            self.me(),
            self.members(),
            self.fleet_size,
        )
    }

    /// Returns this daemon's part of the rate limit of a target; `None` if it has none
    /// or the target names no limit.
    pub(super) fn of_rate(&self, target: &Target) -> Option<Rate> {
        let rate = self.state.rate_limits.rate(target)?;
        if !self.is_fleet_known() {
            return None;
        }
        let table = self.state.routing_table.as_ref();
        let service = table.and_then(|table| table.service(&target.service));
        if service.is_some_and(|service| matches!(service.kind, ServiceKind::Stage(_))) {
            // One daemon makes the calls to these targets.
            let is_first = self.state.is_first_dispatcher(&target.service, self.now);
            return is_first.then_some(rate);
        }
        rate_limit::share(
            rate,
            &target.name,
            self.me(),
            self.members(),
            self.fleet_size,
        )
    }

    /// Returns this daemon's part of the fixed slack of a service's retry budget; `None`
    /// as long as it does not know the fleet.
    pub(super) fn of_retry_slack(&self, service: &name::Service) -> Option<Rate> {
        if !self.is_fleet_known() {
            return None;
        }
        let place = Place {
            key: service.as_str(),
            me: self.me(),
            members: self.members(),
            fleet_size: self.fleet_size,
        };
        let limits = self.state.retry_budget.limits();
        Some(retry_budget::slack_share(limits, &place))
    }

    /// Returns whether this daemon has discovered its peers.
    fn is_fleet_known(&self) -> bool {
        !self.state.has_seeds || self.now >= PEER_DISCOVERY_TIME
    }

    fn me(&self) -> &name::Member {
        &self.state.members.me().name
    }

    fn members(&self) -> &[name::Member] {
        self.members
            .get_or_init(|| live_names(&self.state.members, self.now))
    }
}

fn live_names(members: &Membership, now: Millis) -> Vec<name::Member> {
    let live = members.live(now);
    live.iter().map(|member| member.name.clone()).collect()
}

impl State {
    /// Returns what this daemon's parts of limits are computed from. `fleet_size` is
    /// the largest number of daemons that was recently seen.
    pub(super) fn shares(&self, fleet_size: usize, now: Millis) -> Shares<'_> {
        Shares {
            state: self,
            fleet_size,
            now,
            members: OnceCell::new(),
        }
    }

    /// Returns when this daemon may send its next request to a target.
    pub(super) fn next_send(&self, target: &Target, fleet_size: usize, now: Millis) -> NextSend {
        let share = self.shares(fleet_size, now).of_rate(target);
        self.rate_limits.next_send(target, share, now)
    }

    /// Counts a request in the rate limit of its target, if it has one.
    pub(super) fn spend_rate(&mut self, target: &name::Target, now: Millis) {
        let fleet_size = self.members.fleet_size(now);
        let listed = self.targets.get(target);
        let limited = listed.filter(|listed| self.rate_limits.rate(&listed.target).is_some());
        let Some(target) = limited.map(|listed| listed.target.clone()) else {
            return;
        };
        let share = self.shares(fleet_size, now).of_rate(&target);
        self.rate_limits.spend(&target, share, now);
    }

    /// Takes a call to a stage target out of this daemon's part of its rate limit;
    /// returns false if none is left.
    pub fn try_take_call(&mut self, target: &name::Target, now: Millis) -> bool {
        let fleet_size = self.members.fleet_size(now);
        let Some(listed) = self.targets.get(target) else {
            return true;
        };
        let is_due = self.next_send(&listed.target, fleet_size, now).is_due(now);
        if is_due {
            self.spend_rate(target, now);
        }
        is_due
    }

    /// Returns whether a target limits the rate of its requests.
    #[must_use]
    pub fn has_rate_limit(&self, target: &name::Target) -> bool {
        let listed = self.targets.get(target);
        listed.is_some_and(|listed| self.rate_limits.rate(&listed.target).is_some())
    }

    /// Recomputes this daemon's parts of rate limits and retry budgets, which change
    /// with the members of the fleet.
    pub(super) fn update_shares(&mut self, now: Millis) {
        let fleet_size = self.members.fleet_size(now);
        let shares = self.shares(fleet_size, now);
        let limited = self.rate_limits.limited();
        let listed = limited.filter_map(|target| self.targets.get(target));
        let parts = listed.map(|listed| {
            let target = &listed.target;
            (target.name.clone(), shares.of_rate(target))
        });
        let parts: Vec<(name::Target, Option<Rate>)> = parts.collect();
        let services = self.retry_budget.services().cloned();
        let slack = services.filter_map(|service| {
            let share = shares.of_retry_slack(&service)?;
            Some((service, share))
        });
        let slack: Vec<(name::Service, Rate)> = slack.collect();
        for (service, share) in slack {
            self.retry_budget.set_slack_share(&service, share, now);
        }
        for (target, share) in parts {
            self.rate_limits.set_share(&target, share, now);
        }
    }

    /// Returns some rate limits of targets for a greeting.
    pub fn rate_limits_for_greeting(&mut self) -> Vec<Observation> {
        self.rate_limits.for_greeting()
    }

    /// Merges the rate limits of targets that a peer knows.
    pub fn merge_rate_limits(&mut self, observations: impl IntoIterator<Item = Observation>) {
        for observation in observations {
            let target = observation.target.clone();
            let listed = self.targets.get(&target);
            let started = listed.map(|listed| listed.target.started);
            if let Some(change) = self.rate_limits.merge(observation, started) {
                log::info!(target:% = target, change:?; "a peer tells of a change of a target's rate limit");
            }
        }
    }
}
