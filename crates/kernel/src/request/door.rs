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
use crate::request::table::Form;
use crate::request::table::Pieces;
use crate::request::table::Rank;

/// What the way to a target and its first byte take beside the stages.
pub const FIRST_BYTE: Millis = Millis(150);
/// The least span after which a refused client is asked to come back.
pub const RETURN_MIN: Millis = Millis(200);
/// Up to which missing time a refused request may still be on time when it
/// comes back.
const RETURN_SOON: Millis = Millis(400);
/// When the others are asked to come back: most bursts last a few seconds.
pub const RETURN_LATER: Millis = Millis(5_000);
/// How many objectives a plain request may take at a daemon that is ending; one
/// that is tried twice takes two.
const PLAIN_OBJECTIVES: u64 = 3;
/// How long the longest streams last after their first event, as the sites'
/// sheets have it: over a thousand tokens of some four milliseconds.
const STREAM_LENGTH: Millis = Millis(4_200);
/// How long a told wait counts; older ones come from a silent dispatcher.
pub const WAIT_AGE_MAX: Millis = Millis(2_000);

value! {
    /// How long pieces wait at the dispatcher of a service.
    pub struct Wait {
        /// The service.
        pub service: name::Service,
        /// The wait of each rank.
        pub waits: [Millis; Rank::LEVELS],
        /// The wait of what is late already.
        pub late: Millis,
    }
}

scalar! {
    /// One stage on the longest way to the request's run.
    pub struct Leg {
        /// How long its pieces wait if the request is on time.
        pub wait: Millis,
        /// How long they wait if it is late anyway.
        pub late: Millis,
        /// What its service bears.
        pub pieces: Pieces,
        /// How many pieces it has.
        pub count: u32,
    }

    /// What is decided of a request at the door.
    pub enum Verdict {
        /// It is taken in.
        Enter,
        /// It is refused; the client may come back after the span.
        Refuse(Millis),
    }
}

impl Wait {
    /// Returns the wait of a rank.
    #[must_use]
    pub fn of(&self, rank: Rank) -> Millis {
        self.waits[rank.level()]
    }
}

/// Tells whether a request can be served by a daemon that ends in so long.
///
/// Past the point at which a request can be expected to end in time it is
/// refused, since another daemon will serve it.
#[must_use]
pub fn has_time_to_end(form: Form, objective: Millis, left: Millis) -> bool {
    let needed = match form {
        Form::Plain => Millis(objective.0 * PLAIN_OBJECTIVES),
        Form::Stream => objective + STREAM_LENGTH,
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
pub fn decide(legs: &[Leg], on_time: Millis, left: Millis) -> Verdict {
    let calls = legs
        .iter()
        .fold(FIRST_BYTE, |sum, leg| sum + leg.pieces.call(leg.count));
    let needed = legs.iter().fold(calls, |sum, leg| sum + leg.wait);
    if needed <= on_time.min(left) {
        return Verdict::Enter;
    }
    let late = legs.iter().fold(calls, |sum, leg| sum + leg.late);
    let outlasts = |pair: &[Leg]| pair[1].late < pair[0].pieces.kept;
    if late <= left && legs.windows(2).all(outlasts) {
        return Verdict::Enter;
    }
    // The wait that has to pass before the same request would fit.
    Verdict::Refuse(return_after(needed - on_time.min(left)))
}

/// Returns when a client may come back whose request lacks so much time.
///
/// One that lacks little may still be on time then; the others come after the
/// burst.
#[must_use]
pub fn return_after(missing: Millis) -> Millis {
    if missing < RETURN_SOON {
        missing.max(RETURN_MIN)
    } else {
        missing.max(RETURN_LATER)
    }
}
