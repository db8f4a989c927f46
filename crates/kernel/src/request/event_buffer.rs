//! Splits a server-sent event stream into complete events.
//!
//! A client must get each event exactly once and complete, also when another
//! target resumes the stream. Bytes are therefore buffered until the blank line
//! that ends their event, and the id of the last complete event tells the next
//! target where to resume. Ids increase, so an event whose id does not is not one
//! that the client lacks.
//!
//! Targets that fail may send other bytes in place of events, such as the text of an error
//! or the head of another response, also with the status of a success. What is passed on
//! is therefore of this form:
//!
//! - Lines end with LF, CRLF or CR. A line is blank, a comment, one of the fields `data`,
//!   `event`, `id` and `retry`, or a named value: a name of ASCII letters, digits, `-`, `_`
//!   and `.`, a colon and text. Clients ignore named values, and an event may carry some,
//!   but other text without a colon is no line of a stream, though the format for browsers
//!   would ignore that as well.
//! - The lines between two blank lines have one of the four fields if they have any.
//! - The first event of a target that goes on with a stream has an id if all events before
//!   have one, and its id is a number if the last one is. Later events of the same target
//!   may lack an id, since the target says itself what belongs to its stream.
//! - A byte order mark may come before the first line of a target. It is passed on only at
//!   the beginning of the answer, since it would be part of a field elsewhere.

use std::fmt;

use compact_str::CompactString;

use crate::derive::scalar;
use crate::request::continuation::Content;

/// The largest event that is buffered, in bytes; typical events have a few
/// hundred bytes.
pub const EVENT_MAX_BYTES: usize = 1 << 20;

/// The most bytes of comments and blank lines between two events; typical streams have a
/// comment of a few bytes every few seconds.
pub const FILLER_MAX_BYTES: usize = 64 << 10;
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

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
    /// What has been received from the current target.
    reply: Received,
    /// Why the buffered bytes are not passed on.
    fault: Option<Fault>,
}

/// What has been received from one target.
#[derive(Clone, Debug, Default)]
struct Received {
    /// The number of its complete events.
    events: u64,
    /// Whether its first line has been read.
    has_begun: bool,
    /// Whether a CR alone ends its lines. Otherwise a CR at the end of the received bytes
    /// may be the first half of a CRLF.
    has_cr_lines: bool,
    /// Where the first line begins that has not been read.
    line_start: usize,
    /// The lines that have been read since the last blank one.
    lines: Lines,
}

/// Lines that have been read since the last blank one.
#[derive(Clone, Debug, Default)]
struct Lines {
    kind: Kind,
    id: Option<CompactString>,
}

scalar! {
    /// What a line holds; of several lines, the greatest kind counts.
    #[derive(Default)]
    enum Kind {
        /// Comments.
        #[default]
        Comment,
        /// A named value, which clients ignore.
        Named,
        /// How long clients wait before they connect again.
        Retry,
        /// The data, the type or the id of an event.
        Event,
    }
}

/// A line of a stream.
enum Line {
    Blank,
    Id(CompactString),
    Other(Kind),
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
        /// Bytes have not the form of events.
        Malformed,
        /// A target does not go on with an event that has an id as those before have.
        WithoutId,
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::TooLong => "an event is too long",
            Self::NoEvents => "there are too many comments and no event",
            Self::OutOfOrder => "the id of an event is not greater than the one before",
            Self::Malformed => "bytes do not have the form of events",
            Self::WithoutId => "the first event of a resumed stream has no id",
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
    /// complete event that can be passed on.
    ///
    /// # Errors
    /// Returns a [`Fault`] if the next event cannot be passed on.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, Fault> {
        if let Some(fault) = self.fault {
            return Err(fault);
        }
        // Only now, since events may have come before the last comments.
        if self.filler_bytes > FILLER_MAX_BYTES {
            return Err(Fault::NoEvents);
        }
        self.partial.extend_from_slice(bytes);
        let is_within_answer = self.complete > 0 && !self.reply.has_begun;
        if is_within_answer && self.partial.starts_with(BYTE_ORDER_MARK) {
            self.partial.drain(..BYTE_ORDER_MARK.len());
        }
        // A CR at the end has not been read as that of its line.
        let mut searched = self.partial.len().saturating_sub(bytes.len() + 1);
        let mut end = 0;
        while let Some((line_end, next_line)) = self.find_line_end(searched) {
            let complete = self.complete;
            match self.read_line(line_end) {
                Ok(true) => {
                    self.filler_bytes = if self.complete > complete {
                        0
                    } else {
                        self.filler_bytes + next_line - end
                    };
                    end = next_line;
                }
                Ok(false) => {}
                Err(fault) => {
                    self.fault = Some(fault);
                    break;
                }
            }
            let has_lone_cr = next_line == line_end + 1 && self.partial[line_end] == b'\r';
            self.reply.has_cr_lines = has_lone_cr;
            self.reply.line_start = next_line;
            searched = next_line;
        }
        if self.fault.is_none() && self.partial.len() - end > EVENT_MAX_BYTES {
            self.fault = Some(Fault::TooLong);
        }
        match self.fault {
            Some(fault) if end == 0 => Err(fault),
            _ => Ok(self.take(end)),
        }
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

    /// Returns whether the reply of the current target ended before its first event, or may
    /// have. If only the end of its connection ends a reply, one of a target that crashes
    /// looks the same. A target that goes on after the last event of a stream has none
    /// left, and says in a whole reply that this is a stream.
    #[must_use]
    pub fn is_cut_before_first_event(&self, is_framed: bool, content: Content) -> bool {
        let is_known = self.is_new() || content == Content::Events;
        self.reply.events == 0 && !(is_framed && is_known)
    }

    /// Discards the incomplete event; the target that resumes the stream sends
    /// it again, as the first one of its reply.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
        self.filler_bytes = 0;
        self.reply = Received::default();
        self.fault = None;
    }

    /// Returns the end of the first line that has not been read, and the start of the line
    /// after it. There is no end of it before `searched`.
    fn find_line_end(&self, searched: usize) -> Option<(usize, usize)> {
        let from = searched.max(self.reply.line_start);
        let rest = self.partial.get(from..)?;
        let is_end = |byte: &u8| matches!(byte, b'\n' | b'\r');
        let end = from + rest.iter().position(is_end)?;
        match (self.partial[end], self.partial.get(end + 1)) {
            (b'\r', Some(b'\n')) => Some((end, end + 2)),
            (b'\r', None) if !self.reply.has_cr_lines => None,
            _ => Some((end, end + 1)),
        }
    }

    /// Reads the first line that has not been read, which ends at `line_end`; returns
    /// whether it ends an event or comments.
    fn read_line(&mut self, line_end: usize) -> Result<bool, Fault> {
        let line = &self.partial[self.reply.line_start..line_end];
        let without_mark = line.strip_prefix(BYTE_ORDER_MARK);
        let line = without_mark
            .filter(|_| !self.reply.has_begun)
            .unwrap_or(line);
        let line = parse_line(line).ok_or(Fault::Malformed)?;
        self.reply.has_begun = true;
        let lines = &mut self.reply.lines;
        match line {
            Line::Blank => return self.end_event().map(|()| true),
            Line::Id(id) => {
                lines.kind = Kind::Event;
                lines.id = Some(id);
            }
            Line::Other(kind) => lines.kind = lines.kind.max(kind),
        }
        Ok(false)
    }

    /// Records the event that consists of the lines up to a blank one, if it is one.
    fn end_event(&mut self) -> Result<(), Fault> {
        let Lines { kind, id } = std::mem::take(&mut self.reply.lines);
        match kind {
            Kind::Comment | Kind::Retry => return Ok(()),
            Kind::Named => return Err(Fault::Malformed),
            Kind::Event => self.check_id(id.as_deref())?,
        }
        self.count += u64::from(id.is_some());
        self.complete += 1;
        self.reply.events += 1;
        self.last_id = id.or(self.last_id.take());
        Ok(())
    }

    /// Checks that an event with this id may follow the one before.
    fn check_id(&self, id: Option<&str>) -> Result<(), Fault> {
        let Some(last) = self.last_id.as_deref() else {
            return Ok(());
        };
        let is_first = self.reply.events == 0;
        match id {
            Some(id) if !follows(id, last) => Err(Fault::OutOfOrder),
            Some(id) if is_first && is_number(last) && !is_number(id) => Err(Fault::WithoutId),
            None if is_first && self.count == self.complete => Err(Fault::WithoutId),
            _ => Ok(()),
        }
    }

    /// Returns whether the stream has no event yet.
    fn is_new(&self) -> bool {
        self.complete == 0 && self.last_id.is_none()
    }

    /// Removes the bytes up to `end` from those that are buffered, and returns them.
    fn take(&mut self, end: usize) -> Vec<u8> {
        let rest = self.partial.split_off(end);
        self.reply.line_start -= end;
        std::mem::replace(&mut self.partial, rest)
    }
}

/// Returns what a line is; `None` if it is no line of a stream.
fn parse_line(line: &[u8]) -> Option<Line> {
    let colon = line.iter().position(|byte| *byte == b':');
    let name = &line[..colon.unwrap_or(line.len())];
    let value = colon.map_or(&[][..], |colon| &line[colon + 1..]);
    let is_name_byte = |byte: &u8| byte.is_ascii_alphanumeric() || b"-_.".contains(byte);
    match name {
        b"" if colon.is_none() => Some(Line::Blank),
        b"" => Some(Line::Other(Kind::Comment)),
        b"data" | b"event" => Some(Line::Other(Kind::Event)),
        b"id" => {
            let id = CompactString::from_utf8_lossy(value.trim_ascii());
            Some(Line::Id(id))
        }
        b"retry" => Some(Line::Other(Kind::Retry)),
        _ if colon.is_some() && name.iter().all(is_name_byte) => Some(Line::Other(Kind::Named)),
        _ => None,
    }
}

/// Returns whether an id may follow another one. Ids that are no numbers have no order.
fn follows(id: &str, last: &str) -> bool {
    match (id.parse::<u64>(), last.parse::<u64>()) {
        (Ok(id), Ok(last)) => id > last,
        _ => true,
    }
}

fn is_number(id: &str) -> bool {
    id.parse::<u64>().is_ok()
}
