//! The document at `/fleet`, whose settings apply to every daemon.

use std::str::FromStr;

use super::fault::Faults;
use super::reader;
use super::reader::Range;
use crate::clock::Millis;
use crate::derive::scalar;
use crate::derive::value;
use crate::id;

scalar! {
    /// The algorithms that the daemons use for routing, limits and retries.
    pub enum Policy {
        /// The algorithms that `docs/design/` describes.
        Adaptive,
        /// The simplest algorithms, kept as a baseline for measurements: a random
        /// target, a fixed limit, two retries and first-come-first-served queues.
        Baseline,
    }
}

impl FromStr for Policy {
    type Err = id::Invalid;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "adaptive" => Ok(Self::Adaptive),
            "baseline" => Ok(Self::Baseline),
            _ => Err(id::Invalid { text: text.into() }),
        }
    }
}

value! {
    /// The settings that apply to every daemon.
    pub struct Fleet {
        /// The failure domains that operators have taken out, sorted.
        pub out: Vec<id::Domain>,
        /// The daemons that operators know to have ended without a goodbye
        /// message, sorted. They no longer count as members once the list has
        /// dropped them.
        pub ended: Vec<id::Instance>,
        /// How long an acknowledgement by a peer stays valid.
        pub freshness: Millis,
        /// How long after its first attempt a client may retry a key.
        pub horizon: Millis,
        /// How long a daemon still counts as a member after the list has dropped
        /// it, and how long leases last when the platform cannot be read.
        pub dropped_memory: Millis,
        /// The interval between heartbeats to each peer.
        pub exchange: Millis,
        /// How many daemons of each failure domain read the platform.
        pub readers: u16,
        /// How many requests one daemon may have in progress.
        pub max_requests: u16,
        /// The largest body of a request, in bytes.
        pub max_body_bytes: u32,
        /// The largest answer of a target, in bytes.
        pub max_answer_bytes: u32,
        /// How long a client may take to send a complete request.
        pub send_timeout: Millis,
        /// The algorithms that the daemons use.
        pub policy: Policy,
    }
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            out: Vec::new(),
            ended: Vec::new(),
            freshness: Millis(2000),
            horizon: Millis(60_000),
            dropped_memory: Millis(7_200_000),
            exchange: Millis(500),
            readers: 2,
            max_requests: 512,
            max_body_bytes: 1 << 20,
            max_answer_bytes: 4 << 20,
            send_timeout: Millis(5000),
            policy: Policy::Adaptive,
        }
    }
}

impl Fleet {
    /// Parses and validates the document.
    ///
    /// # Errors
    /// Returns all faults of the document.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        reader::parse(text, |reader, root| {
            let defaults = Self::default();
            let mut millis = |name: &str, min: u64, max: u64, default: Millis| {
                Millis(reader.number(root, name, Range { min, max }, default.0))
            };
            let freshness = millis("freshness_ms", 200, 60_000, defaults.freshness);
            let horizon = millis("horizon_ms", 1000, 3_600_000, defaults.horizon);
            let dropped_memory = millis(
                "dropped_memory_ms",
                1000,
                86_400_000,
                defaults.dropped_memory,
            );
            let exchange = millis("exchange_ms", 20, 10_000, defaults.exchange);
            let send_timeout = millis("send_timeout_ms", 100, 60_000, defaults.send_timeout);
            let mut count = |name: &str, max: u64, default: u64| {
                reader.number(root, name, Range { min: 1, max }, default)
            };
            let readers = count("readers", 64, u64::from(defaults.readers));
            let max_requests = count("max_requests", 60_000, u64::from(defaults.max_requests));
            let max_body = count(
                "max_body_bytes",
                64 << 20,
                u64::from(defaults.max_body_bytes),
            );
            let max_answer = count(
                "max_answer_bytes",
                64 << 20,
                u64::from(defaults.max_answer_bytes),
            );
            if exchange.0.saturating_mul(2) > freshness.0 {
                let (path, start) = root.position("exchange_ms");
                let message = "expected at most half of freshness_ms".to_owned();
                reader.add_fault(&path, start, message);
            }
            if dropped_memory < freshness {
                let (path, start) = root.position("dropped_memory_ms");
                let message = "expected at least freshness_ms".to_owned();
                reader.add_fault(&path, start, message);
            }
            let out = reader.texts(root, "out", "the name of a failure domain");
            let ended = reader.texts(root, "ended", "the id of a daemon");
            let policy = reader.optional_text(root, "policy", "\"adaptive\" or \"baseline\"");
            Self {
                out,
                ended,
                freshness,
                horizon,
                dropped_memory,
                exchange,
                readers: saturating_u16(readers),
                max_requests: saturating_u16(max_requests),
                max_body_bytes: saturating_u32(max_body),
                max_answer_bytes: saturating_u32(max_answer),
                send_timeout,
                policy: policy.unwrap_or(defaults.policy),
            }
        })
    }

    /// Returns whether operators have taken the failure domain out.
    #[must_use]
    pub fn is_out(&self, domain: &id::Domain) -> bool {
        self.out.binary_search(domain).is_ok()
    }
}

pub(super) fn saturating_u16(number: u64) -> u16 {
    u16::try_from(number).unwrap_or(u16::MAX)
}

fn saturating_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
