//! Counts how requests ended, by route, from the logs of daemons.
//!
//! Each request is counted once, under the first daemon's last word on it, so the counts of
//! a route add up to its requests. Stage work is attributed to the requests of its calls in
//! equal parts, so that what was spent on requests without an answer shows.

use std::fmt;

use crate::story::Line;

/// How the messages begin that say why a request is not answered.
const CAUSES: [&str; 4] = [
    "refused",
    "expired in the queue",
    "the stages did not complete",
    "a stream broke off",
];

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ending {
    /// It was answered on time.
    OnTime,
    /// It was answered, and its first byte or event was late.
    LateFirst,
    /// It was answered, and only a pause between two events was too long.
    LateGap,
    /// It was answered with a target's failure, or failed.
    Failed,
    /// It was refused as not run.
    Refused,
    /// Its stream ended before its last event.
    Cut,
    /// Its client left before the answer began.
    Left,
    /// No line tells its end, as when its daemon was lost.
    Open,
}

/// What the logs tell of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// Its route; empty if it was refused before a route was found.
    pub route: String,
    /// How it ended.
    pub ending: Ending,
    /// Why, in the words of the log, if it was not answered.
    pub reason: String,
    /// Stage work that was done for it, in milliseconds.
    pub stage_ms: f64,
}

/// Counts of one route.
#[derive(Clone, Debug, PartialEq)]
struct Row {
    route: String,
    counts: [usize; Ending::ALL.len()],
    stage_ms: [f64; Ending::ALL.len()],
}

/// How the requests of some logs ended.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Losses {
    /// Sorted by route.
    rows: Vec<Row>,
    /// The reasons of requests that were not answered, with their endings and counts, most
    /// frequent first.
    reasons: Vec<(Ending, String, usize)>,
}

impl Ending {
    /// All endings, in the order of the columns.
    pub const ALL: [Self; 8] = [
        Self::OnTime,
        Self::LateFirst,
        Self::LateGap,
        Self::Failed,
        Self::Refused,
        Self::Cut,
        Self::Left,
        Self::Open,
    ];

    fn label(self) -> &'static str {
        match self {
            Self::OnTime => "on time",
            Self::LateFirst => "late",
            Self::LateGap => "gap",
            Self::Failed => "failed",
            Self::Refused => "refused",
            Self::Cut => "cut",
            Self::Left => "left",
            Self::Open => "open",
        }
    }

    fn index(self) -> usize {
        Self::ALL.iter().position(|one| *one == self).unwrap_or(0)
    }

    /// Reads the end of a request from a line that tells it.
    fn read(line: &Line) -> Option<Self> {
        match line.message().as_str() {
            "request answered" => Some(match (line.field("is_on_time"), line.field("late")) {
                (Some("true"), _) => Self::OnTime,
                (_, Some("gap")) => Self::LateGap,
                _ => Self::LateFirst,
            }),
            "request refused" if line.field("outcome") == Some("not-run") => Some(Self::Refused),
            "request refused" | "request answered with the error reply of its first target" => {
                Some(Self::Failed)
            }
            // Former builds have the second text.
            "an answer ended early" | "a stream ended before its last event was passed on" => {
                Some(Self::Cut)
            }
            "the client disconnected before the response began" => Some(Self::Left),
            _ => None,
        }
    }
}

impl Outcome {
    /// Reads the outcome of a request from its lines, which are ordered by time.
    #[must_use]
    pub fn read(lines: &[&Line]) -> Self {
        let mut outcome = Self {
            route: String::new(),
            ending: Ending::Open,
            reason: String::new(),
            stage_ms: 0.0,
        };
        let mut cause = String::new();
        for line in lines {
            if let Some(route) = line.field("route") {
                route.clone_into(&mut outcome.route);
            }
            outcome.stage_ms += stage_ms(line);
            if let Some(ending) = Ending::read(line) {
                outcome.ending = ending;
                let end = line.field("end").unwrap_or_default();
                outcome.reason = match (cause.as_str(), end) {
                    ("", end) => end.to_owned(),
                    (cause, "") => cause.to_owned(),
                    (cause, end) => format!("{end}: {cause}"),
                };
            } else if CAUSES.iter().any(|start| line.message().starts_with(start)) {
                cause = line.message();
            }
        }
        if outcome.ending <= Ending::LateGap {
            outcome.reason.clear();
        }
        outcome
    }
}

impl Losses {
    /// Counts how the requests that some lines name ended.
    #[must_use]
    pub fn count(lines: &[Line]) -> Self {
        let requests = lines.iter().flat_map(|line| {
            let names = line.requests();
            names.map(move |name| (name.to_owned(), line))
        });
        let mut requests: Vec<(String, &Line)> = requests.collect();
        requests.sort_by(|a, b| (&a.0, a.1.time_ms).cmp(&(&b.0, b.1.time_ms)));
        let mut losses = Self::default();
        for request in requests.chunk_by(|a, b| a.0 == b.0) {
            let lines: Vec<&Line> = request.iter().map(|(_, line)| *line).collect();
            // Without these lines, the log of the daemon that served it is missing.
            let is_served =
                |line: &&Line| line.message() == "request admitted" || Ending::read(line).is_some();
            if lines.iter().any(is_served) {
                losses.add(&Outcome::read(&lines));
            }
        }
        losses.reasons.sort_by(|a, b| (b.2, &a.1).cmp(&(a.2, &b.1)));
        losses
    }

    /// Returns the number of requests.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.rows.iter().flat_map(|row| row.counts).sum()
    }

    fn add(&mut self, outcome: &Outcome) {
        let found = self
            .rows
            .binary_search_by(|row| row.route.cmp(&outcome.route));
        let index = found.unwrap_or_else(|index| {
            let row = Row {
                route: outcome.route.clone(),
                counts: Default::default(),
                stage_ms: Default::default(),
            };
            self.rows.insert(index, row);
            index
        });
        let column = outcome.ending.index();
        self.rows[index].counts[column] += 1;
        self.rows[index].stage_ms[column] += outcome.stage_ms;
        if outcome.ending <= Ending::LateGap {
            return;
        }
        let mut reasons = self.reasons.iter_mut();
        let known =
            reasons.find(|(ending, why, _)| (*ending, why) == (outcome.ending, &outcome.reason));
        match known {
            Some((_, _, count)) => *count += 1,
            None => self
                .reasons
                .push((outcome.ending, outcome.reason.clone(), 1)),
        }
    }
}

impl fmt::Display for Losses {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:20} {:>8}", "route", "requests")?;
        for ending in Ending::ALL {
            write!(out, " {:>8}", ending.label())?;
        }
        writeln!(out)?;
        let mut total = [0; Ending::ALL.len()];
        let mut stage_ms = [0.0; Ending::ALL.len()];
        for row in &self.rows {
            let route = if row.route.is_empty() {
                "-"
            } else {
                &row.route
            };
            write_row(out, route, &row.counts)?;
            for column in 0..Ending::ALL.len() {
                total[column] += row.counts[column];
                stage_ms[column] += row.stage_ms[column];
            }
        }
        write_row(out, "all", &total)?;
        let seconds: f64 = stage_ms.iter().sum::<f64>() / 1_000.0;
        write!(out, "{:20} {seconds:8.1}", "stage work, s")?;
        for column in stage_ms {
            write!(out, " {:8.1}", column / 1_000.0)?;
        }
        writeln!(out)?;
        for (ending, reason, count) in &self.reasons {
            let reason = if reason.is_empty() { "-" } else { reason };
            writeln!(out, "{count:8} {:8} {reason}", ending.label())?;
        }
        Ok(())
    }
}

/// Returns each request's part of the work of the stage call that a line tells of, in
/// milliseconds; zero for other lines.
fn stage_ms(line: &Line) -> f64 {
    let took = line.field("took_ms").and_then(|text| text.parse().ok());
    match took {
        Some(took) if line.message().starts_with("stage call") => {
            let requests = u32::try_from(line.requests().count()).unwrap_or(u32::MAX);
            let took: f64 = took;
            took / f64::from(requests.max(1))
        }
        _ => 0.0,
    }
}

fn write_row(
    out: &mut fmt::Formatter<'_>,
    route: &str,
    counts: &[usize; Ending::ALL.len()],
) -> fmt::Result {
    write!(out, "{route:20} {:8}", counts.iter().sum::<usize>())?;
    for count in counts {
        write!(out, " {count:8}")?;
    }
    writeln!(out)
}
