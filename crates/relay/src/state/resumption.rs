//! What this daemon knows of the versions at which streams began, and whom it can ask.

use std::net::SocketAddr;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::routing_table::Incarnation;
use gooseberry_kernel::request::routing_table::Target;
use gooseberry_kernel::request::stream_origin;
use gooseberry_kernel::request::stream_origin::Versions;
use gooseberry_kernel::request::version_history;
use gooseberry_kernel::request::version_history::Change;
use gooseberry_kernel::request::version_history::Reading;

use crate::resumption::Holder;
use crate::state::State;

impl State {
    /// Returns what this daemon's list says of the software versions of a service at which
    /// streams may have begun.
    #[must_use]
    pub fn versions(&self, service: &name::Service, now: Millis) -> Versions {
        Versions {
            seen: self.targets.versions(service, now),
            departures: self.targets.departures(service, now),
            listed_since: self.listed_since,
            asked_at: self.asked_at(),
            // Changes after the reading are known only if the list has had no gap since.
            history: self.history.filter(|reading| {
                self.listed_since
                    .is_some_and(|since| since <= reading.begun)
            }),
        }
    }

    /// Returns the longest timeout of streams that may go on at a service; `None` if no route
    /// sends it any.
    #[must_use]
    pub fn stream_timeout(&self, service: &name::Service) -> Option<Millis> {
        let routes = self.routing_table.as_ref()?.routes.iter();
        let resumable = routes.filter(|route| {
            let mut shares = route.shares.iter();
            route.is_resumable && shares.any(|share| share.service == *service)
        });
        resumable.map(|route| route.timeout).max()
    }

    /// Records what a reading of the store's history has shown.
    pub fn record_history(&mut self, reading: Reading, changes: &[Change]) {
        let runs = version_history::runs(changes);
        log::info!(
            changes = changes.len(),
            runs = runs.as_ref().map_or(0, Vec::len),
            unknown:? = runs.as_ref().err(),
            took_ms = (reading.ended - reading.begun).0;
            "read the store's history of targets"
        );
        self.history = runs.is_ok().then_some(reading);
        for (service, run) in runs.into_iter().flatten() {
            let is_listed = self.targets.get(&run.target).is_some_and(|listed| {
                listed.target.service == service && listed.target.incarnation() == run
            });
            if !is_listed {
                self.targets
                    .remember_version(service, run.version, reading.ended);
            }
        }
    }

    /// Returns when the store last came back after it was away; `None` if it never was.
    #[must_use]
    pub fn store_back_at(&self) -> Option<Millis> {
        self.store_status.back_at
    }

    /// Returns the targets of a service that may hold streams and are asked, also those that leave:
    /// their streams go on at others of their version. Those that limit their rate are left out:
    /// what they take is left for requests.
    #[must_use]
    pub fn holders(&self, service: &name::Service, now: Millis) -> Vec<Holder> {
        let queryable = self.targets.queryable(service, &self.taken_out, now);
        let unlimited = queryable.filter(|listed| !self.has_rate_limit(&listed.target.name));
        let holders = unlimited.map(|listed| Holder {
            incarnation: listed.target.incarnation(),
            address: listed.target.address,
        });
        holders.collect()
    }

    /// Returns the runs of all targets of a service that are listed, also if they take no work.
    #[must_use]
    pub fn incarnations(&self, service: &name::Service) -> Vec<Incarnation> {
        let listed = self.targets.all().iter().map(|listed| &listed.target);
        let of_service = listed.filter(|target| target.service == *service);
        of_service.map(Target::incarnation).collect()
    }

    /// Returns the daemons that are asked about a stream that no backup knows, in order;
    /// `None` stands for this daemon.
    #[must_use]
    pub fn witnesses(&self, service: &name::Service, now: Millis) -> Vec<Option<SocketAddr>> {
        let me = self.members.me();
        let live = self.members.live(now);
        let order = stream_origin::witnesses(&live, |member| self.reaches(member, service));
        let addresses = order.iter().map(|member| {
            let is_other = member.name != me.name;
            is_other.then_some(member.address)
        });
        addresses.collect()
    }
}
