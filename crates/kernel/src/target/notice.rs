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
    /// Until when it is remembered that the target leaves, if it said so.
    leaving_until: Millis,
    /// Until when the target wants no work.
    paused_until: Millis,
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
        let notice = self.notice_mut(target);
        let is_first = notice.leaving_until <= now;
        notice.leaving_until = now + MEMORY;
        is_first
    }

    /// Records an answer in which a target asks for no work for a time. An earlier
    /// one that asks for longer stays in force.
    pub fn record_pause(&mut self, target: &Target, pause: Millis, now: Millis) {
        let notice = self.notice_mut(target);
        notice.paused_until = notice.paused_until.max(now + pause);
    }

    /// Returns whether this run of a target has said that it leaves.
    #[must_use]
    pub fn is_leaving(&self, target: &Target, now: Millis) -> bool {
        let notice = self.notice(target);
        notice.is_some_and(|notice| notice.leaving_until > now)
    }

    /// Returns until when this run of a target wants no work; `None` if it wants some.
    #[must_use]
    pub fn paused_until(&self, target: &Target, now: Millis) -> Option<Millis> {
        let paused_until = self.notice(target)?.paused_until;
        (paused_until > now).then_some(paused_until)
    }

    /// Forgets what is over.
    pub fn expire(&mut self, now: Millis) {
        self.notices
            .retain(|notice| notice.leaving_until.max(notice.paused_until) > now);
    }

    fn notice(&self, target: &Target) -> Option<&Notice> {
        let index = self.find(&target.name).ok()?;
        Some(&self.notices[index]).filter(|notice| notice.started == target.started)
    }

    /// Returns the notice of this run of a target, which replaces that of another one.
    fn notice_mut(&mut self, target: &Target) -> &mut Notice {
        let fresh = || Notice {
            target: target.name.clone(),
            started: target.started,
            leaving_until: Millis::ZERO,
            paused_until: Millis::ZERO,
        };
        let index = self.find(&target.name).unwrap_or_else(|index| {
            self.notices.insert(index, fresh());
            index
        });
        if self.notices[index].started != target.started {
            self.notices[index] = fresh();
        }
        &mut self.notices[index]
    }

    fn find(&self, target: &name::Target) -> Result<usize, usize> {
        self.notices
            .binary_search_by(|notice| notice.target.cmp(target))
    }
}
