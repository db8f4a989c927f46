//! What a daemon that chooses engines knows, for the one that does so after it.

use compact_str::CompactString;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::target::placement::summary;
use serde::Deserialize;
use serde::Serialize;

/// The largest number of engines in a message; a group has 160 at most, and some are new.
const ENGINES_MAX: usize = 512;

/// What is known of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineSummary {
    /// The name of the target.
    pub target: CompactString,
    /// When it started.
    pub started: u64,
    /// How long work takes there, in thousandths of that at a typical engine.
    pub time_permille: Option<u32>,
    /// The parts of prompts that it has cached: the hash of the part's id and of those
    /// before it, its length in tokens, the number of parts before it, and how long ago it
    /// was used, in milliseconds.
    pub parts: Vec<(u64, u32, u32, u64)>,
}

impl From<&summary::Summary> for EngineSummary {
    fn from(known: &summary::Summary) -> Self {
        let parts = known.parts.iter();
        Self {
            target: known.target.as_str().into(),
            started: known.started,
            time_permille: known.time_permille,
            parts: parts
                .map(|part| (part.chain, part.tokens, part.depth, part.age.0))
                .collect(),
        }
    }
}

/// Decodes what a peer knows. Entries beyond the largest number are left out, and so are
/// engines without a name.
#[must_use]
pub fn decode(summaries: Vec<EngineSummary>) -> Vec<summary::Summary> {
    let summaries = summaries.into_iter().take(ENGINES_MAX);
    let named = summaries.filter(|known| !known.target.is_empty());
    let decoded = named.map(|known| {
        let parts = known.parts.into_iter().take(summary::PARTS_MAX);
        summary::Summary {
            target: name::Target::new(&known.target),
            started: known.started,
            time_permille: known.time_permille,
            parts: parts
                .map(|(chain, tokens, depth, age_ms)| summary::CachedPart {
                    chain,
                    tokens,
                    depth,
                    age: Millis(age_ms),
                })
                .collect(),
        }
    });
    decoded.collect()
}
