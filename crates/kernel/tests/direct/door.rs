use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::request::door;
use gooseberry_kernel::request::door::Leg;
use gooseberry_kernel::request::door::RETURN_MIN;
use gooseberry_kernel::request::door::Verdict;
use gooseberry_kernel::request::table::Form;
use gooseberry_kernel::request::table::Pieces;

const PIECES: Pieces = Pieces {
    batch: 14,
    call_micros: 240_000,
    piece_micros: 15_000,
    room_bytes: 17_000_000,
    kept: Millis(4_000),
};

fn leg(wait: u64) -> Leg {
    Leg {
        wait: Millis(wait),
        pieces: PIECES,
        count: 2,
    }
}

#[test]
fn what_can_be_made_in_time_enters() {
    assert_eq!(door::decide(&[], Millis(200)), Verdict::Enter);
    assert_eq!(door::decide(&[leg(500)], Millis(1_000)), Verdict::Enter);
}

#[test]
fn what_cannot_be_made_is_refused_with_the_time_that_is_missing() {
    let Verdict::Refuse(span) = door::decide(&[leg(3_000), leg(0)], Millis(2_000)) else {
        panic!("4 s of stages do not fit into 2 s");
    };
    // 3 s of waiting, two calls of 270 ms and the way to the first byte.
    assert_eq!(span, Millis(3_000 + 540 + 150 - 2_000));
    let close = door::decide(&[leg(0)], Millis(419));
    assert_eq!(close, Verdict::Refuse(RETURN_MIN));
}

#[test]
fn a_daemon_that_is_ending_takes_only_what_can_end_in_time() {
    let objective = Millis(2_000);
    assert!(door::has_time_to_end(
        Form::Stream,
        objective,
        Millis(7_000)
    ));
    assert!(!door::has_time_to_end(
        Form::Stream,
        objective,
        Millis(1_500)
    ));
    assert!(door::has_time_to_end(
        Form::Plain,
        Millis(150),
        Millis(1_500)
    ));
    assert!(!door::has_time_to_end(
        Form::Plain,
        Millis(150),
        Millis(200)
    ));
}

/// Found by a hunt: a stream was taken with 3.94 s left and was cut, since it
/// lasted four seconds after its first event.
#[test]
fn a_long_stream_is_not_taken_by_a_daemon_that_ends_within_it() {
    let (objective, left) = (Millis(1_400), Millis(3_940));
    assert!(!door::has_time_to_end(Form::Stream, objective, left));
}
