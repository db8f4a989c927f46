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
    pub struct ColdReport {
        /// The target.
        pub target: id::Target,
        /// How long ago it was reported so.
        pub age: Millis,
    }
}

/// How long a report is passed on.
pub const REPORT_TTL: Millis = Millis(10_000);
/// How many reports are passed on, so that a greeting does not grow with the
/// fleet. The newest are kept.
pub const REPORTS_MAX: usize = 32;

#[derive(Clone, Debug)]
struct ReceivedReport {
    target: id::Target,
    reported_at: Millis,
}

/// The targets that were reported cold lately.
#[derive(Clone, Debug, Default)]
pub struct ColdReports {
    /// Sorted by target.
    reports: Vec<ReceivedReport>,
}

impl ColdReports {
    /// Takes in reports as of the moment `as_of`, and returns those that are
    /// newer than what was known, with the moment at which they were made.
    pub fn merge(&mut self, reports: &[ColdReport], as_of: Millis) -> Vec<(id::Target, Millis)> {
        let mut newer = Vec::new();
        for report in reports {
            let reported_at = as_of - report.age;
            if self.record(&report.target, reported_at) {
                newer.push((report.target.clone(), reported_at));
            }
        }
        self.drop_oldest();
        newer
    }

    /// Returns the reports for a peer.
    #[must_use]
    pub fn reports(&self, now: Millis) -> Vec<ColdReport> {
        let to_report = |report: &ReceivedReport| ColdReport {
            target: report.target.clone(),
            age: now - report.reported_at,
        };
        self.reports.iter().map(to_report).collect()
    }

    /// Forgets what was reported long ago.
    pub fn expire(&mut self, now: Millis) {
        self.reports
            .retain(|report| report.reported_at + REPORT_TTL > now);
    }

    /// Notes a report, and tells whether it is newer than what was known.
    ///
    /// The moment that a report was asked for stands for that of the answer,
    /// so one that comes back by way of a peer seems older by its journey and
    /// is never taken for a newer one.
    fn record(&mut self, target: &id::Target, reported_at: Millis) -> bool {
        match self
            .reports
            .binary_search_by(|report| report.target.cmp(target))
        {
            Ok(index) if self.reports[index].reported_at >= reported_at => false,
            Ok(index) => {
                self.reports[index].reported_at = reported_at;
                true
            }
            Err(index) => {
                let target = target.clone();
                self.reports.insert(
                    index,
                    ReceivedReport {
                        target,
                        reported_at,
                    },
                );
                true
            }
        }
    }

    fn drop_oldest(&mut self) {
        while self.reports.len() > REPORTS_MAX {
            let oldest = self
                .reports
                .iter()
                .enumerate()
                .min_by_key(|(_, report)| report.reported_at);
            let Some((index, _)) = oldest else { return };
            self.reports.remove(index);
        }
    }
}
