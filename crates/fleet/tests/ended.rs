//! What proves that a server instance has ended.

mod support;

use onyxfall_fleet::{EndCheck, EndEvidence, EntryState, FleetView};
use support::{at, place, ready_server};

struct EndCase {
    name: &'static str,
    evidence: EndEvidence,
    is_proof: bool,
}

const NONE: EndEvidence = EndEvidence {
    entry: EntryState::Ready,
    is_broken: false,
    check: None,
};

const CASES: [EndCase; 11] = [
    EndCase {
        name: "silence alone",
        evidence: NONE,
        is_proof: false,
    },
    EndCase {
        name: "a connection was lost, as by a reset of the path",
        evidence: EndEvidence {
            is_broken: true,
            ..NONE
        },
        is_proof: false,
    },
    EndCase {
        name: "a connection was lost, and the port is open",
        evidence: EndEvidence {
            is_broken: true,
            check: Some(EndCheck::Accepted),
            ..NONE
        },
        is_proof: false,
    },
    EndCase {
        name: "a connection was lost, and the port is closed",
        evidence: EndEvidence {
            is_broken: true,
            check: Some(EndCheck::Refused),
            ..NONE
        },
        is_proof: true,
    },
    EndCase {
        name: "the port of a ready server is closed, and no connection was open",
        evidence: EndEvidence {
            check: Some(EndCheck::Refused),
            ..NONE
        },
        is_proof: true,
    },
    EndCase {
        name: "a draining server has closed its port and may complete its streams",
        evidence: EndEvidence {
            entry: EntryState::Draining,
            check: Some(EndCheck::Refused),
            ..NONE
        },
        is_proof: false,
    },
    EndCase {
        name: "the entry is gone, as of a server that serves on without one",
        evidence: EndEvidence {
            entry: EntryState::Gone,
            ..NONE
        },
        is_proof: false,
    },
    EndCase {
        name: "the entry of a stopped process is gone, and its port is open",
        evidence: EndEvidence {
            entry: EntryState::Gone,
            is_broken: true,
            check: Some(EndCheck::Accepted),
        },
        is_proof: false,
    },
    EndCase {
        name: "a machine without power: nothing answers and the entry is gone",
        evidence: EndEvidence {
            entry: EntryState::Gone,
            is_broken: true,
            check: Some(EndCheck::Unanswered),
        },
        is_proof: true,
    },
    EndCase {
        name: "a cut path: nothing answers and the store has the entry",
        evidence: EndEvidence {
            is_broken: true,
            check: Some(EndCheck::Unanswered),
            ..NONE
        },
        is_proof: false,
    },
    EndCase {
        name: "a kernel has not timed out yet",
        evidence: EndEvidence {
            entry: EntryState::Gone,
            check: Some(EndCheck::Unanswered),
            ..NONE
        },
        is_proof: false,
    },
];

#[test]
fn silence_and_lost_connections_alone_prove_no_end() {
    for case in &CASES {
        assert_eq!(case.evidence.is_proof(), case.is_proof, "{}", case.name);
    }
}

/// Many streams of a stopped server would fill its queue of connections with checks.
#[test]
fn streams_of_one_silent_server_share_its_checks() {
    let mut fleet = FleetView::new(place("vm1", &[("c0", "r0")]));
    fleet.put_server(at(0), ready_server("s"), None);
    let id = fleet.find("s").unwrap();
    let asks = (0..1200).step_by(100).flat_map(|ms| [ms; 60]);
    let checks = asks.filter(|ms| fleet.start_end_check(at(*ms), id)).count();
    assert_eq!(checks, 4);
}
