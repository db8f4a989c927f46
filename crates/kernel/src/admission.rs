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
    struct Use {
        workspace: id::Workspace,
        weight: u16,
        count: usize,
    }
}

/// The part of the room, in percent, that may be used without regard to shares.
const FREE_PERCENT: usize = 75;
/// The part of the room, in percent, in which no share is lent.
const KEPT_PERCENT: usize = 10;

/// The requests in progress at one daemon, by workspace.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    uses: Vec<Use>,
    total: usize,
}

impl Limiter {
    /// Takes a place for a request of the workspace.
    ///
    /// # Errors
    /// Returns [`Kind::Overloaded`] if the daemon is full, and
    /// [`Kind::OverShare`] if the workspace has used up its share.
    pub fn enter(
        &mut self,
        workspace: &id::Workspace,
        weight: u16,
        limit: usize,
    ) -> Result<(), Kind> {
        if self.total >= limit {
            return Err(Kind::Overloaded);
        }
        let index = self.index(workspace);
        self.uses[index].weight = weight;
        let count = self.uses[index].count;
        let is_crowded = self.total * 100 >= limit * FREE_PERCENT;
        if is_crowded && count >= self.share(weight, limit) {
            return Err(Kind::OverShare);
        }
        self.uses[index].count += 1;
        self.total += 1;
        Ok(())
    }

    /// Takes a place without regard to shares, as the baseline does.
    ///
    /// # Errors
    /// Returns [`Kind::Overloaded`] if the daemon is full.
    pub fn enter_unshared(&mut self, workspace: &id::Workspace, limit: usize) -> Result<(), Kind> {
        if self.total >= limit {
            return Err(Kind::Overloaded);
        }
        let index = self.index(workspace);
        self.uses[index].count += 1;
        self.total += 1;
        Ok(())
    }

    /// Gives a place back.
    pub fn leave(&mut self, workspace: &id::Workspace) {
        let found = self
            .uses
            .binary_search_by(|one| one.workspace.cmp(workspace));
        let Ok(index) = found else { return };
        self.uses[index].count = self.uses[index].count.saturating_sub(1);
        self.total = self.total.saturating_sub(1);
        if self.uses[index].count == 0 {
            self.uses.remove(index);
        }
    }

    /// Returns how many requests are in progress.
    #[must_use]
    pub fn total(&self) -> usize {
        self.total
    }

    fn index(&mut self, workspace: &id::Workspace) -> usize {
        let found = self
            .uses
            .binary_search_by(|one| one.workspace.cmp(workspace));
        found.unwrap_or_else(|index| {
            let unused = Use {
                workspace: workspace.clone(),
                weight: 1,
                count: 0,
            };
            self.uses.insert(index, unused);
            index
        })
    }

    /// Returns a workspace's share among those that are active now.
    ///
    /// One that is alone has all of the room but the part that is kept.
    fn share(&self, weight: u16, limit: usize) -> usize {
        let weights: usize = self.uses.iter().map(|one| usize::from(one.weight)).sum();
        let share = limit * usize::from(weight) / weights.max(1);
        let most = limit - limit * KEPT_PERCENT / 100;
        share.min(most).max(1)
    }
}

/// How long the counts of a pool last before they are halved.
const HALVING: Millis = Millis(500);
/// How many times the accepted requests may come before some are refused.
const ALLOWED_QUARTERS: u64 = 6;
/// How many more may come, so that a few refused requests at a quiet daemon do
/// not refuse the next one.
const SPARE: u64 = 10;

#[derive(Clone, Debug)]
struct Outcomes {
    pool: id::Pool,
    asked: u64,
    accepted: u64,
    halved_at: Millis,
}

/// How many stages of late each pool has accepted, at one daemon.
#[derive(Clone, Debug, Default)]
pub struct Pressure {
    pools: Vec<Outcomes>,
}

impl Pressure {
    /// Notes whether the targets of a pool took a stage.
    pub fn note(&mut self, pool: &id::Pool, is_accepted: bool, now: Millis) {
        let outcomes = self.outcomes(pool, now);
        outcomes.asked += 1;
        outcomes.accepted += u64::from(is_accepted);
    }

    /// Decides whether a request that needs the pool is refused at its start.
    ///
    /// So many are let through that the pool is asked for half as much again
    /// as it accepted of late. So the daemon learns when there is room again.
    #[must_use]
    pub fn is_refused(&mut self, pool: &id::Pool, random: u64, now: Millis) -> bool {
        let outcomes = self.outcomes(pool, now);
        let allowed = outcomes.accepted * ALLOWED_QUARTERS / 4 + SPARE;
        let excess = outcomes.asked.saturating_sub(allowed);
        let is_refused = random % (outcomes.asked + 1) < excess;
        // A request that is refused here asks for the pool as well; otherwise
        // the part that is let through would grow back at once.
        outcomes.asked += u64::from(is_refused);
        is_refused
    }

    fn outcomes(&mut self, pool: &id::Pool, now: Millis) -> &mut Outcomes {
        let found = self.pools.binary_search_by(|one| one.pool.cmp(pool));
        let index = found.unwrap_or_else(|index| {
            let unknown = Outcomes {
                pool: pool.clone(),
                asked: 0,
                accepted: 0,
                halved_at: now,
            };
            self.pools.insert(index, unknown);
            index
        });
        let outcomes = &mut self.pools[index];
        let halvings = ((now - outcomes.halved_at).0 / HALVING.0).min(63);
        outcomes.asked >>= halvings;
        outcomes.accepted >>= halvings;
        outcomes.halved_at = outcomes.halved_at + Millis(halvings * HALVING.0);
        outcomes
    }
}
