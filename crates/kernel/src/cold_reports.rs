//! Passes on the platform's reports that targets are cold.
//!
//! The platform reports the loads of targets with a lag. The owner of a target
//! counts its calls itself, so the only new information in a report is that a
//! target which had been warm is cold. The daemons that read the platform pass
//! on just these reports in heartbeats, so that each owner learns about its
//! targets without asking the platform. A report counts only if it was made
//! after the target's last answer, see
//! [`record_cold_report`](crate::concurrency_limit::ConcurrencyLimit::record_cold_report).

use crate::clock::Millis;
use crate::derive::value;
use crate::id;

value! {
    /// A report that a target is cold.
    pub struct ColdReport {
        /// The target.
        pub target: id::Target,
        /// How long ago the report was made.
        pub age: Millis,
    }
}

/// How long a report is passed on.
pub const REPORT_TTL: Millis = Millis(10_000);
/// How many reports are passed on, so that a heartbeat does not grow with the
/// fleet. The newest are kept.
pub const REPORTS_MAX: usize = 32;

#[derive(Clone, Debug)]
struct ReceivedReport {
    target: id::Target,
    reported_at: Millis,
}

/// The recent reports of cold targets, one for each target.
#[derive(Clone, Debug, Default)]
pub struct ColdReports {
    /// Sorted by target.
    reports: Vec<ReceivedReport>,
}

impl ColdReports {
    /// Merges reports whose ages count back from `as_of`.
    ///
    /// Returns the targets whose report is newer than the known one, with the
    /// time at which the report was made.
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

    /// Returns all reports, to be sent to a peer.
    #[must_use]
    pub fn reports(&self, now: Millis) -> Vec<ColdReport> {
        let to_report = |report: &ReceivedReport| ColdReport {
            target: report.target.clone(),
            age: now - report.reported_at,
        };
        self.reports.iter().map(to_report).collect()
    }

    /// Drops the reports that are older than [`REPORT_TTL`].
    pub fn expire(&mut self, now: Millis) {
        self.reports
            .retain(|report| report.reported_at + REPORT_TTL > now);
    }

    /// Records a report and returns whether it is newer than the known one.
    ///
    /// The age of a report is counted back from when it was requested, not from
    /// when the answer arrived. So a report that comes back through a peer seems
    /// older by its transit time and is never mistaken for a newer one.
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
