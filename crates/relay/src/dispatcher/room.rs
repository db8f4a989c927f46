//! What stage targets keep: asking for it, and giving it up.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gooseberry_kernel::name;
use gooseberry_kernel::request::routing_table::BatchSpec;
use gooseberry_kernel::stage::batch_queue::TargetReport;
use gooseberry_platform::pieces;
use tokio::time::timeout;

use crate::context::Context;
use crate::dispatcher::Keeper;
use crate::dispatcher::call::ANSWER_MAX_BYTES;
use crate::dispatcher::desk::desk;
use crate::exchange::Callee;
use crate::exchange::Exchange;

/// How long a target may take to say what it keeps.
const ASK_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a target may take to hear which results are freed.
const FREE_TIMEOUT: Duration = Duration::from_secs(1);

/// Asks targets what they keep and whether they work, so that what another
/// daemon dispatched counts.
pub(super) async fn ask_rooms(
    context: &Arc<Context>,
    service: &name::Service,
    pieces: BatchSpec,
    targets: &[name::Target],
) {
    let asked = targets
        .iter()
        .map(|target| ask_room(context, pieces, target));
    let told = futures::future::join_all(asked).await;
    let now = context.now();
    let mut desks = context.dispatcher.lock();
    let queue = &mut desk(&mut desks, service).queue;
    for told in told.into_iter().flatten() {
        queue.apply_report(&told, pieces.result_ttl, now);
        log::info!(
            service:% = service,
            target:% = told.target,
            bytes = told.kept_bytes,
            is_busy = told.is_busy;
            "a target told what it keeps"
        );
    }
}

async fn ask_room(
    context: &Arc<Context>,
    pieces: BatchSpec,
    target: &name::Target,
) -> Option<TargetReport> {
    let address = context.state().address(target)?;
    let callee = Callee::of_stage(target.clone(), address);
    let request = pieces::ask_room(&address.to_string(), target).ok()?;
    let asked = timeout(ASK_TIMEOUT, async {
        let mut exchange = Exchange::begin(context, &callee, request).await.ok()?;
        let body = exchange.read(ANSWER_MAX_BYTES).await.ok()?;
        exchange.keep(context, None);
        pieces::read_told(&body).ok()
    });
    let told = asked.await.ok().flatten()?;
    Some(TargetReport {
        target: target.clone(),
        kept_bytes: pieces.result_capacity_bytes.saturating_sub(told.room_bytes),
        is_busy: told.is_busy,
    })
}

/// Gives up results through the daemon that dispatched them, which counts what
/// targets keep; through this one if that daemon is gone.
///
/// A target may have room for less than two calls, so results that nobody gave
/// up would keep it idle until they age out.
pub(crate) fn give_up(context: &Arc<Context>, keeper: Keeper) {
    let free_here = |context: &Arc<Context>, keeper: &Keeper| {
        let dispatcher = &context.dispatcher;
        dispatcher.free(context, &keeper.service, &keeper.handles);
    };
    let is_here = keeper.address == context.boot.peers;
    let now = context.now();
    if is_here || !context.state().members().is_live(keeper.address, now) {
        free_here(context, &keeper);
        return;
    }
    let context = context.clone();
    tokio::spawn(async move {
        if context.peers.free(&keeper).await.is_err() {
            log::info!(
                service:% = keeper.service,
                dispatcher:% = keeper.address,
                results = keeper.handles.len();
                "a dispatcher was not reached; its results are given up here"
            );
            free_here(&context, &keeper);
        }
    });
}

pub(super) async fn free(
    context: &Arc<Context>,
    target: name::Target,
    address: SocketAddr,
    handles: &[name::Handle],
) {
    let callee = Callee::of_stage(target, address);
    let Ok(request) = pieces::free(handles, &address.to_string(), &callee.target) else {
        return;
    };
    let told = timeout(FREE_TIMEOUT, async {
        let mut exchange = Exchange::begin(context, &callee, request).await?;
        exchange.read(ANSWER_MAX_BYTES).await?;
        exchange.keep(context, None);
        Ok::<_, crate::exchange::Error>(())
    });
    // Results that are not freed age out at their makers.
    if !matches!(told.await, Ok(Ok(()))) {
        log::debug!(target:% = callee.target, results = handles.len(); "results were not freed");
    }
}
