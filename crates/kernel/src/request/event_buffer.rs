//! Splits a server-sent event stream into complete events.
//!
//! A client must get each event exactly once and complete, also when another
//! target resumes the stream. Bytes are therefore buffered until the blank line
//! that ends their event, and the id of the last complete event tells the next
//! target where to resume. Ids increase, so an event whose id does not is not one
//! that the client lacks.

use std::fmt;

use compact_str::CompactString;

use crate::derive::scalar;

/// The largest event that is buffered, in bytes; typical events have a few
/// hundred bytes.
pub const EVENT_MAX_BYTES: usize = 1 << 20;

/// The most bytes of comments and blank lines between two events; typical streams have a
/// comment of a few bytes every few seconds.
pub const FILLER_MAX_BYTES: usize = 64 << 10;

/// The incomplete last event of a stream, and the last id and number of the
/// complete events.
#[derive(Clone, Debug, Default)]
pub struct EventBuffer {
    partial: Vec<u8>,
    last_id: Option<CompactString>,
    count: u64,
    complete: u64,
    /// The size of what has come since the last complete event and is none.
    filler_bytes: usize,
    /// Whether an event that steps back begins the buffered bytes.
    is_out_of_order: bool,
}

scalar! {
    /// Why no more of a stream can be passed on.
    pub enum Fault {
        /// An event is larger than [`EVENT_MAX_BYTES`].
        TooLong,
        /// There are more than [`FILLER_MAX_BYTES`] of comments between two events.
        NoEvents,
        /// The id of an event is not greater than the one before.
        OutOfOrder,
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::TooLong => "an event is too long",
            Self::NoEvents => "there are too many comments and no event",
            Self::OutOfOrder => "the id of an event is not greater than the one before",
        })
    }
}

impl EventBuffer {
    /// Creates the buffer of a stream that goes on after the event with this id.
    #[must_use]
    pub fn after(last_id: Option<CompactString>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Appends received bytes and returns all bytes up to the end of the last
    /// complete event that is in order.
    ///
    /// # Errors
    /// Returns a [`Fault`] if the incomplete event exceeds [`EVENT_MAX_BYTES`], if there
    /// were more than [`FILLER_MAX_BYTES`] without an event, or if the next event steps back.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, Fault> {
        if self.is_out_of_order {
            return Err(Fault::OutOfOrder);
        }
        // Only now, since events may have come before the last comments.
        if self.filler_bytes > FILLER_MAX_BYTES {
            return Err(Fault::NoEvents);
        }
        // The blank line may start in the last three buffered bytes.
        let scan_start = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.partial[scan_start..]).map(|end| scan_start + end)
        else {
            if self.partial.len() > EVENT_MAX_BYTES {
                return Err(Fault::TooLong);
            }
            return Ok(Vec::new());
        };
        let end_in_order = self.record_events(end);
        self.is_out_of_order = end_in_order < end;
        if self.is_out_of_order && end_in_order == 0 {
            return Err(Fault::OutOfOrder);
        }
        let rest = self.partial.split_off(end_in_order);
        Ok(std::mem::replace(&mut self.partial, rest))
    }

    /// Returns the id of the last complete event.
    #[must_use]
    pub fn last_id(&self) -> Option<&CompactString> {
        self.last_id.as_ref()
    }

    /// Returns the number of complete events with an id.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns the number of complete events, with or without an id. Comments are none: a
    /// stalled target may go on sending them.
    #[must_use]
    pub fn complete(&self) -> u64 {
        self.complete
    }

    /// Returns the size of the incomplete event that is buffered, in bytes.
    #[must_use]
    pub fn partial_bytes(&self) -> u64 {
        self.partial.len() as u64
    }

    /// Returns whether no incomplete event is buffered.
    #[must_use]
    pub fn is_at_event_boundary(&self) -> bool {
        self.partial.is_empty()
    }

    /// Discards the incomplete event; the target that resumes the stream sends
    /// it again.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
        self.filler_bytes = 0;
        self.is_out_of_order = false;
    }

    /// Records the buffered events up to `end`, and returns the end of the last one that is in
    /// order.
    fn record_events(&mut self, end: usize) -> usize {
        let mut has_field = false;
        let mut event_start = 0;
        let mut position = 0;
        for line in self.partial[..end].split_inclusive(|byte| *byte == b'\n') {
            position += line.len();
            let line = line.strip_suffix(b"\n").unwrap_or(line);
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(id) = line.strip_prefix(b"id:") {
                let id = CompactString::from_utf8_lossy(id.trim_ascii());
                if self
                    .last_id
                    .as_ref()
                    .is_some_and(|last| !follows(&id, last))
                {
                    return event_start;
                }
                self.last_id = Some(id);
                self.count += 1;
            }
            if line.is_empty() {
                self.complete += u64::from(has_field);
                self.filler_bytes = if has_field {
                    0
                } else {
                    self.filler_bytes + position - event_start
                };
                has_field = false;
                event_start = position;
            } else {
                has_field |= !line.starts_with(b":");
            }
        }
        end
    }
}

/// Returns whether an id may follow another one. Ids that are no numbers have no order.
fn follows(id: &str, last: &str) -> bool {
    match (id.parse::<u64>(), last.parse::<u64>()) {
        (Ok(id), Ok(last)) => id > last,
        _ => true,
    }
}

/// Returns the position after the last blank line that ends an event.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let ends_at = |end: &usize| {
        let head = &bytes[..*end];
        head.ends_with(b"\n\n") || head.ends_with(b"\r\n\r\n")
    };
    (1..=bytes.len()).rev().find(ends_at)
}
