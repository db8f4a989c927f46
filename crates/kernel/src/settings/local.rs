//! The settings file with which one process is started.

use std::net::SocketAddr;
use std::str::FromStr;

use super::fault::Faults;
use super::reader;
use super::reader::Fields;
use super::reader::Range;
use super::reader::Reader;
use crate::clock::Millis;
use crate::derive::scalar;
use crate::derive::value;
use crate::id;

scalar! {
    /// The format of log lines.
    pub enum LogFormat {
        /// Plain text.
        Text,
        /// One JSON object per line.
        Json,
    }
}

impl FromStr for LogFormat {
    type Err = id::Invalid;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(id::Invalid { text: text.into() }),
        }
    }
}

value! {
    /// The identity of a process, its addresses and its logging.
    pub struct Local {
        /// The id under which the platform lists this run of the daemon.
        pub instance: id::Instance,
        /// The failure domain in which the process runs.
        pub domain: id::Domain,
        /// The address on which it serves requests of clients.
        pub callers: SocketAddr,
        /// The address on which it serves stage calls of peers.
        pub data: SocketAddr,
        /// The address on which it serves control messages of peers.
        pub control: SocketAddr,
        /// The address on which it serves metrics and state to operators.
        pub operators: SocketAddr,
        /// The address of the platform's service.
        pub platform: SocketAddr,
        /// The least severe level that is logged, by its name in the `log` crate.
        pub log_level: String,
        /// The format of log lines.
        pub log_format: LogFormat,
        /// How long a graceful shutdown may take.
        pub shutdown_limit: Millis,
        /// Whether faults may be injected through the operators' port, for tests.
        pub has_fault_injection: bool,
    }
}

const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

impl Local {
    /// Parses and validates the file.
    ///
    /// # Errors
    /// Returns all faults of the file.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        let local = reader::parse(text, |reader, root| {
            let instance = reader.text(root, "instance", "an id of an instance");
            let domain = reader.text(root, "domain", "the name of a failure domain");
            let mut address =
                |name| reader.text(root, name, "an address such as \"127.0.0.1:8080\"");
            let callers = address("callers");
            let data = address("data");
            let control = address("control");
            let operators = address("operators");
            let platform = address("platform");
            check_addresses(
                reader,
                root,
                &[
                    ("callers", callers),
                    ("data", data),
                    ("control", control),
                    ("operators", operators),
                ],
            );
            let log_level = reader.optional_text(root, "log_level", "a level");
            let log_level = log_level.unwrap_or_else(|| "info".to_owned());
            if !LOG_LEVELS.contains(&log_level.as_str()) {
                let (path, start) = root.position("log_level");
                reader.add_fault(&path, start, format!("expected one of {LOG_LEVELS:?}"));
            }
            let format = reader.optional_text(root, "log_format", "\"text\" or \"json\"");
            let range = Range {
                min: 100,
                max: 600_000,
            };
            let shutdown_limit = reader.number(root, "shutdown_limit_ms", range, 15_000);
            let has_fault_injection = reader.boolean(root, "fault_injection", false);
            Some(Self {
                instance: instance?,
                domain: domain?,
                callers: callers?,
                data: data?,
                control: control?,
                operators: operators?,
                platform: platform?,
                log_level,
                log_format: format.unwrap_or(LogFormat::Text),
                shutdown_limit: Millis(shutdown_limit),
                has_fault_injection,
            })
        })?;
        // Unreachable: a missing field was already reported as a fault above.
        local.ok_or(Faults(Vec::new()))
    }
}

/// Adds a fault for each address that repeats an earlier one. Port 0, which binds
/// any free port, may be repeated.
fn check_addresses(
    reader: &mut Reader<'_>,
    root: &Fields<'_>,
    addresses: &[(&str, Option<SocketAddr>)],
) {
    for (index, (name, address)) in addresses.iter().enumerate() {
        let Some(address) = address.filter(|address| address.port() != 0) else {
            continue;
        };
        let mut earlier = addresses[..index].iter();
        if let Some((other, _)) = earlier.find(|(_, other)| *other == Some(address)) {
            let (path, start) = root.position(name);
            let message = format!("expected an address other than that of {other}");
            reader.add_fault(&path, start, message);
        }
    }
}
