//! What a server records of the requests that reach it.

use std::time::Duration;

use crate::StubSignals;

/// Number of a request at its server, in the order of arrival; the first one has 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestNumber(usize);

impl RequestNumber {
    pub(crate) fn from_index(index: usize) -> Self {
        Self(index + 1)
    }

    pub(crate) fn index(self) -> usize {
        self.0 - 1
    }

    /// The number.
    pub fn get(self) -> usize {
        self.0
    }
}

/// How far a server got with a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RunState {
    /// The server has not run it.
    #[default]
    NotRun,
    /// The server is running it.
    Running,
    /// The server has sent its whole response.
    Finished,
    /// The server has broken off its response, answered with another id or answered the
    /// continuation of a stream with an error, or it has crashed.
    BrokenOff,
    /// The connection was closed by its other end before the server had ended.
    Abandoned,
}

/// What a server records of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestRecord {
    /// Arrival time.
    pub at: Duration,
    /// When the request had ended: its response was sent, or its connection closed.
    pub done: Option<Duration>,
    /// Signals in the response to the request; none if it has had no response.
    pub signals: StubSignals,
    /// How far the server got with the request.
    pub run: RunState,
    /// Whether it has sent a part of the body of its response.
    pub has_sent: bool,
}

impl RequestRecord {
    pub(crate) fn new(at: Duration) -> Self {
        Self {
            at,
            done: None,
            signals: StubSignals::default(),
            run: RunState::NotRun,
            has_sent: false,
        }
    }

    /// Records how the run has ended, unless it did not begin or has ended before.
    pub(crate) fn end(&mut self, end: RunState) {
        if self.run == RunState::Running {
            self.run = end;
        }
    }
}
