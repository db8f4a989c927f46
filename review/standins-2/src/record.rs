//! The record of a run: what was sent, answered and run.

use std::fmt::Write as _;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// The lines of a record, with the time since its start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<(u128, String)>>>,
}

impl Record {
    /// Begins a record.
    pub fn new() -> Self {
        Self {
            began: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Returns the milliseconds since its start.
    pub fn ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Adds a line.
    pub fn add(&self, text: impl Into<String>) {
        let at = self.began.elapsed().as_millis();
        self.lines
            .lock()
            .expect("not poisoned")
            .push((at, text.into()));
    }

    /// Writes all lines to a file.
    pub fn write(&self, path: &Path) {
        let mut text = String::new();
        for (at, line) in self.lines.lock().expect("not poisoned").iter() {
            writeln!(text, "{at:>7} ms  {line}").ok();
        }
        std::fs::write(path, text).expect("the record can be written");
    }
}
