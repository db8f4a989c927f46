//! Which services this daemon reaches.

use std::net::SocketAddr;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::detour::Announcement;
use gooseberry_kernel::fleet::membership::MemberState;
use gooseberry_kernel::name;
use gooseberry_kernel::target::link;
use gooseberry_kernel::target::link::Links;

use crate::state::State;

impl State {
    /// Returns which services this daemon reaches, as checks show.
    pub fn links(&mut self) -> &mut Links {
        &mut self.links
    }

    /// Returns whether this daemon reaches no target of a service.
    #[must_use]
    pub fn is_link_down(&self, service: &name::Service) -> bool {
        self.links.is_down(service)
    }

    /// Returns what this daemon says of its links.
    #[must_use]
    pub fn announcement_of_links(&self) -> Announcement {
        Announcement {
            address: self.detour_address,
            unreached: self.links.down().cloned().collect(),
        }
    }

    /// Sets where this daemon takes requests that it is to send for peers.
    pub fn set_detour_address(&mut self, address: SocketAddr) {
        self.detour_address = Some(address);
    }

    /// Records what a peer says of its links; `None` if it is of a build that says nothing.
    pub fn record_links(&mut self, member: &name::Member, announcement: Option<Announcement>) {
        self.detours.record(member, announcement);
    }

    /// Records that a peer, asked to send a request, has said that it reaches no target of a
    /// service.
    pub fn record_unreached_by(&mut self, peer: SocketAddr, service: &name::Service) {
        self.detours.record_unreached(peer, service);
    }

    /// Returns the address of the peer to which a request for a service is sent, since this
    /// daemon does not reach its targets; `None` if it does, or no peer takes the request.
    #[must_use]
    pub fn detour(
        &self,
        service: &name::Service,
        tried: &[SocketAddr],
        draw: u64,
        now: Millis,
    ) -> Option<SocketAddr> {
        if !self.is_link_down(service) {
            return None;
        }
        let live = self.members.live(now);
        self.detours.choose(service, &live, tried, draw)
    }

    /// Returns whether a daemon reaches the targets of a service, as far as it has said.
    pub(super) fn reaches(&self, member: &MemberState, service: &name::Service) -> bool {
        if member.name == self.members.me().name {
            return !self.is_link_down(service);
        }
        self.detours.reaches(&member.name, service)
    }

    /// Records that a target has replied to a call of this daemon.
    pub fn record_reply(&mut self, target: &name::Target, now: Millis) {
        if let Some(listed) = self.targets.get(target) {
            self.links.record_reply(&listed.target.service, now);
        }
    }

    /// Returns the service of a target; `None` if it is unknown.
    #[must_use]
    pub fn service_of(&self, target: &name::Target) -> Option<name::Service> {
        let listed = self.targets.get(target)?;
        Some(listed.target.service.clone())
    }

    /// Returns the services of the settings in force.
    #[must_use]
    pub fn services(&self) -> Vec<name::Service> {
        let table = self.routing_table.as_ref();
        let services = table.into_iter().flat_map(|table| &table.services);
        services.map(|service| service.name.clone()).collect()
    }

    /// Returns the targets that a check of the link to a service connects to, and their
    /// addresses; `failed` is the target of the call that failed.
    #[must_use]
    pub fn link_check_targets(
        &self,
        service: &name::Service,
        failed: Option<&name::Target>,
        now: Millis,
    ) -> Vec<(name::Target, SocketAddr)> {
        let staying = self.targets.staying(service, &self.taken_out, now);
        let names = staying.map(|listed| &listed.target.name);
        let chosen = link::check_targets(names, failed, now.0);
        let address = |target: name::Target| Some((target.clone(), self.address(&target)?));
        chosen.into_iter().filter_map(address).collect()
    }
}
