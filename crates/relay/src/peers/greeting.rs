//! Greets peers periodically and merges their greetings into the state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::detour::Announcement;
use gooseberry_kernel::fleet::membership;
use gooseberry_kernel::fleet::membership::MemberChange;
use gooseberry_kernel::fleet::mirror::Revision;
use gooseberry_kernel::fleet::replica::Era;
use gooseberry_kernel::name;
use gooseberry_kernel::quarantine;
use gooseberry_kernel::request::part_quarantine;
use gooseberry_wire::control::Suspect;
use gooseberry_wire::fleet::Exchange;
use gooseberry_wire::fleet::Greeting;
use gooseberry_wire::fleet::Heartbeat;
use gooseberry_wire::fleet::RateLimit;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use crate::context::Context;
use crate::peers::Reply;
use crate::peers::Unreachable;
use crate::peers::fetch;

/// How many suspects a greeting carries at most.
const SUSPECTS_MAX: usize = 8;

/// Greets peers periodically, for as long as the process runs, and logs those
/// that fall silent.
pub async fn greet_periodically(context: Arc<Context>) {
    let mut ticks = interval(Duration::from_millis(membership::GREET_INTERVAL.0));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut last_tick = context.now();
    loop {
        ticks.tick().await;
        let now = context.now();
        let mut due = {
            let mut state = context.state();
            let members = state.members();
            for name in members.silent_since(last_tick, now) {
                log::warn!(member:% = name; "a peer fell silent");
            }
            members.next_greetings(now)
        };
        last_tick = now;
        // With fewer peers due than there are seeds, the seeds are greeted too:
        // they may know daemons that do not know this one.
        if due.len() < context.boot.seeds.len() {
            due.extend(context.boot.seeds.iter().copied());
        }
        due.retain(|address| *address != context.boot.peer_address);
        due.sort_unstable();
        due.dedup();
        for address in due {
            let context = context.clone();
            tokio::spawn(async move { greet_peer(&context, address).await });
        }
    }
}

/// Greets every live peer at once, as after a change of the store or when this
/// daemon begins to shut down.
pub async fn greet_all(context: &Arc<Context>) {
    let live: Vec<SocketAddr> = {
        let now = context.now();
        let mut state = context.state();
        state.members().live_addresses(now)
    };
    let calls = live.into_iter().map(|address| greet_peer(context, address));
    futures::future::join_all(calls).await;
}

/// Greets a peer, and applies the greeting that it replies with.
async fn greet_peer(context: &Arc<Context>, address: SocketAddr) {
    let message = message(context);
    match context.peers.greet(address, message).await {
        Ok(Reply::Heartbeat(reply)) => apply_heartbeat(context, reply),
        Ok(Reply::Exchange(reply)) => apply_exchange(context, reply, None),
        Ok(Reply::Greeting(reply)) => apply_greeting(context, reply, None, None),
        Err(Unreachable) => {}
    }
}

/// Returns this daemon's current greeting.
pub(super) fn message(context: &Context) -> Heartbeat {
    let now = context.now();
    let waits = context.dispatcher.waits(context, now);
    let mut state = context.state();
    for wait in &waits {
        state.record_wait(wait.clone(), now);
    }
    let suspects = state.suspects().newest_uncleared(SUSPECTS_MAX, now);
    let rate_limits = state.rate_limits_for_greeting();
    let parts = state.parts().evidence_for_message(now);
    let links = state.announcement_of_links();
    let (position, confirmed_age) = state.announcement(now);
    let greeting = Greeting {
        from: state.members().me().into(),
        others: state
            .members()
            .states_for_greeting(now)
            .iter()
            .map(Into::into)
            .collect(),
        through: position.revision.0,
        confirmed_ms: confirmed_age.0,
        waits: waits.iter().map(Into::into).collect(),
        suspects: suspects.iter().map(Suspect::from).collect(),
        rate_limits: rate_limits
            .iter()
            .map(|limit| RateLimit::new(limit, now))
            .collect(),
    };
    let exchange = Exchange {
        greeting,
        era: position.era.map(|era| era.0),
        parts: parts.into_iter().map(Into::into).collect(),
    };
    Heartbeat {
        exchange,
        announcement: (&links).into(),
    }
}

/// Merges a peer's heartbeat.
pub(super) fn apply_heartbeat(context: &Arc<Context>, message: Heartbeat) {
    apply_exchange(context, message.exchange, Some(message.announcement.into()));
}

/// Merges a peer's greeting, with what the first build does not have in it.
pub(super) fn apply_exchange(
    context: &Arc<Context>,
    message: Exchange,
    links: Option<Announcement>,
) {
    let now = context.now();
    let evidence = message.parts.into_iter().map(Into::into);
    let evidence: Vec<part_quarantine::Evidence> = evidence.collect();
    let quarantined = context.state().parts().merge(&evidence, now);
    for part in quarantined {
        log::info!(part:% = part, source:% = message.greeting.from.name; "a part of prompts is in quarantine: targets crash on it");
    }
    apply_greeting(context, message.greeting, message.era.map(Era), links);
}

/// Merges a peer's greeting into the state, and starts to fetch what the peer has of
/// the store and this daemon lacks. A peer of a former build names no era, or says nothing
/// of its links.
pub(super) fn apply_greeting(
    context: &Arc<Context>,
    greeting: Greeting,
    era: Option<Era>,
    links: Option<Announcement>,
) {
    let now = context.now();
    let address = greeting.from.address;
    let member = name::Member::new(&greeting.from.name);
    let mut state = context.state();
    state.record_links(&member, links);
    let direct = state.members().update_direct(greeting.from.into(), now);
    let others = greeting.others.into_iter();
    let relayed = others.filter_map(|member| state.members().update_relayed(member.into(), now));
    for change in direct.into_iter().chain(relayed.collect::<Vec<_>>()) {
        if let MemberChange::Found(name) = change {
            log::info!(member:% = name; "a peer was discovered");
        }
    }
    for wait in greeting.waits {
        state.record_wait(wait.into(), now);
    }
    let suspects = greeting.suspects.into_iter().map(quarantine::Suspect::from);
    let suspects: Vec<quarantine::Suspect> = suspects.collect();
    state.suspects().merge(&suspects, now);
    let limits = greeting.rate_limits.into_iter();
    state.merge_rate_limits(limits.map(|limit| limit.decode(now)));
    let revision = Revision(greeting.through);
    let Some(theirs) = state.replica().position_of_peer(era, revision) else {
        return;
    };
    state.record_confirmation(theirs, Millis(greeting.confirmed_ms), now);
    let is_chunk_missing = state.add_chunk_source(address, theirs);
    let request = state.begin_changes_fetch(theirs, now);
    drop(state);
    if request.is_none() && !is_chunk_missing {
        return;
    }
    let context = context.clone();
    tokio::spawn(async move {
        if let Some(request) = request {
            fetch::changes(&context, address, theirs, request).await;
        }
        fetch::chunks(&context).await;
    });
}
