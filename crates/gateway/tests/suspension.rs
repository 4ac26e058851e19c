//! A VM that was suspended knows it before it goes on.
//!
//! The steady clock stands still during a suspension, so that everything looks as fresh as
//! before: requests whose callers have gone, members, connections. Ages are therefore
//! counted by a clock that goes on. A suspension needs rights that tests do not have; here
//! the process's clock is moved on by its settings while it runs, which leaves out that
//! timers and the kernel's own time-outs stand still too.

mod support;

use std::thread;
use std::time::Duration;

use onyxfall_fakes::ServerFault;
use support::{ServingSite, call, wait_for};

/// Longer than any time-out of the test site.
const AWAY: Duration = Duration::from_secs(10);

/// The age of a request in milliseconds, by the line on its end.
fn told_age(log: &str, id: &str) -> Option<u64> {
    let line = log.lines().find(|line| {
        line.contains("\"message\":\"request refused\"")
            && line.contains(&format!("\"request\":\"{id}\""))
    })?;
    let rest = line.split("\"age_ms\":").nth(1)?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

#[test]
fn requests_whose_time_has_passed_meanwhile_end_at_once() {
    let serving = ServingSite::start();
    let ServingSite {
        gateway,
        server,
        site,
    } = &serving;
    server.set_fault(ServerFault::Unresponsive);
    let callers = gateway.callers();
    let waiting = thread::spawn(move || call(callers, "/once/x", "waiting"));
    wait_for("the server to run it", || {
        let runs = server.runs();
        runs.iter().any(|run| run.call.request_id == "waiting")
    });
    site.move_clock(0, AWAY);
    gateway.signal("-HUP");
    let reply = waiting.join().unwrap().unwrap();
    assert_eq!(
        reply.status.as_u16(),
        504,
        "it may have run, its time is over"
    );
    let mut told = None;
    wait_for("its end to be logged", || {
        told = told_age(&gateway.log(), "waiting");
        told.is_some()
    });
    let age = told.unwrap();
    assert!(u128::from(age) >= AWAY.as_millis(), "{age} ms are told");
    let log = gateway.log();
    assert!(log.contains("\"message\":\"was suspended\""));
    server.set_fault(ServerFault::None);
    gateway.wait_served();
}
