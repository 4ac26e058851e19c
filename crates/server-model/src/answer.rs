//! What the answer to a request consists of, and how it ends.

use std::collections::VecDeque;
use std::time::Duration;

use crate::{BreakPoint, ServerFault, StubFraming};

/// What a server knows of a request that it begins to run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunRequest {
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// Number of events that the caller has, if another server has begun the stream.
    pub received: Option<usize>,
    /// Whether the server continues the run from a copy of its memory.
    pub is_from_copy: bool,
    /// When running it crashes the server, if it does.
    pub crash: Option<CrashPoint>,
    /// Delay before each event.
    pub pause: Duration,
}

/// Point at which a request crashes the server that runs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
    /// Before the head of the answer.
    BeforeHead,
    /// After the first events of a stream; before the head of another answer.
    DuringAnswer,
}

/// How a server answers a request that it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// With a whole body.
    Whole,
    /// With a stream of events.
    Stream,
    /// With an error of its own.
    Failure,
    /// By closing the connection.
    Closed,
    /// Not at all.
    Never,
}

/// What comes next of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextPart {
    /// Nothing before this time.
    At(Duration),
    /// Nothing, unless the server goes on after a silence.
    Never,
    /// The event with this index, or a whole body.
    Event(usize),
    /// The first half of the event with this index.
    HalfEvent(usize),
    /// The regular end.
    End,
    /// The connection ends before the regular end.
    Break,
}

/// The parts of an answer that are still to be sent.
#[derive(Clone, Debug)]
pub(crate) struct AnswerScript {
    parts: VecDeque<NextPart>,
    /// Whether it is broken off after the last part.
    pub(crate) breaks: bool,
    /// Whether the body has a delimiter of its own.
    pub(crate) is_delimited: bool,
    /// Whether the last part is never sent.
    is_endless: bool,
    /// Delay before each part, and when the next one is due.
    pause: Option<(Duration, Duration)>,
}

impl AnswerScript {
    pub(crate) fn whole(framing: StubFraming) -> Self {
        Self {
            parts: VecDeque::from([NextPart::Event(0)]),
            breaks: false,
            is_delimited: framing == StubFraming::Chunks,
            is_endless: false,
            pause: None,
        }
    }

    /// A stream of `events` events.
    pub(crate) fn stream(
        request: &RunRequest,
        events: usize,
        fault: ServerFault,
        framing: StubFraming,
        now: Duration,
    ) -> Self {
        let mut parts: VecDeque<NextPart> = (request.received.unwrap_or(0)..events)
            .map(NextPart::Event)
            .collect();
        let breaks = match fault {
            ServerFault::Disconnects => Some(BreakPoint::AfterEvent),
            ServerFault::BreaksStreams(point) if !request.is_from_copy => Some(point),
            ServerFault::BreaksAndLosesBackups if !request.is_from_copy => {
                Some(BreakPoint::AfterEvent)
            }
            _ => None,
        };
        if let Some(point) = breaks {
            point.cut(&mut parts);
        }
        Self {
            parts,
            breaks: breaks.is_some(),
            is_delimited: framing == StubFraming::Chunks,
            is_endless: request.crash.is_some() || fault == ServerFault::Stalls,
            pause: Some((request.pause, now + request.pause)),
        }
    }

    /// Takes the next part if it is due.
    pub(crate) fn next(&mut self, now: Duration) -> NextPart {
        if let Some((pause, due)) = &mut self.pause {
            if now < *due {
                return NextPart::At(*due);
            }
            *due = now + *pause;
        }
        if self.is_endless && self.parts.len() <= 1 {
            return NextPart::Never;
        }
        match self.parts.pop_front() {
            Some(part) => part,
            None if self.breaks => NextPart::Break,
            None => NextPart::End,
        }
    }
}

impl BreakPoint {
    /// Truncates `parts` to those sent before the break.
    fn cut(self, parts: &mut VecDeque<NextPart>) {
        match self {
            Self::BeforeEvents => parts.clear(),
            Self::AfterEvent => parts.truncate(1),
            Self::InEvent => {
                parts.truncate(2);
                if let Some(NextPart::Event(index)) = parts.get(1).copied() {
                    parts[1] = NextPart::HalfEvent(index);
                }
            }
            Self::BeforeEnd => {}
        }
    }
}
