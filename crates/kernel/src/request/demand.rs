//! What a request asks of an engine, in tokens.

use crate::derive::scalar;
use crate::derive::value;

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

    /// Returns the parts that other requests may share: all but the last one.
    #[must_use]
    pub fn shared_parts(&self) -> &[DemandPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the tokens of the leading parts that are cached.
    #[must_use]
    pub fn cached_tokens(&self, is_cached: impl Fn(u64) -> bool) -> u32 {
        let leading = self.parts.iter().take_while(|part| is_cached(part.chain));
        let cached = leading.fold(0_u32, |sum, part| sum.saturating_add(part.tokens));
        cached.min(self.prompt_tokens)
    }
}
