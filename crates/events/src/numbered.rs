//! Numbered frames, in which a stream travels between two VMs.
//!
//! The framing of HTTP shows that the end of a body is missing, but not that its middle is: each
//! event is a chunk of its own, and the others still decode. TCP delivers no byte after a missing
//! one, but what joins two connections on the way may.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use thiserror::Error;

/// Bytes before the payload of a frame: its number and the length of its payload, 16 bits each,
/// most significant byte first. A frame without payload ends the stream.
const HEADER_BYTES: usize = 4;
/// Longest payload of a frame, in bytes.
const MAX_PAYLOAD: usize = u16::MAX as usize;

/// Why the rest of a numbered stream cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SequenceError {
    /// Another frame than the next one arrived.
    #[error("frame {received} arrived instead of frame {expected}")]
    Gap {
        /// Number of the next frame.
        expected: u16,
        /// Number of the frame that arrived.
        received: u16,
    },
    /// The body ended before the frame that ends the stream.
    #[error("the body ended before frame {expected}, without the end of the stream")]
    Truncated {
        /// Number of the next frame.
        expected: u16,
    },
    /// Bytes arrived after the end of the stream.
    #[error("bytes arrived after the end of the stream")]
    AfterEnd,
}

/// Splits a stream into numbered frames.
///
/// ```
/// use onyxfall_events::{FrameDecoder, FrameEncoder};
/// let mut encoder = FrameEncoder::default();
/// let frames = [encoder.encode(b"a"), encoder.encode(b"b"), encoder.finish()];
/// let mut decoder = FrameDecoder::default();
/// assert_eq!(decoder.decode(frames[0].clone()).unwrap(), "a");
/// assert!(decoder.decode(frames[2].clone()).is_err());
/// ```
#[derive(Debug, Default)]
pub struct FrameEncoder {
    next: u16,
}

impl FrameEncoder {
    /// Encodes the next bytes of the stream.
    pub fn encode(&mut self, payload: &[u8]) -> Bytes {
        let frames = payload.len().div_ceil(MAX_PAYLOAD);
        let mut encoded = BytesMut::with_capacity(payload.len() + frames * HEADER_BYTES);
        for part in payload.chunks(MAX_PAYLOAD) {
            self.put_header(&mut encoded, u16::try_from(part.len()).unwrap_or(u16::MAX));
            encoded.put_slice(part);
        }
        encoded.freeze()
    }

    /// Encodes the end of the stream.
    pub fn finish(&mut self) -> Bytes {
        let mut encoded = BytesMut::with_capacity(HEADER_BYTES);
        self.put_header(&mut encoded, 0);
        encoded.freeze()
    }

    fn put_header(&mut self, encoded: &mut BytesMut, length: u16) {
        encoded.put_u16(self.next);
        encoded.put_u16(length);
        self.next = self.next.wrapping_add(1);
    }
}

/// Joins numbered frames to the stream, as long as none is missing.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    next: u16,
    /// The part of a header that has arrived.
    header: BytesMut,
    /// Bytes of the current frame that have not arrived.
    remaining: usize,
    has_ended: bool,
}

impl FrameDecoder {
    /// Takes a received piece and returns the bytes of the stream in it.
    ///
    /// # Errors
    ///
    /// A frame is missing, or the stream has ended before. Nothing of the piece may be used.
    pub fn decode(&mut self, mut piece: Bytes) -> Result<Bytes, SequenceError> {
        let mut decoded = Bytes::new();
        while !piece.is_empty() {
            if self.remaining == 0 {
                self.read_header(&mut piece)?;
                continue;
            }
            let part = piece.split_to(self.remaining.min(piece.len()));
            self.remaining -= part.len();
            decoded = join(decoded, part);
        }
        Ok(decoded)
    }

    /// Checks that the stream has ended where its body did.
    ///
    /// # Errors
    ///
    /// The end of the stream has not arrived.
    pub fn check_end(&self) -> Result<(), SequenceError> {
        if self.has_ended {
            return Ok(());
        }
        Err(SequenceError::Truncated {
            expected: self.next,
        })
    }

    /// Takes bytes of a header from `piece`, and checks the header once it is complete.
    fn read_header(&mut self, piece: &mut Bytes) -> Result<(), SequenceError> {
        if self.has_ended {
            return Err(SequenceError::AfterEnd);
        }
        let missing = HEADER_BYTES - self.header.len();
        let part = piece.split_to(missing.min(piece.len()));
        self.header.extend_from_slice(&part);
        if self.header.len() < HEADER_BYTES {
            return Ok(());
        }
        let (received, length) = (self.header.get_u16(), self.header.get_u16());
        if received != self.next {
            return Err(SequenceError::Gap {
                expected: self.next,
                received,
            });
        }
        self.next = self.next.wrapping_add(1);
        self.remaining = usize::from(length);
        self.has_ended = length == 0;
        Ok(())
    }
}

/// Joins two parts, without a copy unless both have bytes.
fn join(first: Bytes, second: Bytes) -> Bytes {
    if first.is_empty() {
        return second;
    }
    let mut joined = BytesMut::from(first);
    joined.extend_from_slice(&second);
    joined.freeze()
}
