//! Identifiers whose format this project defines and validates.
//!
//! Text ids are short, so they are stored inline without allocation. They
//! contain only lower case letters, digits, `-` and `.`, so they need no
//! escaping in a path, a header, a log line or a metric label.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;

use crate::derive::scalar;
use crate::derive::text;
use crate::derive::value;

/// The longest text id, in bytes.
pub const TEXT_MAX_BYTES: usize = 96;

value! {
    /// The error that a text is not a valid id.
    pub struct Invalid {
        /// The invalid text, truncated to [`TEXT_MAX_BYTES`] characters.
        pub text: CompactString,
    }
}

impl fmt::Display for Invalid {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "`{}` is not an id: expected 1 to {TEXT_MAX_BYTES} of a-z, 0-9, '-' and '.'",
            self.text
        )
    }
}

impl std::error::Error for Invalid {}

fn invalid(text: &str) -> Invalid {
    Invalid {
        text: text.chars().take(TEXT_MAX_BYTES).collect(),
    }
}

fn is_text_id(text: &str) -> bool {
    let is_allowed = |byte: u8| {
        byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-' || byte == b'.'
    };
    !text.is_empty() && text.len() <= TEXT_MAX_BYTES && text.bytes().all(is_allowed)
}

/// Checks the digits, because the standard library's parsers also accept a sign.
fn is_hexadecimal(text: &str) -> bool {
    text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

macro_rules! text_id {
    ($($(#[$meta:meta])* $name:ident)*) => {
        text! {
            $(
                $(#[$meta])*
                $name
            )*
        }

        $(
            impl $name {
                /// Validates the text and creates an id from it.
                ///
                /// # Errors
                /// Returns [`Invalid`] if the text is empty, too long or contains
                /// a character that is not allowed in an id.
                pub fn new(text: &str) -> Result<Self, Invalid> {
                    if is_text_id(text) {
                        Ok(Self(CompactString::from(text)))
                    } else {
                        Err(invalid(text))
                    }
                }
            }

            impl FromStr for $name {
                type Err = Invalid;

                fn from_str(text: &str) -> Result<Self, Self::Err> {
                    Self::new(text)
                }
            }
        )*
    };
}

text_id! {
    /// The id of a team of operators, which owns one document of the settings.
    Team
    /// The id of a customer, as `team.name`.
    Workspace
    /// The id of a pipeline, unique within its team.
    Pipeline
    /// The id of a stage, unique within its pipeline.
    Stage
    /// The id of a pool of targets of one kind and model, as `team.name`.
    Pool
    /// The id of a back end that runs calls.
    Target
    /// The id of one run of a daemon; a restarted daemon has another id.
    Instance
    /// The id of a failure domain.
    Domain
}

scalar! {
    /// The id of a request, chosen at random by the daemon that receives it.
    pub struct Request(pub u128);

    /// The id of one attempt at one stage of a request.
    ///
    /// It is sent with the call and echoed in the reply, so that a reply to
    /// another call is detected and discarded.
    pub struct Attempt {
        /// The request that the attempt belongs to.
        pub request: Request,
        /// The index of the stage within the pipeline.
        pub stage: u8,
        /// The number of the attempt, counted over all stages of the request.
        pub number: u16,
    }

    /// The SHA-256 of a text that must not itself be stored or shown.
    pub struct Digest(pub [u8; 32]);
}

impl Digest {
    /// Computes the digest of the bytes.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        use sha2::Digest as _;
        Self(sha2::Sha256::digest(bytes).into())
    }

    /// Returns the first eight bytes as a number, for hashing and ordering.
    #[inline]
    #[must_use]
    pub fn prefix(&self) -> u64 {
        let mut head = [0; 8];
        head.copy_from_slice(&self.0[..8]);
        u64::from_be_bytes(head)
    }

    /// Compares two digests in constant time, as is required for credentials.
    #[must_use]
    pub fn matches(&self, other: &Self) -> bool {
        use subtle::ConstantTimeEq as _;
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(out, "{byte:02x}"))
    }
}

impl FromStr for Digest {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != 64 || !is_hexadecimal(text) {
            return Err(invalid(text));
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let pair = &text[index * 2..index * 2 + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| invalid(text))?;
        }
        Ok(Self(bytes))
    }
}

impl fmt::Display for Request {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:032x}", self.0)
    }
}

impl FromStr for Request {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != 32 || !is_hexadecimal(text) {
            return Err(invalid(text));
        }
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| invalid(text))
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}-{}-{}", self.request, self.stage, self.number)
    }
}

impl FromStr for Attempt {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.splitn(3, '-');
        let mut part = || parts.next().ok_or_else(|| invalid(text));
        let request = part()?.parse()?;
        let stage = part()?.parse().map_err(|_| invalid(text))?;
        let number = part()?.parse().map_err(|_| invalid(text))?;
        Ok(Self {
            request,
            stage,
            number,
        })
    }
}
