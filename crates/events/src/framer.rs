//! Splits a stream into the parts to forward.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

use crate::end::{BodyFraming, StreamEnd};
use crate::scanner::EventScanner;

/// Longest event of a stream that is forwarded in whole events, in bytes.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Parts in which a stream is forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardUnit {
    /// Bytes as they arrive.
    Bytes,
    /// Whole events, so that another server can resume the stream after any part.
    Events,
}

/// Why a stream cannot be forwarded further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EventError {
    /// An event is longer than [`MAX_EVENT_BYTES`].
    #[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
}

/// Result of a received piece.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FramedBytes {
    /// Bytes to forward now; may be empty.
    pub forwarded: Bytes,
    /// Number of events that ended in the piece.
    pub events: u32,
}

/// Splits one stream, over all servers that send parts of it.
#[derive(Clone, Debug)]
pub struct EventFramer {
    unit: ForwardUnit,
    scanner: EventScanner,
    /// The incomplete event, if whole events are forwarded.
    held: BytesMut,
    /// Whether an event has ended since the present server began to send.
    has_events: bool,
}

impl EventFramer {
    /// Creates a framer at the start of a stream.
    pub fn new(unit: ForwardUnit) -> Self {
        Self {
            unit,
            scanner: EventScanner::default(),
            held: BytesMut::new(),
            has_events: false,
        }
    }

    /// Takes a received piece and returns the bytes to forward.
    ///
    /// # Errors
    ///
    /// An event is too long to be held.
    ///
    /// ```
    /// use onyxfall_events::{EventFramer, ForwardUnit};
    /// let mut framer = EventFramer::new(ForwardUnit::Events);
    /// let framed = framer.push("id: 1\ndata: a\n\nid: 2\nda".into()).unwrap();
    /// assert_eq!(framed.forwarded, "id: 1\ndata: a\n\n");
    /// assert_eq!((framed.events, framer.last_id()), (1, Some("1")));
    /// ```
    pub fn push(&mut self, bytes: Bytes) -> Result<FramedBytes, EventError> {
        let piece = self.scanner.scan(&bytes);
        self.has_events |= piece.events > 0;
        let forwarded = match self.unit {
            ForwardUnit::Bytes => bytes,
            ForwardUnit::Events => self.take_whole(bytes, piece.whole)?,
        };
        Ok(FramedBytes {
            forwarded,
            events: piece.events,
        })
    }

    /// Returns what is held and the first `whole` bytes of a piece, and holds the rest.
    fn take_whole(&mut self, mut bytes: Bytes, whole: usize) -> Result<Bytes, EventError> {
        let complete = bytes.split_to(whole);
        let forwarded = if self.held.is_empty() || complete.is_empty() {
            complete
        } else {
            self.held.extend_from_slice(&complete);
            self.held.split().freeze()
        };
        if self.held.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(EventError::TooLong);
        }
        self.held.extend_from_slice(&bytes);
        Ok(forwarded)
    }

    /// Id of the last complete event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.scanner.last_id()
    }

    /// Number of bytes held back.
    pub fn held_bytes(&self) -> usize {
        self.held.len()
    }

    /// A framer for another server that sends the stream from its last complete event on.
    ///
    /// ```
    /// use onyxfall_events::{EventFramer, ForwardUnit};
    /// let mut framer = EventFramer::new(ForwardUnit::Events);
    /// framer.push("id: 1\ndata: a\n\nid: 2\nda".into()).unwrap();
    /// let mut other = framer.fork();
    /// let framed = other.push("id: 2\ndata: b\n\n".into()).unwrap();
    /// assert_eq!((framed.forwarded.as_ref(), framer.last_id()), (&b"id: 2\ndata: b\n\n"[..], Some("1")));
    /// ```
    #[must_use]
    pub fn fork(&self) -> Self {
        let mut framer = self.clone();
        framer.restart();
        framer
    }

    /// Drops the incomplete event of a server whose connection was lost; another server sends it
    /// anew.
    pub fn restart(&mut self) {
        self.held.clear();
        self.scanner.drop_event();
        self.has_events = false;
    }

    /// Judges the end of a body that ended without an error.
    ///
    /// ```
    /// use onyxfall_events::{BodyFraming, EventFramer, ForwardUnit, StreamEnd};
    /// let mut framer = EventFramer::new(ForwardUnit::Bytes);
    /// framer.push("data: a\n".into()).unwrap();
    /// assert_eq!(framer.end(BodyFraming::UntilClose), StreamEnd::InsideEvent);
    /// framer.push("\n".into()).unwrap();
    /// assert_eq!(framer.end(BodyFraming::UntilClose), StreamEnd::Closed);
    /// ```
    pub fn end(&self, framing: BodyFraming) -> StreamEnd {
        StreamEnd::judge(framing, self.scanner.is_inside_event(), self.has_events)
    }
}
