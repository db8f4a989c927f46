//! What streams have left in the memory of the targets that wrote them.
//!
//! After all daemons were lost at once, nobody knows at which software version the streams
//! began that their clients resume. The targets still do: an engine keeps the prompts that it
//! has read, and what it has written with their last part. A target that holds the last part
//! of a prompt with as many tokens more as the client has received events is one that wrote
//! the stream.
//!
//! The load is a whole fleet's streams, resumed by their clients within a few seconds, at
//! any daemon. A [`Survey`] asks each target of a service once for all of them, and is
//! repeated at most once in [`SURVEY_AGE_MAX`] for streams of which it has shown nothing.

use compact_str::CompactString;

use crate::clock::Millis;
use crate::derive::value;
use crate::name;
use crate::request::demand::Demand;
use crate::request::stream_origin::MEMORY;

/// How old a survey may be to show that no target holds a stream. A client that resumes a
/// stream has read some of it before, and a list of a target is some hundred milliseconds
/// old, so a survey of the last second would have shown it.
pub const SURVEY_AGE_MAX: Millis = Millis(1_000);

value! {
    /// A part of a prompt that a target holds in memory.
    pub struct HeldPart {
        /// The id of the part.
        pub id: CompactString,
        /// How many tokens of it are held, with those that were written after it.
        pub tokens: u32,
    }

    /// What a stream has left at the target that wrote it.
    pub struct Trace {
        /// The last part of its prompt, which no other request has.
        pub last_part: CompactString,
        /// The fewest tokens that the target holds of this part.
        pub tokens_min: u32,
        /// The most tokens that the target holds of this part.
        pub tokens_max: u32,
    }

    /// What a survey shows of a stream.
    pub enum Finding {
        /// Targets of this version alone hold it.
        Version(name::Version),
        /// Targets of several versions hold it.
        Ambiguous,
        /// No target holds it.
        NotFound,
        /// No target has answered.
        Unanswered,
    }

    /// What to do to find the version of a stream.
    pub enum Step {
        /// The search has ended.
        Ended(Finding),
        /// A survey must be begun now, and then waited for.
        Begin,
        /// The running survey must be waited for.
        Wait,
    }

    /// A part of a prompt at one target.
    struct Holding {
        part: HeldPart,
        /// The index of the target's version.
        version: usize,
    }
}

impl Trace {
    /// Returns what a stream has left whose client has received the event with the id
    /// `last_event`; `None` if its prompt is unknown. Each event has a token at least.
    #[must_use]
    pub fn new(parts: &[CompactString], demand: &Demand, last_event: &str) -> Option<Self> {
        let last_part = parts.last().filter(|id| !id.is_empty())?;
        let read = demand.parts.last()?.tokens;
        // Ids that are no numbers do not count the events.
        let events = last_event.trim().parse().unwrap_or(1).max(1);
        Some(Self {
            last_part: last_part.clone(),
            tokens_min: read.saturating_add(events),
            tokens_max: read.saturating_add(demand.max_output_tokens),
        })
    }

    fn matches(&self, part: &HeldPart) -> bool {
        (self.tokens_min..=self.tokens_max).contains(&part.tokens)
    }
}

/// What the targets of one service hold, as they said when they were last asked.
#[derive(Clone, Debug)]
struct Survey {
    service: name::Service,
    begun: Millis,
    is_running: bool,
    versions: Vec<name::Version>,
    /// Sorted by the id of the part.
    holdings: Vec<Holding>,
}

/// The surveys of one daemon, sorted by service.
#[derive(Clone, Debug, Default)]
pub struct Surveys {
    surveys: Vec<Survey>,
}

impl Surveys {
    /// Decides how to go on with the search for the version of a stream.
    pub fn step(&mut self, service: &name::Service, trace: &Trace, now: Millis) -> Step {
        let found = self.find(service);
        let Ok(index) = found else {
            let index = found.unwrap_or_else(|index| index);
            let survey = Survey {
                service: service.clone(),
                begun: now,
                is_running: true,
                versions: Vec::new(),
                holdings: Vec::new(),
            };
            self.surveys.insert(index, survey);
            return Step::Begin;
        };
        let survey = &mut self.surveys[index];
        let finding = survey.finding(trace);
        if matches!(finding, Finding::Version(_)) {
            return Step::Ended(finding);
        }
        if survey.is_running {
            return Step::Wait;
        }
        if survey.begun + SURVEY_AGE_MAX >= now {
            return Step::Ended(finding);
        }
        survey.is_running = true;
        survey.begun = now;
        Step::Begin
    }

    /// Ends a survey, with what each target that has answered holds.
    pub fn end(&mut self, service: &name::Service, answers: Vec<(name::Version, Vec<HeldPart>)>) {
        let Ok(index) = self.find(service) else {
            return;
        };
        let survey = &mut self.surveys[index];
        survey.is_running = false;
        survey.versions = answers.iter().map(|(version, _)| version.clone()).collect();
        survey.versions.sort_unstable();
        survey.versions.dedup();
        survey.holdings.clear();
        for (version, parts) in answers {
            let version = survey.versions.partition_point(|known| *known < version);
            let holdings = parts.into_iter().map(|part| Holding { part, version });
            survey.holdings.extend(holdings);
        }
        let by_id = |holding: &Holding| holding.part.id.clone();
        survey.holdings.sort_by_cached_key(by_id);
    }

    /// Forgets the surveys that are older than any stream.
    pub fn expire(&mut self, now: Millis) {
        self.surveys
            .retain(|survey| survey.is_running || survey.begun + MEMORY > now);
    }

    fn find(&self, service: &name::Service) -> Result<usize, usize> {
        self.surveys
            .binary_search_by(|survey| survey.service.cmp(service))
    }
}

impl Survey {
    fn finding(&self, trace: &Trace) -> Finding {
        if self.versions.is_empty() {
            return Finding::Unanswered;
        }
        let id = &trace.last_part;
        let start = self.holdings.partition_point(|one| one.part.id < *id);
        let of_part = self.holdings[start..].iter();
        let of_part = of_part.take_while(|one| one.part.id == *id);
        let mut versions: Vec<usize> = of_part
            .filter(|one| trace.matches(&one.part))
            .map(|one| one.version)
            .collect();
        versions.sort_unstable();
        versions.dedup();
        match versions[..] {
            [] => Finding::NotFound,
            [version] => Finding::Version(self.versions[version].clone()),
            _ => Finding::Ambiguous,
        }
    }
}
