//! A request that was sent and whose reply has not begun.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use gooseberry_connectors::http_connection;
use gooseberry_connectors::http_connection::HttpConnection;
use gooseberry_connectors::reply_body::ReplyBody;
use gooseberry_kernel::name;
use http::Request;
use http::Response;
use http_body_util::Full;
use tokio::runtime::Handle;
use tokio::time::timeout;

use crate::context::Context;
use crate::exchange::notice::record_notice;

/// How long the head of a reply is still read after the call was given up.
///
/// A target that turns a request away as its deadline passes replies just after this
/// daemon gives the call up. A target that runs the request goes on for that long.
const LINGER: Duration = Duration::from_millis(100);

type Sent = Result<(HttpConnection, Response<ReplyBody>), http_connection::Error>;

/// Waits for the head of a reply. If it is dropped before, what the target asks for in a
/// reply that is on its way is still recorded, and the connection is closed then.
pub(super) struct PendingReply {
    context: Arc<Context>,
    target: name::Target,
    sending: Option<Pin<Box<dyn Future<Output = Sent> + Send>>>,
}

impl PendingReply {
    /// Sends a request.
    pub(super) fn send(
        context: &Arc<Context>,
        target: &name::Target,
        mut connection: HttpConnection,
        request: Request<Full<Bytes>>,
    ) -> Self {
        let sending = async move {
            let reply = connection.send(request).await?;
            Ok((connection, reply))
        };
        Self {
            context: context.clone(),
            target: target.clone(),
            sending: Some(Box::pin(sending)),
        }
    }
}

impl Future for PendingReply {
    type Output = Sent;

    fn poll(mut self: Pin<&mut Self>, context: &mut std::task::Context<'_>) -> Poll<Sent> {
        let Some(sending) = self.sending.as_mut() else {
            return Poll::Pending;
        };
        let polled = sending.as_mut().poll(context);
        if polled.is_ready() {
            self.sending = None;
        }
        polled
    }
}

impl Drop for PendingReply {
    fn drop(&mut self) {
        let (Some(sending), Ok(runtime)) = (self.sending.take(), Handle::try_current()) else {
            return;
        };
        let (context, target) = (self.context.clone(), self.target.clone());
        runtime.spawn(async move {
            if let Ok(Ok((_connection, reply))) = timeout(LINGER, sending).await {
                record_notice(&context, &target, reply.status(), reply.headers());
            }
        });
    }
}
