//! The end of the process, as its requests see it.

use gooseberry_kernel::clock::Millis;
use tokio::sync::watch;

/// When the process ends.
#[derive(Debug)]
pub struct Shutdown {
    ends_at: watch::Sender<Option<Millis>>,
    refuses_unsent: watch::Sender<bool>,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self {
            ends_at: watch::Sender::new(None),
            refuses_unsent: watch::Sender::new(false),
        }
    }
}

impl Shutdown {
    /// Says when the process will end.
    pub fn set_end(&self, ends_at: Millis) {
        self.ends_at.send_replace(Some(ends_at));
    }

    /// Says that requests which have not been sent to a target must be refused.
    pub fn refuse_unsent(&self) {
        self.refuses_unsent.send_replace(true);
    }

    /// Returns when the process will end, if it is shutting down.
    #[must_use]
    pub fn ends_at(&self) -> Option<Millis> {
        *self.ends_at.borrow()
    }

    /// Waits until what has not been sent to a target must be refused.
    pub async fn unsent_refused(&self) {
        let mut refuses_unsent = self.refuses_unsent.subscribe();
        // The sender lives as long as this value, so the wait cannot fail.
        let _ = refuses_unsent
            .wait_for(|refuses_unsent| *refuses_unsent)
            .await;
    }
}
