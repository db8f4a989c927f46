//! Transfer of large values between daemons in chunks.
//!
//! Settings can take megabytes, and over a slow link seconds. A value is cut where
//! its content says so, so that two versions of it have all chunks in common but
//! those around their differences. A daemon fetches only the chunks that it lacks, a
//! few in a call, and keeps them if a call fails or the value changes again.

use compact_str::CompactString;
use fastcdc::v2020::FastCDC;

use crate::derive::scalar;
use crate::derive::value;
use crate::fleet::mirror::Revision;
use crate::id::Digest;

/// Values of at least this many bytes are passed on in chunks.
pub const LARGE_VALUE_MIN: usize = 32 << 10;
/// The largest number of bytes of the chunks or small entries in one call. A link of 10 Mbit/s
/// carries them in 52 ms, so that other messages do not wait long.
pub const CALL_BYTES_MAX: usize = 64 << 10;

/// The smallest, the usual and the largest length of a chunk, in bytes.
const CHUNK_BYTES_MIN: usize = 1 << 10;
const CHUNK_BYTES_USUAL: usize = 4 << 10;
const CHUNK_BYTES_MAX: usize = 16 << 10;

scalar! {
    /// A part of a value.
    pub struct Chunk {
        /// The digest of its bytes, by which it is fetched.
        pub digest: Digest,
        /// Its number of bytes.
        pub length: usize,
    }
}

value! {
    /// The chunks of which a value consists.
    pub struct Outline {
        /// The key of the entry.
        pub key: CompactString,
        /// The revision of its last change.
        pub revision: Revision,
        /// The chunks, in the order of the value.
        pub chunks: Vec<Chunk>,
    }

    /// A value of which some chunks are missing.
    pub struct Partial {
        outline: Outline,
        /// The distinct chunks with their bytes, if they are known, sorted by
        /// digest.
        chunks: Vec<(Chunk, Option<Vec<u8>>)>,
    }
}

impl Outline {
    /// Cuts a value into chunks; equal values are cut equally.
    #[must_use]
    pub fn of(key: &CompactString, revision: Revision, value: &[u8]) -> Self {
        let cuts = FastCDC::new(value, CHUNK_BYTES_MIN, CHUNK_BYTES_USUAL, CHUNK_BYTES_MAX);
        let chunks = cuts.map(|cut| Chunk {
            digest: Digest::of(&value[cut.offset..cut.offset + cut.length]),
            length: cut.length,
        });
        Self {
            key: key.clone(),
            revision,
            chunks: chunks.collect(),
        }
    }

    /// Returns the chunks of the value that this outline was made of, with their
    /// bytes.
    pub fn slices<'a>(&'a self, value: &'a [u8]) -> impl Iterator<Item = (Chunk, &'a [u8])> {
        let mut rest = value;
        self.chunks.iter().map_while(move |chunk| {
            let (slice, after) = rest.split_at_checked(chunk.length)?;
            rest = after;
            Some((*chunk, slice))
        })
    }
}

impl Partial {
    /// Creates a value of which no chunk is known.
    #[must_use]
    pub fn new(outline: Outline) -> Self {
        let mut distinct = outline.chunks.clone();
        distinct.sort_unstable();
        distinct.dedup();
        Self {
            outline,
            chunks: distinct.into_iter().map(|chunk| (chunk, None)).collect(),
        }
    }

    /// Returns the outline of the value.
    #[must_use]
    pub fn outline(&self) -> &Outline {
        &self.outline
    }

    /// Returns the chunks that are known, with their bytes.
    pub fn known(&self) -> impl Iterator<Item = (Chunk, &[u8])> {
        let chunks = self.chunks.iter();
        chunks.filter_map(|(chunk, bytes)| Some((*chunk, bytes.as_deref()?)))
    }

    /// Returns missing chunks of at most [`CALL_BYTES_MAX`] in all, and at least one
    /// if any is missing.
    #[must_use]
    pub fn missing(&self) -> Vec<Digest> {
        let mut total = 0;
        let missing = self.chunks.iter().filter(|(_, bytes)| bytes.is_none());
        let fitting = missing.take_while(|(chunk, _)| {
            total += chunk.length;
            total <= CALL_BYTES_MAX.max(chunk.length)
        });
        fitting.map(|(chunk, _)| chunk.digest).collect()
    }

    /// Adds a chunk, unless it is no part of the value.
    pub fn insert(&mut self, chunk: Chunk, bytes: &[u8]) {
        let found = self.chunks.binary_search_by(|(known, _)| known.cmp(&chunk));
        if let Ok(index) = found {
            self.chunks[index].1.get_or_insert_with(|| bytes.to_vec());
        }
    }

    /// Returns the value once no chunk is missing.
    #[must_use]
    pub fn assemble(&self) -> Option<Vec<u8>> {
        if self.chunks.iter().any(|(_, bytes)| bytes.is_none()) {
            return None;
        }
        let mut value = Vec::new();
        for chunk in &self.outline.chunks {
            let found = self.chunks.binary_search_by(|(known, _)| known.cmp(chunk));
            value.extend_from_slice(self.chunks[found.ok()?].1.as_deref()?);
        }
        Some(value)
    }
}

/// Returns a chunk with these bytes.
#[must_use]
pub fn chunk_of(bytes: &[u8]) -> Chunk {
    Chunk {
        digest: Digest::of(bytes),
        length: bytes.len(),
    }
}
