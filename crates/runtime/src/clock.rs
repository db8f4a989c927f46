//! The monotonic clock of the process.

use std::time::Duration;
use std::time::Instant;

use gooseberry_kernel::clock::Millis;

/// Counts milliseconds from the start of the process; it never steps back, and
/// goes on while the process is paused.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts at zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time now.
    #[must_use]
    pub fn now(self) -> Millis {
        let elapsed = self.start.elapsed().as_millis();
        Millis(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    /// Returns how long it is until the moment, for a timer.
    #[must_use]
    pub fn until(self, moment: Millis) -> Duration {
        Duration::from_millis((moment - self.now()).0)
    }
}
