//! Reading and writing of frames on a blocking stream.
//!
//! Invariant: no frame exceeds [`MAX_FRAME`], in either direction.

use std::io::{self, Read, Write};

use bytes::{Bytes, BytesMut};
use prost::Message;
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::packed::PackError;

use crate::message::PeerFrame;

/// Maximum size of an encoded message in bytes, without its length prefix.
pub const MAX_FRAME: usize = 8 * 1024 * 1024;
const READ_CHUNK: usize = 16 * 1024;

/// Why a frame could not be read or written.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The peer closed the stream between two frames.
    #[error("closed")]
    Closed,
    /// The peer closed the stream within a frame.
    #[error("closed within a frame")]
    Truncated,
    /// A frame exceeds [`MAX_FRAME`].
    #[error("frame too large")]
    TooLarge,
    /// The bytes of a frame do not decode to a message.
    #[error("malformed frame: {0}")]
    Malformed(prost::DecodeError),
    /// Items that this VM packed itself cannot be unpacked.
    #[error(transparent)]
    Packed(PackError),
    /// Reading from or writing to the stream failed.
    #[error("stream failed: {0}")]
    Io(#[from] io::Error),
}

pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_codec()
}

/// Reads frames from a stream.
pub struct FrameReader<R> {
    stream: R,
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
}

impl<R: Read> FrameReader<R> {
    /// Creates a reader of `stream`.
    pub fn new(stream: R) -> Self {
        Self {
            stream,
            codec: codec(),
            buffer: BytesMut::new(),
        }
    }

    /// Sets the length, in bytes, of the longest frame that is read from now on.
    ///
    /// ```
    /// use onyxfall_wire::{FrameError, FrameReader};
    /// let mut reader = FrameReader::new(&[0, 0, 0, 101][..]);
    /// reader.limit_frames(100);
    /// assert!(matches!(reader.read(), Err(FrameError::TooLarge)));
    /// ```
    pub fn limit_frames(&mut self, bytes: usize) {
        self.codec.set_max_frame_length(bytes);
    }

    /// Underlying stream.
    ///
    /// ```
    /// let mut reader = onyxfall_wire::FrameReader::new(&[1, 2][..]);
    /// assert_eq!(reader.stream_mut().len(), 2);
    /// ```
    pub fn stream_mut(&mut self) -> &mut R {
        &mut self.stream
    }

    /// Reads the next frame; returns it with its length on the wire.
    ///
    /// # Errors
    ///
    /// A [`FrameError`] if the stream ended, failed or contains a malformed frame. The reader
    /// must not be used afterwards.
    ///
    /// ```
    /// use onyxfall_wire::*;
    /// let mut writer = FrameWriter::new(Vec::new());
    /// writer.write(&PeerPayload::Pong(PongReply { sequence: 7 }).into()).unwrap();
    /// let mut reader = FrameReader::new(writer.stream().as_slice());
    /// let (frame, _) = reader.read().unwrap();
    /// assert_eq!(frame.payload, Some(PeerPayload::Pong(PongReply { sequence: 7 })));
    /// ```
    pub fn read(&mut self) -> Result<(PeerFrame, usize), FrameError> {
        loop {
            let decoded = self.codec.decode(&mut self.buffer);
            if let Some(body) = decoded.map_err(|_| FrameError::TooLarge)? {
                let len = body.len() + 4;
                let frame = PeerFrame::decode(body).map_err(FrameError::Malformed)?;
                return Ok((frame, len));
            }
            self.fill()?;
        }
    }

    fn fill(&mut self) -> Result<(), FrameError> {
        let mut chunk = [0; READ_CHUNK];
        let len = loop {
            match self.stream.read(&mut chunk) {
                Ok(len) => break len,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(FrameError::Io(e)),
            }
        };
        if len == 0 {
            let is_between_frames = self.buffer.is_empty();
            return Err(if is_between_frames {
                FrameError::Closed
            } else {
                FrameError::Truncated
            });
        }
        self.buffer.extend_from_slice(&chunk[..len]);
        Ok(())
    }
}

/// Writes frames to a stream.
pub struct FrameWriter<W> {
    stream: W,
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
}

impl<W: Write> FrameWriter<W> {
    /// Creates a writer to `stream`.
    pub fn new(stream: W) -> Self {
        Self {
            stream,
            codec: codec(),
            buffer: BytesMut::new(),
        }
    }

    /// Underlying stream.
    pub fn stream(&self) -> &W {
        &self.stream
    }

    /// Writes a frame and returns its length on the wire.
    ///
    /// # Errors
    ///
    /// [`FrameError::TooLarge`] if the frame is too large, in which case nothing was written, or
    /// [`FrameError::Io`] if the stream failed.
    pub fn write(&mut self, frame: &PeerFrame) -> Result<usize, FrameError> {
        self.buffer.clear();
        let body = Bytes::from(frame.encode_to_vec());
        self.codec
            .encode(body, &mut self.buffer)
            .map_err(|_| FrameError::TooLarge)?;
        self.stream
            .write_all(&self.buffer)
            .map_err(FrameError::Io)?;
        self.stream.flush().map_err(FrameError::Io)?;
        Ok(self.buffer.len())
    }
}
