use gooseberry_kernel::fleet::chunks;
use gooseberry_kernel::fleet::chunks::LARGE_VALUE_MIN;
use gooseberry_kernel::fleet::chunks::Outline;
use gooseberry_kernel::fleet::chunks::Partial;
use gooseberry_kernel::fleet::mirror::Changes;
use gooseberry_kernel::fleet::mirror::Entry;
use gooseberry_kernel::fleet::mirror::Mirror;
use gooseberry_kernel::fleet::mirror::Revision;
use gooseberry_kernel::hash;

/// Returns a value whose bytes do not repeat, of this length.
pub fn value(seed: u64, length: usize) -> Vec<u8> {
    let words = (0..).flat_map(|index| hash::mix(seed, index).to_le_bytes());
    words.take(length).collect()
}

fn entry(key: &str, value: Option<Vec<u8>>, revision: u64) -> Entry {
    Entry {
        key: key.into(),
        value,
        revision: Revision(revision),
    }
}

fn changes(entries: Vec<Entry>, through: u64) -> Changes {
    Changes {
        entries,
        outlines: Vec::new(),
        through: Revision(through),
        is_whole: false,
    }
}

/// Fetches all missing chunks from a mirror; returns their bytes.
fn fetch_all(to: &mut Mirror, from: &Mirror) -> usize {
    let mut bytes = 0;
    loop {
        let missing = to.missing_chunks();
        if missing.is_empty() {
            return bytes;
        }
        let chunks = from.chunks(&missing);
        assert_eq!(chunks.len(), missing.len());
        bytes += chunks.iter().map(Vec::len).sum::<usize>();
        to.add_chunks(&chunks);
    }
}

#[test]
fn the_slices_of_an_outline_are_the_value() {
    let whole = value(1, 300_000);
    let outline = Outline::of(&"a".into(), Revision(1), &whole);
    assert!(outline.chunks.len() > 10);
    let mut partial = Partial::new(outline.clone());
    assert_eq!(partial.assemble(), None);
    for (chunk, bytes) in outline.slices(&whole) {
        assert_eq!(chunk, chunks::chunk_of(bytes));
        partial.insert(chunk, bytes);
    }
    assert_eq!(partial.assemble(), Some(whole));
}

#[test]
fn a_call_asks_for_a_bounded_number_of_bytes() {
    let whole = value(2, 2_000_000);
    let outline = Outline::of(&"a".into(), Revision(1), &whole);
    let partial = Partial::new(outline.clone());
    let asked = partial.missing();
    let is_asked = |chunk: &&chunks::Chunk| asked.contains(&chunk.digest);
    let bytes = outline.chunks.iter().filter(is_asked);
    let bytes: usize = bytes.map(|chunk| chunk.length).sum();
    assert!((1..=chunks::CALL_BYTES_MAX).contains(&bytes), "{bytes}");
}

#[test]
fn a_small_change_of_a_large_value_is_a_small_transfer() {
    let mut source = Mirror::default();
    let mut copy = Mirror::default();
    let former = value(3, 1_300_000);
    source.apply(changes(vec![entry("a", Some(former.clone()), 2)], 2));
    copy.apply(source.changes(copy.through()));
    assert_eq!(fetch_all(&mut copy, &source), former.len());
    // The change moves all bytes after it.
    let mut latter = b"longer".to_vec();
    latter.extend_from_slice(&former);
    latter.extend_from_slice(&value(4, 10_000));
    source.apply(changes(vec![entry("a", Some(latter.clone()), 3)], 3));
    copy.apply(source.changes(copy.through()));
    let fetched = fetch_all(&mut copy, &source);
    assert!(fetched < 60_000, "{fetched} bytes were fetched");
    assert_eq!(copy.get("a"), Some(&latter[..]));
}

#[test]
fn other_entries_do_not_wait_for_a_large_value() {
    let mut source = Mirror::default();
    let mut copy = Mirror::default();
    let former = value(5, 100_000);
    source.apply(changes(vec![entry("a", Some(former.clone()), 2)], 2));
    copy.apply(source.changes(copy.through()));
    fetch_all(&mut copy, &source);
    let latter = value(6, 100_000);
    let both = vec![
        entry("a", Some(latter.clone()), 3),
        entry("b", Some(b"new".to_vec()), 4),
    ];
    source.apply(changes(both, 4));
    assert_eq!(copy.apply(source.changes(copy.through())), ["b"]);
    assert_eq!(copy.get("a"), Some(&former[..]));
    assert_eq!(copy.through(), Revision(4));
    // It does not pass on what it does not have.
    assert_eq!(copy.whole_through(), Revision(2));
    // Chunks that were fetched before a call failed are not fetched again.
    let first = copy.missing_chunks();
    assert!(copy.add_chunks(&source.chunks(&first)).is_empty());
    assert!(
        copy.missing_chunks()
            .iter()
            .all(|chunk| !first.contains(chunk))
    );
    fetch_all(&mut copy, &source);
    assert_eq!(copy.get("a"), Some(&latter[..]));
    assert_eq!(copy.whole_through(), Revision(4));
}

#[test]
fn a_removed_or_replaced_value_is_not_completed() {
    let mut source = Mirror::default();
    source.apply(changes(vec![entry("a", Some(value(7, 100_000)), 2)], 2));
    let mut copy = Mirror::default();
    copy.apply(source.changes(Revision::default()));
    copy.apply(changes(vec![entry("a", None, 3)], 3));
    assert!(copy.missing_chunks().is_empty());
    assert_eq!(copy.get("a"), None);
    // An older outline changes nothing.
    copy.apply(source.changes(Revision::default()));
    assert!(copy.missing_chunks().is_empty());
    assert_eq!(copy.get("a"), None);
    // A full copy without the key ends the transfer, too.
    let mut behind = Mirror::default();
    behind.apply(source.changes(Revision::default()));
    let mut empty = changes(Vec::new(), 9);
    empty.is_whole = true;
    behind.apply(empty);
    assert!(behind.missing_chunks().is_empty());
}

#[test]
fn mirrors_converge_though_chunks_are_lost_and_values_change_meanwhile() {
    arbtest::arbtest(|draw| {
        let mut source = Mirror::default();
        let mut copies = [Mirror::default(), Mirror::default()];
        let mut revision = 1;
        for _ in 0..20 {
            revision += 1;
            let key = ["a", "b"][draw.choose_index(2)?];
            let length = *draw.choose(&[10, LARGE_VALUE_MIN, 3 * LARGE_VALUE_MIN])?;
            let content = draw.ratio(4, 5)?.then(|| value(revision % 3, length));
            source.apply(changes(vec![entry(key, content, revision)], revision));
            for index in 0..2 {
                let [first, second] = &mut copies;
                let (copy, other) = if index == 0 {
                    (first, second)
                } else {
                    (second, first)
                };
                let from = if draw.ratio(1, 2)? { &source } else { &*other };
                if draw.ratio(2, 3)? {
                    copy.apply(from.changes(copy.through()));
                }
                let mut chunks = from.chunks(&copy.missing_chunks());
                chunks.truncate(draw.choose_index(6)?);
                copy.add_chunks(&chunks);
                assert!(copy.whole_through() <= copy.through());
            }
        }
        for copy in &mut copies {
            copy.apply(source.changes(copy.through()));
            fetch_all(copy, &source);
            assert_eq!(copy.whole_through(), source.through());
            for key in ["a", "b"] {
                assert_eq!(copy.get(key), source.get(key));
            }
        }
        Ok(())
    })
    .budget_ms(500);
}

#[test]
fn a_daemon_that_is_far_behind_catches_up_in_bounded_calls() {
    let mut source = Mirror::default();
    for number in 0..3_300 {
        let key = format!("servers/{number}");
        let content = value(number, 250);
        source.apply(changes(
            vec![entry(&key, Some(content), number + 2)],
            number + 2,
        ));
    }
    source.apply(changes(
        vec![entry("a", Some(value(1, 500_000)), 4_000)],
        4_000,
    ));
    let mut copy = Mirror::default();
    let mut calls = 0;
    while copy.through() < source.through() {
        let page = source.changes(copy.through());
        let sizes = page.entries.iter();
        let sizes = sizes.map(|entry| entry.value.as_ref().map_or(0, Vec::len));
        assert!(sizes.sum::<usize>() <= chunks::CALL_BYTES_MAX);
        assert!(page.through > copy.through());
        copy.apply(page);
        calls += 1;
    }
    assert!((13..=16).contains(&calls), "{calls} calls");
    fetch_all(&mut copy, &source);
    for number in 0..3_300 {
        let key = format!("servers/{number}");
        assert_eq!(copy.get(&key), source.get(&key));
    }
    assert_eq!(copy.get("a"), source.get("a"));
}
