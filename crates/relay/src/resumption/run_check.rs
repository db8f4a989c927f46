//! Checks before a stream goes on that its target still is the run that the list names.
//!
//! A target may start again under its name as another software version, and the list says so
//! only once the store has the new entry and the daemon has read it. A stream that went on there
//! would be joined of two versions. So the target is asked when it started. One that does not
//! answer is not proved: it may have just started, which makes it slow, and its new entry comes
//! later still. If it answers and does not say, the list counts if the store confirms it, but not
//! just after the store was away: a target writes its entry again some time after its return.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use anyhow::bail;
use compact_str::format_compact;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_platform::prompt_memory;
use http::StatusCode;
use tokio::time::timeout;

use crate::context::Context;
use crate::exchange;
use crate::exchange::Callee;
use crate::forward::pick::InFlightGuard;
use crate::state::PickedTarget;

/// How long a target may take to say when it started. It answers within milliseconds, without a
/// slot; a client waits for the stream.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// How long after the store's return the entries of targets may be old. The platform promises
/// two seconds.
const RETURN_GRACE: Millis = Millis(2_000);
/// The largest report, in bytes.
const REPORT_MAX_BYTES: usize = 1 << 20;

/// Returns whether the run of a target that was picked for a broken stream is known to be the
/// listed one. If it is not, or if this is dropped, the place of the stream there is released.
pub(crate) async fn keep_if_listed_run(
    context: &Arc<Context>,
    attempt: &name::Attempt,
    picked: &PickedTarget,
) -> bool {
    let in_flight_guard = InFlightGuard::new(context, picked);
    let is_listed_run = is_listed_run(context, attempt, picked).await;
    if is_listed_run {
        in_flight_guard.disarm();
    }
    is_listed_run
}

async fn is_listed_run(
    context: &Arc<Context>,
    attempt: &name::Attempt,
    picked: &PickedTarget,
) -> bool {
    let began = context.now();
    let answer = read_start(context, picked).await;
    let is_proved = match &answer {
        // The list has no start to compare with.
        _ if picked.started == 0 => is_confirmed_by_store(context, picked, began).await,
        Ok(Some(started)) => *started == picked.started,
        Ok(None) => is_confirmed_by_store(context, picked, began).await,
        Err(_) => false,
    };
    let why = answer
        .as_ref()
        .err()
        .map(|error| format_compact!("{error}"));
    log::info!(
        request:% = attempt,
        target:% = picked.target,
        version:% = picked.version,
        listed_start = picked.started,
        told_start:? = answer.as_ref().ok(),
        why:% = why.unwrap_or_default(),
        is_proved,
        took_ms = (context.now() - began).0;
        "checked the run of a target that a stream may go on at"
    );
    is_proved
}

/// Returns whether the store confirms that a target is listed in the same run, and has not been
/// away just before.
async fn is_confirmed_by_store(
    context: &Arc<Context>,
    picked: &PickedTarget,
    since: Millis,
) -> bool {
    if !context.store_checker.bring_up_to(context, since).await {
        return false;
    }
    let state = context.state();
    let has_returned = state
        .store_back_at()
        .is_some_and(|at| at + RETURN_GRACE > since);
    !has_returned && state.is_listed_run(picked)
}

/// Asks a target when it started; `None` if it does not say so. What a target with a rate limit
/// takes is left for requests.
async fn read_start(context: &Arc<Context>, picked: &PickedTarget) -> anyhow::Result<Option<u64>> {
    if context.state().has_rate_limit(&picked.target) {
        return Ok(None);
    }
    let request = prompt_memory::runs_request(&picked.address.to_string(), &picked.target)?;
    let callee = Callee::of_call(picked.target.clone(), picked.address);
    let answer = exchange::call_with_status(context, &callee, request, REPORT_MAX_BYTES);
    let answer = timeout(ANSWER_TIMEOUT, answer).await;
    let (status, report) = answer.context("no answer in time").flatten()?;
    match status {
        StatusCode::OK => prompt_memory::read_start(&report),
        // It has no such report.
        StatusCode::NOT_FOUND | StatusCode::METHOD_NOT_ALLOWED | StatusCode::NOT_IMPLEMENTED => {
            Ok(None)
        }
        status => bail!("status {status}"),
    }
}
