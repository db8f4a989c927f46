//! When a daemon asks a placer for an engine, and when it reports to one.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::name;
use crate::target::placement::Finish;

/// How long a request waits for a placer at most. A call takes a few milliseconds; waiting
/// for longer costs more than a worse engine.
pub const PLACE_TIMEOUT: Millis = Millis(40);
/// How long a placer that did not answer is not asked, so that few requests wait for a
/// daemon that is gone: peers take more than a second to notice that.
pub const SILENCE_PAUSE: Millis = Millis(500);
/// The shortest time between two calls with reports to one placer.
pub const REPORT_INTERVAL: Millis = Millis(100);
/// The largest number of reports in one call.
pub const REPORTS_MAX: usize = 256;
/// The largest number of reports that wait for one placer. A daemon ends less than one
/// request a millisecond, so more wait only if something is wrong.
const WAITING_MAX: usize = 4 * REPORTS_MAX;

/// The placers that did not answer lately.
#[derive(Clone, Debug, Default)]
pub struct Silences {
    /// Until when each of them is not asked, sorted by address.
    pauses: Vec<(SocketAddr, Millis)>,
}

impl Silences {
    /// Records that a placer did not answer.
    pub fn record(&mut self, placer: SocketAddr, now: Millis) {
        self.pauses.retain(|(_, until)| *until > now);
        let until = now + SILENCE_PAUSE;
        match self.find(placer) {
            Ok(index) => self.pauses[index].1 = until,
            Err(index) => self.pauses.insert(index, (placer, until)),
        }
    }

    /// Returns whether a placer may be asked.
    #[must_use]
    pub fn may_ask(&self, placer: SocketAddr, now: Millis) -> bool {
        self.find(placer)
            .map_or(true, |index| self.pauses[index].1 <= now)
    }

    fn find(&self, placer: SocketAddr) -> Result<usize, usize> {
        self.pauses
            .binary_search_by_key(&placer, |(address, _)| *address)
    }
}

/// The end of a request, and the group whose placer chose its engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The service of the engine.
    pub service: name::Service,
    /// The group of the engine.
    pub group: u32,
    /// How the request ended.
    pub finish: Finish,
}

/// The reports that wait to be sent.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    /// The reports for each placer, oldest first.
    waiting: Vec<(SocketAddr, Vec<Report>)>,
    sent_at: Option<Millis>,
}

impl Outbox {
    /// Adds a report for a placer. The oldest one is dropped if too many wait.
    pub fn push(&mut self, placer: SocketAddr, report: Report) {
        let found = self
            .waiting
            .iter()
            .position(|(address, _)| *address == placer);
        let index = found.unwrap_or_else(|| {
            self.waiting.push((placer, Vec::new()));
            self.waiting.len() - 1
        });
        let reports = &mut self.waiting[index].1;
        if reports.len() >= WAITING_MAX {
            reports.remove(0);
        }
        reports.push(report);
    }

    /// Takes the reports that are sent now, at most one call for each placer.
    pub fn take_due(&mut self, now: Millis) -> Vec<(SocketAddr, Vec<Report>)> {
        if self.sent_at.is_some_and(|at| at + REPORT_INTERVAL > now) {
            return Vec::new();
        }
        self.sent_at = Some(now);
        let take = |(placer, reports): &mut (SocketAddr, Vec<Report>)| {
            let count = reports.len().min(REPORTS_MAX);
            (*placer, reports.drain(..count).collect())
        };
        let due = self.waiting.iter_mut().map(take).collect();
        self.waiting.retain(|(_, reports)| !reports.is_empty());
        due
    }
}
