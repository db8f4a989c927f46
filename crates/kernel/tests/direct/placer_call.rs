use std::net::SocketAddr;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::placer_call::Outbox;
use gooseberry_kernel::fleet::placer_call::REPORTS_MAX;
use gooseberry_kernel::fleet::placer_call::Report;
use gooseberry_kernel::fleet::placer_call::Silences;
use gooseberry_kernel::name;
use gooseberry_kernel::target::placement::End;
use gooseberry_kernel::target::placement::Finish;

fn placer(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn report(number: u32) -> Report {
    Report {
        service: name::Service::new("engine"),
        group: 0,
        finish: Finish {
            attempt: name::Attempt::new("a"),
            target: name::Target::new("t"),
            first: None,
            events: number,
            took: Millis::ZERO,
            longest_gap: Millis::ZERO,
            slowness_percent: None,
            end: End::Complete,
        },
    }
}

/// Every request would otherwise wait for a placer that is gone.
#[test]
fn a_placer_that_did_not_answer_is_not_asked_for_a_while() {
    let mut silences = Silences::default();
    silences.record(placer(1), Millis(1_000));
    assert!(!silences.may_ask(placer(1), Millis(1_499)));
    assert!(silences.may_ask(placer(1), Millis(1_500)));
    assert!(silences.may_ask(placer(2), Millis(1_000)));
}

#[test]
fn reports_go_to_each_placer_in_few_calls_of_limited_size() {
    let mut outbox = Outbox::default();
    for number in 0..300 {
        outbox.push(placer(1), report(number));
    }
    outbox.push(placer(2), report(7));
    let due = outbox.take_due(Millis(1_000));
    let sizes: Vec<usize> = due.iter().map(|(_, reports)| reports.len()).collect();
    assert_eq!(sizes, [REPORTS_MAX, 1]);
    assert!(outbox.take_due(Millis(1_099)).is_empty());
    let due = outbox.take_due(Millis(1_100));
    assert_eq!(due.len(), 1);
    assert_eq!(due[0].1[0].finish.events, 256);
    assert_eq!(due[0].1.len(), 44);
}
