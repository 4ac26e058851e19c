//! A server that says in its answers that it leaves gets no new work.
//!
//! What users saw: a model server that was being taken away got narrations until its last
//! second, 13 in one second at the most. Whatever still ran there at its end would have
//! been cut.
//!
//! Order of events: the platform's store answered nobody for thirteen seconds. One and a
//! half seconds into that a server had to leave; its entry could not be written, but each
//! of its answers said so. A VM passed such answers on and went on choosing the server,
//! mostly as the one that holds the prompt's shared part. Requests reached it 3.4 and 3.7 s
//! after the first such answer; one had been passed on by another region. They ended when
//! the store came back and the entry said `draining`.
//!
//! Cause: a VM believed a server's leaving by its entry in the store alone. What the
//! server said of itself in the head of an answer was read by nobody.
//!
//! Evidence: between the answer and the return of the store no line of the VM's log changes
//! what it believes of the server, so that no older entry undid a known leaving, and the
//! requests were on their way for 60 ms, so that none had waited with its server chosen.

mod support;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use http::StatusCode;
use onyxfall_fakes::{ServerFault, ServerStub, StubSignals};
use onyxfall_fleet::ServerRecord;
use support::{Gateway, Site, call, record, relay, wait_used};

const LEAVING: StubSignals = StubSignals {
    is_leaving: true,
    rest: None,
    limit: None,
};
/// Requests after which a server that could get one would have got one, of two servers.
const REQUESTS: usize = 30;

/// A VM with two servers, both in use, the first of which begins to say that it leaves.
struct LeavingSite {
    gateway: Gateway,
    leaving: ServerStub,
    other: ServerStub,
    site: Site,
}

impl LeavingSite {
    fn start() -> Self {
        let site = Site::start(1);
        let leaving = ServerStub::start(site.ip(0)).unwrap();
        let other = ServerStub::start(site.ip(0)).unwrap();
        site.put(&record("leaving", &leaving, 5));
        site.put(&record("other", &other, 5));
        site.configure(1);
        let gateway = site.gateway(0);
        gateway.wait_served();
        let all = Self {
            gateway,
            leaving,
            other,
            site,
        };
        all.wait_used("the server to be used", &all.leaving);
        all
    }

    fn wait_used(&self, what: &str, server: &ServerStub) {
        wait_used(what, &self.gateway, server);
    }

    /// Lets the server say in an answer that it leaves.
    fn let_leave(&self, failing: ServerFault) {
        self.leaving.set_fault(failing);
        self.leaving.set_signals(LEAVING);
        self.wait_used("the server to say that it leaves", &self.leaving);
        self.leaving.set_fault(ServerFault::None);
    }

    fn check_unused(&self, name: &str, path: &str) {
        let before = self.leaving.arrived();
        for number in 0..REQUESTS {
            let id = format!("tested{number}");
            let reply = call(self.gateway.callers(), path, &id).unwrap();
            assert_eq!(reply.status, StatusCode::OK, "{name}: others serve it");
            let reply = relay(&self.gateway, path, &format!("relayed{number}"), &[]);
            assert_eq!(reply.status, StatusCode::OK, "{name}: others serve it");
        }
        let arrived = self.leaving.arrived() - before;
        assert_eq!(arrived, 0, "{name}: requests reached it");
        assert!(self.other.arrived() > 0, "{name}");
    }
}

struct LeavingCase {
    name: &'static str,
    /// What the server does with the request by whose answer it tells.
    failing: ServerFault,
    path: &'static str,
}

#[test]
fn a_server_that_says_that_it_leaves_gets_nothing_more() {
    let served = |name, path| LeavingCase {
        name,
        failing: ServerFault::None,
        path,
    };
    let told = |name, failing| LeavingCase {
        name,
        failing,
        path: "/repeat/x",
    };
    let cases = [
        served("requests that run once", "/once/x"),
        served("requests that may be repeated", "/repeat/x"),
        served("streams", "/stream/x"),
        served("streams that may be resumed", "/stream/resume/x"),
        told("told by a refusal", ServerFault::Rejects),
        told("told by a failure", ServerFault::Fails),
        told(
            "told by the answer of another request",
            ServerFault::WrongResponse,
        ),
    ];
    std::thread::scope(|scope| {
        for case in &cases {
            scope.spawn(move || {
                let site = LeavingSite::start();
                site.let_leave(case.failing);
                site.check_unused(case.name, case.path);
            });
        }
    });
}

/// What the store says of the life that leaves is older knowledge, whenever it comes; a
/// later life under the name does not leave.
#[test]
fn an_entry_that_says_ready_does_not_undo_a_leaving() {
    let site = LeavingSite::start();
    site.let_leave(ServerFault::None);
    let seen = |what: &str| {
        let third = ServerStub::start(site.site.ip(0)).unwrap();
        site.site.put(&record("third", &third, 5));
        site.wait_used(what, &third);
        site.site.retire("third");
    };
    let larger = ServerRecord {
        slots: 9,
        ..record("leaving", &site.leaving, 5)
    };
    site.site.put(&larger);
    seen("the entry that was written again to be read");
    site.check_unused("written again", "/repeat/x");
    site.site.retire("leaving");
    seen("the removal of the entry to be read");
    site.site.put(&record("leaving", &site.leaving, 5));
    seen("the entry that came back to be read");
    site.check_unused("gone and back", "/repeat/x");
    let later = ServerStub::start(site.site.ip(0)).unwrap();
    // As late as a leaving server's next life is, which has served on for some seconds.
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap() + Duration::from_secs(5);
    let born = u64::try_from(born.as_millis()).unwrap();
    site.site.put(&record("leaving", &later, born));
    site.wait_used("a later life to be used", &later);
}
