//! What targets say in their answers about the work that they want.
//!
//! A notice is newer than what the platform's store or a peer says of the target, and holds
//! also while the store is away.
//!
//! That a target leaves holds for one run of it: another one at the same address, or one
//! under the same name that started at another time, is another target. A pause holds for
//! the name, since the entry of the run that has asked for it may be known only later. A
//! long one ends early if the entry shows that it was another run.

use crate::clock::Millis;
use crate::name;
use crate::request::routing_table::Target;

/// How long a notice is remembered after the last answer that had it. A target that
/// leaves ends some seconds after its notice, but entries of it may come back for
/// longer, after an outage of the store.
const MEMORY: Millis = Millis(120_000);

/// How long after it was asked for a pause holds for a run that may not have asked for it.
const OTHER_RUN_PAUSE_MAX: Millis = Millis(10_000);

#[derive(Clone, Debug)]
struct Notice {
    target: name::Target,
    /// When the run began to which it belongs, as the target's entry says.
    started: u64,
    /// Until when it is remembered that the target leaves.
    leaving_until: Millis,
}

#[derive(Clone, Debug)]
struct Pause {
    target: name::Target,
    /// The run that was listed when the target asked for it, if one was.
    started: Option<u64>,
    asked_at: Millis,
    until: Millis,
}

impl Pause {
    /// Returns the end of the pause for a run of the target.
    fn end_for(&self, started: Option<u64>) -> Millis {
        if started.is_some() && started == self.started {
            return self.until;
        }
        self.until.min(self.asked_at + OTHER_RUN_PAUSE_MAX)
    }
}

/// The notices of targets, each list sorted by target.
#[derive(Clone, Debug, Default)]
pub struct Notices {
    notices: Vec<Notice>,
    pauses: Vec<Pause>,
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

    /// Records an answer in which a target asks for no work for a time; `started` is its
    /// run, if one is listed. An earlier one that asks for longer stays in force.
    pub fn record_pause(
        &mut self,
        target: &name::Target,
        started: Option<u64>,
        pause: Millis,
        now: Millis,
    ) {
        let fresh = Pause {
            target: target.clone(),
            started,
            asked_at: now,
            until: now + pause,
        };
        match self.find_pause(target) {
            Ok(index) => {
                let until = self.pauses[index].end_for(started).max(fresh.until);
                self.pauses[index] = Pause { until, ..fresh };
            }
            Err(index) => self.pauses.insert(index, fresh),
        }
    }

    /// Returns whether this run of a target has said that it leaves.
    #[must_use]
    pub fn is_leaving(&self, target: &Target, now: Millis) -> bool {
        let notice = self.notice(target);
        notice.is_some_and(|notice| notice.leaving_until > now)
    }

    /// Returns until when a target wants no work; `None` if it wants some.
    #[must_use]
    pub fn paused_until(&self, target: &Target, now: Millis) -> Option<Millis> {
        let pause = self.find_pause(&target.name).ok();
        let until = self.pauses[pause?].end_for(Some(target.started));
        (until > now).then_some(until)
    }

    /// Forgets what is over.
    pub fn expire(&mut self, now: Millis) {
        self.notices.retain(|notice| notice.leaving_until > now);
        self.pauses.retain(|pause| pause.until > now);
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

    fn find_pause(&self, target: &name::Target) -> Result<usize, usize> {
        self.pauses
            .binary_search_by(|pause| pause.target.cmp(target))
    }

    fn find(&self, target: &name::Target) -> Result<usize, usize> {
        self.notices
            .binary_search_by(|notice| notice.target.cmp(target))
    }
}
