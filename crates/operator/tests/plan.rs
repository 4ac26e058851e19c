//! Tests of the command `plan` against a small HTTP listener.

mod support;

use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

use expect_test::expect;
use onyxfall_operator::{PlanError, read_plan};
use support::{response, serve_once, without_address};

const PLAN: &str = r#"{"mode":"on","age_ms":80,"regions":[{"service":"search","region":"cairns",
"capacity":3.5,"full":true,"report_age_ms":0}],"classes":[{"service":"search","importance":"1.0",
"homes":[],"flows":[{"callers":"cairns","offered":7.0,"served":{"cairns":0.5},"refused":0.5,
"standing":"partial","backlog_limit_ms":140,"constraint":"capacity"}]}]}"#;
/// Timeout of a response that never comes; long enough for a local connection.
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);
const TIMEOUT: Duration = Duration::from_secs(10);

/// Guards against a command that asks for another path or prints other than the table.
#[test]
fn the_command_prints_the_table() {
    let (address, server) = serve_once(response("200 OK", PLAN));
    let output = Command::new(env!("CARGO_BIN_EXE_onyxfall"))
        .args(["plan", &address.to_string()])
        .output()
        .unwrap();
    assert!(server.join().unwrap().starts_with("GET /plan HTTP/1.1\r\n"));
    assert!(output.status.success(), "{output:?}");
    expect![[r"
        plan on, computed 80 ms ago

        service              region         capacity s/s  full  report ms
        search               cairns                3.500   yes          0

        service                 rank callers        offered s/s refused standing limit ms constraint served by                    homes
        search                   1.0 cairns               7.000   0.500 partial       140 capacity   cairns 0.500                 any
    "]].assert_eq(&String::from_utf8(output.stdout).unwrap());
}

/// Guards against a failure that ends as success, or without a word on standard error.
#[test]
fn the_command_fails_with_the_error_on_standard_error() {
    let (address, server) = serve_once(response("404 Not Found", "no such path\n"));
    let output = Command::new(env!("CARGO_BIN_EXE_onyxfall"))
        .args(["plan", &address.to_string()])
        .output()
        .unwrap();
    server.join().unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(output.stdout.is_empty());
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(error.contains("has no path /plan"), "{error}");
}

struct ErrorCase {
    name: &'static str,
    response: String,
    expected: &'static str,
}

/// Guards against errors that do not tell a wrong address, an older build and a broken
/// response apart.
#[test]
fn errors_name_the_address_and_what_was_expected() {
    let cases = [
        ErrorCase {
            name: "a build without the path",
            response: response("404 Not Found", "no such path\n"),
            expected: "ADDRESS: has no path /plan: expected a gateway whose build reports its \
                       capacity plan",
        },
        ErrorCase {
            name: "a refusal",
            response: response("503 Service Unavailable", ""),
            expected: "ADDRESS: status 503: expected 200",
        },
        ErrorCase {
            name: "a redirect",
            response: "HTTP/1.1 302 Found\r\nlocation: http://127.0.0.1:1/plan\r\n\
                       content-length: 0\r\n\r\n"
                .to_owned(),
            expected: "ADDRESS: status 302: expected 200",
        },
        ErrorCase {
            name: "not JSON",
            response: response("200 OK", "ready\n"),
            expected: "ADDRESS: the response is not a capacity plan in JSON: expected value at \
                       line 1 column 1",
        },
        ErrorCase {
            name: "an empty body",
            response: response("200 OK", ""),
            expected: "ADDRESS: the response is not a capacity plan in JSON: EOF while parsing \
                       a value at line 1 column 0",
        },
        ErrorCase {
            name: "other JSON",
            response: response("200 OK", r#"{"mode":"on"}"#),
            expected: "ADDRESS: the response is not a capacity plan in JSON: missing field \
                       `regions` at line 1 column 13",
        },
        ErrorCase {
            name: "bytes that are not UTF-8 text",
            response: response("200 OK", "\u{80}"),
            expected: "ADDRESS: the response is not a capacity plan in JSON: expected value at \
                       line 1 column 1",
        },
    ];
    for case in cases {
        let (address, server) = serve_once(case.response);
        let error = read_plan(address, TIMEOUT).unwrap_err();
        server.join().unwrap();
        let found = without_address(&error.to_string(), address);
        assert_eq!(found, case.expected, "{}", case.name);
    }
}

/// Guards against a command that hangs, or that takes a broken connection for a plan.
#[test]
fn addresses_without_a_whole_response_are_unreachable() {
    // Nothing listens on a port that only the system's own programs may open.
    let closed = SocketAddr::from(([127, 0, 0, 1], 1));
    let (silent, silent_server) = serve_once(String::new());
    let cut = "HTTP/1.1 200 OK\r\ncontent-length: 500\r\n\r\n{\"mode\"".to_owned();
    let (cut, cut_server) = serve_once(cut);
    for (name, address, timeout) in [
        ("closed port", closed, TIMEOUT),
        ("no response", silent, SHORT_TIMEOUT),
        ("response that is cut off", cut, TIMEOUT),
    ] {
        let error = read_plan(address, timeout).unwrap_err();
        assert!(
            matches!(error, PlanError::Unreachable { .. }),
            "{name}: {error:?}"
        );
        let prefix = format!("{address}: cannot be reached: ");
        assert!(error.to_string().starts_with(&prefix), "{name}: {error}");
    }
    silent_server.join().unwrap();
    cut_server.join().unwrap();
}
