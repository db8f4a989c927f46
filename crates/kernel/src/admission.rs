//! Which requests a daemon takes on.
//!
//! While there is room, any workspace may use it. When little is left, each
//! workspace is held to its weighted share, so that one in flood does not take
//! another's place; a share that is not used is lent, but for the last part of
//! the room, in which a workspace that comes back finds a place at once.
//!
//! A request is also refused at its start, in proportion, while the targets of
//! one of its stages turn most calls away: else the stages before would work
//! for nothing. `docs/design/limits.md` weighs both.

use crate::answer::Kind;
use crate::clock::Millis;
use crate::derive::value;
use crate::id;

value! {
    /// The requests that one workspace has in progress.
    struct WorkspaceUse {
        workspace: id::Workspace,
        weight: u16,
        count: usize,
    }
}

/// The part of the room, in percent, that may be used without regard to shares.
const UNSHARED_PERCENT: usize = 75;
/// The part of the room, in percent, in which no share is lent.
const RESERVED_PERCENT: usize = 10;

/// The requests in progress at one daemon, by workspace.
#[derive(Clone, Debug, Default)]
pub struct ShareLimiter {
    workspaces: Vec<WorkspaceUse>,
    total: usize,
}

impl ShareLimiter {
    /// Takes a place for a request of the workspace.
    ///
    /// # Errors
    /// Returns [`Kind::Overloaded`] if the daemon is full, and
    /// [`Kind::OverShare`] if the workspace has used up its share.
    pub fn acquire(
        &mut self,
        workspace: &id::Workspace,
        weight: u16,
        limit: usize,
    ) -> Result<(), Kind> {
        if self.total >= limit {
            return Err(Kind::Overloaded);
        }
        let index = self.workspace_index(workspace);
        self.workspaces[index].weight = weight;
        let count = self.workspaces[index].count;
        let is_crowded = self.total * 100 >= limit * UNSHARED_PERCENT;
        if is_crowded && count >= self.share(weight, limit) {
            return Err(Kind::OverShare);
        }
        self.workspaces[index].count += 1;
        self.total += 1;
        Ok(())
    }

    /// Takes a place without regard to shares, as the baseline does.
    ///
    /// # Errors
    /// Returns [`Kind::Overloaded`] if the daemon is full.
    pub fn acquire_unshared(
        &mut self,
        workspace: &id::Workspace,
        limit: usize,
    ) -> Result<(), Kind> {
        if self.total >= limit {
            return Err(Kind::Overloaded);
        }
        let index = self.workspace_index(workspace);
        self.workspaces[index].count += 1;
        self.total += 1;
        Ok(())
    }

    /// Gives a place back.
    pub fn release(&mut self, workspace: &id::Workspace) {
        let found = self
            .workspaces
            .binary_search_by(|known| known.workspace.cmp(workspace));
        let Ok(index) = found else { return };
        self.workspaces[index].count = self.workspaces[index].count.saturating_sub(1);
        self.total = self.total.saturating_sub(1);
        if self.workspaces[index].count == 0 {
            self.workspaces.remove(index);
        }
    }

    /// Returns how many requests are in progress.
    #[must_use]
    pub fn total(&self) -> usize {
        self.total
    }

    fn workspace_index(&mut self, workspace: &id::Workspace) -> usize {
        let found = self
            .workspaces
            .binary_search_by(|known| known.workspace.cmp(workspace));
        found.unwrap_or_else(|index| {
            let empty = WorkspaceUse {
                workspace: workspace.clone(),
                weight: 1,
                count: 0,
            };
            self.workspaces.insert(index, empty);
            index
        })
    }

    /// Returns a workspace's share among those that are active now.
    ///
    /// One that is alone has all of the room but the part that is kept.
    fn share(&self, weight: u16, limit: usize) -> usize {
        let weights: usize = self
            .workspaces
            .iter()
            .map(|known| usize::from(known.weight))
            .sum();
        let share = limit * usize::from(weight) / weights.max(1);
        let unreserved = limit - limit * RESERVED_PERCENT / 100;
        share.min(unreserved).max(1)
    }
}

/// How long the counts of a pool last before they are halved.
const HALF_LIFE: Millis = Millis(500);
/// How many times the accepted requests may come before some are refused.
const ALLOWED_REQUEST_QUARTERS: u64 = 6;
/// How many more may come, so that a few refused requests at a quiet daemon do
/// not refuse the next one.
const ALLOWED_EXTRA_REQUESTS: u64 = 10;

#[derive(Clone, Debug)]
struct PoolCounts {
    pool: id::Pool,
    requested: u64,
    accepted: u64,
    halved_at: Millis,
}

/// How many stages of late each pool has accepted, at one daemon.
#[derive(Clone, Debug, Default)]
pub struct PoolThrottle {
    pools: Vec<PoolCounts>,
}

impl PoolThrottle {
    /// Notes whether the targets of a pool took a stage.
    pub fn record(&mut self, pool: &id::Pool, is_accepted: bool, now: Millis) {
        let counts = self.counts_mut(pool, now);
        counts.requested += 1;
        counts.accepted += u64::from(is_accepted);
    }

    /// Decides whether a request that needs the pool is refused at its start.
    ///
    /// So many are let through that the pool is asked for half as much again
    /// as it accepted of late. So the daemon learns when there is room again.
    #[must_use]
    pub fn should_refuse(&mut self, pool: &id::Pool, random: u64, now: Millis) -> bool {
        let counts = self.counts_mut(pool, now);
        let allowed = counts.accepted * ALLOWED_REQUEST_QUARTERS / 4 + ALLOWED_EXTRA_REQUESTS;
        let excess = counts.requested.saturating_sub(allowed);
        let is_refused = random % (counts.requested + 1) < excess;
        // A request that is refused here asks for the pool as well; otherwise
        // the part that is let through would grow back at once.
        counts.requested += u64::from(is_refused);
        is_refused
    }

    fn counts_mut(&mut self, pool: &id::Pool, now: Millis) -> &mut PoolCounts {
        let found = self.pools.binary_search_by(|counts| counts.pool.cmp(pool));
        let index = found.unwrap_or_else(|index| {
            let empty = PoolCounts {
                pool: pool.clone(),
                requested: 0,
                accepted: 0,
                halved_at: now,
            };
            self.pools.insert(index, empty);
            index
        });
        let counts = &mut self.pools[index];
        let halvings = ((now - counts.halved_at).0 / HALF_LIFE.0).min(63);
        counts.requested >>= halvings;
        counts.accepted >>= halvings;
        counts.halved_at = counts.halved_at + Millis(halvings * HALF_LIFE.0);
        counts
    }
}
