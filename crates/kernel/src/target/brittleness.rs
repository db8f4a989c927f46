//! Targets that fall over when they have to turn too many requests away.
//!
//! The targets of a service may say in their answers how many requests each of them can
//! turn away in a second for want of room; beyond that it falls over. While a service says
//! so, no daemon counts on the queues of its targets: each keeps at most an equal part of a
//! target's slots in flight, and one request if its part is smaller. A daemon that was
//! turned away all the same sends that target nothing for as long as all daemons together
//! may then each be turned away once.

use crate::clock::Millis;
use crate::name;

/// How long the word of a service holds after its last answer.
const MEMORY: Millis = Millis(30_000);
/// The bounds of the time for which a daemon that was turned away sends nothing.
const PAUSE_MIN: Millis = Millis(200);
const PAUSE_MAX: Millis = Millis(10_000);

#[derive(Clone, Debug)]
struct Service {
    name: name::Service,
    /// How many requests a target can turn away in a second.
    turned_away_max: u32,
    until: Millis,
}

/// The services whose targets are brittle, and the targets that turned requests away; both
/// sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Brittleness {
    services: Vec<Service>,
    paused: Vec<(name::Target, Millis)>,
}

impl Brittleness {
    /// Records that a target of a service says how many requests it can turn away in a
    /// second, or, with `None`, that it has answered without saying so. Returns whether that
    /// is a change.
    pub fn observe(
        &mut self,
        service: &name::Service,
        turned_away_max: Option<u32>,
        now: Millis,
    ) -> bool {
        let known = self.find(service);
        let Some(turned_away_max) = turned_away_max else {
            return known.map(|index| self.services.remove(index)).is_ok();
        };
        let observed = Service {
            name: service.clone(),
            turned_away_max,
            until: now + MEMORY,
        };
        match known {
            Ok(index) => {
                let former = std::mem::replace(&mut self.services[index], observed);
                former.turned_away_max != turned_away_max
            }
            Err(index) => {
                self.services.insert(index, observed);
                true
            }
        }
    }

    /// Records that a target turned a request away. If its service is brittle, this daemon
    /// sends it nothing for a while; `fleet_size` is the number of daemons.
    pub fn record_turned_away(
        &mut self,
        service: &name::Service,
        target: &name::Target,
        fleet_size: usize,
        now: Millis,
    ) {
        let Ok(index) = self.find(service) else {
            return;
        };
        let fleet_size = u64::try_from(fleet_size).unwrap_or(u64::MAX);
        let per_second = u64::from(self.services[index].turned_away_max);
        let pause = (fleet_size.saturating_mul(1_000)).checked_div(per_second);
        let pause = pause.map_or(PAUSE_MAX, |pause| Millis(pause).clamp(PAUSE_MIN, PAUSE_MAX));
        let until = now + pause;
        match self.find_paused(target) {
            Ok(index) => self.paused[index].1 = until,
            Err(index) => self.paused.insert(index, (target.clone(), until)),
        }
    }

    /// Returns how many requests this daemon may have in flight at a target of a service;
    /// `None` if the service is not brittle. `slots` is how many a target works on at once.
    #[must_use]
    pub fn in_flight_max(
        &self,
        service: &name::Service,
        slots: u32,
        fleet_size: usize,
    ) -> Option<u32> {
        self.find(service).ok()?;
        let fleet_size = u32::try_from(fleet_size).unwrap_or(u32::MAX);
        Some((slots / fleet_size.max(1)).max(1))
    }

    /// Returns until when this daemon sends a target nothing; `None` if it may.
    #[must_use]
    pub fn paused_until(&self, target: &name::Target, now: Millis) -> Option<Millis> {
        let index = self.find_paused(target).ok()?;
        let until = self.paused[index].1;
        (until > now).then_some(until)
    }

    /// Forgets what is over.
    pub fn expire(&mut self, now: Millis) {
        self.services.retain(|service| service.until > now);
        self.paused.retain(|(_, until)| *until > now);
    }

    fn find(&self, service: &name::Service) -> Result<usize, usize> {
        self.services
            .binary_search_by(|known| known.name.cmp(service))
    }

    fn find_paused(&self, target: &name::Target) -> Result<usize, usize> {
        self.paused.binary_search_by(|(known, _)| known.cmp(target))
    }
}
