//! Links between VMs, tested by a peer that exchanges their frames.

mod support;

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use bytes::Bytes;
use onyxfall_fakes::ServerStub;
use onyxfall_wire::{
    FrameReader, FrameWriter, PROTOCOL_VERSION, PeerHello, PeerPayload, SnapshotItem,
    SnapshotRequest, StoreDelta, StoreSnapshot, VmEntry, VmUpdate,
};
use support::{Gateway, Site, wait_for};

/// Timeout for one read, so that a failing test ends.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Numbers of the overlay's relations in frames.
const SEEK: u32 = 2;
const REGION: u32 = 4;
const REFERRAL: u32 = 7;

/// A VM of the second region that accepts links on `port`.
fn peer_entry(port: u16) -> VmEntry {
    VmEntry {
        name: "stranger".to_owned(),
        center: "c1".to_owned(),
        incarnation: 1,
        ip: Bytes::copy_from_slice(&Ipv4Addr::LOCALHOST.octets()),
        callers_port: 1,
        peers_port: port.into(),
        ready: true,
        ..VmEntry::default()
    }
}

fn hello(protocol: u32, port: u16) -> PeerPayload {
    PeerPayload::Hello(PeerHello {
        protocol,
        deployment: String::new(),
        member: None,
        vm: Some(peer_entry(port)),
    })
}

struct Link {
    reader: FrameReader<TcpStream>,
    writer: FrameWriter<TcpStream>,
}

impl Link {
    fn open(address: SocketAddr, hello: PeerPayload) -> Self {
        let mut link = Self::from_stream(TcpStream::connect(address).unwrap());
        link.send(hello);
        link
    }

    fn from_stream(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        Self {
            reader: FrameReader::new(stream.try_clone().unwrap()),
            writer: FrameWriter::new(stream),
        }
    }

    fn send(&mut self, payload: PeerPayload) {
        self.writer.write(&payload.into()).unwrap();
    }

    fn next(&mut self) -> Option<PeerPayload> {
        self.reader.read().ok()?.0.payload
    }

    /// The next update of a relation.
    fn update(&mut self, relation: u32) -> Box<VmUpdate> {
        loop {
            match self.next() {
                Some(PeerPayload::Update(update)) if update.relation == relation => {
                    return update;
                }
                Some(_) => {}
                None => panic!("the link ended before an update of relation {relation}"),
            }
        }
    }
}

fn start() -> (Site, ServerStub, Gateway) {
    let site = Site::start(2);
    let server = ServerStub::start(site.ip(0)).unwrap();
    site.announce("s0", &server, 0);
    site.configure(1);
    let gateway = site.gateway(0);
    gateway.wait_served();
    (site, server, gateway)
}

fn peers(site: &Site, gateway: &Gateway) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(gateway.ip), site.ports.peers)
}

#[test]
fn a_vm_that_seeks_peers_gets_a_reply_at_once() {
    let (site, _server, gateway) = start();
    let mut link = Link::open(peers(&site, &gateway), hello(PROTOCOL_VERSION, 1));
    let seek = VmUpdate {
        relation: SEEK,
        record: Some(peer_entry(1)),
        ..VmUpdate::default()
    };
    link.send(PeerPayload::Update(Box::new(seek)));
    assert!(matches!(link.next(), Some(PeerPayload::Hello(_))));
    let Some(PeerPayload::Update(reply)) = link.next() else {
        panic!("no update follows the hello");
    };
    assert_eq!(reply.relation, REFERRAL);
    assert!(reply.copy_is_whole && reply.copy_revision > 0);
    let roster = reply.word.unwrap();
    let named = roster.vms.iter().find(|vm| vm.name == "vm0").unwrap();
    assert!(named.ready && named.watches_store);
    link.send(PeerPayload::SnapshotRequest(SnapshotRequest::default()));
    let Some(PeerPayload::Snapshot(snapshot)) = link.next() else {
        panic!("no copy of the store is sent");
    };
    assert_eq!(snapshot.items.len(), 2);
    assert!(snapshot.is_steady);
}

#[test]
fn another_region_receives_the_free_capacity() {
    let (site, _server, gateway) = start();
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let port = listener.local_addr().unwrap().port();
    let _dialled = Link::open(peers(&site, &gateway), hello(PROTOCOL_VERSION, port));
    let (stream, _) = listener.accept().unwrap();
    let mut link = Link::from_stream(stream);
    assert!(matches!(link.next(), Some(PeerPayload::Hello(_))));
    link.send(hello(PROTOCOL_VERSION, port));
    let update = link.update(REGION);
    assert_eq!(update.regions.len(), 1);
    assert_eq!(update.regions[0].region, "r0");
    assert_eq!(update.regions[0].services.len(), 1);
}

#[test]
fn a_peer_with_another_protocol_version_is_rejected() {
    let site = Site::start(1);
    site.configure(1);
    let gateway = site.gateway(0);
    gateway.wait_ready();
    let mut link = Link::open(peers(&site, &gateway), hello(PROTOCOL_VERSION + 1, 1));
    assert!(link.next().is_none(), "the link is closed without a reply");
}

/// The gateway's reply to a message that seeks peers.
fn seek(link: &mut Link) -> Box<VmUpdate> {
    let seek = VmUpdate {
        relation: SEEK,
        record: Some(peer_entry(1)),
        ..VmUpdate::default()
    };
    link.send(PeerPayload::Update(Box::new(seek)));
    link.update(REFERRAL)
}

/// A whole copy of the store with one entry.
fn snapshot(revision: u64) -> PeerPayload {
    PeerPayload::Snapshot(StoreSnapshot {
        revision,
        items: vec![SnapshotItem {
            key: "servers/s0".to_owned(),
            value: Bytes::from_static(b"{}"),
            revision: 1,
        }],
        is_steady: true,
        ..StoreSnapshot::default()
    })
}

#[test]
fn a_copy_that_lacks_a_change_is_not_passed_on() {
    let site = Site::start(2);
    let unreachable = SocketAddr::from((Ipv4Addr::LOCALHOST, 9));
    let gateway = site.gateway_with_store(0, unreachable);
    wait_for("the gateway to listen", || {
        TcpStream::connect(peers(&site, &gateway)).is_ok()
    });
    let mut link = Link::open(peers(&site, &gateway), hello(PROTOCOL_VERSION, 1));
    link.send(snapshot(94));
    let reply = seek(&mut link);
    assert!(reply.copy_is_whole && reply.copy_revision == 94);
    // The change at revision 95 was lost.
    link.send(PeerPayload::Delta(StoreDelta {
        base: 95,
        revision: 96,
        ..StoreDelta::default()
    }));
    let reply = seek(&mut link);
    assert_eq!(reply.copy_revision, 96);
    assert!(!reply.copy_is_whole, "a copy with a gap is reported whole");
    link.send(PeerPayload::SnapshotRequest(SnapshotRequest::default()));
    link.send(snapshot(96));
    let mut is_passed_on = false;
    let seeks = PeerPayload::Update(Box::new(VmUpdate {
        relation: SEEK,
        ..VmUpdate::default()
    }));
    link.send(seeks);
    let reply = loop {
        match link.next().expect("the link ended") {
            PeerPayload::Snapshot(_) => is_passed_on = true,
            PeerPayload::Update(update) if update.relation == REFERRAL => break update,
            _ => {}
        }
    };
    assert!(!is_passed_on, "a copy with a gap is passed on");
    assert!(reply.copy_is_whole, "whole again after a copy");
}
