//! The dispatcher of stage services: one queue for the pieces of the fleet.
//!
//! Which pieces go where is decided by
//! [`BatchQueue`](gooseberry_kernel::stage::batch_queue::BatchQueue); here are the calls, and the
//! daemons' requests that wait for their pieces. A daemon dispatches for a
//! service as soon as it is asked to, and stops when nobody asks any more.
//!
//! - `desk` holds the requests that wait at one service, beside its queue.
//! - `call` sends one call and gives out what came of it.
//! - `room` asks targets what they keep, and gives results up.

mod call;
mod desk;
mod room;

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
use gooseberry_platform::pieces;
use gooseberry_wire::fleet::Unmade;
use tokio::sync::oneshot;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use crate::context::Context;
use crate::dispatcher::call::run;
use crate::dispatcher::desk::Desk;
use crate::dispatcher::desk::Open;
use crate::dispatcher::desk::desk;
use crate::dispatcher::room::ask_rooms;
use crate::dispatcher::room::free;
pub(crate) use crate::dispatcher::room::give_up;

/// How often waiting groups are looked at without another cause.
const TICK: Duration = Duration::from_millis(50);

/// Pieces that were made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The results, in the order of the pieces' numbers.
    pub handles: Vec<name::Handle>,
    /// The failure domain in which they lie.
    pub domain: name::Domain,
    /// Whether the keepers of the inputs know that they have been read.
    pub are_inputs_freed: bool,
}

/// A daemon that dispatched the inputs of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keeper {
    /// The service that made them.
    pub service: name::Service,
    /// Where the daemon is reached.
    pub address: SocketAddr,
    /// The inputs.
    pub handles: Vec<name::Handle>,
}

type Reply = Result<Batch, Unmade>;

/// The queues of the services that this daemon dispatches for.
#[derive(Debug, Default)]
pub struct Dispatcher {
    desks: Mutex<Vec<Desk>>,
}

impl Dispatcher {
    /// Has the pieces of a group made, in the order of their numbers.
    ///
    /// Dropping the future takes the group out of the queue.
    ///
    /// # Errors
    /// Returns [`Unmade`] with the reason if a piece was not made.
    pub async fn make(
        &self,
        context: &Arc<Context>,
        service: &name::Service,
        group: Group,
        keepers: Vec<Keeper>,
        asker: Process,
    ) -> Reply {
        let now = context.now();
        let (pieces, targets, is_first) = {
            let state = context.state();
            let pieces = state.pieces(service).ok_or(Unmade::Elsewhere)?;
            let is_first = state.dispatches(service, now);
            (pieces, state.makers(service, now).len(), is_first)
        };
        let (reply, replied) = oneshot::channel();
        let ticket = {
            let mut desks = self.lock();
            let desk = desk(&mut desks, service);
            if let Err(span) = desk.queue.admit(&group, targets, &pieces, now) {
                let waits = desk.queue.waits(targets, &pieces, now).map(|wait| wait.0);
                log::info!(
                    request:% = group.attempt,
                    service:% = service,
                    rank = group.rank.0,
                    waits_ms:? = waits,
                    on_time_ms = (group.on_time_deadline - now).0,
                    until_ms = (group.deadline - now).0,
                    targets,
                    retry_ms = span.0;
                    "refused at the queue: it would wait in vain"
                );
                return Err(Unmade::Full(span.0));
            }
            desk.note_group(now);
            if is_first {
                desk.note_first(true);
            }
            let wanted = group.pieces.clone();
            let ticket = desk.queue.push(group, now);
            desk.open.push(Open {
                ticket,
                wanted,
                made: Vec::new(),
                tries: 0,
                keepers,
                asker,
                are_inputs_freed: false,
                reply,
            });
            ticket
        };
        let _cancel = Cancel {
            dispatcher: self,
            service,
            ticket,
        };
        self.pump(context, service);
        replied.await.unwrap_or(Err(Unmade::Failed))
    }

    /// Notes that nobody reads the results any more.
    ///
    /// Results that another daemon dispatched are given up at their makers at
    /// once; they are not counted here.
    pub fn free(&self, context: &Arc<Context>, service: &name::Service, handles: &[name::Handle]) {
        let unknown = {
            let mut desks = self.lock();
            let desk = desk(&mut desks, service);
            desk.queue.results().free(handles)
        };
        for handle in unknown {
            let target = pieces::maker(&handle)
                .and_then(|address| context.state().target_at(service, address));
            if let Some((target, address)) = target {
                let context = context.clone();
                tokio::spawn(async move { free(&context, target, address, &[handle]).await });
            }
        }
    }

    /// Returns how long pieces wait here, by service.
    pub fn waits(&self, context: &Context, now: Millis) -> Vec<ServiceWait> {
        let services: Vec<name::Service> = {
            let desks = self.lock();
            let active = desks.iter().filter(|desk| !desk.open.is_empty());
            active.map(|desk| desk.service.clone()).collect()
        };
        let waits = services.into_iter().filter_map(|service| {
            let (pieces, targets) = {
                let state = context.state();
                (state.pieces(&service)?, state.makers(&service, now).len())
            };
            let mut desks = self.lock();
            let queue = &desk(&mut desks, &service).queue;
            let waits = queue.waits(targets, &pieces, now);
            let late = queue.late_wait(targets, &pieces, now);
            Some(ServiceWait {
                service,
                wait_by_rank: waits,
                late_wait: late,
            })
        });
        waits.collect()
    }

    /// Tells whether nobody waits here.
    pub fn is_idle(&self) -> bool {
        self.lock().iter().all(|desk| desk.open.is_empty())
    }

    /// Sends the calls that can be sent now.
    fn pump(&self, context: &Arc<Context>, service: &name::Service) {
        let now = context.now();
        let (pieces, makers) = {
            let state = context.state();
            let Some(pieces) = state.pieces(service) else {
                return;
            };
            (pieces, state.makers(service, now))
        };
        let mut desks = self.lock();
        let desk = desk(&mut desks, service);
        if desk.take_unknown() {
            let (context, service) = (context.clone(), service.clone());
            let targets: Vec<name::Target> = makers.into_iter().map(|one| one.name).collect();
            tokio::spawn(async move {
                ask_rooms(&context, &service, pieces, &targets).await;
                context.dispatcher.pump(&context, &service);
            });
            return;
        }
        let due = desk.due_rooms(now);
        if !due.is_empty() {
            let (context, service) = (context.clone(), service.clone());
            tokio::spawn(async move { ask_rooms(&context, &service, pieces, &due).await });
        }
        for expired in desk.queue.expire(makers.len(), &pieces, now) {
            context.metrics.pieces("expired", 1);
            log::info!(
                request:% = expired.attempt,
                service:% = service,
                targets = makers.len(),
                late_wait_ms = expired.late_wait.0;
                "given up at the queue: {:?}", expired.reason
            );
            let why = match expired.reason {
                ExpiryReason::Late => Unmade::Late,
                ExpiryReason::Gone => Unmade::Gone,
                ExpiryReason::Full(span) => Unmade::Full(span.0),
            };
            desk.close(expired.ticket, Err(why));
        }
        while let Some(call) = desk.queue.next_call(&makers, &pieces, now) {
            let context = context.clone();
            let service = service.clone();
            tokio::spawn(async move { run(&context, &service, pieces, call).await });
        }
    }

    fn tick(&self, context: &Arc<Context>) {
        let services: Vec<name::Service> = {
            let desks = self.lock();
            desks.iter().map(|desk| desk.service.clone()).collect()
        };
        for service in services {
            self.look_who_is_first(context, &service);
            self.look_who_is_gone(context, &service);
            self.pump(context, &service);
        }
    }

    /// Hands the waiting groups over if another daemon is now the first to be
    /// asked, since two that dispatch at once send more and smaller calls.
    fn look_who_is_first(&self, context: &Arc<Context>, service: &name::Service) {
        let now = context.now();
        let is_first = context.state().dispatches(service, now);
        let mut desks = self.lock();
        let desk = desk(&mut desks, service);
        if desk.note_first(is_first) {
            let groups = desk.hand_over();
            log::info!(service:% = service, groups; "another daemon dispatches from now on");
        }
    }

    /// Gives up what daemons left behind that ended or fell silent: nobody else
    /// knows of it, and it would take room until it ages out.
    fn look_who_is_gone(&self, context: &Arc<Context>, service: &name::Service) {
        let now = context.now();
        let mut askers = desk(&mut self.lock(), service).askers();
        askers.retain(|asker| context.state().members().has_ended(*asker, now));
        if askers.is_empty() {
            return;
        }
        let (groups, results) = desk(&mut self.lock(), service).forget(&askers);
        if groups + results > 0 {
            log::info!(service:% = service, groups, results; "a daemon has left groups and results behind");
        }
    }

    fn tell_freed(&self, context: &Arc<Context>) {
        let mut freed = Vec::new();
        for desk in self.lock().iter_mut() {
            for (target, handles) in desk.queue.results().take_freed() {
                freed.push((desk.service.clone(), target, handles));
            }
        }
        for (service, target, handles) in freed {
            let address = context.state().address(&target);
            let context = context.clone();
            tokio::spawn(async move {
                if let Some(address) = address {
                    free(&context, target, address, &handles).await;
                }
                let mut desks = context.dispatcher.lock();
                desk(&mut desks, &service)
                    .queue
                    .results()
                    .remove_freed(&handles, context.now());
            });
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Desk>> {
        self.desks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Looks at the queues for as long as the process runs.
pub async fn watch(context: Arc<Context>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        context.dispatcher.tick(&context);
        context.dispatcher.tell_freed(&context);
    }
}

struct Cancel<'a> {
    dispatcher: &'a Dispatcher,
    service: &'a name::Service,
    ticket: Ticket,
}

impl Drop for Cancel<'_> {
    fn drop(&mut self) {
        let mut desks = self.dispatcher.lock();
        let desk = desk(&mut desks, self.service);
        if let Some(open) = desk.take(self.ticket) {
            desk.queue.cancel(self.ticket);
            let made: Vec<name::Handle> = open.made.into_iter().map(|(_, handle)| handle).collect();
            desk.queue.results().free(&made);
        }
    }
}
