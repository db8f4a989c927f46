//! One macro that gives a type its common set of derives.
//!
//! Most types of the kernel are plain data. Writing their derives once keeps
//! the sets equal, so that a type can move from one message into another
//! without a missing trait.

/// Adds the common derives to plain data.
///
/// `value!` is for types that own text or vectors. See also [`scalar!`].
macro_rules! value {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq)]
            $item
        )*
    };
}

/// Adds the common derives to small types that are copied, ordered and hashed.
///
/// See also [`value!`].
macro_rules! scalar {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
            $item
        )*
    };
}

/// Defines types that own a text, with what all of them can do; how a text
/// becomes one of them is their own.
macro_rules! text {
    ($($(#[$meta:meta])* $name:ident)*) => {
        $(
            $(#[$meta])*
            #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
            pub struct $name(compact_str::CompactString);

            impl $name {
                /// Returns the text.
                #[inline]
                #[must_use]
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl std::fmt::Display for $name {
                fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    out.write_str(&self.0)
                }
            }
        )*
    };
}

pub(crate) use scalar;
pub(crate) use text;
pub(crate) use value;
