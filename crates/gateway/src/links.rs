//! Links between VMs: frames over TCP, one connection in each direction.
//!
//! A VM sends its heartbeats on connections that it dials itself, and answers
//! what it is asked on connections that others dial. Whoever is heard of, in
//! the settings, in a greeting or in a list of members, is greeted once. A link
//! stays up to the VMs of the region, and to those of other regions that this VM
//! is to tell (see [`onyxfall_policy::FAR_PARTNERS`]).

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::{SinkExt, StreamExt};
use onyxfall_fleet::DecisionSwitch;
use onyxfall_policy::{MemberBeat, MemberState, MemberTable, VmMember};
use onyxfall_wire::{
    FrameError, MemberEntry, MemberSet, PROTOCOL_VERSION, PeerCodec, PeerFrame, PeerHello,
    PeerPayload,
};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Framed;

use crate::beat::{own_beat, own_snapshot, take_beat, take_snapshot};
use crate::connection::{LATE_DIAL_LIMIT, dial};
use crate::costs::own_costs;
use crate::gateway::Gateway;
use crate::listen::accept;
use crate::teller::LinkTeller;

pub(crate) type FramedLink = Framed<TcpStream, PeerCodec>;

/// Least limit of a dial, also to a VM next door: it may be without its processor
/// for a tenth of a second.
const LEAST_DIAL_LIMIT: Duration = Duration::from_millis(150);
/// Pause before a link is dialled again.
const DIAL_PAUSE: Duration = Duration::from_millis(500);
/// The same while this VM is young: VMs that lost power together come back within
/// some tenths of a second, and until a link is up no request can be sent away.
const YOUNG_DIAL_PAUSE: Duration = Duration::from_millis(20);
/// Pause between two looks for VMs that have no link yet.
const LOOK: Duration = Duration::from_millis(200);
/// Age up to which a VM passes on members that nobody was heard from yet: when
/// all VMs start at once, names must spread before heartbeats do.
const YOUNG: Duration = Duration::from_secs(10);
/// A young VM looks more often.
const YOUNG_LOOK: Duration = Duration::from_millis(20);
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
            let is_young = gateway.started.elapsed() < YOUNG;
            tokio::time::sleep(if is_young { YOUNG_LOOK } else { LOOK }).await;
        }
    });
}

/// Addresses to which there is to be a link: those of VMs that are to be told or
/// greeted, and those of the settings whose VM is unknown.
fn wanted(gateway: &Gateway) -> BTreeSet<SocketAddr> {
    let settings = gateway.settings();
    let members = gateway.members.borrow();
    let known: BTreeSet<SocketAddr> = members
        .others()
        .map(|member| member.beat.peer_address)
        .collect();
    let seeds = settings.seeds.iter().copied();
    members
        .others()
        .map(|member| &member.beat)
        .filter(|beat| wants_member(gateway, &members, beat))
        .map(|beat| beat.peer_address)
        .chain(seeds.filter(|address| !known.contains(address)))
        .filter(|address| *address != settings.peers)
        .collect()
}

fn wants_member(gateway: &Gateway, members: &MemberTable, beat: &MemberBeat) -> bool {
    members.tells(beat) || !gateway.greeted.borrow().contains(&beat.peer_address)
}

/// Whether there is to be a link to one address that was wanted before. Asked
/// before each dial, so it looks at the VMs of that address only.
fn is_wanted(gateway: &Gateway, address: SocketAddr) -> bool {
    let members = gateway.members.borrow();
    let mut is_known = false;
    for member in members.others() {
        if member.beat.peer_address == address {
            is_known = true;
            if wants_member(gateway, &members, &member.beat) {
                return true;
            }
        }
    }
    !is_known && gateway.settings().seeds.contains(&address)
}

/// Tells every VM at once of a change of this one; used when it leaves.
pub(crate) fn tell_all(gateway: &Rc<Gateway>) {
    gateway.beat_now.notify_waiters();
}

/// Keeps a link as long as its address is wanted.
async fn keep_link(gateway: &Rc<Gateway>, address: SocketAddr) {
    let mut failures = 0;
    while is_wanted(gateway, address) {
        let dialled = Instant::now();
        match dial(address, dial_limit(gateway, address, failures)).await {
            Ok(stream) => {
                failures = 0;
                let ended = run_link(gateway, stream, address, dialled.elapsed()).await;
                if let Err(e) = ended {
                    log::info!(address:% = address, error:% = e; "link lost");
                }
            }
            Err(e) => {
                failures += 1;
                log::debug!("no link to {address}: {e}");
            }
        }
        let is_young = gateway.started.elapsed() < YOUNG;
        tokio::time::sleep(if is_young {
            YOUNG_DIAL_PAUSE
        } else {
            DIAL_PAUSE
        })
        .await;
    }
}

/// How long to wait for a link to an address, after `failures` in a row.
fn dial_limit(gateway: &Gateway, address: SocketAddr, failures: u32) -> Duration {
    if !gateway.is_on(DecisionSwitch::EarlyDial) {
        return LATE_DIAL_LIMIT;
    }
    let members = gateway.members.borrow();
    let mut others = members.others().map(|member| &member.beat);
    let known = others.find(|beat| beat.peer_address == address);
    let region = known.map(|beat| &beat.region);
    let limit = gateway.trips.borrow().dial_limit(region, failures);
    limit.max(LEAST_DIAL_LIMIT)
}

/// Greets the VM at the other end of a link that was dialled, and tells it
/// heartbeats for as long as it is to be told.
async fn run_link(
    gateway: &Rc<Gateway>,
    stream: TcpStream,
    address: SocketAddr,
    took: Duration,
) -> Result<(), FrameError> {
    let mut link = Framed::new(stream, PeerCodec::default());
    send(&mut link, hello(gateway)).await?;
    let Some(greeting) = link.next().await else {
        return Err(FrameError::Closed);
    };
    let Some(peer) = take_hello(gateway, greeting?) else {
        return Err(FrameError::Closed);
    };
    gateway.trips.borrow_mut().note(&peer.region, took);
    if let Some(Ok(frame)) = link.next().await {
        take_reply(gateway, &peer, frame);
    }
    gateway.greeted.borrow_mut().insert(address);
    if !gateway.members.borrow().tells(&peer) {
        return Ok(());
    }
    log::info!(member = peer.name.as_str(); "link up");
    gateway.linked.borrow_mut().insert(peer.name.clone());
    let ended = LinkTeller::new(gateway, &peer).run(&mut link).await;
    gateway.linked.borrow_mut().remove(&peer.name);
    ended
}

pub(crate) fn take_reply(gateway: &Gateway, peer: &MemberBeat, frame: PeerFrame) {
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
    if gateway.members.borrow().tells(&peer) {
        // A VM that has just started must not wait until it is dialled in return.
        let mut beat = own_beat(gateway, &peer.region);
        beat.costs = own_costs(gateway);
        send(&mut link, PeerPayload::VmBeat(beat)).await?;
    }
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
            Some(PeerPayload::Delta(delta)) => gateway.take_delta(delta),
            Some(PeerPayload::Members(set)) => take_members(gateway, &set),
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

/// The members that this VM knows to live: those that it hears, and those to
/// which it has a link. Others would be kept in memory by word of mouth alone.
pub(crate) fn known_members(gateway: &Gateway) -> MemberSet {
    let members = gateway.members.borrow();
    let linked = gateway.linked.borrow();
    let is_young = gateway.started.elapsed() < YOUNG;
    let is_known = |member: &VmMember| match member.state {
        MemberState::Alive | MemberState::Leaving => true,
        MemberState::Hinted => is_young || linked.contains(&member.beat.name),
        MemberState::Suspect | MemberState::Gone => linked.contains(&member.beat.name),
    };
    MemberSet {
        center: String::new(),
        members: members
            .others()
            .filter(|member| is_known(member))
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

/// Writes one frame.
pub(crate) async fn send(link: &mut FramedLink, payload: PeerPayload) -> Result<(), FrameError> {
    let sent = tokio::time::timeout(SEND_LIMIT, link.send(payload.into())).await;
    sent.map_err(|_| FrameError::Io(std::io::ErrorKind::TimedOut.into()))?
}
