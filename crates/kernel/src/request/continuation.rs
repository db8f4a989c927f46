//! Decides what a target's reply to a request for a stream is used for.
//!
//! A target may answer a request for a stream with an error, also with the status of a
//! success. As the first answer to a client that is the target's to say, and the client can
//! tell it from a stream. In the middle of a stream it would be taken for the rest of it.

use crate::derive::scalar;

scalar! {
    /// What a reply says its body is.
    pub enum Content {
        /// A stream of events.
        Events,
        /// Something else.
        Other,
        /// It does not say.
        Unknown,
    }

    /// How far the stream is for which a reply comes.
    pub enum Progress {
        /// The client has no event of it.
        New,
        /// The client has events of it from an earlier answer.
        Resumed,
        /// Events of it are passed on in this answer.
        Begun,
    }

    /// What a reply is used for.
    pub enum Use {
        /// It begins the stream or goes on with it.
        Stream,
        /// It is the answer, and is passed on as a whole.
        Plain,
        /// It is not passed on, and the request counts as failed at its target.
        Unusable,
    }
}

/// Returns what a reply is used for that answers a request for a stream.
///
/// A reply that does not say what it is may be a stream: its bytes decide, as they do for
/// one that says it is one ([`super::event_buffer`]). For a client that resumes a stream,
/// an error is an answer, but a success that is no stream would be taken for the rest of
/// the stream.
#[must_use]
pub fn use_of(progress: Progress, is_success: bool, content: Content) -> Use {
    match (progress, content) {
        (Progress::Begun, _) if !is_success => Use::Unusable,
        _ if !is_success => Use::Plain,
        (Progress::New, Content::Other) => Use::Plain,
        (Progress::Resumed | Progress::Begun, Content::Other) => Use::Unusable,
        (_, Content::Events | Content::Unknown) => Use::Stream,
    }
}
