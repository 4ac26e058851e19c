//! What the stub of a server records of its runs.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use onyxfall_fakes::{RunState, ServerFault, ServerStub};

const LIMIT: Duration = Duration::from_secs(10);

fn start() -> ServerStub {
    ServerStub::start(Ipv4Addr::LOCALHOST.into()).unwrap()
}

fn send(server: &ServerStub) -> TcpStream {
    let mut stream = TcpStream::connect(server.address()).unwrap();
    stream
        .write_all(
            b"POST /stream/x?pause-ms=50 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\
              Content-Length: 4\r\n\r\nbody",
        )
        .unwrap();
    stream
}

fn wait_for(what: &str, mut is_done: impl FnMut() -> bool) {
    let end = Instant::now() + LIMIT;
    while !is_done() {
        assert!(Instant::now() < end, "{what}");
        thread::sleep(Duration::from_millis(5));
    }
}

fn state(server: &ServerStub) -> Option<RunState> {
    server.arrivals_from(0).last().map(|arrived| arrived.run)
}

#[test]
fn an_end_by_the_server_is_told_from_one_by_the_other_end() {
    let cases = [
        (ServerFault::None, RunState::Finished),
        (ServerFault::Closes, RunState::BrokenOff),
        (ServerFault::Disconnects, RunState::BrokenOff),
    ];
    for (fault, expected) in cases {
        let server = start();
        server.set_fault(fault);
        // A connection that is broken off may end with an error.
        let _ = send(&server).read_to_end(&mut Vec::new());
        wait_for("the run to end", || state(&server) == Some(expected));
    }
    let server = start();
    let stream = send(&server);
    wait_for("the run to begin", || {
        state(&server) == Some(RunState::Running)
    });
    drop(stream);
    wait_for("the run to end", || {
        state(&server) == Some(RunState::Abandoned)
    });
}

/// Guards against a crash that takes effect only when a stopped server goes on.
#[test]
fn a_stopped_server_that_crashes_breaks_off_its_runs_at_once() {
    let server = start();
    let mut stream = send(&server);
    wait_for("the run to begin", || {
        state(&server) == Some(RunState::Running)
    });
    server.set_silent(true);
    server.crash();
    // The end of the connection is a close or a reset.
    let _ = stream.read_to_end(&mut Vec::new());
    wait_for("the run to end", || {
        state(&server) == Some(RunState::BrokenOff)
    });
    wait_for("the port to close", || {
        TcpStream::connect(server.address()).is_err()
    });
}
