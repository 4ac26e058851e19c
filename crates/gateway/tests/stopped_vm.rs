//! A VM that relays streams and is stopped: its kernel still acknowledges what it receives.

mod support;

use std::thread;
use std::time::{Duration, Instant};

use onyxfall_fakes::ServerStub;
use support::{Site, call, wait_for};

/// Delay before each of the three events of a stream, and the time from the requests to the stop.
const EVENT_PAUSE: Duration = Duration::from_millis(200);
const SENT_BEFORE: Duration = Duration::from_millis(300);
const CALLERS: usize = 8;

/// VMs of the second of two regions, which has the servers.
const RELAYS: [usize; 2] = [1, 3];

#[test]
fn streams_that_a_stopped_vm_relays_go_on_through_another_one() {
    let site = Site::start_in(4, 2);
    let servers: Vec<ServerStub> = (0..2)
        .map(|number| {
            let server = ServerStub::start(site.ip(1)).unwrap();
            site.announce(&format!("s{number}"), &server, 1);
            server
        })
        .collect();
    site.configure(1);
    let relays = RELAYS.map(|vm| site.gateway(vm));
    let gateway = site.gateway(0);
    for gateway in relays.iter().chain([&gateway]) {
        gateway.wait_served();
    }
    // A VM with an idle connection is preferred, so that only concurrent requests use both.
    let mut round = 0;
    wait_for("both VMs to relay", || {
        round += 1;
        thread::scope(|scope| {
            for caller in 0..CALLERS {
                let id = format!("first-{round}-{caller}");
                let address = gateway.callers();
                scope.spawn(move || call(address, "/stream/resume/first", &id));
            }
        });
        let uses = |vm: &usize| gateway.log().contains(&format!("\"target\":\"vm{vm}\""));
        RELAYS.iter().all(uses)
    });
    for server in &servers {
        server.set_event_pause(EVENT_PAUSE);
    }
    let begun: Vec<usize> = servers.iter().map(|server| server.runs().len()).collect();
    let replies = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let (address, path) = (gateway.callers(), format!("/stream/resume/{caller}"));
                scope.spawn(move || {
                    let sent = Instant::now();
                    (
                        call(address, &path, &format!("stopped-{caller}")),
                        sent.elapsed(),
                    )
                })
            })
            .collect();
        thread::sleep(SENT_BEFORE);
        relays[0].signal("-STOP");
        let replies: Vec<_> = callers.into_iter().map(|c| c.join().unwrap()).collect();
        relays[0].signal("-CONT");
        replies
    });
    for (reply, took) in &replies {
        let whole = reply
            .as_ref()
            .is_some_and(|reply| reply.text() == ServerStub::whole_stream());
        assert!(whole, "after {took:?}: {reply:?}");
    }
    // One second run at most for each stream of the stopped VM.
    let runs = servers.iter().zip(begun);
    let runs: usize = runs
        .map(|(server, begun)| server.runs().len() - begun)
        .sum();
    assert!((CALLERS + 1..2 * CALLERS).contains(&runs), "{runs} runs");
}
