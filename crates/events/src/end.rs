//! Whether the end of a stream's body is the end of the stream.

use std::fmt;

/// How the body of a response is delimited (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// By a length or by chunks.
    Delimited,
    /// By the end of the connection. A server that crashes ends it in the same way.
    UntilClose,
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// At the end of a delimited body, between two events.
    Delimited,
    /// With its connection, between two events.
    Closed,
    /// Inside an event.
    InsideEvent,
    /// With its connection, before the first event.
    WithoutEvents,
    /// The connection was reset, or closed before the end of a delimited body.
    ConnectionLost,
}

impl StreamEnd {
    /// Judges a body that has ended without an error.
    pub(crate) fn judge(framing: BodyFraming, is_inside_event: bool, has_events: bool) -> Self {
        match framing {
            _ if is_inside_event => Self::InsideEvent,
            BodyFraming::Delimited => Self::Delimited,
            BodyFraming::UntilClose if has_events => Self::Closed,
            BodyFraming::UntilClose => Self::WithoutEvents,
        }
    }

    /// Whether the stream is complete.
    ///
    /// ```
    /// use onyxfall_events::StreamEnd;
    /// assert!(StreamEnd::Closed.is_complete());
    /// assert!(!StreamEnd::InsideEvent.is_complete());
    /// ```
    pub const fn is_complete(self) -> bool {
        matches!(self, Self::Delimited | Self::Closed)
    }

    /// Name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Delimited => "delimited",
            Self::Closed => "closed",
            Self::InsideEvent => "inside an event",
            Self::WithoutEvents => "without events",
            Self::ConnectionLost => "connection lost",
        }
    }
}

impl fmt::Display for StreamEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
