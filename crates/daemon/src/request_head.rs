//! Parses the head of a caller's request.
//!
//! A header that is repeated or malformed is refused. Treating it as absent
//! could run the request with another deadline or key than its caller meant.

use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::id;
use gooseberry_wire::header;
use gooseberry_wire::header::single;
use http::HeaderMap;
use http::header::AUTHORIZATION;

/// The longest idempotency key, in bytes.
const KEY_MAX_BYTES: usize = 128;

/// Reads the workspace and the pipeline from the path.
pub(crate) fn read_path(path: &str) -> Result<(id::Workspace, id::Pipeline), Kind> {
    let rest = path.strip_prefix("/v1/workspaces/").ok_or(Kind::NoPath)?;
    let (workspace, pipeline) = rest.split_once("/pipelines/").ok_or(Kind::NoPath)?;
    let workspace = workspace.parse().map_err(|_| Kind::BadRequest)?;
    let pipeline = pipeline.parse().map_err(|_| Kind::BadRequest)?;
    Ok((workspace, pipeline))
}

/// Returns the digest of the bearer token; the token itself is not kept.
pub(crate) fn read_credential(headers: &HeaderMap) -> Result<id::Digest, Kind> {
    let text = single(headers, AUTHORIZATION.as_str());
    let text = text.ok().flatten().ok_or(Kind::BadCredential)?;
    let (scheme, token) = text.split_once(' ').ok_or(Kind::BadCredential)?;
    if !scheme.eq_ignore_ascii_case("bearer") {
        return Err(Kind::BadCredential);
    }
    Ok(id::Digest::of(token.trim().as_bytes()))
}

/// Reads the request's timeout, if the caller sets one.
pub(crate) fn read_timeout(headers: &HeaderMap) -> Result<Option<Millis>, Kind> {
    let Some(text) = single(headers, header::TIMEOUT_MS)? else {
        return Ok(None);
    };
    let timeout: Millis = text.parse().map_err(|_| Kind::BadRequest)?;
    if timeout == Millis::ZERO {
        return Err(Kind::BadRequest);
    }
    Ok(Some(timeout))
}

/// Reads the idempotency key, if there is one.
pub(crate) fn read_key(headers: &HeaderMap) -> Result<Option<&str>, Kind> {
    let key = single(headers, header::IDEMPOTENCY_KEY)?;
    if key.is_some_and(|text| text.is_empty() || text.len() > KEY_MAX_BYTES) {
        return Err(Kind::BadRequest);
    }
    Ok(key)
}

/// Returns whether the caller marks this as the first attempt with its key;
/// without the header it counts as a later one.
pub(crate) fn is_first_attempt(headers: &HeaderMap) -> Result<bool, Kind> {
    let Some(text) = single(headers, header::IDEMPOTENCY_ATTEMPT)? else {
        return Ok(false);
    };
    match text.parse::<u32>() {
        Ok(0) | Err(_) => Err(Kind::BadRequest),
        Ok(number) => Ok(number == 1),
    }
}
