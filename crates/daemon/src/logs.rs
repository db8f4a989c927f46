//! Log lines, for people or as JSON.
//!
//! What a line is about stands in fields beside its message: the request, its
//! workspace, pipeline, stage and attempt. Credentials, keys and bodies are
//! never given to the log.

use std::fmt::Write;
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

/// Starts logging to standard error.
///
/// # Errors
/// Returns an error if logging was started before.
pub fn start(level: &str, format: LogFormat) -> anyhow::Result<()> {
    let level: LevelFilter = level.parse()?;
    let lines = fern::Dispatch::new().format(move |out, _, record| {
        let line = match format {
            LogFormat::Text => text(record, wall_ms()),
            LogFormat::Json => json(record, wall_ms()),
        };
        out.finish(format_args!("{line}"));
    });
    // Libraries speak of their own matters; only their warnings are of use.
    lines
        .level(LevelFilter::Warn.min(level))
        .level_for("gooseberryd", level)
        .level_for("gooseberryctl", level)
        .chain(std::io::stderr())
        .apply()?;
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
