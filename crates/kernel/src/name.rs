//! Names that other systems give to things.
//!
//! The ids in [`crate::id`] are ours and may be checked. The names here come
//! from outside, so each text is taken as it is and only kept apart by type.

use std::convert::Infallible;
use std::str::FromStr;

use compact_str::CompactString;

use crate::derive::text;

macro_rules! names {
    ($($(#[$meta:meta])* $name:ident)*) => {
        text! {
            $(
                $(#[$meta])*
                #[derive(Default)]
                $name
            )*
        }

        $(
            impl $name {
                /// Takes the text as a name.
                #[must_use]
                pub fn new(text: &str) -> Self {
                    Self(CompactString::from(text))
                }
            }

            impl FromStr for $name {
                type Err = Infallible;

                fn from_str(text: &str) -> Result<Self, Self::Err> {
                    Ok(Self::new(text))
                }
            }
        )*
    };
}

names! {
    /// One attempt of a client, named by the client.
    Attempt
    /// A failure domain.
    Domain
    /// A result that waits at the target that made it.
    Handle
    /// A daemon, by the name of its instance; a restarted one has it again.
    Member
    /// A route.
    Route
    /// A group of targets that can stand for one another.
    Service
    /// One run of a target; a restarted target mostly has another name.
    Target
    /// A customer.
    Workspace
}
