//! What a request asks of an engine, in tokens.

use crate::derive::scalar;
use crate::derive::value;
use crate::hash;

/// How many tokens are read in the time in which one is written.
const WRITTEN_TOKEN_WORK: u64 = 10;

scalar! {
    /// A part of a prompt.
    pub struct DemandPart {
        /// Hash of the ids of this part and of all parts before it: a cached part can only
        /// be used if all parts before it are the same.
        pub chain: u64,
        /// Its length in tokens.
        pub tokens: u32,
    }
}

value! {
    /// What a request asks of an engine, as its client states it.
    pub struct Demand {
        /// Number of tokens of the whole prompt.
        pub prompt_tokens: u32,
        /// The parts of the prompt, in order. The last one belongs to the request or its
        /// session alone.
        pub parts: Vec<DemandPart>,
        /// The largest number of tokens of the answer.
        pub max_output_tokens: u32,
        /// The client's estimate of the number of tokens of the answer.
        pub output_hint: Option<u32>,
    }
}

impl Demand {
    /// The largest number of tokens of a usable demand. Prompts have less than a tenth of it.
    pub const TOKENS_MAX: u32 = 10_000_000;
    /// The largest number of parts of a usable demand.
    pub const PARTS_MAX: usize = 64;

    /// Creates the demand of a request whose prompt has these parts, each with its id and
    /// its length; `None` if it is beyond the limits.
    ///
    /// The prompt's own length takes precedence: parts that exceed it together are
    /// truncated. A hint beyond the largest answer is reduced to that.
    #[must_use]
    pub fn new(
        prompt_tokens: u32,
        parts: &[(&str, u32)],
        max_output_tokens: u32,
        output_hint: Option<u32>,
    ) -> Option<Self> {
        let lengths = parts.iter().map(|(_, tokens)| *tokens);
        let longest = lengths.chain([prompt_tokens, max_output_tokens]).max();
        if longest > Some(Self::TOKENS_MAX) || parts.len() > Self::PARTS_MAX {
            return None;
        }
        let mut chain = 0;
        let mut left = prompt_tokens;
        // Parts without tokens left stay in the list, since the last part has a meaning.
        let parts = parts.iter().map(|(id, tokens)| {
            chain = hash::mix(chain, hash::text(id));
            let tokens = left.min(*tokens);
            left -= tokens;
            DemandPart { chain, tokens }
        });
        Some(Self {
            prompt_tokens,
            parts: parts.collect(),
            max_output_tokens,
            output_hint: output_hint.map(|hint| hint.min(max_output_tokens)),
        })
    }

    /// Returns the parts that other requests may share: all but the last one.
    #[must_use]
    pub fn shared_parts(&self) -> &[DemandPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the work of the request in tokens that are read. Where a token is written,
    /// some ten are read in the same time at least.
    #[must_use]
    pub fn work_tokens(&self) -> u64 {
        let output = self.output_hint.unwrap_or(self.max_output_tokens);
        u64::from(self.prompt_tokens) + u64::from(output) * WRITTEN_TOKEN_WORK
    }

    /// Returns the tokens of the leading parts that are cached.
    #[must_use]
    pub fn cached_tokens(&self, is_cached: impl Fn(u64) -> bool) -> u32 {
        let leading = self.parts.iter().take_while(|part| is_cached(part.chain));
        let cached = leading.fold(0_u32, |sum, part| sum.saturating_add(part.tokens));
        cached.min(self.prompt_tokens)
    }
}
