//! What a server does wrong, and what it states in its responses.

/// How a server handles requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerFault {
    /// Runs the request and sends a complete response.
    #[default]
    None,
    /// Runs the request and responds with 500.
    Fails,
    /// Runs the request and responds with this status, without the mark of requests that have
    /// not run.
    FailsWith(u16),
    /// Responds that the request has not run, and does not run it.
    Rejects,
    /// Responds that the request is for another instance.
    Replaced,
    /// Runs the request and closes the connection without a response.
    Closes,
    /// Runs the request and responds with the id of another request.
    WrongResponse,
    /// Runs the request and closes the connection after the first event.
    Disconnects,
    /// Runs the request and never responds.
    Unresponsive,
    /// Sends all events of a stream but the last, then nothing.
    Stalls,
    /// Reads the body of the request slowly, then runs it.
    ReadsSlowly,
    /// Breaks streams that start on this server, but continues runs of other servers of
    /// which it holds a backup.
    BreaksStreams(BreakPoint),
    /// Breaks streams that start on this server, and has lost the backups that it held.
    BreaksAndLosesBackups,
}

impl ServerFault {
    /// Whether streams are broken off between two events.
    pub const fn breaks_between_events(self) -> bool {
        matches!(
            self,
            Self::Disconnects
                | Self::BreaksStreams(BreakPoint::AfterEvent | BreakPoint::BeforeEnd)
                | Self::BreaksAndLosesBackups
        )
    }
}

/// Signals in a server's responses, independent of its fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StubSignals {
    /// Whether every response signals that the server is draining.
    pub is_draining: bool,
    /// If set, the server rejects requests and asks for this backoff.
    pub backoff: Option<RequestedBackoff>,
    /// Limit in every response, in requests per second, as in the header.
    pub limit: Option<&'static str>,
    /// If set, the server crashes when it rejects more requests for want of room in a second,
    /// and says so in every response, as in the header.
    pub brittle: Option<&'static str>,
}

/// The backoff that a server asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestedBackoff {
    /// Duration in seconds, as in the header.
    pub seconds: &'static str,
    /// The server rejects every request whose number is a multiple of this.
    pub every: usize,
}

/// Point at which a stream is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakPoint {
    /// Before its first event.
    BeforeEvents,
    /// After its first event.
    AfterEvent,
    /// In the middle of its second event.
    InEvent,
    /// After the last event, before the end of the stream.
    BeforeEnd,
}

/// How the body of a response is delimited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StubFraming {
    /// By chunks.
    #[default]
    Chunks,
    /// By the end of the connection, without a length or chunks.
    UntilClose,
}

/// How a connection ends whose response is broken off. Without a length or chunks, one that is
/// broken off between two events is always reset: nothing else tells it from a complete one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BreakEnd {
    /// With a regular close.
    #[default]
    Close,
    /// With a reset.
    Reset,
}

/// How a server transfers its responses, independent of its fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StubTransfer {
    /// Framing of all responses to requests that it runs.
    pub framing: StubFraming,
    /// End of the connections of streams that it breaks off.
    pub break_end: BreakEnd,
}
