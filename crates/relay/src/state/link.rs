//! Which services this daemon reaches.

use std::net::SocketAddr;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::target::link;
use gooseberry_kernel::target::link::Links;

use crate::state::State;

impl State {
    /// Returns which services this daemon reaches, as checks show.
    pub fn links(&mut self) -> &mut Links {
        &mut self.links
    }

    /// Records that a target has replied to a call of this daemon.
    pub fn record_reply(&mut self, target: &name::Target, now: Millis) {
        if let Some(listed) = self.targets.get(target) {
            self.links.record_reply(&listed.target.service, now);
        }
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
