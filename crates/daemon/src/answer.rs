//! The answer to a caller and its HTTP form.

use bytes::Bytes;
use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::answer::Outcome;
use gooseberry_kernel::cost::Cost;
use gooseberry_kernel::id;
use gooseberry_kernel::idempotency;
use gooseberry_wire::header;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::header::ALLOW;
use http::header::CONTENT_TYPE;
use http::header::WWW_AUTHENTICATE;
use http_body_util::Full;

/// An HTTP response whose whole body is in memory.
pub type HttpAnswer = Response<Full<Bytes>>;

/// The result of a request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The request's id.
    pub request: id::Request,
    /// The body, or the failure.
    pub result: Result<Bytes, Failure>,
    /// Whether it was ready only after the deadline.
    pub is_late: bool,
    /// The cost of each stage that was started.
    pub costs: Vec<Cost>,
}

impl Answer {
    /// Makes the answer to a request that failed before its first stage.
    #[must_use]
    pub fn refusal(request: id::Request, failure: Failure) -> Self {
        Self {
            request,
            result: Err(failure),
            is_late: false,
            costs: Vec::new(),
        }
    }

    /// Returns whether the request ran.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        match &self.result {
            Ok(_) => Outcome::Run,
            Err(failure) => failure.outcome,
        }
    }

    /// Builds the HTTP response with the `gooseberry-` headers.
    #[must_use]
    pub fn to_http(&self) -> HttpAnswer {
        let attempts: u32 = self.costs.iter().map(|cost| u32::from(cost.attempts)).sum();
        let mut answer = match &self.result {
            Ok(body) => with_body(200, body.clone()),
            Err(failure) => error(failure),
        };
        set_header(&mut answer, header::REQUEST, &self.request.to_string());
        set_header(&mut answer, header::OUTCOME, self.outcome().label());
        set_header(&mut answer, header::LATE, &self.is_late.to_string());
        set_header(&mut answer, header::ATTEMPTS, &attempts.to_string());
        set_header(&mut answer, header::COST, &format_costs(&self.costs));
        answer
    }

    /// Returns the record that is kept under the idempotency key.
    #[must_use]
    pub fn to_record(&self) -> idempotency::RecordedAnswer {
        let http = self.to_http();
        let text = |value: &HeaderValue| value.to_str().unwrap_or_default().to_owned();
        let headers = http.headers().iter();
        let body = self.result.as_ref().map(|body| body.to_vec());
        idempotency::RecordedAnswer {
            status: http.status().as_u16(),
            headers: headers
                .map(|(name, value)| (name.to_string(), text(value)))
                .collect(),
            body: body.unwrap_or_default().into(),
        }
    }
}

/// Makes a response with a status and a body.
#[must_use]
pub fn with_body(status: u16, body: impl Into<Bytes>) -> HttpAnswer {
    let mut answer = Response::new(Full::new(body.into()));
    if let Ok(status) = http::StatusCode::from_u16(status) {
        *answer.status_mut() = status;
    }
    answer
}

/// Makes the response to a failure: status, headers and a JSON body.
#[must_use]
pub fn error(failure: &Failure) -> HttpAnswer {
    let kind_row = failure.kind.row();
    let body = serde_json::json!({
        "error": kind_row.label,
        "message": kind_row.text,
        "outcome": failure.outcome.label(),
    });
    let mut answer = with_body(kind_row.status, body.to_string());
    set_header(&mut answer, CONTENT_TYPE.as_str(), "application/json");
    set_header(&mut answer, header::ERROR, kind_row.label);
    set_header(&mut answer, header::OUTCOME, failure.outcome.label());
    match failure.kind {
        Kind::BadCredential => set_header(&mut answer, WWW_AUTHENTICATE.as_str(), "Bearer"),
        Kind::BadMethod => set_header(&mut answer, ALLOW.as_str(), "POST"),
        _ => {}
    }
    if let Some(span) = failure.retry_after {
        let secs = span.as_secs_ceil().to_string();
        set_header(&mut answer, header::RETRY_AFTER, &secs);
    }
    answer
}

/// Makes the response that was recorded under an idempotency key.
#[must_use]
pub fn replay(record: &idempotency::RecordedAnswer) -> HttpAnswer {
    let mut answer = with_body(record.status, record.body.to_vec());
    for (name, value) in &record.headers {
        set_header(&mut answer, name, value);
    }
    set_header(&mut answer, header::REPLAYED, "true");
    answer
}

/// Sets a header; an invalid name or value is skipped.
pub fn set_header(answer: &mut HttpAnswer, name: &str, value: &str) {
    let name = HeaderName::try_from(name);
    let value = HeaderValue::try_from(value);
    if let (Ok(name), Ok(value)) = (name, value) {
        answer.headers_mut().insert(name, value);
    }
}

/// Formats costs as comma-separated `stage;attempts=1;target-ms=12;wasted-ms=0`.
fn format_costs(costs: &[Cost]) -> String {
    let format_cost = |cost: &Cost| {
        format!(
            "{};attempts={};target-ms={};wasted-ms={}",
            cost.stage, cost.attempts, cost.target_time, cost.wasted_time
        )
    };
    costs.iter().map(format_cost).collect::<Vec<_>>().join(", ")
}
