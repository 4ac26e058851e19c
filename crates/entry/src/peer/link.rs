//! One connection between two entries, used by both the dialling and the accepting
//! side.
//!
//! A writer thread drains a bounded queue. Request frames wait for room in it. Control
//! frames are dropped and counted when it is full, because the next one replaces them.
//! The dialling side keeps a table of its streams; a frame for a stream that is not in
//! the table is dropped and counted.

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
/// Maximum number of undelivered events of a stream; the credit window keeps a stream
/// below it.
const STREAM_DEPTH: usize = 8192;
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// An event of a stream.
#[derive(Debug)]
pub(crate) enum StreamEvent {
    Head(ReplyHead),
    Data(ReplyData),
    End(ReplyEnd),
    /// The link was closed.
    Lost,
    /// This side cancelled the attempt.
    Cancelled,
}

/// Error: the link is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LinkDown;

/// A connection to another entry.
pub(crate) struct PeerLink {
    peer: MemberHeartbeat,
    queue: Sender<PeerFrame>,
    socket: TcpStream,
    streams: Mutex<HashMap<u64, Sender<StreamEvent>>>,
    pings: Mutex<HashMap<u64, BootInstant>>,
    last_received: Mutex<BootInstant>,
    down: AtomicBool,
}

impl PeerLink {
    /// Starts the writer thread of a connection on which both hellos were exchanged.
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
            last_received: Mutex::new(BootInstant::now()),
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

    /// Sends a request frame, waiting for room in the queue.
    pub(crate) fn send(&self, payload: PeerPayload) -> Result<(), LinkDown> {
        if self.is_down() {
            return Err(LinkDown);
        }
        let sent = self.queue.send_timeout(payload.into(), SEND_TIMEOUT);
        sent.map_err(|_| {
            self.close();
            LinkDown
        })
    }

    /// Sends a control frame if there is room in the queue.
    pub(crate) fn send_control(&self, core: &EntryCore, payload: PeerPayload) {
        if self.queue.try_send(payload.into()).is_err() {
            core.metrics.count(CounterName::DroppedControl);
        }
    }

    /// Opens a stream for an attempt.
    pub(crate) fn open_stream(self: &Arc<Self>, attempt: u64) -> PeerStream {
        let (sender, events) = bounded(STREAM_DEPTH);
        let former = self.streams.lock().insert(attempt, sender.clone());
        debug_assert!(former.is_none(), "an attempt id is used only once");
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

    /// Delivers an event to its stream; an event without a stream is counted.
    pub(crate) fn deliver(&self, core: &EntryCore, attempt: u64, event: StreamEvent) {
        let stream = self.streams.lock().get(&attempt).cloned();
        let Some(stream) = stream else {
            core.metrics.count(CounterName::StrayFrames);
            return;
        };
        if stream.try_send(event).is_err() {
            log::warn!(
                "peer {} exceeded the credit of attempt {attempt}",
                self.name()
            );
            self.close();
        }
    }

    /// Records when a heartbeat was sent, to measure the round trip.
    pub(crate) fn record_ping(&self, sequence: u64) {
        let mut pings = self.pings.lock();
        pings.retain(|_, at| at.elapsed() < SEND_TIMEOUT);
        pings.insert(sequence, BootInstant::now());
    }

    /// Removes a recorded heartbeat and returns its round-trip time.
    pub(crate) fn finish_ping(&self, sequence: u64) -> Option<Duration> {
        self.pings
            .lock()
            .remove(&sequence)
            .map(BootInstant::elapsed)
    }

    pub(crate) fn record_received(&self) {
        *self.last_received.lock() = BootInstant::now();
    }

    /// Time since the last frame from the peer.
    pub(crate) fn time_since_received(&self) -> Duration {
        self.last_received.lock().elapsed()
    }

    /// Closes the link and ends every stream with [`StreamEvent::Lost`].
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
    const QUEUE_POLL: Duration = Duration::from_millis(500);
    while !link.is_down() {
        let Ok(frame) = frames.recv_timeout(QUEUE_POLL) else {
            continue;
        };
        let class = frame
            .payload
            .as_ref()
            .map_or(FrameClass::Control, FrameClass::of);
        match writer.write(&frame) {
            Ok(len) => core.metrics.record_bytes(class, ByteFlow::Out, len),
            Err(FrameError::TooLarge) => log::error!("a frame of class {class:?} is too large"),
            Err(e) => {
                log::debug!("writing to the link to {} failed: {e}", link.name());
                break;
            }
        }
    }
    link.close();
}

/// The dialling side of one stream.
pub(crate) struct PeerStream {
    link: Arc<PeerLink>,
    attempt: u64,
    events: Receiver<StreamEvent>,
    sender: Sender<StreamEvent>,
}

impl PeerStream {
    /// Returns the next event, or `None` after `timeout`.
    pub(crate) fn next(&self, timeout: Duration) -> Option<StreamEvent> {
        self.events.recv_timeout(timeout).ok()
    }

    /// Returns a function that ends a blocked [`Self::next`] from another thread.
    pub(crate) fn cancel_hook(&self) -> impl FnOnce() + Send + 'static {
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
