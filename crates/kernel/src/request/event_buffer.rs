//! Splits a server-sent event stream into complete events.
//!
//! A client must get each event exactly once and complete, also when another
//! target resumes the stream. Bytes are therefore buffered until the blank line
//! that ends their event, and the id of the last complete event tells the next
//! target where to resume.

use compact_str::CompactString;

/// The largest event that is buffered, in bytes; typical events have a few
/// hundred bytes.
pub const EVENT_MAX_BYTES: usize = 1 << 20;

/// The incomplete last event of a stream, and the last id and number of the
/// complete events.
#[derive(Clone, Debug, Default)]
pub struct EventBuffer {
    partial: Vec<u8>,
    last_id: Option<CompactString>,
    count: u64,
    complete: u64,
}

/// An event is larger than [`EVENT_MAX_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

impl EventBuffer {
    /// Appends received bytes and returns all bytes up to the end of the last
    /// complete event.
    ///
    /// # Errors
    /// Returns [`EventTooLong`] if the incomplete event exceeds
    /// [`EVENT_MAX_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, EventTooLong> {
        // The blank line may start in the last three buffered bytes.
        let scan_start = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.partial[scan_start..]).map(|end| scan_start + end)
        else {
            if self.partial.len() > EVENT_MAX_BYTES {
                return Err(EventTooLong);
            }
            return Ok(Vec::new());
        };
        let rest = self.partial.split_off(end);
        let complete = std::mem::replace(&mut self.partial, rest);
        self.record_events(&complete);
        Ok(complete)
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
    }

    fn record_events(&mut self, complete: &[u8]) {
        let mut has_field = false;
        for line in complete.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(id) = line.strip_prefix(b"id:") {
                self.last_id = Some(CompactString::from_utf8_lossy(id.trim_ascii()));
                self.count += 1;
            }
            if line.is_empty() {
                self.complete += u64::from(has_field);
                has_field = false;
            } else {
                has_field |= !line.starts_with(b":");
            }
        }
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
