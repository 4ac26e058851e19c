//! Paths to servers that are silent for a while: neither the path of a VM nor a VM has failed.

mod support;

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use onyxfall_fakes::ServerStub;
use support::{Gateway, Reply, Site, call, get};

/// Time between two new requests of each VM's callers.
const CALL_INTERVAL: Duration = Duration::from_millis(50);
/// Time after the servers go on within which nothing of the silence may be left.
const SETTLED: Duration = Duration::from_millis(500);

/// Requests that run at most once and requests that may be repeated.
const PREFIXES: [&str; 4] = ["/once/", "/stream/", "/repeat/", "/stream/resume/"];

struct SilenceCase {
    name: &'static str,
    vms: u8,
    regions: usize,
    /// Servers in each region; all of them fall silent.
    servers: usize,
    silent_for: Duration,
}

const CASES: [SilenceCase; 4] = [
    SilenceCase {
        name: "three VMs",
        vms: 3,
        regions: 1,
        servers: 3,
        silent_for: Duration::from_millis(1500),
    },
    SilenceCase {
        name: "one VM",
        vms: 1,
        regions: 1,
        servers: 2,
        silent_for: Duration::from_millis(1500),
    },
    SilenceCase {
        name: "one server",
        vms: 2,
        regions: 1,
        servers: 1,
        silent_for: Duration::from_millis(2500),
    },
    SilenceCase {
        name: "two regions",
        vms: 4,
        regions: 2,
        servers: 2,
        silent_for: Duration::from_millis(1500),
    },
];

/// Calls a VM until `end`, whether or not earlier calls have been answered, and returns the
/// refusals.
fn refusals_until(gateway: &Gateway, end: Instant) -> Vec<Reply> {
    thread::scope(|scope| {
        let mut calls = Vec::new();
        while Instant::now() < end {
            let number = calls.len();
            // Each request differs, so that none is suspected of crashing servers.
            let path = format!("{}{number}", PREFIXES[number % PREFIXES.len()]);
            let id = format!("{}-{number}", gateway.ip);
            calls.push(scope.spawn(move || call(gateway.callers(), &path, &id)));
            thread::sleep(CALL_INTERVAL);
        }
        let replies = calls.into_iter().map(|call| call.join().unwrap());
        let refused = replies.flatten().filter(|reply| reply.status == 503);
        refused.collect()
    })
}

/// Number of log lines with each of the texts that state a failed path.
fn path_verdicts(gateway: &Gateway) -> usize {
    let log = gateway.log();
    let verdicts = ["\"state\":\"lost\"", "\"state\":\"open-connections-only\""];
    verdicts.iter().map(|text| log.matches(text).count()).sum()
}

fn is_path_open(gateway: &Gateway) -> bool {
    let metrics = get(gateway.ready(), "/metrics").unwrap();
    let gauge = format!("onyxfall_path_open{{service=\"{}\"}} 1", support::SERVICE);
    metrics.text().contains(&gauge)
}

/// Silences all servers while requests arrive, and returns what is wrong.
fn check_case(case: &SilenceCase) -> Vec<String> {
    let site = Site::start_in(case.vms, case.regions);
    let servers: Vec<ServerStub> = (0..case.servers * case.regions)
        .map(|number| {
            let vm = number % case.regions;
            let server = ServerStub::start(site.ip(vm)).unwrap();
            site.announce(&format!("s{number}"), &server, vm);
            server
        })
        .collect();
    site.configure(1);
    let gateways: Vec<Gateway> = (0..usize::from(case.vms))
        .map(|vm| site.gateway(vm))
        .collect();
    for gateway in &gateways {
        gateway.wait_served();
    }
    let set_silent = |is_silent| servers.iter().for_each(|s| s.set_silent(is_silent));
    set_silent(true);
    let end = Instant::now() + case.silent_for;
    let refusals: Vec<Reply> = thread::scope(|scope| {
        let callers: Vec<_> = gateways
            .iter()
            .map(|gateway| scope.spawn(move || refusals_until(gateway, end)))
            .collect();
        thread::sleep(end.saturating_duration_since(Instant::now()));
        set_silent(false);
        let refusals = callers.into_iter().map(|caller| caller.join().unwrap());
        refusals.flatten().collect()
    });
    thread::sleep(SETTLED);
    let mut wrong = Vec::new();
    for gateway in &gateways {
        let verdicts = path_verdicts(gateway);
        if verdicts > 0 {
            wrong.push(format!("{}: {verdicts} verdicts on paths", case.name));
        }
        let reply = call(gateway.callers(), "/once/after", "after").unwrap();
        if reply.status != 200 {
            wrong.push(format!("{}: {} afterwards", case.name, reply.text()));
        }
        if !is_path_open(gateway) {
            wrong.push(format!("{}: a path is not open afterwards", case.name));
        }
    }
    let mut reasons: BTreeMap<&str, usize> = BTreeMap::new();
    for refusal in &refusals {
        *reasons.entry(refusal.text()).or_default() += 1;
        if !refusal.headers.contains_key("retry-after") {
            wrong.push(format!("{}: no time to come back", case.name));
        }
    }
    println!("{}: refusals by reason: {reasons:?}", case.name);
    let false_reasons = reasons
        .iter()
        .filter(|(reason, _)| reason.contains("reach"));
    wrong.extend(false_reasons.map(|(reason, count)| format!("{}: {count} {reason}", case.name)));
    wrong
}

/// Guards against a stopped server process that is taken for a lost path.
#[test]
fn silent_servers_are_not_taken_for_a_lost_path() {
    let wrong: Vec<String> = CASES.iter().flat_map(check_case).collect();
    assert_eq!(wrong, Vec::<String>::new());
}
