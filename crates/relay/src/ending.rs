//! The end of the process, as its requests see it.

use gooseberry_kernel::clock::Millis;
use tokio::sync::watch;

/// When the process ends.
#[derive(Debug)]
pub struct Ending {
    at: watch::Sender<Option<Millis>>,
    is_now: watch::Sender<bool>,
}

impl Default for Ending {
    fn default() -> Self {
        Self {
            at: watch::Sender::new(None),
            is_now: watch::Sender::new(false),
        }
    }
}

impl Ending {
    /// Says when the process will end.
    pub fn set(&self, at: Millis) {
        self.at.send_replace(Some(at));
    }

    /// Says that requests which have not been sent to a target must be refused.
    pub fn refuse_rest(&self) {
        self.is_now.send_replace(true);
    }

    /// Returns when the process will end, if it is shutting down.
    #[must_use]
    pub fn at(&self) -> Option<Millis> {
        *self.at.borrow()
    }

    /// Waits until what has not been sent to a target must be refused.
    pub async fn refused(&self) {
        let mut is_now = self.is_now.subscribe();
        // The sender lives as long as this value, so the wait cannot fail.
        let _ = is_now.wait_for(|is_now| *is_now).await;
    }
}
