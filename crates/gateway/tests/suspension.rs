//! A VM that was suspended detects it before it continues.
//!
//! The steady clock stops during a suspension, so everything would look as recent as before:
//! requests whose callers have gone, members, connections. Ages are therefore measured with a
//! clock that keeps running. Suspending a machine takes privileges that tests do not have.
//! Instead, the settings advance the clock of the running process. Unlike in a real suspension,
//! timers and the kernel's own timeouts keep running.

mod support;

use std::thread;
use std::time::Duration;

use onyxfall_fakes::ServerFault;
use support::{ServingSite, call, wait_for};

/// Longer than any timeout of the test site.
const SUSPENDED_FOR: Duration = Duration::from_secs(10);

/// Age of a request in milliseconds, from the log line on its end.
fn logged_age(log: &str, id: &str) -> Option<u64> {
    let line = log.lines().find(|line| {
        line.contains("\"message\":\"request refused\"")
            && line.contains(&format!("\"request\":\"{id}\""))
    })?;
    let rest = line.split("\"age_ms\":").nth(1)?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

#[test]
fn requests_whose_deadline_passed_during_a_suspension_end_at_once() {
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
    site.move_clock(0, SUSPENDED_FOR);
    gateway.signal("-HUP");
    let reply = waiting.join().unwrap().unwrap();
    assert_eq!(
        reply.status.as_u16(),
        504,
        "its deadline has passed; it may have run"
    );
    let mut logged = None;
    wait_for("its end to be logged", || {
        logged = logged_age(&gateway.log(), "waiting");
        logged.is_some()
    });
    let age = logged.unwrap();
    assert!(
        u128::from(age) >= SUSPENDED_FOR.as_millis(),
        "{age} ms are logged"
    );
    let log = gateway.log();
    assert!(log.contains("\"message\":\"was suspended\""));
    server.set_fault(ServerFault::None);
    gateway.wait_served();
}
