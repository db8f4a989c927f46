//! How long the requests of each route take now.
//!
//! A daemon that is shutting down takes a request only if it can be expected to end in time. An
//! objective says how long a request should take; this module remembers how long the last ones
//! took, for a limited time and in a bounded size for each route.

use crate::clock::Millis;
use crate::derive::scalar;
use crate::name;

/// How long a window of measurements is. The estimates cover the current window and the one
/// before it: long enough for routes with a few requests a minute, and short enough to forget
/// a disturbance.
const WINDOW: Millis = Millis(30_000);
/// The share of the requests of a route, in percent, within whose duration one that may be sent
/// again is expected to end. The few that do not can be sent to another daemon.
const REPEATABLE_PERCENT: u64 = 90;
/// From how many requests on their durations count if they are below the assumed one.
const ENOUGH_REQUESTS: u64 = 8;
/// The number of classes of durations: one for each power of two, up to nine hours.
const CLASSES: usize = 26;

scalar! {
    /// Which part of the life of a request is measured.
    pub enum Span {
        /// From its arrival to the end of its answer.
        Whole,
        /// From the first time that it is sent to a target to the end of its answer.
        Run,
    }

    /// How sure it must be that a request ends in time.
    pub enum Certainty {
        /// Most requests of its route do, and the others may run twice.
        Likely,
        /// All requests of its route did, and those that run have not taken longer.
        Highest,
    }

    /// What is known of the durations of a route.
    pub struct Estimate {
        /// The duration within which a request is expected to end.
        pub duration: Millis,
        /// Whether enough requests were measured to rely on a short duration.
        pub is_firm: bool,
    }
}

/// The durations of the last requests of each route, sorted by route.
#[derive(Clone, Debug, Default)]
pub struct Durations {
    routes: Vec<RouteDurations>,
}

/// The durations of the last requests of a route.
#[derive(Clone, Debug)]
struct RouteDurations {
    route: name::Route,
    /// When the requests were first sent that still run, sorted.
    running: Vec<Millis>,
    /// When the current window began.
    began: Millis,
    current: Window,
    previous: Window,
}

/// The durations that were measured in a window.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    whole: Spread,
    run: Spread,
}

/// How often durations of each class were measured.
#[derive(Clone, Copy, Debug, Default)]
struct Spread {
    counts: [u32; CLASSES],
    longest: Millis,
}

impl Spread {
    fn record(&mut self, duration: Millis) {
        let class = (u64::BITS - duration.0.leading_zeros()) as usize;
        let count = &mut self.counts[class.min(CLASSES - 1)];
        *count = count.saturating_add(1);
        self.longest = self.longest.max(duration);
    }

    fn merged(mut self, other: &Self) -> Self {
        for (count, more) in self.counts.iter_mut().zip(&other.counts) {
            *count = count.saturating_add(*more);
        }
        self.longest = self.longest.max(other.longest);
        self
    }

    fn total(&self) -> u64 {
        self.counts.iter().map(|count| u64::from(*count)).sum()
    }

    /// Returns a duration that at least this share of the measured ones do not exceed: the
    /// upper end of the class in which the share is reached.
    fn quantile(&self, percent: u64) -> Millis {
        let total = self.total();
        let mut seen = 0;
        for (class, count) in self.counts.iter().enumerate() {
            seen += u64::from(*count);
            if seen * 100 >= total * percent {
                return Millis((1 << class) - 1).min(self.longest);
            }
        }
        self.longest
    }
}

impl RouteDurations {
    fn new(route: name::Route, now: Millis) -> Self {
        Self {
            route,
            running: Vec::new(),
            began: now,
            current: Window::default(),
            previous: Window::default(),
        }
    }

    /// Begins a new window if the current one is over.
    fn turn(&mut self, now: Millis) {
        let age = now - self.began;
        if age < WINDOW {
            return;
        }
        let current = std::mem::take(&mut self.current);
        self.previous = if age < WINDOW * 2 {
            current
        } else {
            Window::default()
        };
        self.began = now;
    }

    fn spread(&self, span: Span) -> Spread {
        match span {
            Span::Whole => self.current.whole.merged(&self.previous.whole),
            Span::Run => self.current.run.merged(&self.previous.run),
        }
    }
}

impl Durations {
    /// Records that a request is sent for the first time.
    pub fn begin(&mut self, route: &name::Route, now: Millis) {
        let found = self.find(route);
        let index = found.unwrap_or_else(|index| {
            let new = RouteDurations::new(route.clone(), now);
            self.routes.insert(index, new);
            index
        });
        let running = &mut self.routes[index].running;
        let position = running.partition_point(|sent| *sent <= now);
        running.insert(position, now);
    }

    /// Records the end of a request that was first sent at `sent`. `arrived` is when it had
    /// arrived, if its answer is complete; others say nothing of how long requests take.
    pub fn end(&mut self, route: &name::Route, sent: Millis, arrived: Option<Millis>, now: Millis) {
        let Ok(index) = self.find(route) else {
            return;
        };
        let known = &mut self.routes[index];
        if let Ok(position) = known.running.binary_search(&sent) {
            known.running.remove(position);
        }
        if let Some(arrived) = arrived {
            known.turn(now);
            known.current.whole.record(now - arrived);
            known.current.run.record(now - sent);
        }
    }

    /// Returns how long a request of a route is expected to take; `None` if nothing is known.
    #[must_use]
    pub fn estimate(
        &mut self,
        route: &name::Route,
        span: Span,
        certainty: Certainty,
        now: Millis,
    ) -> Option<Estimate> {
        let index = self.find(route).ok()?;
        let known = &mut self.routes[index];
        known.turn(now);
        let spread = known.spread(span);
        let total = spread.total();
        let duration = match certainty {
            Certainty::Likely if total == 0 => return None,
            Certainty::Likely => spread.quantile(REPEATABLE_PERCENT),
            Certainty::Highest => {
                let oldest = known.running.first().map(|sent| now - *sent);
                if total == 0 && oldest.is_none() {
                    return None;
                }
                spread.longest.max(oldest.unwrap_or_default())
            }
        };
        Some(Estimate {
            duration,
            is_firm: total >= ENOUGH_REQUESTS,
        })
    }

    /// Forgets the routes of which nothing is known any more.
    pub fn expire(&mut self, now: Millis) {
        for known in &mut self.routes {
            known.turn(now);
        }
        self.routes
            .retain(|known| !known.running.is_empty() || known.spread(Span::Whole).total() > 0);
    }

    fn find(&self, route: &name::Route) -> Result<usize, usize> {
        self.routes.binary_search_by(|known| known.route.cmp(route))
    }
}
