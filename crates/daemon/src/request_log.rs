//! The metrics and the log line of each request, at the daemon it came in at.

use gooseberry_kernel::id;
use gooseberry_wire::header;
use http::header::CONNECTION;

use crate::answer;
use crate::answer::HttpAnswer;
use crate::context::Context;
use crate::target_call;

/// Counts and logs one request of a caller exactly once, however it ends and
/// whichever daemon ran it.
///
/// If it is dropped without [`end`](Self::end), the caller has hung up.
pub(crate) struct RequestLog<'a> {
    context: &'a Context,
    /// The request's id.
    pub(crate) request: id::Request,
    /// The workspace and pipeline, once the request is admitted.
    pub(crate) names: Option<(id::Workspace, id::Pipeline)>,
    /// Whether the whole body was read; otherwise the connection is closed.
    pub(crate) is_body_read: bool,
    is_ended: bool,
}

impl<'a> RequestLog<'a> {
    /// Counts a request that was received.
    pub(crate) fn begin(context: &'a Context, request: id::Request) -> Self {
        context.metrics.count_request();
        Self {
            context,
            request,
            names: None,
            is_body_read: false,
            is_ended: false,
        }
    }

    /// Sets the last headers of an answer, counts it and logs it.
    pub(crate) fn end(mut self, answer: &mut HttpAnswer) {
        self.is_ended = true;
        if !answer.headers().contains_key(header::REQUEST) {
            answer::set_header(answer, header::REQUEST, &self.request.to_string());
        }
        if !self.is_body_read {
            answer::set_header(answer, CONNECTION.as_str(), "close");
        }
        let failure = target_call::read_failure(answer.headers());
        let is_late = header::read(answer.headers(), header::LATE).unwrap_or(false);
        let (workspace, pipeline) = self.labels();
        match &failure {
            Some(failure) => self.context.metrics.count_refusal(failure.kind),
            None => self
                .context
                .metrics
                .count_answer(workspace, pipeline, is_late),
        }
        let error = failure
            .as_ref()
            .map_or("none", |failure| failure.kind.row().label);
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

impl Drop for RequestLog<'_> {
    fn drop(&mut self) {
        if self.is_ended {
            return;
        }
        self.context.metrics.count_abandoned();
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
