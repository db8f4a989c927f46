//! Calls to targets: the parts of the protocol that all kinds share.
//!
//! A reply is accepted only if it is complete and echoes the attempt id that was
//! sent. If the connection cannot be opened, the call did not run; if it fails
//! later, the call may have run.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Instant;

use bytes::Bytes;
use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::answer::Outcome;
use gooseberry_kernel::concurrency_limit::ReportedState;
use gooseberry_kernel::concurrency_limit::TargetSignal;
use gooseberry_kernel::id;
use gooseberry_kernel::settings;
use gooseberry_wire::header;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::capture_connection;

use crate::connector;
use crate::deadline_body::DeadlineBody;
use crate::http_client;
use crate::http_client::HttpClient;

/// One call to a target.
#[derive(Clone, Debug)]
pub struct Call {
    /// The kind of the target.
    pub kind: settings::TargetKind,
    /// The address at which the target takes calls.
    pub address: SocketAddr,
    /// The id of this attempt.
    pub attempt: id::Attempt,
    /// The workspace on whose behalf the call is made.
    pub workspace: id::Workspace,
    /// The time left for the call, in milliseconds.
    pub timeout_ms: u64,
    /// The priority, from 0 (first) to 9.
    pub priority: u8,
    /// The largest answer that is accepted, in bytes.
    pub max_answer_bytes: usize,
    /// The send deadline: until when this daemon may send the body.
    pub send_by: Instant,
    /// The input of the stage.
    pub body: Bytes,
}

/// The result of a call.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The whole answer, or the failure.
    pub result: Result<Bytes, Failure>,
    /// What the call tells about the state of the target.
    pub signal: TargetSignal,
    /// Whether the reply belonged to another attempt and was discarded.
    pub is_foreign: bool,
}

/// Calls targets over pooled connections.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient<DeadlineBody>,
}

impl Default for Client {
    fn default() -> Self {
        Self {
            http: http_client::new(),
        }
    }
}

impl Client {
    /// Calls a target and waits for its whole answer.
    ///
    /// There is no time limit; the caller sets one.
    pub async fn call(&self, call: &Call) -> Reply {
        let Some(mut request) = build_request(call) else {
            return Reply::failed(Kind::Internal.into(), TargetSignal::Refused(None));
        };
        let is_late = request.body().late_flag();
        let connection = capture_connection(&mut request);
        match self.http.request(request).await {
            Ok(response) => {
                if !is_echoed(call, response.headers()) {
                    // The reply to this call is still to come.
                    if let Some(connected) = &*connection.connection_metadata() {
                        connected.poison();
                    }
                }
                read_reply(call, response).await
            }
            Err(_) if is_late.load(Ordering::Acquire) => {
                Reply::failed(Kind::NoRight.into(), TargetSignal::NotSent)
            }
            Err(error) if error.is_connect() => {
                let mut failure = Failure::from(Kind::TargetFailed);
                failure.outcome = Outcome::NotRun;
                Reply::failed(failure, TargetSignal::Unreachable)
            }
            Err(_) => Reply::failed(Kind::TargetFailed.into(), TargetSignal::Broken),
        }
    }
}

impl Reply {
    fn failed(failure: Failure, signal: TargetSignal) -> Self {
        Self {
            result: Err(failure),
            signal,
            is_foreign: false,
        }
    }
}

fn build_request(call: &Call) -> Option<Request<DeadlineBody>> {
    let connector = connector::find(call.kind)?;
    let uri = format!("http://{}{}", call.address, connector.path());
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(uri)
        .header(header::ATTEMPT, call.attempt.to_string())
        .header(header::TIMEOUT_MS, call.timeout_ms)
        .header(header::WORKSPACE, call.workspace.as_str())
        .body(DeadlineBody::new(call.body.clone(), call.send_by))
        .ok()?;
    connector.add_headers(call, request.headers_mut());
    Some(request)
}

async fn read_reply(call: &Call, response: http::Response<Incoming>) -> Reply {
    let (head, body) = response.into_parts();
    let report = read_report(&head.headers);
    if !is_echoed(call, &head.headers) {
        let mut reply = Reply::failed(Kind::TargetFailed.into(), TargetSignal::Foreign);
        reply.is_foreign = true;
        return reply;
    }
    if head.status != StatusCode::OK {
        return refusal(&head.headers, report);
    }
    if !is_body_delimited(&head.headers) {
        // A body that ends with its connection cannot be told from a truncated one.
        return Reply::failed(Kind::TargetFailed.into(), TargetSignal::Answered(report));
    }
    match Limited::new(body, call.max_answer_bytes).collect().await {
        Ok(body) => Reply {
            result: Ok(body.to_bytes()),
            signal: TargetSignal::Answered(report),
            is_foreign: false,
        },
        Err(error) if error.is::<LengthLimitError>() => {
            Reply::failed(Kind::AnswerTooLarge.into(), TargetSignal::Answered(report))
        }
        Err(_) => Reply::failed(Kind::TargetFailed.into(), TargetSignal::Broken),
    }
}

/// Returns whether a reply belongs to a call.
fn is_echoed(call: &Call, headers: &HeaderMap) -> bool {
    header::read(headers, header::ATTEMPT) == Some(call.attempt)
}

fn refusal(headers: &HeaderMap, report: Option<ReportedState>) -> Reply {
    let mut failure = Failure::from(Kind::TargetFailed);
    let outcome = header::read(headers, header::OUTCOME);
    failure.outcome = outcome.unwrap_or(Outcome::Unknown);
    let signal = match failure.outcome {
        Outcome::NotRun => TargetSignal::Refused(report),
        Outcome::Run | Outcome::Unknown => TargetSignal::Failed(report),
    };
    Reply::failed(failure, signal)
}

fn is_body_delimited(headers: &HeaderMap) -> bool {
    let is_chunked = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"chunked");
    headers.contains_key(CONTENT_LENGTH) || headers.get(TRANSFER_ENCODING).is_some_and(is_chunked)
}

fn read_report(headers: &HeaderMap) -> Option<ReportedState> {
    match header::text(headers, header::STATE)? {
        "cold" => Some(ReportedState::Cold),
        "warm" => Some(ReportedState::Warm),
        "leaving" => Some(ReportedState::Leaving),
        _ => None,
    }
}
