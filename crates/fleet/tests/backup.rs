//! Choice of the runs that are copied, and of the server that gets the copy.

mod support;

use std::time::Duration;

use onyxfall_fleet::{
    CallRequirements, ChoicePolicy, DecisionSwitch, DecisionSwitches, EngineLimits, FleetView,
    HomeRegions, PrefillTokens, PromptPart, PromptSize, ServerRecord, TimePrediction, WorkShare,
};
use onyxfall_types::ServerId;
use support::{at, place, ready_server};

/// View of a region of two data centres with three servers each, and another region.
fn view() -> FleetView {
    let mut view = FleetView::new(place("vm0", &[("c0", "r0"), ("c1", "r0"), ("c2", "r1")]));
    for (number, center) in ["c0", "c0", "c0", "c1", "c1", "c1", "c2"]
        .iter()
        .enumerate()
    {
        let record = ServerRecord {
            center: center.parse().unwrap(),
            slots: 8,
            version: Some("v1".parse().unwrap()),
            ..ready_server(&format!("s{number}"))
        };
        view.put_server(at(0), record, None);
    }
    view
}

fn server(view: &FleetView, name: &str) -> ServerId {
    view.find(name).unwrap()
}

fn needs(input: u64, keeps_backups: bool) -> CallRequirements {
    CallRequirements {
        service: "svc".parse().unwrap(),
        engine: Some(EngineLimits {
            slots: 8,
            memory_tokens: 100_000,
            token_bytes: 20_000,
            keeps_backups,
        }),
        prompt: PromptSize {
            parts: vec![PromptPart {
                id: 1,
                tokens: input,
            }],
            input,
            output: 100,
            output_guess: None,
        },
        goal: Duration::from_secs(1),
        urgency: 5,
        backlog_limit: None,
        deadline: at(60_000),
        events: Some(50.0),
        homes: HomeRegions::Any,
        version: None,
    }
}

struct BackupCase {
    name: &'static str,
    /// Servers that crashed, with the time in ms; the decision is at 10 s.
    crashed: &'static [(&'static str, u64)],
    input: u64,
    keeps_backups: bool,
    /// Cost of copying one GB, in requests.
    copied_gb: f64,
    off: &'static [DecisionSwitch],
    is_copied: bool,
}

const BASE: BackupCase = BackupCase {
    name: "a recent crash, a short run",
    crashed: &[("s5", 9_000), ("s4", 9_000)],
    input: 900,
    keeps_backups: true,
    copied_gb: 1.0,
    off: &[],
    is_copied: true,
};

#[test]
fn runs_are_copied_if_the_risk_exceeds_the_cost() {
    let cases = [
        BASE,
        BackupCase {
            name: "no crash",
            crashed: &[],
            is_copied: false,
            ..BASE
        },
        BackupCase {
            name: "one instance that broke many connections counts as one crash",
            crashed: &[("s5", 0), ("s5", 9_000)],
            input: 2_000,
            is_copied: false,
            ..BASE
        },
        BackupCase {
            name: "copying a large run costs more than the expected loss",
            input: 20_000,
            is_copied: false,
            ..BASE
        },
        BackupCase {
            name: "copies are expensive",
            copied_gb: 100.0,
            is_copied: false,
            ..BASE
        },
        BackupCase {
            name: "servers do not hold backups",
            keeps_backups: false,
            is_copied: false,
            ..BASE
        },
        BackupCase {
            name: "turned off",
            off: &[DecisionSwitch::Backups],
            is_copied: false,
            ..BASE
        },
    ];
    for case in cases {
        let mut view = view();
        let off = case.off.iter().copied();
        view.set_switches(DecisionSwitches::new(ChoicePolicy::Expected, off));
        for (name, when) in case.crashed {
            let id = server(&view, name);
            view.record_crash(at(*when), id);
        }
        let needs = needs(case.input, case.keeps_backups);
        let source = server(&view, "s0");
        let whole = Duration::from_secs(3);
        let predicted = TimePrediction {
            whole,
            ..TimePrediction::default()
        };
        let decision = view.choose_backup(at(10_000), source, &needs, &predicted, case.copied_gb);
        assert_eq!(
            decision.server.is_some(),
            case.is_copied,
            "{}: {decision:?}",
            case.name
        );
    }
}

#[test]
fn copies_go_to_the_other_data_centre_and_are_spread() {
    let mut view = view();
    let lost = server(&view, "s5");
    view.remove_server(at(9_000), "s5");
    let (needs, source) = (needs(900, true), server(&view, "s0"));
    let predicted = TimePrediction {
        whole: Duration::from_secs(10),
        ..TimePrediction::default()
    };
    let choose = |view: &FleetView| {
        let decision = view.choose_backup(at(10_000), source, &needs, &predicted, 1.0);
        decision
            .server
            .expect("an entry removed without draining counts as a crash")
    };
    let first = choose(&view);
    assert!(first != lost && view.server(first).record.center.as_str() == "c1");
    view.server_mut(first).hold_copy(1000);
    let second = choose(&view);
    assert_ne!(second, first, "the memory of the first copy counts");
    assert_eq!(view.server(second).record.center.as_str(), "c1");
    view.server_mut(first).drop_copy(1000);
    assert_eq!(
        view.server(first).own_work(at(10_000)),
        WorkShare::default()
    );
    for name in ["s3", "s4"] {
        let full = WorkShare {
            requests: 8,
            prefill: PrefillTokens::default(),
            memory: 0,
            flow: 0,
            ..WorkShare::default()
        };
        let id = server(&view, name);
        view.server_mut(id).set_others(at(10_000), full);
    }
    let third = choose(&view);
    assert_eq!(
        view.server(third).record.center.as_str(),
        "c0",
        "no capacity in the other data centre"
    );
}

struct VersionCase {
    name: &'static str,
    /// Version of the source, and of the two other servers; empty for an invalid one.
    versions: [&'static str; 3],
    copy: Option<&'static str>,
}

#[test]
fn a_run_is_copied_only_to_a_server_of_its_version() {
    let cases = [
        VersionCase {
            name: "one of the others",
            versions: ["v1", "v2", "v1"],
            copy: Some("s2"),
        },
        VersionCase {
            name: "none",
            versions: ["v1", "v2", "v2"],
            copy: None,
        },
        VersionCase {
            name: "invalid versions are not equal",
            versions: ["", "", "v1"],
            copy: None,
        },
    ];
    for case in cases {
        let mut view = FleetView::new(place("vm0", &[("c0", "r0")]));
        for (number, version) in case.versions.iter().enumerate() {
            let record = ServerRecord {
                slots: 8,
                version: version.parse().ok(),
                ..ready_server(&format!("s{number}"))
            };
            view.put_server(at(0), record, None);
        }
        let crashed = server(&view, "s1");
        view.record_crash(at(9_000), crashed);
        let predicted = TimePrediction {
            whole: Duration::from_secs(30),
            ..TimePrediction::default()
        };
        let needs = needs(900, true);
        let source = server(&view, "s0");
        let decision = view.choose_backup(at(10_000), source, &needs, &predicted, 1.0);
        let copy = case.copy.map(|name| server(&view, name));
        assert_eq!(decision.server, copy, "{}", case.name);
    }
}
