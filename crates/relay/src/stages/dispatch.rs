//! Sends the pieces of a stage to the dispatchers of its service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gooseberry_kernel::name;
use gooseberry_kernel::stage::group::Group;
use gooseberry_wire::fleet::Unmade;
use tokio::time::sleep;

use crate::context::Context;
use crate::dispatcher::GroupOutput;
use crate::dispatcher::ResultOwner;

/// How long a seed that may not have started yet may take to accept a connection: some round
/// trips. A connection to a machine that starts meanwhile is made anew, since a lost packet
/// is sent again only after a second.
const SEED_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// How long to wait before a seed that has not started is tried again.
const SEED_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The output of a group and the dispatcher that ran it; `None` is this daemon.
pub(super) type RunResult = Result<(GroupOutput, Option<SocketAddr>), Unmade>;

/// Sends one group to the dispatchers of its service, in their order, until one
/// of them accepts it; returns the index of the stage and the result.
pub(super) async fn run_group(
    context: &Arc<Context>,
    index: usize,
    group: (name::Service, Group),
    input_owners: Vec<ResultOwner>,
) -> (usize, RunResult) {
    let (service, group) = group;
    let started = context.now();
    let own_process = context.state().members().process();
    // The order is looked up before each try: a dispatcher that returns
    // `Elsewhere` does so because the order has changed.
    let mut tried: Vec<Option<SocketAddr>> = Vec::new();
    loop {
        let order = context.state().dispatchers(&service, context.now());
        let next = order
            .into_iter()
            .find(|candidate| !tried.contains(candidate));
        let Some(dispatcher) = next else {
            return (index, Err(Unmade::Elsewhere));
        };
        if !has_started(context, dispatcher).await && context.now() < group.deadline {
            sleep(SEED_RETRY_DELAY).await;
            continue;
        }
        tried.push(dispatcher);
        let result = match dispatcher {
            None => Ok(context
                .dispatcher
                .run_group(
                    context,
                    &service,
                    group.clone(),
                    input_owners.clone(),
                    own_process,
                )
                .await),
            Some(address) => {
                context
                    .peers
                    .run_group(context, address, &service, &group, &input_owners)
                    .await
            }
        };
        match result {
            Ok(Err(Unmade::Elsewhere)) => {}
            Ok(Ok(output)) => {
                let now = context.now();
                log::info!(
                    request:% = group.attempt,
                    stage = index,
                    service:% = service,
                    pieces = group.pieces.len(),
                    took_ms = (now - started).0,
                    spare_ms = (group.on_time_deadline - now).0;
                    "stage completed"
                );
                return (index, Ok((output, dispatcher)));
            }
            Ok(Err(why)) => return (index, Err(why)),
            Err(_) => {
                if let Some(address) = dispatcher {
                    let now = context.now();
                    let mut state = context.state();
                    state.discovery().record_call(address, false, now);
                }
                log::warn!(
                    request:% = group.attempt,
                    service:% = service,
                    dispatcher:? = dispatcher;
                    "the dispatcher is unreachable; trying the next one"
                );
            }
        }
        if group.deadline <= context.now() {
            return (index, Err(Unmade::Late));
        }
    }
}

/// Returns false if a dispatcher is a seed that may start soon and cannot be reached yet.
async fn has_started(context: &Context, dispatcher: Option<SocketAddr>) -> bool {
    let Some(address) = dispatcher else {
        return true;
    };
    let may_start_late = {
        let now = context.now();
        context.state().discovery().may_start_late(address, now)
    };
    !may_start_late
        || context
            .peers
            .connects_within(address, SEED_CONNECT_TIMEOUT)
            .await
}
