use gooseberry_kernel::fleet::mirror::Changes;
use gooseberry_kernel::fleet::mirror::Entry;
use gooseberry_kernel::fleet::mirror::Revision;
use gooseberry_kernel::fleet::replica::Contents;
use gooseberry_kernel::fleet::replica::Era;
use gooseberry_kernel::fleet::replica::Position;
use gooseberry_kernel::fleet::replica::Replica;
use gooseberry_kernel::hash;

fn position(era: u64, revision: u64) -> Position {
    Position {
        era: Some(Era(era)),
        revision: Revision(revision),
    }
}

fn entry(key: &str, value: Option<&str>, revision: u64) -> Entry {
    Entry {
        key: key.into(),
        value: value.map(|value| value.as_bytes().to_vec()),
        revision: Revision(revision),
    }
}

fn contents(era: u64, entries: Vec<Entry>, through: u64, is_whole: bool) -> Contents {
    let changes = Changes {
        entries,
        outlines: Vec::new(),
        through: Revision(through),
        is_whole,
    };
    Contents::of(Some(Era(era)), changes)
}

/// Returns a replica in an era with these entries, which it has read from the store.
fn replica(era: u64, entries: Vec<Entry>, through: u64) -> Replica {
    let mut replica = Replica::default();
    replica.apply(contents(era, entries, through, true));
    replica
}

#[test]
fn contents_of_a_later_era_replace_those_with_higher_revisions() {
    let known = vec![entry("a", Some("new"), 100), entry("b", Some("1"), 95)];
    let mut replica = replica(1, known, 100);
    let copy = vec![entry("a", Some("old"), 50), entry("c", Some("1"), 91)];
    let update = replica.apply(contents(2, copy, 92, true));
    assert!(update.is_return);
    assert_eq!(update.keys, ["a", "b", "c"]);
    assert_eq!(replica.position(), position(2, 92));
    assert_eq!(replica.mirror().get("a"), Some(&b"old"[..]));
    // What a peer or a late answer still tells of the former era counts no more.
    let late = contents(1, vec![entry("a", Some("new"), 101)], 101, false);
    assert!(replica.apply(late).keys.is_empty());
    let update = replica.apply(contents(2, vec![entry("a", Some("new"), 93)], 93, false));
    assert_eq!((update.keys, update.is_return), (vec!["a".into()], false));
}

#[test]
fn only_entries_above_the_first_revision_of_an_era_are_certainly_written_in_it() {
    let mut replica = replica(1, vec![entry("a", Some("1"), 9)], 9);
    let first = contents(1, vec![entry("a", Some("2"), 10)], 10, false);
    assert!(replica.apply(first).rewritten.is_empty());
    replica.apply(contents(2, vec![entry("a", Some("1"), 5)], 7, true));
    let copied = entry("b", Some("1"), 7);
    let rewritten = entry("a", Some("1"), 8);
    let update = replica.apply(contents(2, vec![copied, rewritten], 8, false));
    assert_eq!(update.rewritten, ["a"]);
    assert_eq!(update.keys, ["b"]);
}

#[test]
fn a_peer_passes_a_later_era_on_call_by_call() {
    let values: Vec<String> = (0..40)
        .map(|index| format!("{index}").repeat(4_000))
        .collect();
    let entries = values.iter().zip(1..);
    let entries =
        entries.map(|(value, revision)| entry(&format!("k{revision}"), Some(value), revision));
    let ahead = replica(2, entries.collect(), 41);
    let mut behind = replica(1, vec![entry("k1", Some("old"), 90)], 99);
    let behind_request = behind.request(position(1, 100));
    let mut calls = 0;
    while behind.position() < ahead.position() {
        let request = behind.request(ahead.position());
        // Nothing of the later era is in force before all of it is known.
        assert_eq!(behind.mirror().get("k1"), Some(&b"old"[..]));
        behind.apply(ahead.contents(request));
        calls += 1;
        assert!(calls < 100, "the contents never end");
    }
    assert!(calls > 1);
    for key in ahead.mirror().keys("") {
        assert_eq!(behind.mirror().get(key), ahead.mirror().get(key));
    }
    // A peer that is still in the former era gets the contents from the first one on.
    let asked = ahead.contents(behind_request);
    assert!(asked.changes.entries.iter().any(|entry| entry.key == "k1"));
}

#[test]
fn chunks_of_large_values_are_kept_when_the_store_goes_back() {
    let text = |seed: u64| -> String {
        let words = (0..20_000).map(|index| format!("{:x} ", hash::mix(seed, index)));
        words.collect()
    };
    let (common, old) = (text(1), text(2));
    let ahead = replica(2, vec![entry("large", Some(&(old + &common)), 5)], 9);
    let mut behind = replica(1, vec![entry("large", Some(&common), 50)], 50);
    let update = behind.apply(ahead.contents(behind.request(ahead.position())));
    assert!(update.is_return);
    // The former value holds until the other one is whole.
    assert!(update.keys.is_empty());
    assert!(behind.whole_position() < behind.position());
    let mut fetched = 0;
    while behind.whole_position() < behind.position() {
        let chunks = ahead.mirror().chunks(&behind.mirror().missing_chunks());
        fetched += chunks.iter().map(Vec::len).sum::<usize>();
        behind.add_chunks(&chunks);
    }
    assert_eq!(behind.mirror().get("large"), ahead.mirror().get("large"));
    assert!(fetched < common.len() + (32 << 10), "{fetched} bytes");
}

/// Peers of a former build name no era.
#[test]
fn a_peer_without_an_era_counts_until_the_store_goes_back() {
    let mut replica = replica(4, Vec::new(), 7);
    let theirs = replica.position_of_peer(None, Revision(9));
    assert_eq!(theirs, Some(position(4, 9)));
    replica.apply(contents(5, Vec::new(), 3, true));
    assert_eq!(replica.position_of_peer(None, Revision(9)), None);
    let theirs = replica.position_of_peer(Some(Era(4)), Revision(9));
    assert!(theirs < Some(replica.position()));
}

#[test]
fn replicas_converge_over_returns_of_the_store_in_any_order_of_exchange() {
    arbtest::arbtest(|draw| {
        let mut store = (1, Vec::<Entry>::new(), 1);
        let mut replicas = vec![Replica::default(); 4];
        for _ in 0..draw.int_in_range(10..=60)? {
            let (era, entries, revision) = &mut store;
            match draw.int_in_range(0..=6)? {
                0 if *revision > 3 => {
                    *revision -= draw.int_in_range(1..=3)?;
                    entries.retain(|entry| entry.revision.0 <= *revision);
                    *era += 1;
                }
                0..=3 => {
                    *revision += 1;
                    let key = ["a", "b", "c"][draw.choose_index(3)?];
                    let value = draw.ratio(2, 3)?.then(|| format!("{era}-{revision}"));
                    entries.push(entry(key, value.as_deref(), *revision));
                }
                4 => {
                    let reader = draw.choose_index(4)?;
                    read(&mut replicas[reader], &store);
                }
                _ => {
                    let (from, to) = (draw.choose_index(4)?, draw.choose_index(4)?);
                    let source = replicas[from].clone();
                    let before = replicas[to].position();
                    if source.position() > before {
                        let request = replicas[to].request(source.position());
                        replicas[to].apply(source.contents(request));
                    }
                    assert!(replicas[to].position() >= before.max(source.position()));
                }
            }
        }
        for replica in &mut replicas {
            read(replica, &store);
            for key in ["a", "b", "c"] {
                let last = store.1.iter().rev().find(|entry| entry.key == key);
                let value = last.and_then(|entry| entry.value.as_deref());
                assert_eq!(
                    replica.mirror().get(key),
                    value,
                    "{key} {store:?} {replica:?}"
                );
            }
        }
        Ok(())
    })
    .budget_ms(300);
}

/// Reads the store as a daemon does: in full in another era, and else the changes.
fn read(replica: &mut Replica, (era, entries, revision): &(u64, Vec<Entry>, u64)) {
    let is_whole = replica.position().era != Some(Era(*era));
    let after = replica.position().revision;
    let last = |entry: &Entry| {
        let same = entries.iter().rev().find(|other| other.key == entry.key);
        same.is_some_and(|same| same.revision == entry.revision)
    };
    let seen = entries.iter().filter(|entry| {
        if is_whole {
            entry.value.is_some() && last(entry)
        } else {
            entry.revision > after
        }
    });
    replica.apply(contents(*era, seen.cloned().collect(), *revision, is_whole));
}
