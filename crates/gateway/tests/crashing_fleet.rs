//! A request that crashes its servers is stopped where VMs receive the evidence through
//! aggregators: in regions of so many VMs that most of them report to a few.

mod support;

use std::thread;
use std::time::Duration;

use http::StatusCode;
use onyxfall_fakes::{CRASHING_BODY, ServerStub};
use support::{Gateway, Site, call_from};

const VMS: u8 = 20;
const REGIONS: usize = 2;
const REGION_SERVERS: usize = 5;
const PATH: &str = "/stream/resume/x";
/// Most servers that one request may crash while VMs can reach each other.
const MAX_LOST: usize = 3;
const RETRIES: u8 = 10;
/// Pause before each retry. Evidence takes four messages from a VM to one of another region.
const RETRY_PAUSE: Duration = Duration::from_millis(600);

#[test]
fn a_request_is_rejected_on_vms_that_receive_the_evidence_through_aggregators() {
    let site = Site::start_in(VMS, REGIONS);
    let servers: Vec<ServerStub> = (0..REGIONS * REGION_SERVERS)
        .map(|number| {
            let vm = number % REGIONS;
            let server = ServerStub::start(site.ip(vm)).unwrap();
            site.announce(&format!("s{number}"), &server, vm);
            server
        })
        .collect();
    site.configure(1);
    let gateways: Vec<Gateway> = (0..usize::from(VMS)).map(|vm| site.gateway(vm)).collect();
    for gateway in &gateways {
        gateway.wait_served();
    }
    let mut last = None;
    for number in 0..RETRIES {
        // Alternates between the regions.
        let gateway = &gateways[usize::from(number) * 3 % gateways.len()];
        let from = [127, 0, 3, number + 1].into();
        let id = format!("retry{number}");
        last = call_from(from, gateway.callers(), PATH, &id, CRASHING_BODY);
        thread::sleep(RETRY_PAUSE);
    }
    let runs = servers.iter().flat_map(ServerStub::runs);
    let arrivals = runs.filter(|run| run.body == CRASHING_BODY).count();
    assert!(arrivals <= MAX_LOST, "{arrivals} arrivals");
    let last = last.expect("the caller gets a response");
    assert_eq!(last.status, StatusCode::SERVICE_UNAVAILABLE);
}
