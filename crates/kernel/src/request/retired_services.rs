//! Services that the settings no longer list, for the requests that were admitted before.

use std::sync::Arc;

use crate::clock::Millis;
use crate::name;
use crate::request::routing_table::Route;
use crate::request::routing_table::RoutingTable;
use crate::request::routing_table::Service;

/// The retired services, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct RetiredServices {
    services: Vec<RetiredService>,
}

#[derive(Clone, Debug)]
struct RetiredService {
    service: Arc<Service>,
    /// When the last request that may use it has ended.
    until: Millis,
}

impl RetiredServices {
    /// Keeps the services that `former` lists and `next`, which replaces it, does not, for
    /// as long as requests of the former routes may take.
    pub fn replace(&mut self, former: &RoutingTable, next: &RoutingTable, now: Millis) {
        let timeouts = former.routes.iter().map(|route: &Arc<Route>| route.timeout);
        let until = now + timeouts.max().unwrap_or_default();
        let gone = former.services.iter();
        for service in gone.filter(|service| next.service(&service.name).is_none()) {
            let retired = RetiredService {
                service: service.clone(),
                until,
            };
            match self.find(&service.name) {
                Ok(index) => self.services[index] = retired,
                Err(index) => self.services.insert(index, retired),
            }
        }
        self.services
            .retain(|retired| next.service(&retired.service.name).is_none());
    }

    /// Forgets the services that no request uses any more.
    pub fn expire(&mut self, now: Millis) {
        self.services.retain(|retired| now < retired.until);
    }

    /// Returns the retired service with this name.
    #[must_use]
    pub fn get(&self, name: &name::Service) -> Option<&Arc<Service>> {
        let found = self.find(name);
        found.ok().map(|index| &self.services[index].service)
    }

    fn find(&self, name: &name::Service) -> Result<usize, usize> {
        self.services
            .binary_search_by(|retired| retired.service.name.cmp(name))
    }
}
