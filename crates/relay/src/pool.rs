//! Idle connections to targets.
//!
//! A connection is kept apart by the target's name, not only by its address:
//! the address of a target that is gone may soon belong to another one.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use gooseberry_connectors::http_connection::HttpConnection;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;

/// How long an idle connection is kept if its target does not say how long.
pub const KEPT_DEFAULT: Millis = Millis(1_500);
/// How long an idle connection is kept at most.
pub const KEPT_MAX: Millis = Millis(20_000);

#[derive(Debug)]
struct Idle {
    target: name::Target,
    link: HttpConnection,
    since: Millis,
    until: Millis,
}

/// The idle connections, oldest first.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<Vec<Idle>>,
}

impl Pool {
    /// Takes the connection to a target that was used last, if it was idle for
    /// no longer than the span.
    pub fn take(
        &self,
        target: &name::Target,
        idle_max: Millis,
        now: Millis,
    ) -> Option<HttpConnection> {
        let mut idle = self.lock();
        idle.retain(|one| !one.link.is_closed() && one.until > now);
        let is_fit = |one: &Idle| one.target == *target && one.since + idle_max >= now;
        let index = idle.iter().rposition(is_fit)?;
        Some(idle.remove(index).link)
    }

    /// Keeps a connection for the next request.
    ///
    /// At most so many idle connections to the target are kept.
    pub fn put(
        &self,
        target: &name::Target,
        link: HttpConnection,
        kept: Option<Millis>,
        most: usize,
        now: Millis,
    ) {
        // A margin, so that the target does not close it just as it is used.
        let kept = kept.map_or(KEPT_DEFAULT, |kept| Millis(kept.0 * 3 / 5));
        let mut idle = self.lock();
        if idle.iter().filter(|one| one.target == *target).count() >= most {
            return;
        }
        idle.push(Idle {
            target: target.clone(),
            link,
            since: now,
            until: now + kept.min(KEPT_MAX),
        });
    }

    /// Closes the connections to targets that are gone, and old ones.
    pub fn sweep(&self, now: Millis, is_listed: impl Fn(&name::Target) -> bool) {
        let is_good = |one: &Idle| !one.link.is_closed() && one.until > now;
        self.lock()
            .retain(|one| is_good(one) && is_listed(&one.target));
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
