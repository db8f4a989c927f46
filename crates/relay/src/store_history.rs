//! Reads the store's history of the targets' entries, for streams that clients resume after all
//! daemons were lost.
//!
//! The oldest revision whose changes the store still has is searched by halving, so a reading
//! takes about as many calls as the revision has bits. One daemon of the fleet is asked about
//! such streams ([`crate::resumption`]), and it reads once for all of them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use anyhow::Context as _;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::mirror::Revision;
use gooseberry_kernel::request::version_history::Change;
use gooseberry_kernel::request::version_history::Reading;
use gooseberry_kernel::request::version_history::Search;
use gooseberry_platform::store::Store;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::context::Context;

/// How long a reading may take. The store answers each call within milliseconds, or some
/// hundred milliseconds when slow.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a client's request waits for a reading: a part of the time that its client waits
/// for the stream. Later requests use what the reading has shown.
const WAIT_MAX: Duration = Duration::from_millis(300);
/// The shortest time between the ends of two readings. What a reading lacks, such as the version
/// of a target that was removed, the next one lacks too, for seconds.
const READ_INTERVAL_MIN: Millis = Millis(1_000);

/// The reader of the store's history.
#[derive(Debug)]
pub struct HistoryReader {
    state: Mutex<State>,
    /// Notified when a reading has ended.
    ended: Notify,
}

#[derive(Debug)]
struct State {
    /// The client of the store, with its connection; `None` during a reading.
    store: Option<Store>,
    /// The newest revision that the store is known to have forgotten.
    forgotten: Option<Revision>,
    /// When the last reading ended.
    ended_at: Option<Millis>,
}

impl HistoryReader {
    /// Creates a reader of the store at this address.
    #[must_use]
    pub fn new(store: SocketAddr) -> Self {
        Self {
            state: Mutex::new(State {
                store: Some(Store::new(store)),
                forgotten: None,
                ended_at: None,
            }),
            ended: Notify::new(),
        }
    }

    /// Reads the history into the daemon's state, unless that was done just before or the
    /// platform does not say how long it is kept; waits for it for a moment.
    pub async fn read(&self, context: &Arc<Context>) {
        if context.boot.store_history == Millis::ZERO {
            return;
        }
        let mut ended = std::pin::pin!(self.ended.notified());
        ended.as_mut().enable();
        let store = {
            let mut state = self.lock();
            let now = context.now();
            if state
                .ended_at
                .is_some_and(|at| at + READ_INTERVAL_MIN > now)
            {
                return;
            }
            state.store.take()
        };
        // It is not the task of one client, who may leave.
        if let Some(store) = store {
            let context = context.clone();
            tokio::spawn(async move { context.history_reader.run(&context, store).await });
        }
        timeout(WAIT_MAX, ended).await.ok();
    }

    async fn run(&self, context: &Arc<Context>, mut store: Store) {
        let forgotten = self.lock().forgotten;
        let latest = context.state().replica().whole_position().revision;
        let mut search = Search::new(latest, forgotten);
        let begun = context.now();
        let reading = timeout(READ_TIMEOUT, read_changes(context, &mut store, &mut search));
        let result = reading.await.context("no answer in time").flatten();
        let ended = context.now();
        match result {
            Ok(changes) => {
                let reading = Reading {
                    begun,
                    ended,
                    reach: context.boot.store_history,
                };
                context.state().record_history(reading, &changes);
            }
            Err(error) => {
                log::info!(took_ms = (ended - begun).0; "the store's history was not read: {error:#}");
            }
        }
        let mut state = self.lock();
        state.forgotten = search.forgotten();
        state.store = Some(store);
        state.ended_at = Some(ended);
        drop(state);
        self.ended.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns all changes that the store still has.
async fn read_changes(
    context: &Context,
    store: &mut Store,
    search: &mut Search,
) -> anyhow::Result<Vec<Change>> {
    let mut oldest = None;
    while let Some(probe) = search.next_probe() {
        let answer = store.target_changes(probe).await;
        let label = if answer.is_ok() { "answered" } else { "failed" };
        context.metrics.store_call(label);
        let changes = answer?;
        search.record(probe, changes.is_some());
        oldest = changes.or(oldest);
    }
    let era = context.state().replica().position().era;
    anyhow::ensure!(store.era() == era, "the daemon's copy is of another era");
    oldest.context("the store has no history")
}
