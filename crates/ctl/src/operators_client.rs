//! Asks a daemon on its operators' port.

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

/// How long a daemon may take to answer.
const TIMEOUT: Duration = Duration::from_secs(5);
/// The largest answer that is read, in bytes.
const ANSWER_MAX_BYTES: usize = 64 << 20;

/// Returns the address of a resource of a daemon.
#[must_use]
pub fn uri(daemon: SocketAddr, path: &str) -> String {
    format!("http://{daemon}{path}")
}

/// Sends a request to a daemon and reads its answer.
///
/// # Errors
/// Returns an error if the daemon cannot be reached, answers with an error or
/// with something that is not of the type.
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
    let result = result.with_context(|| format!("{daemon} has not answered"))?;
    let (status, body) = result.with_context(|| format!("cannot ask {daemon}"))?;
    if status != StatusCode::OK {
        bail!("{daemon} answered {status}: {}", message(&body));
    }
    serde_json::from_slice(&body).with_context(|| format!("{daemon} gave an unknown answer"))
}

/// Returns the sentence of an error answer, or the whole of another one.
fn message(body: &[u8]) -> String {
    let error: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    let message = error.as_ref().and_then(|error| error["message"].as_str());
    let whole = || String::from_utf8_lossy(body).into_owned();
    message.map_or_else(whole, ToOwned::to_owned)
}
