//! The pool of idle connections to targets.
//!
//! Connections are looked up by the target's name and not by its address: the
//! address of a target that is gone may soon belong to another one.
//!
//! A faulty target may send a reply twice, and the second copy comes where the reply to the
//! next call on the connection is expected. It must not be taken for that reply, so only
//! calls of one [`Lane`] follow one another on a connection, and only after a reply that
//! can be told from all that may follow it.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use gooseberry_connectors::http_connection::HttpConnection;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;

/// How long an idle connection is kept if its target states no limit.
pub const IDLE_DEFAULT: Millis = Millis(1_500);
/// How long an idle connection is kept at most.
pub const IDLE_MAX: Millis = Millis(20_000);

/// The calls that may use a connection one after the other, by what tells their replies
/// apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    /// Requests of clients: a reply names its attempt.
    Requests,
    /// Calls for pieces: a reply with results has handles that no other reply has.
    Pieces,
    /// Calls that free results: nothing in a reply is used.
    Frees,
}

/// A connection that no call is using.
#[derive(Debug)]
struct IdleConnection {
    target: name::Target,
    lane: Lane,
    http_connection: HttpConnection,
    /// When it became idle.
    since: Millis,
    /// When it expires.
    until: Millis,
}

/// The idle connections, oldest first.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<Vec<IdleConnection>>,
}

impl Pool {
    /// Takes the most recently used connection to a target for calls of a lane that has
    /// been idle for at most `idle_max`.
    pub fn take(
        &self,
        target: &name::Target,
        lane: Lane,
        idle_max: Millis,
        now: Millis,
    ) -> Option<HttpConnection> {
        let mut idle = self.lock();
        idle.retain(|connection| !connection.http_connection.is_closed() && connection.until > now);
        let is_usable = |connection: &IdleConnection| {
            connection.target == *target
                && connection.lane == lane
                && connection.since + idle_max >= now
        };
        let index = idle.iter().rposition(is_usable)?;
        Some(idle.remove(index).http_connection)
    }

    /// Adds a connection, unless `count_max` idle ones to the target are kept
    /// already. `keep_alive` is how long the target keeps idle connections, if
    /// it says so.
    pub fn put(
        &self,
        target: &name::Target,
        lane: Lane,
        http_connection: HttpConnection,
        keep_alive: Option<Millis>,
        count_max: usize,
        now: Millis,
    ) {
        // Only 3/5 of the target's own limit, so that the target does not close a
        // connection just as it is used again.
        let keep_alive =
            keep_alive.map_or(IDLE_DEFAULT, |keep_alive| Millis((keep_alive * 3).0 / 5));
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
            lane,
            http_connection,
            since: now,
            until: now + keep_alive.min(IDLE_MAX),
        });
    }

    /// Closes connections that have expired or are closed, and those to targets
    /// that are gone.
    pub fn evict_stale(&self, now: Millis, is_listed: impl Fn(&name::Target) -> bool) {
        let is_open = |connection: &IdleConnection| {
            !connection.http_connection.is_closed() && connection.until > now
        };
        self.lock()
            .retain(|connection| is_open(connection) && is_listed(&connection.target));
    }

    fn lock(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
