//! The actor that owns the node.
//!
//! All reads and changes of the node are messages to this actor, so decisions
//! are made one after the other without a lock. The actor does no I/O; it
//! handles a message in microseconds.

use std::sync::Arc;

use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::cold_reports;
use gooseberry_kernel::concurrency_limit::TargetSignal;
use gooseberry_kernel::drain::Phase;
use gooseberry_kernel::handover::Chunk;
use gooseberry_kernel::heartbeat::Heartbeat;
use gooseberry_kernel::id;
use gooseberry_kernel::idempotency::Completion;
use gooseberry_kernel::idempotency::Decision;
use gooseberry_kernel::idempotency::Key;
use gooseberry_kernel::lease::RecentList;
use gooseberry_kernel::node::Action;
use gooseberry_kernel::node::AdmittedRequest;
use gooseberry_kernel::node::IncomingRequest;
use gooseberry_kernel::node::Missing;
use gooseberry_kernel::node::Node;
use gooseberry_kernel::node::RetryDecision;
use gooseberry_kernel::node::SendPermit;
use gooseberry_kernel::node::TargetChoice;
use gooseberry_kernel::published_list::Member;
use gooseberry_kernel::published_list::PublishedList;
use gooseberry_kernel::retry_policy::RetryState;
use gooseberry_kernel::route::AttemptResult;
use gooseberry_kernel::route::RouteQuery;
use gooseberry_kernel::settings::Tree;
use gooseberry_kernel::slot::Call;
use gooseberry_kernel::slot::SlotDecision;
use gooseberry_kernel::slot::Wake;
use ractor::Actor;
use ractor::ActorProcessingErr;
use ractor::ActorRef;
use ractor::RpcReplyPort;
use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::metrics::Metrics;

/// A closure that reads the node at the current time.
pub type ReadFn = Box<dyn FnOnce(&Node, Millis) + Send>;

/// The reply to a call that asked for a slot at a target.
#[derive(Debug)]
pub enum StartReply {
    /// The call has a slot and may be sent.
    SendNow,
    /// The call is queued; the channel yields `None` when it may be sent, or the
    /// reason of its refusal.
    Queued(oneshot::Receiver<Option<Kind>>),
}

/// The messages of the actor.
pub enum Message {
    /// Periodic tick; the reply has the peers that get a heartbeat, and the heartbeat.
    Tick(RpcReplyPort<(Vec<Member>, Heartbeat)>),
    /// The platform's answer to a poll of the list and the time of the poll;
    /// `None` if there is no newer list.
    ReadList(Option<PublishedList>, Millis),
    /// The platform's answer to a poll of the settings and the time of the poll;
    /// `None` if there are no newer settings.
    ReadSettings(Option<Tree>, Millis),
    /// The platform's reports of cold targets and the time of the poll.
    ReadColdTargets(Vec<cold_reports::ColdReport>, Millis),
    /// A peer sent its recent lists.
    AdoptRecentLists(Vec<RecentList>),
    /// A peer sent its list.
    AdoptList(PublishedList),
    /// A peer sent its settings.
    AdoptSettings(Tree),
    /// A peer sent a heartbeat.
    HeartbeatReceived(Heartbeat, RpcReplyPort<(Heartbeat, Missing)>),
    /// A peer answered the heartbeat that was sent at the given time.
    HeartbeatAnswered(Heartbeat, Millis, RpcReplyPort<Missing>),
    /// A caller's request asks for admission.
    AdmitRequest(
        IncomingRequest,
        RpcReplyPort<Result<AdmittedRequest, Failure>>,
    ),
    /// An admitted request of the workspace has ended.
    RequestEnded(id::Workspace),
    /// A stage needs a target; the flag is true for its first attempt.
    ChooseTarget(
        RouteQuery,
        bool,
        RpcReplyPort<Result<TargetChoice, Failure>>,
    ),
    /// The result of an attempt, which updates what is known of its target.
    ReportAttempt(AttemptResult),
    /// An attempt at the pool failed; the time is the deadline for retries.
    DecideRetry(
        id::Pool,
        Failure,
        RetryState,
        Millis,
        RpcReplyPort<RetryDecision>,
    ),
    /// A call asks for a slot at a target that this daemon owns.
    StartCall(Call, RpcReplyPort<Result<StartReply, Failure>>),
    /// A call that has a slot asks for a permit to be sent now.
    PermitSend(
        id::Target,
        id::Attempt,
        RpcReplyPort<Result<SendPermit, Failure>>,
    ),
    /// A call will not be sent; its slot or queue entry is released.
    CancelCall(id::Target, id::Attempt),
    /// A call has ended; the reply is the target's load in percent, if known.
    FinishCall(
        id::Target,
        id::Attempt,
        TargetSignal,
        id::Digest,
        RpcReplyPort<Option<u32>>,
    ),
    /// A request with a key arrives at the key's owner; the flag is true if the
    /// caller marked it as the first attempt.
    BeginKey(
        Key,
        id::Digest,
        bool,
        RpcReplyPort<Result<Decision, Failure>>,
    ),
    /// A request with a key has ended.
    EndKey(Key, Completion),
    /// Starts a graceful shutdown with the given limit.
    ShutDown(Millis),
    /// Gives up all ownership; the reply has what each next owner takes over.
    HandOver(RpcReplyPort<Vec<(Member, Vec<Chunk>)>>),
    /// A leaving peer hands over a part of what it owned.
    ReceiveHandOver(Chunk),
    /// Gives up all ownership; the reply has the peers to notify, and the heartbeat.
    Goodbye(RpcReplyPort<(Vec<Member>, Heartbeat)>),
    /// Runs a closure that reads the node.
    Read(ReadFn),
}

/// The actor that handles [`Message`]s.
#[derive(Debug)]
pub struct NodeActor;

/// The start arguments of the actor.
#[derive(Debug)]
pub struct Arguments {
    /// The node that the actor owns.
    pub node: Node,
    /// The clock that gives each message its time.
    pub clock: Clock,
    /// Where violated invariants are counted.
    pub metrics: Arc<Metrics>,
}

/// The node and the calls that wait for a slot.
#[derive(Debug)]
pub struct State {
    node: Node,
    clock: Clock,
    metrics: Arc<Metrics>,
    /// The queued calls, sorted by attempt.
    queued_calls: Vec<QueuedCall>,
}

#[derive(Debug)]
struct QueuedCall {
    attempt: id::Attempt,
    sender: oneshot::Sender<Option<Kind>>,
}

impl Actor for NodeActor {
    type Msg = Message;
    type State = State;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        _myself: ActorRef<Message>,
        arguments: Arguments,
    ) -> Result<State, ActorProcessingErr> {
        Ok(State {
            node: arguments.node,
            clock: arguments.clock,
            metrics: arguments.metrics,
            queued_calls: Vec::new(),
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        let now = state.clock.now();
        state.handle(message, now);
        let wakes = state.node.take_wakes();
        state.wake(wakes);
        state.report_violations();
        Ok(())
    }
}

impl State {
    fn handle(&mut self, message: Message, now: Millis) {
        let node = &mut self.node;
        match message {
            Message::Tick(reply) => self.tick(reply, now),
            Message::ReadList(Some(list), asked_at) => {
                node.apply_published_list(&list, asked_at, now);
            }
            Message::ReadList(None, asked_at) => node.confirm_list(asked_at),
            Message::ReadSettings(Some(tree), asked_at) => {
                node.apply_published_settings(&tree, asked_at, now);
            }
            Message::ReadColdTargets(reports, asked_at) => {
                node.apply_cold_reports(&reports, asked_at, now);
            }
            Message::ReadSettings(None, asked_at) => node.confirm_settings(asked_at),
            Message::AdoptRecentLists(lists) => node.adopt_recent_lists(&lists, now),
            Message::AdoptList(list) => node.adopt_list(&list, now),
            Message::AdoptSettings(tree) => node.adopt_settings(&tree, now),
            Message::HeartbeatReceived(heartbeat, reply) => {
                let missing = node.receive_heartbeat(&heartbeat, now);
                send(reply, (node.heartbeat(now), missing));
            }
            Message::HeartbeatAnswered(heartbeat, sent_at, reply) => {
                send(
                    reply,
                    node.receive_heartbeat_reply(&heartbeat, sent_at, now),
                );
            }
            Message::AdmitRequest(request, reply) => send(reply, node.admit(&request, now)),
            Message::RequestEnded(workspace) => node.release(&workspace),
            Message::ChooseTarget(query, is_first, reply) => {
                if is_first {
                    node.record_first_attempt();
                }
                send(reply, node.choose_target(&query, now));
            }
            Message::ReportAttempt(result) => node.record_reply(&result, now),
            Message::DecideRetry(pool, failure, retry_state, deadline, reply) => {
                let decision = node.decide_retry(&pool, &failure, retry_state, deadline, now);
                send(reply, decision);
            }
            Message::StartCall(call, reply) => self.start(&call, reply, now),
            Message::PermitSend(target, attempt, reply) => {
                send(reply, node.permit_send(&target, attempt, now));
            }
            Message::CancelCall(target, attempt) => self.cancel(&target, attempt),
            Message::FinishCall(target, attempt, signal, digest, reply) => {
                let wakes = node.finish_call(&target, attempt, signal, digest, now);
                send(reply, node.load_percent(&target, now));
                self.wake(wakes);
            }
            Message::BeginKey(key, digest, is_first, reply) => {
                send(reply, node.begin_key(&key, digest, is_first, now));
            }
            Message::EndKey(key, completion) => node.finish_key(&key, completion, now),
            Message::ShutDown(limit) => node.begin_shutdown(limit, now),
            Message::HandOver(reply) => send(reply, node.start_handover(now)),
            Message::ReceiveHandOver(chunk) => node.receive_handover(&chunk, now),
            Message::Goodbye(reply) => {
                let peers = node.announce_departure();
                send(reply, (peers, node.heartbeat(now)));
            }
            Message::Read(read_fn) => read_fn(node, now),
        }
    }

    fn tick(&mut self, reply: RpcReplyPort<(Vec<Member>, Heartbeat)>, now: Millis) {
        let mut peers = Vec::new();
        let mut wakes = Vec::new();
        for action in self.node.tick(now) {
            match action {
                Action::SendHeartbeat(member) => peers.push(member),
                Action::Wake(wake) => wakes.push(wake),
            }
        }
        self.wake(wakes);
        send(reply, (peers, self.node.heartbeat(now)));
    }

    fn start(
        &mut self,
        call: &Call,
        reply: RpcReplyPort<Result<StartReply, Failure>>,
        now: Millis,
    ) {
        let start_reply = self
            .node
            .start_call(call, now)
            .map(|decision| match decision {
                SlotDecision::Queued => StartReply::Queued(self.queue(call.attempt)),
                // `start_call` returns a refusal as an error, so none gets here.
                SlotDecision::Granted | SlotDecision::Refused(_) => StartReply::SendNow,
            });
        send(reply, start_reply);
    }

    fn queue(&mut self, attempt: id::Attempt) -> oneshot::Receiver<Option<Kind>> {
        let (sender, receiver) = oneshot::channel();
        let position = self
            .queued_calls
            .binary_search_by(|call| call.attempt.cmp(&attempt));
        let index = position.unwrap_or_else(|index| index);
        self.queued_calls
            .insert(index, QueuedCall { attempt, sender });
        receiver
    }

    fn wake(&mut self, wakes: Vec<Wake>) {
        for wake in wakes {
            let position = self
                .queued_calls
                .binary_search_by(|call| call.attempt.cmp(&wake.attempt));
            let sender = position
                .ok()
                .map(|index| self.queued_calls.remove(index).sender);
            let is_delivered = sender.is_some_and(|sender| sender.send(wake.refusal).is_ok());
            // Nobody waits for the call any more, so its slot is released.
            if !is_delivered && wake.refusal.is_none() {
                self.node.cancel_call(&wake.target, wake.attempt);
            }
        }
    }

    fn cancel(&mut self, target: &id::Target, attempt: id::Attempt) {
        self.node.cancel_call(target, attempt);
        let position = self
            .queued_calls
            .binary_search_by(|call| call.attempt.cmp(&attempt));
        if let Ok(index) = position {
            self.queued_calls.remove(index);
        }
    }

    fn report_violations(&mut self) {
        for name in self.node.take_violations() {
            // Only counts are logged: the node holds keys, answers and digests of
            // credentials.
            log::error!(
                invariant = name,
                list_revision = self.node.leases().revision().0,
                settings_revision = self.node.settings().revision().0,
                requests = self.node.requests(),
                calls_in_flight = self.node.slots().in_flight(),
                calls_queued = self.node.slots().queued();
                "invariant violated"
            );
            self.metrics.count_violation(name);
        }
    }
}

/// Sends a reply; it is dropped if nobody waits for it any more.
fn send<T: Send + 'static>(port: RpcReplyPort<T>, value: T) {
    port.send(value).ok();
}

/// Sends messages to the actor.
#[derive(Clone, Debug)]
pub struct Handle {
    actor: ActorRef<Message>,
}

impl Handle {
    /// Starts the actor.
    ///
    /// # Errors
    /// Returns an error if the actor cannot be started.
    pub async fn spawn(arguments: Arguments) -> anyhow::Result<Self> {
        let (actor, _) = Actor::spawn(None, NodeActor, arguments).await?;
        Ok(Self { actor })
    }

    /// Sends a message without a reply.
    pub fn tell(&self, message: Message) {
        // This fails only after the actor was stopped, at the end of the daemon.
        self.actor.cast(message).ok();
    }

    /// Sends a message at once, and returns a future of its reply.
    ///
    /// The message is sent before the future is first polled, so that messages
    /// reach the actor in the order of these calls, whatever task awaits them.
    ///
    /// # Errors
    /// The future returns [`Kind::Internal`] if the actor has ended.
    pub fn ask<T: Send + 'static, F: FnOnce(RpcReplyPort<T>) -> Message>(
        &self,
        message: F,
    ) -> impl Future<Output = Result<T, Failure>> + Send + use<T, F> {
        let (sender, receiver) = oneshot::channel();
        self.tell(message(sender.into()));
        async move { receiver.await.map_err(|_| Kind::Internal.into()) }
    }

    /// Sends a message at once whose reply may be a refusal, like [`Self::ask`].
    ///
    /// # Errors
    /// The future returns the refusal, or [`Kind::Internal`] if the actor has
    /// ended.
    pub fn try_ask<T: Send + 'static, F: FnOnce(RpcReplyPort<Result<T, Failure>>) -> Message>(
        &self,
        message: F,
    ) -> impl Future<Output = Result<T, Failure>> + Send + use<T, F> {
        let reply = self.ask(message);
        async move { reply.await? }
    }

    /// Reads the node with a closure that runs in the actor.
    ///
    /// # Errors
    /// Returns [`Kind::Internal`] if the actor has ended.
    pub async fn read<T: Send + 'static>(
        &self,
        read: impl FnOnce(&Node, Millis) -> T + Send + 'static,
    ) -> Result<T, Failure> {
        let (sender, receiver) = oneshot::channel();
        let read_fn: ReadFn = Box::new(move |node, now| {
            sender.send(read(node, now)).ok();
        });
        self.tell(Message::Read(read_fn));
        receiver.await.map_err(|_| Kind::Internal.into())
    }

    /// Returns the phase of the shutdown; [`Phase::LimitReached`] if the actor has ended.
    pub async fn phase(&self) -> Phase {
        let phase = self.read(Node::shutdown_phase).await;
        phase.unwrap_or(Phase::LimitReached)
    }

    /// Waits until the actor has ended: it was stopped, or it panicked.
    pub async fn ended(&self) {
        self.actor.wait(None).await.ok();
    }

    /// Stops the actor.
    pub fn stop(&self) {
        self.actor.stop(None);
    }
}
