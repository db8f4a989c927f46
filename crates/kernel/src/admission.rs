//! Which requests a daemon takes on.
//!
//! While there is room, any workspace may use it. When little is left, each
//! workspace is held to its weighted share, so that one in flood does not take
//! another's place; a share that is not used is lent.

use crate::answer::Kind;
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

/// The requests in progress at one daemon, by workspace.
#[derive(Clone, Debug, Default)]
pub struct Room {
    uses: Vec<Use>,
    total: usize,
}

impl Room {
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
        let is_crowded = self.total * 100 >= limit * FREE_PERCENT;
        if is_crowded && self.uses[index].count >= self.share(weight, limit) {
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
    fn share(&self, weight: u16, limit: usize) -> usize {
        let weights: usize = self.uses.iter().map(|one| usize::from(one.weight)).sum();
        (limit * usize::from(weight) / weights.max(1)).max(1)
    }
}
