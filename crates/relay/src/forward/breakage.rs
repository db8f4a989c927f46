//! Why the stream of a target does not go on, which tells whether the target may have crashed.

use std::fmt;

use gooseberry_kernel::request::event_buffer::Fault;

use crate::exchange;

/// Why the stream of a target does not go on.
#[derive(Clone, Debug)]
pub(super) enum Breakage {
    /// Its connection has ended, or its deadline has passed.
    Connection(String),
    /// What it sends cannot be passed on.
    Content(String),
}

impl Breakage {
    pub(super) fn without_connection() -> Self {
        Self::Connection("there is no connection".to_owned())
    }

    pub(super) fn within_event() -> Self {
        Self::Connection("the stream ended within an event".to_owned())
    }

    pub(super) fn before_first_event() -> Self {
        Self::Connection("the connection ended before the first event".to_owned())
    }

    pub(super) fn without_memory() -> Self {
        Self::Content("there is no memory for an event".to_owned())
    }
}

impl From<Fault> for Breakage {
    fn from(fault: Fault) -> Self {
        Self::Content(fault.to_string())
    }
}

impl From<exchange::Error> for Breakage {
    fn from(error: exchange::Error) -> Self {
        Self::Connection(error.to_string())
    }
}

impl fmt::Display for Breakage {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connection(why) | Self::Content(why) => out.write_str(why),
        }
    }
}
