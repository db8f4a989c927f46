//! Whether this daemon reaches the targets of a service.
//!
//! A partition can cut a daemon off from all targets while its clients, the platform's
//! store and its peers still reach it. Its calls alone do not show that: they look like
//! faults of one target after the other. A call that fails or stays without a reply is
//! therefore followed by a check, which connects to a few other targets of the service.
//! If fewer than a quarter of them can be reached, the link to the service is down until a
//! later check reaches half. A partition may spare a single target, which cannot serve for
//! all.
//!
//! New connections count and replies do not: established connections can outlive a
//! partition in which new ones are refused.

use crate::clock::Millis;
use crate::derive::scalar;
use crate::hash;
use crate::name;

/// How many targets a check connects to at first.
pub const CHECK_TARGETS: usize = 3;
/// How many targets a check connects to if some of the first ones are reached, but not most.
const CHECK_TARGETS_MAX: usize = 8;
/// How long a call may be without a reply before its link is checked.
pub const SILENCE_MAX: Millis = Millis(600);
/// The interval between the checks of a link that is down.
pub const RECHECK_INTERVAL: Millis = Millis(500);
/// How long after a check that has reached a target no other one is needed.
const CHECK_VALIDITY: Millis = Millis(500);

scalar! {
    /// A change of a link.
    pub enum Change {
        /// The targets of the service cannot be reached any more.
        Down,
        /// They can be reached again; the link was down for this time.
        Up(Millis),
    }
}

#[derive(Clone, Debug)]
struct Link {
    service: name::Service,
    /// Since when the targets cannot be reached; `None` if they can.
    down_since: Option<Millis>,
    /// When the check began that is in progress.
    check_begun: Option<Millis>,
    /// When the last check that reached a target began.
    reached_at: Option<Millis>,
    /// How many targets the last check connected to.
    tried: usize,
    /// When the last check ended.
    checked_at: Millis,
    /// When a target last replied to a call.
    heard_at: Millis,
}

/// The links to the services that this daemon has called, sorted by service.
#[derive(Clone, Debug, Default)]
pub struct Links {
    links: Vec<Link>,
}

impl Links {
    /// Begins a check after a failed call; returns false if none is needed, since one is
    /// in progress or has just reached a target.
    pub fn begin_check(&mut self, service: &name::Service, now: Millis) -> bool {
        self.begin_check_since(service, (now + Millis(1)) - CHECK_VALIDITY, now)
    }

    /// Begins a check; returns false if none is needed, since one is in progress, the link
    /// is down, or a check that began at `since` or later has reached a target.
    pub fn begin_check_since(
        &mut self,
        service: &name::Service,
        since: Millis,
        now: Millis,
    ) -> bool {
        let link = self.link_mut(service);
        let is_known = link.down_since.is_some();
        let is_valid = link.reached_at.is_some_and(|at| at >= since);
        if link.check_begun.is_some() || is_known || is_valid {
            return false;
        }
        link.check_begun = Some(now);
        true
    }

    /// Records that the check in progress has reached a target.
    pub fn record_reached(&mut self, service: &name::Service) {
        let link = self.link_mut(service);
        link.reached_at = link.check_begun.or(link.reached_at);
    }

    /// Like [`Links::begin_check`], after a call without a reply for [`SILENCE_MAX`]. No
    /// check is needed if other calls to the service had replies in that time.
    pub fn begin_check_after_silence(&mut self, service: &name::Service, now: Millis) -> bool {
        let is_silent = self.link_mut(service).heard_at + SILENCE_MAX <= now;
        is_silent && self.begin_check(service, now)
    }

    /// Records that a target of a service has replied to a call.
    pub fn record_reply(&mut self, service: &name::Service, now: Millis) {
        self.link_mut(service).heard_at = now;
    }

    /// Begins the checks of links that are down and due to be checked again.
    pub fn begin_rechecks(&mut self, now: Millis) -> Vec<name::Service> {
        let due = self.links.iter_mut().filter(|link| {
            let is_due = link.checked_at + RECHECK_INTERVAL <= now;
            link.down_since.is_some() && link.check_begun.is_none() && is_due
        });
        due.map(|link| {
            link.check_begun = Some(now);
            link.service.clone()
        })
        .collect()
    }

    /// Records how many of the targets that a check connected to were reached; returns the
    /// change, if it has found one.
    pub fn end_check(
        &mut self,
        service: &name::Service,
        reached: usize,
        tried: usize,
        now: Millis,
    ) -> Option<Change> {
        let link = self.link_mut(service);
        let begun = link.check_begun.take();
        link.checked_at = now;
        link.tried = tried;
        // Without targets, nothing can be said against the link.
        if reached > 0 || tried == 0 {
            link.reached_at = begun;
        }
        match link.down_since {
            None if reached * 4 < tried => {
                link.down_since = Some(now);
                Some(Change::Down)
            }
            Some(since) if reached * 2 >= tried => {
                link.down_since = None;
                Some(Change::Up(now - since))
            }
            _ => None,
        }
    }

    /// Returns whether the targets of a service cannot be reached.
    #[must_use]
    pub fn is_down(&self, service: &name::Service) -> bool {
        let link = self.find(service).ok().map(|index| &self.links[index]);
        link.is_some_and(|link| link.down_since.is_some())
    }

    /// Returns the services whose targets cannot be reached, sorted.
    pub fn down(&self) -> impl Iterator<Item = &name::Service> {
        let down = self.links.iter().filter(|link| link.down_since.is_some());
        down.map(|link| &link.service)
    }

    /// Returns whether the fault of a call that broke off at `since` was its target's, and not
    /// that of the link; `None` while no check has shown that.
    ///
    /// A check of fewer than [`CHECK_TARGETS`] targets shows nothing: they may all have
    /// failed.
    #[must_use]
    pub fn is_fault_of_target(&self, service: &name::Service, since: Millis) -> Option<bool> {
        let link = &self.links[self.find(service).ok()?];
        if link.reached_at.is_some_and(|at| at >= since) {
            return Some(true);
        }
        link.down_since.map(|_| link.tried < CHECK_TARGETS)
    }

    /// Drops the services that are no longer there.
    pub fn retain(&mut self, is_listed: impl Fn(&name::Service) -> bool) {
        self.links.retain(|link| is_listed(&link.service));
    }

    fn link_mut(&mut self, service: &name::Service) -> &mut Link {
        let index = self.find(service).unwrap_or_else(|index| {
            let link = Link {
                service: service.clone(),
                down_since: None,
                check_begun: None,
                reached_at: None,
                tried: 0,
                checked_at: Millis::ZERO,
                heard_at: Millis::ZERO,
            };
            self.links.insert(index, link);
            index
        });
        &mut self.links[index]
    }

    fn find(&self, service: &name::Service) -> Result<usize, usize> {
        self.links
            .binary_search_by(|link| link.service.cmp(service))
    }
}

/// Returns whether a check that has reached some of its first targets connects to the others.
#[must_use]
pub fn is_unclear(reached: usize, tried: usize) -> bool {
    reached > 0 && reached * 2 < tried
}

/// Returns the targets that a check may connect to: some at random, and that of the failed
/// call only if there are too few others.
#[must_use]
pub fn check_targets<'a>(
    targets: impl Iterator<Item = &'a name::Target>,
    failed: Option<&name::Target>,
    draw: u64,
) -> Vec<name::Target> {
    let mut targets: Vec<&name::Target> = targets.collect();
    targets.sort_by_cached_key(|target| {
        let weight = hash::mix(draw, hash::text(target.as_str()));
        (failed == Some(*target), weight)
    });
    let chosen = targets.into_iter().take(CHECK_TARGETS_MAX);
    chosen.cloned().collect()
}
