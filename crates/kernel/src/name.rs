//! Names that other systems assign, each with a type of its own.
//!
//! The ids in [`crate::id`] have a format that is validated. The names here come
//! from other systems, so any text is accepted unchanged.

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
                /// Creates a name from any text.
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
    /// The name of an attempt, chosen by the client that makes it.
    Attempt
    /// The name of a failure domain.
    Domain
    /// The name of a result that is stored at the target that produced it.
    Handle
    /// The name of a daemon's instance; a restarted daemon has the same name.
    Member
    /// The name of a route.
    Route
    /// The name of a group of interchangeable targets.
    Service
    /// The name of one run of a target; a restarted target usually has another.
    Target
    /// The version of a target's software.
    Version
    /// The name of a customer.
    Workspace
}
