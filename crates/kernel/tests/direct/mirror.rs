use gooseberry_kernel::fleet::mirror::Changes;
use gooseberry_kernel::fleet::mirror::Entry;
use gooseberry_kernel::fleet::mirror::Mirror;
use gooseberry_kernel::fleet::mirror::Revision;
use gooseberry_kernel::fleet::mirror::TOMBSTONES_MAX;

fn entry(key: &str, value: Option<&str>, revision: u64) -> Entry {
    Entry {
        key: key.into(),
        value: value.map(|value| value.as_bytes().to_vec()),
        revision: Revision(revision),
    }
}

fn changes(entries: Vec<Entry>, through: u64, is_whole: bool) -> Changes {
    Changes {
        entries,
        outlines: Vec::new(),
        through: Revision(through),
        is_whole,
    }
}

#[test]
fn entry_never_reverts_to_an_older_revision() {
    let mut mirror = Mirror::default();
    mirror.apply(changes(vec![entry("a", Some("new"), 9)], 9, false));
    let changed = mirror.apply(changes(vec![entry("a", Some("old"), 5)], 5, true));
    assert!(changed.is_empty());
    assert_eq!(mirror.get("a"), Some(&b"new"[..]));
    assert_eq!(mirror.through(), Revision(9));
    mirror.apply(changes(vec![entry("a", None, 12)], 12, false));
    // A page that was read before the removal.
    mirror.apply(changes(vec![entry("a", Some("new"), 9)], 10, true));
    assert_eq!(mirror.get("a"), None);
}

#[test]
fn full_copy_removes_unlisted_entries_except_newer_ones() {
    let mut mirror = Mirror::default();
    let known = vec![entry("a", Some("1"), 2), entry("b", Some("1"), 8)];
    mirror.apply(changes(known, 8, false));
    let changed = mirror.apply(changes(vec![entry("c", Some("1"), 3)], 5, true));
    assert_eq!(changed, ["a", "c"]);
    assert_eq!(mirror.get("a"), None);
    assert_eq!(mirror.get("b"), Some(&b"1"[..]));
}

#[test]
fn mirrors_converge_in_any_exchange_order() {
    arbtest::arbtest(|draw| {
        let history: Vec<Entry> = (1..40)
            .map(|revision| {
                let key = ["a", "b", "c", "d"][draw.choose_index(4)?];
                let value = draw.ratio(2, 3)?.then_some("v");
                Ok(entry(key, value, revision))
            })
            .collect::<arbitrary::Result<_>>()?;
        let mut mirrors = [Mirror::default(), Mirror::default()];
        for _ in 0..12 {
            // Each mirror reads some revisions from the store. Then the second
            // one reads from the first.
            for mirror in &mut mirrors {
                let after = mirror.through().0;
                let until = (after + draw.int_in_range(0..=6)?).min(39);
                let entries = history.iter();
                let entries =
                    entries.filter(|entry| entry.revision.0 > after && entry.revision.0 <= until);
                let entries = changes(entries.cloned().collect(), until, false);
                mirror.apply(entries);
            }
            let delta = mirrors[0].changes(mirrors[1].through());
            mirrors[1].apply(delta);
            assert!(mirrors[1].through() >= mirrors[0].through());
        }
        let delta = mirrors[1].changes(mirrors[0].through());
        mirrors[0].apply(delta);
        for key in ["a", "b", "c", "d"] {
            assert_eq!(mirrors[0].get(key), mirrors[1].get(key));
        }
        Ok(())
    })
    .budget_ms(300);
}

#[test]
fn mirror_behind_the_oldest_tombstone_gets_a_full_copy() {
    let mut mirror = Mirror::default();
    mirror.apply(changes(vec![entry("kept", Some("1"), 1)], 1, false));
    for index in 0..=TOMBSTONES_MAX as u64 {
        let key = format!("k{index}");
        mirror.apply(changes(
            vec![entry(&key, None, index + 2)],
            index + 2,
            false,
        ));
    }
    assert!(mirror.changes(Revision(1)).is_whole);
    assert!(!mirror.changes(mirror.through()).is_whole);
    let mut behind = Mirror::default();
    behind.apply(changes(vec![entry("k5", Some("1"), 1)], 1, false));
    behind.apply(mirror.changes(behind.through()));
    assert_eq!(behind.get("k5"), None);
    assert_eq!(behind.get("kept"), Some(&b"1"[..]));
}

/// The reader of the store ends, and one that has just started takes its place.
#[test]
fn a_removal_reaches_peers_of_a_replica_that_was_read_after_it() {
    let mut behind = Mirror::default();
    let known = vec![entry("gone", Some("1"), 5), entry("kept", Some("1"), 6)];
    behind.apply(changes(known, 7, true));
    // "gone" was removed at 8, and "short" came at 9 and went at 10.
    let mut fresh = Mirror::default();
    fresh.apply(changes(vec![entry("kept", Some("1"), 6)], 12, true));
    behind.apply(fresh.changes(behind.through()));
    assert_eq!(behind.keys("").collect::<Vec<_>>(), ["kept"]);
    // A replica that has read all changes up to a full copy knows what is gone since.
    behind.apply(changes(vec![entry("kept", Some("2"), 15)], 15, true));
    assert!(!behind.changes(Revision(12)).is_whole);
    assert!(behind.changes(Revision(13)).is_whole);
}
