//! The decision whether a request is taken in.
//!
//! A request whose stages cannot be made in the time that it has is refused
//! before any of them is begun. The waits come from the dispatchers of the
//! stage services (see [`crate::stage::queue`]) and are some hundred
//! milliseconds old, so a request is refused only for a clear excess.

use crate::clock::Millis;
use crate::derive::scalar;
use crate::derive::value;
use crate::name;
use crate::request::routing_table::BatchSpec;
use crate::request::routing_table::Rank;
use crate::request::routing_table::ResponseForm;

/// What the way to a target and its first byte take beside the stages.
pub const FIRST_BYTE_OVERHEAD: Millis = Millis(150);
/// The least span after which a refused client is asked to come back.
pub const RETRY_AFTER_MIN: Millis = Millis(200);
/// Up to which missing time a refused request may still be on time when it
/// comes back.
const RETRY_AFTER_SHORT_MAX: Millis = Millis(400);
/// When the others are asked to come back: most bursts last a few seconds.
pub const RETRY_AFTER_BURST: Millis = Millis(5_000);
/// How many objectives a plain request may take at a daemon that is ending; one
/// that is tried twice takes two.
const PLAIN_DURATION_OBJECTIVES: u64 = 3;
/// How long the longest streams last after their first event, as the sites'
/// sheets have it: over a thousand tokens of some four milliseconds.
const STREAM_DURATION_MAX: Millis = Millis(4_200);
/// How long a told wait counts; older ones come from a silent dispatcher.
pub const WAIT_AGE_MAX: Millis = Millis(2_000);

value! {
    /// How long pieces wait at the dispatcher of a service.
    pub struct ServiceWait {
        /// The service.
        pub service: name::Service,
        /// The wait of each rank.
        pub wait_by_rank: [Millis; Rank::LEVELS],
        /// The wait of what is late already.
        pub late: Millis,
    }
}

scalar! {
    /// One stage on the longest way to the request's run.
    pub struct StageEstimate {
        /// How long its pieces wait if the request is on time.
        pub wait: Millis,
        /// How long they wait if it is late anyway.
        pub late_wait: Millis,
        /// What its service bears.
        pub spec: BatchSpec,
        /// How many pieces it has.
        pub pieces: u32,
    }

    /// What is decided of a request at the door.
    pub enum Decision {
        /// It is taken in.
        Admit,
        /// It is refused; the client may come back after the span.
        Refuse(Millis),
    }
}

impl ServiceWait {
    /// Returns the wait of a rank.
    #[must_use]
    pub fn for_rank(&self, rank: Rank) -> Millis {
        self.wait_by_rank[rank.level()]
    }
}

/// Tells whether a request can be served by a daemon that ends in so long.
///
/// Past the point at which a request can be expected to end in time it is
/// refused, since another daemon will serve it.
#[must_use]
pub fn can_finish_before_shutdown(form: ResponseForm, objective: Millis, left: Millis) -> bool {
    let needed = match form {
        ResponseForm::Plain => Millis(objective.0 * PLAIN_DURATION_OBJECTIVES),
        ResponseForm::Stream => objective + STREAM_DURATION_MAX,
    };
    needed <= left
}

/// Decides on a request that is on time for so much longer, and has so much
/// time left, with such a way before it.
///
/// One that cannot be on time enters if capacity that is left over makes it
/// late. Its results must outlast its wait at each later service, or they would
/// be made in vain. The load that this answers are clients that come back while
/// a later service is still full: two of five requests that such a service gave
/// up had come back, after an earlier one had worked for them.
#[must_use]
pub fn decide(stages: &[StageEstimate], on_time_left: Millis, time_left: Millis) -> Decision {
    let calls = stages.iter().fold(FIRST_BYTE_OVERHEAD, |sum, stage| {
        sum + stage.spec.call_duration(stage.pieces)
    });
    let needed = stages.iter().fold(calls, |sum, stage| sum + stage.wait);
    if needed <= on_time_left.min(time_left) {
        return Decision::Admit;
    }
    let late = stages
        .iter()
        .fold(calls, |sum, stage| sum + stage.late_wait);
    let results_outlast_wait = |pair: &[StageEstimate]| pair[1].late_wait < pair[0].spec.result_ttl;
    if late <= time_left && stages.windows(2).all(results_outlast_wait) {
        return Decision::Admit;
    }
    // The wait that has to pass before the same request would fit.
    Decision::Refuse(retry_after(needed - on_time_left.min(time_left)))
}

/// Returns when a client may come back whose request lacks so much time.
///
/// One that lacks little may still be on time then; the others come after the
/// burst.
#[must_use]
pub fn retry_after(missing: Millis) -> Millis {
    if missing < RETRY_AFTER_SHORT_MAX {
        missing.max(RETRY_AFTER_MIN)
    } else {
        missing.max(RETRY_AFTER_BURST)
    }
}
