//! Links to other entries, one dialled link for each peer.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Weak};
use std::thread;
use std::time::Duration;

use onyxfall_policy::MemberHeartbeat;
use onyxfall_types::VmName;
use onyxfall_wire::{FrameClass, FrameReader, FrameWriter, PeerPayload};
use parking_lot::Mutex;
use socket2::{Domain, Protocol, Socket, Type};

use crate::control::handle_control;
use crate::core::EntryCore;
use crate::metrics::ByteFlow;
use crate::peer::convert::{check_hello, own_hello};
use crate::peer::link::{LinkDown, PeerLink, StreamEvent};

const HELLO_TIMEOUT: Duration = Duration::from_secs(3);

/// Slot for the link to one peer; its lock prevents two threads from dialling at once.
type LinkSlot = Arc<Mutex<Option<Arc<PeerLink>>>>;

/// Dialled links by peer, and the accepted links.
#[derive(Default)]
pub(crate) struct PeerLinks {
    slots: Mutex<BTreeMap<VmName, LinkSlot>>,
    accepted: Mutex<Vec<Weak<PeerLink>>>,
}

impl PeerLinks {
    /// Returns the link to a peer; dials if there is none.
    pub(crate) fn link_to(
        &self,
        core: &Arc<EntryCore>,
        peer: &MemberHeartbeat,
    ) -> Result<Arc<PeerLink>, LinkDown> {
        let slot = Arc::clone(self.slots.lock().entry(peer.name.clone()).or_default());
        let mut current = slot.lock();
        if let Some(link) = current.as_ref().filter(|link| !link.is_down()) {
            return Ok(Arc::clone(link));
        }
        let link = dial(core, peer).map_err(|e| {
            log::debug!("dialling {} failed: {e}", peer.name);
            LinkDown
        })?;
        *current = Some(Arc::clone(&link));
        Ok(link)
    }

    /// Returns the link to a peer; dials unless another thread is dialling.
    pub(crate) fn try_link_to(
        &self,
        core: &Arc<EntryCore>,
        peer: &MemberHeartbeat,
    ) -> Result<Arc<PeerLink>, LinkDown> {
        let slot = Arc::clone(self.slots.lock().entry(peer.name.clone()).or_default());
        if slot.try_lock().is_none() {
            return Err(LinkDown);
        }
        self.link_to(core, peer)
    }

    /// Returns the link to a peer if it is up.
    pub(crate) fn up(&self, peer: &VmName) -> Option<Arc<PeerLink>> {
        let slot = Arc::clone(self.slots.lock().get(peer)?);
        link_in(&slot)
    }

    /// Dialled links that are up.
    pub(crate) fn open(&self) -> Vec<Arc<PeerLink>> {
        let slots: Vec<LinkSlot> = self.slots.lock().values().cloned().collect();
        slots.iter().filter_map(link_in).collect()
    }

    /// Records a link that a peer dialled.
    pub(crate) fn record_accepted(&self, link: &Arc<PeerLink>) {
        let mut accepted = self.accepted.lock();
        accepted.retain(|link| link.strong_count() > 0);
        accepted.push(Arc::downgrade(link));
    }

    /// Closes every link, dialled or accepted.
    pub(crate) fn close_all(&self) {
        let accepted: Vec<Weak<PeerLink>> = std::mem::take(&mut *self.accepted.lock());
        for link in accepted.iter().filter_map(Weak::upgrade).chain(self.open()) {
            link.close();
        }
    }

    /// Drops the links of peers that are no longer members.
    pub(crate) fn retain(&self, keep: impl Fn(&VmName) -> bool) {
        self.slots.lock().retain(|name, _| keep(name));
    }
}

/// Returns the link in a slot if it is up and no thread is dialling.
fn link_in(slot: &LinkSlot) -> Option<Arc<PeerLink>> {
    let link = slot.try_lock()?.clone()?;
    (!link.is_down()).then_some(link)
}

fn dial(core: &Arc<EntryCore>, peer: &MemberHeartbeat) -> Result<Arc<PeerLink>, String> {
    let stream = connect(core, peer.peer_address).map_err(|e| e.to_string())?;
    let duplicate = || stream.try_clone().map_err(|e| e.to_string());
    stream
        .set_read_timeout(Some(HELLO_TIMEOUT))
        .map_err(|e| e.to_string())?;
    let mut writer = FrameWriter::new(duplicate()?);
    let mut reader = FrameReader::new(duplicate()?);
    writer
        .write(&own_hello(core).into())
        .map_err(|e| e.to_string())?;
    let (frame, _) = reader.read().map_err(|e| e.to_string())?;
    let member = check_hello(core, frame.payload)?;
    if member.name != peer.name {
        return Err(format!(
            "VM {} responds at the address of the peer",
            member.name
        ));
    }
    stream.set_read_timeout(None).map_err(|e| e.to_string())?;
    let now = core.now();
    core.members.lock().receive(now, &member);
    let link = PeerLink::start(core, member, stream, writer)
        .map_err(|_| "cannot start a thread".to_owned())?;
    let (reader_core, reader_link) = (Arc::clone(core), Arc::clone(&link));
    let spawned = thread::Builder::new()
        .name("peer-reader".to_owned())
        .stack_size(256 * 1024)
        .spawn(move || read_replies(&reader_core, &reader_link, reader));
    spawned.map_err(|e| e.to_string())?;
    Ok(link)
}

fn connect(core: &EntryCore, address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    if let Some(source) = core.settings.peer_source {
        socket.bind(&SocketAddr::new(source, 0).into())?;
    }
    socket.connect_timeout(&address.into(), core.settings.connect_timeout)?;
    let stream = TcpStream::from(socket);
    stream.set_nodelay(true)?;
    Ok(stream)
}

fn read_replies(core: &Arc<EntryCore>, link: &Arc<PeerLink>, mut reader: FrameReader<TcpStream>) {
    loop {
        let (frame, len) = match reader.read() {
            Ok(read) => read,
            Err(e) => {
                log::debug!("reading from the link to {} failed: {e}", link.name());
                break;
            }
        };
        link.record_received();
        let Some(payload) = frame.payload else {
            continue;
        };
        core.metrics
            .record_bytes(FrameClass::of(&payload), ByteFlow::In, len);
        match payload {
            PeerPayload::Head(head) => link.deliver(core, head.attempt, StreamEvent::Head(head)),
            PeerPayload::Data(data) => link.deliver(core, data.attempt, StreamEvent::Data(data)),
            PeerPayload::End(end) => link.deliver(core, end.attempt, StreamEvent::End(end)),
            other => handle_control(core, link, other),
        }
    }
    link.close();
}
