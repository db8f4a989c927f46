//! Questions about the version at which a stream began.

use compact_str::CompactString;
use gooseberry_kernel::name;
use gooseberry_kernel::request::stream_trace;
use serde::Deserialize;
use serde::Serialize;

/// What a stream has left at the target that wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trace {
    /// The attempt that brought its first event.
    pub attempt: CompactString,
    /// What is held of its prompt, if that is known.
    pub part: Option<PartTrace>,
}

/// A trace with what was added to it since.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptTrace {
    /// The trace.
    pub trace: Trace,
    /// The tokens of the last part that a target has read with the prompt; zero if the trace
    /// has no part.
    pub tokens_read: u32,
}

/// A [`PromptTrace`] with what was added to it since.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WholeTrace {
    /// The trace of the last part.
    pub last: PromptTrace,
    /// The parts before the last one that targets hold.
    pub earlier: Vec<CompactString>,
}

/// What the target that wrote a stream holds of its prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartTrace {
    /// The last part.
    pub id: CompactString,
    /// The fewest tokens of this part.
    pub tokens_min: u32,
    /// The most tokens of this part.
    pub tokens_max: u32,
}

/// What a daemon finds out about a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Finding {
    /// It began at this version.
    Version(CompactString),
    /// Targets of several versions hold it.
    Ambiguous,
    /// No target holds it.
    NotFound,
    /// No target has answered.
    Unanswered,
}

impl From<&stream_trace::Trace> for Trace {
    fn from(trace: &stream_trace::Trace) -> Self {
        Self {
            attempt: trace.attempt.as_str().into(),
            part: trace.part.as_ref().map(|part| PartTrace {
                id: part.id.clone(),
                tokens_min: part.tokens_min,
                tokens_max: part.tokens_max,
            }),
        }
    }
}

impl From<&stream_trace::Trace> for PromptTrace {
    fn from(trace: &stream_trace::Trace) -> Self {
        Self {
            trace: trace.into(),
            tokens_read: trace.part.as_ref().map_or(0, |part| part.tokens_read),
        }
    }
}

impl From<&stream_trace::Trace> for WholeTrace {
    fn from(trace: &stream_trace::Trace) -> Self {
        let part = trace.part.as_ref();
        Self {
            last: trace.into(),
            earlier: part.map_or_else(Vec::new, |part| part.earlier.clone()),
        }
    }
}

impl From<WholeTrace> for stream_trace::Trace {
    fn from(whole: WholeTrace) -> Self {
        let mut trace = Self::from(whole.last);
        if let Some(part) = &mut trace.part {
            part.earlier = whole.earlier;
        }
        trace
    }
}

impl From<PromptTrace> for stream_trace::Trace {
    fn from(traced: PromptTrace) -> Self {
        let mut trace = Self::from(traced.trace);
        if let Some(part) = &mut trace.part {
            part.tokens_read = traced.tokens_read;
        }
        trace
    }
}

impl From<Trace> for stream_trace::Trace {
    fn from(trace: Trace) -> Self {
        Self {
            attempt: name::Attempt::new(&trace.attempt),
            part: trace.part.map(|part| stream_trace::PartTrace {
                id: part.id,
                earlier: Vec::new(),
                // Former builds do not say it, and take what was written for proof alone.
                tokens_read: part.tokens_min,
                tokens_min: part.tokens_min,
                tokens_max: part.tokens_max,
            }),
        }
    }
}

impl From<stream_trace::Finding> for Finding {
    fn from(finding: stream_trace::Finding) -> Self {
        match finding {
            stream_trace::Finding::Version(version) => Self::Version(version.as_str().into()),
            stream_trace::Finding::Ambiguous => Self::Ambiguous,
            stream_trace::Finding::NotFound => Self::NotFound,
            stream_trace::Finding::Unanswered => Self::Unanswered,
        }
    }
}

impl From<Finding> for stream_trace::Finding {
    fn from(finding: Finding) -> Self {
        match finding {
            Finding::Version(version) => Self::Version(name::Version::new(&version)),
            Finding::Ambiguous => Self::Ambiguous,
            Finding::NotFound => Self::NotFound,
            Finding::Unanswered => Self::Unanswered,
        }
    }
}
