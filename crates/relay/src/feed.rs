//! Reads what the platform publishes, for as long as the process runs.
//!
//! In a small fleet every daemon watches the store. In a large one a few do,
//! and tell the others at once; a daemon that has not heard from them for a
//! while reads by itself.

use std::sync::Arc;
use std::time::Duration;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::assignment::ALL_READ_MAX_MEMBERS;
use gooseberry_kernel::fleet::mirror::Changes;
use gooseberry_kernel::fleet::mirror::Revision;
use gooseberry_kernel::hash;
use gooseberry_kernel::name;
use gooseberry_platform::store::Store;
use gooseberry_platform::store::Watched;
use tokio::time::sleep;

use crate::context::Context;
use crate::peers;
use crate::state;

/// How long a watch waits for a change.
///
/// A connection may go silent without a sign, and then nothing is heard until
/// the watch is given up, so it is well below the time in which a change must
/// be in force. Each watch costs a call.
const WATCH: Millis = Millis(1_500);
/// The least time between two calls; changes that come in quick succession
/// are read together.
const PAUSE: Duration = Duration::from_millis(100);
/// How long to wait after a failed call, at least; up to twice as long, since
/// the daemons that a store turned away would else come back together.
const PAUSE_FAILED: Millis = Millis(250);

/// Keeps the daemon's copy of the store up to date.
pub async fn follow(context: Arc<Context>) {
    let mut store = Store::new(context.boot.store);
    let mut is_whole_due = true;
    let mut failures = 0_u32;
    loop {
        let now = context.now();
        if !context.state().is_reader(now) {
            sleep(PAUSE).await;
            continue;
        }
        let after = context.state().through();
        let read = if is_whole_due || after == Revision::default() {
            store.read().await.map(Watched::Changes)
        } else {
            store.watch(after, WATCH).await
        };
        let now = context.now();
        match read {
            Ok(Watched::Changes(changes)) => {
                context.metrics.store_call("answered");
                is_whole_due = false;
                failures = 0;
                if adopt(&context, changes, now) {
                    // The others learn from the few that read.
                    let context = context.clone();
                    tokio::spawn(async move { peers::tell_all(&context).await });
                }
                sleep(PAUSE).await;
            }
            Ok(Watched::Forgotten) => {
                context.metrics.store_call("forgotten");
                log::info!(after = after.0; "the store has forgotten its history; all is read again");
                is_whole_due = true;
            }
            Err(error) => {
                context.metrics.store_call("failed");
                log::debug!("the store: {error:#}");
                failures += 1;
                context.state().note_store(false, now);
                // One failure is often a connection that was cut; the next
                // call goes over a new one at once.
                if failures > 1 {
                    sleep(pause(&context.boot.name, failures)).await;
                }
            }
        }
    }
}

/// Returns how long a daemon waits after so many failures.
fn pause(name: &name::Member, failures: u32) -> Duration {
    let draw = hash::mix(hash::text(name.as_str()), u64::from(failures));
    Duration::from_millis(PAUSE_FAILED.0 + draw % PAUSE_FAILED.0)
}

/// Takes in what was read; returns whether anything is new.
fn adopt(context: &Context, changes: Changes, now: Millis) -> bool {
    let mut state = context.state();
    let before = state.through();
    state.note_store(true, now);
    state.adopt(changes, state::STORE, now);
    let is_large = state.members().live(now).len() > ALL_READ_MAX_MEMBERS;
    is_large && state.through() > before
}
