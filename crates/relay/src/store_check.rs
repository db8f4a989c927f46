//! Asks the platform's store on demand whether the daemon's copy of it is current.
//!
//! The watch of the store brings changes soon, but an answer may have been on its way for as
//! long as the daemon stood still or its link was cut. A decision that depends on what is not
//! listed needs an answer to a question that was asked after it arose.
//!
//! One question is asked at a time, for all decisions that arose before it. Those that arise
//! meanwhile wait for the next one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::replica::Position;
use gooseberry_platform::store::Store;
use gooseberry_platform::store::WatchResult;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::context::Context;
use crate::store_watch;

/// How long the store may take to answer a question. It answers within milliseconds, or some
/// hundred milliseconds when slow.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// How long after a question that failed no other one is asked. A client that waits for the
/// store has a second or two, and a store without power gains nothing from more questions.
const FAILURE_PAUSE: Millis = Millis(1_000);

/// The questions to the store.
#[derive(Debug)]
pub struct Checker {
    state: Mutex<State>,
    /// Notified when a question has ended.
    ended: Notify,
}

#[derive(Debug)]
struct State {
    /// The client of the store, with its connection; `None` while a question is asked.
    store: Option<Store>,
    /// When the last question failed, if it did.
    failed_at: Option<Millis>,
}

/// What a decision does next.
enum Step {
    Ended(bool),
    Ask(Box<Store>),
    Wait,
}

impl Checker {
    /// Creates a checker of the store at this address.
    #[must_use]
    pub fn new(store: SocketAddr) -> Self {
        Self {
            state: Mutex::new(State {
                store: Some(Store::new(store)),
                failed_at: None,
            }),
            ended: Notify::new(),
        }
    }

    /// Brings the daemon's copy to the store's contents of `since` or later. Returns false if
    /// the store does not answer in time, or has just failed to.
    pub async fn bring_up_to(&self, context: &Arc<Context>, since: Millis) -> bool {
        loop {
            let mut ended = std::pin::pin!(self.ended.notified());
            ended.as_mut().enable();
            match self.step(context, since) {
                Step::Ended(is_current) => return is_current,
                // The question is not the task of one client, who may leave.
                Step::Ask(store) => {
                    let context = context.clone();
                    tokio::spawn(async move { context.store_checker.ask(&context, *store).await });
                }
                Step::Wait => {}
            }
            ended.await;
        }
    }

    fn step(&self, context: &Context, since: Millis) -> Step {
        if context.state().asked_at() >= Some(since) {
            return Step::Ended(true);
        }
        let mut state = self.lock();
        let now = context.now();
        if state.failed_at.is_some_and(|at| at + FAILURE_PAUSE > now) {
            return Step::Ended(false);
        }
        let store = state.store.take().map(Box::new);
        store.map_or(Step::Wait, Step::Ask)
    }

    async fn ask(&self, context: &Arc<Context>, mut store: Store) {
        let asked_at = context.now();
        let asking = timeout(ANSWER_TIMEOUT, read_changes(context, &mut store, asked_at));
        let result = asking
            .await
            .unwrap_or_else(|_| Err(anyhow::anyhow!("no answer in time")));
        let now = context.now();
        if let Err(error) = &result {
            let confirmed_age = context.state().confirmed_age(now);
            log::info!(
                confirmed_ms:? = confirmed_age.map(|age| age.0),
                took_ms = (now - asked_at).0;
                "the store did not confirm the list of targets: {error:#}"
            );
        }
        let mut state = self.lock();
        state.failed_at = result.is_err().then_some(now);
        state.store = Some(store);
        drop(state);
        self.ended.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads the changes that the daemon's copy lacks, and merges them.
async fn read_changes(
    context: &Context,
    store: &mut Store,
    asked_at: Millis,
) -> anyhow::Result<()> {
    let known = context.state().replica().whole_position();
    let read = store.watch(known.revision, Millis::ZERO).await;
    let WatchResult::Changes(contents) = store_watch::check_era(read, store.era(), known)? else {
        // The watch reads everything again.
        anyhow::bail!("the store has forgotten its history");
    };
    let through = Position {
        era: contents.era,
        revision: contents.changes.through,
    };
    // Peers learn of changes from the daemons that watch the store.
    store_watch::apply(context, contents, context.now());
    let is_merged = context.state().record_answer(through, asked_at);
    anyhow::ensure!(is_merged, "the copy is of another era");
    Ok(())
}
