//! What streams have left at the targets that wrote them.
//!
//! After all daemons were lost at once, nobody knows at which software version the streams
//! began that their clients resume. The targets still do. An engine names the requests that it
//! works on, as of some hundred milliseconds ago, and so also those that it has just dropped
//! with their connections. It keeps the prompts that it has read, and what it has written
//! with their last part, if the connection has only gone silent. So a target wrote a stream
//!
//! - if it has made events for the attempt that the client names, or
//! - if it holds the prompt with as many tokens more as the client has received events, and no
//!   target of another version has read the prompt. Else one of the two may hold an earlier
//!   answer of the same session, and the other one have dropped the stream with its connection.
//!   A target that has only read the prompt may have done so for an attempt that brought no
//!   event, so that counts only if all targets of other versions are ruled out
//!   ([`Surveys::only_reader`]).
//!
//! The rule and what was weighed: [resumed-streams](../../../../docs/design/resumed-streams.md).
//!
//! The load is a whole fleet's streams, resumed by their clients within a few seconds, at
//! any daemon. A survey ([`Surveys`]) asks each target of a service once for all of them, and is
//! repeated at most once in [`SURVEY_AGE_MAX`] for streams of which it has shown nothing.

use compact_str::CompactString;

use crate::clock::Millis;
use crate::derive::value;
use crate::name;
use crate::request::demand::Demand;
use crate::request::routing_table::Incarnation;
use crate::request::stream_origin::MEMORY;

/// How old a survey may be to show that no target holds a stream. A client that resumes a
/// stream has read some of it before, and a list of a target is some hundred milliseconds
/// old, so a survey of the last second would have shown it.
pub const SURVEY_AGE_MAX: Millis = Millis(1_000);

/// Engines keep prompts in blocks of so many tokens, as their lists show. The end of a prompt
/// that does not fill a block is not kept.
const BLOCK_TOKENS: u32 = 16;

value! {
    /// A request that a target works on.
    pub struct Run {
        /// The attempt.
        pub attempt: name::Attempt,
        /// How many events the target has made.
        pub events: u32,
    }

    /// A part of a prompt that a target holds in memory.
    pub struct HeldPart {
        /// The id of the part.
        pub id: CompactString,
        /// How many tokens of it are held, with those that were written after it.
        pub tokens: u32,
    }

    /// What a target says of its work.
    pub struct Memory {
        /// The run of the target.
        pub incarnation: Incarnation,
        /// The requests that it works on.
        pub runs: Vec<Run>,
        /// The parts of prompts that it holds.
        pub parts: Vec<HeldPart>,
    }

    /// What a stream has left at the target that wrote it.
    pub struct Trace {
        /// The attempt that brought its first event.
        pub attempt: name::Attempt,
        /// What is held of its prompt, if that is known.
        pub part: Option<PartTrace>,
    }

    /// What the target that wrote a stream holds of its prompt.
    pub struct PartTrace {
        /// The last part, which belongs to the request or its session alone.
        pub id: CompactString,
        /// The parts before it, but for those that are too short to be held. A session may ask
        /// for answers to different prompts that end with the same part.
        pub earlier: Vec<CompactString>,
        /// The tokens of this part that a target has read with the prompt.
        pub tokens_read: u32,
        /// The fewest tokens of this part.
        pub tokens_min: u32,
        /// The most tokens of this part.
        pub tokens_max: u32,
    }

    /// What a target holds of a stream, for logs.
    pub struct Holding {
        /// The target.
        pub target: name::Target,
        /// The version of its software.
        pub version: name::Version,
        /// How many events it has made for the attempt, if it names it.
        pub events: Option<u32>,
        /// How many tokens it holds of the last part of the prompt, with those that were
        /// written after it.
        pub tokens: u32,
        /// Whether it has read the whole prompt.
        pub has_read: bool,
    }

    /// What is known if targets of a single version have read the prompt of a stream.
    pub struct Reader {
        /// The version.
        pub version: name::Version,
        /// The listed targets of other versions that may have written the stream, since they have
        /// not said what they hold, or do not hold what is as short as the end of the prompt.
        pub undecided: Vec<name::Target>,
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
}

impl PartTrace {
    /// Returns what is held of the prompt of a stream whose client has received the event
    /// with the id `last_event`; `None` if the prompt is unknown. Each event has a token at
    /// least.
    #[must_use]
    pub fn new(parts: &[CompactString], demand: &Demand, last_event: &str) -> Option<Self> {
        let id = parts.last().filter(|id| !id.is_empty())?;
        let (last, earlier) = demand.parts.split_last()?;
        let read = last.tokens;
        let earlier = parts.iter().zip(earlier);
        let earlier = earlier.filter(|(_, part)| part.tokens >= BLOCK_TOKENS);
        // Ids that are no numbers do not count the events.
        let events = last_event.trim().parse().unwrap_or(1).max(1);
        Some(Self {
            id: id.clone(),
            earlier: earlier.map(|(id, _)| id.clone()).collect(),
            tokens_read: read,
            tokens_min: read.saturating_add(events),
            tokens_max: read.saturating_add(demand.max_output_tokens),
        })
    }

    fn matches(&self, part: &HeldPart) -> bool {
        (self.tokens_min..=self.tokens_max).contains(&part.tokens)
    }
}

impl Memory {
    fn version(&self) -> &name::Version {
        &self.incarnation.version
    }

    fn sort(&mut self) {
        self.runs.sort_by(|a, b| a.attempt.cmp(&b.attempt));
        self.parts.sort_by(|a, b| a.id.cmp(&b.id));
    }

    fn part(&self, id: &CompactString) -> Option<&HeldPart> {
        let index = self.parts.binary_search_by(|part| part.id.cmp(id)).ok()?;
        Some(&self.parts[index])
    }

    /// Returns whether the target has read the whole prompt of the stream with this trace. The
    /// memory is sorted.
    fn has_read(&self, trace: &Trace) -> bool {
        trace.part.as_ref().is_some_and(|known| {
            let held = self.part(&known.id).map_or(0, |part| part.tokens);
            held > 0
                && held.saturating_add(BLOCK_TOKENS) > known.tokens_read
                && known.earlier.iter().all(|id| self.part(id).is_some())
        })
    }

    /// Returns how many events the target has made at most in a run of the attempt of the stream
    /// with this trace, if it names any: a stream may have come back to it. The memory is sorted.
    fn events(&self, trace: &Trace) -> Option<u32> {
        let first = self.runs.partition_point(|run| run.attempt < trace.attempt);
        let runs = self.runs[first..].iter();
        let runs = runs.take_while(|run| run.attempt == trace.attempt);
        runs.map(|run| run.events).max()
    }

    fn has_made_events(&self, trace: &Trace) -> bool {
        self.events(trace).is_some_and(|events| events > 0)
    }

    /// Returns whether the target holds the prompt of the stream with this trace, with an
    /// answer that is long enough to be the stream.
    fn holds_answer(&self, trace: &Trace) -> bool {
        self.has_read(trace)
            && trace.part.as_ref().is_some_and(|known| {
                let part = self.part(&known.id);
                part.is_some_and(|part| known.matches(part))
            })
    }

    fn holding(&self, trace: &Trace) -> Option<Holding> {
        let part = trace.part.as_ref().and_then(|known| self.part(&known.id));
        let events = self.events(trace);
        (part.is_some() || events.is_some()).then(|| Holding {
            target: self.incarnation.target.clone(),
            version: self.incarnation.version.clone(),
            events,
            tokens: part.map_or(0, |part| part.tokens),
            has_read: self.has_read(trace),
        })
    }
}

/// What the targets of one service said when they were last asked.
#[derive(Clone, Debug)]
struct Survey {
    service: name::Service,
    begun: Millis,
    progress: Progress,
    /// What each target says that has answered; in the last survey until this one has answers.
    memories: Vec<Memory>,
}

/// How far a survey is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// No answers are known.
    Begun,
    /// Those that came in time are known, and the silent targets are asked again.
    Late,
    /// It has ended.
    Ended,
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
                progress: Progress::Begun,
                memories: Vec::new(),
            };
            self.surveys.insert(index, survey);
            return Step::Begin;
        };
        let survey = &mut self.surveys[index];
        let finding = survey.finding(trace);
        // What else an old survey shows may have been contradicted since.
        let is_current = survey.progress == Progress::Late;
        if matches!(finding, Finding::Version(_)) && (is_current || survey.names_run(trace)) {
            return Step::Ended(finding);
        }
        if survey.progress != Progress::Ended {
            return Step::Wait;
        }
        if survey.begun + SURVEY_AGE_MAX >= now {
            return Step::Ended(finding);
        }
        survey.progress = Progress::Begun;
        survey.begun = now;
        Step::Begin
    }

    /// Records what targets say. The first answers of a survey replace those of the last one;
    /// those of targets that were silent then are added. A sound target may be silent for a
    /// second, so what the first ones do not show is waited for.
    pub fn record(&mut self, service: &name::Service, mut memories: Vec<Memory>) {
        memories.iter_mut().for_each(Memory::sort);
        if let Ok(index) = self.find(service) {
            let survey = &mut self.surveys[index];
            if survey.progress != Progress::Late {
                survey.progress = Progress::Late;
                survey.memories.clear();
            }
            survey.memories.extend(memories);
        }
    }

    /// Ends a survey.
    pub fn end(&mut self, service: &name::Service) {
        if let Ok(index) = self.find(service) {
            self.surveys[index].progress = Progress::Ended;
        }
    }

    /// Returns the only version whose targets have read the prompt of a stream, by the last
    /// survey. `listed` are the targets of the service that are listed now; one that has started
    /// again since the survey has not said what it holds.
    #[must_use]
    pub fn only_reader(
        &self,
        service: &name::Service,
        trace: &Trace,
        listed: &[Incarnation],
    ) -> Option<Reader> {
        let part = trace.part.as_ref()?;
        let mut readers = self.memories(service).filter(|one| one.has_read(trace));
        let version = readers.next()?.version().clone();
        if readers.any(|reader| *reader.version() != version) {
            return None;
        }
        let is_kept = part.tokens_read >= BLOCK_TOKENS;
        let is_decided = |listed: &Incarnation| {
            let mut memories = self.memories(service);
            is_kept && memories.any(|memory| memory.incarnation == *listed)
        };
        let others = listed.iter().filter(|one| one.version != version);
        let undecided = others.filter(|other| !is_decided(other));
        let undecided = undecided.map(|other| other.target.clone()).collect();
        Some(Reader { version, undecided })
    }

    /// Returns what each target holds of a stream, by the last survey.
    #[must_use]
    pub fn holdings(&self, service: &name::Service, trace: &Trace) -> Vec<Holding> {
        let memories = self.memories(service);
        memories
            .filter_map(|memory| memory.holding(trace))
            .collect()
    }

    /// Forgets the surveys that are older than any stream.
    pub fn expire(&mut self, now: Millis) {
        self.surveys
            .retain(|survey| survey.progress != Progress::Ended || survey.begun + MEMORY > now);
    }

    fn memories(&self, service: &name::Service) -> impl Iterator<Item = &Memory> {
        let found = self.find(service).ok();
        let survey = found.map(|index| &self.surveys[index]);
        survey.into_iter().flat_map(|survey| &survey.memories)
    }

    fn find(&self, service: &name::Service) -> Result<usize, usize> {
        self.surveys
            .binary_search_by(|survey| survey.service.cmp(service))
    }
}

impl Survey {
    fn finding(&self, trace: &Trace) -> Finding {
        if self.memories.is_empty() {
            return Finding::Unanswered;
        }
        let writers = self
            .memories
            .iter()
            .filter(|memory| memory.has_made_events(trace) || memory.holds_answer(trace));
        let mut versions = writers.map(Memory::version);
        let Some(version) = versions.next() else {
            return Finding::NotFound;
        };
        let has_other_writer = versions.any(|other| other != version);
        let has_other_reader = || {
            let mut readers = self.memories.iter().filter(|memory| memory.has_read(trace));
            readers.any(|reader| reader.version() != version)
        };
        if has_other_writer || !self.names_run(trace) && has_other_reader() {
            return Finding::Ambiguous;
        }
        Finding::Version(version.clone())
    }

    /// Returns whether a target has made events for the attempt of the stream.
    fn names_run(&self, trace: &Trace) -> bool {
        self.memories
            .iter()
            .any(|memory| memory.has_made_events(trace))
    }
}
