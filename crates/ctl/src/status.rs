//! The `status` subcommand: shows the state of a daemon.

use std::fmt::Write;
use std::net::SocketAddr;

use gooseberry_wire::operators::Status;
use http::Request;
use http_body_util::Full;

use crate::operators_client;

/// Fetches the state of a daemon.
///
/// # Errors
/// Returns an error if the daemon cannot be reached or its response cannot be
/// parsed.
pub async fn fetch(daemon: SocketAddr) -> anyhow::Result<Status> {
    let request = Request::get(operators_client::uri(daemon, "/v1/status")).body(Full::default())?;
    operators_client::fetch_json(request).await
}

/// Formats a state as text.
#[must_use]
pub fn text(status: &Status) -> String {
    let ready = status.not_ready.as_deref().unwrap_or("yes");
    let rights = if status.holds_rights { "yes" } else { "no" };
    let age = status.read_age_ms.map(|age| format!("{age} ms ago"));
    let rows = [
        ("instance", status.instance.to_string()),
        ("failure domain", status.domain.to_string()),
        ("ready", ready.to_owned()),
        ("rights hold", rights.to_owned()),
        ("list revision", status.list_revision.to_string()),
        ("settings revision", status.settings_revision.to_string()),
        (
            "platform confirmed",
            age.unwrap_or_else(|| "never".to_owned()),
        ),
        ("members", status.members.join(", ")),
        ("requests", status.requests.to_string()),
        ("calls in flight", status.calls_in_flight.to_string()),
        ("calls queued", status.calls_queued.to_string()),
    ];
    let mut text = String::new();
    for (name, value) in rows {
        write_line(&mut text, format_args!("{name:<20} {value}"));
    }
    write_owned(&mut text, status);
    for refused in &status.refused_documents {
        let head = format_args!(
            "\nrefused {} of revision {}:",
            refused.path, refused.revision
        );
        write_line(&mut text, head);
        for fault in refused.faults.lines() {
            write_line(&mut text, format_args!("  {fault}"));
        }
    }
    text
}

fn write_owned(text: &mut String, status: &Status) {
    if status.owned.is_empty() {
        return;
    }
    let head = format_args!("\n{:<28} {:<20} calls  limit", "owned target", "pool");
    write_line(text, head);
    for owned in &status.owned {
        let limit = owned
            .limit
            .map_or_else(|| "-".to_owned(), |limit| limit.to_string());
        let row = format_args!(
            "{:<28} {:<20} {:>5}  {limit:>5}",
            owned.target, owned.pool, owned.in_flight
        );
        write_line(text, row);
    }
}

/// Appends a line; writing to a string cannot fail.
pub(crate) fn write_line(text: &mut String, line: std::fmt::Arguments<'_>) {
    writeln!(text, "{line}").ok();
}
