//! Finds out where a stream that a client resumes may go on, and tells others where
//! streams begin.
//!
//! - `survey` asks targets which streams they hold, if no daemon knows.
//! - `run_check` checks that a target still is the run that the list names.

pub(crate) mod run_check;
mod survey;

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::future;
use futures::future::Either;
use futures::stream::FuturesUnordered;
use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::stream_origin;
use gooseberry_kernel::request::stream_origin::BACKUPS;
use gooseberry_kernel::request::stream_origin::BACKUPS_ASKED;
use gooseberry_kernel::request::stream_origin::Evidence;
use gooseberry_kernel::request::stream_origin::Origin;
use gooseberry_kernel::request::stream_trace::Finding;
use gooseberry_kernel::request::stream_trace::PartTrace;
use gooseberry_kernel::request::stream_trace::Trace;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::context::Context;
use crate::request::Job;
pub use crate::resumption::survey::Holder;

/// How many daemons are asked about a stream that no backup knows: the one that has seen
/// most, and another one if it does not answer.
const WITNESSES_ASKED: usize = 2;
/// How long the backups alone are asked. Live ones answer within some milliseconds.
const BACKUPS_FIRST: Duration = Duration::from_millis(50);
/// How long the search for the origin of a stream may take. Clients give a stream up that
/// sends nothing for longer.
const SEARCH_TIMEOUT: Duration = Duration::from_secs(2);

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
    let search = find_origin(context, &job, &last_event, began);
    let found = timeout(SEARCH_TIMEOUT, search).await.unwrap_or_default();
    log_decision(context, &job, found.as_ref(), began);
    let (origin, _) = found.ok_or(Kind::NoTarget)?;
    let table = context.state().routing_table().cloned();
    let service = table.and_then(|table| table.service(&origin.service).cloned());
    let mut shares = job.route.shares.iter();
    let is_allowed = shares.any(|share| share.service == origin.service);
    job.service = service.filter(|_| is_allowed).ok_or(Kind::NoTarget)?;
    job.origin = Some(origin);
    Ok(job)
}

/// Logs whether it was found out where a stream began, with what this daemon knows of the
/// versions.
fn log_decision(context: &Context, job: &Job, found: Option<&(Origin, Evidence)>, began: Millis) {
    let now = context.now();
    let (versions, confirmed_age) = {
        let state = context.state();
        let versions = state.versions(&job.service.name, now);
        (versions, state.confirmed_age(now))
    };
    log::info!(
        request:% = job.head.attempt,
        resumes:% = job.head.resumed_attempt.clone().unwrap_or_default(),
        last_event:% = job.head.resumed_after.clone().unwrap_or_default(),
        service:% = job.service.name,
        version:% = found.map(|(origin, _)| origin.version.clone()).unwrap_or_default(),
        evidence:% = found.map_or("none", |(_, evidence)| evidence.label()),
        versions:? = versions.seen,
        listed_ms:? = versions.listed_since.map(|since| (now - since).0),
        asked_ms:? = versions.asked_at.map(|at| (now - at).0),
        confirmed_ms:? = confirmed_age.map(|age| age.0),
        took_ms = (now - began).0;
        "searched where a stream began"
    );
}

/// Finds out where the stream began that a request resumes. The daemons that keep it are
/// asked before what lists and targets show.
async fn find_origin(
    context: &Arc<Context>,
    job: &Job,
    last_event: &str,
    resumed_at: Millis,
) -> Option<(Origin, Evidence)> {
    let attempt = job.head.resumed_attempt.as_ref();
    let known = attempt.and_then(|attempt| context.state().origins().get(attempt).cloned());
    if let Some(origin) = known {
        return Some((origin, Evidence::Record));
    }
    let backups = pin!(async {
        let origin = ask_backups(context, attempt?).await?;
        Some((origin, Evidence::Backup))
    });
    let traces = pin!(async {
        if attempt.is_some() {
            sleep(BACKUPS_FIRST).await;
        }
        find_traces(context, job, last_event, resumed_at).await
    });
    match future::select(backups, traces).await {
        Either::Left((Some(found), _)) | Either::Right((Some(found), _)) => Some(found),
        Either::Left((None, traces)) => traces.await,
        Either::Right((None, backups)) => backups.await,
    }
}

/// Finds out where a stream began that no daemon remembers.
async fn find_traces(
    context: &Arc<Context>,
    job: &Job,
    last_event: &str,
    resumed_at: Millis,
) -> Option<(Origin, Evidence)> {
    let service = &job.service.name;
    let origin_at = |version| Origin {
        service: service.clone(),
        version,
    };
    if let Some(version) = only_version(context, service, resumed_at).await {
        return Some((origin_at(version), Evidence::List));
    }
    let version = ask_witnesses(context, job, last_event).await?;
    Some((origin_at(version), Evidence::Witness))
}

/// Returns the only version of a service at which a stream may have begun that a client
/// resumed at this time; `None` if there may be another one.
async fn only_version(
    context: &Arc<Context>,
    service: &name::Service,
    resumed_at: Millis,
) -> Option<name::Version> {
    let versions = context.state().versions(service, resumed_at);
    versions.only_one_if_current(resumed_at)?;
    context.store_checker.bring_up_to(context, resumed_at).await;
    let versions = context.state().versions(service, context.now());
    versions.only_one(resumed_at).cloned()
}

/// Asks other daemons, and through them the targets, at which version a stream began that no
/// backup knows.
async fn ask_witnesses(
    context: &Arc<Context>,
    job: &Job,
    last_event: &str,
) -> Option<name::Version> {
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
            None => Ok(find_version(context, service, &trace, Asker::Own).await),
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
        Finding::Version(version) => Some(version),
        Finding::Ambiguous | Finding::NotFound | Finding::Unanswered => None,
    }
}

/// Who asks a daemon where a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Asker {
    /// A peer, with which this daemon is in contact.
    Peer,
    /// This daemon itself, which may be cut off from all others.
    Own,
}

/// Returns at which version of a service the stream with this trace began, as far as this
/// daemon or the targets know.
pub(crate) async fn find_version(
    context: &Arc<Context>,
    service: &name::Service,
    trace: &Trace,
    asker: Asker,
) -> Finding {
    let resumed_at = context.now();
    let origin = context.state().origins().get(&trace.attempt).cloned();
    match origin {
        Some(origin) if origin.service == *service => return Finding::Version(origin.version),
        // It began at another service of its route.
        Some(_) => return Finding::NotFound,
        None => {}
    }
    // The target that wrote the stream may not be listed here yet.
    let is_current = context.store_checker.bring_up_to(context, resumed_at).await;
    let versions = context.state().versions(service, context.now());
    if let Some(version) = versions.only_one(resumed_at) {
        return Finding::Version(version.clone());
    }
    if is_current || asker == Asker::Peer {
        let finding = survey::find(context, service, trace).await;
        log_holdings(context, service, trace, &finding);
        if finding != Finding::NotFound || !is_current {
            return finding;
        }
        let version = rule_out_others(context, service, trace, resumed_at).await;
        return version.map_or(finding, Finding::Version);
    }
    // A target that is not listed may hold the same prompt, but not the same run.
    let run = Trace {
        part: None,
        ..trace.clone()
    };
    match survey::find(context, service, &run).await {
        Finding::NotFound => Finding::Unanswered,
        finding => finding,
    }
}

/// Logs what decided where a stream began, by what targets hold.
fn log_holdings(context: &Context, service: &name::Service, trace: &Trace, finding: &Finding) {
    let holdings = context.state().surveys().holdings(service, trace);
    log::info!(
        resumes:% = trace.attempt,
        service:% = service,
        part:? = trace.part,
        holdings:?,
        finding:?;
        "compared what targets hold of a stream"
    );
}

/// Returns the version of a stream whose prompt targets of that version alone have read, if no
/// target of another version can have written it: neither one that is listed nor one that has
/// left.
async fn rule_out_others(
    context: &Arc<Context>,
    service: &name::Service,
    trace: &Trace,
    resumed_at: Millis,
) -> Option<name::Version> {
    let stream_max = context.state().stream_timeout(service)? + context.boot.leaving_time;
    let look = || {
        let mut state = context.state();
        let listed = state.incarnations(service);
        let reader = state.surveys().only_reader(service, trace, &listed)?;
        let versions = state.versions(service, context.now());
        let are_departed_excluded =
            versions.excludes_departed(&reader.version, resumed_at, stream_max);
        Some((reader, are_departed_excluded))
    };
    let (mut reader, mut are_departed_excluded) = look()?;
    if reader.undecided.is_empty() && !are_departed_excluded {
        context.history_reader.read(context).await;
        (reader, are_departed_excluded) = look()?;
    }
    let is_proved = reader.undecided.is_empty() && are_departed_excluded;
    log::info!(
        resumes:% = trace.attempt,
        service:% = service,
        version:% = reader.version,
        undecided:? = reader.undecided,
        are_departed_excluded,
        is_proved,
        stream_max_ms = stream_max.0,
        took_ms = (context.now() - resumed_at).0;
        "looked for targets of other versions that may have written a stream"
    );
    is_proved.then_some(reader.version)
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
    let mut state = context.state();
    if let Some(first) = state.origins().record(attempt, origin.clone(), now) {
        log::warn!(
            request:% = attempt,
            source,
            version:% = origin.version,
            first_version:% = first.version;
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
