//! One call to a target of a stage service: sends it, and distributes its
//! results to the groups whose pieces it had.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::routing_table::BatchSpec;
use gooseberry_kernel::stage::batch_queue::BatchCall;
use gooseberry_kernel::stage::batch_queue::Ticket;
use gooseberry_kernel::stage::group::Group;
use gooseberry_platform::stage_call;
use gooseberry_platform::stage_call::PieceResult;
use gooseberry_wire::fleet::Unmade;
use http::StatusCode;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::context::Context;
use crate::dispatcher::result_memory::query_usage;
use crate::dispatcher::result_memory::release_inputs;
use crate::dispatcher::service_dispatch::ServiceDispatch;
use crate::dispatcher::service_dispatch::dispatch_of;
use crate::exchange::Callee;
use crate::exchange::Exchange;
use crate::link;

/// The constant part of a call's timeout, added to a multiple of its expected
/// duration.
const CALL_TIMEOUT_SLACK: Millis = Millis(300);

/// The timeout of a call as a multiple of its expected duration, without the
/// constant part.
const CALL_TIMEOUT_FACTOR: u64 = 3;
/// The largest response to a stage call, in bytes.
pub(super) const RESPONSE_MAX_BYTES: usize = 1 << 20;
/// How long after a call was sent its target has surely fetched the inputs:
/// fetching those of a full call takes about 20 ms.
const INPUTS_FETCHED_AFTER: Duration = Duration::from_millis(120);

/// The outcome of a call as a whole.
pub(super) enum CallOutcome {
    /// The target responded; one entry for each piece, in the order sent.
    Answered(Vec<PieceResult>),
    /// The target did not accept the call.
    Refused,
    /// The call failed, and the target may still be working on it.
    Failed(String),
}

/// Sends one call, distributes its results, and sends the next calls.
pub(super) async fn run_call(
    context: &Arc<Context>,
    service: &name::Service,
    spec: BatchSpec,
    mut call: BatchCall,
) {
    let sent = context.now();
    let last_try_until = {
        let mut services = context.dispatcher.lock();
        dispatch_of(&mut services, service).last_try_until(&call)
    };
    let limit = call_timeout(&call, sent);
    let longest = last_try_until.map_or(limit, |until| limit.max(until - sent));
    let mut requeued: Vec<Ticket> = Vec::new();
    let outcome = {
        let silence = sleep(Duration::from_millis(limit.0));
        tokio::pin!(silence);
        let mut is_silent = longest == limit;
        let sending = send_call(context, &call, longest);
        let sending = link::watch_silence(context, service, &call.target, sending);
        tokio::pin!(sending);
        let link_lost = link::until_detour(context, service, &[]);
        tokio::pin!(link_lost);
        loop {
            tokio::select! {
                outcome = timeout(INPUTS_FETCHED_AFTER, sending.as_mut()) => match outcome {
                    Ok(outcome) => break outcome,
                    Err(_) => release_inputs(context, service, &call),
                },
                () = link_lost.as_mut() => {
                    break CallOutcome::Failed("the link to the service is down".to_owned());
                }
                () = silence.as_mut(), if !is_silent => {
                    is_silent = true;
                    requeued = requeue_silent(context, service, &call, limit);
                    if requeued.len() == call.parts.len() {
                        break CallOutcome::Failed(format!("no response within {limit} ms"));
                    }
                }
            }
        }
    };
    let now = context.now();
    let count: usize = call.parts.iter().map(|part| part.group.pieces.len()).sum();
    let (label, detail) = match &outcome {
        CallOutcome::Answered(piece_results) => ("answered", failure_counts(piece_results)),
        CallOutcome::Refused => ("refused", CompactString::default()),
        CallOutcome::Failed(why) => ("failed", why.as_str().into()),
    };
    context.metrics.pieces(label, count);
    let attempts: Vec<&str> = call
        .parts
        .iter()
        .map(|part| part.group.attempt.as_str())
        .collect();
    log::info!(
        requests:% = attempts.join(","),
        service:% = service,
        target:% = call.target,
        pieces = count,
        expected_ms = (call.expected_end - sent).0,
        took_ms = (now - sent).0,
        detail:%;
        "stage call {label}"
    );
    record_health(context, &call.target, &outcome, now);
    if matches!(outcome, CallOutcome::Failed(_)) {
        link::check_after_failure(context, service, &call.target);
    }
    let dispatcher = &context.dispatcher;
    let target = call.target.clone();
    let is_cut_off = context.state().detour(service, &[], 0, now).is_some();
    let is_full = {
        let mut services = dispatcher.lock();
        let dispatch = dispatch_of(&mut services, service);
        dispatch.record_call_end(&call.target);
        if matches!(outcome, CallOutcome::Refused) {
            dispatch.queue.pause_target(&call.target, now);
        }
        if !matches!(outcome, CallOutcome::Answered(_)) {
            call.parts.retain(|part| !requeued.contains(&part.ticket));
        }
        if is_cut_off && matches!(outcome, CallOutcome::Failed(_)) {
            dispatch.give_back(call);
            false
        } else {
            apply_outcome(dispatch, call, &requeued, outcome, spec, now)
        }
    };
    if is_full {
        query_usage(context, service, spec, &[target]).await;
    }
    dispatcher.send_due_calls(context, service);
}

/// Returns how long a call may take until its pieces are sent to another target.
fn call_timeout(call: &BatchCall, now: Millis) -> Millis {
    (call.expected_end - now) * CALL_TIMEOUT_FACTOR + CALL_TIMEOUT_SLACK
}

/// Queues the groups of a call without a response again that may be sent to another target;
/// returns them. The others are waited for: a sound target may be silent for a while.
fn requeue_silent(
    context: &Arc<Context>,
    service: &name::Service,
    call: &BatchCall,
    limit: Millis,
) -> Vec<Ticket> {
    let now = context.now();
    let requeued = {
        let mut services = context.dispatcher.lock();
        dispatch_of(&mut services, service).requeue_silent(call, now)
    };
    let mut state = context.state();
    state.health().record_unreachable(&call.target, now);
    drop(state);
    link::check_after_failure(context, service, &call.target);
    let kept = call.parts.iter();
    let kept = kept.filter(|part| !requeued.contains(&part.ticket));
    let kept: Vec<&str> = kept.map(|part| part.group.attempt.as_str()).collect();
    log::info!(
        requests:% = kept.join(","),
        service:% = service,
        target:% = call.target,
        requeued = requeued.len(),
        limit_ms = limit.0;
        "a stage call is silent; groups in their last try wait for it"
    );
    context.dispatcher.send_due_calls(context, service);
    requeued
}

/// Returns for the log how many pieces failed for each reason; empty if none
/// did.
fn failure_counts(piece_results: &[PieceResult]) -> CompactString {
    let reasons = [
        (PieceResult::Late, "late"),
        (PieceResult::Gone, "gone"),
        (PieceResult::NoMemory, "room"),
        (PieceResult::Error, "error"),
    ];
    let counts = reasons.iter().filter_map(|(reason, name)| {
        let count = piece_results
            .iter()
            .filter(|result| *result == reason)
            .count();
        (count > 0).then(|| format!("{count} {name}"))
    });
    counts.collect::<Vec<_>>().join(", ").into()
}

/// Records whether the target of a call is reachable.
pub(super) fn record_health(
    context: &Context,
    target: &name::Target,
    outcome: &CallOutcome,
    now: Millis,
) {
    let mut state = context.state();
    match outcome {
        CallOutcome::Answered(_) => state.health().record_success(target),
        CallOutcome::Refused => {}
        CallOutcome::Failed(_) => state.health().record_unreachable(target, now),
    }
}

/// Distributes the outcome of a call to its groups, and queues failed pieces
/// again; returns whether the target lacked memory for results. Of groups that were queued
/// again before, each piece that still waits is withdrawn, and has the outcome of this call.
/// Those that were sent again have the result that comes first.
pub(super) fn apply_outcome(
    dispatch: &mut ServiceDispatch,
    call: BatchCall,
    requeued: &[Ticket],
    outcome: CallOutcome,
    spec: BatchSpec,
    now: Millis,
) -> bool {
    let target = call.target.clone();
    let mut piece_results = match outcome {
        CallOutcome::Answered(piece_results) => piece_results.into_iter(),
        CallOutcome::Refused | CallOutcome::Failed(_) => {
            let counts_as_try = matches!(outcome, CallOutcome::Failed(_));
            for part in call.parts {
                dispatch.requeue(part.ticket, part.group, counts_as_try, now);
            }
            return false;
        }
    };
    let mut is_full = false;
    for part in call.parts {
        let group = part.group;
        let is_requeued = requeued.contains(&part.ticket);
        // A target without free memory is not a failure; it does not count as a
        // try of the group, whose pieces wait in the queue again.
        let mut has_failed = false;
        let mut missing = Vec::new();
        for piece in &group.pieces {
            let is_sent_again = is_requeued && !dispatch.queue.withdraw(part.ticket, *piece);
            match piece_results.next().unwrap_or(PieceResult::Error) {
                PieceResult::Handle(handle) => {
                    let is_new = dispatch.queue.results().track(
                        handle.clone(),
                        &target,
                        group.result_bytes,
                        spec.result_ttl,
                        now,
                    );
                    if is_new {
                        dispatch.record_piece(part.ticket, *piece, handle, &call.domain);
                    } else if !is_sent_again {
                        log::warn!(target:% = target, handle:% = handle; "a target gave two results the same handle");
                        has_failed = true;
                        missing.push(*piece);
                    }
                }
                _ if is_sent_again => {}
                PieceResult::Late => dispatch.complete(part.ticket, Err(Unmade::Late)),
                PieceResult::Gone => dispatch.complete(part.ticket, Err(Unmade::Gone)),
                PieceResult::NoMemory => {
                    dispatch.queue.pause_target(&target, now);
                    is_full = true;
                    missing.push(*piece);
                }
                PieceResult::Error => {
                    // The silence of the call has counted already.
                    has_failed = !is_requeued;
                    missing.push(*piece);
                }
            }
        }
        if !missing.is_empty() {
            let pieces = missing;
            dispatch.requeue(part.ticket, Group { pieces, ..group }, has_failed, now);
        }
    }
    is_full
}

/// Sends one call and waits for its response for at most `limit`.
pub(super) async fn send_call(
    context: &Arc<Context>,
    call: &BatchCall,
    limit: Millis,
) -> CallOutcome {
    let now = context.now();
    let Some(address) = context.state().address(&call.target) else {
        return CallOutcome::Refused;
    };
    if !context.state().try_take_call(&call.target, now) {
        return CallOutcome::Refused;
    }
    let callee = Callee::of_stage(call.target.clone(), address);
    let request = match stage_call::run_request(call, &address.to_string(), now) {
        Ok(request) => request,
        Err(error) => return CallOutcome::Failed(format!("{error:#}")),
    };
    let count = call.parts.iter().map(|part| part.group.pieces.len()).sum();
    let exchanged = timeout(Duration::from_millis(limit.0), async {
        let mut exchange = Exchange::begin(context, &callee, request).await?;
        let status = exchange.status;
        let body = exchange.read_all(RESPONSE_MAX_BYTES).await;
        let body = body.map_err(|error| crate::exchange::Error::Broken(error.to_string()))?;
        let piece_results = match status {
            StatusCode::OK => Some(stage_call::read_results(&body, count)),
            _ => None,
        };
        let has_handles = piece_results
            .iter()
            .flatten()
            .flatten()
            .any(|result| matches!(result, PieceResult::Handle(_)));
        // No two results have the same handle, so a copy has those of other pieces. A copy
        // of a reply without any could not be told from the reply to the next call.
        if has_handles {
            if !exchange.record_unique_reply(&body) {
                let why = "a second copy of an earlier reply came".to_owned();
                return Err(crate::exchange::Error::Broken(why));
            }
            exchange.release(context, None);
        }
        Ok::<_, crate::exchange::Error>((status, piece_results))
    });
    match exchanged.await {
        Err(_) => CallOutcome::Failed(format!("no response within {limit} ms")),
        Ok(Err(crate::exchange::Error::NotSent(why))) => CallOutcome::Failed(why),
        Ok(Err(crate::exchange::Error::Paused)) => CallOutcome::Refused,
        Ok(Err(error)) => CallOutcome::Failed(error.to_string()),
        Ok(Ok((_, Some(Ok(piece_results))))) => CallOutcome::Answered(piece_results),
        Ok(Ok((_, Some(Err(error))))) => CallOutcome::Failed(format!("{error:#}")),
        Ok(Ok((StatusCode::SERVICE_UNAVAILABLE | StatusCode::MISDIRECTED_REQUEST, _))) => {
            CallOutcome::Refused
        }
        Ok(Ok((status, _))) => CallOutcome::Failed(format!("status {status}")),
    }
}
