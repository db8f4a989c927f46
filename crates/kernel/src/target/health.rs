//! Health of targets, judged by the outcome of calls.
//!
//! Health checks of a faulty target may pass, so only calls count. A target
//! that fails is avoided for a time that doubles with each consecutive failure.
//! It is still used if all other targets are avoided too, so that a fault in
//! this daemon's own network cannot take a whole service out.

use crate::clock::Millis;
use crate::name;

/// Share of failures above which a target is avoided, in thousandths.
///
/// A single failure after successful calls stays below it.
const AVOID_ABOVE_PERMILLE: u32 = 350;
/// Weight of the newest call in the moving share of failures, in thousandths.
const NEWEST_WEIGHT_PERMILLE: u32 = 250;
/// The time for which a target is avoided at first.
const AVOIDED_MIN: Millis = Millis(500);
/// The longest time for which a target is avoided.
const AVOIDED_MAX: Millis = Millis(4_000);

#[derive(Clone, Debug)]
struct TargetRecord {
    target: name::Target,
    failure_permille: u32,
    consecutive_failures: u32,
    avoided_until: Millis,
}

/// The health of the targets with failed calls, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Health {
    records: Vec<TargetRecord>,
}

impl Health {
    /// Records a successful call.
    pub fn record_success(&mut self, target: &name::Target) {
        if let Ok(index) = self.find(target) {
            let record = &mut self.records[index];
            record.failure_permille -= record.failure_permille * NEWEST_WEIGHT_PERMILLE / 1000;
            record.consecutive_failures = 0;
        }
    }

    /// Records a failed call. Returns until when the target is avoided, if it
    /// is.
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

    /// Records that the target could not be reached. It is avoided immediately,
    /// as after two failures.
    pub fn record_unreachable(&mut self, target: &name::Target, now: Millis) {
        self.record_failure(target, now);
        self.record_failure(target, now);
    }

    /// Returns whether other targets are preferred to this one.
    #[must_use]
    pub fn is_avoided(&self, target: &name::Target, now: Millis) -> bool {
        let record = self.find(target).ok().map(|index| &self.records[index]);
        record.is_some_and(|record| record.avoided_until > now)
    }

    /// Drops the targets that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(&name::Target) -> bool) {
        self.records.retain(|record| is_listed(&record.target));
    }

    fn find(&self, target: &name::Target) -> Result<usize, usize> {
        self.records
            .binary_search_by(|record| record.target.cmp(target))
    }
}
