//! The port for other entries: malformed input, unknown peers, stray and duplicate
//! frames, slow receivers.

mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use bytes::Bytes;
use onyxfall_fakes::{EngineSettings, FakeEngine, FakeService, ServiceSettings};
use onyxfall_wire::{
    AttemptCancel, CreditGrant, FrameReader, FrameWriter, MemberEntry, OpenRequest, PeerHello,
    PeerPayload, ReplyEnd,
};
use support::{PATIENCE, TestDeployment, call, loopback, wait_until};

fn bundle(service: SocketAddr, engine: SocketAddr) -> String {
    format!(
        "[service app]\n[model m]\n[server a]\ndata-centre = c1\naddress = {service}\n\
         serves = app\n[server e]\ndata-centre = c1\naddress = {engine}\nserves = m\n\
         [kind post]\nserved-by = app\nrepeatable = no\nresidency = anywhere\nservice-ms = 10\n\
         [kind far]\nserved-by = app\nrepeatable = no\nresidency = r1\nservice-ms = 10\n\
         [kind caption]\nserved-by = m\nrepeatable = yes\nstreaming = yes\nresidency = anywhere\n"
    )
}

fn member(deployment: &str) -> PeerHello {
    PeerHello {
        protocol: onyxfall_wire::PROTOCOL_VERSION,
        deployment: deployment.to_owned(),
        member: Some(MemberEntry {
            name: "stranger".to_owned(),
            center: "c2".to_owned(),
            region: "r2".to_owned(),
            incarnation: 1,
            leaving: false,
            address: "127.0.2.1:1".to_owned(),
            peer_address: "127.0.2.1:2".to_owned(),
        }),
        vm: None,
    }
}

struct TestPeer {
    writer: FrameWriter<TcpStream>,
    reader: FrameReader<TcpStream>,
}

impl TestPeer {
    fn connect(deployment: &TestDeployment, index: usize) -> Self {
        let address = deployment.peers(index);
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let mut peer = Self {
            writer: FrameWriter::new(stream.try_clone().unwrap()),
            reader: FrameReader::new(stream),
        };
        peer.send(PeerPayload::Hello(member(&deployment.name)));
        assert!(matches!(peer.next(), PeerPayload::Hello(_)));
        peer
    }

    fn send(&mut self, payload: PeerPayload) {
        self.writer.write(&payload.into()).unwrap();
    }

    fn next(&mut self) -> PeerPayload {
        self.reader.read().unwrap().0.payload.unwrap()
    }

    /// Reads up to the end frame of an attempt and skips the frames of others.
    fn end_of(&mut self, attempt: u64) -> (ReplyEnd, usize) {
        let mut len = 0;
        loop {
            match self.next() {
                PeerPayload::Data(data) if data.attempt == attempt => len += data.bytes.len(),
                PeerPayload::End(end) if end.attempt == attempt => return (end, len),
                _ => {}
            }
        }
    }
}

fn open(attempt: u64, kind: &str, allowed: &[&str]) -> OpenRequest {
    OpenRequest {
        attempt,
        request_id: format!("request-{attempt}"),
        kind: kind.to_owned(),
        method: "POST".to_owned(),
        path: "/x".to_owned(),
        content_type: "application/json".to_owned(),
        body: Bytes::from_static(b"{}"),
        allowed: allowed.iter().map(ToString::to_string).collect(),
        remaining_ms: 5000,
        ..OpenRequest::default()
    }
}

struct PeerBench {
    service: FakeService,
    deployment: TestDeployment,
}

fn bench() -> PeerBench {
    let service = FakeService::start(loopback(1), ServiceSettings::default()).unwrap();
    let settings = EngineSettings {
        token: Duration::from_millis(1),
        ..EngineSettings::default()
    };
    let engine = Box::leak(Box::new(FakeEngine::start(loopback(1), settings).unwrap()));
    let deployment = TestDeployment::start(&[1, 2], &bundle(service.address(), engine.address()));
    PeerBench {
        service,
        deployment,
    }
}

struct BytesCase {
    name: &'static str,
    bytes: Vec<u8>,
}

#[test]
fn malformed_input_closes_the_link_and_changes_nothing() {
    let bench = bench();
    let name = bench.deployment.name.as_str();
    let hello = |hello: PeerHello| {
        let mut writer = FrameWriter::new(Vec::new());
        writer.write(&PeerPayload::Hello(hello).into()).unwrap();
        writer.stream().clone()
    };
    let cases = [
        BytesCase {
            name: "not a frame",
            bytes: b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        },
        BytesCase {
            name: "huge length",
            bytes: vec![0xff; 8],
        },
        BytesCase {
            name: "not a message",
            bytes: vec![0, 0, 0, 2, 0xff, 0xff],
        },
        BytesCase {
            name: "no hello",
            bytes: vec![0, 0, 0, 0],
        },
        BytesCase {
            name: "other deployment",
            bytes: hello(member("other")),
        },
        BytesCase {
            name: "other protocol",
            bytes: hello(PeerHello {
                protocol: 99,
                ..member(name)
            }),
        },
        BytesCase {
            name: "no member",
            bytes: hello(PeerHello {
                member: None,
                ..member(name)
            }),
        },
        BytesCase {
            name: "malformed member",
            bytes: hello(PeerHello {
                member: Some(MemberEntry {
                    name: "Bad Name".to_owned(),
                    ..MemberEntry::default()
                }),
                ..member(name)
            }),
        },
    ];
    for case in cases {
        let mut stream = TcpStream::connect(bench.deployment.peers(0)).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.write_all(&case.bytes).unwrap();
        let mut rest = Vec::new();
        let closed = std::io::Read::read_to_end(&mut stream, &mut rest);
        assert!(
            closed.is_ok_and(|_| rest.is_empty()),
            "{}: closed without a response",
            case.name
        );
    }
    assert_eq!(
        call(
            bench.deployment.callers(0),
            "/v1/services/post/x",
            &[],
            "{}"
        )
        .status,
        200
    );
}

#[test]
fn stray_and_duplicate_frames_are_dropped_and_counted() {
    let bench = bench();
    let mut peer = TestPeer::connect(&bench.deployment, 0);
    peer.send(PeerPayload::End(ReplyEnd {
        attempt: 99,
        ..ReplyEnd::default()
    }));
    peer.send(PeerPayload::Credit(CreditGrant {
        attempt: 98,
        bytes: 10,
    }));
    peer.send(PeerPayload::Cancel(AttemptCancel { attempt: 97 }));
    let request = open(1, "post", &["r1", "r2"]);
    peer.send(PeerPayload::Open(request.clone()));
    peer.send(PeerPayload::Open(request.clone()));
    let (end, len) = peer.end_of(1);
    assert_eq!(end.verdict, "ran", "{end:?}");
    assert!(len > 0);
    peer.send(PeerPayload::Open(request));
    wait_until("duplicates are counted", || {
        bench
            .deployment
            .metric(0, "onyxfall_duplicate_frames_total")
            >= 2.0
    });
    assert!(bench.deployment.metric(0, "onyxfall_stray_frames_total") >= 1.0);
    assert_eq!(bench.service.runs().values().sum::<u64>(), 1);
}

#[test]
fn the_receiver_serves_only_within_both_sides_limits() {
    let bench = bench();
    let mut peer = TestPeer::connect(&bench.deployment, 0);
    peer.send(PeerPayload::Open(open(1, "post", &["r2"])));
    let (end, _) = peer.end_of(1);
    assert_eq!(
        (end.verdict.as_str(), end.reason.as_str()),
        ("not-run", "residency")
    );
    peer.send(PeerPayload::Open(open(2, "post", &["r1"])));
    assert_eq!(peer.end_of(2).0.verdict, "ran");
    let mut other = TestPeer::connect(&bench.deployment, 1);
    other.send(PeerPayload::Open(open(1, "far", &["r1", "r2"])));
    let (end, _) = other.end_of(1);
    assert_eq!(
        (end.verdict.as_str(), end.reason.as_str()),
        ("not-run", "residency")
    );
    // Region 2 has no server of the kind: a request forwarded to it is refused, never
    // forwarded again.
    other.send(PeerPayload::Open(open(2, "post", &["r1", "r2"])));
    let (end, _) = other.end_of(2);
    assert_eq!(
        (end.verdict.as_str(), end.reason.as_str()),
        ("not-run", "overloaded")
    );
    assert_eq!(bench.service.runs().values().sum::<u64>(), 1);
}

#[test]
fn a_stream_without_credit_does_not_stall_the_others() {
    let bench = bench();
    let mut peer = TestPeer::connect(&bench.deployment, 0);
    let mut stalled = open(1, "caption", &["r1"]);
    // The response is far larger than the initial credit, and no credit is granted.
    stalled.path = "/v1/chat/completions".to_owned();
    stalled.body = Bytes::from_static(b"{\"stream\":true,\"max_tokens\":100000}");
    stalled.remaining_ms = 60_000;
    peer.send(PeerPayload::Open(stalled));
    for attempt in 2..12 {
        peer.send(PeerPayload::Open(open(attempt, "post", &["r1"])));
        assert_eq!(peer.end_of(attempt).0.verdict, "ran");
    }
    peer.send(PeerPayload::Cancel(AttemptCancel { attempt: 1 }));
    assert_ne!(
        peer.end_of(1).0.reason,
        "",
        "the stalled stream ends with an error"
    );
}

#[test]
fn entries_that_share_one_seed_find_each_other() {
    let service = FakeService::start(loopback(1), ServiceSettings::default()).unwrap();
    let engine = FakeEngine::start(loopback(1), EngineSettings::default()).unwrap();
    let text = bundle(service.address(), engine.address());
    let mut deployment = TestDeployment::new(&[1, 1, 1, 1]);
    deployment.seed_only_first();
    for index in 0..4 {
        deployment.start_entry(index);
    }
    let content = deployment.sign(&(text + "[region r2]\n[data-centre c2]\nregion = r2\n"));
    deployment.roll(content);
    deployment.wait_in_force(content);
    for index in 0..4 {
        wait_until("all four entries are listed", || {
            let address = deployment.callers(index);
            let answer = support::try_call(address, "GET", "/v1/entries", &[], "");
            answer.is_some_and(|answer| answer.body.matches("\"name\"").count() == 4)
        });
    }
}
