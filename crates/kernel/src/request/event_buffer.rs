//! What has been passed on of a stream of events.
//!
//! A client must get each event once and whole, also when the stream goes on
//! at another target. So bytes are held back until the blank line that ends
//! their event, and the id of the last whole event says where to go on.

use compact_str::CompactString;

/// The longest event that is held back, in bytes; events are a few hundred.
pub const EVENT_MAX_BYTES: usize = 1 << 20;

/// The account of one stream.
#[derive(Clone, Debug, Default)]
pub struct EventBuffer {
    partial: Vec<u8>,
    last_id: Option<CompactString>,
    count: u64,
}

/// An event grew beyond [`EVENT_MAX_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

impl EventBuffer {
    /// Takes in bytes and returns those that end whole events.
    ///
    /// # Errors
    /// Returns [`EventTooLong`] if an event does not end within its limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, EventTooLong> {
        // The blank line may begin in what was held back before.
        let scanned = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.partial[scanned..]).map(|end| scanned + end) else {
            if self.partial.len() > EVENT_MAX_BYTES {
                return Err(EventTooLong);
            }
            return Ok(Vec::new());
        };
        let rest = self.partial.split_off(end);
        let complete = std::mem::replace(&mut self.partial, rest);
        self.record_ids(&complete);
        Ok(complete)
    }

    /// Returns the id of the last whole event.
    #[must_use]
    pub fn last_id(&self) -> Option<&CompactString> {
        self.last_id.as_ref()
    }

    /// Returns how many whole events were passed on.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Tells whether the bytes so far end with a whole event.
    #[must_use]
    pub fn is_at_event_boundary(&self) -> bool {
        self.partial.is_empty()
    }

    /// Drops a partial event, since another target sends it again.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    fn record_ids(&mut self, complete: &[u8]) {
        for line in complete.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(id) = line.strip_prefix(b"id:") {
                self.last_id = Some(CompactString::from_utf8_lossy(id.trim_ascii()));
                self.count += 1;
            }
        }
    }
}

/// Finds where the last whole event ends.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let ends_at = |end: &usize| {
        let head = &bytes[..*end];
        head.ends_with(b"\n\n") || head.ends_with(b"\r\n\r\n")
    };
    (1..=bytes.len()).rev().find(ends_at)
}
