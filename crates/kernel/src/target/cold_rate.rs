//! Rate limit of cold targets.
//!
//! The limit is a rate over all daemons, and each daemon takes an equal share
//! of it. If a share would be below one request a second, only the first
//! daemons by rendezvous hashing send to the target, at one request a second
//! each. A daemon that knows fewer members than there are would take too large
//! a share, so shares are computed from the largest fleet that it has seen
//! recently.

use crate::clock::Millis;
use crate::fleet::share;
use crate::name;

/// The window over which sends are counted.
pub const WINDOW: Millis = Millis(1_000);

#[derive(Clone, Debug)]
struct TargetSends {
    target: name::Target,
    times: Vec<Millis>,
}

/// Sends of this daemon in the last [`WINDOW`], by target.
#[derive(Clone, Debug, Default)]
pub struct ColdRateLimiter {
    sends: Vec<TargetSends>,
}

/// Returns how many requests a second this daemon may send to a cold target.
///
/// `rate` is the limit over all daemons, and `fleet_size` the largest number of
/// daemons that was recently seen.
#[must_use]
pub fn share(
    rate: u32,
    target: &name::Target,
    me: &name::Member,
    members: &[name::Member],
    fleet_size: usize,
) -> usize {
    let rate = usize::try_from(rate).unwrap_or(usize::MAX);
    let place = share::Place {
        key: target.as_str(),
        me,
        members,
        fleet_size,
    };
    let fleet_size = place.fleet_size();
    if rate >= fleet_size {
        return rate / fleet_size;
    }
    usize::from(place.position() < rate)
}

impl ColdRateLimiter {
    /// Records a send and drops those outside the window.
    pub fn record_send(&mut self, target: &name::Target, now: Millis) {
        let found = self
            .sends
            .binary_search_by(|sends| sends.target.cmp(target));
        let index = found.unwrap_or_else(|index| {
            let sends = TargetSends {
                target: target.clone(),
                times: Vec::new(),
            };
            self.sends.insert(index, sends);
            index
        });
        let times = &mut self.sends[index].times;
        times.retain(|time| *time + WINDOW > now);
        times.push(now);
    }

    /// Returns the number of sends within the window.
    #[must_use]
    pub fn recent_sends(&self, target: &name::Target, now: Millis) -> usize {
        let found = self
            .sends
            .binary_search_by(|sends| sends.target.cmp(target));
        let times = found.ok().map(|index| &self.sends[index].times);
        times.map_or(0, |times| {
            let in_window = times.iter().filter(|time| **time + WINDOW > now);
            in_window.count()
        })
    }

    /// Drops the targets that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(&name::Target) -> bool) {
        self.sends.retain(|sends| is_listed(&sends.target));
    }
}
