//! Streams whose silent server is replaced while a second run of them is under way.

mod support;

use std::thread;
use std::time::Duration;

use onyxfall_fakes::ServerStub;
use support::{Site, call, record, wait_for};

const CALLERS: usize = 6;
/// The second run of a stream ends within the timeout of its route.
const EVENT_PAUSE: Duration = Duration::from_millis(450);

fn check_replacement(kills_old: bool) {
    let site = Site::start_in(1, 1);
    let servers = [0, 1].map(|number| {
        let server = ServerStub::start(site.ip(0)).unwrap();
        server.set_event_pause(EVENT_PAUSE);
        site.put(&record(&format!("s{number}"), &server, 1000));
        server
    });
    site.configure(1);
    let gateway = site.gateway(0);
    gateway.wait_served();
    let newer = ServerStub::start(site.ip(0)).unwrap();
    thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let address = gateway.callers();
                let path = format!("/stream/resume/x{caller}");
                scope.spawn(move || call(address, &path, &format!("replaced{caller}")))
            })
            .collect();
        thread::sleep(EVENT_PAUSE + EVENT_PAUSE / 3);
        servers[0].set_silent(true);
        wait_for("a second run", || {
            gateway.log().contains("second run started")
        });
        if kills_old {
            servers[0].crash();
            thread::sleep(Duration::from_millis(50));
        }
        site.put(&record("s0", &newer, 2000));
        let replies: Vec<_> = callers
            .into_iter()
            .map(|caller| caller.join().unwrap())
            .collect();
        let log = gateway.log();
        let panics: Vec<&str> = log
            .lines()
            .filter(|line| line.contains("panicked") || line.contains("resumed after"))
            .collect();
        let cut = replies
            .iter()
            .filter(|reply| {
                reply
                    .as_ref()
                    .is_none_or(|reply| reply.broken || reply.text() != ServerStub::whole_stream())
            })
            .count();
        let runs = servers
            .iter()
            .map(|server| server.runs().len())
            .collect::<Vec<_>>();
        let races: Vec<&str> = log
            .lines()
            .filter(|line| line.contains("race of two") || line.contains("second run"))
            .collect();
        assert_eq!(
            (cut, panics.len()),
            (0, 0),
            "cut answers and panics; runs {runs:?}\n{}\n{}",
            panics.join("\n"),
            races.join("\n")
        );
    });
}

#[test]
fn a_stream_whose_silent_server_is_replaced_during_its_second_run_goes_on() {
    check_replacement(false);
}

#[test]
fn a_stream_whose_silent_server_crashes_and_is_replaced_during_its_second_run_goes_on() {
    check_replacement(true);
}
