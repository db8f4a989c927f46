//! What targets say in their replies about the work that they want.

use gooseberry_kernel::name;
use gooseberry_kernel::target::rate_limit::Change;
use gooseberry_platform::target;
use http::HeaderMap;
use http::StatusCode;

use crate::context::Context;

/// Records what the target says in a reply about the work that it wants.
pub(super) fn record_notice(
    context: &Context,
    target: &name::Target,
    status: StatusCode,
    headers: &HeaderMap,
) {
    let now = context.now();
    context.state().record_reply(target, now);
    record_notice_of_peer(context, target, status, headers);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        context.state().record_turned_away(target, now);
    }
    match target::read_pause(status, headers) {
        Ok(None) => {}
        Ok(Some(pause)) => {
            context.state().record_pause(target, pause, now);
            log::info!(target:% = target, pause_ms = pause.0; "a target turned a request away and gets nothing for the time that it asks for");
        }
        Err(text) => {
            log::warn!(target:% = target, text:%; "an answer's time to wait is ignored: it is not a number of seconds");
        }
    }
}

/// Records what the target says of itself in a reply, also to the call of a peer.
pub(super) fn record_notice_of_peer(
    context: &Context,
    target: &name::Target,
    status: StatusCode,
    headers: &HeaderMap,
) {
    record_leaving(context, target, status, headers);
    // With this status another target answered, which has the address now.
    if status != StatusCode::MISDIRECTED_REQUEST {
        record_rate_limit(context, target, status, headers);
        record_brittleness(context, target, status, headers);
        if let Err(text) = target::read_slowness(headers) {
            log::warn!(target:% = target, text:%; "the slowness in an answer's load is dropped: it is not a usable percentage");
        }
    }
}

/// Records whether the target says in a reply that it can turn few requests away. Only a
/// success ends that, since an error may not come from the target itself.
fn record_brittleness(
    context: &Context,
    target: &name::Target,
    status: StatusCode,
    headers: &HeaderMap,
) {
    let turned_away_max = match target::read_brittleness(headers) {
        Ok(None) if !status.is_success() => return,
        Ok(turned_away_max) => turned_away_max,
        Err(text) => {
            log::warn!(target:% = target, text:%; "an answer's word on brittleness is ignored: it is not a number");
            return;
        }
    };
    let now = context.now();
    if context
        .state()
        .observe_brittleness(target, turned_away_max, now)
    {
        log::info!(target:% = target, turned_away_max:?; "the number of requests has changed that the targets of a service can turn away in a second");
    }
}

/// Records whether the target says in a reply that it leaves.
fn record_leaving(
    context: &Context,
    target: &name::Target,
    status: StatusCode,
    headers: &HeaderMap,
) {
    match target::read_leaving(status, headers) {
        Ok(false) => {}
        Ok(true) => {
            let now = context.now();
            if context.state().record_leaving(target, now) {
                log::info!(target:% = target; "a target says in an answer that it leaves; it gets no more requests");
            }
        }
        Err(text) => {
            log::warn!(target:% = target, text:%; "an answer's word on leaving is ignored: it has no meaning");
        }
    }
}

/// Records the rate limit that the target names in a reply. Only a success ends an
/// earlier one, since an error may not come from the target itself.
fn record_rate_limit(
    context: &Context,
    target: &name::Target,
    status: StatusCode,
    headers: &HeaderMap,
) {
    let rate = match target::read_rate_limit(headers) {
        Ok(None) if !status.is_success() => return,
        Ok(rate) => rate,
        Err(text) => {
            log::warn!(target:% = target, text:%; "an answer's rate limit is ignored: it is not a number");
            return;
        }
    };
    let now = context.now();
    match context.state().record_rate_limit(target, rate, now) {
        None => {}
        Some(Change::Named(rate)) => {
            log::info!(target:% = target, per_second:% = rate; "a target limits the rate of its requests");
        }
        Some(Change::Ended) => {
            log::info!(target:% = target; "a target no longer limits the rate of its requests");
        }
    }
}
