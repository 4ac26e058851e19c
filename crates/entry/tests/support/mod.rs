//! A small deployment in one process: stubs, entries and two operators.

#![allow(dead_code, reason = "each test file uses a part of the support")]

use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use onyxfall_bundle::{ContentDigest, HeadRecord, OperatorRing, SigningSecret};
use onyxfall_entry::{EntryProcess, parse_settings};
use onyxfall_fakes::{FakeLink, FakePlatform, LinkRules};
use onyxfall_operator::{OperatorContext, RollPlan};
use onyxfall_platform::{PlatformClient, PlatformSettings};
use onyxfall_types::RegionName;

/// Timeout for an expected event; far above the usual time.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Polls until `test` holds.
pub fn wait_until(what: &str, test: impl Fn() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !test() {
        assert!(Instant::now() < until, "timed out: {what}");
        thread::sleep(Duration::from_millis(10));
    }
}

pub fn loopback(region: usize) -> TcpListener {
    TcpListener::bind(format!("127.0.{region}.1:0")).unwrap()
}

/// An unused address for an entry, which is bound again when the entry restarts. The
/// port is below the range of ephemeral ports, so that no connection takes it meanwhile.
pub fn free_address(region: usize) -> SocketAddr {
    const FIRST: u16 = 10_000;
    const COUNT: u16 = 20_000;
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let process = u16::try_from(std::process::id() % 199).unwrap() * 100;
    loop {
        let port = FIRST + (process + NEXT.fetch_add(1, Ordering::SeqCst)) % COUNT;
        let address: SocketAddr = format!("127.0.{region}.1:{port}").parse().unwrap();
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Addresses of one entry.
#[derive(Clone, Copy)]
struct EntryAddresses {
    region: usize,
    callers: SocketAddr,
    peers: SocketAddr,
    advertised: SocketAddr,
}

/// A unique deployment name. Entries left over from one test must not accept those of
/// another test, which may reuse a port, as peers.
fn unique_name() -> String {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    format!(
        "test-{}-{}",
        std::process::id(),
        NEXT.fetch_add(1, Ordering::SeqCst)
    )
}

/// A deployment; regions are `r1`, `r2`, ... with data centres `c1`, `c2`, ...
pub struct TestDeployment {
    pub name: String,
    pub platform: FakePlatform,
    pub rules: Arc<LinkRules>,
    pub secrets: [SigningSecret; 2],
    addresses: Vec<EntryAddresses>,
    pub entries: Vec<Option<EntryProcess>>,
    seeds: usize,
    links: Vec<FakeLink>,
}

impl TestDeployment {
    /// Creates a deployment with one entry for each number in `regions`, which is the
    /// number of its region. The entries are not started.
    pub fn new(regions: &[usize]) -> Self {
        let platform = FakePlatform::start(loopback(0)).unwrap();
        let rules = LinkRules::new(Duration::from_millis(2));
        let mut addresses = Vec::new();
        let mut links = Vec::new();
        for region in regions {
            let peers = free_address(*region);
            let link = FakeLink::start(loopback(*region), peers, Arc::clone(&rules)).unwrap();
            let callers = free_address(*region);
            addresses.push(EntryAddresses {
                region: *region,
                callers,
                peers,
                advertised: link.address(),
            });
            links.push(link);
        }
        let secret = |byte: &str| byte.repeat(32).parse().unwrap();
        let entries = regions.iter().map(|_| None).collect();
        let secrets = [secret("01"), secret("02")];
        let seeds = regions.len();
        let name = unique_name();
        Self {
            name,
            platform,
            rules,
            secrets,
            addresses,
            entries,
            seeds,
            links,
        }
    }

    /// Configures only the first entry as a seed.
    pub fn seed_only_first(&mut self) {
        self.seeds = 1;
    }

    /// Starts every entry and rolls out `servers_and_kinds` as the first bundle.
    pub fn start(regions: &[usize], servers_and_kinds: &str) -> Self {
        let mut deployment = Self::new(regions);
        for index in 0..regions.len() {
            deployment.start_entry(index);
        }
        let content = deployment.sign(servers_and_kinds);
        deployment.roll(content);
        deployment.wait_in_force(content);
        deployment
    }

    pub fn start_entry(&mut self, index: usize) {
        if std::env::var_os("ONYXFALL_TEST_LOG").is_some() {
            onyxfall_logging::start_logging(
                "test",
                log::LevelFilter::Debug,
                onyxfall_logging::LogSink::Stderr,
            );
        }
        let settings = parse_settings("test.ini", &self.settings(index)).unwrap();
        let until = Instant::now() + PATIENCE;
        loop {
            // The listener of a killed entry closes shortly after the kill.
            match EntryProcess::start(settings.clone()) {
                Ok(entry) => {
                    self.entries[index] = Some(entry);
                    return;
                }
                Err(e) => assert!(Instant::now() < until, "{e}"),
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn settings(&self, index: usize) -> String {
        let entry = self.addresses[index];
        let region = entry.region;
        let mut text = format!(
            "[vm]\nname = vm-{index}\ndata-centre = c{region}\nregion = r{region}\n\
             deployment = {}\n[listen]\ncallers = {}\npeers = {}\npeers-advertised = {}\n\
             peers-source = 127.0.{region}.1\nadmin = 127.0.{region}.1:0\n\
             [limits]\nbody-size = 64KiB\nconnect-ms = 1000\n\
             [platform]\nurl = {}\ninterval-ms = 200\nwatch-ms = 1000\ncalls-per-second = 100\n\
             [control]\nbeat-ms = 100\ndata-centre-beat-ms = 100\nobserve-ms = 50\n\
             suspect-ms = 2000\ngone-ms = 8000\n[stop]\ngrace-ms = 200\nbound-ms = 20000\n",
            self.name,
            entry.callers,
            entry.peers,
            entry.advertised,
            self.platform.url(),
        );
        for (name, secret) in ["ann", "ben"].iter().zip(&self.secrets) {
            let _ = write!(text, "[operator {name}]\nkey = {}\n", secret.public());
        }
        let seeds = self.addresses.iter().take(self.seeds).enumerate();
        for (other, entry) in seeds.filter(|(other, _)| *other != index) {
            let _ = write!(
                text,
                "[peer vm-{other}]\ndata-centre = c{0}\nregion = r{0}\ncallers = {1}\npeers = {2}\n",
                entry.region, entry.callers, entry.advertised
            );
        }
        text
    }

    pub fn callers(&self, index: usize) -> SocketAddr {
        self.addresses[index].callers
    }

    pub fn peers(&self, index: usize) -> SocketAddr {
        self.addresses[index].peers
    }

    pub fn bundle(&self, servers_and_kinds: &str) -> String {
        let mut text = format!("[bundle]\nname = {}\nregion-rtt-ms = 4\n", self.name);
        let mut regions: Vec<usize> = self.addresses.iter().map(|entry| entry.region).collect();
        regions.sort_unstable();
        regions.dedup();
        for region in regions {
            let _ = write!(
                text,
                "[region r{region}]\n[data-centre c{region}]\nregion = r{region}\n"
            );
        }
        text + servers_and_kinds
    }

    pub fn operator(&self, index: usize) -> OperatorContext {
        let mut ring = OperatorRing::default();
        for (name, secret) in ["ann", "ben"].iter().zip(&self.secrets) {
            ring.insert(name.parse().unwrap(), secret.public());
        }
        let store = Arc::new(PlatformClient::new(PlatformSettings::new(
            self.platform.url(),
        )));
        let secret = self.secrets[index].reveal().parse().unwrap();
        let name = ["ann", "ben"][index].parse().unwrap();
        OperatorContext::new(store, &self.name, ring, name, secret)
    }

    pub fn sign(&self, servers_and_kinds: &str) -> ContentDigest {
        let text = self.bundle(servers_and_kinds);
        let digest = self.operator(0).propose("bundle.ini", &text).unwrap();
        self.operator(0).sign_off(&digest).unwrap();
        self.operator(1).sign_off(&digest).unwrap();
        digest
    }

    pub fn roll(&self, content: ContentDigest) -> HeadRecord {
        let mut regions: Vec<RegionName> = self
            .addresses
            .iter()
            .map(|entry| format!("r{}", entry.region).parse().unwrap())
            .collect();
        regions.sort();
        regions.dedup();
        let plan = RollPlan {
            content,
            regions,
            patience: Duration::ZERO,
        };
        self.operator(0).roll(&plan, |_| {}).unwrap()
    }

    /// Waits until every running entry has its region's version of the head in force.
    pub fn wait_in_force(&self, content: ContentDigest) {
        let head = self.operator(0).head().unwrap();
        for (index, entry) in self.addresses.iter().enumerate() {
            if self.entries[index].is_none() {
                continue;
            }
            let region: RegionName = format!("r{}", entry.region).parse().unwrap();
            let record = &head.regions[&region];
            assert_eq!(record.content, content);
            wait_until("the version is in force", || {
                self.version(index) == Some(record.version.get())
            });
        }
    }

    pub fn version(&self, index: usize) -> Option<u64> {
        let answer = try_call(self.callers(index), "GET", "/v1/version", &[], "")?;
        serde_json::from_str::<serde_json::Value>(&answer.body).ok()?["version"].as_u64()
    }

    pub fn metric(&self, index: usize, name: &str) -> f64 {
        let admin = self.entries[index].as_ref().unwrap().admin_address();
        let text = try_call(admin, "GET", "/metrics", &[], "")
            .map(|a| a.body)
            .unwrap_or_default();
        let lines = text.lines().filter(|line| line.starts_with(name));
        lines
            .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
            .sum()
    }
}

/// The response that a caller received.
#[derive(Clone, Debug, Default)]
pub struct TestAnswer {
    pub status: u16,
    pub verdict: String,
    /// Value of the `retry-after` header in seconds; empty if there is none.
    pub retry_after: String,
    pub request_id: String,
    pub region: String,
    pub body: String,
    pub broken: bool,
}

pub fn try_call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<TestAnswer> {
    let agent = ureq::Agent::config_builder()
        .proxy(None)
        .max_redirects(0)
        .http_status_as_error(false)
        .allow_non_standard_methods(true)
        .timeout_global(Some(PATIENCE))
        .build()
        .new_agent();
    let mut request = ureq::http::Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let response = if method == "GET" {
        agent.run(request.body(()).unwrap()).ok()?
    } else {
        agent.run(request.body(body).unwrap()).ok()?
    };
    let header = |name: &str| {
        let value = response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or("").to_owned()
    };
    let mut answer = TestAnswer {
        status: response.status().as_u16(),
        verdict: header("onyxfall-verdict"),
        retry_after: header("retry-after"),
        request_id: header("onyxfall-request-id"),
        region: header("onyxfall-served-region"),
        ..TestAnswer::default()
    };
    let mut bytes = Vec::new();
    answer.broken = response
        .into_body()
        .into_reader()
        .read_to_end(&mut bytes)
        .is_err();
    answer.body = String::from_utf8_lossy(&bytes).into_owned();
    Some(answer)
}

pub fn call(address: SocketAddr, path: &str, headers: &[(&str, &str)], body: &str) -> TestAnswer {
    try_call(address, "POST", path, headers, body).expect("a response")
}

/// Reaction of a raw backend server to a request.
#[derive(Clone, Copy, Debug)]
pub enum RawBehaviour {
    /// Sends these bytes and closes the connection.
    Answer(&'static str),
    /// Resets the connection without a response.
    Reset,
    /// Never responds.
    Silent,
    /// Sends this response; that to each fourth request stops at the next byte, starting with
    /// the first one, before the connection is closed.
    Parts(&'static str),
}

impl RawBehaviour {
    /// Number of bytes that [`Self::Parts`] sends to a request, counted from 0; `None` if it
    /// sends all.
    pub fn part_of(request: usize) -> Option<usize> {
        (request % 4 == 3).then_some(request / 4)
    }
}

/// A backend server that sends raw bytes and counts the requests that it receives.
pub struct RawBackend {
    pub address: SocketAddr,
    pub requests: Arc<AtomicUsize>,
}

impl RawBackend {
    pub fn start(region: usize, behaviour: RawBehaviour) -> Self {
        let listener = loopback(region);
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&requests);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let count = Arc::clone(&count);
                thread::spawn(move || serve_raw(stream, behaviour, &count));
            }
        });
        Self { address, requests }
    }

    pub fn count(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

fn serve_raw(mut stream: TcpStream, behaviour: RawBehaviour, count: &AtomicUsize) {
    let mut text = Vec::new();
    let mut chunk = [0; 4096];
    while !text.windows(4).any(|w| w == b"\r\n\r\n") {
        match stream.read(&mut chunk) {
            Ok(len) if len > 0 => text.extend_from_slice(&chunk[..len]),
            _ => return,
        }
    }
    if text.starts_with(b"GET /load") {
        let body = "{\"incarnation\":1}";
        let _ = write!(
            stream,
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        return;
    }
    let request = count.fetch_add(1, Ordering::SeqCst);
    match behaviour {
        RawBehaviour::Parts(response) => {
            read_rest(&mut stream, &text);
            let bytes = RawBehaviour::part_of(request).unwrap_or(response.len());
            let _ = stream.write_all(&response.as_bytes()[..bytes]);
        }
        RawBehaviour::Answer(answer) => {
            let _ = stream.write_all(answer.as_bytes());
        }
        RawBehaviour::Reset => {
            let socket = socket2::SockRef::from(&stream);
            let _ = socket.set_linger(Some(Duration::ZERO));
        }
        RawBehaviour::Silent => while stream.read(&mut chunk).is_ok_and(|len| len > 0) {},
    }
}

/// Reads the rest of a request's body, of which unread bytes would reset the connection when it
/// is closed.
fn read_rest(stream: &mut TcpStream, received: &[u8]) {
    let text = String::from_utf8_lossy(received).to_lowercase();
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let length: usize = length.map_or(0, |length| length.parse().unwrap());
    let mut rest = vec![0; length.saturating_sub(body.len())];
    stream.read_exact(&mut rest).unwrap();
}

impl Drop for TestDeployment {
    fn drop(&mut self) {
        for entry in self.entries.iter_mut().filter_map(Option::take) {
            entry.kill();
        }
    }
}
