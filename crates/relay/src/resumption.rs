//! Finds out where a stream that a client resumes may go on, and tells others where
//! streams begin.

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

use crate::context::Context;
use crate::request::Job;

/// Restricts a stream that a client resumes to targets of the service and version
/// that began it.
///
/// # Errors
/// Returns a refusal if it is not known where the stream began and versions differ, or
/// if its route no longer allows that service.
pub async fn restrict(context: &Context, mut job: Job) -> Result<Job, Failure> {
    if !job.route.is_resumable || job.head.resumed_after.is_none() {
        return Ok(job);
    }
    let versions = context.state().versions(&job.service.name, context.now());
    let mut origin = None;
    if let Some(attempt) = &job.head.resumed_attempt {
        origin = context.state().origins().get(attempt).cloned();
        if stream_origin::resumption(origin.as_ref(), &versions) == Resumption::Unknown {
            origin = ask_backups(context, attempt).await;
        }
    }
    match stream_origin::resumption(origin.as_ref(), &versions) {
        Resumption::Anywhere => {}
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
                versions:? = versions;
                "refused: it is not known at which version the stream began"
            );
            return Err(Kind::NoTarget.into());
        }
    }
    Ok(job)
}

/// Records where the stream of a request began, here and at the backups.
pub fn record(context: &Arc<Context>, job: &Job, origin: &Origin) {
    let head = &job.head;
    let attempt = head.resumed_attempt.as_ref().unwrap_or(&head.attempt);
    let now = context.now();
    let backups = backups(context, attempt, BACKUPS, now);
    let mut state = context.state();
    state.origins().record(attempt, origin.clone(), now);
    drop(state);
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
