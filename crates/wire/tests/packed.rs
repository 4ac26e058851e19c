//! Packed items of a copy: what comes out is what went in, and bad bytes cost an error.

use std::io::Write;

use flate2::Compression;
use flate2::write::DeflateEncoder;
use onyxfall_wire::{MAX_FRAME, PackError, SnapshotItem, pack_items, unpack_items};
use proptest::prelude::*;

fn item(number: u64) -> SnapshotItem {
    SnapshotItem {
        key: format!("key/{number}"),
        value: format!("{{\"Address\":\"10.0.0.{number}\"}}").into(),
        revision: number,
    }
}

fn deflated(plain: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(plain).unwrap();
    encoder.finish().unwrap()
}

struct BadCase {
    name: &'static str,
    packed: Vec<u8>,
    is_expected: fn(&PackError) -> bool,
}

#[test]
fn bad_bytes_are_told_apart() {
    let whole = pack_items((0..50).map(item).collect()).unwrap();
    let cases = [
        BadCase {
            name: "no stream",
            packed: vec![0xff; 40],
            is_expected: |e| matches!(e, PackError::Stream(_)),
        },
        BadCase {
            name: "cut off",
            packed: whole[..whole.len() / 2].to_vec(),
            is_expected: |e| matches!(e, PackError::Stream(_) | PackError::Malformed(_)),
        },
        BadCase {
            name: "no items",
            packed: deflated(&[0xff; 64]),
            is_expected: |e| matches!(e, PackError::Malformed(_)),
        },
        BadCase {
            name: "a bomb",
            packed: deflated(&vec![0; 4 * MAX_FRAME]),
            is_expected: |e| matches!(e, PackError::TooLarge),
        },
    ];
    for case in cases {
        let e = unpack_items(&case.packed).expect_err(case.name);
        assert!((case.is_expected)(&e), "{}: {e}", case.name);
    }
}

#[test]
fn items_that_would_not_be_unpacked_are_not_packed() {
    let large = SnapshotItem {
        value: vec![0; MAX_FRAME].into(),
        ..item(1)
    };
    assert!(matches!(pack_items(vec![large]), Err(PackError::TooLarge)));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: prop::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::with_cases(128)
    })]

    #[test]
    fn items_come_out_as_they_went_in(values in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 0..40)) {
        let items: Vec<SnapshotItem> = values
            .into_iter()
            .zip(1..)
            .map(|(value, number)| SnapshotItem { value: value.into(), ..item(number) })
            .collect();
        let packed = pack_items(items.clone()).unwrap();
        prop_assert_eq!(unpack_items(&packed).unwrap(), items);
    }

    #[test]
    fn any_bytes_are_borne(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = unpack_items(&bytes);
    }
}
