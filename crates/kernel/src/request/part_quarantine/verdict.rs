//! Derives the parts that are in quarantine from the evidence.

use std::cmp::Reverse;

use crate::derive::value;
use crate::request::part_quarantine::Part;
use crate::request::part_quarantine::Run;
use crate::request::part_quarantine::evidence::Record;

/// How many runs a part must explain.
pub const RUNS_MIN: usize = 3;

value! {
    /// The parts in quarantine.
    #[derive(Default)]
    pub struct Culprits {
        /// The parts, sorted.
        pub parts: Vec<Part>,
        /// The runs that they explain, sorted.
        pub runs: Vec<Run>,
    }
}

/// A part that may be at fault.
struct Candidate {
    part: Part,
    depth: u8,
    /// The runs that ended under it and that no part in quarantine explains, sorted.
    runs: Vec<Run>,
}

impl Candidate {
    /// Returns whether this is a later part of the same prompts that explains most of the
    /// runs.
    fn may_replace(&self, first: &Self) -> bool {
        let is_most = 3 * self.runs.len() >= 2 * first.runs.len();
        let mut runs = self.runs.iter();
        self.depth > first.depth && is_most && runs.all(|run| first.runs.contains(run))
    }
}

/// Returns the parts in quarantine.
///
/// The part that explains most runs goes first. Of an earlier and a later part of the same
/// prompts it is the later one, also if it explains a little less: all requests with the
/// later part have the earlier one, too, and many more would be refused for that. If parts
/// of different prompts explain the same runs, one of them is chosen: requests with it are
/// not sent any more, so if it is another one, that one explains more with the next crash.
pub fn culprits(records: &[Record]) -> Culprits {
    let candidates = records.iter().map(|record| Candidate {
        part: record.part,
        depth: record.depth,
        runs: record.open_runs().collect(),
    });
    let mut candidates: Vec<Candidate> = candidates.collect();
    let mut culprits = Culprits::default();
    loop {
        candidates.sort_by_key(|one| Reverse((one.runs.len(), one.depth, one.part)));
        let Some(first) = candidates.first().filter(|one| one.runs.len() >= RUNS_MIN) else {
            break;
        };
        let later = candidates.iter().position(|one| one.may_replace(first));
        let chosen = candidates.remove(later.unwrap_or(0));
        if chosen.runs.len() < RUNS_MIN {
            // More evidence will tell it from the earlier part.
            candidates.remove(0);
            continue;
        }
        for other in &mut candidates {
            let is_open = |run: &Run| chosen.runs.binary_search(run).is_err();
            other.runs.retain(is_open);
        }
        culprits.parts.push(chosen.part);
        culprits.runs.extend(chosen.runs);
    }
    culprits.parts.sort_unstable();
    culprits.runs.sort_unstable();
    culprits
}
