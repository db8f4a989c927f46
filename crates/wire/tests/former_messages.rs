//! Checks that the calls of the last landed build are encoded and read as it does, since
//! fleets are updated one daemon after the other.
//!
//! `former_messages.txt` has the bytes of each of its calls and replies, as that build encoded
//! them. After a landing, `FORMER_MESSAGES=print` prints the bytes of this build.

#![allow(missing_docs, clippy::unwrap_used)]

use std::fmt::Write;
use std::net::SocketAddr;
use std::pin::pin;

use gooseberry_wire::control::Suspect;
use gooseberry_wire::fleet::Announcement;
use gooseberry_wire::fleet::Changes;
use gooseberry_wire::fleet::Contents;
use gooseberry_wire::fleet::ContentsRequest;
use gooseberry_wire::fleet::Entry;
use gooseberry_wire::fleet::Exchange;
use gooseberry_wire::fleet::FleetRequest;
use gooseberry_wire::fleet::FleetResponse;
use gooseberry_wire::fleet::Greeting;
use gooseberry_wire::fleet::Group;
use gooseberry_wire::fleet::Heartbeat;
use gooseberry_wire::fleet::Keeper;
use gooseberry_wire::fleet::Made;
use gooseberry_wire::fleet::Member;
use gooseberry_wire::fleet::Near;
use gooseberry_wire::fleet::Origin;
use gooseberry_wire::fleet::Outline;
use gooseberry_wire::fleet::PartEvidence;
use gooseberry_wire::fleet::Process;
use gooseberry_wire::fleet::RateLimit;
use gooseberry_wire::fleet::Source;
use gooseberry_wire::fleet::Unmade;
use gooseberry_wire::fleet::Wait;
use gooseberry_wire::fleet::placement::Demand;
use gooseberry_wire::fleet::placement::End;
use gooseberry_wire::fleet::placement::Finish;
use gooseberry_wire::fleet::placement::NotPlaced;
use gooseberry_wire::fleet::placement::Placed;
use gooseberry_wire::fleet::placement::Placement;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::tokio_serde::Deserializer;
use tarpc::tokio_serde::Serializer;
use tarpc::tokio_serde::formats::Bincode;

const RECORDED: &str = include_str!("former_messages.txt");

fn encode<T: Serialize + DeserializeOwned>(message: &T) -> String {
    let codec = pin!(Bincode::<T, T>::default());
    let bytes = codec.serialize(message).unwrap();
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").unwrap();
        text
    })
}

/// Returns the bytes that this build writes for a message that it has read.
fn read_and_encode<T: Serialize + DeserializeOwned>(text: &str) -> String {
    let byte = |index| u8::from_str_radix(&text[index..index + 2], 16).unwrap();
    let bytes: Vec<u8> = (0..text.len()).step_by(2).map(byte).collect();
    let codec = pin!(Bincode::<T, T>::default());
    let message: T = codec.deserialize(&bytes[..].into()).unwrap();
    encode(&message)
}

fn address() -> SocketAddr {
    ([10, 1, 0, 7], 8003).into()
}

fn greeting() -> Greeting {
    let member = Member {
        name: "d-1".into(),
        incarnation: 1_700_000_000_000,
        beat: 7,
        address: address(),
        strength: 250,
        is_leaving: true,
    };
    Greeting {
        from: member.clone(),
        others: vec![member],
        through: 530,
        confirmed_ms: 120,
        waits: vec![Wait {
            service: "first".into(),
            waits_ms: [5; 9],
            late_ms: 900,
        }],
        suspects: vec![Suspect {
            digest: [3; 32],
            crashes: 2,
            cleared: 1,
            age_ms: 40,
        }],
        rate_limits: vec![RateLimit {
            target: "t-1".into(),
            started: 1_700,
            per_second_thousandths: Some(2_500),
            age_ms: 9,
        }],
    }
}

fn exchange() -> Exchange {
    Exchange {
        greeting: greeting(),
        era: Some(3),
        parts: vec![PartEvidence {
            part: 77,
            depth: 1,
            runs: vec![(5, 6)],
            answer_age_ms: Some(8),
            seen_age_ms: 9,
            trials: 2,
        }],
    }
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        exchange: exchange(),
        announcement: Announcement {
            address: Some(address()),
            unreached: vec!["second".into()],
        },
    }
}

fn changes() -> Changes {
    Changes {
        entries: vec![Entry {
            key: "servers/t-1".into(),
            value: Some(vec![1, 2]),
            revision: 411,
        }],
        through: 412,
        is_whole: true,
        outlines: vec![Outline {
            key: "op/config".into(),
            revision: 400,
            chunks: vec![([9; 32], 65_536)],
        }],
    }
}

fn group() -> Group {
    Group {
        service: "first".into(),
        asker: Process {
            address: address(),
            incarnation: 4,
        },
        attempt: "a-1".into(),
        stage: 1,
        pieces: vec![0, 3],
        source: Source::Inputs(vec!["10.0.0.1:80/1".into()]),
        bytes: 800,
        rank: 4,
        on_time_ms: 100,
        until_ms: 200,
        inputs_until_ms: 300,
        near: Some(Near {
            domain: "z-1".into(),
            bytes: 9,
        }),
        is_first: true,
        late_tail_ms: 5,
        keepers: vec![Keeper {
            service: "first".into(),
            address: address(),
            handles: vec!["10.0.0.1:80/1".into()],
        }],
    }
}

fn origin() -> Origin {
    Origin {
        service: "engine".into(),
        version: "v1".into(),
    }
}

fn placement() -> Placement {
    Placement {
        service: "engine".into(),
        group: 1,
        attempt: "a-1".into(),
        route: "r-1".into(),
        rank: 2,
        demand: Demand {
            prompt_tokens: 100,
            parts: vec![(7, 60)],
            max_output_tokens: 20,
            output_hint: Some(10),
        },
        affinity: Some(5),
        gap_ms: 300,
        left_ms: 900,
        preferred_domain: Some("z-1".into()),
        excluded: vec!["t-2".into()],
    }
}

fn finish() -> Finish {
    Finish {
        service: "engine".into(),
        group: 1,
        attempt: "a-1".into(),
        target: "t-1".into(),
        first_ms: Some(10),
        events: 3,
        took_ms: 50,
        longest_gap_ms: 20,
        slowness_percent: Some(140),
        end: End::Broken,
    }
}

fn requests() -> Vec<FleetRequest> {
    let attempt = || "a-1".into();
    vec![
        FleetRequest::Greet {
            greeting: greeting(),
        },
        FleetRequest::Changes { after: 411 },
        FleetRequest::Make { group: group() },
        FleetRequest::Free {
            service: "first".into(),
            handles: vec!["10.0.0.1:80/1".into()],
        },
        FleetRequest::Chunks {
            digests: vec![[9; 32]],
        },
        FleetRequest::BackUpOrigin {
            attempt: attempt(),
            origin: origin(),
        },
        FleetRequest::Origin { attempt: attempt() },
        FleetRequest::ProtocolVersion {},
        FleetRequest::Exchange {
            message: exchange(),
        },
        FleetRequest::Contents {
            request: ContentsRequest {
                era: Some(3),
                after: 1,
                since: 2,
                is_collecting: true,
            },
        },
        FleetRequest::Heartbeat {
            message: heartbeat(),
        },
        FleetRequest::Place {
            request: placement(),
        },
        FleetRequest::Finished {
            reports: vec![finish()],
        },
        FleetRequest::Ledger {
            service: "engine".into(),
            group: 1,
        },
    ]
}

fn responses() -> Vec<FleetResponse> {
    vec![
        FleetResponse::Greet(greeting()),
        FleetResponse::Changes(changes()),
        FleetResponse::Make(Ok(Made {
            handles: vec!["10.0.0.1:80/2".into()],
            domain: "z-1".into(),
            are_inputs_freed: true,
        })),
        FleetResponse::Make(Err(Unmade::Full(200))),
        FleetResponse::Make(Err(Unmade::Elsewhere)),
        FleetResponse::Free(()),
        FleetResponse::Chunks(vec![vec![1, 2, 3]]),
        FleetResponse::BackUpOrigin(()),
        FleetResponse::Origin(Some(origin())),
        FleetResponse::ProtocolVersion(3),
        FleetResponse::Exchange(exchange()),
        FleetResponse::Contents(Contents {
            era: Some(3),
            changes: changes(),
            after: 1,
            since: 2,
            end: 412,
            is_of_all: true,
        }),
        FleetResponse::Heartbeat(heartbeat()),
        FleetResponse::Place(Ok(Placed {
            target: "t-1".into(),
            wait_ms: 12,
            cached_tokens: 60,
        })),
        FleetResponse::Place(Err(NotPlaced::NoEngine)),
        FleetResponse::Finished(()),
        FleetResponse::Ledger(Vec::new()),
    ]
}

#[test]
fn the_calls_and_replies_of_the_former_build_are_written_and_read_as_it_does() {
    let requests: Vec<String> = requests().iter().map(encode).collect();
    let responses: Vec<String> = responses().iter().map(encode).collect();
    if std::env::var_os("FORMER_MESSAGES").is_some() {
        println!("{}", [&requests[..], &responses[..]].concat().join("\n"));
    }
    let recorded: Vec<&str> = RECORDED.lines().collect();
    assert_eq!(recorded.len(), requests.len() + responses.len());
    let (recorded_requests, recorded_responses) = recorded.split_at(requests.len());
    assert_eq!(requests, recorded_requests);
    assert_eq!(responses, recorded_responses);
    for text in recorded_requests {
        assert_eq!(read_and_encode::<FleetRequest>(text), *text);
    }
    for text in recorded_responses {
        assert_eq!(read_and_encode::<FleetResponse>(text), *text);
    }
}
