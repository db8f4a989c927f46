//! What this daemon knows of the versions at which streams began, and whom it can ask.

use std::net::SocketAddr;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::stream_origin;
use gooseberry_kernel::request::stream_origin::Versions;

use crate::resumption::Holder;
use crate::state::State;

impl State {
    /// Returns what this daemon's list says of the software versions of a service at which
    /// streams may have begun.
    #[must_use]
    pub fn versions(&self, service: &name::Service, now: Millis) -> Versions {
        Versions {
            seen: self.targets.versions(service, now),
            listed_since: self.listed_since,
            asked_at: self.asked_at(),
        }
    }

    /// Returns the targets at which a stream of a service may go on, but for those that limit
    /// their rate: what they take is left for requests.
    #[must_use]
    pub fn holders(&self, service: &name::Service, now: Millis) -> Vec<Holder> {
        let usable = self.targets.usable(service, &self.taken_out, now);
        let unlimited = usable.filter(|listed| !self.has_rate_limit(&listed.target.name));
        let holders = unlimited.map(|listed| Holder {
            name: listed.target.name.clone(),
            address: listed.target.address,
            version: listed.target.version.clone(),
        });
        holders.collect()
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
