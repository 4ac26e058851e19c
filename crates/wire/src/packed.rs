//! Compression of the items of a store copy. Server entries are very similar, and each VM
//! that starts fetches a copy of all of them over the links of a few others.
//!
//! Invariant: unpacking never produces more bytes than [`MAX_FRAME`] plus one, whatever the
//! input.

use std::io::{self, Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use prost::Message;
use thiserror::Error;

use crate::frame::MAX_FRAME;
use crate::message::{SnapshotItem, StoreSnapshot};

/// Why items could not be packed or unpacked.
#[derive(Debug, Error)]
pub enum PackError {
    /// The bytes are not packed items.
    #[error("not packed bytes: {0}")]
    Stream(#[from] io::Error),
    /// Unpacked, they would be larger than a frame.
    #[error("more than {MAX_FRAME} bytes when unpacked")]
    TooLarge,
    /// The unpacked bytes are not a list of items.
    #[error("packed bytes are no items: {0}")]
    Malformed(#[from] prost::DecodeError),
}

/// Compresses items.
///
/// # Errors
///
/// [`PackError::TooLarge`] if the items exceed the limit that applies to unpacking.
///
/// ```
/// use onyxfall_wire::{SnapshotItem, pack_items, unpack_items};
/// let items = vec![SnapshotItem { key: "k".into(), value: "v".into(), revision: 7 }];
/// let packed = pack_items(items.clone()).unwrap();
/// assert_eq!(unpack_items(&packed).unwrap(), items);
/// ```
pub fn pack_items(items: Vec<SnapshotItem>) -> Result<Bytes, PackError> {
    let list = StoreSnapshot {
        items,
        ..StoreSnapshot::default()
    };
    let plain = list.encode_to_vec();
    if plain.len() > MAX_FRAME {
        return Err(PackError::TooLarge);
    }
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&plain)?;
    Ok(encoder.finish()?.into())
}

/// Decompresses items received from another VM.
///
/// # Errors
///
/// A [`PackError`] if they are malformed or too large.
pub fn unpack_items(packed: &[u8]) -> Result<Vec<SnapshotItem>, PackError> {
    let mut plain = Vec::new();
    let most = MAX_FRAME as u64 + 1;
    DeflateDecoder::new(packed)
        .take(most)
        .read_to_end(&mut plain)?;
    if plain.len() > MAX_FRAME {
        return Err(PackError::TooLarge);
    }
    Ok(StoreSnapshot::decode(plain.as_slice())?.items)
}
