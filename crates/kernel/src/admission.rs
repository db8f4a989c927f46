//! Admission control: decides which requests a daemon accepts.
//!
//! [`ShareLimiter`] bounds the requests in progress. While the daemon is not
//! crowded, any workspace may use the free capacity. When it is crowded, each
//! workspace is limited to its weighted share, so that one workspace that sends
//! too many requests does not crowd out the others. Unused shares are lent to
//! active workspaces, except for a reserved part of the capacity, so that a
//! workspace that becomes active again is admitted at once.
//!
//! [`PoolThrottle`] refuses a proportion of the requests for a pool while its
//! targets refuse most calls. Otherwise the work of the earlier stages of these
//! requests would be wasted. `docs/design/limits.md` compares alternatives.

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

/// The part of the limit, in percent, that may be used without regard to shares.
const UNSHARED_PERCENT: usize = 75;
/// The part of the limit, in percent, that is not lent, so that no workspace
/// alone can use it.
const RESERVED_PERCENT: usize = 10;

/// The requests in progress at one daemon, by workspace.
#[derive(Clone, Debug, Default)]
pub struct ShareLimiter {
    workspaces: Vec<WorkspaceUse>,
    total: usize,
}

impl ShareLimiter {
    /// Admits a request of the workspace, to be ended by [`Self::release`].
    ///
    /// `limit` is the number of requests that the daemon may have in progress.
    ///
    /// # Errors
    /// Returns [`Kind::Overloaded`] if the limit is reached, and
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

    /// Admits a request without regard to shares, as the baseline policy does.
    ///
    /// # Errors
    /// Returns [`Kind::Overloaded`] if the limit is reached.
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

    /// Ends an admitted request of the workspace.
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

    /// Returns the number of requests in progress.
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

    /// Returns how many requests a workspace may have, by its weight among the
    /// active workspaces; at most the part of the limit that is not reserved.
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

/// After how long the counts of a pool are halved.
const HALF_LIFE: Millis = Millis(500);
/// How many requests are let through for each accepted one, in quarters.
const ALLOWED_REQUEST_QUARTERS: u64 = 6;
/// How many requests are let through beyond that, so that a few refusals at a
/// daemon with little traffic do not cause more of them.
const ALLOWED_EXTRA_REQUESTS: u64 = 10;

#[derive(Clone, Debug)]
struct PoolCounts {
    pool: id::Pool,
    requested: u64,
    accepted: u64,
    halved_at: Millis,
}

/// Throttles requests by how many stages each pool accepted lately, as seen by
/// one daemon.
#[derive(Clone, Debug, Default)]
pub struct PoolThrottle {
    pools: Vec<PoolCounts>,
}

impl PoolThrottle {
    /// Records whether the targets of a pool accepted a stage.
    pub fn record(&mut self, pool: &id::Pool, is_accepted: bool, now: Millis) {
        let counts = self.counts_mut(pool, now);
        counts.requested += 1;
        counts.accepted += u64::from(is_accepted);
    }

    /// Returns whether to refuse a request that needs the pool, and counts the
    /// refused request.
    ///
    /// Requests are let through at up to one and a half times the rate that the
    /// pool accepted lately, so that the daemon notices when the pool accepts
    /// more again.
    #[must_use]
    pub fn should_refuse(&mut self, pool: &id::Pool, random: u64, now: Millis) -> bool {
        let counts = self.counts_mut(pool, now);
        let allowed = counts.accepted * ALLOWED_REQUEST_QUARTERS / 4 + ALLOWED_EXTRA_REQUESTS;
        let excess = counts.requested.saturating_sub(allowed);
        let is_refused = random % (counts.requested + 1) < excess;
        // Requests refused here count as demand as well. Otherwise the
        // proportion that is let through would rise again at once.
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
