//! What is known of an answer, so that one log line tells why it ended early.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;

use crate::context::Context;

/// Why an answer ends before its client has it whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reason {
    /// The deadline has passed.
    Deadline,
    /// Its target broke off, and its route does not allow another one.
    NotAllowed,
    /// The daemon has stopped.
    Stopped,
    /// The connection to the client has ended.
    ClientLeft,
}

/// How far an answer was when it ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// It was read from its target.
    Target,
    /// Its stages ran again.
    Stages,
    /// Another target was looked for.
    Pick,
    /// Another target had it.
    Send,
    /// It was written to the client.
    Delivery,
}

/// The facts of a stream that its last line has.
#[derive(Clone, Debug, Default)]
pub(crate) struct StreamFacts {
    /// How many events were passed on.
    pub(crate) events: u64,
    /// How often the request was sent.
    pub(crate) sends: u32,
    /// How long ago the last event was passed on.
    pub(crate) silent: Millis,
    /// The longest pause between two events.
    pub(crate) longest_gap: Millis,
    /// The target that paused for so long.
    pub(crate) gap_target: Option<name::Target>,
}

/// Why and where an answer ends early.
#[derive(Clone, Debug)]
struct Cause {
    reason: Reason,
    step: Step,
    detail: String,
}

#[derive(Debug, Default)]
struct State {
    /// The version of the settings at admission.
    settings: Option<u64>,
    cause: Option<Cause>,
    stream: StreamFacts,
}

/// What is known of an answer, shared by the parts of the daemon that see it end.
#[derive(Clone, Debug)]
pub struct AnswerRecord {
    context: Arc<Context>,
    attempt: name::Attempt,
    arrived: Millis,
    state: Arc<Mutex<State>>,
}

impl Reason {
    fn as_str(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::NotAllowed => "not-allowed",
            Self::Stopped => "stopped",
            Self::ClientLeft => "client-left",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.as_str())
    }
}

impl Step {
    fn as_str(self) -> &'static str {
        match self {
            Self::Target => "target",
            Self::Stages => "stages",
            Self::Pick => "pick",
            Self::Send => "send",
            Self::Delivery => "delivery",
        }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.as_str())
    }
}

impl AnswerRecord {
    /// Creates the record of a request that has just arrived.
    pub(crate) fn new(context: &Arc<Context>, attempt: &name::Attempt, arrived: Millis) -> Self {
        Self {
            context: context.clone(),
            attempt: attempt.clone(),
            arrived,
            state: Arc::default(),
        }
    }

    /// Returns when the request arrived.
    pub(crate) fn arrived(&self) -> Millis {
        self.arrived
    }

    /// Records the version of the settings with which the request is admitted.
    pub(crate) fn record_admission(&self, settings: u64) {
        self.lock().settings = Some(settings);
    }

    /// Records why the answer will end early.
    pub(crate) fn record_cause(&self, reason: Reason, step: Step, detail: &str) {
        self.lock().cause = Some(Cause {
            reason,
            step,
            detail: detail.to_owned(),
        });
    }

    /// Records how far a stream was that ends early.
    pub(crate) fn record_stream(&self, facts: StreamFacts) {
        self.lock().stream = facts;
    }

    /// Returns the guard that logs the end of the answer, unless it was sent whole.
    pub(crate) fn into_delivery(self) -> Delivery {
        Delivery {
            record: self,
            is_whole: false,
        }
    }

    fn log_early_end(&self) {
        let cause = self.lock().cause.clone().unwrap_or_else(|| {
            let reason = if self.context.shutdown.has_ended() {
                Reason::Stopped
            } else {
                Reason::ClientLeft
            };
            Cause {
                reason,
                step: Step::Delivery,
                detail: String::new(),
            }
        });
        let (settings_now, is_leaving) = {
            let state = self.context.state();
            let table = state.routing_table();
            (table.map(|table| table.version), state.is_leaving())
        };
        let state = self.lock();
        let stream = &state.stream;
        log::info!(
            request:% = self.attempt,
            reason:% = cause.reason,
            step:% = cause.step,
            detail = cause.detail,
            settings:? = state.settings,
            settings_now:?,
            is_leaving,
            events = stream.events,
            sends = stream.sends,
            silent_ms = stream.silent.0,
            longest_gap_ms = stream.longest_gap.0,
            gap_target = stream.gap_target.as_ref().map_or("", name::Target::as_str),
            took_ms = (self.context.now() - self.arrived).0;
            "an answer ended early"
        );
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Logs that an answer ended early if it is dropped before the last byte was sent.
#[derive(Debug)]
pub(crate) struct Delivery {
    record: AnswerRecord,
    is_whole: bool,
}

impl Delivery {
    /// Records that the last byte was sent.
    pub(crate) fn complete(&mut self) {
        self.is_whole = true;
    }
}

impl Drop for Delivery {
    fn drop(&mut self) {
        if !self.is_whole {
            self.record.log_early_end();
        }
    }
}
