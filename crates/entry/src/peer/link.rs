//! One connection between two entries, as either side holds it.
//!
//! A writer thread drains a bounded queue. Request frames wait for room in it;
//! control frames are dropped and counted when it is full, for the next one
//! replaces them. The dialling side keeps a table of its streams: a frame for a
//! stream that is not in it is dropped and counted.

use std::collections::HashMap;
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded};
use onyxfall_clock::BootInstant;
use onyxfall_policy::MemberHeartbeat;
use onyxfall_types::VmName;
use onyxfall_wire::{
    FrameClass, FrameError, FrameWriter, PeerFrame, PeerPayload, ReplyData, ReplyEnd, ReplyHead,
};
use parking_lot::Mutex;

use crate::core::EntryCore;
use crate::metrics::{ByteFlow, CounterName};

const QUEUE_DEPTH: usize = 1024;
/// Events that a stream may have unread; the credit window keeps below it.
const STREAM_DEPTH: usize = 8192;
const SEND_PATIENCE: Duration = Duration::from_secs(5);

/// What happens on a stream.
#[derive(Debug)]
pub(crate) enum StreamEvent {
    Head(ReplyHead),
    Data(ReplyData),
    End(ReplyEnd),
    /// The link broke.
    Lost,
    /// Our side gave up.
    Cancelled,
}

/// The link is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LinkDown;

/// A connection to another entry.
pub(crate) struct PeerLink {
    peer: MemberHeartbeat,
    queue: Sender<PeerFrame>,
    socket: TcpStream,
    streams: Mutex<HashMap<u64, Sender<StreamEvent>>>,
    pings: Mutex<HashMap<u64, BootInstant>>,
    heard: Mutex<BootInstant>,
    down: AtomicBool,
}

impl PeerLink {
    /// Takes over a socket after both hellos and starts its writer.
    pub(crate) fn start(
        core: &Arc<EntryCore>,
        peer: MemberHeartbeat,
        socket: TcpStream,
        writer: FrameWriter<TcpStream>,
    ) -> Result<Arc<Self>, LinkDown> {
        let (queue, frames) = bounded(QUEUE_DEPTH);
        let link = Arc::new(Self {
            peer,
            queue,
            socket,
            streams: Mutex::default(),
            pings: Mutex::default(),
            heard: Mutex::new(BootInstant::now()),
            down: AtomicBool::new(false),
        });
        let (writer_core, writer_link) = (Arc::clone(core), Arc::clone(&link));
        thread::Builder::new()
            .name("peer-writer".to_owned())
            .stack_size(128 * 1024)
            .spawn(move || write_frames(&writer_core, &writer_link, writer, &frames))
            .map_err(|_| LinkDown)?;
        Ok(link)
    }

    pub(crate) fn peer(&self) -> &MemberHeartbeat {
        &self.peer
    }

    pub(crate) fn name(&self) -> &VmName {
        &self.peer.name
    }

    pub(crate) fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }

    /// Sends a request frame, waiting for room.
    pub(crate) fn send(&self, payload: PeerPayload) -> Result<(), LinkDown> {
        if self.is_down() {
            return Err(LinkDown);
        }
        let sent = self.queue.send_timeout(payload.into(), SEND_PATIENCE);
        sent.map_err(|_| {
            self.close();
            LinkDown
        })
    }

    /// Sends a control frame if there is room.
    pub(crate) fn send_control(&self, core: &EntryCore, payload: PeerPayload) {
        if self.queue.try_send(payload.into()).is_err() {
            core.metrics.count(CounterName::DroppedControl);
        }
    }

    /// Opens a stream for an attempt.
    pub(crate) fn open_stream(self: &Arc<Self>, attempt: u64) -> PeerStream {
        let (sender, events) = bounded(STREAM_DEPTH);
        let known = self.streams.lock().insert(attempt, sender.clone());
        debug_assert!(known.is_none(), "an attempt id is never used again");
        if self.is_down() {
            let _ = sender.try_send(StreamEvent::Lost);
        }
        PeerStream {
            link: Arc::clone(self),
            attempt,
            events,
            sender,
        }
    }

    /// Hands an event to its stream; a stray one is counted.
    pub(crate) fn deliver(&self, core: &EntryCore, attempt: u64, event: StreamEvent) {
        let stream = self.streams.lock().get(&attempt).cloned();
        let Some(stream) = stream else {
            core.metrics.count(CounterName::StrayFrames);
            return;
        };
        if stream.try_send(event).is_err() {
            log::warn!(
                "peer {} overran the credit of attempt {attempt}",
                self.name()
            );
            self.close();
        }
    }

    /// Notes a heartbeat that was sent, to measure the round trip.
    pub(crate) fn note_ping(&self, sequence: u64) {
        let mut pings = self.pings.lock();
        pings.retain(|_, at| at.elapsed() < SEND_PATIENCE);
        pings.insert(sequence, BootInstant::now());
    }

    /// Round trip of an answered heartbeat.
    pub(crate) fn take_ping(&self, sequence: u64) -> Option<Duration> {
        self.pings
            .lock()
            .remove(&sequence)
            .map(BootInstant::elapsed)
    }

    pub(crate) fn note_heard(&self) {
        *self.heard.lock() = BootInstant::now();
    }

    /// Time since the last frame from the peer.
    pub(crate) fn silence(&self) -> Duration {
        self.heard.lock().elapsed()
    }

    /// Breaks the link; every stream is lost.
    pub(crate) fn close(&self) {
        self.down.store(true, Ordering::SeqCst);
        let _ = self.socket.shutdown(Shutdown::Both);
        let streams: Vec<_> = self.streams.lock().drain().collect();
        for (_, stream) in streams {
            let _ = stream.try_send(StreamEvent::Lost);
        }
    }
}

fn write_frames(
    core: &EntryCore,
    link: &PeerLink,
    mut writer: FrameWriter<TcpStream>,
    frames: &Receiver<PeerFrame>,
) {
    const LOOK: Duration = Duration::from_millis(500);
    while !link.is_down() {
        let Ok(frame) = frames.recv_timeout(LOOK) else {
            continue;
        };
        let class = frame
            .payload
            .as_ref()
            .map_or(FrameClass::Control, FrameClass::of);
        match writer.write(&frame) {
            Ok(len) => core.metrics.note_bytes(class, ByteFlow::Out, len),
            Err(FrameError::TooLarge) => log::error!("a frame of class {class:?} is too large"),
            Err(e) => {
                log::debug!("link to {}: {e}", link.name());
                break;
            }
        }
    }
    link.close();
}

/// The dialling side's end of one stream.
pub(crate) struct PeerStream {
    link: Arc<PeerLink>,
    attempt: u64,
    events: Receiver<StreamEvent>,
    sender: Sender<StreamEvent>,
}

impl PeerStream {
    /// The next event; `None` when `patience` runs out.
    pub(crate) fn next(&self, patience: Duration) -> Option<StreamEvent> {
        self.events.recv_timeout(patience).ok()
    }

    /// A way to end the waiting from another thread.
    pub(crate) fn canceller(&self) -> impl FnOnce() + Send + 'static {
        let sender = self.sender.clone();
        move || {
            let _ = sender.try_send(StreamEvent::Cancelled);
        }
    }
}

impl Drop for PeerStream {
    fn drop(&mut self) {
        self.link.streams.lock().remove(&self.attempt);
    }
}
