//! Checks whether this daemon reaches the targets of a service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use gooseberry_connectors::http_connection::HttpConnection;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::target::link;
use gooseberry_kernel::target::link::CHECK_TARGETS;
use gooseberry_kernel::target::link::Change;
use gooseberry_kernel::target::link::SILENCE_MAX;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::timeout;

use crate::context::Context;
use crate::exchange::CONNECT_TIMEOUT;
use crate::peers;

/// How long a check may take to tell a fault of a target from one of the link.
const JUDGEMENT_TIMEOUT: Duration = Duration::from_secs(1);
/// How often it is looked up whether a link that is down is due to be checked.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Checks the link to a service in the background, after a call to one of its targets
/// failed or stayed without a reply.
pub(crate) fn check_after_failure(
    context: &Arc<Context>,
    service: &name::Service,
    failed: &name::Target,
) {
    let now = context.now();
    if context.state().links().begin_check(service, now) {
        spawn_check(context, service.clone(), Some(failed.clone()));
    }
}

/// Waits for a call to a target, and checks the link to its service if there is no reply
/// for a while.
pub(crate) async fn watch_silence<F: Future>(
    context: &Arc<Context>,
    service: &name::Service,
    target: &name::Target,
    call: F,
) -> F::Output {
    tokio::pin!(call);
    if let Ok(reply) = timeout(Duration::from_millis(SILENCE_MAX.0), call.as_mut()).await {
        return reply;
    }
    let now = context.now();
    let is_due = {
        let mut state = context.state();
        state.links().begin_check_after_silence(service, now)
    };
    if is_due {
        spawn_check(context, service.clone(), Some(target.clone()));
    }
    call.await
}

/// Checks links that are down again and again, for as long as the process runs.
pub(crate) async fn recheck_periodically(context: Arc<Context>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        let due = context.state().links().begin_rechecks(context.now());
        for service in due {
            spawn_check(&context, service, None);
        }
    }
}

fn spawn_check(context: &Arc<Context>, service: name::Service, failed: Option<name::Target>) {
    let context = context.clone();
    tokio::spawn(async move {
        let now = context.now();
        let mut targets = context
            .state()
            .link_check_targets(&service, failed.as_ref(), now);
        let others = targets.split_off(targets.len().min(CHECK_TARGETS));
        let mut reached = count_reached(&context, &service, &targets).await;
        if link::is_unclear(reached, targets.len()) {
            reached += count_reached(&context, &service, &others).await;
            targets.extend(others);
        }
        let (was_first_dispatcher, change) = {
            let now = context.now();
            let mut state = context.state();
            let was_first_dispatcher = state.is_first_dispatcher(&service, now);
            let change = state
                .links()
                .end_check(&service, reached, targets.len(), now);
            context.metrics.links_down(state.links().down().count());
            (was_first_dispatcher, change)
        };
        context.link_changed.notify_waiters();
        let Some(change) = change else {
            return;
        };
        match change {
            Change::Up(lasted) => {
                log::info!(service:% = service, down_ms = lasted.0; "the targets of a service can be reached again");
            }
            Change::Down => {
                let tried: Vec<&str> = targets.iter().map(|(target, _)| target.as_str()).collect();
                log::warn!(service:% = service, reached, targets:% = tried.join(","); "the targets of a service cannot be reached");
                // They may carry nothing, and would be used again when the link is up.
                context
                    .pool
                    .evict_stale(now, |target| !targets_service(&context, target, &service));
                check_all(&context);
            }
        }
        // Others learn of it from the next heartbeats, or when they ask for a detour; those
        // whose pieces this daemon dispatches are waiting.
        if was_first_dispatcher {
            peers::greet_all(&context).await;
        }
    });
}

/// Returns whether the fault of a call that broke off at `since` was its target's: a
/// partition breaks the connections to sound targets. Waits for a check of the link.
pub(crate) async fn is_fault_of_target(
    context: &Arc<Context>,
    service: &name::Service,
    target: &name::Target,
    since: Millis,
) -> bool {
    let judge = async {
        loop {
            let changed = context.link_changed.notified();
            let now = context.now();
            let (is_fault_of_target, is_check_due) = {
                let mut state = context.state();
                let links = state.links();
                let is_fault = links.is_fault_of_target(service, since);
                (is_fault, links.begin_check_since(service, since, now))
            };
            // If no peer reaches the service, either, its targets have failed.
            match is_fault_of_target {
                Some(true) => return true,
                Some(false) => return context.state().detour(service, &[], 0, now).is_none(),
                None => {}
            }
            if is_check_due {
                spawn_check(context, service.clone(), Some(target.clone()));
            }
            changed.await;
        }
    };
    timeout(JUDGEMENT_TIMEOUT, judge).await.unwrap_or(true)
}

/// Returns whether a target is one of a service.
fn targets_service(context: &Context, target: &name::Target, service: &name::Service) -> bool {
    context.state().service_of(target).as_ref() == Some(service)
}

/// Waits until a call to a service that has no reply yet is better sent through a peer,
/// since this daemon no longer reaches the targets.
pub(crate) async fn until_detour(context: &Context, service: &name::Service, tried: &[SocketAddr]) {
    loop {
        let changed = context.link_changed.notified();
        let now = context.now();
        if context.state().detour(service, tried, 0, now).is_some() {
            return;
        }
        changed.await;
    }
}

/// Checks the links to all services, since what cuts off one often cuts off others.
fn check_all(context: &Arc<Context>) {
    let now = context.now();
    let unchecked = {
        let mut state = context.state();
        let mut services = state.services();
        services.retain(|service| state.links().begin_check(service, now));
        services
    };
    for service in unchecked {
        spawn_check(context, service, None);
    }
}

/// Connects to some targets at once; returns how many of them could be reached.
async fn count_reached(
    context: &Context,
    service: &name::Service,
    targets: &[(name::Target, SocketAddr)],
) -> usize {
    let connecting = targets.iter().map(async |(_, address)| {
        context.metrics.connection();
        let opened = HttpConnection::open(*address, CONNECT_TIMEOUT).await;
        if opened.is_ok() {
            context.state().links().record_reached(service);
            context.link_changed.notify_waiters();
        }
        opened.is_ok()
    });
    let reached = join_all(connecting).await;
    reached.into_iter().filter(|reached| *reached).count()
}
