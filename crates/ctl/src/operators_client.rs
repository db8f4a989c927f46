//! HTTP client for the operators' port of a daemon.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use anyhow::bail;
use bytes::Bytes;
use gooseberry_connectors::http_client;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use serde::de::DeserializeOwned;

/// Time limit for a whole exchange, from connecting to the end of the body.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Size limit of a response body, in bytes.
const ANSWER_MAX_BYTES: usize = 64 << 20;

/// Returns the URI of a path on a daemon.
#[must_use]
pub fn uri(daemon: SocketAddr, path: &str) -> String {
    format!("http://{daemon}{path}")
}

/// Sends a request to a daemon and parses its JSON response.
///
/// # Errors
/// Returns an error if the daemon cannot be reached or does not answer in
/// time, if the status is not 200, or if the body is not a JSON value of type
/// `T`.
pub async fn fetch_json<T: DeserializeOwned>(request: Request<Full<Bytes>>) -> anyhow::Result<T> {
    let authority = request.uri().authority().map(ToString::to_string);
    let daemon = authority.unwrap_or_default();
    let exchange = async {
        let response = http_client::new().request(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), ANSWER_MAX_BYTES);
        let body = body.collect().await.map_err(anyhow::Error::from_boxed)?;
        anyhow::Ok((status, body.to_bytes()))
    };
    let result = tokio::time::timeout(TIMEOUT, exchange).await;
    let result = result.with_context(|| format!("{daemon} did not answer in time"))?;
    let (status, body) = result.with_context(|| format!("the request to {daemon} failed"))?;
    if status != StatusCode::OK {
        bail!("{daemon} answered {status}: {}", message(&body));
    }
    serde_json::from_slice(&body)
        .with_context(|| format!("{daemon} sent a response that cannot be parsed"))
}

/// Returns the `message` field of an error response, or the whole body if it
/// has none.
fn message(body: &[u8]) -> String {
    let error: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    let message = error.as_ref().and_then(|error| error["message"].as_str());
    let whole = || String::from_utf8_lossy(body).into_owned();
    message.map_or_else(whole, ToOwned::to_owned)
}
