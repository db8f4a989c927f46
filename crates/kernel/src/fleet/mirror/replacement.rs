//! Replaces the contents of a mirror by those of another era.

use compact_str::CompactString;

use crate::fleet::mirror::Mirror;

impl Mirror {
    /// Replaces the contents by those of a store that came back from an older copy, and
    /// returns the keys whose values have changed.
    ///
    /// Chunks of large values that are known are kept. The value of a key of which chunks
    /// are missing counts as changed once it is whole.
    pub fn replace(&mut self, next: Self) -> Vec<CompactString> {
        let former = std::mem::replace(self, next);
        for mut partial in std::mem::take(&mut self.partials) {
            for (chunk, bytes) in former.known_chunks() {
                partial.insert(chunk, bytes);
            }
            self.settle(partial);
        }
        let keys = former.keys("").chain(self.keys(""));
        let mut keys: Vec<&str> = keys.collect();
        keys.sort_unstable();
        keys.dedup();
        let changed = keys
            .into_iter()
            .filter(|key| self.find_partial(key).is_err() && former.get(key) != self.get(key));
        changed.map(CompactString::from).collect()
    }
}
