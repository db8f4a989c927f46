//! Control messages between daemons.
//!
//! Daemons send each other heartbeats by the call `hello`. A heartbeat carries
//! the revisions of the list and the settings that its sender has; a daemon that
//! is behind fetches what it lacks from that peer. A daemon that shuts down hands
//! over what it owned and says goodbye.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use futures::Stream;
use futures::StreamExt;
use gooseberry_kernel::handover;
use gooseberry_kernel::heartbeat;
use gooseberry_kernel::lease;
use gooseberry_kernel::node::Missing;
use gooseberry_kernel::node::Node;
use gooseberry_kernel::published_list;
use gooseberry_kernel::published_list::Member;
use gooseberry_wire::control::Chunk;
use gooseberry_wire::control::Control;
use gooseberry_wire::control::ControlRequest;
use gooseberry_wire::control::ControlResponse;
use gooseberry_wire::control::Hello;
use gooseberry_wire::control::Past;
use gooseberry_wire::platform;
use tarpc::ClientMessage;
use tarpc::Response;
use tarpc::Transport;
use tarpc::context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tokio::sync::watch;

use crate::actor::Message;
use crate::context::Context;
use crate::peers;

/// How often the node gets a tick.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Clone)]
struct Server {
    context: Arc<Context>,
}

impl Control for Server {
    async fn hello(self, _: context::Context, hello: Hello) -> Hello {
        self.context.peers.drop_if_from_blocked(&hello.from).await;
        let node = &self.context.node;
        let Ok(hello) = heartbeat::Heartbeat::try_from(hello) else {
            return own_heartbeat(&self.context).await;
        };
        let from = hello.from.clone();
        let heartbeat_reply = node
            .ask(|reply| Message::HeartbeatReceived(hello, reply))
            .await;
        let Ok((answer, missing)) = heartbeat_reply else {
            return own_heartbeat(&self.context).await;
        };
        if missing != Missing::default() {
            let context = self.context.clone();
            tokio::spawn(async move { fetch_from(&context, &from, missing).await });
        }
        Hello::from(&answer)
    }

    async fn list(self, _: context::Context) -> platform::List {
        let read = |node: &Node, _| node.leases().list().map(Into::into);
        let list = self.context.node.read(read).await;
        list.ok().flatten().unwrap_or_default()
    }

    async fn past(self, _: context::Context) -> Option<Vec<Past>> {
        let read = |node: &Node, now| node.leases().recent_lists(now);
        let recent_lists = self.context.node.read(read).await.ok().flatten()?;
        Some(recent_lists.iter().map(Into::into).collect())
    }

    async fn hand_over(self, _: context::Context, chunk: Chunk) {
        match handover::Chunk::try_from(chunk) {
            Ok(chunk) => self.context.node.tell(Message::ReceiveHandOver(chunk)),
            Err(error) => log::warn!("a malformed hand-over was ignored: {error}"),
        }
    }

    async fn settings(self, _: context::Context) -> platform::Settings {
        let read = |node: &Node, _| platform::Settings::from(&node.settings().tree());
        self.context.node.read(read).await.unwrap_or_default()
    }
}

async fn own_heartbeat(context: &Context) -> Hello {
    let hello = context.node.read(Node::heartbeat).await;
    // The read fails only after the actor was stopped, at the end of the daemon.
    hello.map_or_else(|_| Hello::default(), |hello| Hello::from(&hello))
}

/// Serves the control messages of peers until `stop` becomes true.
pub async fn serve<L, T>(context: Arc<Context>, mut listener: L, mut stop: watch::Receiver<bool>)
where
    L: Stream<Item = io::Result<T>> + Unpin,
    T: Transport<Response<ControlResponse>, ClientMessage<ControlRequest>> + Send + 'static,
{
    loop {
        let transport = tokio::select! {
            transport = listener.next() => transport,
            _ = stop.wait_for(|stop| *stop) => return,
        };
        let Some(Ok(transport)) = transport else {
            continue;
        };
        let server = Server {
            context: context.clone(),
        };
        let channel = BaseChannel::with_defaults(transport);
        let requests = channel.execute(server.serve());
        tokio::spawn(requests.for_each_concurrent(None, |request| request));
    }
}

/// Sends heartbeats to the peers that the node names at each tick, until `stop`
/// becomes true.
pub async fn send_heartbeats(context: Arc<Context>, mut stop: watch::Receiver<bool>) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            _ = stop.wait_for(|stop| *stop) => return,
        }
        let Ok((members, hello)) = context.node.ask(Message::Tick).await else {
            return;
        };
        for member in members {
            let context = context.clone();
            let hello = Hello::from(&hello);
            tokio::spawn(async move { send_heartbeat(&context, &member, hello).await });
        }
    }
}

/// Gives up all ownership and hands the keys and targets over to their next
/// owners.
pub async fn hand_over(context: &Arc<Context>) {
    let Ok(chunks) = context.node.ask(Message::HandOver).await else {
        return;
    };
    let deliveries = chunks
        .iter()
        .map(|(member, chunks)| send_chunks(context, member, chunks));
    futures::future::join_all(deliveries).await;
}

async fn send_chunks(context: &Context, member: &Member, chunks: &[handover::Chunk]) {
    let delivery = async {
        let client = context.peers.control(member.control).await?;
        for chunk in chunks {
            let chunk = Chunk::from(chunk);
            client.hand_over(peers::control_context(), chunk).await?;
        }
        anyhow::Ok(())
    };
    if let Err(error) = delivery.await {
        log::warn!("the hand-over to {} failed: {error:#}", member.id);
    }
}

/// Says goodbye to every peer, and waits until each has answered or failed.
pub async fn say_goodbye(context: &Arc<Context>) {
    let Ok((members, hello)) = context.node.ask(Message::Goodbye).await else {
        return;
    };
    let heartbeats = members.iter().map(|member| {
        let hello = Hello::from(&hello);
        send_heartbeat(context, member, hello)
    });
    futures::future::join_all(heartbeats).await;
}

async fn send_heartbeat(context: &Context, member: &Member, hello: Hello) {
    let sent_at = context.clock.now();
    let answer = async {
        let client = context.peers.control(member.control).await?;
        let answer = client.hello(peers::control_context(), hello).await?;
        anyhow::Ok(heartbeat::Heartbeat::try_from(answer)?)
    };
    let answer = match answer.await {
        Ok(answer) => answer,
        Err(error) => {
            log::debug!("{} did not answer a heartbeat: {error:#}", member.id);
            context.peers.disconnect(member.control);
            return;
        }
    };
    let message = |reply| Message::HeartbeatAnswered(answer, sent_at, reply);
    if let Ok(missing) = context.node.ask(message).await {
        fetch(context, member, missing).await;
    }
}

async fn fetch_from(context: &Context, from: &gooseberry_kernel::id::Instance, missing: Missing) {
    let from = from.clone();
    let read = move |node: &Node, _| node.leases().list()?.member(&from).cloned();
    if let Ok(Some(member)) = context.node.read(read).await {
        fetch(context, &member, missing).await;
    }
}

/// Fetches from a peer what this daemon lacks.
///
/// Only one fetch runs at a time: after a change, all peers that are ahead
/// report it at the same moment, and each would send the same list or settings.
/// A caller that finds a fetch in progress returns at once; the next heartbeat
/// asks again if something is still missing.
async fn fetch(context: &Context, member: &Member, missing: Missing) {
    if missing == Missing::default() {
        return;
    }
    let Ok(client) = context.peers.control(member.control).await else {
        return;
    };
    let Some(_permit) = context.peers.begin_fetch() else {
        return;
    };
    if missing.list {
        let list = client.list(peers::control_context()).await;
        let list = list
            .ok()
            .and_then(|list| published_list::PublishedList::try_from(list).ok());
        if let Some(list) = list {
            context.node.tell(Message::AdoptList(list));
        }
    }
    if missing.recent_lists {
        let recent_lists = client.past(peers::control_context()).await.ok().flatten();
        let recent_lists =
            recent_lists.map(|lists| lists.into_iter().map(lease::RecentList::try_from).collect());
        if let Some(Ok(recent_lists)) = recent_lists {
            context.node.tell(Message::AdoptRecentLists(recent_lists));
        }
    }
    if missing.settings {
        let settings = client.settings(peers::control_context()).await;
        if let Ok(settings) = settings {
            context.node.tell(Message::AdoptSettings(settings.into()));
        }
    }
    // Holds the permit until the node has handled the messages above.
    context.node.read(|_, _| ()).await.ok();
}
