//! Frames: written frames are read back unchanged, and malformed ones are rejected.

use bytes::Bytes;
use onyxfall_wire::{
    FrameError, FrameReader, FrameWriter, MAX_FRAME, OpenRequest, PeerFrame, PeerPayload,
    PongReply, ReplyData,
};
use proptest::prelude::*;

fn encode(frame: &PeerFrame) -> Vec<u8> {
    let mut writer = FrameWriter::new(Vec::new());
    writer.write(frame).unwrap();
    writer.stream().clone()
}

struct FaultCase {
    name: &'static str,
    bytes: Vec<u8>,
    expected: &'static str,
}

#[test]
fn malformed_frames_are_rejected() {
    let good = encode(&PeerPayload::Pong(PongReply { sequence: 1 }).into());
    let too_large = u32::try_from(MAX_FRAME + 1).unwrap().to_be_bytes().to_vec();
    let cases = [
        FaultCase {
            name: "empty",
            bytes: Vec::new(),
            expected: "closed",
        },
        FaultCase {
            name: "truncated length",
            bytes: good[..2].to_vec(),
            expected: "closed within a frame",
        },
        FaultCase {
            name: "truncated body",
            bytes: good[..good.len() - 1].to_vec(),
            expected: "closed within a frame",
        },
        FaultCase {
            name: "too large",
            bytes: too_large,
            expected: "frame too large",
        },
        FaultCase {
            name: "not a message",
            bytes: vec![0, 0, 0, 1, 0xff],
            expected: "malformed frame",
        },
    ];
    for case in cases {
        let error = FrameReader::new(case.bytes.as_slice())
            .read()
            .expect_err(case.name);
        assert!(
            error.to_string().starts_with(case.expected),
            "{}: {error}",
            case.name
        );
    }
}

#[test]
fn an_unknown_payload_is_skipped() {
    // Field 100 of type string, which stands for a payload of a later version.
    let body = [0xa2, 0x06, 0x01, b'x'];
    let mut bytes = vec![0, 0, 0, 4];
    bytes.extend(body);
    let (frame, _) = FrameReader::new(bytes.as_slice()).read().unwrap();
    assert_eq!(frame.payload, None);
}

#[test]
fn an_oversized_frame_is_not_written() {
    let open = OpenRequest {
        body: Bytes::from(vec![0; MAX_FRAME + 1]),
        ..OpenRequest::default()
    };
    let mut writer = FrameWriter::new(Vec::new());
    let error = writer.write(&PeerPayload::Open(open).into()).unwrap_err();
    assert!(matches!(error, FrameError::TooLarge));
    assert!(
        writer.stream().is_empty(),
        "no part of the frame was written"
    );
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn arbitrary_bytes_are_read_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut reader = FrameReader::new(bytes.as_slice());
        while reader.read().is_ok() {}
    }

    #[test]
    fn frames_are_read_in_the_order_written(parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..100), 1..10)) {
        let mut bytes = Vec::new();
        for (i, part) in parts.iter().enumerate() {
            let data = ReplyData { attempt: i as u64, bytes: Bytes::from(part.clone()) };
            bytes.extend(encode(&PeerPayload::Data(data).into()));
        }
        let mut reader = FrameReader::new(bytes.as_slice());
        for (i, part) in parts.iter().enumerate() {
            let (frame, _) = reader.read().unwrap();
            let data = ReplyData { attempt: i as u64, bytes: Bytes::from(part.clone()) };
            prop_assert_eq!(frame.payload, Some(PeerPayload::Data(data)));
        }
        prop_assert!(matches!(reader.read(), Err(FrameError::Closed)));
    }
}
