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

pub(crate) use scalar;
pub(crate) use value;
