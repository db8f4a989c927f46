//! The requests at an engine, and what a further one would do to them.
//!
//! An engine works in steps. Each step makes one token for every stream and reads at most
//! one chunk of the prompts, first come first served. So a prompt that is read stretches
//! the events of the streams that run at that time. A request waits for the prompts before
//! it, but its own stream begins after them and is not stretched by them.

use crate::name;
use crate::request::demand::Demand;
use crate::target::cost;
use crate::target::cost::CHUNK_TOKENS;
use crate::target::cost::Cost;
use crate::target::cost::Estimator;
use crate::target::cost::Speed;

use super::Request;

/// Harm of a stream that becomes late. It outweighs any difference between waits that are
/// on time.
const LATE_MS: f64 = 2_000.0;
/// Harm of a wait that is on time, as a share of it. A client gains little from an answer
/// that comes earlier than it has to.
const ON_TIME_SHARE: f64 = 0.1;
/// Harm of the time that the output takes, as a share of it. As long as a stream runs, a
/// prompt that comes later may interrupt it.
const DURATION_SHARE: f64 = 0.05;
/// A pause or wait begins to do harm at the first share of its limit, and does so with the
/// square of what is beyond, up to the second one. The room between them is for errors of
/// the prediction and for prompts that arrive within the same event. Of 26,000 simulated
/// streams at momentarily slow engines, 49 had too long a gap; with a beginning at 0.5
/// there were 281. At 0.3 more streams were late at higher loads.
const LATE_RAMP: (f64, f64) = (0.35, 1.0);
/// Share of the harm to a stream that should have ended by then. Hints of lengths are often
/// too small, and reports of ends arrive late or not at all.
const OVERDUE_SHARE: f64 = 0.5;
/// How long a request is kept beyond twice its expected duration if its end is not reported.
const UNREPORTED_MS: f64 = 2_000.0;
/// The longest time that a request is kept, whatever its demand says. A few wrong
/// demands must not close engines for hours.
const KEPT_MS_MAX: f64 = 600_000.0;

/// A request at an engine. Times are in milliseconds on the clock of the ledger.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) id: u64,
    pub(super) attempt: name::Attempt,
    pub(super) route: name::Route,
    /// The demand without its parts.
    pub(super) demand: Demand,
    pub(super) read_tokens: u32,
    /// Time of the reading before it, on a typical engine.
    pub(super) backlog_ms: f64,
    /// Predicted time to the first event.
    pub(super) first_ms: f64,
    /// Whether no other prompt was read here since.
    pub(super) is_alone: bool,
    /// Memory that it takes, without what the engine had cached.
    memory_tokens: u64,
    /// The part of it that other requests cannot use.
    own_tokens: u64,
    read_ms: f64,
    read_end: f64,
    first_at: f64,
    first_due: f64,
    end: f64,
    kept_until: f64,
    gap_max: f64,
}

/// What a request would meet and cause at an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Prospect {
    cost: Cost,
    read_ms: f64,
    backlog_ms: f64,
    /// Expected time to the first event.
    pub(super) first_ms: f64,
    /// Harm to this request and to others, in milliseconds.
    pub(super) harm_ms: f64,
}

/// The requests at an engine, in the order in which their prompts are read.
#[derive(Clone, Debug, Default)]
pub(super) struct Workload {
    entries: Vec<Entry>,
    /// From when on prompts are read without a break of an event or more.
    read_since: f64,
    /// When all prompts will have been read.
    read_until: f64,
}

impl Workload {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the memory of the requests, without what the engine had cached for them.
    pub(super) fn memory_tokens(&self) -> u64 {
        self.entries.iter().map(|entry| entry.memory_tokens).sum()
    }

    /// Returns the memory of the requests without the shared parts of their prompts.
    pub(super) fn own_tokens(&self) -> u64 {
        self.entries.iter().map(|entry| entry.own_tokens).sum()
    }

    /// Returns the time until the first of the requests should end.
    pub(super) fn next_end_ms(&self, now: f64) -> f64 {
        let ends = self.entries.iter().map(|entry| entry.end - now);
        ends.fold(f64::INFINITY, f64::min).clamp(0.0, KEPT_MS_MAX)
    }

    /// Returns what a request would meet and cause here.
    pub(super) fn prospect(
        &self,
        request: &Request,
        cost: Cost,
        context: &Context<'_>,
    ) -> Prospect {
        let factor = context.speed.time_factor();
        let read_ms = cost.read_ms * factor;
        let backlog_ms = (self.read_until - context.now).max(0.0);
        let first_ms = backlog_ms + read_ms + context.estimator.fixed_ms() * factor;
        let time_left = cost::millis(request.time_left);
        let event_ms = context.event_ms();
        // The reading that fits into one event. Later chunks of a long prompt take longer.
        let chunks = f64::from(cost.read_tokens.div_ceil(CHUNK_TOKENS).max(1));
        let chunk_ms = context.estimator.read_ms(CHUNK_TOKENS) * factor;
        let window_ms = f64::from(context.stride) * chunk_ms.max(read_ms / chunks);

        let read_since = self.read_since_at(context.now, event_ms, window_ms);
        let read_until = self.read_until.max(context.now);
        let mut harm_ms = first_ms * ON_TIME_SHARE
            + cost.output_ms * factor * DURATION_SHARE
            + lateness(first_ms, time_left);
        for entry in &self.entries {
            let before_ms = (read_until - entry.read_end.max(read_since)).max(0.0);
            let pause_ms = |reading_ms: f64| event_ms + reading_ms.min(window_ms);
            let before = pause_ms(before_ms);
            let after = pause_ms(before_ms + read_ms);
            let mut caused = lateness(after, entry.gap_max) - lateness(before, entry.gap_max);
            if entry.first_at > context.now {
                let first = |pause: f64| entry.first_at - context.now + pause - event_ms;
                let due = (entry.first_due - context.now).max(1.0);
                caused += lateness(first(after), due) - lateness(first(before), due);
            }
            let is_overdue = entry.end < read_until;
            harm_ms += caused.max(0.0) * if is_overdue { OVERDUE_SHARE } else { 1.0 };
        }
        Prospect {
            cost,
            read_ms,
            backlog_ms,
            first_ms,
            harm_ms,
        }
    }

    /// Adds a request with its prospect.
    pub(super) fn add(
        &mut self,
        id: u64,
        request: &Request,
        prospect: &Prospect,
        context: &Context<'_>,
    ) {
        let factor = context.speed.time_factor();
        let now = context.now;
        let event_ms = context.event_ms();
        let window_ms =
            f64::from(context.stride) * context.estimator.read_ms(CHUNK_TOKENS) * factor;
        self.read_since = self.read_since_at(now, event_ms, window_ms);
        self.read_until = self.read_until.max(now) + prospect.read_ms;
        for entry in &mut self.entries {
            entry.is_alone = false;
        }
        let demand = &request.demand;
        let shared = demand
            .shared_parts()
            .iter()
            .map(|part| u64::from(part.tokens));
        let own_tokens = u64::from(demand.prompt_tokens).saturating_sub(shared.sum());
        let output_tokens = u64::from(prospect.cost.output_tokens);
        let duration_ms = prospect.first_ms + prospect.cost.output_ms * factor;
        self.entries.push(Entry {
            id,
            attempt: request.attempt.clone(),
            route: request.route.clone(),
            demand: Demand {
                parts: Vec::new(),
                ..*demand
            },
            read_tokens: prospect.cost.read_tokens,
            backlog_ms: prospect.backlog_ms / factor,
            first_ms: prospect.first_ms,
            is_alone: true,
            memory_tokens: u64::from(prospect.cost.read_tokens) + output_tokens,
            own_tokens: own_tokens + output_tokens,
            read_ms: prospect.read_ms,
            read_end: self.read_until,
            first_at: now + prospect.first_ms,
            first_due: now + cost::millis(request.time_left),
            end: now + duration_ms,
            kept_until: now + (2.0 * duration_ms + UNREPORTED_MS).min(KEPT_MS_MAX),
            gap_max: cost::millis(request.gap_max),
        });
    }

    /// Removes and returns a request.
    pub(super) fn remove(&mut self, attempt: &name::Attempt, now: f64) -> Option<Entry> {
        let index = self
            .entries
            .iter()
            .position(|entry| entry.attempt == *attempt)?;
        Some(self.remove_at(index, now))
    }

    /// Removes the requests of which no end was reported in time.
    pub(super) fn expire(&mut self, now: f64) {
        let is_kept = |entry: &Entry| now < entry.kept_until;
        while let Some(index) = self.entries.iter().position(|entry| !is_kept(entry)) {
            self.remove_at(index, now);
        }
    }

    /// Removes a request; what was left to read of it is not read any more.
    fn remove_at(&mut self, index: usize, now: f64) -> Entry {
        let removed = self.entries.remove(index);
        let unread_ms = (removed.read_end - now).clamp(0.0, removed.read_ms);
        for entry in &mut self.entries[index..] {
            entry.read_end -= unread_ms;
            entry.first_at -= unread_ms;
            entry.end -= unread_ms;
        }
        self.read_until -= unread_ms;
        removed
    }

    /// Returns from when on prompts would be read without a break if one arrived now.
    /// Reading that ended less than an event ago counts in part, since an event may span
    /// both.
    fn read_since_at(&self, now: f64, event_ms: f64, window_ms: f64) -> f64 {
        if self.read_until >= now {
            return self.read_since.min(now);
        }
        let idle_share = ((now - self.read_until) / event_ms).min(1.0);
        let run_ms = (self.read_until - self.read_since).clamp(0.0, window_ms);
        now - run_ms * (1.0 - idle_share)
    }
}

/// What the prospects at an engine depend on besides its requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Context<'a> {
    pub(super) estimator: &'a Estimator,
    pub(super) speed: Speed,
    pub(super) stride: u32,
    pub(super) now: f64,
}

impl Context<'_> {
    /// Returns the time between two events while nothing is read.
    fn event_ms(&self) -> f64 {
        f64::from(self.stride) * self.estimator.step_ms() * self.speed.time_factor()
    }
}

/// Returns the harm of a wait or pause with a limit; a limit of zero means none.
fn lateness(ms: f64, limit_ms: f64) -> f64 {
    if limit_ms <= 0.0 {
        return 0.0;
    }
    let share = (ms / limit_ms - LATE_RAMP.0) / (LATE_RAMP.1 - LATE_RAMP.0);
    share.clamp(0.0, 1.0).powi(2) * LATE_MS + (ms - limit_ms).max(0.0)
}
