//! The prompt parts that an engine has cached.

use std::cmp::Reverse;

use crate::clock::Millis;
use crate::derive::scalar;
use crate::request::demand::Demand;

use super::summary::CachedPart;

/// The largest number of parts that are remembered for an engine, some 12 KB.
const PARTS_MAX: usize = 512;

scalar! {
    struct Part {
        chain: u64,
        tokens: u32,
        /// Number of parts before it in its prompt.
        depth: u32,
        last_use: Millis,
        /// The last request that reads it; `None` once such a request has answered.
        reader: Option<u64>,
    }
}

/// The cached parts of an engine, sorted by chain.
#[derive(Clone, Debug, Default)]
pub(super) struct Cache {
    parts: Vec<Part>,
    tokens: u64,
}

impl Cache {
    /// Returns the tokens of the leading shared parts that are cached.
    pub(super) fn cached_tokens(&self, demand: &Demand) -> u32 {
        if self.parts.is_empty() {
            return 0;
        }
        demand.cached_tokens(|chain| self.position(chain).is_ok())
    }

    /// Records that a request reads the shared parts of its prompt.
    pub(super) fn record(&mut self, demand: &Demand, reader: u64, now: Millis) {
        for (depth, shared) in (0..).zip(demand.shared_parts()) {
            match self.position(shared.chain) {
                Ok(index) => {
                    let part = &mut self.parts[index];
                    part.last_use = now;
                    part.reader = part.reader.map(|_| reader);
                }
                Err(index) => {
                    let part = Part {
                        chain: shared.chain,
                        tokens: shared.tokens,
                        depth,
                        last_use: now,
                        reader: Some(reader),
                    };
                    self.parts.insert(index, part);
                    self.tokens += u64::from(part.tokens);
                }
            }
        }
        while self.parts.len() > PARTS_MAX {
            self.evict();
        }
    }

    /// Returns the parts that were used within `age_max`, at most `count` of them, the last
    /// used ones first.
    pub(super) fn recent_parts(
        &self,
        count: usize,
        age_max: Millis,
        now: Millis,
    ) -> Vec<CachedPart> {
        let recent = self.parts.iter().filter(|part| part.reader.is_none());
        let recent = recent.map(|part| CachedPart {
            chain: part.chain,
            tokens: part.tokens,
            depth: part.depth,
            age: now - part.last_use,
        });
        let mut recent: Vec<CachedPart> = recent.filter(|part| part.age <= age_max).collect();
        // Of one prompt, the first parts go first: the later ones are of no use without them.
        recent.sort_unstable_by_key(|part| (part.age, part.depth));
        recent.truncate(count);
        recent
    }

    /// Adds a part that another daemon knows to be cached.
    pub(super) fn adopt(&mut self, part: CachedPart, now: Millis) {
        if let Err(index) = self.position(part.chain) {
            let part = Part {
                chain: part.chain,
                tokens: part.tokens,
                depth: part.depth,
                last_use: now - part.age,
                reader: None,
            };
            self.parts.insert(index, part);
            self.tokens += u64::from(part.tokens);
        }
        while self.parts.len() > PARTS_MAX {
            self.evict();
        }
    }

    /// Records that a request has answered, so that its parts have been read.
    pub(super) fn confirm(&mut self, reader: u64) {
        for part in &mut self.parts {
            if part.reader == Some(reader) {
                part.reader = None;
            }
        }
    }

    /// Forgets the parts that only this request would have read.
    pub(super) fn forget(&mut self, reader: u64) {
        self.parts.retain(|part| part.reader != Some(reader));
        self.tokens = self.parts.iter().map(|part| u64::from(part.tokens)).sum();
    }

    /// Evicts parts until the others have at most this many tokens.
    pub(super) fn shrink(&mut self, tokens_max: u64) {
        while self.tokens > tokens_max {
            self.evict();
        }
    }

    /// Evicts the least recently used part; of one prompt, the last part first.
    fn evict(&mut self) {
        let parts = self.parts.iter().enumerate();
        let oldest = parts.min_by_key(|(_, part)| (part.last_use, Reverse(part.depth)));
        if let Some((index, _)) = oldest {
            let part = self.parts.remove(index);
            self.tokens = self.tokens.saturating_sub(u64::from(part.tokens));
        } else {
            self.tokens = 0;
        }
    }

    fn position(&self, chain: u64) -> Result<usize, usize> {
        self.parts.binary_search_by_key(&chain, |part| part.chain)
    }
}
