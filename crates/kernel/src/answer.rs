//! How a request ends, and the closed list of ways in which it can fail.
//!
//! Every failure is one [`Kind`]. [`Kind::row`] is the only place that says
//! what a kind means for the caller. The same table stands in
//! `docs/PROTOCOLS.md`, and a test keeps the two equal.

use std::fmt;
use std::str::FromStr;

use crate::clock::Millis;
use crate::derive::scalar;
use crate::derive::value;
use crate::id;

scalar! {
    /// What became of the work that a request asked for.
    pub enum Outcome {
        /// The work ran, and the answer says what came of it.
        Run,
        /// The work did not run and will not: no target was given it.
        NotRun,
        /// The work may have run. Asking again with the same key is safe.
        Unknown,
    }
}

impl Outcome {
    /// Every outcome, in the order of declaration.
    pub const ALL: [Self; 3] = [Self::Run, Self::NotRun, Self::Unknown];

    /// Returns the outcome as it stands in headers and metrics.
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

/// What a kind means for the caller.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    /// The name of the kind in headers, metrics and logs.
    pub label: &'static str,
    /// The HTTP status of the answer.
    pub status: u16,
    /// The outcome, unless a target may have been given the work already.
    pub outcome: Outcome,
    /// When the caller may come back; `None` if asking again cannot help.
    pub retry_after: Option<Millis>,
    /// The sentence that the caller reads.
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
            /// Every kind, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns what the kind means for the caller.
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
    /// The request is not one that the API knows.
    BadRequest = "bad-request", 400, NotRun, None, "The request is malformed.";
    /// A pipeline with a non-idempotent stage was called without a key.
    KeyMissing = "key-missing", 400, NotRun, None, "This pipeline needs an Idempotency-Key.";
    /// The credential is wrong, or the workspace is not known.
    BadCredential = "bad-credential", 401, NotRun, None, "The credential does not open this workspace.";
    /// The workspace may not call the pipeline, or there is none of the name.
    NoPipeline = "no-pipeline", 404, NotRun, None, "The workspace has no such pipeline.";
    /// The path is not one that the API knows.
    NoPath = "no-path", 404, NotRun, None, "There is nothing at this path.";
    /// The method is not one that the path takes.
    BadMethod = "bad-method", 405, NotRun, None, "The path does not take this method.";
    /// The request was not sent whole in time.
    SlowRequest = "slow-request", 408, NotRun, RETRY_SOON, "The request was not sent whole in time.";
    /// The same key is being served now.
    KeyBusy = "key-busy", 409, Unknown, RETRY_SOON, "A request with this key is being served.";
    /// A request with this key may have run, and what came of it is not known.
    KeyUnknown = "key-unknown", 409, Unknown, RETRY_LATER, "What became of this key is not known yet.";
    /// The body is larger than the limit.
    TooLarge = "too-large", 413, NotRun, None, "The body is larger than the limit.";
    /// The key was used with another body before.
    KeyMismatch = "key-mismatch", 422, NotRun, None, "The key was used with another request.";
    /// The request crashed the targets that ran it.
    Quarantined = "quarantined", 422, NotRun, RETRY_MUCH_LATER, "Targets failed on this request; it is not tried for a while.";
    /// The workspace has used up its share.
    OverShare = "over-share", 429, NotRun, RETRY_SOON, "The workspace has used up its share.";
    /// The daemon failed in a way that it should not.
    Internal = "internal", 500, Unknown, RETRY_SOON, "The daemon failed.";
    /// Each target that was tried failed.
    TargetFailed = "target-failed", 502, Unknown, RETRY_SOON, "The targets failed.";
    /// The target's answer is larger than the limit.
    AnswerTooLarge = "answer-too-large", 502, Unknown, None, "The target's answer is larger than the limit.";
    /// No target of the pool may be given work now.
    NoTarget = "no-target", 503, NotRun, RETRY_LATER, "No target may be given this work now.";
    /// The queue before the targets is full.
    QueueFull = "queue-full", 503, NotRun, RETRY_SOON, "Too much is waiting for the targets.";
    /// The owner of the target or of the key cannot be reached.
    NoOwner = "no-owner", 503, NotRun, RETRY_LATER, "The daemon that decides this cannot be reached.";
    /// No daemon holds the right that the work needs at this time.
    NoRight = "no-right", 503, NotRun, RETRY_LATER, "The right to do this work is moving between daemons.";
    /// The daemon has no settings or no list yet.
    NotReady = "not-ready", 503, NotRun, RETRY_SOON, "The daemon is starting.";
    /// The daemon is shutting down.
    ShuttingDown = "shutting-down", 503, NotRun, RETRY_SOON, "The daemon is shutting down.";
    /// There are too many connections.
    Overloaded = "overloaded", 503, NotRun, RETRY_SOON, "There are too many requests at this daemon.";
    /// The work cannot be done in the time that remains; it was not started.
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
        /// The way in which it failed.
        pub kind: Kind,
        /// What became of the work.
        pub outcome: Outcome,
        /// When the caller may come back.
        pub retry_after: Option<Millis>,
    }
}

impl Failure {
    /// Marks the work as possibly run, since a target was given it.
    #[must_use]
    pub fn with_unknown_outcome(mut self) -> Self {
        self.outcome = Outcome::Unknown;
        self
    }

    /// Tells the caller when to come back.
    #[must_use]
    pub fn with_retry_after(mut self, span: Millis) -> Self {
        self.retry_after = Some(span);
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
