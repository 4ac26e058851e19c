//! The planned stop, settings that change, and settings that are wrong.

mod support;

use std::process::Command;

use onyxfall_fakes::ServerStub;
use support::{ServingSite, call, wait_for};

#[test]
fn a_stopping_gateway_is_not_ready_but_serves_and_ends_cleanly() {
    let ServingSite {
        mut gateway,
        server: _server,
        site: _site,
    } = ServingSite::start();
    gateway.signal("-TERM");
    wait_for("the gateway to say that it leaves", || !gateway.is_ready());
    let reply = call(gateway.callers(), "/once/x", "late").unwrap();
    assert_eq!(reply.status.as_u16(), 200);
    let status = gateway.child.wait().unwrap();
    assert!(status.success(), "{status}");
}

#[test]
fn a_hangup_cuts_nothing() {
    let ServingSite {
        gateway,
        server: _server,
        site: _site,
    } = ServingSite::start();
    for number in 0..5 {
        gateway.signal("-HUP");
        let reply = call(gateway.callers(), "/stream/x", &format!("h{number}")).unwrap();
        assert_eq!(reply.text(), ServerStub::whole_stream());
    }
}

struct SettingsCase {
    name: &'static str,
    text: &'static str,
    said: &'static str,
}

#[test]
fn wrong_settings_are_named_with_their_line() {
    let cases = [
        SettingsCase {
            name: "a missing section",
            text: "[vm]\nname = a\ncenter = c\n",
            said: "listen",
        },
        SettingsCase {
            name: "an address that is none",
            text: "[vm]\nname = a\ncenter = c\n[center c]\nregion = r\n\
                   [listen]\ncallers = here\n",
            said: ":7:",
        },
        SettingsCase {
            name: "a data centre without a section",
            text: "[vm]\nname = a\ncenter = c\n",
            said: "[center]",
        },
    ];
    for (number, case) in cases.iter().enumerate() {
        let file = format!("onyxfall-settings-{}-{number}.ini", std::process::id());
        let file = std::env::temp_dir().join(file);
        std::fs::write(&file, case.text).unwrap();
        let output = Command::new(env!("CARGO_BIN_EXE_onyxfall-gateway"))
            .arg("--settings")
            .arg(&file)
            .output()
            .unwrap();
        std::fs::remove_file(&file).unwrap();
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{}", case.name);
        assert!(said.contains(case.said), "{}: {said}", case.name);
    }
}

#[test]
fn stand_ins_leave_a_gateways_ports_free() {
    let ServingSite {
        gateway,
        server,
        site,
    } = ServingSite::start();
    let stand_ins = [server.address().ip(), site.store.address().ip(), site.ip(0)];
    assert!(!stand_ins.contains(&std::net::IpAddr::V4(gateway.ip)));
}
