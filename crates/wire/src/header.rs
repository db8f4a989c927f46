//! Names of the HTTP headers that the protocols use, and helpers to read them.
//!
//! A standard header is used where there is one: `Authorization`,
//! `Idempotency-Key`, `Retry-After`. The others begin with `gooseberry-`.

use std::str::FromStr;

use gooseberry_kernel::answer::Kind;
use http::HeaderMap;

/// The client's idempotency key, for a non-idempotent pipeline.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// How many times the client has sent the key, counted from 1.
pub const IDEMPOTENCY_ATTEMPT: &str = "idempotency-attempt";
/// Time after which the client may retry, in seconds.
pub const RETRY_AFTER: &str = "retry-after";
/// Remaining time until the deadline, in milliseconds.
pub const TIMEOUT_MS: &str = "gooseberry-timeout-ms";
/// Remaining time until the answer counts as late, in milliseconds.
pub const DUE_MS: &str = "gooseberry-due-ms";
/// The id of the request.
pub const REQUEST: &str = "gooseberry-request";
/// The id of the attempt, echoed in the reply.
pub const ATTEMPT: &str = "gooseberry-attempt";
/// Whether the request was executed: run, not-run or unknown.
pub const OUTCOME: &str = "gooseberry-outcome";
/// The label of the error kind.
pub const ERROR: &str = "gooseberry-error";
/// Whether the answer came after the deadline.
pub const LATE: &str = "gooseberry-late";
/// Number of attempts that the request took.
pub const ATTEMPTS: &str = "gooseberry-attempts";
/// Attempts and target time of each stage, and how much of that time was wasted.
pub const COST: &str = "gooseberry-cost";
/// Whether the answer is a replay of the one recorded for an earlier request
/// with the same key.
pub const REPLAYED: &str = "gooseberry-replayed";
/// The daemon that sends a call to a peer.
pub const FROM: &str = "gooseberry-from";
/// The workspace of the request.
pub const WORKSPACE: &str = "gooseberry-workspace";
/// The pipeline of the request.
pub const PIPELINE: &str = "gooseberry-pipeline";
/// The target that the receiving daemon, its owner, has to call.
pub const TARGET: &str = "gooseberry-target";
/// The digest of the request's workspace and body.
pub const DIGEST: &str = "gooseberry-digest";
/// Number of targets that crashed while running this stage of the request.
pub const CRASHES: &str = "gooseberry-crashes";
/// Time for which the target worked on the call, in milliseconds.
pub const TARGET_MS: &str = "gooseberry-target-ms";
/// Load of the target: its calls in flight in percent of its slots.
pub const LOAD: &str = "gooseberry-load";
/// The state that a target reports of itself: cold, warm or leaving.
pub const STATE: &str = "gooseberry-state";
/// The priority of the request, from 0 (most urgent) to 9.
pub const PRIORITY: &str = "gooseberry-priority";

/// Returns a header that may occur at most once, as visible ASCII; `None` if it
/// is missing.
///
/// # Errors
/// Returns [`Kind::BadRequest`] if it occurs more than once or is not visible
/// ASCII.
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

/// Parses a header; `None` if it is missing or malformed.
#[must_use]
pub fn read<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    text(headers, name)?.parse().ok()
}

/// Returns a header as text; `None` if it is missing or not visible ASCII.
#[must_use]
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
