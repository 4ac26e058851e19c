//! What a late entry of a restarted server shows of the runs that are recorded for its former
//! instance.

mod support;

use onyxfall_fleet::{
    AttemptResult, EndCheck, FleetView, LossEvidence, ServerRecord, ServerVotes, StartTime,
    WorkShare,
};
use onyxfall_types::ServerId;
use support::{at, place, ready_server};

/// When the entry of the later instance arrives.
const ENTRY_AT: u64 = 15_000;

fn ready(started_at: u64) -> ServerRecord {
    ServerRecord {
        started_at: StartTime::from_millis(started_at),
        ..ready_server("s1")
    }
}

/// A view with a server that has restarted at `restarted_at` by its own clock, and the id of its
/// former instance. Moments of the view are Unix times.
fn restarted(restarted_at: u64, is_lapsed: bool) -> (FleetView, ServerId) {
    let mut fleet = FleetView::new(place("vm1", &[("c0", "r0")]));
    fleet.put_server(at(0), ready(100), None);
    let former = fleet.find("s1").unwrap();
    if is_lapsed {
        fleet.remove_server(at(ENTRY_AT - 1000), "s1");
    }
    fleet.put_server(at(ENTRY_AT), ready(restarted_at), None);
    (fleet, former)
}

struct RunCase {
    name: &'static str,
    /// Start of the later instance by its own clock.
    restarted_at: u64,
    /// When the run last sent something, or was sent.
    last_seen: u64,
    is_suspected: bool,
}

const RUNS: [RunCase; 6] = [
    RunCase {
        name: "silent since before the restart",
        restarted_at: 7000,
        last_seen: 6900,
        is_suspected: true,
    },
    RunCase {
        name: "sent after the restart",
        restarted_at: 7000,
        last_seen: 7100,
        is_suspected: false,
    },
    RunCase {
        name: "sending when the entry arrives",
        restarted_at: 7000,
        last_seen: ENTRY_AT - 90,
        is_suspected: false,
    },
    RunCase {
        name: "silent since before the entry, the server's clock is ahead",
        restarted_at: 99_000,
        last_seen: ENTRY_AT - 90,
        is_suspected: true,
    },
    RunCase {
        name: "has sent something since the entry, the server's clock is ahead",
        restarted_at: 99_000,
        last_seen: ENTRY_AT + 90,
        is_suspected: false,
    },
    RunCase {
        name: "silent since before the restart, the server's clock is behind",
        restarted_at: 200,
        last_seen: 6900,
        is_suspected: false,
    },
];

#[test]
fn only_runs_that_were_silent_since_the_restart_are_suspected() {
    for case in &RUNS {
        let (fleet, former) = restarted(case.restarted_at, false);
        let now = at(ENTRY_AT + 100);
        let is_suspected = fleet.is_run_suspected(now, former, at(case.last_seen));
        assert_eq!(is_suspected, case.is_suspected, "{}", case.name);
    }
}

#[test]
fn a_run_at_the_later_instance_is_suspected_with_it() {
    let (mut fleet, former) = restarted(7000, false);
    let later = fleet.find("s1").unwrap();
    let bad = WorkShare {
        votes: ServerVotes { good: 0, bad: 4 },
        ..WorkShare::default()
    };
    fleet.server_mut(later).set_others(at(ENTRY_AT), bad);
    assert!(fleet.is_run_suspected(at(ENTRY_AT), former, at(8000)));
}

struct LossCase {
    name: &'static str,
    is_lapsed: bool,
    /// When the run was given up.
    given_up_at: u64,
    evidence: LossEvidence,
}

const LOSSES: [LossCase; 3] = [
    LossCase {
        name: "given up before the restart",
        is_lapsed: false,
        given_up_at: 6900,
        evidence: LossEvidence::Crash,
    },
    LossCase {
        name: "given up after the restart",
        is_lapsed: false,
        given_up_at: 7100,
        evidence: LossEvidence::Open,
    },
    LossCase {
        name: "given up after the restart, the former entry was gone",
        is_lapsed: true,
        given_up_at: 7100,
        evidence: LossEvidence::Open,
    },
];

/// Crash evidence against requests whose server runs on.
#[test]
fn a_run_that_was_given_up_at_the_later_instance_shows_no_crash() {
    for case in &LOSSES {
        let (fleet, former) = restarted(7000, case.is_lapsed);
        let evidence = fleet.silence_evidence(at(ENTRY_AT), former, at(case.given_up_at));
        assert_eq!(evidence, case.evidence, "{}", case.name);
    }
}

struct EndCase {
    name: &'static str,
    is_broken: bool,
    check: Option<EndCheck>,
    is_proved: bool,
}

const ENDS: [EndCase; 4] = [
    EndCase {
        name: "the store names a later instance",
        is_broken: false,
        check: None,
        is_proved: false,
    },
    EndCase {
        name: "a connection was lost",
        is_broken: true,
        check: Some(EndCheck::Accepted),
        is_proved: false,
    },
    EndCase {
        name: "a connection was lost, and the later instance is behind a cut path",
        is_broken: true,
        check: Some(EndCheck::Unanswered),
        is_proved: false,
    },
    EndCase {
        name: "a connection was lost, and the port is closed",
        is_broken: true,
        check: Some(EndCheck::Refused),
        is_proved: true,
    },
];

/// Attempts that do not count beyond the limit of their route while their server works on them.
#[test]
fn a_later_instance_alone_proves_no_end_of_an_attempt() {
    for case in &ENDS {
        let (mut fleet, former) = restarted(7000, false);
        let lost_at = at(ENTRY_AT + 100);
        if case.is_broken {
            let server = fleet.server_mut(former);
            server.end(lost_at, 1, AttemptResult::Broken);
        }
        if let Some(check) = case.check {
            fleet.record_end_check(former, check);
        }
        assert_eq!(
            fleet.is_proved_ended(former),
            case.is_proved,
            "{}",
            case.name
        );
    }
}

struct VersionCase {
    name: &'static str,
    /// Version of the later instance.
    later: &'static str,
    /// When the run last sent something.
    last_seen: u64,
    version: Option<&'static str>,
}

const VERSIONS: [VersionCase; 4] = [
    VersionCase {
        name: "ended long before the restart",
        later: "v2",
        last_seen: 5000,
        version: Some("v1"),
    },
    VersionCase {
        name: "ended just before the restart, by clocks that may differ",
        later: "v2",
        last_seen: 6500,
        version: None,
    },
    VersionCase {
        name: "sent by an instance of another version",
        later: "v2",
        last_seen: 8000,
        version: None,
    },
    VersionCase {
        name: "sent by an instance of the same version",
        later: "v1",
        last_seen: 8000,
        version: Some("v1"),
    },
];

/// Streams that are joined from two versions.
#[test]
fn a_run_has_the_version_of_the_process_that_may_have_sent_it() {
    for case in &VERSIONS {
        let mut fleet = FleetView::new(place("vm1", &[("c0", "r0")]));
        let of_version = |started_at, version: &str| ServerRecord {
            version: Some(version.parse().unwrap()),
            ..ready(started_at)
        };
        fleet.put_server(at(0), of_version(100, "v1"), None);
        let former = fleet.find("s1").unwrap();
        fleet.put_server(at(ENTRY_AT), of_version(7000, case.later), None);
        let version = fleet.run_version(former, at(case.last_seen));
        let version = version.map(ToString::to_string);
        assert_eq!(version.as_deref(), case.version, "{}", case.name);
    }
}
