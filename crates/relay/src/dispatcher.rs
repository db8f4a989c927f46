//! The dispatcher of stage services: one queue for the pieces of the fleet.
//!
//! Which pieces go where is decided by [`Queue`]; here are the calls, and the
//! daemons' requests that wait for their pieces. A daemon dispatches for a
//! service as soon as it is asked to, and stops when nobody asks any more.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::door::Wait;
use gooseberry_kernel::request::table::Pieces;
use gooseberry_kernel::stage::queue::Call;
use gooseberry_kernel::stage::queue::Group;
use gooseberry_kernel::stage::queue::Queue;
use gooseberry_kernel::stage::queue::Ticket;
use gooseberry_kernel::stage::queue::Why;
use gooseberry_platform::pieces;
use gooseberry_platform::pieces::Made;
use gooseberry_wire::fleet::Unmade;
use http::StatusCode;
use tokio::sync::oneshot;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::timeout;

use crate::context::Context;
use crate::exchange::Callee;
use crate::exchange::Exchange;
use crate::pool::KEPT_MAX;

/// How often waiting groups are looked at without another cause.
const TICK: Duration = Duration::from_millis(50);
/// Every how many ticks freed results are told to their makers.
const FREE_EVERY: u64 = 1;
/// How much longer than expected a call may take, as a factor, and beside it.
const CALL_FACTOR: u64 = 3;
const CALL_SLACK: Millis = Millis(300);
/// How often the pieces of a group are tried.
const TRIES_MAX: u32 = 3;
/// The largest answer of a stage call, in bytes.
const ANSWER_MAX_BYTES: usize = 1 << 20;
/// How long after a call was sent its target has surely fetched the inputs: a
/// full call's take some twenty milliseconds.
const READ_AFTER: Duration = Duration::from_millis(120);
/// How long a target may take to say what it keeps.
const ASK_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a target may take to hear which results are freed.
const FREE_TIMEOUT: Duration = Duration::from_secs(1);

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

/// A group whose request waits here for its pieces.
#[derive(Debug)]
struct Open {
    ticket: Ticket,
    wanted: Vec<u32>,
    made: Vec<(u32, name::Handle)>,
    tries: u32,
    keepers: Vec<Keeper>,
    are_inputs_freed: bool,
    reply: oneshot::Sender<Reply>,
}

#[derive(Debug)]
struct Desk {
    service: name::Service,
    queue: Queue,
    open: Vec<Open>,
    /// Whether the targets were asked what they keep already.
    is_known: bool,
}

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
    ) -> Reply {
        let now = context.now();
        let (pieces, targets) = {
            let state = context.state();
            let pieces = state.pieces(service).ok_or(Unmade::Elsewhere)?;
            (pieces, state.makers(service, now).len())
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
                    on_time_ms = (group.on_time - now).0,
                    until_ms = (group.until - now).0,
                    targets,
                    retry_ms = span.0;
                    "refused at the queue: it would wait in vain"
                );
                return Err(Unmade::Full(span.0));
            }
            let wanted = group.pieces.clone();
            let ticket = desk.queue.push(group, now);
            desk.open.push(Open {
                ticket,
                wanted,
                made: Vec::new(),
                tries: 0,
                keepers,
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
    pub fn waits(&self, context: &Context, now: Millis) -> Vec<Wait> {
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
            Some(Wait { service, waits })
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
        if !desk.is_known {
            desk.is_known = true;
            let (context, service) = (context.clone(), service.clone());
            let targets: Vec<name::Target> = makers.into_iter().map(|one| one.target).collect();
            tokio::spawn(async move {
                ask_rooms(&context, &service, pieces, &targets).await;
                context.dispatcher.pump(&context, &service);
            });
            return;
        }
        for expired in desk.queue.expire(makers.len(), &pieces, now) {
            context.metrics.pieces("expired", 1);
            let why = match expired.why {
                Why::Late => Unmade::Late,
                Why::Gone => Unmade::Gone,
                Why::Full(span) => Unmade::Full(span.0),
            };
            desk.close(expired.ticket, Err(why));
        }
        while let Some(call) = desk.queue.next(&makers, &pieces, now) {
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
            self.pump(context, &service);
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
                    .forget(&handles, context.now());
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
    for count in 0_u64.. {
        ticks.tick().await;
        context.dispatcher.tick(&context);
        if count.is_multiple_of(FREE_EVERY) {
            context.dispatcher.tell_freed(&context);
        }
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

impl Desk {
    fn take(&mut self, ticket: Ticket) -> Option<Open> {
        let index = self.open.iter().position(|open| open.ticket == ticket)?;
        Some(self.open.remove(index))
    }

    /// Ends a group; what was made of it in vain is given up.
    fn close(&mut self, ticket: Ticket, reply: Reply) {
        let Some(open) = self.take(ticket) else {
            return;
        };
        self.queue.cancel(ticket);
        if reply.is_err() {
            let made: Vec<name::Handle> = open.made.into_iter().map(|(_, handle)| handle).collect();
            self.queue.results().free(&made);
        }
        // The request may have gone in this moment; its guard freed nothing
        // then, so the results age out.
        open.reply.send(reply).ok();
    }

    fn note_made(
        &mut self,
        ticket: Ticket,
        piece: u32,
        handle: name::Handle,
        domain: &name::Domain,
    ) {
        let Some(open) = self.open.iter_mut().find(|open| open.ticket == ticket) else {
            self.queue.results().free(&[handle]);
            return;
        };
        open.made.push((piece, handle));
        if open.made.len() == open.wanted.len() {
            let mut made = std::mem::take(&mut open.made);
            made.sort_by_key(|(piece, _)| *piece);
            let handles = made.into_iter().map(|(_, handle)| handle).collect();
            let batch = Batch {
                handles,
                domain: domain.clone(),
                are_inputs_freed: open.are_inputs_freed,
            };
            self.close(ticket, Ok(batch));
        }
    }

    /// Queues pieces again, unless they were tried often enough.
    fn again(&mut self, ticket: Ticket, group: Group, counts: bool, now: Millis) {
        let Some(open) = self.open.iter_mut().find(|open| open.ticket == ticket) else {
            return;
        };
        open.tries += u32::from(counts);
        if open.are_inputs_freed {
            self.close(ticket, Err(Unmade::Gone));
        } else if open.tries >= TRIES_MAX {
            self.close(ticket, Err(Unmade::Failed));
        } else {
            self.queue.push_back(ticket, group, now);
        }
    }
}

/// What a call came to as a whole.
enum Outcome {
    Answered(Vec<Made>),
    /// The target did not take the call.
    Refused,
    /// The call failed, and the target may still be at work on it.
    Failed(String),
}

/// Sends one call and gives out what came of it.
async fn run(context: &Arc<Context>, service: &name::Service, pieces: Pieces, call: Call) {
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
        Outcome::Answered(_) => ("answered", ""),
        Outcome::Refused => ("refused", ""),
        Outcome::Failed(why) => ("failed", why.as_str()),
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
        expected_ms = (call.expected - sent).0,
        took_ms = (now - sent).0,
        detail;
        "stage call {label}"
    );
    note_health(context, &call.target, &outcome, now);
    let dispatcher = &context.dispatcher;
    let target = call.target.clone();
    let is_full = {
        let mut desks = dispatcher.lock();
        let desk = desk(&mut desks, service);
        desk.queue.end(&call.target);
        if matches!(outcome, Outcome::Refused) {
            desk.queue.rest(&call.target, now);
        }
        give_out(desk, call, outcome, pieces, now)
    };
    if is_full {
        ask_rooms(context, service, pieces, &[target]).await;
    }
    dispatcher.pump(context, service);
}

/// Tells the keepers of a call's inputs that they have been read.
///
/// A target fetches the inputs when the turn of its call comes, and it had no
/// other call. A group that is made in several calls keeps its inputs.
fn free_inputs(context: &Arc<Context>, service: &name::Service, call: &Call) {
    let mut keepers = Vec::new();
    {
        let mut desks = context.dispatcher.lock();
        let desk = desk(&mut desks, service);
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
        if keeper.address == context.boot.peers {
            context
                .dispatcher
                .free(context, &keeper.service, &keeper.handles);
        } else {
            let context = context.clone();
            tokio::spawn(async move {
                let peers = &context.peers;
                peers
                    .free(keeper.address, &keeper.service, &keeper.handles)
                    .await;
            });
        }
    }
}

/// Asks targets what they keep, so that what another daemon dispatched counts.
async fn ask_rooms(
    context: &Arc<Context>,
    service: &name::Service,
    pieces: Pieces,
    targets: &[name::Target],
) {
    let asked = targets.iter().map(async |target| {
        let room = ask_room(context, target).await?;
        Some((target, pieces.room_bytes.saturating_sub(room)))
    });
    let kept = futures::future::join_all(asked).await;
    let now = context.now();
    let mut desks = context.dispatcher.lock();
    let results = desk(&mut desks, service).queue.results();
    for (target, bytes) in kept.into_iter().flatten() {
        results.note_kept(target, bytes, pieces.kept, now);
        log::info!(service:% = service, target:% = target, bytes; "a target told what it keeps");
    }
}

async fn ask_room(context: &Arc<Context>, target: &name::Target) -> Option<u64> {
    let address = context.state().address(target)?;
    let callee = Callee {
        target: target.clone(),
        address,
        idle_max: KEPT_MAX,
        runs_once: false,
    };
    let request = pieces::ask_room(&address.to_string(), target).ok()?;
    let asked = timeout(ASK_TIMEOUT, async {
        let mut exchange = Exchange::begin(context, &callee, request).await.ok()?;
        let body = exchange.read(ANSWER_MAX_BYTES).await.ok()?;
        exchange.keep(context, None);
        pieces::read_room(&body).ok()
    });
    asked.await.ok().flatten()
}

fn note_health(context: &Context, target: &name::Target, outcome: &Outcome, now: Millis) {
    let mut state = context.state();
    match outcome {
        Outcome::Answered(_) => state.health().note_good(target),
        Outcome::Refused => {}
        Outcome::Failed(_) => state.health().note_unreachable(target, now),
    }
}

/// Gives out what came of a call; returns whether the target was full.
fn give_out(desk: &mut Desk, call: Call, outcome: Outcome, pieces: Pieces, now: Millis) -> bool {
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
                    results.keep(handle.clone(), &target, group.bytes, pieces.kept, now);
                    desk.note_made(part.ticket, *piece, handle, &call.domain);
                }
                Made::Late => desk.close(part.ticket, Err(Unmade::Late)),
                Made::Gone => desk.close(part.ticket, Err(Unmade::Gone)),
                Made::Room => {
                    desk.queue.rest(&target, now);
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

async fn send(context: &Arc<Context>, call: &Call) -> Outcome {
    let now = context.now();
    let Some(address) = context.state().address(&call.target) else {
        return Outcome::Refused;
    };
    let callee = Callee {
        target: call.target.clone(),
        address,
        idle_max: KEPT_MAX,
        runs_once: false,
    };
    let request = match pieces::run(call, &address.to_string(), now) {
        Ok(request) => request,
        Err(error) => return Outcome::Failed(format!("{error:#}")),
    };
    let count = call.parts.iter().map(|part| part.group.pieces.len()).sum();
    let expected = call.expected - now;
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

async fn free(
    context: &Arc<Context>,
    target: name::Target,
    address: SocketAddr,
    handles: &[name::Handle],
) {
    let callee = Callee {
        target,
        address,
        idle_max: KEPT_MAX,
        runs_once: false,
    };
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

fn desk<'a>(desks: &'a mut Vec<Desk>, service: &name::Service) -> &'a mut Desk {
    let found = desks.binary_search_by(|desk| desk.service.cmp(service));
    let index = found.unwrap_or_else(|index| {
        let desk = Desk {
            service: service.clone(),
            queue: Queue::default(),
            open: Vec::new(),
            is_known: false,
        };
        desks.insert(index, desk);
        index
    });
    &mut desks[index]
}
