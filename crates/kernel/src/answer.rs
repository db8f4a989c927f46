//! The outcomes of a request and the complete table of its error kinds.
//!
//! Every failure has one [`Kind`]. [`Kind::row`] alone defines what a kind means
//! for the client. `docs/PROTOCOLS.md` documents the same table, and a test
//! checks that both are equal.

use std::fmt;
use std::str::FromStr;

use crate::clock::Millis;
use crate::derive::scalar;
use crate::derive::value;
use crate::id;

scalar! {
    /// Whether the work of a request was run.
    pub enum Outcome {
        /// The work ran, and the answer contains its result.
        Run,
        /// The work did not run and will not: no target accepted it.
        NotRun,
        /// The work may have run. A retry with the same key is safe.
        Unknown,
    }
}

impl Outcome {
    /// All outcomes, in the order of declaration.
    pub const ALL: [Self; 3] = [Self::Run, Self::NotRun, Self::Unknown];

    /// Returns the label of the outcome in headers and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Run => "run",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.label())
    }
}

impl FromStr for Outcome {
    type Err = id::Invalid;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL
            .into_iter()
            .find(|outcome| outcome.label() == text);
        found.ok_or_else(|| id::Invalid { text: text.into() })
    }
}

/// A row of the table of error kinds: what the kind means for the client.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    /// The label of the kind in headers, metrics and logs.
    pub label: &'static str,
    /// The HTTP status of the answer.
    pub status: u16,
    /// The outcome, unless the work may already have been sent to a target.
    pub outcome: Outcome,
    /// After what time the client may retry; `None` if a retry cannot help.
    pub retry_after: Option<Millis>,
    /// The error message for the client.
    pub text: &'static str,
}

macro_rules! kinds {
    ($($(#[$meta:meta])* $name:ident = $label:literal, $status:literal, $outcome:ident, $retry:expr, $text:literal;)*) => {
        scalar! {
            /// One way in which a request can fail.
            pub enum Kind {
                $($(#[$meta])* $name,)*
            }
        }

        impl Kind {
            /// All kinds, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns what the kind means for the client.
            #[must_use]
            pub const fn row(self) -> Row {
                match self {
                    $(Self::$name => Row {
                        label: $label,
                        status: $status,
                        outcome: Outcome::$outcome,
                        retry_after: $retry,
                        text: $text,
                    },)*
                }
            }
        }
    };
}

const RETRY_SOON: Option<Millis> = Some(Millis(1000));
const RETRY_LATER: Option<Millis> = Some(Millis(5000));
const RETRY_MUCH_LATER: Option<Millis> = Some(Millis(60_000));

kinds! {
    /// The request is malformed.
    BadRequest = "bad-request", 400, NotRun, None, "The request is malformed.";
    /// A pipeline with a non-idempotent stage was called without a key.
    KeyMissing = "key-missing", 400, NotRun, None, "This pipeline needs an Idempotency-Key.";
    /// The credential is wrong, or the workspace does not exist.
    BadCredential = "bad-credential", 401, NotRun, None, "The credential does not open this workspace.";
    /// The workspace may not call the pipeline, or the pipeline does not exist.
    NoPipeline = "no-pipeline", 404, NotRun, None, "The workspace has no such pipeline.";
    /// The API has no such path.
    NoPath = "no-path", 404, NotRun, None, "There is nothing at this path.";
    /// The path does not accept the method.
    BadMethod = "bad-method", 405, NotRun, None, "The path does not take this method.";
    /// The client did not send the complete request in time.
    SlowRequest = "slow-request", 408, NotRun, RETRY_SOON, "The request was not sent whole in time.";
    /// Another request with the same key is in progress.
    KeyBusy = "key-busy", 409, Unknown, RETRY_SOON, "A request with this key is being served.";
    /// A request with this key may have run, but its result is unknown.
    KeyUnknown = "key-unknown", 409, Unknown, RETRY_LATER, "What became of this key is not known yet.";
    /// The body of the request is larger than the limit.
    TooLarge = "too-large", 413, NotRun, None, "The body is larger than the limit.";
    /// The key was used before with another body.
    KeyMismatch = "key-mismatch", 422, NotRun, None, "The key was used with another request.";
    /// The request crashed the targets that ran it.
    Quarantined = "quarantined", 422, NotRun, RETRY_MUCH_LATER, "Targets failed on this request; it is not tried for a while.";
    /// The workspace has used up its share.
    OverShare = "over-share", 429, NotRun, RETRY_SOON, "The workspace has used up its share.";
    /// The daemon failed unexpectedly.
    Internal = "internal", 500, Unknown, RETRY_SOON, "The daemon failed.";
    /// The targets that were tried failed.
    TargetFailed = "target-failed", 502, Unknown, RETRY_SOON, "The targets failed.";
    /// The target's answer is larger than the limit.
    AnswerTooLarge = "answer-too-large", 502, Unknown, None, "The target's answer is larger than the limit.";
    /// No target of the pool may be given work now.
    NoTarget = "no-target", 503, NotRun, RETRY_LATER, "No target may be given this work now.";
    /// Too many calls wait for the targets, or a call would wait past its deadline.
    QueueFull = "queue-full", 503, NotRun, RETRY_SOON, "Too much is waiting for the targets.";
    /// The daemon that owns the target or the key cannot be reached.
    NoOwner = "no-owner", 503, NotRun, RETRY_LATER, "The daemon that decides this cannot be reached.";
    /// No daemon holds the lease on the target or the key at the time.
    NoRight = "no-right", 503, NotRun, RETRY_LATER, "The right to do this work is moving between daemons.";
    /// The daemon has no settings or no list yet.
    NotReady = "not-ready", 503, NotRun, RETRY_SOON, "The daemon is starting.";
    /// The daemon is shutting down.
    ShuttingDown = "shutting-down", 503, NotRun, RETRY_SOON, "The daemon is shutting down.";
    /// The daemon has reached a limit, such as that on requests in progress.
    Overloaded = "overloaded", 503, NotRun, RETRY_SOON, "There are too many requests at this daemon.";
    /// The work cannot be finished before the deadline, so it was not started.
    TooLate = "too-late", 504, NotRun, RETRY_SOON, "The work cannot be done in the time that remains.";
    /// The deadline passed while the work was being done.
    DeadlinePassed = "deadline-passed", 504, Unknown, RETRY_SOON, "The deadline passed before the answer came.";
}

impl fmt::Display for Kind {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.row().label)
    }
}

impl FromStr for Kind {
    type Err = id::Invalid;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.iter().find(|kind| kind.row().label == text);
        let found = found.copied();
        found.ok_or_else(|| id::Invalid { text: text.into() })
    }
}

value! {
    /// A request, a stage or an attempt that failed.
    pub struct Failure {
        /// Why it failed.
        pub kind: Kind,
        /// Whether the work was run.
        pub outcome: Outcome,
        /// After what time the client may retry; `None` if that cannot help.
        pub retry_after: Option<Millis>,
    }
}

impl Failure {
    /// Sets the outcome to unknown, when the work was sent to a target.
    #[must_use]
    pub fn with_unknown_outcome(mut self) -> Self {
        self.outcome = Outcome::Unknown;
        self
    }

    /// Sets the time after which the client may retry.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Millis) -> Self {
        self.retry_after = Some(delay);
        self
    }
}

impl From<Kind> for Failure {
    fn from(kind: Kind) -> Self {
        let row = kind.row();
        Self {
            kind,
            outcome: row.outcome,
            retry_after: row.retry_after,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{} ({})", self.kind.row().text, self.outcome)
    }
}

impl std::error::Error for Failure {}
