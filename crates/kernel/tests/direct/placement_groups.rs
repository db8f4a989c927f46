use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::placement;
use gooseberry_kernel::name;
use gooseberry_kernel::request::routing_table::Engine;
use gooseberry_kernel::request::routing_table::Service;
use gooseberry_kernel::request::routing_table::ServiceKind;

fn service(kind: ServiceKind) -> Service {
    Service {
        name: name::Service::new("s"),
        max_connections: 6,
        cold_requests_per_second: 0,
        cold_period: Millis::ZERO,
        kind,
    }
}

/// Deployments with few engines and large batches, or models that read prompts fast, keep
/// the choice by prefix.
#[test]
fn placement_applies_to_many_engines_that_read_slowly_only() {
    let engine_of = |slots, token_bytes| {
        service(ServiceKind::Engine(Engine {
            slots,
            memory_tokens: None,
            stride: 9,
            token_bytes,
        }))
    };
    let engine = |slots| engine_of(slots, 163_840);
    assert!(!placement::applies(&engine_of(16, 18_432), 140));
    assert!(!placement::applies(&engine_of(16, 0), 140));
    assert!(placement::applies(&engine(16), 140));
    assert!(placement::applies(&engine(16), 64));
    assert!(!placement::applies(&engine(16), 63));
    assert!(!placement::applies(&engine(100), 18));
    assert!(!placement::applies(&engine(u32::MAX), 140));
    assert!(!placement::applies(&service(ServiceKind::Plain), 140));
}

/// A placer answers for at most some 160 engines. A further group must not move the
/// sessions of the others, which would lose what is cached for them.
#[test]
fn groups_are_even_and_a_further_one_moves_only_its_part() {
    let counts = [0, 1, 140, 160, 161, 1_000].map(placement::group_count);
    assert_eq!(counts, [0, 1, 1, 1, 2, 7]);
    let mut sizes = [0_u32; 4];
    let mut moved = 0;
    for session in 0..4_000_u64 {
        let before = placement::group_of_request(Some(session), 1, 3);
        let after = placement::group_of_request(Some(session), 2, 4);
        assert!(after == before || after == 3, "from {before} to {after}");
        moved += u32::from(after != before);
        sizes[usize::try_from(after).expect("it is below 4")] += 1;
    }
    assert!(
        sizes.iter().all(|size| (850..1_150).contains(size)),
        "{sizes:?}"
    );
    assert_eq!(moved, sizes[3]);
    assert_eq!(placement::group_of_request(Some(7), 1, 0), 0);
    let target = name::Target::new("t-1");
    assert!(placement::group_of_target(&target, 4) < 4);
    let draws = (0..100).map(|draw| placement::group_of_request(None, draw, 4));
    assert!(
        draws.max() == Some(3),
        "requests without a prefix use all groups"
    );
    let service = name::Service::new("s");
    assert_eq!(placement::role(&service, 2).as_str(), "s/2");
}
