//! Log lines, for people or as JSON.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use gooseberry_kernel::settings::LogFormat;
use log::LevelFilter;

/// Starts logging to standard error.
///
/// # Errors
/// Returns an error if logging was started before.
pub fn start(level: &str, format: LogFormat) -> anyhow::Result<()> {
    let level: LevelFilter = level.parse()?;
    let lines = fern::Dispatch::new().format(move |out, message, record| match format {
        LogFormat::Text => out.finish(format_args!(
            "{} {:5} {}: {message}",
            wall_ms(),
            record.level(),
            record.target()
        )),
        LogFormat::Json => {
            let line = serde_json::json!({
                "time_ms": wall_ms(),
                "level": record.level().as_str(),
                "target": record.target(),
                "message": message.to_string(),
            });
            out.finish(format_args!("{line}"));
        }
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

/// The wall clock, for people alone: no decision reads it.
fn wall_ms() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis())
}
