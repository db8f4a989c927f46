//! Asks the platform's store on demand whether the daemon's copy of it is current.
//!
//! The watch of the store brings changes soon, but an answer may have been on its way for as
//! long as the daemon stood still or its link was cut. A decision that depends on what is not
//! listed needs an answer to a question that was asked after it arose.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::replica::Position;
use gooseberry_platform::store::Store;
use gooseberry_platform::store::WatchResult;
use tokio::sync::Mutex;
use tokio::time::timeout;

use crate::context::Context;
use crate::store_watch;

/// How long a decision waits for the store. It answers within milliseconds, or some hundred
/// milliseconds when slow.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// The connection for these questions. One answer serves all decisions that arose before its
/// question.
#[derive(Debug)]
pub struct Checker {
    store: Mutex<Store>,
}

impl Checker {
    /// Creates a checker of the store at this address.
    #[must_use]
    pub fn new(store: SocketAddr) -> Self {
        Self {
            store: Mutex::new(Store::new(store)),
        }
    }

    /// Brings the daemon's copy to the store's contents of `since` or later. Returns false if
    /// the store does not answer in time.
    pub async fn bring_up_to(&self, context: &Arc<Context>, since: Millis) -> bool {
        let checking = self.check(context, since);
        let is_current = timeout(CHECK_TIMEOUT, checking).await.unwrap_or(false);
        if !is_current {
            let now = context.now();
            let confirmed_age = context.state().confirmed_age(now);
            log::info!(
                confirmed_ms:? = confirmed_age.map(|age| age.0),
                took_ms = (now - since).0;
                "the store did not confirm the list of targets in time"
            );
        }
        is_current
    }

    async fn check(&self, context: &Arc<Context>, since: Millis) -> bool {
        let mut store = self.store.lock().await;
        if context.state().asked_at() >= Some(since) {
            return true;
        }
        let asked_at = context.now();
        let known = context.state().replica().whole_position();
        let read = store.watch(known.revision, Millis::ZERO).await;
        let contents = match store_watch::check_era(read, store.era(), known) {
            Ok(WatchResult::Changes(contents)) => contents,
            // The watch reads everything again.
            Ok(WatchResult::HistoryLost) => return false,
            Err(error) => {
                log::debug!("a check of the store failed: {error:#}");
                return false;
            }
        };
        let through = Position {
            era: contents.era,
            revision: contents.changes.through,
        };
        // Peers learn of changes from the daemons that watch the store.
        store_watch::apply(context, contents, context.now());
        context.state().record_answer(through, asked_at)
    }
}
