//! Hashes that are equal in every process and version.
//!
//! All daemons must compute the same rendezvous weights, so the hash functions
//! are fixed here. Those of the standard library may change between versions.
//! See also [`crate::published_list::PublishedList::owner_of_target`].

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hashes a text with FNV-1a, finalized by [`mix`].
#[must_use]
pub fn text(text: &str) -> u64 {
    bytes(text.as_bytes())
}

/// Hashes bytes with FNV-1a, finalized by [`mix`].
#[must_use]
pub fn bytes(bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    mix(bytes.iter().fold(FNV_OFFSET, step), 0)
}

/// Combines two hashes into one that depends on each bit of both, with the
/// finalizer of `SplitMix64`.
#[inline]
#[must_use]
pub fn mix(left: u64, right: u64) -> u64 {
    let mut hash = left
        .wrapping_add(right.rotate_left(32))
        .wrapping_add(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
