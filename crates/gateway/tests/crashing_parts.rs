//! A prompt part that crashes the servers that begin to write on it is stopped on every VM, and
//! requests that share its other parts are served.
//!
//! Guards against an outage in which 105 servers crashed within 80 s. No two of the requests had
//! the same content, so that the evidence against each of them began anew.

mod support;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use onyxfall_fakes::{CRASHING_PARTS, ServerStub, is_crashing_part};
use onyxfall_suspects::{EvidenceKey, PartScope};
use support::{Gateway, Site, call_parts, get, send, wait_for};

const PATH: &str = "/stream/resume/x";
/// Time after the fifth crash in which VMs learn of it. Then at most `MAX_LATE` more requests with
/// the part may be sent to servers.
const CONTACT: Duration = Duration::from_secs(5);
const PROVING_CRASHES: usize = 5;
const MAX_LATE: usize = 3;
/// Least share of the requests that were served before, from `2 * CONTACT` on.
const SERVED_SHARE: f64 = 0.5;
/// Servers that run in a data centre at a time, and the time until a crashed one is replaced.
const CENTER_SERVERS: usize = 4;
const REPLACED_AFTER: Duration = Duration::from_millis(800);
/// Time of the run without the parts, and with them.
const BEFORE: Duration = Duration::from_secs(2);
const DURING: Duration = Duration::from_secs(15);
/// Pause of each caller between two requests.
const CRASHING_PAUSE: Duration = Duration::from_millis(250);
const SOUND_PAUSE: Duration = Duration::from_millis(50);
const PATIENCE: Duration = Duration::from_secs(3);
/// A part that all requests of the route begin with.
const FIRST_PART: u64 = 0xf1;

/// A server that crashed, and when that was seen.
struct Crash {
    seen: Instant,
    server: ServerStub,
}

struct RunningServer {
    name: String,
    vm: usize,
    stub: ServerStub,
}

/// Servers of all data centres; crashed ones are replaced by new instances.
struct ServerFleet<'a> {
    site: &'a Site,
    running: Vec<RunningServer>,
    crashed: Vec<Crash>,
    due: Vec<(Instant, usize)>,
    started: usize,
}

impl<'a> ServerFleet<'a> {
    fn start(site: &'a Site, vms: usize) -> Self {
        let mut fleet = Self {
            site,
            running: Vec::new(),
            crashed: Vec::new(),
            due: Vec::new(),
            started: 0,
        };
        for number in 0..vms * CENTER_SERVERS {
            fleet.add(number % vms);
        }
        fleet
    }

    fn add(&mut self, vm: usize) {
        let name = format!("instance{}", self.started);
        self.started += 1;
        let stub = ServerStub::start(self.site.ip(vm)).unwrap();
        stub.set_name(&name);
        self.site.announce(&name, &stub, vm);
        self.running.push(RunningServer { name, vm, stub });
    }

    /// Records crashes, and replaces the servers whose crash is long enough ago.
    fn tend(&mut self) {
        let now = Instant::now();
        let crashed = self
            .running
            .extract_if(.., |server| server.stub.is_crashed());
        for server in crashed {
            self.site.retire(&server.name);
            self.due.push((now + REPLACED_AFTER, server.vm));
            self.crashed.push(Crash {
                seen: now,
                server: server.stub,
            });
        }
        let due: Vec<_> = self.due.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, vm) in due {
            self.add(vm);
        }
    }

    /// When each request with `part` arrived at a server.
    fn arrivals(&self, part: u64) -> Vec<Instant> {
        let running = self.running.iter().map(|server| &server.stub);
        let stubs = running.chain(self.crashed.iter().map(|crash| &crash.server));
        let arrivals = stubs.flat_map(|stub| {
            let ids: BTreeSet<String> = runs_with(stub, part).collect();
            let arrivals = stub.arrivals_from(0).into_iter();
            arrivals.filter(move |arrival| ids.contains(&arrival.request_id))
        });
        arrivals.map(|arrival| arrival.at).collect()
    }

    /// When the servers that ran a request with `part` crashed, in order.
    fn crashes(&self, part: u64) -> Vec<Instant> {
        let crashes = self.crashed.iter();
        let crashes = crashes.filter(|crash| runs_with(&crash.server, part).next().is_some());
        let mut times: Vec<Instant> = crashes.map(|crash| crash.seen).collect();
        times.sort_unstable();
        times
    }
}

fn runs_with(stub: &ServerStub, part: u64) -> impl Iterator<Item = String> {
    let runs = stub.runs().into_iter();
    let runs = runs.filter(move |run| run.call.shared_parts.contains(&part));
    runs.map(|run| run.call.request_id)
}

/// Sound requests by the result of their first attempt.
#[derive(Default)]
struct SoundCount {
    sent: AtomicUsize,
    begun: AtomicUsize,
}

impl SoundCount {
    fn record(&self, has_begun: bool) {
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.begun
            .fetch_add(usize::from(has_begun), Ordering::Relaxed);
    }

    fn share(&self) -> f64 {
        let sent = self.sent.load(Ordering::Relaxed);
        assert!(sent >= 20, "{sent} sound requests are too few to compare");
        self.begun.load(Ordering::Relaxed) as f64 / sent as f64
    }
}

struct PartsCase {
    name: &'static str,
    vms: u8,
    regions: usize,
    /// Parts that crash servers, each with the parts before it.
    crashing: &'static [&'static [u64]],
}

const CASES: &[PartsCase] = &[
    PartsCase {
        name: "VMs of two regions",
        vms: 4,
        regions: 2,
        crashing: &[&[FIRST_PART, 0xdead_0002]],
    },
    PartsCase {
        name: "a crash before the response",
        vms: 2,
        regions: 1,
        crashing: &[&[FIRST_PART, 0xdead_0001]],
    },
    PartsCase {
        name: "the first part",
        vms: 2,
        regions: 1,
        crashing: &[&[0xdead_0004]],
    },
    PartsCase {
        name: "two parts at once",
        vms: 3,
        regions: 1,
        crashing: &[&[FIRST_PART, 0xdead_0006], &[FIRST_PART, 0xdead_0008]],
    },
    PartsCase {
        name: "parts that always come together",
        vms: 2,
        regions: 1,
        crashing: &[&[FIRST_PART, 0xa1, 0xdead_000a, 0xa2]],
    },
];

#[test]
fn a_part_that_crashes_servers_is_rejected_and_requests_with_its_other_parts_are_served() {
    thread::scope(|scope| {
        for case in CASES {
            scope.spawn(move || check_case(case));
        }
    });
}

fn check_case(case: &PartsCase) {
    let name = case.name;
    let site = Site::start_in(case.vms, case.regions);
    let fleet = Mutex::new(ServerFleet::start(&site, usize::from(case.vms)));
    site.configure(1);
    let gateways: Vec<Gateway> = (0..usize::from(case.vms))
        .map(|vm| site.gateway(vm))
        .collect();
    for gateway in &gateways {
        gateway.wait_served();
    }
    let start = Instant::now();
    let is_over = AtomicBool::new(false);
    let (before, later) = (SoundCount::default(), SoundCount::default());
    thread::scope(|scope| {
        for gateway in &gateways {
            let (is_over, before, later) = (&is_over, &before, &later);
            scope.spawn(move || send_sound(gateway, start, is_over, before, later));
        }
        for parts in case.crashing {
            let (is_over, gateways) = (&is_over, &gateways);
            scope.spawn(move || send_crashing(gateways, parts, start, is_over));
        }
        while start.elapsed() < BEFORE + DURING {
            fleet.lock().unwrap().tend();
            thread::sleep(Duration::from_millis(10));
        }
        is_over.store(true, Ordering::Relaxed);
    });
    for gateway in &gateways {
        check_gauges(name, gateway, case.crashing);
    }
    let fleet = fleet.into_inner().unwrap();
    for parts in case.crashing {
        let part = *parts.iter().find(|part| is_crashing_part(**part)).unwrap();
        check_part(name, &fleet, part);
    }
    let (before, later) = (before.share(), later.share());
    println!("{name}: {later:.3} of sound requests begin, {before:.3} before");
    assert!(
        later >= before * SERVED_SHARE,
        "{name}: {later:.2} of sound requests begin, {before:.2} before"
    );
}

/// Checks that operators see each crashing part, and that the part which all requests share is not
/// accused.
fn check_gauges(name: &str, gateway: &Gateway, crashing: &[&[u64]]) {
    let metrics = get(gateway.ready(), "/metrics").unwrap();
    let gauge = |part: u64| {
        let labels = format!("kind=\"part\",service=\"svc\",team=\"none\",id=\"{part:x}\"");
        format!("onyxfall_suspect_seconds_left{{{labels}}}")
    };
    for parts in crashing {
        let part = parts.iter().find(|part| is_crashing_part(**part));
        let gauge = gauge(*part.unwrap());
        assert!(metrics.text().contains(&gauge), "{name}: no {gauge}");
    }
    let gauge = gauge(FIRST_PART);
    assert!(!metrics.text().contains(&gauge), "{name}: {gauge}");
}

/// Checks how many requests with `part` were sent to servers after its fifth crash was known.
fn check_part(name: &str, fleet: &ServerFleet<'_>, part: u64) {
    let crashes = fleet.crashes(part);
    assert!(!crashes.is_empty(), "{name}: {part:x} crashed no server");
    let proved = crashes.get(PROVING_CRASHES - 1);
    let arrivals = fleet.arrivals(part).into_iter();
    let is_late = |at: &Instant| proved.is_some_and(|proved| *at > *proved + CONTACT);
    let late = arrivals.filter(is_late).count();
    let ended = crashes.len();
    println!("{name}: {part:x}: {ended} servers crashed, {late} requests were sent late");
    assert!(
        late <= MAX_LATE,
        "{name}: {late} requests with {part:x} were sent late, {ended} servers crashed"
    );
}

/// Sends requests that share all parts but the crashing ones.
fn send_sound(
    gateway: &Gateway,
    start: Instant,
    is_over: &AtomicBool,
    before: &SoundCount,
    later: &SoundCount,
) {
    let mut number = 0_u64;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("sound{number}-{}", gateway.ip);
        let parts = [FIRST_PART, 0xb0 + number % 3, number];
        let sent = start.elapsed();
        let reply = call_parts(gateway.callers(), PATH, &id, &parts, PATIENCE);
        let has_begun = reply.is_some_and(|reply| reply.status == StatusCode::OK);
        if sent < BEFORE {
            before.record(has_begun);
        } else if sent > BEFORE + 2 * CONTACT {
            later.record(has_begun);
        }
        thread::sleep(SOUND_PAUSE);
    }
}

/// Sends requests with a crashing part at the VMs in turn, no two alike.
fn send_crashing(gateways: &[Gateway], parts: &[u64], start: Instant, is_over: &AtomicBool) {
    thread::sleep(BEFORE.saturating_sub(start.elapsed()));
    let crashing = parts.iter().find(|part| CRASHING_PARTS.contains(part));
    let crashing = crashing.copied().unwrap_or_default();
    let mut number = 0_u64;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let gateway = &gateways[usize::try_from(number).unwrap() % gateways.len()];
        let id = format!("crash{number}-{crashing:x}");
        let mut parts = parts.to_vec();
        parts.push(0xc000_0000 + number);
        call_parts(gateway.callers(), PATH, &id, &parts, PATIENCE);
        thread::sleep(CRASHING_PAUSE);
    }
}

/// Sends requests with and without `part` at the VMs in turn, while crashed servers are replaced.
fn crash_with(part: u64, gateways: &[Gateway], fleet: &mut ServerFleet<'_>) {
    for number in 0..12 {
        let gateway = &gateways[number % gateways.len()];
        let number = u64::try_from(number).unwrap();
        for (id, parts) in [
            ("sound", [FIRST_PART, 0xb0, number]),
            ("crash", [FIRST_PART, part, number]),
        ] {
            let id = format!("{id}{number}");
            call_parts(gateway.callers(), PATH, &id, &parts, PATIENCE);
        }
        thread::sleep(2 * CRASHING_PAUSE);
        fleet.tend();
    }
}

#[test]
fn a_vm_that_starts_later_does_not_send_the_part_to_servers() {
    let part = 0xdead_000c;
    let site = Site::start_in(3, 1);
    let mut fleet = ServerFleet::start(&site, 2);
    site.configure(1);
    let gateways = [site.gateway(0), site.gateway(1)];
    for gateway in &gateways {
        gateway.wait_served();
    }
    crash_with(part, &gateways, &mut fleet);
    let before = fleet.arrivals(part).len();
    let late = site.gateway(2);
    late.wait_served();
    thread::sleep(2 * CRASHING_PAUSE);
    let parts = [FIRST_PART, part, 99];
    let reply = call_parts(late.callers(), PATH, "late", &parts, PATIENCE).unwrap();
    assert_eq!(
        fleet.arrivals(part).len(),
        before,
        "it was sent to a server"
    );
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    let sound = [FIRST_PART, 0xb0, 99];
    let reply = call_parts(late.callers(), PATH, "sound", &sound, PATIENCE).unwrap();
    assert_eq!(reply.status, StatusCode::OK, "a sound request");
}

fn delete(address: SocketAddr, path: &str) -> StatusCode {
    let reply = send(
        address,
        Method::DELETE,
        path,
        HeaderMap::new(),
        Bytes::new(),
    );
    reply.unwrap().status
}

/// Guards against a verdict that an operator lifts on one VM and that stands on the others, and
/// against callers that lift one.
#[test]
fn a_verdict_that_is_lifted_on_one_vm_ends_on_all() {
    let part = 0xdead_000e;
    let site = Site::start_in(3, 1);
    let mut fleet = ServerFleet::start(&site, 3);
    site.configure(1);
    let gateways = [site.gateway(0), site.gateway(1), site.gateway(2)];
    for gateway in &gateways {
        gateway.wait_served();
    }
    crash_with(part, &gateways, &mut fleet);
    let scope = PartScope::of(&"svc".parse().unwrap(), None);
    let path = |hash| format!("{}{}", EvidenceKey::VERDICTS_PATH, scope.key(hash));
    let is_accused = |gateway: &Gateway| {
        let metrics = get(gateway.ready(), "/metrics").unwrap();
        metrics.text().contains(&format!("id=\"{part:x}\""))
    };
    assert!(gateways.iter().all(is_accused), "the part is known to all");
    let [first, other, last] = &gateways;
    for (name, address, path, status) in [
        ("callers' port", first.callers(), path(part), 400),
        ("directory", first.directory(), path(part), 404),
        ("no key", first.ready(), "/suspects/".to_owned(), 400),
        ("short key", first.ready(), "/suspects/91bd".to_owned(), 400),
        ("no evidence", first.ready(), path(0xb1), 404),
    ] {
        assert_eq!(delete(address, &path).as_u16(), status, "{name}");
    }
    let reply = get(first.ready(), &path(part)).unwrap();
    assert_eq!(reply.status, StatusCode::METHOD_NOT_ALLOWED);
    assert!(gateways.iter().all(is_accused), "nothing is lifted yet");
    assert_eq!(delete(first.ready(), &path(part)), StatusCode::OK);
    wait_for("the verdict to end on all VMs", || {
        !gateways.iter().any(is_accused)
    });
    wait_for("the log line", || {
        let log = first.log();
        log.contains("verdict on crashing requests lifted by an operator")
    });
    let before = fleet.arrivals(part).len();
    for (gateway, number) in [(other, 97), (last, 98)] {
        let parts = [FIRST_PART, part, number];
        let id = format!("lifted{number}");
        call_parts(gateway.callers(), PATH, &id, &parts, PATIENCE);
    }
    assert!(fleet.arrivals(part).len() > before, "requests run again");
}
