//! What a placer tells the one after it.
//!
//! A new placer, with an empty ledger, would take sessions away from the engines that have
//! their prompts, and send streams to slow engines until it has learned which those are.

use crate::clock::Millis;
use crate::derive::scalar;
use crate::derive::value;
use crate::name;

use super::EngineState;
use super::Ledger;

/// The largest number of parts of prompts that are told of one engine. With 160 engines
/// they take some 200 KB.
pub const PARTS_MAX: usize = 64;
/// How old the last use of a part may be. A session that was idle for longer is rare.
const AGE_MAX: Millis = Millis(30_000);
/// The usable times of work at an engine, in thousandths of that at a typical one.
const TIME_PERMILLE: (u32, u32) = (100, 10_000);

scalar! {
    /// A part of prompts that an engine has cached.
    pub struct CachedPart {
        /// Hash of the ids of this part and of all parts before it.
        pub chain: u64,
        /// Its length in tokens.
        pub tokens: u32,
        /// Number of parts before it.
        pub depth: u32,
        /// How long ago it was used.
        pub age: Millis,
    }
}

value! {
    /// What a placer knows of an engine.
    pub struct Summary {
        /// The name of the target.
        pub target: name::Target,
        /// When it started.
        pub started: u64,
        /// How long work takes there, in thousandths of that at a typical engine, if that is
        /// known.
        pub time_permille: Option<u32>,
        /// The parts that were used lately.
        pub parts: Vec<CachedPart>,
    }
}

impl Ledger {
    /// Returns what is known of each engine.
    #[must_use]
    pub fn summaries(&self, now: Millis) -> Vec<Summary> {
        let summary = |engine: &EngineState| Summary {
            target: engine.target.clone(),
            started: engine.started,
            time_permille: engine.speed.time_permille(),
            parts: engine.cache.recent_parts(PARTS_MAX, AGE_MAX, now),
        };
        self.engines.iter().map(summary).collect()
    }

    /// Takes over what another placer knows, where this one knows nothing itself.
    pub fn adopt(&mut self, summaries: Vec<Summary>, now: Millis) {
        for summary in summaries {
            let index = match self.position(&summary.target, 0) {
                Ok(index) => index,
                Err(index) => {
                    let state = EngineState::new(&summary.target, summary.started);
                    self.engines.insert(index, state);
                    index
                }
            };
            let state = &mut self.engines[index];
            if state.started != summary.started {
                continue;
            }
            let time_permille = summary.time_permille.filter(|_| !state.speed.is_known());
            if let Some(permille) = time_permille {
                let permille = permille.clamp(TIME_PERMILLE.0, TIME_PERMILLE.1);
                state.speed.adopt(permille);
            }
            for part in summary.parts.into_iter().take(PARTS_MAX) {
                state.cache.adopt(part, now);
            }
        }
    }
}
