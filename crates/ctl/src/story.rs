//! Collects the log lines that concern one request.
//!
//! Daemons write one line for each decision. A story contains the lines that
//! name the request, and the lines from the same time about the targets that it
//! was sent to and about the daemons that served it, ordered by time. The logs
//! are one file for each daemon, or one stream in which a log collector has put
//! the name of the daemon before each line.

use std::fmt;

/// Log levels.
const LEVELS: [&str; 5] = ["ERROR", "WARN", "INFO", "DEBUG", "TRACE"];
/// Least number of digits of a log line's time, which is in milliseconds since
/// the Unix epoch.
const MIN_TIME_DIGITS: usize = 12;
/// Lines of targets and daemons are included from this long before the first
/// line of the request, in milliseconds, because they may explain it.
const CONTEXT_BEFORE_MS: u64 = 3_000;
/// Messages about events that change the behaviour of a whole daemon.
const DAEMON_EVENTS: [&str; 9] = [
    "settings adopted",
    "the store is lost",
    "the store is back",
    "domains taken out",
    "shutting down",
    "stopped",
    "started",
    "fell silent",
    "forgotten its history",
];

/// One parsed log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// Wall clock of the daemon, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The prefix written by the log collector, or else the name of the file.
    pub daemon: String,
    /// The text after the level.
    pub text: String,
}

/// Reason why a line belongs to a story.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// It names the request.
    Request,
    /// It concerns a target that the request was sent to.
    Target,
    /// It concerns a daemon that served the request.
    Daemon,
}

/// The lines that concern a request, ordered by time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Story {
    /// The lines, each with the reason why it is included.
    pub lines: Vec<(Part, Line)>,
}

impl Line {
    /// Parses a line; returns `None` if it is not a log line of a daemon.
    #[must_use]
    pub fn read(line: &str, file: &str) -> Option<Self> {
        let words: Vec<&str> = line.split_whitespace().collect();
        let is_time = |word: &str| {
            word.len() >= MIN_TIME_DIGITS && word.bytes().all(|byte| byte.is_ascii_digit())
        };
        let pairs = words.windows(2);
        let time_index = pairs
            .into_iter()
            .position(|pair| is_time(pair[0]) && LEVELS.contains(&pair[1]))?;
        let prefix = words[..time_index].join(" ");
        Some(Self {
            time_ms: words[time_index].parse().ok()?,
            daemon: if prefix.is_empty() {
                file.to_owned()
            } else {
                prefix
            },
            text: words[time_index + 1..].join(" "),
        })
    }

    /// Returns whether the line names the request, alone or in a list.
    #[must_use]
    pub fn names(&self, request: &str) -> bool {
        self.requests().any(|value| value == request)
    }

    /// Returns the requests that the line names, alone or in a list.
    pub fn requests(&self) -> impl Iterator<Item = &str> {
        let values = self.text.split_whitespace().filter_map(|word| {
            let (field, value) = word.split_once('=')?;
            ["request", "requests"].contains(&field).then_some(value)
        });
        values.flat_map(|value| value.trim_matches('"').split(','))
    }

    /// Returns the message without the module that wrote it, its fields, and values in
    /// brackets.
    #[must_use]
    pub fn message(&self) -> String {
        let (_, message) = self.text.split_once(": ").unwrap_or(("", &self.text));
        let words = message.split_whitespace();
        let words: Vec<&str> = words.take_while(|word| !word.contains('=')).collect();
        let message = words.join(" ");
        let end = message.find('(').unwrap_or(message.len());
        message[..end].trim_end().to_owned()
    }

    /// Returns the value of a field, if the line has it.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        let words = self.text.split_whitespace();
        let mut pairs = words.filter_map(|word| word.split_once('='));
        pairs
            .find(|(field, _)| *field == name)
            .map(|(_, value)| value)
    }

    /// Returns whether the line says that a stream was late because of a pause between two
    /// events.
    #[must_use]
    pub fn is_late_by_gap(&self) -> bool {
        self.field("late")
            .is_some_and(|late| ["gap", "both"].contains(&late))
    }

    /// Returns the name of the daemon without the time that a log collector may
    /// have put before it.
    fn writer(&self) -> &str {
        self.daemon.rsplit(' ').next().unwrap_or_default()
    }
}

impl Story {
    /// Collects the lines that concern a request; empty if no line names it.
    #[must_use]
    pub fn find(lines: &[Line], request: &str) -> Self {
        let own: Vec<&Line> = lines.iter().filter(|line| line.names(request)).collect();
        let Some(first) = own.iter().map(|line| line.time_ms).min() else {
            return Self::default();
        };
        let last = own.iter().map(|line| line.time_ms).max().unwrap_or(first);
        let targets: Vec<&str> = own.iter().filter_map(|line| line.field("target")).collect();
        let writers: Vec<&str> = own.iter().map(|line| line.writer()).collect();
        let part = |line: &Line| {
            if line.names(request) {
                return Some(Part::Request);
            }
            let is_in_span =
                (first.saturating_sub(CONTEXT_BEFORE_MS)..=last).contains(&line.time_ms);
            // Lines of other requests at the same target do not concern this one.
            let is_of_other_request = line.field("request").or(line.field("requests")).is_some();
            if !is_in_span || is_of_other_request {
                return None;
            }
            let is_of_target = line
                .field("target")
                .is_some_and(|target| targets.contains(&target));
            let is_of_daemon = writers.contains(&line.writer())
                && DAEMON_EVENTS.iter().any(|words| line.text.contains(words));
            match (is_of_target, is_of_daemon) {
                (true, _) => Some(Part::Target),
                (false, true) => Some(Part::Daemon),
                (false, false) => None,
            }
        };
        let found = lines
            .iter()
            .filter_map(|line| Some((part(line)?, line.clone())));
        let mut lines: Vec<(Part, Line)> = found.collect();
        lines.sort_by_key(|(_, line)| line.time_ms);
        Self { lines }
    }
}

impl fmt::Display for Story {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let start = self.lines.iter().find(|(part, _)| *part == Part::Request);
        let start = start.map_or(0, |(_, line)| line.time_ms);
        for (part, line) in &self.lines {
            let mark = match part {
                Part::Request if line.is_late_by_gap() => 'g',
                Part::Request => ' ',
                Part::Target => 't',
                Part::Daemon => 'd',
            };
            let sign = if line.time_ms < start { '-' } else { '+' };
            let span = line.time_ms.abs_diff(start);
            writeln!(
                out,
                "{mark} {sign}{span:>6} ms  {}  {}",
                line.writer(),
                line.text
            )?;
        }
        Ok(())
    }
}
