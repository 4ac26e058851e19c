//! Encoding and decoding of frames on an asynchronous stream.

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::frame::{FrameError, codec};
use crate::message::PeerFrame;

/// Frame codec for `tokio_util::codec::Framed`.
///
/// ```
/// use bytes::BytesMut;
/// use onyxfall_wire::{PeerCodec, PeerPayload, PongReply};
/// use tokio_util::codec::{Decoder, Encoder};
/// let mut codec = PeerCodec::default();
/// let mut buffer = BytesMut::new();
/// codec.encode(PeerPayload::Pong(PongReply { sequence: 7 }).into(), &mut buffer).unwrap();
/// let frame = codec.decode(&mut buffer).unwrap().unwrap();
/// assert_eq!(frame.payload, Some(PeerPayload::Pong(PongReply { sequence: 7 })));
/// ```
#[derive(Debug)]
pub struct PeerCodec(LengthDelimitedCodec);

impl Default for PeerCodec {
    fn default() -> Self {
        Self(codec())
    }
}

impl PeerCodec {
    /// Sets the length, in bytes, of the longest frame that is received and sent from now on.
    ///
    /// ```
    /// use bytes::BytesMut;
    /// use onyxfall_wire::{FrameError, PeerCodec};
    /// use tokio_util::codec::Decoder;
    /// let mut codec = PeerCodec::default();
    /// codec.limit_frames(100);
    /// let mut buffer = BytesMut::from(&[0, 0, 0, 101][..]);
    /// assert!(matches!(codec.decode(&mut buffer), Err(FrameError::TooLarge)));
    /// ```
    pub fn limit_frames(&mut self, bytes: usize) {
        self.0.set_max_frame_length(bytes);
    }
}

impl Decoder for PeerCodec {
    type Item = PeerFrame;
    type Error = FrameError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<PeerFrame>, FrameError> {
        let body = self.0.decode(buffer).map_err(|_| FrameError::TooLarge)?;
        body.map(|body| PeerFrame::decode(body).map_err(FrameError::Malformed))
            .transpose()
    }
}

impl Encoder<PeerFrame> for PeerCodec {
    type Error = FrameError;

    fn encode(&mut self, frame: PeerFrame, buffer: &mut BytesMut) -> Result<(), FrameError> {
        let body = Bytes::from(frame.encode_to_vec());
        self.0
            .encode(body, buffer)
            .map_err(|_| FrameError::TooLarge)
    }
}
