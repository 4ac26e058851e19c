//! Links between VMs: frames over TCP, one connection in each direction.
//!
//! A VM sends its heartbeats on connections that it dials itself, and answers
//! what it is asked on connections that others dial. Whoever is heard of, in
//! the settings, in a greeting or in a list of members, is dialled.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use onyxfall_policy::MemberBeat;
use onyxfall_wire::{
    FrameError, MemberEntry, MemberSet, PROTOCOL_VERSION, PeerCodec, PeerFrame, PeerHello,
    PeerPayload, SnapshotRequest,
};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Framed;

use crate::beat::{beat_interval, own_beat, own_snapshot, take_beat, take_snapshot};
use crate::connection::dial;
use crate::gateway::Gateway;
use crate::listen::accept;

type FramedLink = Framed<TcpStream, PeerCodec>;

/// Longest time for a link to come up: two regions are 110 ms apart.
const DIAL_LIMIT: Duration = Duration::from_millis(1200);
/// Pause before a link is dialled again.
const DIAL_PAUSE: Duration = Duration::from_millis(500);
/// Pause between two looks for VMs that have no link yet.
const LOOK: Duration = Duration::from_millis(200);
/// Least time between two requests for a copy of the store on one link.
const SNAPSHOT_PAUSE: Duration = Duration::from_millis(600);
/// Bound on writing one frame; a peer that does not read loses its link.
const SEND_LIMIT: Duration = Duration::from_secs(2);

/// Starts dialling the VMs that are known, now and later.
pub(crate) fn start(gateway: &Rc<Gateway>) {
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        let dialled: Rc<RefCell<BTreeSet<SocketAddr>>> = Rc::default();
        loop {
            for address in wanted(&gateway) {
                if dialled.borrow_mut().insert(address) {
                    let gateway = Rc::clone(&gateway);
                    let dialled = Rc::clone(&dialled);
                    tokio::task::spawn_local(async move {
                        keep_link(&gateway, address).await;
                        dialled.borrow_mut().remove(&address);
                    });
                }
            }
            tokio::time::sleep(LOOK).await;
        }
    });
}

/// Addresses of every VM that is known, but this one.
fn wanted(gateway: &Gateway) -> BTreeSet<SocketAddr> {
    let settings = gateway.settings();
    let members = gateway.members.borrow();
    members
        .others()
        .map(|member| member.beat.peer_address)
        .chain(settings.seeds.iter().copied())
        .filter(|address| *address != settings.peers)
        .collect()
}

/// Tells every VM at once of a change of this one; used when it leaves.
pub(crate) fn tell_all(gateway: &Rc<Gateway>) {
    gateway.beat_now.notify_waiters();
}

/// Keeps a link as long as its address is wanted.
async fn keep_link(gateway: &Rc<Gateway>, address: SocketAddr) {
    while wanted(gateway).contains(&address) {
        match dial(address, DIAL_LIMIT).await {
            Ok(stream) => {
                if let Err(e) = run_link(gateway, stream).await {
                    log::info!(address:% = address, error:% = e; "link lost");
                }
            }
            Err(e) => log::debug!("no link to {address}: {e}"),
        }
        tokio::time::sleep(DIAL_PAUSE).await;
    }
}

/// Sends heartbeats on a link that was dialled, and takes what comes back.
async fn run_link(gateway: &Rc<Gateway>, stream: TcpStream) -> Result<(), FrameError> {
    let mut link = Framed::new(stream, PeerCodec::default());
    send(&mut link, hello(gateway)).await?;
    let Some(greeting) = link.next().await else {
        return Err(FrameError::Closed);
    };
    let Some(peer) = take_hello(gateway, greeting?) else {
        return Err(FrameError::Closed);
    };
    log::info!(member = peer.name.as_str(); "link up");
    let mut asked: Option<tokio::time::Instant> = None;
    loop {
        let beat = own_beat(gateway, &peer.region);
        send(&mut link, PeerPayload::VmBeat(beat)).await?;
        if gateway.wants_snapshot_of(&peer.name)
            && asked.is_none_or(|at| at.elapsed() >= SNAPSHOT_PAUSE)
        {
            asked = Some(tokio::time::Instant::now());
            let request = PeerPayload::SnapshotRequest(SnapshotRequest {});
            send(&mut link, request).await?;
        }
        let vms = gateway.members.borrow().others().count();
        let is_near = peer.region == gateway.settings().place.region;
        let until = tokio::time::Instant::now() + beat_interval(vms, is_near);
        loop {
            tokio::select! {
                () = tokio::time::sleep_until(until) => break,
                () = gateway.beat_now.notified() => break,
                frame = link.next() => match frame {
                    Some(frame) => take_reply(gateway, &peer, frame?),
                    None => return Err(FrameError::Closed),
                },
            }
        }
    }
}

fn take_reply(gateway: &Gateway, peer: &MemberBeat, frame: PeerFrame) {
    match frame.payload {
        Some(PeerPayload::VmBeat(beat)) => {
            let wants = take_beat(gateway, peer, &beat);
            gateway.note_snapshot_wish(&peer.name, wants);
        }
        Some(PeerPayload::Members(set)) => take_members(gateway, &set),
        Some(PeerPayload::Snapshot(snapshot)) => take_snapshot(gateway, snapshot),
        other => log::debug!("unexpected reply on a link: {other:?}"),
    }
}

/// Accepts links that other VMs dial.
pub(crate) async fn serve_links(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let (stream, from) = accept(&listener).await;
        let gateway = Rc::clone(&gateway);
        tokio::task::spawn_local(async move {
            if let Err(e) = serve_link(&gateway, stream).await {
                log::debug!("link from {from} ended: {e}");
            }
        });
    }
}

async fn serve_link(gateway: &Rc<Gateway>, stream: TcpStream) -> Result<(), FrameError> {
    let mut link = Framed::new(stream, PeerCodec::default());
    let Some(greeting) = link.next().await else {
        return Ok(());
    };
    let Some(peer) = take_hello(gateway, greeting?) else {
        return Ok(());
    };
    send(&mut link, hello(gateway)).await?;
    send(&mut link, PeerPayload::Members(known_members(gateway))).await?;
    // A VM that has just started must not wait until it is dialled in return.
    let beat = own_beat(gateway, &peer.region);
    send(&mut link, PeerPayload::VmBeat(beat)).await?;
    while let Some(frame) = link.next().await {
        match frame?.payload {
            Some(PeerPayload::VmBeat(beat)) => {
                let wants = take_beat(gateway, &peer, &beat);
                gateway.note_snapshot_wish(&peer.name, wants);
            }
            Some(PeerPayload::SnapshotRequest(_)) => {
                let snapshot = PeerPayload::Snapshot(own_snapshot(gateway));
                send(&mut link, snapshot).await?;
            }
            other => log::debug!("unexpected frame on a link: {other:?}"),
        }
    }
    Ok(())
}

fn hello(gateway: &Gateway) -> PeerPayload {
    let members = gateway.members.borrow();
    PeerPayload::Hello(PeerHello {
        protocol: PROTOCOL_VERSION,
        deployment: String::new(),
        member: Some(MemberEntry::from(members.own())),
    })
}

/// Takes a greeting; none if it is not one of this protocol.
fn take_hello(gateway: &Gateway, frame: PeerFrame) -> Option<MemberBeat> {
    let Some(PeerPayload::Hello(hello)) = frame.payload else {
        return None;
    };
    if hello.protocol != PROTOCOL_VERSION {
        log::warn!(protocol = hello.protocol; "peer of another protocol refused");
        return None;
    }
    let beat = hello.member.as_ref()?.to_beat()?;
    let now = gateway.now();
    gateway.members.borrow_mut().hint(now, &beat);
    Some(beat)
}

fn known_members(gateway: &Gateway) -> MemberSet {
    let members = gateway.members.borrow();
    MemberSet {
        center: String::new(),
        members: members
            .others()
            .map(|member| MemberEntry::from(&member.beat))
            .collect(),
    }
}

fn take_members(gateway: &Gateway, set: &MemberSet) {
    let now = gateway.now();
    let mut members = gateway.members.borrow_mut();
    for beat in set.members.iter().filter_map(MemberEntry::to_beat) {
        members.hint(now, &beat);
    }
}

async fn send(link: &mut FramedLink, payload: PeerPayload) -> Result<(), FrameError> {
    let sent = tokio::time::timeout(SEND_LIMIT, link.send(payload.into())).await;
    sent.map_err(|_| FrameError::Io(std::io::ErrorKind::TimedOut.into()))?
}
