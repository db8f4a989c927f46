//! Watches the platform's store, and applies its changes to the state.
//!
//! In a small fleet every daemon watches the store. In a large one a few do, and
//! greet the others at once after a change, so that these fetch it. A daemon that
//! has had no confirmation for a while watches the store itself.

use std::sync::Arc;
use std::time::Duration;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::assignment;
use gooseberry_kernel::fleet::assignment::ALL_READ_MAX_MEMBERS;
use gooseberry_kernel::fleet::assignment::StoreRole;
use gooseberry_kernel::fleet::mirror::Revision;
use gooseberry_kernel::fleet::replica::Contents;
use gooseberry_kernel::fleet::replica::Era;
use gooseberry_kernel::fleet::replica::Position;
use gooseberry_kernel::hash;
use gooseberry_kernel::name;
use gooseberry_platform::store::Store;
use gooseberry_platform::store::WatchResult;
use tokio::time::sleep;

use crate::context::Context;
use crate::peers;
use crate::state;

/// The shortest time between two calls, so that changes in quick succession are
/// read together.
const READ_INTERVAL_MIN: Duration = Duration::from_millis(100);
/// Keeps the daemon's copy of the store up to date, for as long as the process
/// runs.
pub async fn run(context: Arc<Context>) {
    let mut store = Store::new(context.boot.store_address);
    let mut is_full_read_due = true;
    let mut follows_change = true;
    let mut failures = 0_u32;
    let mut era = store.era();
    loop {
        let now = context.now();
        if !context.state().is_reader(now) {
            sleep(READ_INTERVAL_MIN).await;
            continue;
        }
        // Values of which chunks are missing come with the watch, too.
        let after = context.state().replica().whole_position();
        let read = if is_full_read_due || after.revision == Revision::default() {
            store.read_all().await.map(WatchResult::Changes)
        } else {
            let role = context.state().store_role(now);
            let wait = assignment::watch_wait(role, follows_change);
            store.watch(after.revision, wait).await
        };
        let now = context.now();
        if store.era() != era {
            era = store.era();
            let (era, known) = (era.unwrap_or_default(), after.revision);
            context.metrics.store_era(era);
            log::info!(era = era.0, known = known.0; "the store names its era");
        }
        match check_era(read, store.era(), after) {
            Ok(WatchResult::Changes(contents)) => {
                context.metrics.store_call("answered");
                is_full_read_due = false;
                failures = 0;
                follows_change = !contents.changes.entries.is_empty();
                if apply(&context, contents, now) {
                    // Peers that do not read the store get the changes this way.
                    let context = context.clone();
                    tokio::spawn(async move { peers::greet_all(&context).await });
                }
                sleep(READ_INTERVAL_MIN).await;
            }
            Ok(WatchResult::HistoryLost) => {
                context.metrics.store_call("forgotten");
                log::info!(after = after.revision.0; "the store has forgotten its history; reading it again in full");
                is_full_read_due = true;
            }
            Err(error) => {
                context.metrics.store_call("failed");
                log::debug!("a call to the store failed: {error:#}");
                failures += 1;
                context.state().record_store_result(false, now);
                // A single failure is often a closed connection, so the first
                // retry follows at once, over a new one.
                if failures > 1 {
                    let role = context.state().store_role(now);
                    sleep(retry_delay(role, &context.boot.name, failures)).await;
                }
            }
        }
    }
}

/// Checks the era that the store names against that of the daemon's copy, which peers may
/// know to be a later one. Changes of another era do not continue the copy.
pub(crate) fn check_era(
    read: anyhow::Result<WatchResult>,
    named: Option<Era>,
    known: Position,
) -> anyhow::Result<WatchResult> {
    let result = read?;
    if let Some(era) = named
        && Some(era) < known.era
    {
        let known = known.era.unwrap_or_default();
        anyhow::bail!(
            "the store answered in era {}, and era {} has begun",
            era.0,
            known.0
        );
    }
    Ok(match result {
        WatchResult::Changes(mut contents) => {
            contents.era = contents.era.or(known.era);
            if contents.era == known.era || contents.changes.is_whole {
                WatchResult::Changes(contents)
            } else {
                WatchResult::HistoryLost
            }
        }
        WatchResult::HistoryLost => WatchResult::HistoryLost,
    })
}

/// Returns the delay before the next retry. Up to the same time is added as jitter,
/// which depends on the daemon's name and the number of failures, so that daemons
/// refused by the store don't retry together.
fn retry_delay(role: StoreRole, name: &name::Member, failures: u32) -> Duration {
    let delay = assignment::retry_delay(role, failures).0;
    let draw = hash::mix(hash::text(name.as_str()), u64::from(failures));
    Duration::from_millis(delay + draw % delay)
}

/// Applies changes that were read. Returns whether to greet peers at once: there
/// is something new, and the fleet is too large for all to read the store.
pub(crate) fn apply(context: &Context, contents: Contents, now: Millis) -> bool {
    let mut state = context.state();
    let before = state.replica().position();
    state.record_store_result(true, now);
    state.apply_contents(contents, state::STORE, now);
    let is_large = state.members().live(now).len() > ALL_READ_MAX_MEMBERS;
    is_large && state.replica().position() > before
}
