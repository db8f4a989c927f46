//! The order in which the requests of one service get the places at its targets.
//!
//! A *place* is room for one request at a target. Requests that find none wait here, and
//! a place that falls free goes to the first one that it fits: by rank, then those that
//! can still be on time, then the workspace with the fewest places in use, then the
//! nearest limit, then the least work. Every eighth place goes to the request that has
//! waited longest, so that the order starves nobody.
//!
//! Which requests a place fits depends on their targets, so the caller says so.
//! `docs/design/wait-queue.md` has the reasons.

use std::collections::VecDeque;

use crate::clock::Millis;
use crate::derive::scalar;
use crate::derive::value;
use crate::name;
use crate::request::deadline_admission::RETRY_AFTER_BURST;
use crate::request::deadline_admission::RETRY_AFTER_MIN;
use crate::request::routing_table::Rank;

/// One place in this many goes to the request that has waited longest: enough that a low
/// rank moves on, and few enough that a high one keeps seven eighths.
const LONGEST_WAIT_TURN: u64 = 8;
/// Over how long places are counted: slow targets free one or two in a second.
const RATE_WINDOW: Millis = Millis(2_000);
/// The granularity of the count, which bounds its memory.
const RATE_STEP: Millis = Millis(100);
/// How long requests must have waited before the rate counts as known: a shorter time
/// holds too few places of slow targets.
const RATE_SPAN_MIN: Millis = Millis(500);
/// How many places must have fallen free before the rate counts as known.
const RATE_PLACES_MIN: u64 = 3;
/// A request is refused only if its expected wait is this many times the time that it has
/// left, since both the rate and its position change while it waits.
const REFUSAL_MARGIN: u64 = 2;

scalar! {
    /// Identifies a request in its queue. Later requests have higher tickets.
    pub struct Ticket(pub u64);

    /// What a request can still achieve; the better first.
    enum Prospect {
        OnTime,
        Late,
        Useless,
    }
}

value! {
    /// A request that waits for a place.
    pub struct Claim {
        /// Its priority.
        pub rank: Rank,
        /// The workspace that sent it; all without one share as if they were one.
        pub workspace: Option<name::Workspace>,
        /// By when its answer must begin to be on time.
        pub on_time_by: Millis,
        /// By when it must be sent to be of any use.
        pub due: Millis,
        /// How much work it is, in a unit that is the same for all requests of the service.
        pub work: u64,
    }

    struct Waiting {
        ticket: Ticket,
        claim: Claim,
    }

    struct Usage {
        workspace: Option<name::Workspace>,
        places: u64,
    }
}

/// What decides between two requests; the lower goes first.
type Precedence = (Rank, Prospect, u64, Millis, u64, Ticket);

/// The requests of one service that wait, and the places that its others use.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    /// In the order of arrival, which is that of the tickets.
    waiting: Vec<Waiting>,
    /// The places in use, sorted by workspace.
    usages: Vec<Usage>,
    next_ticket: u64,
    /// How many places requests got that had waited.
    handed_out: u64,
    /// Since when there has always been a request waiting.
    waiting_since: Option<Millis>,
    /// How many places fell free in each recent step of that time.
    freed: VecDeque<(Millis, u64)>,
}

impl Claim {
    fn prospect(&self, now: Millis) -> Prospect {
        match now {
            now if now < self.on_time_by.min(self.due) => Prospect::OnTime,
            now if now < self.due => Prospect::Late,
            _ => Prospect::Useless,
        }
    }

    /// Returns what goes first; `places` is how many the workspace uses.
    fn precedence(&self, ticket: Ticket, places: u64, now: Millis) -> Precedence {
        let prospect = self.prospect(now);
        let limit = match prospect {
            Prospect::OnTime => self.on_time_by.min(self.due),
            Prospect::Late | Prospect::Useless => self.due,
        };
        (self.rank, prospect, places, limit, self.work, ticket)
    }
}

impl WaitQueue {
    /// Returns how many requests wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns whether no request waits and no place is in use.
    #[must_use]
    pub fn is_unused(&self) -> bool {
        self.waiting.is_empty() && self.usages.is_empty()
    }

    /// Adds a request.
    pub fn enter(&mut self, claim: Claim, now: Millis) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting_since.get_or_insert(now);
        self.waiting.push(Waiting { ticket, claim });
        ticket
    }

    /// Removes a request; returns whether it waited.
    pub fn leave(&mut self, ticket: Ticket) -> bool {
        let found = self
            .waiting
            .binary_search_by_key(&ticket, |waiting| waiting.ticket);
        let Ok(index) = found else {
            return false;
        };
        self.waiting.remove(index);
        if self.waiting.is_empty() {
            // While nobody waits, places fall free as requests arrive, and not as fast as
            // the targets work.
            self.waiting_since = None;
            self.freed.clear();
        }
        true
    }

    /// Returns the request that gets the next place, of those that it fits.
    #[must_use]
    pub fn next(&self, fits: impl Fn(Ticket) -> bool, now: Millis) -> Option<Ticket> {
        let mut fitting = self.waiting.iter().filter(|waiting| fits(waiting.ticket));
        let next = if (self.handed_out + 1).is_multiple_of(LONGEST_WAIT_TURN) {
            fitting.next()
        } else {
            fitting.min_by_key(|waiting| {
                let places = self.places(waiting.claim.workspace.as_ref());
                waiting.claim.precedence(waiting.ticket, places, now)
            })
        };
        next.map(|waiting| waiting.ticket)
    }

    /// Removes a request that gets a place.
    pub fn hand_out(&mut self, ticket: Ticket) {
        if self.leave(ticket) {
            self.handed_out += 1;
        }
    }

    /// Counts a place as in use by a workspace.
    pub fn use_place(&mut self, workspace: Option<&name::Workspace>) {
        match self.find_usage(workspace) {
            Ok(index) => self.usages[index].places += 1,
            Err(index) => {
                let workspace = workspace.cloned();
                let places = 1;
                self.usages.insert(index, Usage { workspace, places });
            }
        }
    }

    /// Counts a place of a workspace as free again.
    pub fn free_place(&mut self, workspace: Option<&name::Workspace>, now: Millis) {
        if let Ok(index) = self.find_usage(workspace) {
            self.usages[index].places -= 1;
            if self.usages[index].places == 0 {
                self.usages.remove(index);
            }
        }
        if self.waiting.is_empty() {
            return;
        }
        match self.freed.back_mut() {
            Some((since, places)) if *since + RATE_STEP > now => *places += 1,
            _ => self.freed.push_back((now, 1)),
        }
        while self
            .freed
            .front()
            .is_some_and(|(since, _)| *since + RATE_WINDOW <= now)
        {
            self.freed.pop_front();
        }
    }

    /// Returns how many places a workspace uses.
    #[must_use]
    pub fn places(&self, workspace: Option<&name::Workspace>) -> u64 {
        let found = self.find_usage(workspace);
        found.map_or(0, |index| self.usages[index].places)
    }

    /// Returns how many requests are expected to get a place before this one.
    #[must_use]
    pub fn position(&self, ticket: Ticket, now: Millis) -> usize {
        let expected = self.expected_order(now);
        let position = expected.iter().position(|waiting| waiting.ticket == ticket);
        position.unwrap_or(expected.len())
    }

    /// Returns the requests that cannot begin before they are due, as far as the rate is
    /// known at which places fall free, and after what time their clients may retry.
    /// `is_counted` says which requests wait for such places; the others wait for a target
    /// that is cold or has asked for a pause, of which the rate tells nothing.
    #[must_use]
    pub fn hopeless(
        &self,
        is_counted: impl Fn(Ticket) -> bool,
        now: Millis,
    ) -> Vec<(Ticket, Millis)> {
        let Some((places, span)) = self.rate(now) else {
            return Vec::new();
        };
        let wait = |places_before: u64| Millis((places_before + 1).saturating_mul(span.0) / places);
        let is_in_time =
            |wait: Millis, left: Millis| wait.0 <= left.0.saturating_mul(REFUSAL_MARGIN);
        // The turns of the longest wait reach requests that the order alone would never.
        let mut older: u64 = 0;
        let mut reached_by_age = Vec::new();
        let counted = self.waiting.iter();
        for waiting in counted.filter(|waiting| is_counted(waiting.ticket)) {
            let places_before = (older + 1) * LONGEST_WAIT_TURN - 1;
            if is_in_time(wait(places_before), waiting.claim.due - now) {
                reached_by_age.push(waiting.ticket);
                older += 1;
            }
        }
        let mut ahead: u64 = 0;
        let mut hopeless = Vec::new();
        let expected = self.expected_order(now).into_iter();
        for waiting in expected.filter(|waiting| is_counted(waiting.ticket)) {
            let left = waiting.claim.due - now;
            if is_in_time(wait(ahead), left)
                || reached_by_age.binary_search(&waiting.ticket).is_ok()
            {
                ahead += 1;
            } else {
                let retry_after = (wait(ahead) - left).clamp(RETRY_AFTER_MIN, RETRY_AFTER_BURST);
                hopeless.push((waiting.ticket, retry_after));
            }
        }
        hopeless
    }

    /// Returns how many places fell free in which time; `None` if that is not known yet.
    fn rate(&self, now: Millis) -> Option<(u64, Millis)> {
        let span = (now - self.waiting_since?).min(RATE_WINDOW);
        let recent = self
            .freed
            .iter()
            .filter(|(since, _)| *since + RATE_WINDOW > now);
        let places = recent.map(|(_, places)| places).sum();
        (span >= RATE_SPAN_MIN && places >= RATE_PLACES_MIN).then_some((places, span))
    }

    /// Returns the requests in the order in which they are expected to get places. Each one
    /// counts as a place in use for those of its workspace after it.
    fn expected_order(&self, now: Millis) -> Vec<&Waiting> {
        let usages = &self.usages;
        let mut shares: Vec<(Option<&name::Workspace>, u64)> = usages
            .iter()
            .map(|usage| (usage.workspace.as_ref(), usage.places))
            .collect();
        let mut order: Vec<(Precedence, &Waiting)> = self
            .waiting
            .iter()
            .map(|waiting| (waiting.claim.precedence(waiting.ticket, 0, now), waiting))
            .collect();
        order.sort_unstable_by_key(|(precedence, _)| *precedence);
        for (precedence, waiting) in &mut order {
            let workspace = waiting.claim.workspace.as_ref();
            let found = shares.binary_search_by_key(&workspace, |(known, _)| *known);
            let index = found.unwrap_or_else(|index| {
                shares.insert(index, (workspace, 0));
                index
            });
            precedence.2 = shares[index].1;
            shares[index].1 += 1;
        }
        order.sort_unstable_by_key(|(precedence, _)| *precedence);
        order.into_iter().map(|(_, waiting)| waiting).collect()
    }

    fn find_usage(&self, workspace: Option<&name::Workspace>) -> Result<usize, usize> {
        self.usages
            .binary_search_by(|usage| usage.workspace.as_ref().cmp(&workspace))
    }
}
