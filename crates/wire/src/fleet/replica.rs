//! Contents of the platform's store, as daemons pass them on.

use compact_str::CompactString;
use gooseberry_kernel::fleet::chunks;
use gooseberry_kernel::fleet::chunks::Chunk;
use gooseberry_kernel::fleet::mirror;
use gooseberry_kernel::fleet::mirror::Revision;
use gooseberry_kernel::fleet::replica;
use gooseberry_kernel::fleet::replica::Era;
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

/// A request for a part of the contents of the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContentsRequest {
    /// The era of the store, if it names one.
    pub era: Option<u64>,
    /// Revision after which the contents are asked for.
    pub after: u64,
    /// Revision up to which the sender knows all removals.
    pub since: u64,
    /// Whether the sender collects all contents, and not only what it lacks.
    pub is_collecting: bool,
}

/// A part of the contents of the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contents {
    /// The era of the store to which they belong, if it names one.
    pub era: Option<u64>,
    /// The entries of the part.
    pub changes: Changes,
    /// Revision after which the part begins.
    pub after: u64,
    /// Revision since which all removals are among the parts.
    pub since: u64,
    /// Revision at which the last part ends.
    pub end: u64,
    /// Whether the parts are all contents, and not only what the receiver lacks.
    pub is_of_all: bool,
}

impl From<replica::Request> for ContentsRequest {
    fn from(request: replica::Request) -> Self {
        Self {
            era: request.era.map(|era| era.0),
            after: request.after.0,
            since: request.since.0,
            is_collecting: request.is_collecting,
        }
    }
}

impl From<ContentsRequest> for replica::Request {
    fn from(request: ContentsRequest) -> Self {
        Self {
            era: request.era.map(Era),
            after: Revision(request.after),
            since: Revision(request.since),
            is_collecting: request.is_collecting,
        }
    }
}

impl From<replica::Contents> for Contents {
    fn from(contents: replica::Contents) -> Self {
        let through = contents.changes.through;
        let part = contents.part.unwrap_or(replica::Part {
            after: Revision::default(),
            since: through,
            end: through,
            is_of_all: contents.changes.is_whole,
        });
        Self {
            era: contents.era.map(|era| era.0),
            changes: contents.changes.into(),
            after: part.after.0,
            since: part.since.0,
            end: part.end.0,
            is_of_all: part.is_of_all,
        }
    }
}

impl From<Contents> for replica::Contents {
    fn from(contents: Contents) -> Self {
        Self {
            era: contents.era.map(Era),
            changes: contents.changes.into(),
            part: Some(replica::Part {
                after: Revision(contents.after),
                since: Revision(contents.since),
                end: Revision(contents.end),
                is_of_all: contents.is_of_all,
            }),
        }
    }
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
