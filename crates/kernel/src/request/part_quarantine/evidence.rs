//! What is known of one part.

use crate::clock::Millis;
use crate::derive::value;
use crate::request::part_quarantine::ANSWER_CREDIT;
use crate::request::part_quarantine::Part;
use crate::request::part_quarantine::Run;

/// How long after its last crash, or after the last trial, a request with a part in
/// quarantine is tried. The first ones follow soon, for parts that many prompts share.
/// Once all delays are used up, a part stays in quarantine until no request has had it for
/// a long time.
const TRIAL_DELAYS: [Millis; 4] = [Millis(500), Millis(500), Millis(10_000), Millis(300_000)];
/// How many of these are for parts that many prompts share.
const SHARED_TRIALS: usize = 2;
/// The largest number of runs that are remembered.
///
/// Those of a part in quarantine must cover the ones that ended beside them, or else
/// these would count against others.
const RUNS_MAX: usize = 64;
/// How long after its last crash daemons tell each other of a part that is not in
/// quarantine.
const NEWS_TIME: Millis = Millis(30_000);
/// How many runs a message between daemons names.
const MESSAGE_RUNS: usize = 16;

value! {
    /// What a daemon tells others of a part.
    pub struct Evidence {
        /// The part.
        pub part: Part,
        /// Its place in the prompts, the first part being 0.
        pub depth: u8,
        /// The newest runs that ended under it, and how long ago, without those that another
        /// part explains.
        pub runs: Vec<(Run, Millis)>,
        /// How long ago an answer to a request with it last began; `None` if that is not
        /// known.
        pub answer_age: Option<Millis>,
        /// How long ago a daemon last had a request with it.
        pub seen_age: Millis,
        /// How many trials there were.
        pub trials: u8,
    }

    /// What a daemon knows of a part.
    pub struct Record {
        /// The part.
        pub part: Part,
        /// Its place in the prompts.
        pub depth: u8,
        /// The runs that ended under it, and when, sorted by run.
        pub runs: Vec<(Run, Millis)>,
        /// When an answer to a request with it last began.
        pub answered_at: Option<Millis>,
        /// When a daemon last had a request with it.
        pub seen_at: Millis,
        /// How many trials there were.
        pub trials: u8,
        /// When the last trial began.
        pub trial_at: Option<Millis>,
    }
}

impl Record {
    /// Creates a record without evidence.
    pub fn new(part: Part, seen_at: Millis) -> Self {
        Self {
            part,
            depth: 0,
            runs: Vec::new(),
            answered_at: None,
            seen_at,
            trials: 0,
            trial_at: None,
        }
    }

    /// Adds a run that ended at a time. The earliest report of a run counts.
    pub fn add_run(&mut self, run: Run, at: Millis) {
        match self.runs.binary_search_by_key(&run, |(run, _)| *run) {
            Ok(index) => {
                let known = &mut self.runs[index].1;
                *known = at.min(*known);
                return;
            }
            Err(index) => self.runs.insert(index, (run, at)),
        }
        if self.runs.len() > RUNS_MAX {
            let runs = self.runs.iter().enumerate();
            let oldest = runs.min_by_key(|(_, (_, at))| *at);
            let index = oldest.map_or(0, |(index, _)| index);
            self.runs.remove(index);
        }
    }

    /// Returns when a run ended, if it ended under the part.
    pub fn ended_at(&self, run: Run) -> Option<Millis> {
        let found = self.runs.binary_search_by_key(&run, |(run, _)| *run);
        found.ok().map(|index| self.runs[index].1)
    }

    /// Returns the runs that no answer clears, sorted.
    pub fn open_runs(&self) -> impl Iterator<Item = Run> {
        let cleared_until = self.answered_at.map(|at| at + ANSWER_CREDIT);
        let runs = self.runs.iter();
        let open = runs.filter(move |(_, at)| cleared_until.is_none_or(|until| until < *at));
        open.map(|(run, _)| *run)
    }

    /// Returns whether a run ended under the part a short time ago.
    pub fn has_news(&self, now: Millis) -> bool {
        let last_crash = self.runs.iter().map(|(_, at)| *at).max();
        last_crash.is_some_and(|at| at + NEWS_TIME > now)
    }

    /// Returns whether a request with the part, which is in quarantine, may be tried.
    /// `is_shared` says whether prompts with it go on with several other parts.
    pub fn is_trial_due(&self, is_shared: bool, now: Millis) -> bool {
        let last_crash = self.runs.iter().map(|(_, at)| *at).max();
        let last = last_crash.max(self.trial_at);
        let skipped = if is_shared { 0 } else { SHARED_TRIALS };
        let delay = TRIAL_DELAYS.get(skipped + usize::from(self.trials));
        delay.is_some_and(|delay| last.is_none_or(|last| last + *delay <= now))
    }

    /// Records that a request with the part is tried.
    pub fn begin_trial(&mut self, now: Millis) {
        self.trials = self.trials.saturating_add(1);
        self.trial_at = Some(now);
    }

    /// Merges what a peer knows.
    pub fn merge(&mut self, known: &Evidence, now: Millis) {
        for (run, age) in &known.runs {
            self.add_run(*run, now - *age);
        }
        let answered_at = known.answer_age.map(|age| now - age);
        self.answered_at = self.answered_at.max(answered_at);
        self.seen_at = self.seen_at.max(now - known.seen_age);
        self.depth = self.depth.max(known.depth);
        if known.trials > self.trials {
            self.trials = known.trials;
            self.trial_at = Some(now);
        }
    }

    /// Returns what to tell a peer, with those of the newest runs that are to be named.
    pub fn evidence(&self, is_named: impl Fn(Run) -> bool, now: Millis) -> Evidence {
        let mut runs = self.runs.clone();
        runs.retain(|(run, _)| is_named(*run));
        runs.sort_by_key(|(_, at)| std::cmp::Reverse(*at));
        runs.truncate(MESSAGE_RUNS);
        let runs = runs.into_iter().map(|(run, at)| (run, now - at));
        Evidence {
            part: self.part,
            depth: self.depth,
            runs: runs.collect(),
            answer_age: self.answered_at.map(|at| now - at),
            seen_age: now - self.seen_at,
            trials: self.trials,
        }
    }
}
