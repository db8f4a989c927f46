//! Macros that add the common derives to a type.
//!
//! Most types of the kernel are plain data. The macros give them equal sets of
//! derives, so that a type can become a field of another one without a missing
//! trait.

/// Adds the common derives to types that own heap data, such as text or vectors.
///
/// See also [`scalar!`].
macro_rules! value {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq)]
            $item
        )*
    };
}

/// Adds the common derives to small types that can be copied, ordered and hashed.
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

/// Defines newtypes of a text, with accessor, `Display` and derives.
///
/// The constructors are defined separately, because the types differ in which
/// texts they accept.
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
