//! Packed items of a store copy: unpacking restores the items, and malformed bytes are an
//! error.

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

fn deflate(plain: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(plain).unwrap();
    encoder.finish().unwrap()
}

struct FaultCase {
    name: &'static str,
    packed: Vec<u8>,
    is_expected: fn(&PackError) -> bool,
}

#[test]
fn malformed_bytes_fail_with_the_matching_error() {
    let whole = pack_items((0..50).map(item).collect()).unwrap();
    let cases = [
        FaultCase {
            name: "not a deflate stream",
            packed: vec![0xff; 40],
            is_expected: |e| matches!(e, PackError::Stream(_)),
        },
        FaultCase {
            name: "truncated",
            packed: whole[..whole.len() / 2].to_vec(),
            is_expected: |e| matches!(e, PackError::Stream(_) | PackError::Malformed(_)),
        },
        FaultCase {
            name: "not a list of items",
            packed: deflate(&[0xff; 64]),
            is_expected: |e| matches!(e, PackError::Malformed(_)),
        },
        FaultCase {
            name: "decompression bomb",
            packed: deflate(&vec![0; 4 * MAX_FRAME]),
            is_expected: |e| matches!(e, PackError::TooLarge),
        },
    ];
    for case in cases {
        let e = unpack_items(&case.packed).expect_err(case.name);
        assert!((case.is_expected)(&e), "{}: {e}", case.name);
    }
}

#[test]
fn items_too_large_to_unpack_are_not_packed() {
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
    fn packed_items_are_unpacked_unchanged(values in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 0..40)) {
        let items: Vec<SnapshotItem> = values
            .into_iter()
            .zip(1..)
            .map(|(value, number)| SnapshotItem { value: value.into(), ..item(number) })
            .collect();
        let packed = pack_items(items.clone()).unwrap();
        prop_assert_eq!(unpack_items(&packed).unwrap(), items);
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = unpack_items(&bytes);
    }
}
