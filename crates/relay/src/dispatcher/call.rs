//! One call to a stage target, and what comes of it.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::routing_table::BatchSpec;
use gooseberry_kernel::stage::batch_queue::BatchCall;
use gooseberry_kernel::stage::group::Group;
use gooseberry_platform::pieces;
use gooseberry_platform::pieces::Made;
use gooseberry_wire::fleet::Unmade;
use http::StatusCode;
use tokio::time::timeout;

use crate::context::Context;
use crate::dispatcher::desk::Desk;
use crate::dispatcher::desk::desk;
use crate::dispatcher::room::ask_rooms;
use crate::dispatcher::room::give_up;
use crate::exchange::Callee;
use crate::exchange::Exchange;

const CALL_SLACK: Millis = Millis(300);

/// How much longer than expected a call may take, as a factor, and beside it.
const CALL_FACTOR: u64 = 3;
/// The largest answer of a stage call, in bytes.
pub(super) const ANSWER_MAX_BYTES: usize = 1 << 20;
/// How long after a call was sent its target has surely fetched the inputs: a
/// full call's take some twenty milliseconds.
const READ_AFTER: Duration = Duration::from_millis(120);

/// What a call came to as a whole.
pub(super) enum Outcome {
    Answered(Vec<Made>),
    /// The target did not take the call.
    Refused,
    /// The call failed, and the target may still be at work on it.
    Failed(String),
}

/// Sends one call and gives out what came of it.
pub(super) async fn run(
    context: &Arc<Context>,
    service: &name::Service,
    pieces: BatchSpec,
    call: BatchCall,
) {
    let sent = context.now();
    let outcome = {
        let sending = send(context, &call);
        tokio::pin!(sending);
        if let Ok(outcome) = timeout(READ_AFTER, sending.as_mut()).await {
            outcome
        } else {
            free_inputs(context, service, &call);
            sending.await
        }
    };
    let now = context.now();
    let count: usize = call.parts.iter().map(|part| part.group.pieces.len()).sum();
    let (label, detail) = match &outcome {
        Outcome::Answered(made) => ("answered", unmade(made)),
        Outcome::Refused => ("refused", CompactString::default()),
        Outcome::Failed(why) => ("failed", why.as_str().into()),
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
    note_health(context, &call.target, &outcome, now);
    let dispatcher = &context.dispatcher;
    let target = call.target.clone();
    let is_full = {
        let mut desks = dispatcher.lock();
        let desk = desk(&mut desks, service);
        desk.note_end(&call.target);
        if matches!(outcome, Outcome::Refused) {
            desk.queue.pause_target(&call.target, now);
        }
        give_out(desk, call, outcome, pieces, now)
    };
    if is_full {
        ask_rooms(context, service, pieces, &[target]).await;
    }
    dispatcher.pump(context, service);
}

/// Says how many pieces were not made, and why; empty if all were.
fn unmade(made: &[Made]) -> CompactString {
    let reasons = [
        (Made::Late, "late"),
        (Made::Gone, "gone"),
        (Made::Room, "room"),
        (Made::Error, "error"),
    ];
    let counts = reasons.iter().filter_map(|(reason, name)| {
        let count = made.iter().filter(|made| *made == reason).count();
        (count > 0).then(|| format!("{count} {name}"))
    });
    counts.collect::<Vec<_>>().join(", ").into()
}

/// Tells the keepers of a call's inputs that they have been read.
///
/// A target fetches the inputs when the turn of its call comes, and it had no
/// other call, unless another daemon dispatches as well: then they are given up
/// when the call has ended. A group that is made in several calls keeps its
/// inputs.
pub(super) fn free_inputs(context: &Arc<Context>, service: &name::Service, call: &BatchCall) {
    let mut keepers = Vec::new();
    {
        let mut desks = context.dispatcher.lock();
        let desk = desk(&mut desks, service);
        if !desk.is_alone_at(&call.target) {
            return;
        }
        for part in &call.parts {
            let open = desk.open.iter_mut().find(|open| open.ticket == part.ticket);
            let whole = open.filter(|open| open.wanted.len() == part.group.pieces.len());
            if let Some(open) = whole.filter(|open| !open.keepers.is_empty()) {
                open.are_inputs_freed = true;
                keepers.append(&mut open.keepers);
            }
        }
    }
    for keeper in keepers {
        give_up(context, keeper);
    }
}

pub(super) fn note_health(
    context: &Context,
    target: &name::Target,
    outcome: &Outcome,
    now: Millis,
) {
    let mut state = context.state();
    match outcome {
        Outcome::Answered(_) => state.health().record_success(target),
        Outcome::Refused => {}
        Outcome::Failed(_) => state.health().record_unreachable(target, now),
    }
}

/// Gives out what came of a call; returns whether the target was full.
pub(super) fn give_out(
    desk: &mut Desk,
    call: BatchCall,
    outcome: Outcome,
    pieces: BatchSpec,
    now: Millis,
) -> bool {
    let target = call.target.clone();
    let mut made = match outcome {
        Outcome::Answered(made) => made.into_iter(),
        Outcome::Refused | Outcome::Failed(_) => {
            let counts = matches!(outcome, Outcome::Failed(_));
            for part in call.parts {
                desk.again(part.ticket, part.group, counts, now);
            }
            return false;
        }
    };
    let mut is_full = false;
    for part in call.parts {
        let group = part.group;
        // A target without room is no failure: its pieces only wait.
        let mut has_failed = false;
        let mut missing = Vec::new();
        for piece in &group.pieces {
            match made.next().unwrap_or(Made::Error) {
                Made::Handle(handle) => {
                    let results = desk.queue.results();
                    results.track(
                        handle.clone(),
                        &target,
                        group.result_bytes,
                        pieces.result_ttl,
                        now,
                    );
                    desk.note_made(part.ticket, *piece, handle, &call.domain);
                }
                Made::Late => desk.close(part.ticket, Err(Unmade::Late)),
                Made::Gone => desk.close(part.ticket, Err(Unmade::Gone)),
                Made::Room => {
                    desk.queue.pause_target(&target, now);
                    is_full = true;
                    missing.push(*piece);
                }
                Made::Error => {
                    has_failed = true;
                    missing.push(*piece);
                }
            }
        }
        if !missing.is_empty() {
            let pieces = missing;
            desk.again(part.ticket, Group { pieces, ..group }, has_failed, now);
        }
    }
    is_full
}

pub(super) async fn send(context: &Arc<Context>, call: &BatchCall) -> Outcome {
    let now = context.now();
    let Some(address) = context.state().address(&call.target) else {
        return Outcome::Refused;
    };
    let callee = Callee::of_stage(call.target.clone(), address);
    let request = match pieces::run(call, &address.to_string(), now) {
        Ok(request) => request,
        Err(error) => return Outcome::Failed(format!("{error:#}")),
    };
    let count = call.parts.iter().map(|part| part.group.pieces.len()).sum();
    let expected = call.expected_end - now;
    let limit = Millis(expected.0 * CALL_FACTOR) + CALL_SLACK;
    let exchanged = timeout(Duration::from_millis(limit.0), async {
        let mut exchange = Exchange::begin(context, &callee, request).await?;
        let status = exchange.status;
        let body = exchange.read(ANSWER_MAX_BYTES).await?;
        exchange.keep(context, None);
        Ok::<_, crate::exchange::Error>((status, body))
    });
    match exchanged.await {
        Err(_) => Outcome::Failed(format!("no answer within {limit} ms")),
        Ok(Err(crate::exchange::Error::NotSent(why))) => Outcome::Failed(why),
        Ok(Err(error)) => Outcome::Failed(error.to_string()),
        Ok(Ok((StatusCode::OK, body))) => match pieces::read(&body, count) {
            Ok(made) => Outcome::Answered(made),
            Err(error) => Outcome::Failed(format!("{error:#}")),
        },
        Ok(Ok((StatusCode::SERVICE_UNAVAILABLE | StatusCode::MISDIRECTED_REQUEST, _))) => {
            Outcome::Refused
        }
        Ok(Ok((status, _))) => Outcome::Failed(format!("status {status}")),
    }
}
