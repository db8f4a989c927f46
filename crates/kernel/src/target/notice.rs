//! What targets say in their answers about the work that they want.
//!
//! A notice holds for one run of a target. It is newer than what the platform's store
//! or a peer says of that run, and holds also while the store is away. Another run at
//! the same address, or one under the same name that started at another time, is
//! another target.

use crate::clock::Millis;
use crate::name;
use crate::request::routing_table::Target;

/// How long a notice is remembered after the last answer that had it. A target that
/// leaves ends some seconds after its notice, but entries of it may come back for
/// longer, after an outage of the store.
const MEMORY: Millis = Millis(120_000);

#[derive(Clone, Debug)]
struct Notice {
    target: name::Target,
    /// When the run began to which it belongs, as the target's entry says.
    started: u64,
    last_at: Millis,
}

/// The notices of targets, sorted by target.
#[derive(Clone, Debug, Default)]
pub struct Notices {
    notices: Vec<Notice>,
}

impl Notices {
    /// Records an answer in which a target says that it leaves. Returns whether this
    /// is the first one of this run.
    pub fn record_leaving(&mut self, target: &Target, now: Millis) -> bool {
        let notice = Notice {
            target: target.name.clone(),
            started: target.started,
            last_at: now,
        };
        match self.find(&target.name) {
            Ok(index) => {
                let former = std::mem::replace(&mut self.notices[index], notice);
                former.started != target.started
            }
            Err(index) => {
                self.notices.insert(index, notice);
                true
            }
        }
    }

    /// Returns whether this run of a target has said that it leaves.
    #[must_use]
    pub fn is_leaving(&self, target: &Target) -> bool {
        let notice = self.find(&target.name).ok();
        notice.is_some_and(|index| self.notices[index].started == target.started)
    }

    /// Forgets old notices.
    pub fn expire(&mut self, now: Millis) {
        self.notices.retain(|notice| notice.last_at + MEMORY > now);
    }

    fn find(&self, target: &name::Target) -> Result<usize, usize> {
        self.notices
            .binary_search_by(|notice| notice.target.cmp(target))
    }
}
