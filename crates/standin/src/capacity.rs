//! Model of the capacity of a target and of its slowdown under overload.
//!
//! Up to its number of slots a target works on each call at full speed. Beyond
//! that the calls share the capacity, and the total throughput drops, as with
//! an engine that evicts entries of its KV cache and computes them again.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use gooseberry_kernel::settings::TargetKind;

/// Interval at which the speed of a running call is computed again.
const SPEED_STEP: Duration = Duration::from_millis(25);
/// Above its slots the speed of a target is divided by the ratio of calls to
/// slots raised to this power. An exponent above 1 reduces total throughput.
const OVERLOAD_EXPONENT: f64 = 1.5;
/// Share of the work that a cached prompt prefix saves.
const CACHED_SAVING: f64 = 0.4;
/// Length of the part of an input that counts as its prompt prefix, in bytes.
const PREFIX_BYTES: usize = 512;

/// Capacity of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Number of concurrent calls that it works on at full speed.
    pub slots: usize,
    /// Factor by which it is slower while it is cold.
    pub cold_factor: u32,
    /// Number of prompt prefixes that it caches.
    pub prefixes: usize,
}

impl Default for Capacity {
    fn default() -> Self {
        Self {
            slots: usize::MAX,
            cold_factor: 1,
            prefixes: 0,
        }
    }
}

impl Capacity {
    /// Returns the capacity of a target of the kind in load runs.
    #[must_use]
    pub fn of(kind: TargetKind) -> Self {
        let is_engine = kind == TargetKind::Engine;
        Self {
            slots: 8,
            cold_factor: 2,
            prefixes: if is_engine { 8 } else { 0 },
        }
    }

    /// Returns the speed of each of the calls; 1 is full speed.
    #[must_use]
    pub fn speed(&self, in_flight: usize, is_warm: bool) -> f64 {
        let factor = if is_warm { 1 } else { self.cold_factor };
        let speed = 1.0 / f64::from(factor.max(1));
        if in_flight <= self.slots {
            return speed;
        }
        // Both counts are far below 2^53, so an f64 holds them exactly.
        #[allow(clippy::cast_precision_loss)]
        let load_ratio = in_flight as f64 / self.slots.max(1) as f64;
        speed / load_ratio.powf(OVERLOAD_EXPONENT)
    }
}

/// LRU cache of prompt prefixes, the most recently used last.
#[derive(Debug, Default)]
pub struct Cache {
    prefixes: Vec<Bytes>,
}

impl Cache {
    /// Inserts the prefix of an input, evicts the least recently used prefix
    /// above `max`, and returns the remaining work of the call.
    pub fn insert(&mut self, input: &Bytes, work: Duration, max: usize) -> Duration {
        if max == 0 {
            return work;
        }
        let prefix = input.slice(..input.len().min(PREFIX_BYTES));
        let count_before = self.prefixes.len();
        self.prefixes.retain(|cached| *cached != prefix);
        let is_cached = self.prefixes.len() < count_before;
        self.prefixes.push(prefix);
        if self.prefixes.len() > max {
            self.prefixes.remove(0);
        }
        if is_cached {
            work.mul_f64(1.0 - CACHED_SAVING)
        } else {
            work
        }
    }

    /// Removes all prefixes, as the end of the process does.
    pub fn clear(&mut self) {
        self.prefixes.clear();
    }
}

/// Sleeps until an amount of work is done, at a speed that changes with the
/// load. `work` is its duration at full speed.
pub async fn work(work: Duration, speed: impl Fn() -> f64) {
    let mut left = work;
    while !left.is_zero() {
        let speed = speed();
        let started = Instant::now();
        tokio::time::sleep(left.div_f64(speed).min(SPEED_STEP)).await;
        left = left.saturating_sub(started.elapsed().mul_f64(speed));
    }
}
