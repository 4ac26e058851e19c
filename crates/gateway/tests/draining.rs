//! A server that signals draining in a response gets no new requests.
//!
//! Guards against a VM that learns of draining only from the store. During a store outage of
//! thirteen seconds a server started to drain. Its entry could not be updated, but each of
//! its responses carried the draining signal. The VM ignored the signal and kept choosing
//! the server, mostly as the prefix holder. The server received up to 13 requests in one
//! second. Requests reached it 3.4 and 3.7 s after the first such response, one of them
//! forwarded by another region, and would have been cut off at its end. They took 60 ms to
//! arrive, so none had waited with its server already chosen.

mod support;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use http::StatusCode;
use onyxfall_fakes::{ServerFault, ServerStub, StubSignals};
use onyxfall_fleet::ServerRecord;
use support::{Gateway, Site, call, record, relay, wait_used};

const DRAINING: StubSignals = StubSignals {
    is_draining: true,
    backoff: None,
    limit: None,
    brittle: None,
};
/// Number of requests of which some would reach each of two eligible servers.
const REQUESTS: usize = 30;

/// A VM with two servers in use, the first of which starts to drain.
struct DrainingSite {
    gateway: Gateway,
    draining: ServerStub,
    other: ServerStub,
    site: Site,
}

impl DrainingSite {
    fn start() -> Self {
        let site = Site::start(1);
        let draining = ServerStub::start(site.ip(0)).unwrap();
        let other = ServerStub::start(site.ip(0)).unwrap();
        site.put(&record("draining", &draining, 5));
        site.put(&record("other", &other, 5));
        site.configure(1);
        let gateway = site.gateway(0);
        gateway.wait_served();
        let all = Self {
            gateway,
            draining,
            other,
            site,
        };
        all.wait_used("the server to be used", &all.draining);
        all
    }

    fn wait_used(&self, what: &str, server: &ServerStub) {
        wait_used(what, &self.gateway, server);
    }

    /// Makes the server signal draining in a response.
    fn signal_draining(&self, failing: ServerFault) {
        self.draining.set_fault(failing);
        self.draining.set_signals(DRAINING);
        self.wait_used("the server to signal draining", &self.draining);
        self.draining.set_fault(ServerFault::None);
    }

    fn check_unused(&self, name: &str, path: &str) {
        let before = self.draining.arrived();
        for number in 0..REQUESTS {
            let id = format!("tested{number}");
            let reply = call(self.gateway.callers(), path, &id).unwrap();
            assert_eq!(reply.status, StatusCode::OK, "{name}: others serve it");
            let reply = relay(&self.gateway, path, &format!("relayed{number}"), &[]);
            assert_eq!(reply.status, StatusCode::OK, "{name}: others serve it");
        }
        let arrived = self.draining.arrived() - before;
        assert_eq!(arrived, 0, "{name}: requests reached the draining server");
        assert!(self.other.arrived() > 0, "{name}");
    }
}

struct DrainingCase {
    name: &'static str,
    /// What the server does with the request whose response carries the signal.
    failing: ServerFault,
    path: &'static str,
}

#[test]
fn a_server_that_signals_draining_gets_no_new_requests() {
    let served = |name, path| DrainingCase {
        name,
        failing: ServerFault::None,
        path,
    };
    let signalled = |name, failing| DrainingCase {
        name,
        failing,
        path: "/repeat/x",
    };
    let cases = [
        served("requests that run once", "/once/x"),
        served("requests that may be retried", "/repeat/x"),
        served("streams", "/stream/x"),
        served("streams that may be resumed", "/stream/resume/x"),
        signalled("signalled in a rejection", ServerFault::Rejects),
        signalled("signalled in a server error", ServerFault::Fails),
        signalled(
            "signalled in the response of another request",
            ServerFault::WrongResponse,
        ),
    ];
    std::thread::scope(|scope| {
        for case in &cases {
            scope.spawn(move || {
                let site = DrainingSite::start();
                site.signal_draining(case.failing);
                site.check_unused(case.name, case.path);
            });
        }
    });
}

/// Store entries of a draining instance are older knowledge, whenever they arrive. A later
/// instance of the same name is not draining.
#[test]
fn a_ready_entry_does_not_undo_draining() {
    let site = DrainingSite::start();
    site.signal_draining(ServerFault::None);
    let wait_for_store_read = |what: &str| {
        let third = ServerStub::start(site.site.ip(0)).unwrap();
        site.site.put(&record("third", &third, 5));
        site.wait_used(what, &third);
        site.site.retire("third");
    };
    let larger = ServerRecord {
        slots: 9,
        ..record("draining", &site.draining, 5)
    };
    site.site.put(&larger);
    wait_for_store_read("the rewritten entry to be read");
    site.check_unused("rewritten", "/repeat/x");
    site.site.retire("draining");
    wait_for_store_read("the removal of the entry to be read");
    site.site.put(&record("draining", &site.draining, 5));
    wait_for_store_read("the restored entry to be read");
    site.check_unused("removed and restored", "/repeat/x");
    let later = ServerStub::start(site.site.ip(0)).unwrap();
    // A draining server keeps serving for some seconds before its next instance starts.
    let start_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap() + Duration::from_secs(5);
    let start_time = u64::try_from(start_time.as_millis()).unwrap();
    site.site.put(&record("draining", &later, start_time));
    site.wait_used("a later instance to be used", &later);
}
