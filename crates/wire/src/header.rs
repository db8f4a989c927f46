//! The HTTP headers that the protocols use.
//!
//! Where the field has a standard header it is used: `Authorization`,
//! `Idempotency-Key`, `Retry-After`. The others begin with `gooseberry-`.

use std::str::FromStr;

use gooseberry_kernel::answer::Kind;
use http::HeaderMap;

/// The caller's key for a non-idempotent pipeline.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// How often the caller has sent the key, counted from one.
pub const IDEMPOTENCY_ATTEMPT: &str = "idempotency-attempt";
/// When the caller may come back, in seconds.
pub const RETRY_AFTER: &str = "retry-after";
/// The time that remains, in milliseconds.
pub const TIMEOUT_MS: &str = "gooseberry-timeout-ms";
/// The time that remains until the answer is late, in milliseconds.
pub const DUE_MS: &str = "gooseberry-due-ms";
/// The id of the request.
pub const REQUEST: &str = "gooseberry-request";
/// The id of the attempt, echoed in the reply.
pub const ATTEMPT: &str = "gooseberry-attempt";
/// What became of the work: run, not-run or unknown.
pub const OUTCOME: &str = "gooseberry-outcome";
/// The label of the error kind.
pub const ERROR: &str = "gooseberry-error";
/// Whether the answer came after the deadline.
pub const LATE: &str = "gooseberry-late";
/// How many attempts the request took.
pub const ATTEMPTS: &str = "gooseberry-attempts";
/// What each stage has cost.
pub const COST: &str = "gooseberry-cost";
/// Whether the answer was recorded for an earlier request with the key.
pub const REPLAYED: &str = "gooseberry-replayed";
/// The daemon that sends a call to a peer.
pub const FROM: &str = "gooseberry-from";
/// The workspace of the request.
pub const WORKSPACE: &str = "gooseberry-workspace";
/// The pipeline of the request.
pub const PIPELINE: &str = "gooseberry-pipeline";
/// The target that an owner is to call.
pub const TARGET: &str = "gooseberry-target";
/// The digest of the request's workspace and body.
pub const DIGEST: &str = "gooseberry-digest";
/// How many targets broke while they ran this stage of the request.
pub const CRASHES: &str = "gooseberry-crashes";
/// How long the target worked, in milliseconds.
pub const TARGET_MS: &str = "gooseberry-target-ms";
/// The target's calls in flight for each hundred places.
pub const LOAD: &str = "gooseberry-load";
/// What a target says about itself: cold, warm or leaving.
pub const STATE: &str = "gooseberry-state";
/// The priority of the request, from 0 (first) to 9.
pub const PRIORITY: &str = "gooseberry-priority";

/// Reads a header that may stand only once, as visible ASCII.
///
/// # Errors
/// Returns [`Kind::BadRequest`] if it stands twice or cannot be read.
pub fn single<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Kind> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(Kind::BadRequest);
    }
    value.to_str().map(Some).map_err(|_| Kind::BadRequest)
}

/// Reads a header, if it is there and parses.
#[must_use]
pub fn read<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    text(headers, name)?.parse().ok()
}

/// Reads a header as text, if it is there.
#[must_use]
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
