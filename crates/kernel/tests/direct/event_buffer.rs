use compact_str::CompactString;
use gooseberry_kernel::request::event_buffer::EVENT_MAX_BYTES;
use gooseberry_kernel::request::event_buffer::EventBuffer;
use gooseberry_kernel::request::event_buffer::FILLER_MAX_BYTES;
use gooseberry_kernel::request::event_buffer::Fault;

#[test]
fn forwards_only_complete_events_for_any_chunking() {
    let text = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    arbtest::arbtest(|draw| {
        let mut events = EventBuffer::default();
        let mut forwarded = Vec::new();
        let mut rest = &text[..];
        while !rest.is_empty() {
            let length = draw.int_in_range(1..=rest.len())?;
            let (part, after) = rest.split_at(length);
            let complete = events.push(part).expect("the events are short");
            assert!(
                complete.is_empty()
                    || complete.ends_with(b"\n\n")
                    || complete.ends_with(b"\r\n\r\n")
            );
            forwarded.extend(complete);
            rest = after;
        }
        assert_eq!(forwarded, text);
        assert!(events.is_at_event_boundary());
        assert_eq!(events.count(), 3);
        assert_eq!(events.last_id().map(CompactString::as_str), Some("3"));
        Ok(())
    })
    .budget_ms(200);
}

#[test]
fn discards_partial_event_and_resumes_after_the_last_complete_one() {
    let mut events = EventBuffer::default();
    let complete = events
        .push(b"id: 7\ndata: a\n\nid: 8\nda")
        .expect("the event is short");
    assert_eq!(complete, b"id: 7\ndata: a\n\n");
    assert!(!events.is_at_event_boundary());
    events.discard_partial();
    assert_eq!(events.last_id().map(CompactString::as_str), Some("7"));
    let complete = events
        .push(b"id: 8\ndata: b\n\n")
        .expect("the event is short");
    assert_eq!(complete, b"id: 8\ndata: b\n\n");
    assert_eq!(events.count(), 2);
}

#[test]
fn rejects_event_above_the_size_limit() {
    let mut events = EventBuffer::default();
    assert_eq!(
        events.push(&vec![b'x'; EVENT_MAX_BYTES + 1]),
        Err(Fault::TooLong)
    );
}

#[test]
fn comments_are_no_events() {
    // A stalled target that sends comments would count as one that makes progress.
    let mut events = EventBuffer::default();
    for (text, complete) in [
        (": wait\n\n", 0),
        ("\n\n", 0),
        (":\r\n\r\n", 0),
        ("data: a\n\n", 1),
        (": wait\ndata: b\n\n: wait\n\nid: 3\r\n\r\n", 3),
    ] {
        let forwarded = events.push(text.as_bytes()).expect("it is short");
        assert_eq!(forwarded, text.as_bytes());
        assert_eq!(events.complete(), complete, "{text}");
    }
}

#[test]
fn events_that_step_back_are_not_forwarded_for_any_chunking() {
    let sound = b"id: 3\ndata: a\n\ndata: b\n\nid: 10\n\n";
    let text = [&sound[..], b"event: x\nid: 9\ndata: c\n\nid: 11\n\n"].concat();
    arbtest::arbtest(|draw| {
        let mut events = EventBuffer::after(Some("2".into()));
        let mut forwarded = Vec::new();
        let mut rest = &text[..];
        while !rest.is_empty() {
            let length = draw.int_in_range(1..=rest.len())?;
            let (part, after) = rest.split_at(length);
            match events.push(part) {
                Ok(complete) => forwarded.extend(complete),
                Err(fault) => assert_eq!(fault, Fault::OutOfOrder),
            }
            rest = after;
        }
        assert_eq!(forwarded, sound);
        assert!(!events.is_at_event_boundary());
        assert_eq!(events.last_id().map(CompactString::as_str), Some("10"));
        events.discard_partial();
        let next = events.push(b"id: 11\n\n").expect("it is in order");
        assert_eq!(next, b"id: 11\n\n");
        Ok(())
    })
    .budget_ms(200);
}

#[test]
fn ids_that_are_no_numbers_have_no_order() {
    let mut events = EventBuffer::after(Some("b".into()));
    let text = b"id: a\n\nid: 7\n\nid: x3\n\nid: 1\n\n";
    assert_eq!(events.push(text), Ok(text.to_vec()));
    assert_eq!(events.push(b"id: 1\n\n"), Err(Fault::OutOfOrder));
}

#[test]
fn comments_without_end_are_a_fault_for_any_chunking() {
    for filler in [&b": wait\n\n"[..], b"\n", b"\r\n", b":\n: a\r\n\r\n"] {
        let times = FILLER_MAX_BYTES / filler.len();
        for chunk in [1_000, FILLER_MAX_BYTES] {
            let mut events = EventBuffer::default();
            let mut forwarded = 0;
            // Events in between make any number of comments sound.
            let sound = [&filler.repeat(times / 2)[..], b"data: a\n\n"].concat();
            for part in sound.repeat(4).chunks(chunk) {
                forwarded += events.push(part).expect("it is sound").len();
            }
            let endless = filler.repeat(times * 2 + 2);
            let result = endless
                .chunks(chunk)
                .find_map(|part| events.push(part).err());
            assert_eq!(result, Some(Fault::NoEvents), "{filler:?}");
            events.discard_partial();
            assert_eq!(events.push(b"data: b\n\n"), Ok(b"data: b\n\n".to_vec()));
            assert!(forwarded >= sound.len() * 3);
        }
    }
}
