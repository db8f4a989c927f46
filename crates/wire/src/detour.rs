//! Requests that a daemon has another one send to a target, since it reaches none itself.
//!
//! They go over HTTP, as requests to targets do, so that streams, their ends and their
//! abandonment pass unchanged. A header of the request says how to send it
//! ([`Call`]), and one of the reply what became of it ([`Outcome`]). Both are JSON, so
//! that fields can be added.

use compact_str::CompactString;
use gooseberry_kernel::clock::Millis;
use http::HeaderMap;
use http::HeaderValue;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The header with the [`Call`].
pub const CALL: &str = "gooseberry-detour-call";
/// The header with the [`Outcome`].
pub const OUTCOME: &str = "gooseberry-detour-outcome";

/// How a request is to be sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The attempt id of the request.
    pub attempt: CompactString,
    /// The service of the target.
    pub service: CompactString,
    /// The version of the target's software, if no other one will do.
    pub version: Option<CompactString>,
    /// Identifies the prompt prefix that the request shares with others.
    pub affinity: Option<u64>,
    /// The targets that are left out.
    pub tried: Vec<CompactString>,
    /// The only targets that may get it, if not all may; all may by a build that does not say.
    #[serde(default)]
    pub only: Option<Vec<CompactString>>,
    /// The request's random number.
    pub draw: u64,
    /// Time within which it must be sent to be of any use, in milliseconds.
    pub due_ms: u64,
    /// Time until its deadline, in milliseconds.
    pub left_ms: u64,
    /// Whether it must not run twice.
    pub runs_once: bool,
    /// How long it is expected to run, in milliseconds; `None` from a build that does not say.
    #[serde(default)]
    pub run_ms: Option<u64>,
}

/// What became of a request; it is sent with the target's reply, if there is one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The reply is that of a target.
    Replied(Sender),
    /// No target received the request.
    NotSent {
        /// The reason, for logs.
        why: CompactString,
        /// When a target may take it, in milliseconds, if that is known.
        retry_ms: Option<u64>,
        /// Whether this daemon reaches no target of the service, either.
        is_cut_off: bool,
    },
    /// A target may have run the request, and there is no reply.
    Unknown {
        /// The reason, for logs.
        why: CompactString,
        /// The target.
        target: CompactString,
        /// The run of the target, if it broke the call off and the link to it is sound.
        crashed_run: Option<u64>,
    },
}

/// The target that replied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Its name.
    pub target: CompactString,
    /// The version of its software.
    pub version: CompactString,
    /// Whether only the end of its connection shows the end of the reply.
    pub is_unframed: bool,
}

impl Call {
    /// Returns the time within which the request must be sent.
    #[must_use]
    pub fn due(&self) -> Millis {
        Millis(self.due_ms)
    }

    /// Returns the time until the deadline.
    #[must_use]
    pub fn left(&self) -> Millis {
        Millis(self.left_ms)
    }
}

/// Returns a header with a message; `None` if it has a character that headers cannot have.
#[must_use]
pub fn encode<T: Serialize>(message: &T) -> Option<HeaderValue> {
    let text = serde_json::to_vec(message).ok()?;
    HeaderValue::from_bytes(&text).ok()
}

/// Removes a message from the headers; `None` if there is none that can be read.
#[must_use]
pub fn take<T: DeserializeOwned>(headers: &mut HeaderMap, name: &str) -> Option<T> {
    let value = headers.remove(name)?;
    serde_json::from_slice(value.as_bytes()).ok()
}
