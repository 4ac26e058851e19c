//! Graceful shutdown, settings reload, and invalid settings.

mod support;

use std::process::Command;

use onyxfall_fakes::ServerStub;
use support::{ServingSite, call, wait_for};

#[test]
fn a_gateway_in_shutdown_is_not_ready_but_serves_and_ends_cleanly() {
    let ServingSite {
        mut gateway,
        server: _server,
        site: _site,
    } = ServingSite::start();
    gateway.signal("-TERM");
    wait_for("the gateway to report not ready", || !gateway.is_ready());
    let reply = call(gateway.callers(), "/once/x", "late").unwrap();
    assert_eq!(reply.status.as_u16(), 200);
    let status = gateway.child.wait().unwrap();
    assert!(status.success(), "{status}");
}

#[test]
fn a_reload_interrupts_no_request() {
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
    expected: &'static str,
}

#[test]
fn invalid_settings_are_reported_with_their_line() {
    let cases = [
        SettingsCase {
            name: "a missing section",
            text: "[vm]\nname = a\ncenter = c\n",
            expected: "listen",
        },
        SettingsCase {
            name: "an invalid address",
            text: "[vm]\nname = a\ncenter = c\n[center c]\nregion = r\n\
                   [listen]\ncallers = here\n",
            expected: ":7:",
        },
        SettingsCase {
            name: "a data centre without a section",
            text: "[vm]\nname = a\ncenter = c\n",
            expected: "[center]",
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
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{}", case.name);
        assert!(stderr.contains(case.expected), "{}: {stderr}", case.name);
    }
}

#[test]
fn stubs_do_not_use_the_address_of_a_gateway() {
    let ServingSite {
        gateway,
        server,
        site,
    } = ServingSite::start();
    let stub_ips = [server.address().ip(), site.store.address().ip(), site.ip(0)];
    assert!(!stub_ips.contains(&std::net::IpAddr::V4(gateway.ip)));
}
