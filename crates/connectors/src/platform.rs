//! The client of the platform: reads the list, the settings and the load reports,
//! and counts each call.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::Context;
use anyhow::bail;
use bytes::Bytes;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::id;
use gooseberry_kernel::published_list::PublishedList;
use gooseberry_kernel::published_list::Revision;
use gooseberry_kernel::settings::Tree;
use gooseberry_wire::entries::Entries;
use gooseberry_wire::header;
use gooseberry_wire::platform;
use http::StatusCode;
use http::response::Parts;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;

use crate::http_client;
use crate::http_client::HttpClient;

/// The largest answer that is accepted from the platform, in bytes.
const ANSWER_MAX_BYTES: usize = 16 << 20;
/// How long an answer may take beyond the requested wait.
const RESPONSE_GRACE: Duration = Duration::from_secs(2);

/// Calls the platform over pooled connections.
#[derive(Debug)]
pub struct Client {
    http: HttpClient,
    address: SocketAddr,
    calls: AtomicU64,
}

impl Client {
    /// Makes a client for the platform at the address.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            http: http_client::new(),
            address,
            calls: AtomicU64::new(0),
        }
    }

    /// Returns the number of calls made; a long poll counts as one.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Long-polls for a list newer than `after`; `None` if there is none in time. Targets
    /// that cannot be used are left out.
    ///
    /// # Errors
    /// Returns an error if the platform cannot be reached or answers with
    /// something that is not a list.
    pub async fn list(
        &self,
        after: Revision,
        wait: Millis,
    ) -> anyhow::Result<Option<PublishedList>> {
        let Some(body) = self.long_poll("/v1/list", after, wait).await? else {
            return Ok(None);
        };
        // One entry with bytes that are no text would make all unreadable.
        let text = String::from_utf8_lossy(&body);
        let decoded: platform::UncheckedList =
            serde_json::from_str(&text).context("the platform's answer is not a list")?;
        let (list, faults) = decoded
            .check()
            .context("the platform's list has an invalid id")?;
        if let Some(first) = faults.first() {
            log::warn!(
                revision = list.revision.0,
                targets = faults.len(),
                first = first.as_str();
                "targets of the list cannot be used"
            );
        }
        Ok(Some(list))
    }

    /// Long-polls for settings newer than `after`; `None` if there are none in time.
    ///
    /// # Errors
    /// Returns an error if the platform cannot be reached or answers with
    /// something that is not settings.
    pub async fn settings(&self, after: Revision, wait: Millis) -> anyhow::Result<Option<Tree>> {
        let Some(body) = self.long_poll("/v1/settings", after, wait).await? else {
            return Ok(None);
        };
        let decoded: platform::Settings =
            serde_json::from_slice(&body).context("the platform's answer is not settings")?;
        Ok(Some(decoded.into()))
    }

    /// Reads the load reports of a failure domain's targets.
    ///
    /// # Errors
    /// Returns an error if the platform cannot be reached or answers with
    /// something that is not load reports.
    pub async fn loads(&self, domain: &id::Domain) -> anyhow::Result<Entries<platform::Load>> {
        let path = format!("/v1/loads?domain={domain}");
        let (head, body) = self.get(&path, Millis::ZERO).await?;
        if head.status != StatusCode::OK {
            bail!("the platform answered {} at {path}", head.status);
        }
        let text = String::from_utf8_lossy(&body);
        let decoded: platform::UncheckedLoads =
            serde_json::from_str(&text).context("the platform's answer is not load reports")?;
        Ok(decoded.loads)
    }

    async fn long_poll(
        &self,
        path: &str,
        after: Revision,
        wait: Millis,
    ) -> anyhow::Result<Option<Bytes>> {
        let path = format!("{path}?after={}&wait_ms={wait}", after.0);
        let (head, body) = self.get(&path, wait).await?;
        match head.status {
            StatusCode::OK => Ok(Some(body)),
            // A platform that is itself behind `after` cannot confirm that nothing
            // newer exists.
            StatusCode::NOT_MODIFIED => {
                match header::read::<u64>(&head.headers, platform::REVISION) {
                    Some(served) if served < after.0 => {
                        bail!("the platform has only revision {served} at {path}")
                    }
                    _ => Ok(None),
                }
            }
            status => bail!("the platform answered {status} at {path}"),
        }
    }

    async fn get(&self, path: &str, wait: Millis) -> anyhow::Result<(Parts, Bytes)> {
        let uri = format!("http://{}{path}", self.address);
        let request = http::Request::get(uri).body(Full::default())?;
        self.calls.fetch_add(1, Ordering::Relaxed);
        let limit = Duration::from_millis(wait.0) + RESPONSE_GRACE;
        let exchange = async {
            let response = self.http.request(request).await?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, ANSWER_MAX_BYTES);
            let body = body.collect().await.map_err(anyhow::Error::from_boxed)?;
            anyhow::Ok((head, body.to_bytes()))
        };
        tokio::time::timeout(limit, exchange).await?
    }
}
