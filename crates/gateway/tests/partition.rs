//! VMs that lose their paths to all servers, while callers, the store and the other VMs still
//! reach them.

mod support;

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use onyxfall_fakes::{FaultyLink, PathCut, ServerFault, ServerStub};
use support::{Gateway, Site, call};

/// Time after the cut from which callers have to be served.
const CONTACT: Duration = Duration::from_secs(5);
/// Time for which first tries are counted after that.
const COUNTED: Duration = Duration::from_secs(2);
/// How long a sound server is silent.
const SILENCE: Duration = Duration::from_millis(900);
/// Concurrent callers of each VM.
const CALLERS: usize = 3;
/// Callers whose requests are lost with a path.
const LOST_CALLERS: usize = 8;
/// First tries at VMs without a path that may fail: a number, and one in so many.
const FAILED_TRIES: usize = 10;
const FAILED_SHARE: usize = 50;

/// Requests that run at most once and requests that may be repeated.
const PREFIXES: [&str; 4] = ["/once/", "/stream/", "/repeat/", "/stream/resume/"];

struct PartitionCase {
    name: &'static str,
    vms: u8,
    regions: usize,
    /// VMs that lose their paths.
    cut: &'static [usize],
}

const CASES: [PartitionCase; 3] = [
    PartitionCase {
        name: "one of three VMs",
        vms: 3,
        regions: 1,
        cut: &[0],
    },
    PartitionCase {
        name: "two of three VMs",
        vms: 3,
        regions: 1,
        cut: &[0, 1],
    },
    PartitionCase {
        name: "all VMs of one of two regions",
        vms: 4,
        regions: 2,
        cut: &[0, 2],
    },
];

/// A site whose servers are behind links, with a gateway on each VM.
struct LinkedSite {
    // Fields drop in order: the gateways before what they depend on.
    gateways: Vec<Gateway>,
    links: Vec<FaultyLink>,
    servers: Vec<ServerStub>,
    site: Site,
}

impl LinkedSite {
    /// Starts two servers in each region.
    fn start(vms: u8, regions: usize) -> Self {
        let site = Site::start_in(vms, regions).with_sources();
        let mut servers = Vec::new();
        let mut links = Vec::new();
        for number in 0..2 * regions {
            let vm = number % regions;
            let server = ServerStub::start(site.ip(vm)).unwrap();
            let link = FaultyLink::start(site.ip(vm), server.address()).unwrap();
            let name = format!("s{number}");
            site.announce_as(
                &name,
                link.address(),
                vm,
                onyxfall_fleet::ServerPhase::Ready,
            );
            servers.push(server);
            links.push(link);
        }
        site.configure(1);
        let gateways: Vec<Gateway> = (0..usize::from(vms)).map(|vm| site.gateway(vm)).collect();
        for gateway in &gateways {
            gateway.wait_served();
        }
        Self {
            gateways,
            links,
            servers,
            site,
        }
    }

    /// The last link is cut first: a server that proves a lost path must not be reached after the
    /// connections to the others were reset.
    fn set_cut(&self, vms: &[usize], cut: Option<PathCut>) {
        for link in self.links.iter().rev() {
            for vm in vms {
                link.set_cut(self.site.source(*vm), cut).unwrap();
            }
        }
    }

    /// Calls all VMs until `end` and counts the first tries sent from `from` on, by VM and
    /// status; 0 stands for no response.
    fn count_tries(&self, from: Instant, end: Instant) -> Vec<BTreeMap<u16, usize>> {
        thread::scope(|scope| {
            let vms: Vec<_> = self
                .gateways
                .iter()
                .map(|gateway| {
                    let callers = (0..CALLERS)
                        .map(|caller| scope.spawn(move || call_until(gateway, caller, from, end)));
                    callers.collect::<Vec<_>>()
                })
                .collect();
            vms.into_iter()
                .map(|callers| {
                    let mut sum = BTreeMap::new();
                    for (status, count) in callers.into_iter().flat_map(|c| c.join().unwrap()) {
                        *sum.entry(status).or_default() += count;
                    }
                    sum
                })
                .collect()
        })
    }
}

/// Calls a VM one request after the other until `end`; counts those sent from `from` on.
fn call_until(
    gateway: &Gateway,
    caller: usize,
    from: Instant,
    end: Instant,
) -> BTreeMap<u16, usize> {
    let mut counts = BTreeMap::new();
    for number in 0.. {
        let sent = Instant::now();
        if sent >= end {
            break;
        }
        let id = format!("{}-{caller}-{number}", gateway.ip);
        // Each request differs, so that none is suspected of crashing the servers it was lost with.
        let path = format!("{}{caller}-{number}", PREFIXES[number % PREFIXES.len()]);
        let reply = call(gateway.callers(), &path, &id);
        let status = reply.map_or(0, |reply| {
            if reply.broken {
                0
            } else {
                reply.status.as_u16()
            }
        });
        if sent >= from {
            *counts.entry(status).or_default() += 1;
        }
        thread::sleep(Duration::from_millis(10));
    }
    counts
}

fn total(counts: &BTreeMap<u16, usize>) -> usize {
    counts.values().sum()
}

fn served(counts: &BTreeMap<u16, usize>) -> usize {
    counts.get(&200).copied().unwrap_or(0)
}

/// Sums the counts of some VMs.
fn sum<'a>(counts: impl Iterator<Item = &'a BTreeMap<u16, usize>>) -> BTreeMap<u16, usize> {
    let mut sum = BTreeMap::new();
    for (status, count) in counts.flatten() {
        *sum.entry(*status).or_default() += count;
    }
    sum
}

fn has_too_many_failures(counts: &BTreeMap<u16, usize>) -> bool {
    total(counts) - served(counts) > FAILED_TRIES + total(counts) / FAILED_SHARE
}

/// Cuts the paths of a case and returns what is wrong with the first tries after that.
fn check_case(case: &PartitionCase, cut: PathCut) -> Option<String> {
    let site = LinkedSite::start(case.vms, case.regions);
    let begun = Instant::now();
    site.set_cut(case.cut, Some(cut));
    let counts = site.count_tries(begun + CONTACT, begun + CONTACT + COUNTED);
    let of = |is_cut: bool| {
        let counts = counts.iter().enumerate();
        sum(counts
            .filter(move |(vm, _)| case.cut.contains(vm) == is_cut)
            .map(|(_, counts)| counts))
    };
    let (apart, others) = (of(true), of(false));
    // Compared without division: the share served at one side against that at the other.
    let is_worse = 3 * served(&apart) * total(&others) < 2 * served(&others) * total(&apart);
    let is_broken = (is_worse && has_too_many_failures(&apart)) || has_too_many_failures(&others);
    is_broken.then(|| {
        format!(
            "{}, {cut:?}: {apart:?} by status at VMs without a path, {others:?} at the others",
            case.name
        )
    })
}

#[test]
fn callers_of_vms_that_are_partitioned_from_all_servers_are_served() {
    let broken: Vec<String> = thread::scope(|scope| {
        let checks: Vec<_> = CASES
            .iter()
            .flat_map(|case| PathCut::ALL.map(|cut| (case, cut)))
            .map(|(case, cut)| scope.spawn(move || check_case(case, cut)))
            .collect();
        let checks = checks.into_iter();
        checks.filter_map(|check| check.join().unwrap()).collect()
    });
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

#[test]
fn requests_that_were_never_written_to_a_server_are_refused_as_not_run() {
    let site = LinkedSite::start(2, 1);
    site.set_cut(&[0, 1], Some(PathCut::Silent));
    let begun = Instant::now();
    let counts = site.count_tries(begun + CONTACT, begun + CONTACT + COUNTED);
    let refused = sum(counts.iter());
    let expected = BTreeMap::from([(503, total(&refused))]);
    assert_eq!(refused, expected, "first tries by status");
    let reply = call(site.gateways[0].callers(), "/once/x", "refused").unwrap();
    assert!(reply.headers.contains_key("retry-after"));
}

#[test]
fn vms_serve_by_themselves_again_after_a_partition() {
    for cut in PathCut::ALL {
        let site = LinkedSite::start(2, 1);
        site.set_cut(&[0, 1], Some(cut));
        let begun = Instant::now();
        site.count_tries(begun, begun + CONTACT);
        site.set_cut(&[0, 1], None);
        for (vm, gateway) in site.gateways.iter().enumerate() {
            let source = site.site.source(vm);
            let runs = || {
                let arrivals = site.servers.iter().flat_map(|s| s.arrivals_from(0));
                arrivals
                    .filter(|a| a.from == source && a.done.is_some())
                    .count()
            };
            let before = runs();
            let mut number = 0;
            support::wait_for("a request to be sent by the VM itself", || {
                number += 1;
                call(
                    gateway.callers(),
                    "/once/x",
                    &format!("healed-{vm}-{number}"),
                );
                runs() > before
            });
        }
    }
}

#[test]
fn a_server_that_is_silent_for_a_second_loses_no_request() {
    let site = LinkedSite::start(2, 1);
    let begun = Instant::now();
    let counts = thread::scope(|scope| {
        let silence = scope.spawn(|| {
            for _ in 0..2 {
                thread::sleep(SILENCE);
                for cut in [Some(PathCut::Silent), None] {
                    for vm in 0..2 {
                        site.links[0].set_cut(site.site.source(vm), cut).unwrap();
                    }
                    thread::sleep(SILENCE);
                }
            }
        });
        let counts = site.count_tries(begun, begun + 6 * SILENCE);
        silence.join().unwrap();
        counts
    });
    // A refusal is no loss: it has not run and may be sent again.
    let lost: usize = counts
        .iter()
        .flatten()
        .filter(|(status, _)| !matches!(status, 200 | 503))
        .map(|(_, count)| count)
        .sum();
    assert_eq!(lost, 0, "{counts:?} by VM and status");
    let mut runs = BTreeMap::new();
    for run in site.servers.iter().flat_map(ServerStub::runs) {
        *runs.entry((run.target, run.call.request_id)).or_insert(0) += 1;
    }
    let may_repeat = |target: &str| target.starts_with("/repeat/") || target.contains("/resume/");
    let doubled = runs
        .iter()
        .filter(|((target, _), runs)| **runs > 1 && !may_repeat(target));
    assert_eq!(doubled.count(), 0, "requests that ran twice");
}

/// Connections that a partition resets look like servers that a request has crashed.
#[test]
fn requests_that_are_lost_with_the_path_of_a_vm_are_not_suspected_of_crashes() {
    let mut site = LinkedSite::start(2, 1);
    let path = "/repeat/same";
    let idle = ServerStub::start(site.site.ip(0)).unwrap();
    let link = FaultyLink::start(site.site.ip(0), idle.address()).unwrap();
    site.links.push(link);
    for server in &site.servers {
        server.set_fault(ServerFault::Unresponsive);
    }
    let begun: Vec<usize> = site.servers.iter().map(|s| s.runs().len()).collect();
    thread::scope(|scope| {
        for caller in 0..LOST_CALLERS {
            let gateway = &site.gateways[0];
            scope.spawn(move || call(gateway.callers(), path, &format!("lost-{caller}")));
        }
        // A request that is sent later would run at the idle server.
        support::wait_for("both servers to run all requests", || {
            let servers = site.servers.iter().zip(&begun);
            let runs = servers.map(|(server, begun)| server.runs().len() - begun);
            let runs: Vec<usize> = runs.collect();
            runs.iter().all(|runs| *runs > 0) && runs.iter().sum::<usize>() >= LOST_CALLERS
        });
        // A server without requests proves by a check that the path is lost.
        let address = site.links[2].address();
        let phase = onyxfall_fleet::ServerPhase::Ready;
        site.site.announce_as("idle", address, 0, phase);
        support::wait_for("the VM to know the idle server", || {
            site.gateways[0].log().contains("\"server\":\"idle\"")
        });
        site.set_cut(&[0], Some(PathCut::Reset));
        for server in &site.servers {
            server.set_fault(ServerFault::None);
        }
    });
    for number in 0..10 {
        let reply = call(site.gateways[1].callers(), path, &format!("sound-{number}")).unwrap();
        assert_eq!(reply.status.as_u16(), 200, "{}", reply.text());
    }
}

/// Connections on a path that is already lost time out whatever their servers do.
#[test]
fn runs_whose_connections_time_out_on_a_lost_path_are_not_suspected_of_crashes() {
    let site = LinkedSite::start(4, 2);
    let path = "/once/same";
    let near = [0, 2];
    let begun = near.map(|server| site.servers[server].runs().len());
    for server in near {
        site.servers[server].set_fault(ServerFault::Unresponsive);
    }
    thread::scope(|scope| {
        for caller in 0..8 {
            let gateway = &site.gateways[0];
            scope.spawn(move || call(gateway.callers(), path, &format!("lost-{caller}")));
        }
        support::wait_for("both servers to run the request", || {
            let mut servers = near.into_iter().zip(begun);
            servers.all(|(server, begun)| site.servers[server].runs().len() > begun)
        });
        site.set_cut(&near, Some(PathCut::Silent));
    });
    support::wait_for("the VM to find its path lost", || {
        site.gateways[0].log().contains("\"state\":\"lost\"")
    });
    for number in 0..10 {
        let reply = call(site.gateways[1].callers(), path, &format!("sound-{number}")).unwrap();
        assert_eq!(reply.status.as_u16(), 200, "{}", reply.text());
    }
}
