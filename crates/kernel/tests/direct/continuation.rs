use gooseberry_kernel::request::continuation::Content;
use gooseberry_kernel::request::continuation::Progress;
use gooseberry_kernel::request::continuation::Use;
use gooseberry_kernel::request::continuation::use_of;

#[test]
fn only_a_stream_goes_on_with_a_stream() {
    for (progress, content, success, error) in [
        (Progress::New, Content::Events, Use::Stream, Use::Plain),
        (Progress::New, Content::Unknown, Use::Stream, Use::Plain),
        (Progress::New, Content::Other, Use::Plain, Use::Plain),
        (Progress::Resumed, Content::Events, Use::Stream, Use::Plain),
        (Progress::Resumed, Content::Unknown, Use::Stream, Use::Plain),
        (Progress::Resumed, Content::Other, Use::Unusable, Use::Plain),
        (Progress::Begun, Content::Events, Use::Stream, Use::Unusable),
        (
            Progress::Begun,
            Content::Unknown,
            Use::Stream,
            Use::Unusable,
        ),
        (
            Progress::Begun,
            Content::Other,
            Use::Unusable,
            Use::Unusable,
        ),
    ] {
        let found = [true, false].map(|is_success| use_of(progress, is_success, content));
        assert_eq!(found, [success, error], "{progress:?} {content:?}");
    }
}
