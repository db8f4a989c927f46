//! Sends requests to targets for peers.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use futures::stream;
use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::deadline_admission::Forecast;
use gooseberry_kernel::request::part_quarantine::Run;
use gooseberry_kernel::request::routing_table::Rank;
use gooseberry_platform::target;
use gooseberry_platform::target::Reply;
use gooseberry_platform::target::Validity;
use gooseberry_wire::detour;
use gooseberry_wire::detour::Call;
use gooseberry_wire::detour::Outcome;
use gooseberry_wire::detour::Sender;
use http::Request;
use http::Response;
use http::StatusCode;
use http::request::Parts;
use http_body::Frame;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use http_body_util::StreamBody;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::context::Context;
use crate::exchange::Callee;
use crate::exchange::Error;
use crate::exchange::Exchange;
use crate::exchange::RUN_ONCE_IDLE_MAX;
use crate::forward::pick;
use crate::forward::pick::InFlightGuard;
use crate::http_server;
use crate::http_server::ResponseBody;
use crate::link;
use crate::pool::IDLE_MAX;
use crate::pool::Lane;
use crate::progress::SentMark;
use crate::resumption::run_check;
use crate::state::Need;
use crate::state::PickedTarget;

/// To how many targets a request is sent until one can be reached.
const TARGETS_MAX: usize = 2;

/// How long a request is expected to run whose peer does not say it: long enough that a target
/// at which nothing waits has answered.
const RUN_IF_UNKNOWN: Millis = Millis(300);
/// The rank of a request whose peer does not say it, as it does only for engines: the
/// middle one.
const RANK_IF_UNKNOWN: Rank = Rank(4);

/// A target's reply that is passed on to the peer.
struct PassedReply {
    context: Arc<Context>,
    exchange: Exchange,
    reply: Reply,
    version: name::Version,
    _in_flight_guard: InFlightGuard,
}

/// Sends the request of a peer to a target, and returns the target's reply. The request is
/// dropped when the peer closes the connection.
pub(crate) async fn serve(
    context: Arc<Context>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let (mut parts, body) = request.into_parts();
    let Some(call) = detour::take::<Call>(&mut parts.headers, detour::CALL) else {
        log::warn!("a request for a detour is refused: it does not say how to send it");
        return outcome_only(&not_sent("the call cannot be read", None));
    };
    let began = context.now();
    let mark = SentMark::default();
    let result = tokio::select! {
        biased;
        result = handle(&context, &call, parts, body, &mark) => result,
        () = context.shutdown.ended() => Err(outcome_at_end(&mark)),
    };
    let (response, label) = match result {
        Ok(passed) => (pass_on(passed), "passed on"),
        Err(outcome) => {
            let label = match &outcome {
                Outcome::Replied(_) | Outcome::Unknown { .. } => "may have run",
                Outcome::NotSent { .. } => "not sent",
            };
            log::info!(request:% = call.attempt, outcome:? = outcome; "a peer's request gets no reply");
            (outcome_only(&outcome), label)
        }
    };
    context.metrics.detour("taken", label);
    log::info!(
        request:% = call.attempt,
        service:% = call.service,
        status = response.status().as_u16(),
        took_ms = (context.now() - began).0;
        "request sent for a peer: {label}"
    );
    response
}

/// Reads the body, picks a target and sends the request there.
async fn handle(
    context: &Arc<Context>,
    call: &Call,
    mut parts: Parts,
    body: Incoming,
    mark: &SentMark,
) -> Result<PassedReply, Outcome> {
    let arrived = context.now();
    let deadline = arrived + call.left();
    let due = arrived + call.due();
    let service = name::Service::new(&call.service);
    let (service, max_bytes) = {
        let state = context.state();
        let table = state.routing_table();
        let service = state.service(&service).cloned();
        let max_bytes = table.map_or(0, |table| table.limits.max_body_bytes);
        (service, max_bytes)
    };
    let service = service.ok_or_else(|| not_sent("the service is unknown", None))?;
    let size = body.size_hint().upper().unwrap_or(max_bytes as u64);
    let memory = context.body_memory.acquire(size);
    let _memory = memory.ok_or_else(|| not_sent("there is no memory for the request", None))?;
    let reading = Limited::new(body, max_bytes).collect();
    let body = timeout(Duration::from_millis(call.left_ms), reading).await;
    let Ok(Ok(body)) = body else {
        return Err(not_sent("the request cannot be read", None));
    };
    let body = body.to_bytes();
    // Answered only now, since a response before the end of the body may be lost.
    if context.state().is_link_down(&service.name) {
        return Err(Outcome::NotSent {
            why: "the service cannot be reached from here, either".into(),
            retry_ms: None,
            is_cut_off: true,
        });
    }
    target::remove_connection_headers(&mut parts.headers);
    let attempt = name::Attempt::new(&call.attempt);
    let (workspace, rank) = target::read_sender(&parts.headers);
    let version = call.version.as_deref().map(name::Version::new);
    let tried = call.tried.iter().map(|target| name::Target::new(target));
    let mut tried: Vec<name::Target> = tried.collect();
    let only = call.only.as_ref().map(|only| {
        let only = only.iter().map(|target| name::Target::new(target));
        only.collect::<Vec<_>>()
    });
    let mut last = not_sent("no target takes it", None);
    for _ in 0..TARGETS_MAX {
        let need = Need {
            service: &service,
            version: version.as_ref(),
            affinity: call.affinity,
            preferred: None,
            tried: &tried,
            only: only.as_deref(),
            draw: call.draw,
            due,
            rank: rank.unwrap_or(RANK_IF_UNKNOWN),
            workspace: workspace.as_ref(),
            on_time_by: due,
            work: u64::try_from(body.len()).unwrap_or(u64::MAX),
        };
        let forecast = || Forecast {
            duration: call.run_ms.map_or(RUN_IF_UNKNOWN, Millis),
            deadline,
        };
        let picked = pick::wait_for_target(context, &attempt, need, deadline, forecast).await;
        let picked = picked.map_err(|failure| outcome_of(&failure))?;
        if let Err(failure) = context.shutdown.check_unsent(&attempt, forecast) {
            drop(InFlightGuard::new(context, &picked));
            return Err(outcome_of(&failure));
        }
        if version.is_some() && !run_check::keep_if_listed_run(context, &attempt, &picked).await {
            last = not_sent("the target's run is not proved", None);
            tried.push(picked.target);
            continue;
        }
        let left = deadline - context.now();
        mark.set(true);
        match send(context, call, &picked, &parts, body.clone(), left).await {
            Err(outcome @ Outcome::NotSent { .. }) => {
                mark.set(false);
                last = outcome;
            }
            result => return result,
        }
        tried.push(picked.target);
    }
    Err(last)
}

/// Sends the request to one target, and waits for the head of its reply.
async fn send(
    context: &Arc<Context>,
    call: &Call,
    picked: &PickedTarget,
    parts: &Parts,
    body: Bytes,
    left: Millis,
) -> Result<PassedReply, Outcome> {
    let target = &picked.target;
    let in_flight_guard = InFlightGuard::new(context, picked);
    let mut request = Request::from_parts(parts.clone(), Full::new(body));
    target::set_target(request.headers_mut(), target);
    target::set_remaining(request.headers_mut(), left);
    let callee = Callee {
        target: target.clone(),
        address: picked.address,
        lane: Some(Lane::Requests),
        idle_max: if call.runs_once {
            RUN_ONCE_IDLE_MAX
        } else {
            IDLE_MAX
        },
        runs_once: call.runs_once,
        is_detour: false,
    };
    let exchange = Exchange::begin(context, &callee, request);
    let service = name::Service::new(&call.service);
    let exchange = link::watch_silence(context, &service, target, exchange);
    let begun = timeout(Duration::from_millis(left.0), exchange).await;
    let begun = begun.unwrap_or_else(|_| Err(Error::Silent("no reply in time".to_owned())));
    if begun.is_err() && !matches!(begun, Err(Error::Paused)) {
        link::check_after_failure(context, &service, target);
    }
    let now = context.now();
    let unknown = |why: &str, crashed_run: Option<Run>| Outcome::Unknown {
        why: why.into(),
        target: target.as_str().into(),
        crashed_run: crashed_run.map(|run| run.0),
    };
    let exchange = match begun {
        Ok(exchange) => exchange,
        Err(error @ Error::Paused) => return Err(not_sent(&error.to_string(), None)),
        Err(Error::NotSent(why)) => {
            let mut state = context.state();
            state.health().record_unreachable(target, now);
            return Err(not_sent(&why, None));
        }
        Err(Error::Broken(why)) => {
            context.state().health().record_failure(target, now);
            let is_crash = link::is_fault_of_target(context, &service, target, now).await;
            return Err(unknown(&why, is_crash.then_some(picked.run)));
        }
        Err(Error::Silent(why)) => {
            context.state().health().record_failure(target, now);
            return Err(unknown(&why, None));
        }
    };
    let attempt = name::Attempt::new(&call.attempt);
    let reply = target::read_reply_head(exchange.status, &exchange.headers, &attempt);
    let mut state = context.state();
    if let Some(load) = reply.load {
        state.record_load(target, load, now);
    }
    match reply.validity {
        Validity::Whole if reply.status.is_server_error() => {
            state.health().record_failure(target, now);
        }
        Validity::Whole => state.health().record_success(target),
        Validity::NotRun | Validity::Foreign | Validity::Spoiled => {}
    }
    drop(state);
    Ok(PassedReply {
        context: context.clone(),
        exchange,
        reply,
        version: picked.version.clone(),
        _in_flight_guard: in_flight_guard,
    })
}

/// Returns a target's reply as the response to the peer. Its body ends as the target's
/// does, and breaks off where that breaks off.
fn pass_on(passed: PassedReply) -> Response<ResponseBody> {
    let is_framed = passed.exchange.is_framed();
    let outcome = Outcome::Replied(Sender {
        target: passed.exchange.callee.target.as_str().into(),
        version: passed.version.as_str().into(),
        is_unframed: !is_framed,
    });
    let mut headers = passed.exchange.headers.clone();
    target::remove_connection_headers(&mut headers);
    let status = passed.exchange.status;
    // A connection whose end was that of the reply cannot be used again.
    let is_reusable = is_framed && passed.reply.is_reusable;
    let chunks = stream::unfold(Some(passed), move |passed| async move {
        let mut passed = passed?;
        match passed.exchange.next_chunk().await {
            Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(passed))),
            Ok(None) => {
                if is_reusable {
                    let (context, idle) = (&passed.context, passed.reply.idle_timeout);
                    passed.exchange.release(context, idle);
                }
                None
            }
            Err(error) => Some((Err(io::Error::other(error.to_string())), None)),
        }
    });
    let mut response = Response::new(StreamBody::new(chunks).boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    insert_outcome(&mut response, &outcome);
    response
}

/// Returns a response that only says what became of the request.
fn outcome_only(outcome: &Outcome) -> Response<ResponseBody> {
    let mut response = Response::new(http_server::full_body(Bytes::new()));
    *response.status_mut() = match outcome {
        Outcome::NotSent { .. } => StatusCode::SERVICE_UNAVAILABLE,
        Outcome::Replied(_) | Outcome::Unknown { .. } => StatusCode::BAD_GATEWAY,
    };
    insert_outcome(&mut response, outcome);
    response
}

fn insert_outcome(response: &mut Response<ResponseBody>, outcome: &Outcome) {
    // Without the header, the peer takes the outcome for unknown.
    if let Some(header) = detour::encode(outcome) {
        response.headers_mut().insert(detour::OUTCOME, header);
    }
}

fn not_sent(why: &str, retry_after: Option<Millis>) -> Outcome {
    Outcome::NotSent {
        why: why.into(),
        retry_ms: retry_after.map(|delay| delay.0),
        is_cut_off: false,
    }
}

/// Returns the outcome of a request that has no reply when this daemon ends.
fn outcome_at_end(mark: &SentMark) -> Outcome {
    let why = "the peer has ended";
    if mark.may_have_run() {
        Outcome::Unknown {
            why: why.into(),
            target: CompactString::default(),
            crashed_run: None,
        }
    } else {
        not_sent(why, None)
    }
}

/// Returns the outcome of a request for which no target could be picked.
fn outcome_of(failure: &Failure) -> Outcome {
    let why = match failure.kind {
        Kind::TooLate => "its deadline passed before a target took it",
        Kind::ShuttingDown => "this daemon is shutting down",
        Kind::NoTarget => "the service has no target that takes it",
        _ => "all targets have asked for less work",
    };
    not_sent(why, failure.retry_after)
}
