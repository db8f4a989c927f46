//! What a target bears, and what becomes of its calls beyond that.
//!
//! Up to its number of places a target works on each call at full speed.
//! Beyond it the calls share what there is, and a part is lost, as with an
//! engine that evicts its KV cache and computes it again.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use gooseberry_kernel::settings::TargetKind;

/// How often a call looks how fast it is worked on.
const SPEED_STEP: Duration = Duration::from_millis(25);
/// The speed lost beyond the places: the exponent of calls to places.
const OVERLOAD_EXPONENT: f64 = 1.5;
/// The share of the work that a cached prompt prefix saves.
const CACHED_SAVING: f64 = 0.4;
/// How much of an input counts as its prompt prefix, in bytes.
const PREFIX_BYTES: usize = 512;

/// What a target bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// How many calls it works on at full speed.
    pub slots: usize,
    /// How many times slower it is in cold start.
    pub cold_factor: u32,
    /// How many prompt prefixes it caches.
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
    /// Returns what a target of the kind bears under a load.
    #[must_use]
    pub fn of(kind: TargetKind) -> Self {
        let is_engine = kind == TargetKind::Engine;
        Self {
            slots: 8,
            cold_factor: 2,
            prefixes: if is_engine { 8 } else { 0 },
        }
    }

    /// Returns how fast each of the calls is worked on; 1 is full speed.
    #[must_use]
    pub fn speed(&self, in_flight: usize, is_warm: bool) -> f64 {
        let factor = if is_warm { 1 } else { self.cold_factor };
        let speed = 1.0 / f64::from(factor.max(1));
        if in_flight <= self.slots {
            return speed;
        }
        // Both are far below the numbers that a float counts exactly.
        #[allow(clippy::cast_precision_loss)]
        let crowding = in_flight as f64 / self.slots.max(1) as f64;
        speed / crowding.powf(OVERLOAD_EXPONENT)
    }
}

/// The prompt prefixes that a target has cached, the newest last.
#[derive(Debug, Default)]
pub struct Cache {
    prefixes: Vec<Bytes>,
}

impl Cache {
    /// Takes in the prefix of an input, and returns the work that is left.
    pub fn insert(&mut self, input: &Bytes, work: Duration, max: usize) -> Duration {
        if max == 0 {
            return work;
        }
        let prefix = input.slice(..input.len().min(PREFIX_BYTES));
        let count_before = self.prefixes.len();
        self.prefixes.retain(|one| *one != prefix);
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

    /// Forgets all, as a process does that ends.
    pub fn clear(&mut self) {
        self.prefixes.clear();
    }
}

/// Works until the work is done, at a speed that changes with the load.
pub async fn work(work: Duration, speed: impl Fn() -> f64) {
    let mut left = work;
    while !left.is_zero() {
        let speed = speed();
        let started = Instant::now();
        tokio::time::sleep(left.div_f64(speed).min(SPEED_STEP)).await;
        left = left.saturating_sub(started.elapsed().mul_f64(speed));
    }
}
