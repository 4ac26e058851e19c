//! The gateway applies or rejects any frame that another VM sends. It keeps serving, and its
//! memory stays bounded.

mod support;

use std::fs;
use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use onyxfall_wire::{
    FrameWriter, LostInstanceEntry, PROTOCOL_VERSION, PeerHello, PeerPayload, RegionLoadEntry,
    ServerWorkEntry, ServiceCostEntry, ServiceLoadEntry, SnapshotItem, StoreDelta, StoreSnapshot,
    SuspectEntry, VmEntry, VmRosterUpdate, VmUpdate, WorkSet,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::{Gateway, ServingSite, call};

const SEED: u64 = 7;
/// Number of frames sent, which takes 1.4 s.
const FRAMES: usize = 20_000;
/// Number of bytes changed in one frame.
const CHANGES: std::ops::RangeInclusive<usize> = 0..=3;
/// Number of frames on a connection, kept low because the first malformed frame closes it.
const FRAMES_PER_CONNECTION: usize = 4;
/// Size of a frame's length prefix. It is changed in one of ten frames only: most lengths
/// announce more bytes than are ever sent.
const LENGTH_BYTES: usize = 4;
/// Memory of the smallest VMs, in KB; an idle gateway takes about 10 MB.
const MAX_MEMORY_KB: u64 = 160 * 1024;
const READ_TIMEOUT: Duration = Duration::from_millis(200);

fn entry(name: &str) -> VmEntry {
    VmEntry {
        name: name.to_owned(),
        center: "c0".to_owned(),
        incarnation: 5,
        change: 1,
        ip: Bytes::from_static(&[127, 0, 0, 1]),
        callers_port: 1,
        peers_port: 1,
        millicores: 250,
        ready: true,
        ..VmEntry::default()
    }
}

fn update() -> VmUpdate {
    VmUpdate {
        relation: 1,
        record: Some(entry("stranger")),
        word: Some(VmRosterUpdate {
            is_whole: true,
            vms: vec![entry("other")],
            ..VmRosterUpdate::default()
        }),
        work: Some(WorkSet {
            is_whole: true,
            servers: vec![ServerWorkEntry {
                server: 9,
                requests: 3,
                unread: vec![1, 2],
                memory: 5,
                flow: 8,
                good: 1,
                bad: 1,
                limit_vms: 2,
                limit_thousandths: 4500,
                pace_vms: Some(2),
                pace_percent: Some(500),
            }],
        }),
        copy_hash: 1,
        copy_revision: 2,
        costs: vec![ServiceCostEntry {
            service: 3,
            first: vec![1.0, 2.0],
            pace: vec![0.5],
            plain_ms: 3.0,
            ..ServiceCostEntry::default()
        }],
        regions: vec![RegionLoadEntry {
            region: "r9".to_owned(),
            services: vec![ServiceLoadEntry::default()],
            ..RegionLoadEntry::default()
        }],
        suspects: vec![SuspectEntry {
            fingerprint: Bytes::from_static(&[7; 16]),
            lives: vec![1, 2],
            ages_ms: vec![5, 5],
            ..SuspectEntry::default()
        }],
        lost_lives: vec![LostInstanceEntry {
            life: 1,
            survivals: 0,
            lost_ms: Some(5),
        }],
        ..VmUpdate::default()
    }
}

/// An item of the store that this system does not use, so that changes of it have no effect.
fn item() -> SnapshotItem {
    SnapshotItem {
        key: "status/x".to_owned(),
        value: Bytes::from_static(b"value"),
        revision: 1,
    }
}

fn payloads() -> [PeerPayload; 4] {
    let hello = PeerHello {
        protocol: PROTOCOL_VERSION,
        vm: Some(entry("stranger")),
        ..PeerHello::default()
    };
    let delta = StoreDelta {
        revision: 1,
        items: vec![item()],
        removed: vec!["status/y".to_owned()],
        ..StoreDelta::default()
    };
    let snapshot = StoreSnapshot {
        revision: 1,
        items: vec![item()],
        ..StoreSnapshot::default()
    };
    [
        PeerPayload::Hello(hello),
        PeerPayload::Update(Box::new(update())),
        PeerPayload::Delta(delta),
        PeerPayload::Snapshot(snapshot),
    ]
}

fn encode(payload: PeerPayload) -> Vec<u8> {
    let mut writer = FrameWriter::new(Vec::new());
    writer.write(&payload.into()).unwrap();
    writer.stream().clone()
}

fn mutate(rng: &mut StdRng, frame: &mut [u8]) {
    let first = if rng.random_range(0..10) == 0 {
        0
    } else {
        LENGTH_BYTES
    };
    for _ in 0..rng.random_range(CHANGES) {
        let at = rng.random_range(first..frame.len());
        frame[at] = rng.random();
    }
}

/// Sends frames until the other side closes the connection or [`FRAMES_PER_CONNECTION`] are
/// sent. Returns the number sent.
fn send_frames(gateway: &Gateway, rng: &mut StdRng, frames: &[Vec<u8>]) -> usize {
    let peers = SocketAddr::new(IpAddr::V4(gateway.ip), gateway.ports.peers);
    let mut stream = TcpStream::connect(peers).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    stream.write_all(&frames[0]).unwrap();
    // The hello of the gateway: the link is up.
    let mut reply = [0; 64];
    if !matches!(stream.read(&mut reply), Ok(len) if len > 0) {
        return 1;
    }
    for sent in 1..FRAMES_PER_CONNECTION {
        let mut frame = frames[rng.random_range(0..frames.len())].clone();
        mutate(rng, &mut frame);
        if stream.write_all(&frame).is_err() {
            return sent;
        }
    }
    FRAMES_PER_CONNECTION
}

fn memory_kb(gateway: &Gateway) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", gateway.child.id())).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let text = line.and_then(|line| line.split_whitespace().nth(1));
    text.unwrap().parse().unwrap()
}

#[test]
fn mutated_frames_do_not_affect_serving() {
    let serving = ServingSite::start();
    let gateway = &serving.gateway;
    let mut rng = StdRng::seed_from_u64(SEED);
    let frames = payloads().map(encode);
    let mut sent = 0;
    while sent < FRAMES {
        sent += send_frames(gateway, &mut rng, &frames);
    }
    let metrics = support::get(gateway.ready(), "/metrics").unwrap();
    let has_applied = metrics.text().contains("onyxfall_absurd_suspects_total");
    assert!(has_applied, "some frames are decoded completely");
    for number in 0..20 {
        let reply = call(gateway.callers(), "/repeat/x", &format!("after{number}")).unwrap();
        assert_eq!(reply.status, StatusCode::OK, "still serving");
    }
    let memory = memory_kb(gateway);
    assert!(memory < MAX_MEMORY_KB, "{memory} KB");
}
