//! Lists in JSON that several writers fill. Their entries are read one by one, so that one
//! that cannot be read does not make the others unreadable.

use std::fmt::Display;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Deserializer;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

/// The longest text of a fault, in characters; it may quote the entry.
const FAULT_MAX_CHARS: usize = 200;

/// The entries of a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entries<T> {
    /// Those that can be read, in their order.
    pub readable: Vec<T>,
    /// Why each of the others cannot be read.
    pub faults: Vec<CompactString>,
}

impl<T> Default for Entries<T> {
    fn default() -> Self {
        Self {
            readable: Vec::new(),
            faults: Vec::new(),
        }
    }
}

impl<T> Entries<T> {
    /// Converts the entries. Those that cannot be converted join the unreadable ones.
    #[must_use]
    pub fn convert<K>(self) -> Entries<K>
    where
        K: TryFrom<T>,
        K::Error: Display,
    {
        let converted = self.readable.into_iter().map(K::try_from);
        Entries::collect(converted, self.faults)
    }

    fn collect<E: Display>(
        entries: impl Iterator<Item = Result<T, E>>,
        faults: Vec<CompactString>,
    ) -> Self {
        let mut collected = Self {
            faults,
            ..Self::default()
        };
        for entry in entries {
            match entry {
                Ok(entry) => collected.readable.push(entry),
                Err(error) => {
                    let text = error.to_string();
                    let fault = text.chars().take(FAULT_MAX_CHARS).collect();
                    collected.faults.push(fault);
                }
            }
        }
        collected
    }
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for Entries<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // A raw value may be nested to any depth, as it is not read yet.
        let raw = Vec::<&RawValue>::deserialize(deserializer)?;
        let entries = raw.into_iter().map(|raw| serde_json::from_str(raw.get()));
        Ok(Self::collect(entries, Vec::new()))
    }
}
