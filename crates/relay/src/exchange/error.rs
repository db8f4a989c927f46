//! Why a call has no reply, or none that can be read whole.

use std::fmt;

use gooseberry_connectors::http_connection;

/// The failure of a call.
#[derive(Debug)]
pub enum Error {
    /// The target did not receive the request.
    NotSent(String),
    /// The connection failed, and the target may have received the request.
    Broken(String),
    /// The target has asked for a pause since it was picked, and did not receive the
    /// request.
    Paused,
    /// There was no reply in time, and the target may have received the request.
    Silent(String),
}

impl fmt::Display for Error {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(why) => write!(out, "not sent: {why}"),
            Self::Broken(why) => write!(out, "broken: {why}"),
            Self::Paused => out.write_str("not sent: the target asked for a pause"),
            Self::Silent(why) => write!(out, "silent: {why}"),
        }
    }
}

/// Why a reply that has begun cannot be read whole.
#[derive(Debug)]
pub enum ReadError {
    /// It ended early.
    Broken(String),
    /// It is longer than such replies may be.
    TooLong,
    /// Its target has no share of the memory left for it.
    NoMemory,
}

impl fmt::Display for ReadError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(why) => write!(out, "broken: {why}"),
            Self::TooLong => out.write_str("the reply is too long"),
            Self::NoMemory => out.write_str("there is no memory for the reply"),
        }
    }
}

impl From<http_connection::Error> for Error {
    fn from(error: http_connection::Error) -> Self {
        match error {
            http_connection::Error::NotSent(error) => Self::NotSent(error.to_string()),
            http_connection::Error::Broken(error) => Self::Broken(error.to_string()),
        }
    }
}
