//! Admission control by deadline.
//!
//! A request whose stages cannot be computed in its remaining time is refused
//! before any of them starts. The wait estimates come from the dispatchers of
//! the stage services (see [`crate::stage::batch_queue`]) and are a few hundred
//! milliseconds old, so a request is refused only if it misses its deadline by
//! a clear margin.
//!
//! While a service has no target at all, such as when the last ones leave or their failure
//! domain is taken out, no estimate holds: every request that needs it is refused at once.

use crate::clock::Millis;
use crate::derive::scalar;
use crate::derive::value;
use crate::name;
use crate::request::durations::Certainty;
use crate::request::durations::Durations;
use crate::request::durations::Span;
use crate::request::routing_table::BatchSpec;
use crate::request::routing_table::Rank;
use crate::request::routing_table::ResponseForm;
use crate::request::routing_table::Route;

/// Time from the end of the last stage to the first byte of the answer:
/// connecting to a target, sending the request and reading the start of its
/// reply.
pub const FIRST_BYTE_OVERHEAD: Millis = Millis(150);
/// The shortest time after which a refused client may retry.
pub const RETRY_AFTER_MIN: Millis = Millis(200);
/// If a request misses its deadline by less than this, a retry may still be on
/// time.
const SHORT_LATENESS_MAX: Millis = Millis(400);
/// Time after which clients that miss their deadline by more may retry; most
/// bursts last a few seconds.
pub const RETRY_AFTER_BURST: Millis = Millis(5_000);
/// Expected duration of a plain request at a daemon that is shutting down, in
/// latency objectives. A request that is sent to two targets takes two
/// objectives.
const PLAIN_DURATION_OBJECTIVES: u64 = 3;
/// Duration of the longest streams after their first event: over a thousand
/// tokens at some four milliseconds each.
const STREAM_DURATION_MAX: Millis = Millis(4_200);
/// How much longer than estimated a request may take at a daemon that is shutting down: a
/// connection to its target may have to be opened, and a busy processor delays both ends.
const ESTIMATE_MARGIN: Millis = Millis(200);
/// Age at which a reported wait is ignored: its dispatcher no longer reports.
pub const WAIT_AGE_MAX: Millis = Millis(2_000);

value! {
    /// Expected waits in the queue of one stage service, as its dispatcher
    /// reports them.
    pub struct ServiceWait {
        /// The stage service.
        pub service: name::Service,
        /// The wait of pieces that are on time, by rank level.
        pub wait_by_rank: [Millis; Rank::LEVELS],
        /// The wait of pieces that are already late.
        pub late_wait: Millis,
    }
}

scalar! {
    /// Expected wait and cost of one stage on the longest chain of a request.
    pub struct StageEstimate {
        /// Queue wait if the request is on time.
        pub wait: Millis,
        /// Queue wait if the request is late.
        pub late_wait: Millis,
        /// Batch size and call duration of the stage service.
        pub spec: BatchSpec,
        /// Number of pieces of the stage.
        pub pieces: u32,
    }

    /// Until when a request is expected to take, as it is known before it is sent to a target.
    pub struct Forecast {
        /// How long it takes from now on.
        pub duration: Millis,
        /// When its client gets an answer at the latest.
        pub deadline: Millis,
    }

    /// The outcome of the admission check.
    pub enum Decision {
        /// The request is admitted.
        Admit,
        /// The request is refused; the client may retry after this time.
        Refuse(Millis),
    }
}

impl ServiceWait {
    /// Returns the wait of pieces of a rank.
    #[must_use]
    pub fn for_rank(&self, rank: Rank) -> Millis {
        self.wait_by_rank[rank.level()]
    }
}

impl Forecast {
    /// Creates the forecast of a request of a route.
    ///
    /// One that has just arrived may still have to wait, so it takes what its objective lets
    /// assume, or longer if others did. For one that is about to be sent, what was measured is
    /// enough. If it may run only once, the longest measured duration counts.
    #[must_use]
    pub fn new(
        route: &Route,
        durations: &mut Durations,
        span: Span,
        deadline: Millis,
        now: Millis,
    ) -> Self {
        let certainty = if route.is_repeatable() {
            Certainty::Likely
        } else {
            Certainty::Highest
        };
        let assumed = match route.form {
            ResponseForm::Plain => route.objective * PLAIN_DURATION_OBJECTIVES,
            ResponseForm::Stream => route.objective + STREAM_DURATION_MAX,
        };
        let estimate = durations.estimate(&route.name, span, certainty, now);
        let duration = estimate.map_or(assumed, |estimate| {
            let measured = estimate.duration + ESTIMATE_MARGIN;
            if estimate.is_firm && span == Span::Run {
                measured
            } else {
                measured.max(assumed)
            }
        });
        Self { duration, deadline }
    }

    /// Returns until when a daemon that gives its last answers at `end` may begin the request.
    ///
    /// A request that it cannot be expected to finish is refused, since another daemon can
    /// serve it. One whose deadline comes before the end gets its answer in any case.
    #[must_use]
    pub fn last_start(self, end: Millis) -> Millis {
        if self.deadline <= end {
            end
        } else {
            end - self.duration
        }
    }
}

/// Decides whether to admit a request by how many targets the services of its stages have.
/// Waiting for one to come would only keep its client from coming back later.
#[must_use]
pub fn decide_by_targets(targets: impl IntoIterator<Item = usize>) -> Decision {
    if targets.into_iter().any(|targets| targets == 0) {
        Decision::Refuse(RETRY_AFTER_BURST)
    } else {
        Decision::Admit
    }
}

/// Decides whether to admit a request.
///
/// `stages` is the longest chain of stages, `on_time_left` the time until the
/// latency objective is missed and `time_left` the time until the deadline.
///
/// A request that would be late is admitted if spare capacity can serve it
/// before its deadline, and if the results of each stage are kept for longer
/// than the next stage waits. Otherwise its first stages would be computed for
/// nothing. This happens when clients retry while a later service is still
/// full: two of five requests that such a service dropped were retries whose
/// earlier stages had already been computed.
#[must_use]
pub fn decide(stages: &[StageEstimate], on_time_left: Millis, time_left: Millis) -> Decision {
    let calls = stages.iter().fold(FIRST_BYTE_OVERHEAD, |sum, stage| {
        sum + stage.spec.call_duration(stage.pieces)
    });
    let needed = stages.iter().fold(calls, |sum, stage| sum + stage.wait);
    if needed <= on_time_left.min(time_left) {
        return Decision::Admit;
    }
    let needed_if_late = stages
        .iter()
        .fold(calls, |sum, stage| sum + stage.late_wait);
    let results_outlast_wait = |pair: &[StageEstimate]| pair[1].late_wait < pair[0].spec.result_ttl;
    if needed_if_late <= time_left && stages.windows(2).all(results_outlast_wait) {
        return Decision::Admit;
    }
    // A retry fits once the queues are shorter by the lateness.
    Decision::Refuse(retry_after(needed - on_time_left.min(time_left)))
}

/// Returns the time after which a client may retry whose request would be late
/// by `lateness`.
///
/// A request that is slightly late may be on time when retried soon; the others
/// should retry after the burst.
#[must_use]
pub fn retry_after(lateness: Millis) -> Millis {
    if lateness < SHORT_LATENESS_MAX {
        lateness.max(RETRY_AFTER_MIN)
    } else {
        lateness.max(RETRY_AFTER_BURST)
    }
}
