//! Checks that servers which say that they are brittle are not sent more than they have room
//! for.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::callers::{CallReport, call, new_agent};
use crate::checks::BrokenPromise;
use crate::deployment::{RequestKind, SLOTS, SoakDeployment};

/// Rejections a second that a server bears.
pub(crate) const REJECTIONS: &str = "2";
/// Time from the first statement until a server lets no more requests wait.
const CONTACT: Duration = Duration::from_secs(5);
/// Concurrent callers of each VM, and the time for which they send.
const CALLERS: usize = 8;
const LOADED: Duration = Duration::from_secs(1);
/// Servers that may fall over: a number, and one in so many.
const FALLEN_SERVERS: usize = 2;
const FALLEN_SHARE: usize = 10;

/// Makes all servers brittle and sends more requests than they have room for.
pub(crate) fn check_brittle(
    deployment: &SoakDeployment,
    targets: &[SocketAddr],
) -> (Vec<CallReport>, Option<BrokenPromise>) {
    let servers = 0..deployment.servers.len();
    for server in servers.clone() {
        deployment.set_brittle(server, Some(REJECTIONS));
    }
    thread::sleep(CONTACT);
    for server in servers.clone() {
        deployment.set_room(server, Some(SLOTS));
    }
    let end = Instant::now() + LOADED;
    let reports: Vec<CallReport> = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .flat_map(|caller| targets.iter().map(move |to| (caller, *to)))
            .map(|(caller, to)| scope.spawn(move || send_until(end, caller, to)))
            .collect();
        let callers = callers.into_iter();
        callers
            .filter_map(|caller| caller.join().ok())
            .flatten()
            .collect()
    });
    let mut fallen = 0;
    for server in servers.clone() {
        deployment.set_room(server, None);
        deployment.set_brittle(server, None);
        fallen += usize::from(deployment.has_crashed(server));
    }
    let is_broken = fallen > FALLEN_SERVERS + servers.len() / FALLEN_SHARE;
    let broken = is_broken
        .then(|| BrokenPromise::FellOver(format!("{fallen} of {} brittle servers", servers.len())));
    (reports, broken)
}

fn send_until(end: Instant, caller: usize, to: SocketAddr) -> Vec<CallReport> {
    let agent = new_agent();
    let kind = RequestKind::Stream;
    let mut reports = Vec::new();
    while Instant::now() < end {
        let id = format!("brittle-{caller}-{}-{}", to, reports.len());
        let path = format!("{}{caller}-{}", kind.prefix(), reports.len());
        reports.push(call(&agent, to, &path, &id, kind, None));
    }
    reports
}
