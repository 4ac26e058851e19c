//! Numbered frames: a stream arrives as it was sent, or as an error.

use bytes::Bytes;
use onyxfall_events::{FrameDecoder, FrameEncoder, SequenceError};
use proptest::prelude::*;

/// The frames of a stream, the last of which ends it.
fn encode(parts: &[Vec<u8>]) -> Vec<Bytes> {
    let mut encoder = FrameEncoder::default();
    let mut frames: Vec<Bytes> = parts.iter().map(|part| encoder.encode(part)).collect();
    frames.push(encoder.finish());
    frames
}

/// The bytes decoded before an error, and the error.
fn decode(pieces: impl IntoIterator<Item = Bytes>) -> (Vec<u8>, Option<SequenceError>) {
    let mut decoder = FrameDecoder::default();
    let mut stream = Vec::new();
    for piece in pieces {
        match decoder.decode(piece) {
            Ok(part) => stream.extend_from_slice(&part),
            Err(error) => return (stream, Some(error)),
        }
    }
    (stream, decoder.check_end().err())
}

struct SequenceCase {
    name: &'static str,
    /// Numbers of the frames that arrive, of a stream `a`, `b`, `c` and its end.
    arrived: &'static [usize],
    decoded: &'static str,
    error: Option<SequenceError>,
}

const CASES: [SequenceCase; 7] = [
    SequenceCase {
        name: "all frames",
        arrived: &[0, 1, 2, 3],
        decoded: "abc",
        error: None,
    },
    SequenceCase {
        name: "no frame",
        arrived: &[],
        decoded: "",
        error: Some(SequenceError::Truncated { expected: 0 }),
    },
    SequenceCase {
        name: "without a frame in the middle",
        arrived: &[0, 2, 3],
        decoded: "a",
        error: Some(SequenceError::Gap {
            expected: 1,
            received: 2,
        }),
    },
    SequenceCase {
        name: "without the last frame before the end",
        arrived: &[0, 1, 3],
        decoded: "ab",
        error: Some(SequenceError::Gap {
            expected: 2,
            received: 3,
        }),
    },
    SequenceCase {
        name: "without the end",
        arrived: &[0, 1, 2],
        decoded: "abc",
        error: Some(SequenceError::Truncated { expected: 3 }),
    },
    SequenceCase {
        name: "a frame twice",
        arrived: &[0, 1, 1, 2, 3],
        decoded: "ab",
        error: Some(SequenceError::Gap {
            expected: 2,
            received: 1,
        }),
    },
    SequenceCase {
        name: "a frame after the end",
        arrived: &[0, 1, 2, 3, 3],
        decoded: "abc",
        error: Some(SequenceError::AfterEnd),
    },
];

#[test]
fn a_missing_or_repeated_frame_is_an_error_and_nothing_after_it_is_decoded() {
    let frames = encode(&[b"a".to_vec(), b"b".to_vec(), b"c".to_vec()]);
    for case in &CASES {
        let arrived = case.arrived.iter().map(|number| frames[*number].clone());
        let expected = (case.decoded.as_bytes().to_vec(), case.error);
        assert_eq!(decode(arrived), expected, "{}", case.name);
    }
}

#[test]
fn numbers_of_long_streams_and_lengths_of_long_parts_wrap_without_a_loss() {
    let mut parts = vec![vec![7]; 70_000];
    parts.push(vec![9; 200_000]);
    let (decoded, error) = decode(encode(&parts));
    assert_eq!((decoded.len(), error), (270_000, None));
}

proptest! {
    #[test]
    fn frames_decode_alike_however_they_are_split(
        parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..20), 0..8),
        sizes in prop::collection::vec(1_usize..30, 1..40),
    ) {
        let mut rest = Bytes::from(encode(&parts).concat());
        let mut pieces = Vec::new();
        let mut sizes = sizes.iter().cycle();
        while let Some(size) = sizes.next().filter(|_| !rest.is_empty()) {
            pieces.push(rest.split_to((*size).min(rest.len())));
        }
        prop_assert_eq!(decode(pieces), (parts.concat(), None));
    }

    #[test]
    fn a_stream_without_some_of_its_frames_is_never_whole(
        parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..20), 1..8),
        from in 0_usize..9,
        count in 1_usize..9,
    ) {
        let mut frames = encode(&parts);
        let from = from.min(frames.len() - 1);
        frames.drain(from..(from + count).min(frames.len()));
        let (decoded, error) = decode(frames);
        prop_assert_eq!(decoded, parts[..from].concat());
        prop_assert!(error.is_some());
    }
}
