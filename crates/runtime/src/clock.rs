//! The monotonic clock of the process.

use std::time::Duration;
use std::time::Instant;

use gooseberry_kernel::clock::Millis;

/// A monotonic clock in milliseconds since its start.
///
/// It never steps back, and it advances while the process is paused.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the milliseconds since the start.
    #[must_use]
    pub fn now(self) -> Millis {
        let elapsed = self.start.elapsed().as_millis();
        Millis(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    /// Returns the duration until a time of this clock; zero if it has passed.
    #[must_use]
    pub fn until(self, moment: Millis) -> Duration {
        Duration::from_millis((moment - self.now()).0)
    }
}
