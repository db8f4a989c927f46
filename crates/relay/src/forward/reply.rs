//! What a target's reply is used for, and the head that is passed on of it.

use gooseberry_kernel::request::continuation;
use gooseberry_kernel::request::continuation::Progress;
use gooseberry_kernel::request::continuation::Use;
use gooseberry_kernel::request::routing_table::ResponseForm;
use gooseberry_platform::target;
use gooseberry_platform::target::Reply;
use http::Response;
use http::header::CONTENT_LENGTH;

use crate::forward::Forwarder;
use crate::forward::StartedReply;

impl Forwarder {
    /// Returns what a reply is used for that is the target's answer.
    pub(super) fn reply_use(&self, reply: &Reply) -> Use {
        if self.job.route.form != ResponseForm::Stream {
            return Use::Plain;
        }
        let progress = if self.punctuality.first_at().is_some() {
            Progress::Begun
        } else if self.events.last_id().is_some() {
            Progress::Resumed
        } else {
            Progress::New
        };
        continuation::use_of(progress, reply.status.is_success(), reply.content)
    }
}

/// Returns the head of the response: that of the reply, without the headers
/// that are meant for this daemon.
pub(super) fn head(started: &StartedReply) -> Response<()> {
    let mut head = Response::new(());
    *head.status_mut() = started.reply.status;
    let mut headers = started.exchange.headers.clone();
    target::remove_hop_by_hop_headers(&mut headers);
    headers.remove(CONTENT_LENGTH);
    *head.headers_mut() = headers;
    head
}
