//! Serves callers.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::hash;
use gooseberry_kernel::id;
use gooseberry_kernel::node::Admission;
use gooseberry_kernel::node::Arrival;
use gooseberry_kernel::node::Node;
use gooseberry_kernel::once::Key;
use gooseberry_wire::header;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::header::AUTHORIZATION;
use http::header::CONNECTION;
use http::header::EXPECT;
use http::request::Parts;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::actor::Message;
use crate::answer;
use crate::answer::Answer;
use crate::answer::HttpAnswer;
use crate::context::Context;
use crate::keyed;
use crate::owner;
use crate::pipeline;
use crate::pipeline::Job;

/// The longest idempotency key, in bytes.
const KEY_MAX_BYTES: usize = 128;
/// How much is read of a body that is refused unread, in bytes.
const DISCARD_MAX_BYTES: usize = 256 << 10;
/// How long a body that is refused unread is read for.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(200);

/// Draws the ids of requests; they must differ over the whole fleet.
#[derive(Debug)]
pub struct Ids {
    seed: u64,
    count: AtomicU64,
}

impl Ids {
    /// Makes a source of ids from a seed that no other process has.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            count: AtomicU64::new(0),
        }
    }

    /// Draws an id.
    #[must_use]
    pub fn draw(&self) -> id::Request {
        let count = self.count.fetch_add(1, Ordering::Relaxed);
        let high = hash::mix(self.seed, count);
        let low = hash::mix(count, self.seed.rotate_left(17));
        id::Request((u128::from(high) << 64) | u128::from(low))
    }
}

/// Gives an admission's place back, also when the caller hangs up.
struct Place<'a> {
    context: &'a Context,
    workspace: id::Workspace,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let workspace = self.workspace.clone();
        self.context.node.tell(Message::Leave(workspace));
    }
}

/// Follows one request of a caller, so that it is counted and logged once,
/// however it ends and whichever daemon did the work.
struct Record<'a> {
    context: &'a Context,
    request: id::Request,
    /// The workspace and pipeline, once the caller has proved who it is.
    names: Option<(id::Workspace, id::Pipeline)>,
    /// Whether the connection can serve another request.
    is_body_read: bool,
    is_ended: bool,
}

impl<'a> Record<'a> {
    fn begin(context: &'a Context, request: id::Request) -> Self {
        context.metrics.request();
        Self {
            context,
            request,
            names: None,
            is_body_read: false,
            is_ended: false,
        }
    }

    fn end(mut self, answer: &mut HttpAnswer) {
        self.is_ended = true;
        if !answer.headers().contains_key(header::REQUEST) {
            answer::set(answer, header::REQUEST, &self.request.to_string());
        }
        if !self.is_body_read {
            answer::set(answer, CONNECTION.as_str(), "close");
        }
        let failure = owner::read_failure(answer.headers());
        let is_late = header::read(answer.headers(), header::LATE).unwrap_or(false);
        let (workspace, pipeline) = self.labels();
        match &failure {
            Some(failure) => self.context.metrics.refusal(failure.kind),
            None => self.context.metrics.answer(workspace, pipeline, is_late),
        }
        let error = failure.as_ref().map_or("none", |one| one.kind.row().label);
        let outcome = header::text(answer.headers(), header::OUTCOME).unwrap_or("none");
        let attempts: u32 = header::read(answer.headers(), header::ATTEMPTS).unwrap_or(0);
        log::debug!(
            request:% = self.request,
            workspace,
            pipeline,
            stage = "all",
            attempt = attempts,
            status = answer.status().as_u16(),
            outcome,
            error,
            is_late;
            "answered"
        );
    }

    fn labels(&self) -> (&str, &str) {
        let names = self.names.as_ref();
        names.map_or(("none", "none"), |(workspace, pipeline)| {
            (workspace.as_str(), pipeline.as_str())
        })
    }
}

impl Drop for Record<'_> {
    fn drop(&mut self) {
        if self.is_ended {
            return;
        }
        self.context.metrics.abandoned();
        let (workspace, pipeline) = self.labels();
        log::debug!(
            request:% = self.request,
            workspace,
            pipeline,
            stage = "all",
            attempt = 0;
            "the caller hung up"
        );
    }
}

/// Serves one request of a caller.
pub async fn serve(context: Arc<Context>, ids: Arc<Ids>, request: Request<Incoming>) -> HttpAnswer {
    let mut record = Record::begin(&context, ids.draw());
    let (head, mut body) = request.into_parts();
    record.is_body_read = body.is_end_stream();
    let mut answer = match handle(&context, &head, &mut body, &mut record).await {
        Ok(answer) => answer,
        Err(failure) => Answer::refusal(record.request, failure).to_http(),
    };
    if !record.is_body_read && !head.headers.contains_key(EXPECT) {
        discard(&mut body).await;
    }
    record.end(&mut answer);
    answer
}

async fn handle(
    context: &Arc<Context>,
    head: &Parts,
    body: &mut Incoming,
    record: &mut Record<'_>,
) -> Result<HttpAnswer, Failure> {
    let (workspace, pipeline) = read_path(head.uri.path())?;
    if head.method != Method::POST {
        return Err(Kind::BadMethod.into());
    }
    let credential = read_credential(&head.headers)?;
    authenticate(context, &workspace, credential).await?;
    let timeout = read_timeout(&head.headers)?;
    let key = read_key(&head.headers)?;
    let is_first = is_first_attempt(&head.headers)?;
    let body = read_body(context, body).await?;
    record.is_body_read = true;
    let digest = digest(&workspace, &body);
    let arrival = Arrival {
        workspace: workspace.clone(),
        pipeline,
        credential,
        timeout,
        digest,
    };
    let admission = context.node.try_ask(|reply| Message::Admit(arrival, reply));
    let admission = admission.await?;
    let place = Place { context, workspace };
    let names = (
        admission.workspace.id.clone(),
        admission.pipeline.id.clone(),
    );
    record.names = Some(names);
    let job = Job {
        request: record.request,
        key: choose_key(key, &admission)?,
        admission,
        digest,
        body,
    };
    let answer = match job.key.as_ref().map(Key::hash) {
        None => pipeline::run(context, &job).await.to_http(),
        Some(hash) => route_keyed(context, job, hash, is_first).await?,
    };
    drop(place);
    Ok(answer)
}

async fn route_keyed(
    context: &Arc<Context>,
    job: Job,
    hash: u64,
    is_first_attempt: bool,
) -> Result<HttpAnswer, Failure> {
    let owner = context.node.look(move |node, _| node.key_owner(hash));
    let owner = owner.await??;
    if owner.id == context.local.instance {
        Ok(keyed::perform(context, job, is_first_attempt).await)
    } else {
        Ok(keyed::ask(context, owner.data, &job, is_first_attempt).await)
    }
}

async fn authenticate(
    context: &Context,
    workspace: &id::Workspace,
    credential: id::Digest,
) -> Result<(), Failure> {
    let workspace = workspace.clone();
    let check = move |node: &Node, _| {
        node.ready()?;
        node.authenticate(&workspace, &credential).map(|_| ())
    };
    Ok(context.node.look(check).await??)
}

fn read_path(path: &str) -> Result<(id::Workspace, id::Pipeline), Kind> {
    let rest = path.strip_prefix("/v1/workspaces/").ok_or(Kind::NoPath)?;
    let (workspace, pipeline) = rest.split_once("/pipelines/").ok_or(Kind::NoPath)?;
    let workspace = workspace.parse().map_err(|_| Kind::BadRequest)?;
    let pipeline = pipeline.parse().map_err(|_| Kind::BadRequest)?;
    Ok((workspace, pipeline))
}

fn read_credential(headers: &HeaderMap) -> Result<id::Digest, Kind> {
    let text = only(headers, AUTHORIZATION.as_str());
    let text = text.ok().flatten().ok_or(Kind::BadCredential)?;
    let (scheme, token) = text.split_once(' ').ok_or(Kind::BadCredential)?;
    if !scheme.eq_ignore_ascii_case("bearer") {
        return Err(Kind::BadCredential);
    }
    Ok(id::Digest::of(token.trim().as_bytes()))
}

fn read_timeout(headers: &HeaderMap) -> Result<Option<Millis>, Kind> {
    let Some(text) = only(headers, header::TIMEOUT_MS)? else {
        return Ok(None);
    };
    let timeout: Millis = text.parse().map_err(|_| Kind::BadRequest)?;
    if timeout == Millis::ZERO {
        return Err(Kind::BadRequest);
    }
    Ok(Some(timeout))
}

fn read_key(headers: &HeaderMap) -> Result<Option<&str>, Kind> {
    let key = only(headers, header::IDEMPOTENCY_KEY)?;
    if key.is_some_and(|text| text.is_empty() || text.len() > KEY_MAX_BYTES) {
        return Err(Kind::BadRequest);
    }
    Ok(key)
}

/// Tells whether the caller says that it sends its key for the first time.
fn is_first_attempt(headers: &HeaderMap) -> Result<bool, Kind> {
    let Some(text) = only(headers, header::IDEMPOTENCY_ATTEMPT)? else {
        return Ok(false);
    };
    match text.parse::<u32>() {
        Ok(0) | Err(_) => Err(Kind::BadRequest),
        Ok(number) => Ok(number == 1),
    }
}

/// Reads a header that may stand only once, as visible ASCII.
fn only<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Kind> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(Kind::BadRequest);
    }
    value.to_str().map(Some).map_err(|_| Kind::BadRequest)
}

fn choose_key(text: Option<&str>, admission: &Admission) -> Result<Option<Key>, Kind> {
    if admission.pipeline.is_idempotent() {
        return Ok(None);
    }
    let text = text.ok_or(Kind::KeyMissing)?;
    Ok(Some(Key {
        workspace: admission.workspace.id.clone(),
        pipeline: admission.pipeline.id.clone(),
        text: text.to_owned(),
    }))
}

/// Reads a body within the limits that the settings give.
pub(crate) async fn read_body(context: &Context, body: &mut Incoming) -> Result<Bytes, Failure> {
    let limits = |node: &Node, _| {
        let fleet = node.book().fleet();
        (fleet.max_body_bytes, fleet.send_timeout)
    };
    let (max, limit) = context.node.look(limits).await?;
    // A body that says that it is too large need not be sent first.
    if body.size_hint().lower() > u64::from(max) {
        return Err(Kind::TooLarge.into());
    }
    let max = usize::try_from(max).unwrap_or(usize::MAX);
    let limit = Duration::from_millis(limit.0);
    match timeout(limit, Limited::new(body, max).collect()).await {
        Err(_) => Err(Kind::SlowRequest.into()),
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Kind::TooLarge.into()),
        Ok(Err(_)) => Err(Kind::BadRequest.into()),
    }
}

/// Takes what a caller is still sending, for a moment, so that closing the
/// connection does not cost it the answer.
async fn discard(body: &mut Incoming) {
    let read = async {
        let mut left = DISCARD_MAX_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len);
            if length > left {
                return;
            }
            left -= length;
        }
    };
    timeout(DISCARD_TIMEOUT, read).await.ok();
}

/// Digests the workspace with the body, so that equal bodies of two customers
/// are two requests.
pub(crate) fn digest(workspace: &id::Workspace, body: &[u8]) -> id::Digest {
    let mut text = workspace.as_str().as_bytes().to_vec();
    text.push(b'\n');
    text.extend_from_slice(body);
    id::Digest::of(&text)
}
