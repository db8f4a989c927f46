//! The pooled HTTP client for targets, peers and the platform.

use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;

/// A pooled client for plain HTTP.
pub type HttpClient<B = Full<Bytes>> = Client<HttpConnector, B>;

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an idle connection is kept in the pool.
///
/// It must be well below the idle timeout of the server. Otherwise a request may
/// be sent just as the server closes the connection, and it is unknown whether
/// the request ran.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Makes a client with its own connection pool.
#[must_use]
pub fn new<B>() -> HttpClient<B>
where
    B: Body + Send,
    B::Data: Send,
{
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .build(connector)
}
