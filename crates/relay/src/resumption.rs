//! Finds out where a stream that a client resumes may go on, and tells others where
//! streams begin.
//!
//! - `survey` asks targets which streams they hold, if no daemon knows.

mod survey;

use std::net::SocketAddr;
use std::sync::Arc;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::stream_origin;
use gooseberry_kernel::request::stream_origin::BACKUPS;
use gooseberry_kernel::request::stream_origin::BACKUPS_ASKED;
use gooseberry_kernel::request::stream_origin::Origin;
use gooseberry_kernel::request::stream_origin::Resumption;
use gooseberry_kernel::request::stream_trace::Finding;
use gooseberry_kernel::request::stream_trace::PartTrace;
use gooseberry_kernel::request::stream_trace::Trace;

use crate::context::Context;
use crate::request::Job;
pub use crate::resumption::survey::Holder;

/// How many daemons are asked about a stream that no backup knows: the one that has seen
/// most, and another one if it does not answer.
const WITNESSES_ASKED: usize = 2;

/// Restricts a stream that a client resumes to targets of the service and version
/// that began it.
///
/// # Errors
/// Returns a refusal if it cannot be found out where the stream began, or if its route no
/// longer allows that service.
pub async fn restrict(context: &Arc<Context>, mut job: Job) -> Result<Job, Failure> {
    if !job.route.is_resumable {
        return Ok(job);
    }
    let Some(last_event) = job.head.resumed_after.clone() else {
        return Ok(job);
    };
    let began = context.now();
    let (versions, listed_age, confirmed_age) = {
        let state = context.state();
        let versions = state.versions(&job.service.name, began);
        (
            versions,
            state.listed_age(began),
            state.confirmed_age(began),
        )
    };
    let mut origin = None;
    let mut source = "list";
    if let Some(attempt) = &job.head.resumed_attempt {
        origin = context.state().origins().get(attempt).cloned();
        source = "record";
        if stream_origin::resumption(origin.as_ref(), &job.service.name, &versions)
            == Resumption::Unknown
        {
            origin = ask_backups(context, attempt).await;
            source = "backup";
        }
    }
    if stream_origin::resumption(origin.as_ref(), &job.service.name, &versions)
        == Resumption::Unknown
    {
        origin = ask_witnesses(context, &job, &last_event).await;
        source = "witness";
    }
    let resumption = stream_origin::resumption(origin.as_ref(), &job.service.name, &versions);
    log::info!(
        request:% = job.head.attempt,
        resumes:% = job.head.resumed_attempt.clone().unwrap_or_default(),
        last_event:% = last_event,
        resumption:? = resumption,
        source = if origin.is_some() { source } else { "list" },
        versions:? = versions.seen,
        are_all_seen = versions.is_complete,
        listed_ms:? = listed_age.map(|age| age.0),
        confirmed_ms:? = confirmed_age.map(|age| age.0),
        took_ms = (context.now() - began).0;
        "decided where a stream may go on"
    );
    match resumption {
        Resumption::At(origin) => {
            let table = context.state().routing_table().cloned();
            let service = table.and_then(|table| table.service(&origin.service).cloned());
            let mut shares = job.route.shares.iter();
            let is_allowed = shares.any(|share| share.service == origin.service);
            job.service = service.filter(|_| is_allowed).ok_or(Kind::NoTarget)?;
            job.origin = Some(origin);
        }
        Resumption::Unknown => {
            log::info!(
                request:% = job.head.attempt,
                resumes:% = job.head.resumed_attempt.unwrap_or_default(),
                versions:? = versions.seen,
                are_all_seen = versions.is_complete;
                "refused: it is not known at which version the stream began"
            );
            return Err(Kind::NoTarget.into());
        }
    }
    Ok(job)
}

/// Asks other daemons, and through them the targets, where a stream began that no backup
/// knows.
async fn ask_witnesses(context: &Arc<Context>, job: &Job, last_event: &str) -> Option<Origin> {
    let began = context.now();
    let service = &job.service.name;
    let demand = job.head.demand.as_ref();
    let trace = Trace {
        attempt: job.head.resumed_attempt.clone().unwrap_or_default(),
        part: demand.and_then(|demand| PartTrace::new(&job.head.prompt_parts, demand, last_event)),
    };
    let witnesses = context.state().witnesses(service, began);
    let mut finding = Finding::Unanswered;
    // This daemon asks the targets itself if the others do not answer.
    for witness in witnesses.into_iter().take(WITNESSES_ASKED).chain([None]) {
        let answer = match witness {
            Some(peer) => context.peers.stream_version(peer, service, &trace).await,
            None => Ok(find_version(context, service, &trace).await),
        };
        log::info!(
            request:% = job.head.attempt,
            resumes:% = trace.attempt,
            witness:? = witness,
            part:? = trace.part,
            finding:? = answer,
            took_ms = (context.now() - began).0;
            "asked where a stream began"
        );
        finding = answer.unwrap_or(Finding::Unanswered);
        if finding != Finding::Unanswered {
            break;
        }
    }
    match finding {
        Finding::Version(version) => Some(Origin {
            service: service.clone(),
            version,
        }),
        Finding::Ambiguous | Finding::NotFound | Finding::Unanswered => None,
    }
}

/// Returns at which version of a service the stream with this trace began, as far as this
/// daemon or the targets know.
pub(crate) async fn find_version(
    context: &Arc<Context>,
    service: &name::Service,
    trace: &Trace,
) -> Finding {
    let now = context.now();
    let (origin, versions) = {
        let mut state = context.state();
        let origin = state.origins().get(&trace.attempt).cloned();
        (origin, state.versions(service, now))
    };
    let origin = origin.filter(|origin| origin.service == *service);
    match stream_origin::resumption(origin.as_ref(), service, &versions) {
        Resumption::At(origin) => Finding::Version(origin.version),
        Resumption::Unknown => survey::find(context, service, trace).await,
    }
}

/// Records where the stream of a request began, here and at the backups.
pub fn record(context: &Arc<Context>, job: &Job, origin: &Origin) {
    let head = &job.head;
    let attempt = head.resumed_attempt.as_ref().unwrap_or(&head.attempt);
    let now = context.now();
    let backups = backups(context, attempt, BACKUPS, now);
    record_here(context, attempt, origin, "own");
    for backup in backups {
        let (context, attempt, origin) = (context.clone(), attempt.clone(), origin.clone());
        tokio::spawn(async move {
            let kept = context
                .peers
                .back_up_origin(backup, &attempt, &origin)
                .await;
            if kept.is_err() {
                log::debug!(request:% = attempt, peer:% = backup; "a peer did not keep where a stream began");
            }
        });
    }
}

/// Records where the stream of an attempt began; `source` is who says so.
pub(crate) fn record_here(
    context: &Context,
    attempt: &name::Attempt,
    origin: &Origin,
    source: &str,
) {
    let now = context.now();
    let former = context
        .state()
        .origins()
        .record(attempt, origin.clone(), now);
    if let Some(former) = former {
        log::warn!(
            request:% = attempt,
            source,
            version:% = origin.version,
            former_version:% = former.version;
            "a stream goes on at another version than the one that began it"
        );
    }
}

/// Asks the backups of an attempt where its stream began; the first one that knows
/// decides.
async fn ask_backups(context: &Context, attempt: &name::Attempt) -> Option<Origin> {
    let backups = backups(context, attempt, BACKUPS_ASKED, context.now());
    let calls = backups.iter();
    let calls = calls.map(|backup| context.peers.origin(*backup, attempt));
    let mut calls: FuturesUnordered<_> = calls.collect();
    while let Some(answer) = calls.next().await {
        if let Ok(Some(origin)) = answer {
            return Some(origin);
        }
    }
    None
}

fn backups(
    context: &Context,
    attempt: &name::Attempt,
    count: usize,
    now: Millis,
) -> Vec<SocketAddr> {
    let mut state = context.state();
    let members = state.members();
    stream_origin::backups(attempt, &members.live(now), &members.me().name, count)
}
