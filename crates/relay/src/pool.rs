//! Idle connections to targets.
//!
//! A connection is kept apart by the target's name, not only by its address:
//! the address of a target that is gone may soon belong to another one.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use gooseberry_connectors::link::Link;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;

/// How long an idle connection is kept if its target does not say how long.
pub const IDLE_DEFAULT: Millis = Millis(1_500);
/// How long an idle connection is kept at most.
pub const IDLE_MAX: Millis = Millis(20_000);

#[derive(Debug)]
struct IdleConnection {
    target: name::Target,
    link: Link,
    since: Millis,
    until: Millis,
}

/// The idle connections, oldest first.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<Vec<IdleConnection>>,
}

impl Pool {
    /// Takes the connection to a target that was used last, if it was idle for
    /// no longer than the span.
    pub fn take(&self, target: &name::Target, idle_max: Millis, now: Millis) -> Option<Link> {
        let mut idle = self.lock();
        idle.retain(|connection| !connection.link.is_closed() && connection.until > now);
        let is_usable = |connection: &IdleConnection| {
            connection.target == *target && connection.since + idle_max >= now
        };
        let index = idle.iter().rposition(is_usable)?;
        Some(idle.remove(index).link)
    }

    /// Keeps a connection for the next request.
    ///
    /// At most so many idle connections to the target are kept.
    pub fn put(
        &self,
        target: &name::Target,
        link: Link,
        keep_alive: Option<Millis>,
        count_max: usize,
        now: Millis,
    ) {
        // A margin, so that the target does not close it just as it is used.
        let keep_alive = keep_alive.map_or(IDLE_DEFAULT, |keep_alive| Millis(keep_alive.0 * 3 / 5));
        let mut idle = self.lock();
        if idle
            .iter()
            .filter(|connection| connection.target == *target)
            .count()
            >= count_max
        {
            return;
        }
        idle.push(IdleConnection {
            target: target.clone(),
            link,
            since: now,
            until: now + keep_alive.min(IDLE_MAX),
        });
    }

    /// Closes the connections to targets that are gone, and old ones.
    pub fn evict_stale(&self, now: Millis, is_listed: impl Fn(&name::Target) -> bool) {
        let is_open =
            |connection: &IdleConnection| !connection.link.is_closed() && connection.until > now;
        self.lock()
            .retain(|connection| is_open(connection) && is_listed(&connection.target));
    }

    fn lock(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
