//! The health of a target, as calls to it show.
//!
//! Status checks of a faulty target may be good, so only calls count. A target
//! that fails is avoided for a while, which grows with each failure in a row;
//! it is still taken if every other target is avoided too, so that a fault of
//! this daemon's own network cannot take a whole service out.

use crate::clock::Millis;
use crate::name;

/// The share of failures, in thousandths, above which a target is avoided.
///
/// A single failure after good calls stays below it.
const AVOID_ABOVE_PERMILLE: u32 = 350;
/// The weight of the newest call, in thousandths.
const NEWEST_WEIGHT_PERMILLE: u32 = 250;
/// How long a target is avoided at first.
const AVOIDED_MIN: Millis = Millis(500);
/// How long a target is avoided at most.
const AVOIDED_MAX: Millis = Millis(4_000);

#[derive(Clone, Debug)]
struct TargetRecord {
    target: name::Target,
    failure_permille: u32,
    consecutive_failures: u32,
    avoided_until: Millis,
}

/// The health of all targets that this daemon has called.
#[derive(Clone, Debug, Default)]
pub struct Health {
    records: Vec<TargetRecord>,
}

impl Health {
    /// Notes a call that the target answered as it should.
    pub fn record_success(&mut self, target: &name::Target) {
        if let Ok(index) = self.find(target) {
            let record = &mut self.records[index];
            record.failure_permille -= record.failure_permille * NEWEST_WEIGHT_PERMILLE / 1000;
            record.consecutive_failures = 0;
        }
    }

    /// Notes a call that failed, and returns until when the target is avoided.
    pub fn record_failure(&mut self, target: &name::Target, now: Millis) -> Option<Millis> {
        let index = self.find(target).unwrap_or_else(|index| {
            let record = TargetRecord {
                target: target.clone(),
                failure_permille: 0,
                consecutive_failures: 0,
                avoided_until: Millis::ZERO,
            };
            self.records.insert(index, record);
            index
        });
        let record = &mut self.records[index];
        record.failure_permille +=
            (1000 - record.failure_permille.min(1000)) * NEWEST_WEIGHT_PERMILLE / 1000;
        record.consecutive_failures += 1;
        if record.failure_permille <= AVOID_ABOVE_PERMILLE && record.consecutive_failures < 2 {
            return None;
        }
        let doubled = AVOIDED_MIN.0 << record.consecutive_failures.min(4).saturating_sub(1);
        record.avoided_until = now + Millis(doubled.min(AVOIDED_MAX.0));
        Some(record.avoided_until)
    }

    /// Notes that the target cannot be reached, and avoids it at once.
    pub fn record_unreachable(&mut self, target: &name::Target, now: Millis) {
        self.record_failure(target, now);
        self.record_failure(target, now);
    }

    /// Tells whether other targets go before this one.
    #[must_use]
    pub fn is_avoided(&self, target: &name::Target, now: Millis) -> bool {
        let record = self.find(target).ok().map(|index| &self.records[index]);
        record.is_some_and(|record| record.avoided_until > now)
    }

    /// Forgets targets that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(&name::Target) -> bool) {
        self.records.retain(|record| is_listed(&record.target));
    }

    fn find(&self, target: &name::Target) -> Result<usize, usize> {
        self.records
            .binary_search_by(|record| record.target.cmp(target))
    }
}
