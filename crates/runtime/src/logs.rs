//! Log lines, for people or as JSON.
//!
//! What a line is about stands in fields beside its message: the request, its
//! workspace, pipeline, stage and attempt. Credentials, keys and bodies are
//! never given to the log.

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

/// The crates whose lines are written at the level that the settings name.
const OURS: [&str; 4] = [
    "gooseberryd",
    "gooseberryctl",
    "gooseberry_relay",
    "gooseberry_connectors",
];
/// How many lines wait for the reader of standard output; about a megabyte.
const WAITING_MAX: usize = 4096;

/// The lines that were dropped since the last one that was not.
static DROPPED: AtomicU64 = AtomicU64::new(0);
/// The lines that were dropped since the start.
static DROPPED_EVER: AtomicU64 = AtomicU64::new(0);

/// Returns how many lines were dropped because nobody read them in time.
#[must_use]
pub fn dropped() -> u64 {
    DROPPED_EVER.load(Ordering::Relaxed)
}

/// Starts logging to standard output, without ever waiting for its reader.
///
/// Lines go through a bounded queue to a thread of their own. When the queue
/// is full, lines are dropped and counted, and the next line that is written
/// says how many.
///
/// # Errors
/// Returns an error if logging was started before.
pub fn start_unblocked(level: &str, format: LogFormat) -> anyhow::Result<()> {
    let (sender, lines) = mpsc::sync_channel::<String>(WAITING_MAX);
    thread::Builder::new()
        .name("logs".to_owned())
        .spawn(move || write_lines(&lines))?;
    let output = fern::Output::call(move |record| {
        let line = match format {
            LogFormat::Text => text(record, wall_ms()),
            LogFormat::Json => json(record, wall_ms()),
        };
        if sender.try_send(line).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
            DROPPED_EVER.fetch_add(1, Ordering::Relaxed);
        }
    });
    apply(level, fern::Dispatch::new().chain(output))
}

fn write_lines(lines: &mpsc::Receiver<String>) {
    let mut out = BufWriter::new(io::stdout());
    while let Ok(line) = lines.recv() {
        let mut next = Some(line);
        while let Some(line) = next {
            let dropped = DROPPED.swap(0, Ordering::Relaxed);
            let told = match dropped {
                0 => Ok(()),
                dropped => writeln!(out, "{} WARN  logs: dropped={dropped}", wall_ms()),
            };
            // Nobody reads the logs any more, which must not stop the daemon.
            if told.and_then(|()| writeln!(out, "{line}")).is_err() {
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
/// Returns an error if logging was started before.
pub fn start(level: &str, format: LogFormat) -> anyhow::Result<()> {
    let lines = fern::Dispatch::new().format(move |out, _, record| {
        let line = match format {
            LogFormat::Text => text(record, wall_ms()),
            LogFormat::Json => json(record, wall_ms()),
        };
        out.finish(format_args!("{line}"));
    });
    apply(level, lines.chain(io::stderr()))
}

fn apply(level: &str, lines: fern::Dispatch) -> anyhow::Result<()> {
    let level: LevelFilter = level.parse()?;
    // Libraries speak of their own matters; only their warnings are of use.
    let mut lines = lines.level(LevelFilter::Warn.min(level));
    for ours in OURS {
        lines = lines.level_for(ours, level);
    }
    lines.apply()?;
    Ok(())
}

/// Writes a record as one line for people.
#[must_use]
pub fn text(record: &Record<'_>, time_ms: u64) -> String {
    let mut line = format!("{time_ms} {:5} {}:", record.level(), record.target());
    let message = record.args().to_string();
    // A message of several lines would look like several records.
    let printable = message.chars().flat_map(|one| {
        let is_control = one.is_control();
        let escaped = is_control.then(|| one.escape_default());
        let plain = (!is_control).then_some(one);
        escaped.into_iter().flatten().chain(plain)
    });
    line.push(' ');
    line.extend(printable);
    let mut fields = Text(line);
    record.key_values().visit(&mut fields).ok();
    fields.0
}

/// Writes a record as one JSON object.
#[must_use]
pub fn json(record: &Record<'_>, time_ms: u64) -> String {
    let mut fields = Json(Map::new());
    record.key_values().visit(&mut fields).ok();
    let mut line = fields.0;
    line.insert("time_ms".to_owned(), json!(time_ms));
    line.insert("level".to_owned(), json!(record.level().as_str()));
    line.insert("target".to_owned(), json!(record.target()));
    line.insert("message".to_owned(), json!(record.args().to_string()));
    serde_json::Value::Object(line).to_string()
}

struct Text(String);

impl<'kvs> VisitSource<'kvs> for Text {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = value.to_string();
        let is_plain = value
            .chars()
            .all(|one| one.is_ascii_graphic() && one != '"');
        if is_plain && !value.is_empty() {
            write!(self.0, " {key}={value}")?;
        } else {
            write!(self.0, " {key}={value:?}")?;
        }
        Ok(())
    }
}

struct Json(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Json {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let number = value.to_u64().map(serde_json::Value::from);
        let truth = value.to_bool().map(serde_json::Value::from);
        let read = number.or(truth).unwrap_or_else(|| value.to_string().into());
        self.0.insert(key.to_string(), read);
        Ok(())
    }
}

/// The wall clock, for people alone: no decision reads it.
fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |since| since.as_millis());
    u64::try_from(millis).unwrap_or(u64::MAX)
}
