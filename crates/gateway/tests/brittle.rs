//! Servers that say that they are brittle do not get more requests than they have room for.

mod support;

use std::thread;
use std::time::{Duration, Instant};

use onyxfall_fakes::StubSignals;
use support::{Gateway, Site, call};

/// Requests that a server takes at the same time, as its entry says.
const SLOTS: u32 = 8;
/// Concurrent callers of each VM: many more than the servers have room for.
const CALLERS: usize = 12;
const LOADED: Duration = Duration::from_secs(3);

struct BrittleCase {
    name: &'static str,
    vms: u8,
    /// Rejections a second that a server bears, as in the header.
    rejections: &'static str,
}

#[test]
fn brittle_servers_do_not_fall_over_by_rejections() {
    let cases = [
        BrittleCase {
            name: "one VM",
            vms: 1,
            rejections: "3",
        },
        BrittleCase {
            name: "three VMs",
            vms: 3,
            rejections: "3",
        },
        BrittleCase {
            name: "more VMs than slots",
            vms: 9,
            rejections: "2",
        },
    ];
    for case in &cases {
        let site = Site::start_in(case.vms, 1);
        let servers = site.start_servers(2);
        site.configure(1);
        let gateways: Vec<Gateway> = (0..usize::from(case.vms))
            .map(|vm| site.gateway(vm))
            .collect();
        for server in &servers {
            server.set_signals(StubSignals {
                brittle: Some(case.rejections),
                ..StubSignals::default()
            });
        }
        for gateway in &gateways {
            gateway.wait_served();
        }
        for server in &servers {
            server.set_room(Some(SLOTS));
        }
        let served = load(&gateways);
        let fallen = servers.iter().filter(|server| server.is_crashed()).count();
        assert_eq!(fallen, 0, "{}: servers that fell over", case.name);
        assert!(served > 0, "{}: nothing was served", case.name);
    }
}

/// Sends more requests than the servers have room for; returns the number served.
fn load(gateways: &[Gateway]) -> usize {
    let end = Instant::now() + LOADED;
    let send = |gateway: &Gateway, caller: usize| {
        let mut served = 0;
        for number in 0.. {
            if Instant::now() >= end {
                break;
            }
            let id = format!("{}-{caller}-{number}", gateway.ip);
            let path = format!("/stream/{caller}-{number}");
            let reply = call(gateway.callers(), &path, &id);
            let is_served = reply.is_some_and(|reply| reply.status.is_success());
            served += usize::from(is_served);
            if !is_served {
                thread::sleep(Duration::from_millis(20));
            }
        }
        served
    };
    thread::scope(|scope| {
        let callers: Vec<_> = gateways
            .iter()
            .flat_map(|gateway| (0..CALLERS).map(move |caller| (gateway, caller)))
            .map(|(gateway, caller)| scope.spawn(move || send(gateway, caller)))
            .collect();
        callers
            .into_iter()
            .map(|caller| caller.join().unwrap())
            .sum()
    })
}
