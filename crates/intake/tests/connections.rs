//! Which connections give way to new ones.

use onyxfall_intake::{ConnectionId, ConnectionTable};
use proptest::prelude::*;

/// A step of a case. Connections are referred to by the order in which they were opened.
#[derive(Clone, Copy, Debug)]
enum TableStep {
    /// Opens a connection and expects the one that it replaces, and whether that has served.
    Open(Option<(usize, bool)>),
    /// Opens a connection and expects a refusal.
    Refused,
    /// Begins a request and expects whether it may be served.
    Begin(usize, bool),
    End(usize),
    Close(usize),
}

use TableStep::{Begin, Close, End, Open, Refused};

struct TableCase {
    /// The failure that the case guards against.
    guards: &'static str,
    limit: usize,
    steps: &'static [TableStep],
}

const CASES: &[TableCase] = &[
    TableCase {
        guards: "a table with room closes connections",
        limit: 2,
        steps: &[Open(None), Open(None)],
    },
    TableCase {
        guards: "the newest connection gives way, so that nobody can connect",
        limit: 2,
        steps: &[Open(None), Open(None), Open(Some((0, false)))],
    },
    TableCase {
        guards: "callers that were served give way to strangers",
        limit: 2,
        steps: &[
            Open(None),
            Open(None),
            Begin(0, true),
            End(0),
            Open(Some((1, false))),
            Close(1),
            Open(Some((2, false))),
        ],
    },
    TableCase {
        guards: "a response that may still be on its way is not told",
        limit: 1,
        steps: &[Open(None), Begin(0, true), End(0), Open(Some((0, true)))],
    },
    TableCase {
        guards: "a request that is served is cut off",
        limit: 1,
        steps: &[Open(None), Begin(0, true), Refused],
    },
    TableCase {
        guards: "a connection that is closing serves a request",
        limit: 1,
        steps: &[Open(None), Open(Some((0, false))), Begin(0, false)],
    },
    TableCase {
        guards: "a connection gives way twice",
        limit: 4,
        steps: &[
            Open(None),
            Begin(0, true),
            Open(None),
            Open(None),
            Open(None),
            Open(Some((1, false))),
            Close(1),
            Open(Some((2, false))),
            Close(2),
            Open(Some((3, false))),
        ],
    },
    TableCase {
        guards: "connections that close slowly add up",
        limit: 4,
        steps: &[
            Open(None),
            Open(None),
            Open(None),
            Open(None),
            Open(Some((0, false))),
            Refused,
            Close(0),
            Open(Some((1, false))),
        ],
    },
    TableCase {
        guards: "a closed connection keeps its place",
        limit: 1,
        steps: &[
            Open(None),
            Begin(0, true),
            Close(0),
            Open(None),
            Open(Some((1, false))),
        ],
    },
];

#[test]
fn the_longest_idle_stranger_gives_way_first() {
    for case in CASES {
        let mut table = ConnectionTable::default();
        let mut ids: Vec<ConnectionId> = Vec::new();
        for (number, step) in case.steps.iter().enumerate() {
            let name = format!("{}: step {number}", case.guards);
            match *step {
                Open(expected) => {
                    let admission = table.open(case.limit).expect(&name);
                    let evicted = admission.evicted.map(|evicted| {
                        let index = ids.iter().position(|id| *id == evicted.id);
                        (index.expect(&name), evicted.has_served)
                    });
                    assert_eq!(evicted, expected, "{name}");
                    ids.push(admission.id);
                }
                Refused => assert_eq!(table.open(case.limit), None, "{name}"),
                Begin(index, expected) => {
                    assert_eq!(table.begin_request(ids[index]), expected, "{name}");
                }
                End(index) => table.end_request(ids[index]),
                Close(index) => table.close(ids[index]),
            }
            assert!(table.count() <= case.limit, "{name}");
        }
    }
}

proptest! {
    /// Guards against sequences that leave more connections than the limit, or evict a connection
    /// that serves a request or is closed.
    #[test]
    fn a_table_keeps_to_its_limit(
        limit in 1_usize..8,
        steps in prop::collection::vec((0_u8..5, 0_usize..16), 0..200),
    ) {
        let mut table = ConnectionTable::default();
        let mut serving: Vec<ConnectionId> = Vec::new();
        let mut open: Vec<ConnectionId> = Vec::new();
        for (kind, index) in steps {
            let id = (!open.is_empty()).then(|| open[index % open.len()]);
            match (kind, id) {
                (0 | 1, _) => {
                    if let Some(admission) = table.open(limit) {
                        if let Some(evicted) = admission.evicted {
                            prop_assert!(open.contains(&evicted.id));
                            prop_assert!(!serving.contains(&evicted.id));
                        }
                        open.push(admission.id);
                    }
                }
                (2, Some(id)) => {
                    if table.begin_request(id) && !serving.contains(&id) {
                        serving.push(id);
                    }
                }
                (3, Some(id)) => {
                    table.end_request(id);
                    serving.retain(|other| *other != id);
                }
                (_, Some(id)) => {
                    table.close(id);
                    serving.retain(|other| *other != id);
                    open.retain(|other| *other != id);
                }
                (_, None) => {}
            }
            prop_assert!(table.count() <= limit);
            prop_assert!(serving.len() <= table.count());
        }
    }
}
