//! Checks that messages about placement keep what they say, and that malformed ones are
//! refused.

#![allow(missing_docs, clippy::unwrap_used)]

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::demand::Demand;
use gooseberry_kernel::request::demand::DemandPart;
use gooseberry_kernel::request::routing_table::Rank;
use gooseberry_kernel::target::placement;
use gooseberry_wire::fleet::placement::Finish;
use gooseberry_wire::fleet::placement::Malformed;
use gooseberry_wire::fleet::placement::Placed;
use gooseberry_wire::fleet::placement::Placement;

fn request() -> placement::Request {
    placement::Request {
        attempt: name::Attempt::new("a"),
        route: name::Route::new("r"),
        rank: Rank(2),
        demand: Demand {
            prompt_tokens: 100,
            parts: vec![DemandPart {
                chain: 7,
                tokens: 60,
            }],
            max_output_tokens: 20,
            output_hint: Some(10),
        },
        affinity: Some(5),
        gap_max: Millis(300),
        time_left: Millis(900),
        preferred_domain: Some(name::Domain::new("z-1")),
        excluded: vec![name::Target::new("t")],
    }
}

fn finish() -> placement::Finish {
    placement::Finish {
        attempt: name::Attempt::new("a"),
        target: name::Target::new("t"),
        first: Some(Millis(10)),
        events: 3,
        took: Millis(50),
        longest_gap: Millis(20),
        slowness_percent: Some(140),
        end: placement::End::Complete,
    }
}

#[test]
fn messages_keep_what_they_say() {
    let service = name::Service::new("engine");
    let message = Placement::new(&service, 1, &request());
    assert_eq!((message.service.as_str(), message.group), ("engine", 1));
    assert_eq!(message.try_into(), Ok(request()));
    let message = Finish::new(&service, 1, &finish());
    assert_eq!(message.try_into(), Ok(finish()));
}

#[test]
fn malformed_requests_are_refused() {
    type Change = fn(&mut Placement);
    let cases: [(Change, Malformed); 8] = [
        (|message| message.attempt = "".into(), Malformed::Name),
        (|message| message.rank = 9, Malformed::Rank),
        (
            |message| message.excluded = vec!["t".into(); 17],
            Malformed::Length,
        ),
        (|message| message.gap_ms = u64::MAX, Malformed::Duration),
        (|message| message.left_ms = 3_600_001, Malformed::Duration),
        (
            |message| message.demand.parts = vec![(1, 1); 65],
            Malformed::Demand,
        ),
        (
            |message| message.demand.parts[0].1 = u32::MAX,
            Malformed::Demand,
        ),
        (
            |message| message.demand.output_hint = Some(10_000_001),
            Malformed::Demand,
        ),
    ];
    for (change, why) in cases {
        let mut message = Placement::new(&name::Service::new("engine"), 0, &request());
        change(&mut message);
        assert_eq!(placement::Request::try_from(message), Err(why));
    }
}

#[test]
fn malformed_reports_are_refused() {
    type Change = fn(&mut Finish);
    let cases: [(Change, Malformed); 6] = [
        (|message| message.target = "".into(), Malformed::Name),
        (|message| message.took_ms = u64::MAX, Malformed::Duration),
        (|message| message.first_ms = Some(51), Malformed::Duration),
        (|message| message.longest_gap_ms = 51, Malformed::Duration),
        (
            |message| message.slowness_percent = Some(9),
            Malformed::Slowness,
        ),
        (
            |message| message.slowness_percent = Some(10_001),
            Malformed::Slowness,
        ),
    ];
    for (change, why) in cases {
        let mut message = Finish::new(&name::Service::new("engine"), 0, &finish());
        change(&mut message);
        assert_eq!(placement::Finish::try_from(message), Err(why));
    }
}

#[test]
fn malformed_answers_are_refused() {
    let placed = |target: &str, wait_ms, cached_tokens| Placed {
        target: target.into(),
        wait_ms,
        cached_tokens,
    };
    let decode = placement::Placed::try_from;
    assert_eq!(decode(placed("", 1, 1)), Err(Malformed::Name));
    assert_eq!(decode(placed("t", u64::MAX, 1)), Err(Malformed::Duration));
    assert_eq!(decode(placed("t", 1, u32::MAX)), Err(Malformed::Demand));
}
