//! The report of what gateways refuse because servers crash under it.

mod support;

use std::net::SocketAddr;
use std::process::{Command, Output};
use std::time::Duration;

use expect_test::expect;
use onyxfall_operator::{SuspectReport, lift_suspect};
use onyxfall_suspects::PartScope;
use support::{response, serve_once, without_address};

const PART: &str = "kind=\"part\",service=\"models\",team=\"red\",id=\"91bd\"";
const REQUEST: &str = "kind=\"request\",id=\"00ff\"";

#[test]
fn suspects_of_several_vms_are_merged() {
    let mut report = SuspectReport::default();
    let first = format!(
        "onyxfall_suspect_seconds_left{{{PART}}} 593\n\
         onyxfall_suspect_crashes{{{PART}}} 3\n\
         onyxfall_suspect_together{{{PART}}} 0\n"
    );
    let second = format!(
        "onyxfall_suspect_seconds_left{{{PART}}} 594\n\
         onyxfall_suspect_crashes{{{PART}}} 4\n\
         onyxfall_suspect_seconds_left{{{REQUEST}}} 0\n\
         onyxfall_suspect_crashes{{{REQUEST}}} 3\n\
         onyxfall_suspect_together{{{REQUEST}}} 2\n"
    );
    report.read("vm1", &first);
    report.read("vm2", &second);
    expect![[r"
        part 91bd of prompts to models, team red: 4 servers crashed, refused for 594 s, key 9865a5a0399cf60700000000000091bd (vm1 vm2)
        request 00ff: 3 servers crashed, tested by one request at a time, on the same servers as 2 others (vm2)
    "]]
    .assert_eq(&report.to_string());
    let scope = PartScope::of(&"models".parse().unwrap(), Some(&"red".parse().unwrap()));
    let key = scope.key(0x91bd).to_string();
    assert!(report.to_string().contains(&key), "the key that VMs use");
}

struct LineCase {
    name: &'static str,
    line: &'static str,
}

#[test]
fn malformed_lines_are_left_out() {
    let cases = [
        LineCase {
            name: "another metric",
            line: "onyxfall_lost_runs_total 3",
        },
        LineCase {
            name: "no labels",
            line: "onyxfall_suspect_crashes 3",
        },
        LineCase {
            name: "no value",
            line: "onyxfall_suspect_crashes{kind=\"request\",id=\"00ff\"} ",
        },
        LineCase {
            name: "an unknown kind",
            line: "onyxfall_suspect_crashes{kind=\"adapter\",id=\"00ff\"} 3",
        },
        LineCase {
            name: "a part without a service",
            line: "onyxfall_suspect_crashes{kind=\"part\",id=\"91bd\"} 3",
        },
    ];
    for case in cases {
        let mut report = SuspectReport::default();
        report.read("vm1", case.line);
        assert!(report.is_empty(), "{}", case.name);
    }
}

const KEY: &str = "00112233445566778899aabbccddeeff";

/// Runs `onyxfall suspects --lift`.
fn lift(key: &str, addresses: &[SocketAddr]) -> Output {
    let addresses = addresses.iter().map(ToString::to_string);
    Command::new(env!("CARGO_BIN_EXE_onyxfall"))
        .args(["suspects", "--lift", key])
        .args(addresses)
        .output()
        .unwrap()
}

/// Guards against an order that reaches no VM because the first one has no evidence.
#[test]
fn the_command_lifts_a_verdict_through_the_first_vm_that_can() {
    let (without, first) = serve_once(response("404 Not Found", "no evidence\n"));
    let (with, second) = serve_once(response("200 OK", "lifted\n"));
    let output = lift(KEY, &[without, with]);
    for server in [first, second] {
        let head = server.join().unwrap();
        let expected = format!("DELETE /suspects/{KEY} HTTP/1.1\r\n");
        assert!(head.starts_with(&expected), "{head}");
    }
    assert!(output.status.success(), "{output:?}");
    let printed = String::from_utf8(output.stdout).unwrap();
    let expected = format!("lifted {KEY} at {with}, which tells the other VMs\n");
    assert_eq!(printed, expected);
}

/// Guards against bad input and refusals that end as success.
#[test]
fn a_verdict_that_is_not_lifted_is_an_error() {
    for key in ["", "91bd", &KEY[1..], "not a key"] {
        let output = lift(key, &[]);
        let error = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(1), "{key}");
        assert!(error.contains("not a key of evidence"), "{key}: {error}");
    }
    let output = lift(KEY, &[]);
    let error = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1), "no address");
    assert!(error.contains("expected the status address"), "{error}");
    let long = "x".repeat(300);
    for (name, response, expected) in [
        (
            "an older build",
            response("404 Not Found", "no such path\n"),
            "ADDRESS: status 404 (no such path): expected 200".to_owned(),
        ),
        (
            "a long response",
            response("503 Service Unavailable", &long),
            format!("ADDRESS: status 503 ({}): expected 200", "x".repeat(100)),
        ),
    ] {
        let (address, server) = serve_once(response);
        let error = lift_suspect(address, KEY.parse().unwrap(), Duration::from_secs(10));
        server.join().unwrap();
        let found = without_address(&error.unwrap_err().to_string(), address);
        assert_eq!(found, expected, "{name}");
    }
}
