//! The capacity plan on the status port, and its mode after the settings change.

mod support;

use http::StatusCode;
use onyxfall_adapter::CAPACITY_PLAN_FEATURE;
use onyxfall_types::{PlanMode, PlanReport};
use support::{Gateway, Site, get, wait_for};

/// Whether the gateway reports `mode` and no figures.
fn reports(gateway: &Gateway, mode: PlanMode) -> bool {
    let Some(reply) = get(gateway.ready(), PlanReport::PATH) else {
        return false;
    };
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(reply.headers["content-type"], "application/json");
    let report: PlanReport = serde_json::from_str(reply.text()).unwrap();
    report == PlanReport::new(mode, None, Vec::new(), Vec::new())
}

struct ReloadCase {
    name: &'static str,
    section: String,
    mode: PlanMode,
    /// Part of the log line after which the case is in force.
    log: &'static str,
}

/// Guards against a plan that a deployment did not ask for, a change of mode that needs a
/// restart, and a file with a fault that replaces good settings.
#[test]
fn the_mode_follows_the_settings_and_survives_a_file_with_a_fault() {
    let site = Site::start(1);
    let gateway = site.gateway(0);
    wait_for("the default mode", || reports(&gateway, PlanMode::Off));
    let cases = [
        ReloadCase {
            name: "the deployment asks for the plan",
            section: format!("[capacity]\nfeatures = {CAPACITY_PLAN_FEATURE}\n"),
            mode: PlanMode::On,
            log: "settings reloaded",
        },
        ReloadCase {
            name: "an unknown mode",
            section: "[capacity]\nplan = later\n".to_owned(),
            mode: PlanMode::On,
            log: "unknown mode `later`: expected off, on or frozen",
        },
        ReloadCase {
            name: "a sound key beside a faulty one",
            section: "[capacity]\nplan = off\nfloor = 1.25\n".to_owned(),
            mode: PlanMode::On,
            log: "value `1.25`: expected a share from 0 to 1",
        },
        ReloadCase {
            name: "the key freezes the plan",
            section: format!("[capacity]\nfeatures = {CAPACITY_PLAN_FEATURE}\nplan = frozen\n"),
            mode: PlanMode::Frozen,
            log: "settings reloaded",
        },
    ];
    for case in cases {
        let lines = |log: &str| log.matches(case.log).count();
        let before = lines(&gateway.log());
        site.add_settings(0, &case.section);
        gateway.signal("-HUP");
        wait_for(case.name, || lines(&gateway.log()) > before);
        assert!(reports(&gateway, case.mode), "{}", case.name);
    }
}
