//! Ends of events and of streams, whatever the line ends and the pieces.

use bytes::Bytes;
use onyxfall_events::{
    BodyFraming, EventError, EventFramer, ForwardUnit, MAX_EVENT_BYTES, StreamEnd,
};
use proptest::prelude::*;

struct FramingCase {
    name: &'static str,
    stream: &'static str,
    events: u32,
    last_id: Option<&'static str>,
    /// Bytes forwarded in whole events before the end.
    forwarded: usize,
    /// End of a body without a length or chunks.
    closed: StreamEnd,
    /// End of a body with a length or chunks.
    delimited: StreamEnd,
}

const CASES: [FramingCase; 11] = [
    FramingCase {
        name: "empty",
        stream: "",
        events: 0,
        last_id: None,
        forwarded: 0,
        closed: StreamEnd::WithoutEvents,
        delimited: StreamEnd::Delimited,
    },
    FramingCase {
        name: "two events",
        stream: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
        events: 2,
        last_id: Some("2"),
        forwarded: 30,
        closed: StreamEnd::Closed,
        delimited: StreamEnd::Delimited,
    },
    FramingCase {
        name: "lines that end with CR LF",
        stream: "id: 1\r\ndata: a\r\n\r\n",
        events: 1,
        last_id: Some("1"),
        forwarded: 18,
        closed: StreamEnd::Closed,
        delimited: StreamEnd::Delimited,
    },
    FramingCase {
        name: "lines that end with CR",
        stream: "id: 1\rdata: a\r\r",
        events: 1,
        last_id: Some("1"),
        forwarded: 15,
        closed: StreamEnd::Closed,
        delimited: StreamEnd::Delimited,
    },
    FramingCase {
        name: "inside a line",
        stream: "id: 1\ndata: a\n\nid: 2\nda",
        events: 1,
        last_id: Some("1"),
        forwarded: 15,
        closed: StreamEnd::InsideEvent,
        delimited: StreamEnd::InsideEvent,
    },
    FramingCase {
        name: "between two lines of an event",
        stream: "id: 1\ndata: a\n\nid: 2\n",
        events: 1,
        last_id: Some("1"),
        forwarded: 15,
        closed: StreamEnd::InsideEvent,
        delimited: StreamEnd::InsideEvent,
    },
    FramingCase {
        name: "before the blank line",
        stream: "id: 1\r\ndata: a\r\n",
        events: 0,
        last_id: None,
        forwarded: 0,
        closed: StreamEnd::InsideEvent,
        delimited: StreamEnd::InsideEvent,
    },
    FramingCase {
        name: "a comment after the last event",
        stream: "data: a\n\n: alive\n",
        events: 1,
        last_id: None,
        forwarded: 17,
        closed: StreamEnd::Closed,
        delimited: StreamEnd::Delimited,
    },
    FramingCase {
        name: "comments only",
        stream: ": alive\n\n: alive\n\n",
        events: 0,
        last_id: None,
        forwarded: 18,
        closed: StreamEnd::WithoutEvents,
        delimited: StreamEnd::Delimited,
    },
    FramingCase {
        name: "an event without an id keeps the id before it",
        stream: "id: 1\ndata: a\n\ndata: b\n\n",
        events: 2,
        last_id: Some("1"),
        forwarded: 24,
        closed: StreamEnd::Closed,
        delimited: StreamEnd::Delimited,
    },
    FramingCase {
        name: "a line before the id",
        stream: "weight-versions: 3\nid:7\ndata: a\n\n",
        events: 1,
        last_id: Some("7"),
        forwarded: 33,
        closed: StreamEnd::Closed,
        delimited: StreamEnd::Delimited,
    },
];

/// Everything observable of a stream that arrives in pieces that end at the given positions.
fn frame(
    stream: &[u8],
    unit: ForwardUnit,
    mut cuts: Vec<usize>,
) -> (Vec<u8>, u32, Option<String>, StreamEnd, StreamEnd) {
    let mut framer = EventFramer::new(unit);
    cuts.retain(|cut| *cut <= stream.len());
    cuts.push(stream.len());
    cuts.sort_unstable();
    let (mut forwarded, mut events, mut start) = (Vec::new(), 0, 0);
    for cut in cuts {
        let piece = Bytes::copy_from_slice(&stream[start..cut]);
        let part = framer.push(piece).unwrap();
        forwarded.extend_from_slice(&part.forwarded);
        events += part.events;
        start = cut;
    }
    (
        forwarded,
        events,
        framer.last_id().map(str::to_owned),
        framer.end(BodyFraming::UntilClose),
        framer.end(BodyFraming::Delimited),
    )
}

#[test]
fn the_end_of_a_body_is_the_end_of_a_stream_only_between_events() {
    for case in &CASES {
        let stream = case.stream.as_bytes();
        let (forwarded, events, last_id, closed, delimited) =
            frame(stream, ForwardUnit::Events, Vec::new());
        assert_eq!(forwarded, stream[..case.forwarded], "{}", case.name);
        assert_eq!(events, case.events, "{}: events", case.name);
        assert_eq!(last_id.as_deref(), case.last_id, "{}: id", case.name);
        assert_eq!(closed, case.closed, "{}: closed", case.name);
        assert_eq!(delimited, case.delimited, "{}: delimited", case.name);
    }
}

#[test]
fn an_event_that_never_ends_is_an_error() {
    let mut framer = EventFramer::new(ForwardUnit::Events);
    let piece = Bytes::from(vec![b'x'; MAX_EVENT_BYTES]);
    assert!(framer.push(piece.clone()).is_ok());
    assert_eq!(framer.held_bytes(), MAX_EVENT_BYTES);
    assert_eq!(framer.push(piece), Err(EventError::TooLong));
}

#[test]
fn a_restart_drops_the_incomplete_event_and_keeps_the_last_id() {
    let mut framer = EventFramer::new(ForwardUnit::Events);
    framer.push("id: 1\ndata: a\n\nid: 2\nd".into()).unwrap();
    framer.restart();
    assert_eq!((framer.held_bytes(), framer.last_id()), (0, Some("1")));
    assert_eq!(
        framer.end(BodyFraming::UntilClose),
        StreamEnd::WithoutEvents
    );
    let part = framer.push("id: 2\ndata: b\n\n".into()).unwrap();
    assert_eq!(part.forwarded, "id: 2\ndata: b\n\n");
    assert_eq!(framer.last_id(), Some("2"));
}

/// Text in which line ends, blank lines, comments and ids are frequent.
fn any_stream() -> impl Strategy<Value = Vec<u8>> {
    let parts = ["\n", "\r", "\r\n", "id: 4", "id:", ":", "data: x", "y"];
    let part = proptest::sample::select(parts.to_vec());
    proptest::collection::vec(part, 0..24).prop_map(|parts| parts.concat().into_bytes())
}

proptest! {
    #[test]
    fn pieces_do_not_change_what_a_stream_contains(
        stream in any_stream(),
        cuts in proptest::collection::vec(0_usize..64, 0..12),
    ) {
        for unit in [ForwardUnit::Bytes, ForwardUnit::Events] {
            prop_assert_eq!(
                frame(&stream, unit, Vec::new()),
                frame(&stream, unit, cuts.clone())
            );
        }
    }

    #[test]
    fn everything_before_an_incomplete_event_is_forwarded(stream in any_stream()) {
        let (forwarded, _, _, closed, _) = frame(&stream, ForwardUnit::Events, Vec::new());
        prop_assert!(stream.starts_with(&forwarded));
        prop_assert_eq!(forwarded.len() < stream.len(), closed == StreamEnd::InsideEvent);
    }
}
