//! Splitting of event streams at event boundaries.

use bytes::Bytes;
use comfreychute::forward::StreamSplitter;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Guards against forwarding a partial event before the stream is resumed at another upstream.
#[test]
fn incomplete_event_is_held_back() {
    let mut splitter = StreamSplitter::new();

    let first = splitter.push(Bytes::from_static(b"id: 1\ndata: x\n\nid: 2\nda"));
    splitter.discard_partial();
    let second = splitter.push(Bytes::from_static(b"id: 2\ndata: y\n\n"));

    assert_eq!(first, "id: 1\ndata: x\n\n");
    assert_eq!(second, "id: 2\ndata: y\n\n");
    assert_eq!(splitter.last_id(), Some("2"));
}

/// Guards against resuming after an event that was not forwarded, which would skip that event.
#[test]
fn id_of_an_incomplete_event_is_not_the_last() {
    let mut splitter = StreamSplitter::new();

    let _events = splitter.push(Bytes::from_static(b"id: 1\ndata: x\n\nid: 2\n"));

    assert_eq!(splitter.last_id(), Some("1"));
}

/// Guards against missing an event boundary that arrives in two reads.
#[test]
fn event_boundary_split_between_reads_is_found() {
    let mut splitter = StreamSplitter::new();

    let first = splitter.push(Bytes::from_static(b"id: 7\r\ndata: x\r\n"));
    let second = splitter.push(Bytes::from_static(b"\r\n"));

    assert!(first.is_empty());
    assert_eq!(second, "id: 7\r\ndata: x\r\n\r\n");
    assert_eq!(splitter.last_id(), Some("7"));
}

/// Guards against a stream that ended within an event and counts as complete.
#[test]
fn stream_ends_within_an_event_until_its_empty_line() {
    let cases: [(&[&str], bool); 8] = [
        (&[], false),
        (&["id: 1\ndata: x\n\n"], false),
        (&["id: 1\r\ndata: x\r\n", "\r\n"], false),
        (&["id: 1\ndata: x\n\n", "\n", ": comment\n"], false),
        (&["id: 1\ndata: x\n\nid"], true),
        (&["id: 1\ndata: x\n"], true),
        (&["id: 1\ndata: x"], true),
        (&["id: 1\ndata: x\n\n: comment\ndata: y\n"], true),
    ];
    for (pieces, is_within) in cases {
        let mut splitter = StreamSplitter::new();

        for piece in pieces {
            let _events = splitter.push(Bytes::from_static(piece.as_bytes()));
        }

        assert_eq!(splitter.is_within_event(), is_within, "{pieces:?}");
    }
}

/// Guards against an event boundary that is missed because the event is longer than the buffer.
#[test]
fn long_event_ends_with_its_empty_line() {
    let mut splitter = StreamSplitter::new();
    let long = format!("data: {}\n", "x".repeat(StreamSplitter::MAX_EVENT));

    let start = splitter.push(Bytes::from(long.clone()));
    let is_within = splitter.is_within_event();
    let end = splitter.push(Bytes::from_static(b"\n"));

    assert!(is_within);
    assert_eq!([start, end].concat(), format!("{long}\n").into_bytes());
    assert!(!splitter.is_within_event());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against bytes that are lost, repeated or reordered, wherever read boundaries fall.
    #[test]
    fn whole_stream_passes_unchanged(
        events in prop::collection::vec("[a-z ]{0,12}", 1..12),
        cuts in prop::collection::vec(1..9_usize, 1..60),
    ) {
        let mut whole = Vec::new();
        for (index, event) in events.iter().enumerate() {
            whole.extend_from_slice(format!("id: {index}\ndata: {event}\n\n").as_bytes());
        }
        let mut splitter = StreamSplitter::new();
        let (mut passed, mut rest) = (Vec::new(), whole.as_slice());
        for cut in cuts {
            let (piece, tail) = rest.split_at(cut.min(rest.len()));
            passed.extend_from_slice(&splitter.push(Bytes::copy_from_slice(piece)));
            prop_assert!(passed.is_empty() || passed.ends_with(b"\n\n"));
            rest = tail;
        }
        passed.extend_from_slice(&splitter.push(Bytes::copy_from_slice(rest)));
        passed.extend_from_slice(&splitter.finish());
        prop_assert_eq!(passed, whole);
    }
}

/// Guards against a long event whose buffer stays allocated after its bytes were passed on, and against an
/// end of the event that is missed because it arrives in two parts.
#[test]
fn released_event_frees_its_buffer_and_goes_on_in_pieces() {
    let mut splitter = StreamSplitter::new();
    let start = format!("id: 7\ndata: {}\n", "x".repeat(100_000)).into_bytes();
    assert!(splitter.push(Bytes::from(start.clone())).is_empty());

    let mut passed = splitter.release_event().to_vec();

    assert!(splitter.has_split_event());
    assert!(
        splitter.allocated_bytes() < 100,
        "{} bytes",
        splitter.allocated_bytes()
    );
    passed.extend_from_slice(&splitter.push(Bytes::from_static(b"\n")));
    assert_eq!(passed, [start.as_slice(), b"\n"].concat());
    assert!(!splitter.is_within_event());
}
