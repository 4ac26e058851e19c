//! Servers whose hosts acknowledge nothing for longer than the kernel keeps their connections.

mod support;

use std::thread;
use std::time::Duration;

use onyxfall_fakes::{FaultyLink, PathCut, ServerFault, ServerStub};
use onyxfall_fleet::ServerPhase;
use support::{Site, call, get, wait_for, wait_used};

/// Longer than the user timeout and a keep-alive interval.
const SILENCE: Duration = Duration::from_millis(2600);
/// Delay before each of the three events of a stream, and the time from the requests to the cut.
const EVENT_PAUSE: Duration = Duration::from_millis(200);
const SENT_BEFORE: Duration = Duration::from_millis(300);
const CALLERS: usize = 9;

struct TimeoutCase {
    path: &'static str,
    fault: ServerFault,
}

const CASES: [TimeoutCase; 2] = [
    TimeoutCase {
        path: "/stream/x",
        fault: ServerFault::None,
    },
    TimeoutCase {
        path: "/once/x",
        fault: ServerFault::Unresponsive,
    },
];

#[test]
fn a_server_whose_host_acknowledges_nothing_for_a_while_has_not_crashed() {
    for case in CASES {
        let site = Site::start(1).with_sources();
        let mut servers = site.start_servers(2);
        let silent = ServerStub::start(site.ip(0)).unwrap();
        let link = FaultyLink::start(site.ip(0), silent.address()).unwrap();
        site.announce_as("silent", link.address(), 0, ServerPhase::Ready);
        servers.push(silent);
        site.configure(1);
        let gateway = site.gateway(0);
        gateway.wait_served();
        wait_used(
            "the server behind the link to be used",
            &gateway,
            &servers[2],
        );
        for server in &servers {
            server.set_event_pause(EVENT_PAUSE);
        }
        servers[2].set_fault(case.fault);
        let runs = servers[2].runs().len();
        thread::scope(|scope| {
            let callers: Vec<_> = (0..CALLERS)
                .map(|caller| {
                    let (address, path) = (gateway.callers(), format!("{}{caller}", case.path));
                    scope.spawn(move || call(address, &path, &format!("timeout-{caller}")))
                })
                .collect();
            thread::sleep(SENT_BEFORE);
            link.set_cut(site.source(0), Some(PathCut::Silent)).unwrap();
            thread::sleep(SILENCE);
            link.set_cut(site.source(0), None).unwrap();
            servers[2].set_fault(ServerFault::None);
            for caller in callers {
                caller.join().unwrap();
            }
        });
        assert!(
            servers[2].runs().len() > runs,
            "no run at the silent server"
        );
        assert!(gateway.log().contains("run lost with its server"));
        wait_for("the server to be used again", || {
            wait_used("again", &gateway, &servers[2]);
            true
        });
        let metrics = get(gateway.ready(), "/metrics").unwrap();
        let crashes = metrics.text().contains("onyxfall_lost_runs_total");
        assert!(!crashes, "{}: runs counted as lost in a crash", case.path);
        let log = gateway.log();
        assert!(
            !log.contains("trust in a server changed"),
            "{}: {log}",
            case.path
        );
    }
}
