//! What the platform reports about the loads of targets, with a lag.
//!
//! The owner of a target counts its calls itself, so of a report only one thing
//! is news: that a target which had been warm is cold. The readers of the
//! platform pass on just these, in greetings, so that each owner learns of its
//! targets without asking. A report counts only if it was made after the
//! target's last answer; see [`crate::concurrency_limit::ConcurrencyLimit::record_cold_report`].

use crate::clock::Millis;
use crate::derive::value;
use crate::id;

value! {
    /// A report that a target is cold.
    pub struct Cold {
        /// The target.
        pub target: id::Target,
        /// How long ago it was reported so.
        pub age: Millis,
    }
}

/// How long a report is passed on.
pub const MEMORY: Millis = Millis(10_000);
/// How many reports are passed on, so that a greeting does not grow with the
/// fleet. The newest are kept.
pub const REPORTS_MAX: usize = 32;

#[derive(Clone, Debug)]
struct Known {
    target: id::Target,
    at: Millis,
}

/// The targets that were reported cold lately.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    /// Sorted by target.
    known: Vec<Known>,
}

impl Reports {
    /// Takes in reports as of the moment `told_at`, and returns those that are
    /// newer than what was known, with the moment at which they were made.
    pub fn merge(&mut self, reports: &[Cold], told_at: Millis) -> Vec<(id::Target, Millis)> {
        let mut news = Vec::new();
        for report in reports {
            let at = told_at - report.age;
            if self.note(&report.target, at) {
                news.push((report.target.clone(), at));
            }
        }
        self.drop_oldest();
        news
    }

    /// Returns the reports for a peer.
    #[must_use]
    pub fn reports(&self, now: Millis) -> Vec<Cold> {
        let as_told = |known: &Known| Cold {
            target: known.target.clone(),
            age: now - known.at,
        };
        self.known.iter().map(as_told).collect()
    }

    /// Forgets what was reported long ago.
    pub fn tick(&mut self, now: Millis) {
        self.known.retain(|known| known.at + MEMORY > now);
    }

    /// Notes a report, and tells whether it is newer than what was known.
    ///
    /// The moment that a report was asked for stands for that of the answer,
    /// so one that comes back by way of a peer seems older by its journey and
    /// is never taken for a newer one.
    fn note(&mut self, target: &id::Target, at: Millis) -> bool {
        match self.known.binary_search_by(|one| one.target.cmp(target)) {
            Ok(index) if self.known[index].at >= at => false,
            Ok(index) => {
                self.known[index].at = at;
                true
            }
            Err(index) => {
                let target = target.clone();
                self.known.insert(index, Known { target, at });
                true
            }
        }
    }

    fn drop_oldest(&mut self) {
        while self.known.len() > REPORTS_MAX {
            let oldest = self.known.iter().enumerate().min_by_key(|(_, one)| one.at);
            let Some((index, _)) = oldest else { return };
            self.known.remove(index);
        }
    }
}
