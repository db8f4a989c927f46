//! Names and numbers that identify things.
//!
//! Text ids are short, so they are kept inline. A text id holds only lower
//! case letters, digits, `-` and `.`, which makes it safe in a path, a header,
//! a log line and a metric label.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;

use crate::derive::scalar;
use crate::derive::text;
use crate::derive::value;

/// The longest text id, in bytes.
pub const TEXT_MAX_BYTES: usize = 96;

value! {
    /// The reason why a text is not an id.
    pub struct Invalid {
        /// The text that was refused, cut to a printable length.
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

/// The standard library's parsers take a sign before the digits as well.
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
                /// Checks the text and makes an id of it.
                ///
                /// # Errors
                /// Returns [`Invalid`] if the text is empty, too long or holds
                /// a character that an id may not hold.
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
    /// A team of operators, who own one subtree of the settings.
    Team
    /// A customer, as `team.name`.
    Workspace
    /// A pipeline; unique within its team.
    Pipeline
    /// A stage; unique within its pipeline.
    Stage
    /// A pool of targets of one kind and model, as `team.name`.
    Pool
    /// A back end.
    Target
    /// One run of a daemon on a machine; a restarted daemon has another id.
    Instance
    /// A failure domain.
    Domain
}

scalar! {
    /// A request, drawn at random where it enters.
    pub struct Request(pub u128);

    /// One try of one stage of a request.
    ///
    /// It goes out with the call and comes back with the reply, so that a
    /// reply to another call is noticed and reaches nobody.
    pub struct Attempt {
        /// The request that the attempt serves.
        pub request: Request,
        /// The index of the stage within the pipeline.
        pub stage: u8,
        /// The number of the try, counted over the whole request.
        pub number: u16,
    }

    /// The SHA-256 of a text that must not be kept or shown itself.
    pub struct Digest(pub [u8; 32]);
}

impl Digest {
    /// Digests the bytes.
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

    /// Compares in constant time, as a credential must be compared.
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
