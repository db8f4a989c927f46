//! Batches the pieces of stages into calls to targets: one daemon queues the
//! pieces of a service for the whole fleet.
//!
//! [`BatchQueue`](gooseberry_kernel::stage::batch_queue::BatchQueue) decides
//! which pieces go to which target; this module sends the calls and completes
//! the groups that wait for their pieces. A group is the pieces of one request
//! at one stage. A daemon becomes the dispatcher of a service with the first
//! group that it is sent, and is idle again when no group is left.
//!
//! - `service_dispatch` holds the queue of one service and the groups in it.
//! - `call` sends one call and distributes its results to the groups.
//! - `result_memory` queries the memory use of targets, and frees results there.

mod call;
mod result_memory;
mod service_dispatch;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::membership::Process;
use gooseberry_kernel::name;
use gooseberry_kernel::request::deadline_admission::ServiceWait;
use gooseberry_kernel::stage::batch_queue::ExpiryReason;
use gooseberry_kernel::stage::batch_queue::Ticket;
use gooseberry_kernel::stage::group::Group;
use gooseberry_kernel::stage::group_results::GroupResults;
use gooseberry_platform::stage_call;
use gooseberry_wire::fleet::Unmade;
use tokio::sync::oneshot;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use crate::context::Context;
use crate::dispatcher::call::run_call;
use crate::dispatcher::result_memory::free_at_target;
use crate::dispatcher::result_memory::query_usage;
pub(crate) use crate::dispatcher::result_memory::release_results;
use crate::dispatcher::service_dispatch::PendingGroup;
use crate::dispatcher::service_dispatch::ServiceDispatch;
use crate::dispatcher::service_dispatch::dispatch_of;

/// How often the queues are checked for expired groups and due calls if no
/// other event causes it.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The results of all pieces of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupOutput {
    /// The handles of the results, in the order of the piece numbers.
    pub handles: Vec<name::Handle>,
    /// The failure domain whose targets hold them; that of the last result if
    /// there are several.
    pub domain: name::Domain,
    /// Whether the inputs of the group have been released already.
    pub are_inputs_freed: bool,
}

/// Results, and the daemon that dispatched them: it tracks which of them are
/// still in use, and frees them at their targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResultOwner {
    /// The service that computed the results.
    pub service: name::Service,
    /// The address at which peers reach the daemon.
    pub address: SocketAddr,
    /// The handles of the results.
    pub handles: Vec<name::Handle>,
}

/// The result of running a group.
type GroupResult = Result<GroupOutput, Unmade>;

/// The queues of all services that this daemon has dispatched for.
#[derive(Debug, Default)]
pub struct Dispatcher {
    services: Mutex<Vec<ServiceDispatch>>,
}

impl Dispatcher {
    /// Queues the pieces of a group, waits until targets have computed them, and
    /// returns their results.
    ///
    /// `input_owners` own the inputs that only this group reads;
    /// `origin` is the daemon that handles the request. Dropping the future
    /// removes the group from the queue.
    ///
    /// # Errors
    /// Returns [`Unmade`] with the reason if a piece could not be computed.
    pub async fn run_group(
        &self,
        context: &Arc<Context>,
        service: &name::Service,
        group: Group,
        input_owners: Vec<ResultOwner>,
        origin: Process,
    ) -> GroupResult {
        let now = context.now();
        let (spec, targets, is_first) = {
            let state = context.state();
            let spec = state.batch_spec(service).ok_or(Unmade::Elsewhere)?;
            let is_first = state.is_first_dispatcher(service, now);
            if !is_first && state.is_link_down(service) {
                return Err(Unmade::Elsewhere);
            }
            (spec, state.stage_targets(service, now).len(), is_first)
        };
        let (reply, replied) = oneshot::channel();
        let ticket = {
            let mut services = self.lock();
            let dispatch = dispatch_of(&mut services, service);
            if let Err(retry_after) = dispatch.queue.admit(&group, targets, &spec, now) {
                let waits = dispatch.queue.waits(targets, &spec, now).map(|wait| wait.0);
                log::info!(
                    request:% = group.attempt,
                    service:% = service,
                    rank = group.rank.0,
                    waits_ms:? = waits,
                    on_time_ms = (group.on_time_deadline - now).0,
                    until_ms = (group.deadline - now).0,
                    targets,
                    retry_ms = retry_after.0;
                    "refused at the queue: the group could not complete in time"
                );
                return Err(Unmade::Full(retry_after.0));
            }
            dispatch.record_group(now);
            if is_first {
                dispatch.update_is_first(true);
            }
            let results = GroupResults::new(&group.pieces);
            let ticket = dispatch.queue.push(group, now);
            dispatch.pending.push(PendingGroup {
                ticket,
                results,
                tries: 0,
                input_owners,
                origin,
                are_inputs_freed: false,
                reply,
            });
            ticket
        };
        let _cancel_guard = CancelGuard {
            dispatcher: self,
            service,
            ticket,
        };
        self.send_due_calls(context, service);
        replied.await.unwrap_or(Err(Unmade::Failed))
    }

    /// Releases results that nobody reads any more.
    ///
    /// Results that this daemon dispatched are freed at their targets with the
    /// next tick. Others are unknown here, and freed at their targets at once.
    pub fn free(&self, context: &Arc<Context>, service: &name::Service, handles: &[name::Handle]) {
        let unknown = {
            let mut services = self.lock();
            let dispatch = dispatch_of(&mut services, service);
            dispatch.queue.results().free(handles)
        };
        for handle in unknown {
            let target = stage_call::target_address(&handle)
                .and_then(|address| context.state().target_at(service, address));
            let target = target.filter(|(target, _)| {
                let now = context.now();
                context.state().try_take_call(target, now)
            });
            if let Some((target, address)) = target {
                let context = context.clone();
                tokio::spawn(
                    async move { free_at_target(&context, target, address, &[handle]).await },
                );
            }
        }
    }

    /// Returns how long pieces wait at each service for which groups wait at this
    /// daemon.
    pub fn waits(&self, context: &Context, now: Millis) -> Vec<ServiceWait> {
        let services: Vec<name::Service> = {
            let services = self.lock();
            let active = services
                .iter()
                .filter(|dispatch| !dispatch.pending.is_empty());
            active.map(|dispatch| dispatch.service.clone()).collect()
        };
        let waits = services.into_iter().filter_map(|service| {
            let (spec, targets) = {
                let state = context.state();
                (
                    state.batch_spec(&service)?,
                    state.stage_targets(&service, now).len(),
                )
            };
            let mut services = self.lock();
            let queue = &dispatch_of(&mut services, &service).queue;
            let waits = queue.waits(targets, &spec, now);
            let late = queue.late_wait(targets, &spec, now);
            Some(ServiceWait {
                service,
                wait_by_rank: waits,
                late_wait: late,
            })
        });
        waits.collect()
    }

    /// Returns whether no group waits at this daemon.
    pub fn is_idle(&self) -> bool {
        self.lock()
            .iter()
            .all(|dispatch| dispatch.pending.is_empty())
    }

    /// Expires groups that are out of time, and sends the calls that are due. If
    /// the memory use of the targets is unknown, queries it first.
    fn send_due_calls(&self, context: &Arc<Context>, service: &name::Service) {
        let now = context.now();
        let (spec, targets) = {
            let state = context.state();
            let Some(spec) = state.batch_spec(service) else {
                return;
            };
            (spec, state.stage_targets(service, now))
        };
        let mut services = self.lock();
        let dispatch = dispatch_of(&mut services, service);
        if dispatch.take_query_due() {
            let (context, service) = (context.clone(), service.clone());
            let targets: Vec<name::Target> =
                targets.into_iter().map(|target| target.name).collect();
            tokio::spawn(async move {
                query_usage(&context, &service, spec, &targets).await;
                context.dispatcher.send_due_calls(&context, &service);
            });
            return;
        }
        let to_query = dispatch.targets_to_query(now);
        if !to_query.is_empty() {
            let (context, service) = (context.clone(), service.clone());
            tokio::spawn(async move { query_usage(&context, &service, spec, &to_query).await });
        }
        for expired in dispatch.queue.expire(targets.len(), &spec, now) {
            context.metrics.pieces("expired", 1);
            log::info!(
                request:% = expired.attempt,
                service:% = service,
                targets = targets.len(),
                late_wait_ms = expired.late_wait.0;
                "expired in the queue: {:?}", expired.reason
            );
            let why = match expired.reason {
                ExpiryReason::Late => Unmade::Late,
                ExpiryReason::Gone => Unmade::Gone,
                ExpiryReason::Full(retry_after) => Unmade::Full(retry_after.0),
            };
            dispatch.complete(expired.ticket, Err(why));
        }
        while let Some(call) = dispatch.queue.next_call(&targets, &spec, now) {
            let context = context.clone();
            let service = service.clone();
            tokio::spawn(async move { run_call(&context, &service, spec, call).await });
        }
    }

    /// Does the periodic work of every service.
    fn tick(&self, context: &Arc<Context>) {
        let services: Vec<name::Service> = {
            let services = self.lock();
            services
                .iter()
                .map(|dispatch| dispatch.service.clone())
                .collect()
        };
        for service in services {
            self.hand_over_if_not_first(context, &service);
            self.drop_departed_origins(context, &service);
            self.send_due_calls(context, &service);
        }
    }

    /// Returns the waiting groups to their origins if another daemon is now
    /// the first choice for the service: two daemons that dispatch for it at
    /// once send more and smaller calls.
    fn hand_over_if_not_first(&self, context: &Arc<Context>, service: &name::Service) {
        let now = context.now();
        let is_first = context.state().is_first_dispatcher(service, now);
        let mut services = self.lock();
        let dispatch = dispatch_of(&mut services, service);
        if dispatch.update_is_first(is_first) {
            let groups = dispatch.hand_over();
            log::info!(service:% = service, groups; "another daemon dispatches for the service from now on; waiting groups were returned");
        }
    }

    /// Cancels the groups and frees the results of daemons that ended or fell
    /// silent: no other daemon would free the results, and they would take
    /// memory at their targets until they expire.
    fn drop_departed_origins(&self, context: &Arc<Context>, service: &name::Service) {
        let now = context.now();
        let mut origins = dispatch_of(&mut self.lock(), service).origins();
        origins.retain(|origin| context.state().members().has_ended(*origin, now));
        if origins.is_empty() {
            return;
        }
        let (groups, results) = dispatch_of(&mut self.lock(), service).cancel_origins(&origins);
        if groups + results > 0 {
            log::info!(service:% = service, groups, results; "groups cancelled and results freed of a daemon that is gone");
        }
    }

    /// Tells targets which of their results are freed.
    fn send_freed(&self, context: &Arc<Context>) {
        let mut freed = Vec::new();
        for dispatch in self.lock().iter_mut() {
            for (target, handles) in dispatch.queue.results().take_freed() {
                freed.push((dispatch.service.clone(), target, handles));
            }
        }
        for (service, target, handles) in freed {
            let now = context.now();
            if !context.state().try_take_call(&target, now) {
                // The target keeps these results until they expire, and so does the queue.
                continue;
            }
            let address = context.state().address(&target);
            let context = context.clone();
            tokio::spawn(async move {
                if let Some(address) = address {
                    free_at_target(&context, target, address, &handles).await;
                }
                let mut services = context.dispatcher.lock();
                dispatch_of(&mut services, &service)
                    .queue
                    .results()
                    .remove_freed(&handles, context.now());
            });
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<ServiceDispatch>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Does the dispatcher's periodic work for as long as the process runs.
pub async fn run_ticks(context: Arc<Context>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        context.dispatcher.tick(&context);
        context.dispatcher.send_freed(&context);
    }
}

/// Cancels a group, if it has not completed, when its future is dropped.
struct CancelGuard<'a> {
    dispatcher: &'a Dispatcher,
    service: &'a name::Service,
    ticket: Ticket,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        let mut services = self.dispatcher.lock();
        let dispatch = dispatch_of(&mut services, self.service);
        if let Some(pending) = dispatch.remove(self.ticket) {
            dispatch.queue.cancel(self.ticket);
            let completed: Vec<name::Handle> = pending.results.handles().cloned().collect();
            dispatch.queue.results().free(&completed);
        }
    }
}
