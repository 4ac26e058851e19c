//! Links between VMs, as a peer that speaks their frames sees them.

mod support;

use std::net::{IpAddr, SocketAddr, TcpStream};
use std::time::Duration;

use onyxfall_fakes::ServerStandIn;
use onyxfall_wire::{
    FrameReader, FrameWriter, MemberEntry, PROTOCOL_VERSION, PeerHello, PeerPayload,
    SnapshotRequest,
};
use support::Site;

/// Bound on one read, so that a test that fails ends.
const READ_LIMIT: Duration = Duration::from_secs(20);

fn hello(protocol: u32) -> PeerPayload {
    PeerPayload::Hello(PeerHello {
        protocol,
        deployment: String::new(),
        member: Some(MemberEntry {
            name: "stranger".to_owned(),
            center: "c1".to_owned(),
            region: "r1".to_owned(),
            incarnation: 1,
            leaving: false,
            address: "127.0.0.1:1".to_owned(),
            peer_address: "127.0.0.1:1".to_owned(),
        }),
    })
}

struct Link {
    reader: FrameReader<TcpStream>,
    writer: FrameWriter<TcpStream>,
}

impl Link {
    fn open(address: SocketAddr, greeting: PeerPayload) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(READ_LIMIT)).unwrap();
        let mut link = Self {
            reader: FrameReader::new(stream.try_clone().unwrap()),
            writer: FrameWriter::new(stream),
        };
        link.send(greeting);
        link
    }

    fn send(&mut self, payload: PeerPayload) {
        self.writer.write(&payload.into()).unwrap();
    }

    fn next(&mut self) -> Option<PeerPayload> {
        self.reader.read().ok()?.0.payload
    }
}

#[test]
fn a_greeting_is_answered_with_members_and_a_heartbeat_at_once() {
    let site = Site::start(2);
    let server = ServerStandIn::start(site.ip(0)).unwrap();
    site.announce("s0", &server, 0);
    site.configure(1);
    let gateway = site.gateway(0);
    gateway.wait_served();
    let peers = SocketAddr::new(IpAddr::V4(gateway.ip), site.ports.peers);
    let mut link = Link::open(peers, hello(PROTOCOL_VERSION));
    assert!(matches!(link.next(), Some(PeerPayload::Hello(_))));
    assert!(matches!(link.next(), Some(PeerPayload::Members(_))));
    let Some(PeerPayload::VmBeat(beat)) = link.next() else {
        panic!("no heartbeat follows the greeting");
    };
    assert!(beat.ready && beat.watches_store);
    assert_eq!(
        beat.loads.len(),
        1,
        "another region is told what is free here"
    );
    link.send(PeerPayload::SnapshotRequest(SnapshotRequest {}));
    let Some(PeerPayload::Snapshot(snapshot)) = link.next() else {
        panic!("no copy of the store is given");
    };
    assert_eq!(snapshot.items.len(), 2);
}

#[test]
fn a_peer_of_another_protocol_is_refused() {
    let site = Site::start(1);
    site.configure(1);
    let gateway = site.gateway(0);
    gateway.wait_ready();
    let peers = SocketAddr::new(IpAddr::V4(gateway.ip), site.ports.peers);
    let mut link = Link::open(peers, hello(PROTOCOL_VERSION + 1));
    assert!(link.next().is_none(), "the link is closed without a word");
}
