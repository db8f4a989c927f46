use compact_str::CompactString;
use gooseberry_kernel::request::continuation::Content;
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

/// Returns what is forwarded of these bytes, and the fault that ends it.
fn forward(events: &mut EventBuffer, text: &str) -> (String, Option<Fault>) {
    let mut forwarded = Vec::new();
    for byte in text.bytes() {
        match events.push(&[byte]) {
            Ok(complete) => forwarded.extend(complete),
            Err(fault) => return (String::from_utf8_lossy(&forwarded).into(), Some(fault)),
        }
    }
    (String::from_utf8_lossy(&forwarded).into(), None)
}

#[test]
fn all_forms_of_events_are_forwarded() {
    for (text, complete) in [
        ("weight-versions: 3\nid: 1\ndata: a\n\n", 1),
        ("\u{feff}id: 1\rdata\r\rid: 2\r\r", 2),
        ("\u{feff}: wait\n\nid:1\nevent: x\nx_1.a:\n\n\n", 1),
        ("retry: 100\n\nid: 1\n\r\nid: 2\r\n\n", 2),
        ("data: HTTP/1.1 500 Error\nid\n\ndata: [DONE]\n\n", 2),
    ] {
        for mut events in [EventBuffer::default(), EventBuffer::after(Some("0".into()))] {
            // The ids that follow a number are numbers.
            if text.contains("id\n") && events.last_id().is_some() {
                continue;
            }
            assert_eq!(forward(&mut events, text), (text.to_owned(), None));
            assert!(events.is_at_event_boundary(), "{text:?}");
            assert_eq!(events.complete(), complete, "{text:?}");
        }
    }
}

#[test]
fn bytes_that_are_no_events_are_not_forwarded() {
    let sound = "id: 1\ndata: a\n\n: wait\n\n";
    for text in [
        "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Service: none\r\n",
        "Content-Type: text/plain\r\n\r\n",
        "error: no memory\n\n",
        "engine failed\n\nid: 2\n\n",
        "{\"error\": \"no memory\"}\n",
        "id: 2\ndata: b\nengine failed\n\n",
        "\u{feff}id: 2\n\n",
    ] {
        let mut events = EventBuffer::default();
        let all = format!("{sound}{text}");
        let found = forward(&mut events, &all);
        // The fault of the last line shows at the next byte, or at the end of the reply.
        assert_eq!(found.0, sound, "{text:?}");
        assert!(!events.is_at_event_boundary(), "{text:?}");
        assert_eq!(events.push(b"\n"), Err(Fault::Malformed), "{text:?}");
    }
}

#[test]
fn a_target_goes_on_with_an_event_that_has_an_id() {
    let begun = |text: &str| {
        let mut events = EventBuffer::default();
        assert_eq!(forward(&mut events, text).1, None);
        events.discard_partial();
        events
    };
    let all_have_ids = begun("id: 1\n\nid: 2\n\n");
    let not_all = begun("data: x\n\nid: 2\n\n");
    let of_client = EventBuffer::after(Some("2".into()));
    for (text, fault) in [
        ("data: no memory\n\n", Some(Fault::WithoutId)),
        ("id: none\ndata: a\n\n", Some(Fault::WithoutId)),
        ("id\ndata: a\n\n", Some(Fault::WithoutId)),
        ("retry: 9\n\ndata: a\nid: 3\n\ndata: [DONE]\n\n", None),
    ] {
        for mut events in [all_have_ids.clone(), of_client.clone()] {
            assert_eq!(forward(&mut events, text).1, fault, "{text}");
        }
    }
    assert_eq!(forward(&mut not_all.clone(), "data: y\n\n").1, None);
    // A byte order mark would hide the first field from the client.
    let marked = forward(&mut all_have_ids.clone(), "\u{feff}id: 3\n\n");
    assert_eq!(marked, ("id: 3\n\n".to_owned(), None));
}

#[test]
fn a_reply_without_an_event_ends_a_stream_only_if_it_is_known_to() {
    use Content::Events;
    use Content::Unknown;
    let new = EventBuffer::default();
    let mut begun = EventBuffer::default();
    begun.push(b"id: 2\n\n").expect("it is in order");
    assert!(!begun.is_cut_before_first_event(false, Unknown));
    begun.discard_partial();
    begun.push(b": wait\n\n").expect("it is a comment");
    let of_client = EventBuffer::after(Some("2".into()));
    for (events, is_framed, content, is_cut) in [
        (&new, true, Unknown, false),
        (&new, false, Events, true),
        (&begun, true, Events, false),
        (&begun, true, Unknown, true),
        (&begun, false, Events, true),
        (&of_client, true, Events, false),
        (&of_client, false, Events, true),
    ] {
        let found = events.is_cut_before_first_event(is_framed, content);
        assert_eq!(found, is_cut, "{events:?} {is_framed} {content:?}");
    }
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
