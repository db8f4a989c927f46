//! Structured log lines as text or JSON, to standard error or, without blocking
//! the process, to standard output.
//!
//! The context of a line is in fields beside its message: the request, its
//! workspace, pipeline, stage and attempt. Credentials, keys and bodies must
//! never be logged.

use std::fmt::Write as _;
use std::io;
use std::io::BufWriter;
use std::io::Write as _;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use gooseberry_kernel::settings::LogFormat;
use log::LevelFilter;
use log::Record;
use log::kv::Error;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use serde_json::Map;
use serde_json::json;

/// The crates that log at the configured level; all others log only
/// warnings and errors.
const OWN_CRATES: [&str; 4] = [
    "gooseberryd",
    "gooseberryctl",
    "gooseberry_relay",
    "gooseberry_connectors",
];
/// The capacity of the queue to standard output, in lines; usually about a megabyte.
const QUEUE_MAX_LINES: usize = 4096;

/// The most characters of a message or a field. They may quote what other processes sent.
const VALUE_MAX_CHARS: usize = 4096;

/// The number of lines dropped since the last report of drops in the log.
static DROPPED_UNREPORTED: AtomicU64 = AtomicU64::new(0);
/// The number of lines dropped since the start.
static DROPPED_TOTAL: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped because the queue was full.
#[must_use]
pub fn dropped() -> u64 {
    DROPPED_TOTAL.load(Ordering::Relaxed)
}

/// Starts logging to standard output without ever blocking the process.
///
/// Lines go through a bounded queue to a writer thread. When the queue is full
/// because standard output is not read, lines are dropped and counted; the
/// count is logged before the next line that is written.
///
/// # Errors
/// Returns an error if the level is unknown or logging was started before.
pub fn start_nonblocking(level: &str, format: LogFormat) -> anyhow::Result<()> {
    let (sender, lines) = mpsc::sync_channel::<String>(QUEUE_MAX_LINES);
    thread::Builder::new()
        .name("logs".to_owned())
        .spawn(move || write_lines(&lines))?;
    let output = fern::Output::call(move |record| {
        let line = match format {
            LogFormat::Text => format_text(record, unix_time_ms()),
            LogFormat::Json => format_json(record, unix_time_ms()),
        };
        if sender.try_send(line).is_err() {
            DROPPED_UNREPORTED.fetch_add(1, Ordering::Relaxed);
            DROPPED_TOTAL.fetch_add(1, Ordering::Relaxed);
        }
    });
    apply(level, fern::Dispatch::new().chain(output))
}

fn write_lines(lines: &mpsc::Receiver<String>) {
    let mut out = BufWriter::new(io::stdout());
    while let Ok(line) = lines.recv() {
        let mut next = Some(line);
        while let Some(line) = next {
            let dropped = DROPPED_UNREPORTED.swap(0, Ordering::Relaxed);
            let written = match dropped {
                0 => Ok(()),
                dropped => writeln!(out, "{} WARN  logs: dropped={dropped}", unix_time_ms()),
            };
            // Standard output is closed, which must not stop the daemon.
            if written.and_then(|()| writeln!(out, "{line}")).is_err() {
                return;
            }
            next = lines.try_recv().ok();
        }
        if out.flush().is_err() {
            return;
        }
    }
}

/// Starts logging to standard error.
///
/// # Errors
/// Returns an error if the level is unknown or logging was started before.
pub fn start(level: &str, format: LogFormat) -> anyhow::Result<()> {
    let dispatch = fern::Dispatch::new().format(move |out, _, record| {
        let line = match format {
            LogFormat::Text => format_text(record, unix_time_ms()),
            LogFormat::Json => format_json(record, unix_time_ms()),
        };
        out.finish(format_args!("{line}"));
    });
    apply(level, dispatch.chain(io::stderr()))
}

fn apply(level: &str, dispatch: fern::Dispatch) -> anyhow::Result<()> {
    let level: LevelFilter = level.parse()?;
    // Other crates log only warnings and errors.
    let mut dispatch = dispatch.level(LevelFilter::Warn.min(level));
    for own_crate in OWN_CRATES {
        dispatch = dispatch.level_for(own_crate, level);
    }
    dispatch.apply()?;
    Ok(())
}

/// Formats a record as one line of text.
#[must_use]
pub fn format_text(record: &Record<'_>, time_ms: u64) -> String {
    let mut line = format!("{time_ms} {:5} {}:", record.level(), record.target());
    let message = bounded(record.args().to_string());
    // Escapes control characters, so that a message stays on one line.
    let printable = message.chars().flat_map(|character| {
        let is_control = character.is_control();
        let escaped = is_control.then(|| character.escape_default());
        let plain = (!is_control).then_some(character);
        escaped.into_iter().flatten().chain(plain)
    });
    line.push(' ');
    line.extend(printable);
    let mut fields = TextFields(line);
    record.key_values().visit(&mut fields).ok();
    fields.0
}

/// Formats a record as one JSON object.
#[must_use]
pub fn format_json(record: &Record<'_>, time_ms: u64) -> String {
    let mut fields = JsonFields(Map::new());
    record.key_values().visit(&mut fields).ok();
    let mut line = fields.0;
    line.insert("time_ms".to_owned(), json!(time_ms));
    line.insert("level".to_owned(), json!(record.level().as_str()));
    line.insert("target".to_owned(), json!(record.target()));
    line.insert(
        "message".to_owned(),
        json!(bounded(record.args().to_string())),
    );
    serde_json::Value::Object(line).to_string()
}

/// Cuts a text that is too long for a line.
fn bounded(mut text: String) -> String {
    if let Some((end, _)) = text.char_indices().nth(VALUE_MAX_CHARS) {
        text.truncate(end);
        text.push_str("...");
    }
    text
}

struct TextFields(String);

impl<'kvs> VisitSource<'kvs> for TextFields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = bounded(value.to_string());
        let is_plain = value
            .chars()
            .all(|character| character.is_ascii_graphic() && character != '"');
        if is_plain && !value.is_empty() {
            write!(self.0, " {key}={value}")?;
        } else {
            write!(self.0, " {key}={value:?}")?;
        }
        Ok(())
    }
}

struct JsonFields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for JsonFields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let number = value.to_u64().map(serde_json::Value::from);
        let boolean = value.to_bool().map(serde_json::Value::from);
        let json_value = number
            .or(boolean)
            .unwrap_or_else(|| bounded(value.to_string()).into());
        self.0.insert(key.to_string(), json_value);
        Ok(())
    }
}

/// Returns the wall clock time, for log lines only; no decision depends on it.
fn unix_time_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since_epoch.map_or(0, |since_epoch| since_epoch.as_millis());
    u64::try_from(millis).unwrap_or(u64::MAX)
}
