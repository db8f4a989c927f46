//! Tells the requests of a daemon that is shutting down how much time is left.

use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use tokio::sync::watch;

/// The progress of a shutdown.
#[derive(Debug)]
pub struct Shutdown {
    /// When the daemon stops serving; `None` before a shutdown.
    ends_at: watch::Sender<Option<Millis>>,
    /// Whether requests that have not been sent to a target yet are refused.
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
    /// Sets when the daemon stops serving.
    pub fn set_end(&self, ends_at: Millis) {
        self.ends_at.send_replace(Some(ends_at));
    }

    /// Starts to refuse requests that have not been sent to a target yet.
    pub fn refuse_unsent(&self) {
        self.refuses_unsent.send_replace(true);
    }

    /// Returns when the daemon stops serving, if it is shutting down.
    #[must_use]
    pub fn ends_at(&self) -> Option<Millis> {
        *self.ends_at.borrow()
    }

    /// Waits for something that a request needs before it is sent to a target.
    ///
    /// # Errors
    /// Returns [`Kind::ShuttingDown`] once such requests must be refused, since the daemon
    /// would end before they could be served.
    pub async fn wait_unsent<T>(&self, wait: impl Future<Output = T>) -> Result<T, Failure> {
        let mut refuses_unsent = self.refuses_unsent.subscribe();
        tokio::select! {
            biased;
            output = wait => Ok(output),
            // The sender lives as long as this value, so this cannot fail.
            _ = refuses_unsent.wait_for(|refuses_unsent| *refuses_unsent) => {
                Err(Kind::ShuttingDown.into())
            }
        }
    }
}
