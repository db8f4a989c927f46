//! Finds the parts of prompts that crash targets, and quarantines them.
//!
//! A part may crash each target that begins to write an answer on it, whatever else the
//! request holds. Requests with it differ in all else and come at any daemon, so neither
//! a digest of the request nor the view of one daemon shows what they have in common.
//! Requests that merely ran beside them, and sound ones with the same first part, must
//! not be refused.
//!
//! The evidence against a part is the set of runs of targets that ended while requests
//! with it waited there for their answers to begin. A run ends once, whoever reports it,
//! so daemons merge these sets in any order ([`Evidence`]). An answer that begins clears
//! the part. What is left is explained by as few parts as possible: the part that explains
//! most runs is quarantined, the runs that it explains no longer count against others,
//! and so on. The verdict follows from the evidence alone, and changes with it.
//!
//! - `evidence` holds what is known of one part.
//! - `verdict` derives the parts that are in quarantine.

mod evidence;
mod verdict;

use crate::clock::Millis;
use crate::derive::scalar;
use crate::hash;
use crate::name;
pub use crate::request::part_quarantine::evidence::Evidence;
use crate::request::part_quarantine::evidence::Record;
use crate::request::part_quarantine::verdict::Culprits;

scalar! {
    /// A part of prompts at one service, by the hash of its id.
    pub struct Part(pub u64);

    /// One run of a target, by a hash.
    pub struct Run(pub u64);

    /// What becomes of a request.
    pub enum Verdict {
        /// It may be sent.
        Free,
        /// It may be sent once, to find out whether its part still crashes targets.
        Trial(Part),
        /// It is refused.
        Quarantined(Part),
    }
}

/// How long after an answer a crash is no evidence against a part, since a part that
/// crashes targets does so each time.
const ANSWER_CREDIT: Millis = Millis(60_000);
/// The largest number of parts whose last answers are remembered.
const ANSWERS_MAX: usize = 4_096;
/// The largest number of parts with evidence.
const RECORDS_MAX: usize = 256;
/// How long evidence is kept after the last request with its part.
const RECORD_MEMORY: Millis = Millis(600_000);
/// How many parts a message between daemons tells of.
const MESSAGE_PARTS: usize = 6;

/// What one daemon knows of parts that may crash targets.
#[derive(Clone, Debug, Default)]
pub struct PartQuarantine {
    /// The parts with evidence, sorted by part.
    records: Vec<Record>,
    /// When answers to requests with a part last began, sorted by part.
    answers: Vec<(Part, Millis)>,
    culprits: Culprits,
    /// The number of messages, by which those take turns that are not urgent.
    messages: usize,
}

impl Part {
    /// Returns the part with this id, at a service.
    #[must_use]
    pub fn of(service: &name::Service, id: &str) -> Self {
        Self(hash::mix(hash::text(service.as_str()), hash::text(id)))
    }
}

impl std::fmt::Display for Part {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "{:016x}", self.0)
    }
}

impl Run {
    /// Returns the run of a target that began at this time, as its entry says.
    #[must_use]
    pub fn of(target: &name::Target, started: u64) -> Self {
        Self(hash::mix(hash::text(target.as_str()), started))
    }
}

impl PartQuarantine {
    /// Records that a run ended while a request that was sent at `sent_at` waited there
    /// for its answer to begin. `parts` are those of its prompt that others may share, in
    /// order. Returns the parts that are in quarantine from now on.
    pub fn record_crash(
        &mut self,
        parts: &[Part],
        run: Run,
        sent_at: Millis,
        now: Millis,
    ) -> Vec<Part> {
        // A request that was sent to a run which had ended before did not crash it.
        let ended_at = self
            .records
            .iter()
            .filter_map(|record| record.ended_at(run));
        if ended_at.min().is_some_and(|at| at < sent_at) {
            return Vec::new();
        }
        for (depth, part) in parts.iter().enumerate() {
            if self.last_answer(*part, now).is_some() {
                continue;
            }
            let record = self.record_mut(*part, now);
            record.add_run(run, now);
            record.depth = record.depth.max(u8::try_from(depth).unwrap_or(u8::MAX));
            record.seen_at = now;
        }
        self.update_verdict()
    }

    /// Records that the answer to a request with these parts has begun.
    pub fn record_answer(&mut self, parts: &[Part], now: Millis) {
        let mut has_evidence = false;
        for part in parts {
            match self.answers.binary_search_by_key(part, |(part, _)| *part) {
                Ok(index) => self.answers[index].1 = now,
                Err(index) => self.answers.insert(index, (*part, now)),
            }
            if let Ok(index) = self.find(*part) {
                self.records[index].answered_at = Some(now);
                has_evidence = true;
            }
        }
        self.limit_answers(now);
        if has_evidence {
            self.update_verdict();
        }
    }

    /// Decides about a request with these parts. `may_try` says whether this daemon is
    /// the one that tries the part again.
    pub fn verdict(
        &mut self,
        parts: &[Part],
        may_try: impl Fn(Part) -> bool,
        now: Millis,
    ) -> Verdict {
        let Some(part) = self.quarantined_part(parts) else {
            return Verdict::Free;
        };
        let Ok(index) = self.find(part) else {
            return Verdict::Free;
        };
        self.records[index].seen_at = now;
        let is_due = self.records[index].is_trial_due(self.is_shared(index), now);
        // Another part that may be at fault would tell nothing of this one.
        let has_other = parts.iter().any(|other| {
            let found = self.find(*other).ok().filter(|_| *other != part);
            found.is_some_and(|index| self.records[index].open_runs().next().is_some())
        });
        if has_other || !is_due || !may_try(part) {
            return Verdict::Quarantined(part);
        }
        self.records[index].begin_trial(now);
        Verdict::Trial(part)
    }

    /// Returns whether prompts with a part go on with others that have evidence, too.
    fn is_shared(&self, index: usize) -> bool {
        let earlier = &self.records[index];
        self.records.iter().any(|record| {
            let mut runs = record.open_runs();
            record.depth > earlier.depth && runs.any(|run| earlier.ended_at(run).is_some())
        })
    }

    /// Returns the first of these parts that is in quarantine.
    #[must_use]
    pub fn quarantined_part(&self, parts: &[Part]) -> Option<Part> {
        let mut parts = parts.iter().copied();
        parts.find(|part| self.is_quarantined(*part))
    }

    /// Merges what a peer knows. Returns the parts that are in quarantine from now on.
    pub fn merge(&mut self, evidence: &[Evidence], now: Millis) -> Vec<Part> {
        for known in evidence {
            if known.seen_age >= RECORD_MEMORY {
                continue;
            }
            let own_answer = self.last_answer(known.part, now);
            let record = self.record_mut(known.part, now - known.seen_age);
            record.merge(known, now);
            record.answered_at = record.answered_at.max(own_answer);
        }
        if evidence.is_empty() {
            return Vec::new();
        }
        self.update_verdict()
    }

    /// Returns some of what is known, for a peer: the parts in quarantine, those with
    /// most evidence, and the others in turn. Without crashes it is nothing.
    pub fn evidence_for_message(&mut self, now: Millis) -> Vec<Evidence> {
        let is_news = |record: &&Record| self.is_quarantined(record.part) || record.has_news(now);
        let mut order: Vec<&Record> = self.records.iter().filter(is_news).collect();
        order.sort_by_cached_key(|record| {
            let is_free = !self.is_quarantined(record.part);
            (is_free, std::cmp::Reverse(record.open_runs().count()))
        });
        let urgent = order.len().min(MESSAGE_PARTS - 1);
        let mut chosen = order[..urgent].to_vec();
        let others = &order[urgent..];
        if let Some(index) = self.messages.checked_rem(others.len()) {
            chosen.push(others[index]);
        }
        // A peer that does not know all runs which a part in quarantine explains must not
        // count them against others.
        let explained = &self.culprits.runs;
        let evidence = chosen.into_iter().map(|record| {
            let is_free = !self.is_quarantined(record.part);
            let is_named = |run: Run| !is_free || explained.binary_search(&run).is_err();
            record.evidence(is_named, now)
        });
        let evidence = evidence.collect();
        self.messages = self.messages.wrapping_add(1);
        evidence
    }

    /// Forgets evidence against parts that no request has had for a while.
    pub fn expire(&mut self, now: Millis) {
        let count = self.records.len();
        self.records
            .retain(|record| record.seen_at + RECORD_MEMORY > now);
        if self.records.len() < count {
            self.update_verdict();
        }
    }

    fn is_quarantined(&self, part: Part) -> bool {
        self.culprits.parts.binary_search(&part).is_ok()
    }

    /// Updates the parts in quarantine, and returns those that are new.
    fn update_verdict(&mut self) -> Vec<Part> {
        let culprits = verdict::culprits(&self.records);
        let former = std::mem::replace(&mut self.culprits, culprits);
        let parts = self.culprits.parts.iter().copied();
        parts
            .filter(|part| former.parts.binary_search(part).is_err())
            .collect()
    }

    /// Returns when the last answer to a request with this part began, if that is less
    /// than [`ANSWER_CREDIT`] ago.
    fn last_answer(&self, part: Part, now: Millis) -> Option<Millis> {
        let found = self.answers.binary_search_by_key(&part, |(part, _)| *part);
        let at = found.ok().map(|index| self.answers[index].1);
        at.filter(|at| *at + ANSWER_CREDIT > now)
    }

    fn limit_answers(&mut self, now: Millis) {
        let mut age_max = ANSWER_CREDIT;
        while self.answers.len() > ANSWERS_MAX {
            self.answers.retain(|(_, at)| *at + age_max > now);
            age_max = Millis(age_max.0 / 2);
        }
    }

    fn find(&self, part: Part) -> Result<usize, usize> {
        self.records
            .binary_search_by_key(&part, |record| record.part)
    }

    /// Returns the record of a part, adding one if it is new. If there are too many, the
    /// one whose part was not seen for the longest time is dropped.
    fn record_mut(&mut self, part: Part, seen_at: Millis) -> &mut Record {
        if self.find(part).is_err() && self.records.len() >= RECORDS_MAX {
            let records = self.records.iter().enumerate();
            let free = records.filter(|(_, record)| !self.is_quarantined(record.part));
            let oldest = free.min_by_key(|(_, record)| record.seen_at);
            let index = oldest.map_or(0, |(index, _)| index);
            self.records.remove(index);
        }
        let index = self.find(part).unwrap_or_else(|index| {
            self.records.insert(index, Record::new(part, seen_at));
            index
        });
        &mut self.records[index]
    }
}
