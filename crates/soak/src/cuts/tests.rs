use std::net::Ipv4Addr;

use onyxfall_fakes::StubSignals;

use super::*;

const VM: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const OTHER_VM: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 2));
const SERVER: usize = 4;

/// One run of a request, with times in milliseconds since the request was sent.
struct RunCase {
    server: usize,
    from: IpAddr,
    at: u64,
    done: Option<u64>,
    state: RunState,
    has_sent: bool,
}

const CUT_RUN: RunCase = RunCase {
    server: SERVER,
    from: VM,
    at: 10,
    done: Some(500),
    state: RunState::Abandoned,
    has_sent: true,
};

struct CutCase {
    name: &'static str,
    status: Option<u16>,
    is_whole: bool,
    ended: u64,
    runs: &'static [RunCase],
    /// A fault, and when it began.
    fault: Option<(Fault, u64)>,
    /// A fault that was in effect until a minute before.
    former: Option<Fault>,
    is_broken: bool,
}

const CUT: CutCase = CutCase {
    name: "cut without a fault",
    status: Some(200),
    is_whole: false,
    ended: 500,
    runs: &[CUT_RUN],
    fault: None,
    former: None,
    is_broken: true,
};

const CASES: &[CutCase] = &[
    CUT,
    CutCase {
        name: "whole",
        is_whole: true,
        is_broken: false,
        ..CUT
    },
    CutCase {
        name: "no response",
        status: None,
        ..CUT
    },
    CutCase {
        name: "502 for a request that a server had",
        status: Some(502),
        is_whole: true,
        ..CUT
    },
    CutCase {
        name: "not run",
        status: None,
        runs: &[RunCase {
            state: RunState::NotRun,
            ..CUT_RUN
        }],
        is_broken: false,
        ..CUT
    },
    CutCase {
        name: "stopped server",
        fault: Some((Fault::Stop(SERVER), 100)),
        ..CUT
    },
    CutCase {
        name: "stopped server, run read later",
        runs: &[RunCase {
            at: 1500,
            done: Some(1501),
            ..CUT_RUN
        }],
        fault: Some((Fault::Stop(SERVER), 100)),
        ..CUT
    },
    CutCase {
        name: "stalled link",
        fault: Some((Fault::ServerLink(SERVER, LinkMode::Stalled), 100)),
        ..CUT
    },
    CutCase {
        name: "paused VM",
        fault: Some((Fault::Pause(0), 100)),
        ..CUT
    },
    CutCase {
        name: "new connections fail",
        fault: Some((Fault::Paths(0, PathCut::NewConnections), 100)),
        ..CUT
    },
    CutCase {
        name: "server broke it off",
        runs: &[RunCase {
            state: RunState::BrokenOff,
            ..CUT_RUN
        }],
        is_broken: false,
        ..CUT
    },
    CutCase {
        name: "server restarted just before",
        runs: &[
            RunCase {
                at: 0,
                state: RunState::NotRun,
                ..CUT_RUN
            },
            CUT_RUN,
        ],
        ..CUT
    },
    CutCase {
        name: "server restarted before, paused VM",
        runs: &[
            RunCase {
                at: 0,
                state: RunState::NotRun,
                ..CUT_RUN
            },
            RunCase {
                at: 1500,
                done: Some(1600),
                ..CUT_RUN
            },
        ],
        ended: 1600,
        fault: Some((Fault::Pause(0), 1400)),
        ..CUT
    },
    CutCase {
        name: "server restarted before",
        runs: &[
            RunCase {
                at: 0,
                state: RunState::NotRun,
                ..CUT_RUN
            },
            RunCase {
                at: 1500,
                done: Some(1600),
                ..CUT_RUN
            },
        ],
        ended: 1600,
        ..CUT
    },
    CutCase {
        name: "reload",
        fault: Some((Fault::Reload(0), 100)),
        ..CUT
    },
    CutCase {
        name: "reload that moves the clock",
        former: Some(Fault::Suspend(0, 30)),
        fault: Some((Fault::Reload(0), 100)),
        is_broken: false,
        ..CUT
    },
    CutCase {
        name: "clock moved long before",
        former: Some(Fault::Suspend(0, 30)),
        ..CUT
    },
    CutCase {
        name: "server cut off",
        fault: Some((Fault::ServerLink(SERVER, LinkMode::Broken), 100)),
        is_broken: false,
        ..CUT
    },
    CutCase {
        name: "other server cut off",
        fault: Some((Fault::ServerLink(0, LinkMode::Broken), 100)),
        ..CUT
    },
    CutCase {
        name: "server cut off later",
        fault: Some((Fault::ServerLink(SERVER, LinkMode::Broken), 600)),
        ..CUT
    },
    CutCase {
        name: "path cut",
        fault: Some((Fault::Paths(0, PathCut::Reset), 100)),
        is_broken: false,
        ..CUT
    },
    CutCase {
        name: "time over",
        ended: 3000,
        is_broken: false,
        ..CUT
    },
    CutCase {
        name: "VM killed",
        fault: Some((Fault::Kill(0), 100)),
        is_broken: false,
        ..CUT
    },
    CutCase {
        name: "other VM killed",
        fault: Some((Fault::Kill(1), 100)),
        ..CUT
    },
    CutCase {
        name: "relaying VM killed",
        runs: &[RunCase {
            from: OTHER_VM,
            ..CUT_RUN
        }],
        fault: Some((Fault::Kill(1), 100)),
        is_broken: false,
        ..CUT
    },
    CutCase {
        name: "VM told to stop",
        fault: Some((Fault::Shutdown(0), 0)),
        ..CUT
    },
    CutCase {
        name: "VM told to stop, grace over",
        ended: 2300,
        fault: Some((Fault::Shutdown(0), 0)),
        is_broken: false,
        ..CUT
    },
    CutCase {
        name: "later run broken off",
        runs: &[
            CUT_RUN,
            RunCase {
                at: 600,
                done: Some(700),
                state: RunState::BrokenOff,
                ..CUT_RUN
            },
        ],
        ended: 700,
        is_broken: false,
        ..CUT
    },
    CutCase {
        name: "race won by a run that is broken off",
        runs: &[
            RunCase {
                done: Some(1500),
                ..CUT_RUN
            },
            RunCase {
                at: 400,
                done: Some(700),
                state: RunState::BrokenOff,
                ..CUT_RUN
            },
        ],
        ended: 700,
        is_broken: false,
        ..CUT
    },
    CutCase {
        name: "race broken off before it was won",
        runs: &[
            RunCase {
                done: Some(1500),
                ..CUT_RUN
            },
            RunCase {
                at: 400,
                done: Some(700),
                state: RunState::BrokenOff,
                has_sent: false,
                ..CUT_RUN
            },
        ],
        ended: 700,
        ..CUT
    },
];

/// Guards against a check that passes an answer cut while its server lived, or that fails on one
/// that the server, a lost connection or the end of its time had ended.
#[test]
fn only_a_cut_without_an_excuse_is_broken() {
    let sent = Instant::now() + Duration::from_mins(1);
    let after = |ms| sent + Duration::from_millis(ms);
    for case in CASES {
        let mut checks = CutChecks::default();
        checks.record_report(
            &CallReport {
                id: "a".to_owned(),
                kind: RequestKind::ResumableStream,
                to: (VM, 0).into(),
                sent,
                answered: None,
                ended: after(case.ended),
                status: case.status,
                is_own: case.status == Some(200),
                body: String::new(),
                is_whole: case.is_whole,
                resumes: None,
            },
            0,
        );
        let mut instances: BTreeMap<usize, InstanceArrivals> = BTreeMap::new();
        for run in case.runs {
            let instance = instances.entry(run.server).or_insert(InstanceArrivals {
                server: run.server,
                instance: 0,
                arrivals: Vec::new(),
            });
            instance.arrivals.push(ArrivedRequest {
                at: after(run.at),
                from: run.from,
                request_id: "a".to_owned(),
                done: run.done.map(after),
                signals: StubSignals::default(),
                run: run.state,
                has_sent: run.has_sent,
            });
        }
        let instances: Vec<InstanceArrivals> = instances.into_values().collect();
        let mut faults = FaultLog::default();
        if let Some(former) = case.former {
            faults.begin(former);
            faults.end(|fault| fault == former);
        }
        if let Some((fault, begun)) = case.fault {
            faults.begin_at(fault, after(begun));
        }
        let broken = checks.check(&instances, &[VM, OTHER_VM], &faults);
        assert_eq!(!broken.is_empty(), case.is_broken, "{}", case.name);
    }
}
