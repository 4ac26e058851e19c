//! All VMs avoid a server that has become unresponsive, on the evidence of a few of them.

mod support;

use std::thread;
use std::time::Duration;

use onyxfall_fakes::{ServerFault, ServerStub};
use support::{Gateway, Site, call, wait_for, wait_used};

/// Number of concurrent requests of each VM.
const CALLERS: usize = 6;
/// Delay of the second VM's requests; a response is overdue after 0.4 s.
const SECOND_VM_DELAY: Duration = Duration::from_millis(200);

/// Calls a VM from several callers at once. Returns the ids of requests without success.
fn call_all(gateway: &Gateway, path: &'static str, round: usize) -> Vec<String> {
    let address = gateway.callers();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let id = format!("{}-{round}-{caller}", gateway.ip);
            thread::spawn(move || {
                let reply = call(address, path, &id);
                let is_served = reply.is_some_and(|reply| reply.status.is_success());
                (!is_served).then_some(id)
            })
        })
        .collect();
    callers
        .into_iter()
        .filter_map(|caller| caller.join().unwrap())
        .collect()
}

#[test]
fn repeatable_requests_are_retried_when_several_vms_find_a_server_unresponsive() {
    let site = Site::start_in(2, 1);
    let servers = [
        ServerStub::start(site.ip(0)).unwrap(),
        ServerStub::start(site.ip(0)).unwrap(),
    ];
    site.announce("s0", &servers[0], 0);
    site.announce("s1", &servers[1], 0);
    site.configure(1);
    let gateways = [site.gateway(0), site.gateway(1)];
    for gateway in &gateways {
        gateway.wait_served();
    }
    servers[0].set_fault(ServerFault::Unresponsive);
    let muted_at = servers[0].runs().len();
    // A request that stays at the unresponsive server fails at the timeout of its route.
    let mut round = 0;
    wait_for("both VMs to have had requests at the mute server", || {
        round += 1;
        let (first, second) = thread::scope(|scope| {
            let calls = gateways
                .each_ref()
                .map(|gateway| scope.spawn(move || call_all(gateway, "/repeat/x", round)));
            let [first, second] = calls.map(|calls| calls.join().unwrap());
            (first, second)
        });
        let muted_runs = servers[0].runs().split_off(muted_at);
        let has_muted_run = |gateway: &Gateway| {
            let ip = gateway.ip.to_string();
            muted_runs
                .iter()
                .any(|run| run.call.request_id.starts_with(&ip))
        };
        if gateways.iter().all(has_muted_run) {
            assert_eq!(first, Vec::<String>::new(), "not served by the first VM");
            assert_eq!(second, Vec::<String>::new(), "not served by the second VM");
            return true;
        }
        false
    });
}

/// The second VM's response becomes overdue after it has received the first VM's vote, so
/// that time alone makes the server unresponsive.
#[test]
fn a_vm_whose_response_is_overdue_last_also_avoids_the_server() {
    let site = Site::start_in(2, 1);
    let servers = site.start_servers(2);
    site.configure(1);
    let gateways = [site.gateway(0), site.gateway(1)];
    for gateway in &gateways {
        gateway.wait_served();
        for server in &servers {
            wait_used("every server to be used", gateway, server);
        }
    }
    servers[0].set_fault(ServerFault::Unresponsive);
    // One vote does not suffice: a round counts if both VMs had a request at the server.
    let mut round = 0;
    wait_for(
        "both VMs to have had requests at the unresponsive server",
        || {
            round += 1;
            let before = servers[0].runs().len();
            let lost = thread::scope(|scope| {
                let first = scope.spawn(|| call_all(&gateways[0], "/repeat/x", round));
                thread::sleep(SECOND_VM_DELAY);
                let second = call_all(&gateways[1], "/repeat/x", round);
                [first.join().unwrap(), second]
            });
            let runs = servers[0].runs().split_off(before);
            let has_run = |gateway: &Gateway| {
                let ip = gateway.ip.to_string();
                runs.iter().any(|run| run.call.request_id.starts_with(&ip))
            };
            if !gateways.iter().all(has_run) {
                return false;
            }
            assert_eq!(lost, [Vec::<String>::new(), Vec::new()]);
            true
        },
    );
}
