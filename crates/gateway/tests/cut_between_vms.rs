//! Requests that another VM relays, while the path between the two VMs is cut for a while.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use onyxfall_adapter::stub::{
    RouteShape, RouteText, ServiceText, caller_headers, config_key, document_body,
};
use onyxfall_fakes::{FaultyLink, PathCut, ServerStub};
use socket2::{SockFilter, SockRef};
use support::{Gateway, HOST, Reply, SERVICE, Site, send, wait_for};

/// Longer than the user timeout and a keep-alive interval of connections to servers.
const CUT: Duration = Duration::from_millis(2600);
/// Time of the requests, which leaves some after the cut.
const TIMEOUT: Duration = Duration::from_secs(8);
/// Delay before each of the three events of a stream, and the time from the requests to the cut.
const EVENT_PAUSE: Duration = Duration::from_millis(200);
const SENT_BEFORE: Duration = Duration::from_millis(300);
/// Concurrent requests of each kind.
const CALLERS: usize = 3;

/// Two VMs of two regions. The servers are in the second one, and the first VM reaches the second
/// through a link.
struct CutSite {
    // Fields drop in order: the gateways before what they depend on.
    gateways: [Gateway; 2],
    link: FaultyLink,
    _server: ServerStub,
    site: Site,
}

impl CutSite {
    fn start() -> Self {
        let mut site = Site::start(2).with_sources();
        let server = ServerStub::start(site.ip(1)).unwrap();
        server.set_event_pause(EVENT_PAUSE);
        site.announce("s0", &server, 1);
        let relay = (site.vm_ip(1), site.ports.relay).into();
        let link = FaultyLink::start(site.vm_ip(1), relay).unwrap();
        site.set_relay_port(0, link.address().port());
        let route = |path_prefix, shape| RouteText {
            host: HOST,
            path_prefix,
            shape,
            service: SERVICE,
            timeout: TIMEOUT,
            home_regions: &[],
            is_public: false,
        };
        let routes = [
            route("/once/", RouteShape::Once),
            route("/repeat/", RouteShape::Repeatable),
            route("/stream/", RouteShape::Stream),
            route("/stream/resume/", RouteShape::ResumableStream),
        ];
        let service = ServiceText {
            name: SERVICE,
            engine: None,
        };
        site.store
            .put(config_key(), document_body(1, &routes, &[service]));
        let gateways = [0, 1].map(|vm| site.gateway(vm));
        for gateway in &gateways {
            gateway.wait_served();
        }
        Self {
            gateways,
            link,
            _server: server,
            site,
        }
    }

    fn call(&self, path: &str, id: &str) -> Option<Reply> {
        let address = self.gateways[0].callers();
        let headers = caller_headers(HOST, id, TIMEOUT);
        send(
            address,
            Method::POST,
            path,
            headers,
            Bytes::from_static(b"body"),
        )
    }

    fn set_cut(&self, cut: Option<PathCut>) {
        self.link.set_cut(self.site.source(0), cut).unwrap();
    }

    /// Sends requests, cuts the path while they run, and returns what became of the answers.
    fn check(&self, path: &str) -> Vec<String> {
        thread::scope(|scope| {
            let callers: Vec<_> = (0..CALLERS)
                .map(|caller| {
                    let path = format!("{path}{caller}");
                    scope.spawn(move || self.call(&path, &format!("cut-{caller}")))
                })
                .collect();
            thread::sleep(SENT_BEFORE);
            self.set_cut(Some(PathCut::Silent));
            thread::sleep(CUT);
            self.set_cut(None);
            let replies = callers.into_iter().map(|caller| caller.join().unwrap());
            replies
                .filter_map(|reply| match reply {
                    None => Some(format!("{path}: no answer")),
                    Some(reply) if reply.broken => Some(format!("{path}: cut")),
                    Some(reply) if reply.status != 200 => Some(format!("{path}: {}", reply.status)),
                    Some(_) => None,
                })
                .collect()
        })
    }
}

/// The kernel knows only that a VM has not acknowledged for a while; the run goes on there.
#[test]
fn a_run_that_may_happen_once_outlives_a_cut_between_two_vms() {
    let site = CutSite::start();
    wait_for("a request to pass through the link", || {
        site.call("/once/first", "first")
            .is_some_and(|reply| reply.status == 200)
    });
    assert_eq!(site.check("/stream/"), Vec::<String>::new());
}

/// No second run can start elsewhere, since the only servers are behind the cut.
#[test]
fn a_stream_that_may_be_resumed_outlives_a_cut_between_two_vms() {
    let site = CutSite::start();
    assert_eq!(site.check("/stream/resume/"), Vec::<String>::new());
}

/// A packet filter of one instruction: how many bytes of each packet are accepted.
const fn accept(bytes: u32) -> [SockFilter; 1] {
    const RETURN: u16 = 0x06;
    [SockFilter::new(RETURN, 0, 0, bytes)]
}

/// Guards the end of the VM that relays: its events are on their way while the path is cut.
#[test]
fn a_vm_that_relays_keeps_the_connection_of_a_run_that_may_happen_once() {
    let site = CutSite::start();
    let address = (site.gateways[1].ip, site.site.ports.relay);
    let mut vm = TcpStream::connect(address).unwrap();
    vm.set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut headers = caller_headers(HOST, "relayed", TIMEOUT);
    for (name, value) in [
        ("onyxfall-vm", "vm0"),
        ("onyxfall-service", SERVICE),
        ("onyxfall-goal-ms", "400"),
        ("onyxfall-stream", "once"),
        ("connection", "close"),
    ] {
        headers.insert(name, value.parse().unwrap());
    }
    let mut request = b"GET /stream/x HTTP/1.1\r\n".to_vec();
    for (name, value) in &headers {
        request.extend([name.as_str().as_bytes(), b": ", value.as_bytes(), b"\r\n"].concat());
    }
    request.extend(b"\r\n");
    vm.write_all(&request).unwrap();
    let mut answer = vec![0; 1024];
    let received = vm.read(&mut answer).unwrap();
    answer.truncate(received);
    let socket = SockRef::from(&vm);
    socket.attach_filter(&accept(0)).unwrap();
    thread::sleep(CUT);
    socket.attach_filter(&accept(u32::MAX)).unwrap();
    let ended = vm.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer);
    assert!(
        ended.is_ok() && answer.ends_with("0\r\n\r\n"),
        "{ended:?}: {answer}"
    );
}
