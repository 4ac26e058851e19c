//! Bodies of responses that travel between two VMs in numbered frames.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame};
use thiserror::Error;

use crate::numbered::{FrameDecoder, FrameEncoder, SequenceError};

/// A body in numbered frames.
pub struct NumberedBody<B> {
    inner: B,
    encoder: FrameEncoder,
    has_ended: bool,
    account: Box<dyn Fn(Bytes) -> Bytes>,
}

impl<B> NumberedBody<B> {
    /// Encodes `inner`. Each encoded part passes through `account`, which may count it until it
    /// is sent.
    pub fn new(inner: B, account: impl Fn(Bytes) -> Bytes + 'static) -> Self {
        Self {
            inner,
            encoder: FrameEncoder::default(),
            has_ended: false,
            account: Box::new(account),
        }
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for NumberedBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let this = self.get_mut();
        if this.has_ended {
            return Poll::Ready(None);
        }
        let part = ready!(Pin::new(&mut this.inner).poll_frame(cx)).transpose()?;
        this.has_ended = part.is_none();
        let encoded = match part.map(Frame::into_data) {
            Some(Ok(data)) => this.encoder.encode(&data),
            Some(Err(trailers)) => return Poll::Ready(Some(Ok(trailers))),
            None => this.encoder.finish(),
        };
        Poll::Ready(Some(Ok(Frame::data((this.account)(encoded)))))
    }
}

/// Why a received body cannot be used further.
#[derive(Debug, Error)]
pub enum ReceiveError<E> {
    /// The body failed.
    #[error(transparent)]
    Body(E),
    /// Bytes of a body in numbered frames are missing.
    #[error(transparent)]
    Sequence(SequenceError),
}

/// Decodes numbered frames and reports why that has failed.
struct FrameReader {
    decoder: FrameDecoder,
    report: Box<dyn Fn(SequenceError)>,
}

/// A body as it was before it was encoded, if it was.
pub struct ReceivedBody<B> {
    inner: B,
    reader: Option<FrameReader>,
    /// The next part, if it was received by [`ReceivedBody::wait_for_part`].
    next: Option<Frame<Bytes>>,
}

impl<B> ReceivedBody<B> {
    /// Takes a body that is not in numbered frames.
    pub fn new(inner: B) -> Self {
        Self {
            inner,
            reader: None,
            next: None,
        }
    }

    /// Takes the body for one in numbered frames. Calls `report` if bytes of it are missing.
    pub fn decode_frames(&mut self, report: impl Fn(SequenceError) + 'static) {
        self.reader = Some(FrameReader {
            decoder: FrameDecoder::default(),
            report: Box::new(report),
        });
    }
}

impl<B: Body<Data = Bytes> + Unpin> ReceivedBody<B> {
    /// Receives the next part and keeps it. Returns whether there is one.
    ///
    /// # Errors
    ///
    /// The body failed, or bytes of it are missing.
    pub async fn wait_for_part(&mut self) -> Result<bool, ReceiveError<B::Error>> {
        if self.next.is_none() {
            let part = poll_fn(|cx| Pin::new(&mut *self).poll_frame(cx)).await;
            self.next = part.transpose()?;
        }
        Ok(self.next.is_some())
    }
}

impl FrameReader {
    /// Decodes a part of a body, or checks its end.
    fn read(&mut self, part: Option<Frame<Bytes>>) -> Result<Option<Frame<Bytes>>, SequenceError> {
        let decoded = match part.map(Frame::into_data) {
            Some(Ok(data)) => self.decoder.decode(data).map(Frame::data).map(Some),
            Some(Err(trailers)) => Ok(Some(trailers)),
            None => self.decoder.check_end().map(|()| None),
        };
        decoded.inspect_err(|error| (self.report)(*error))
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for ReceivedBody<B> {
    type Data = Bytes;
    type Error = ReceiveError<B::Error>;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let this = self.get_mut();
        if let Some(part) = this.next.take() {
            return Poll::Ready(Some(Ok(part)));
        }
        let part = ready!(Pin::new(&mut this.inner).poll_frame(cx)).transpose();
        let part = part.map_err(ReceiveError::Body)?;
        let decoded = match &mut this.reader {
            Some(reader) => reader.read(part).map_err(ReceiveError::Sequence)?,
            None => part,
        };
        Poll::Ready(decoded.map(Ok))
    }
}
