//! Contents of the platform's store, as daemons pass them on.

use compact_str::CompactString;
use gooseberry_kernel::fleet::chunks;
use gooseberry_kernel::fleet::chunks::Chunk;
use gooseberry_kernel::fleet::mirror;
use gooseberry_kernel::fleet::mirror::Revision;
use gooseberry_kernel::id::Digest;
use serde::Deserialize;
use serde::Serialize;

/// An entry of the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its key.
    pub key: CompactString,
    /// Its value; `None` if the entry was removed.
    pub value: Option<Vec<u8>>,
    /// The revision of its last change.
    pub revision: u64,
}

/// The chunks of a large value, in its order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outline {
    /// The key of the entry.
    pub key: CompactString,
    /// The revision of its last change.
    pub revision: u64,
    /// The SHA-256 and the number of bytes of each chunk.
    pub chunks: Vec<([u8; 32], u32)>,
}

/// Changes in the platform's store, or its whole content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// The changed entries, or all entries.
    pub entries: Vec<Entry>,
    /// Revision up to which the entries are complete.
    pub through: u64,
    /// Whether these are all entries rather than only the changed ones.
    pub is_whole: bool,
    /// The entries among these with large values, which are fetched in chunks.
    pub outlines: Vec<Outline>,
}

impl From<mirror::Changes> for Changes {
    fn from(changes: mirror::Changes) -> Self {
        let entries = changes.entries.into_iter().map(|entry| Entry {
            key: entry.key,
            value: entry.value,
            revision: entry.revision.0,
        });
        Self {
            entries: entries.collect(),
            outlines: changes.outlines.into_iter().map(Into::into).collect(),
            through: changes.through.0,
            is_whole: changes.is_whole,
        }
    }
}

impl From<Changes> for mirror::Changes {
    fn from(changes: Changes) -> Self {
        let entries = changes.entries.into_iter().map(|entry| mirror::Entry {
            key: entry.key,
            value: entry.value,
            revision: Revision(entry.revision),
        });
        Self {
            entries: entries.collect(),
            outlines: changes.outlines.into_iter().map(Into::into).collect(),
            through: Revision(changes.through),
            is_whole: changes.is_whole,
        }
    }
}

impl From<chunks::Outline> for Outline {
    fn from(outline: chunks::Outline) -> Self {
        let chunks = outline.chunks.into_iter();
        let chunks = chunks.map(|chunk| {
            (
                chunk.digest.0,
                u32::try_from(chunk.length).unwrap_or(u32::MAX),
            )
        });
        Self {
            key: outline.key,
            revision: outline.revision.0,
            chunks: chunks.collect(),
        }
    }
}

impl From<Outline> for chunks::Outline {
    fn from(outline: Outline) -> Self {
        let chunks = outline.chunks.into_iter().map(|(digest, length)| Chunk {
            digest: Digest(digest),
            length: usize::try_from(length).unwrap_or(usize::MAX),
        });
        Self {
            key: outline.key,
            revision: Revision(outline.revision),
            chunks: chunks.collect(),
        }
    }
}
