//! Evidence against parts of prompts that may crash targets.

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::request::part_quarantine;
use gooseberry_kernel::request::part_quarantine::Part;
use gooseberry_kernel::request::part_quarantine::Run;
use serde::Deserialize;
use serde::Serialize;

/// What a daemon knows of a part of prompts that may crash targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartEvidence {
    /// Hash of the part and its service.
    pub part: u64,
    /// Its place in the prompts, the first part being 0.
    pub depth: u8,
    /// Hashes of the newest runs of targets that ended under it, and how long ago, in
    /// milliseconds.
    pub runs: Vec<(u64, u64)>,
    /// How long ago an answer to a request with it last began, in milliseconds; `None` if
    /// that is not known.
    pub answer_age_ms: Option<u64>,
    /// How long ago a daemon last had a request with it, in milliseconds.
    pub seen_age_ms: u64,
    /// How many requests with it were tried while it was in quarantine.
    pub trials: u8,
}

impl From<part_quarantine::Evidence> for PartEvidence {
    fn from(evidence: part_quarantine::Evidence) -> Self {
        let runs = evidence.runs.into_iter();
        Self {
            part: evidence.part.0,
            depth: evidence.depth,
            runs: runs.map(|(run, age)| (run.0, age.0)).collect(),
            answer_age_ms: evidence.answer_age.map(|age| age.0),
            seen_age_ms: evidence.seen_age.0,
            trials: evidence.trials,
        }
    }
}

impl From<PartEvidence> for part_quarantine::Evidence {
    fn from(evidence: PartEvidence) -> Self {
        let runs = evidence.runs.into_iter();
        Self {
            part: Part(evidence.part),
            depth: evidence.depth,
            runs: runs.map(|(run, age)| (Run(run), Millis(age))).collect(),
            answer_age: evidence.answer_age_ms.map(Millis),
            seen_age: Millis(evidence.seen_age_ms),
            trials: evidence.trials,
        }
    }
}
