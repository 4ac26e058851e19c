//! Requests of callers and the responses to them.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;

use onyxfall_fakes::{EngineSettings, FakeEngine, FakeService, ServiceSettings};
use support::{PATIENCE, TestDeployment, call, loopback, try_call, wait_until};

struct InputCase {
    name: &'static str,
    path: &'static str,
    headers: Headers,
    body: &'static str,
    status: u16,
    verdict: &'static str,
}

fn bundle(engine: std::net::SocketAddr, service: std::net::SocketAddr) -> String {
    format!(
        "[model m]\n[service app]\n[server e]\ndata-centre = c1\naddress = {engine}\nserves = m\n\
         [server a]\ndata-centre = c1\naddress = {service}\nserves = app\n\
         [kind caption]\nserved-by = m\nrepeatable = yes\nstreaming = yes\nresidency = anywhere\n\
         [kind bound]\nserved-by = m\nrepeatable = yes\nresidency = home\naway = never\n\
         [kind far]\nserved-by = m\nrepeatable = yes\nresidency = r2\n\
         [kind post]\nserved-by = app\nrepeatable = no\nresidency = anywhere\nservice-ms = 10\n\
         [server e2]\ndata-centre = c2\naddress = 127.0.2.1:1\nserves = m\n\
         [team few]\nrate = 0.001/s\nburst = 1\n"
    )
}

type Headers = &'static [(&'static str, &'static str)];

const CAPTION: &str = "/v1/requests/caption";
const BOUND: &str = "/v1/requests/bound";
const POST: &str = "/v1/services/post/x";
const CHAT: &str = "/v1/chat/completions";

const fn case(
    name: &'static str,
    path: &'static str,
    headers: Headers,
    body: &'static str,
    status: u16,
    verdict: &'static str,
) -> InputCase {
    InputCase {
        name,
        path,
        headers,
        body,
        status,
        verdict,
    }
}

/// Cases that are served.
const SERVED: [InputCase; 6] = [
    case("kind in the path", CAPTION, &[], "{}", 200, "ran"),
    case(
        "kind in the body",
        CHAT,
        &[],
        r#"{"model":"caption","max_tokens":2}"#,
        200,
        "ran",
    ),
    case(
        "plain service",
        "/v1/services/post/a/b?c=d",
        &[],
        "{}",
        200,
        "ran",
    ),
    case(
        "home is here",
        BOUND,
        &[("onyxfall-home", "r1")],
        "{}",
        200,
        "ran",
    ),
    case(
        "key of a repeatable kind",
        CAPTION,
        &[("idempotency-key", "abc")],
        "{}",
        200,
        "ran",
    ),
    case(
        "within the team's rate",
        CAPTION,
        &[("onyxfall-team", "few")],
        "{}",
        200,
        "ran",
    ),
];

/// Cases that are refused; they run after the served ones, which use up the quota of
/// the team.
const REFUSED: [InputCase; 16] = [
    case(
        "no such path",
        "/v2/requests/caption",
        &[],
        "{}",
        404,
        "not-run",
    ),
    case(
        "no such kind",
        "/v1/requests/poem",
        &[],
        "{}",
        404,
        "not-run",
    ),
    case(
        "malformed kind",
        "/v1/requests/Poem!",
        &[],
        "{}",
        404,
        "not-run",
    ),
    case(
        "engine kind as a service",
        "/v1/services/caption/x",
        &[],
        "{}",
        404,
        "not-run",
    ),
    case(
        "service kind as a request",
        "/v1/requests/post",
        &[],
        "{}",
        404,
        "not-run",
    ),
    case("chat without JSON", CHAT, &[], "hello", 400, "not-run"),
    case("chat without a model", CHAT, &[], "{}", 400, "not-run"),
    case("home is needed", BOUND, &[], "{}", 400, "not-run"),
    case(
        "home is elsewhere",
        BOUND,
        &[("onyxfall-home", "r2")],
        "{}",
        421,
        "not-run",
    ),
    case(
        "home is unknown",
        BOUND,
        &[("onyxfall-home", "mars")],
        "{}",
        400,
        "not-run",
    ),
    case(
        "home is malformed",
        BOUND,
        &[("onyxfall-home", "?")],
        "{}",
        400,
        "not-run",
    ),
    case(
        "region not allowed",
        "/v1/requests/far",
        &[],
        "{}",
        421,
        "not-run",
    ),
    case(
        "bad deadline",
        CAPTION,
        &[("onyxfall-deadline-ms", "soon")],
        "{}",
        400,
        "not-run",
    ),
    case(
        "deadline of nothing",
        CAPTION,
        &[("onyxfall-deadline-ms", "0")],
        "{}",
        504,
        "not-run",
    ),
    case(
        "not a ticket",
        POST,
        &[("idempotency-key", "abc")],
        "{}",
        400,
        "not-run",
    ),
    case(
        "past the team's rate",
        CAPTION,
        &[("onyxfall-team", "few")],
        "{}",
        429,
        "not-run",
    ),
];

#[test]
fn each_input_gets_the_expected_status_and_verdict() {
    let engine = FakeEngine::start(loopback(1), EngineSettings::default()).unwrap();
    let service = FakeService::start(loopback(1), ServiceSettings::default()).unwrap();
    let deployment = TestDeployment::start(&[1, 2], &bundle(engine.address(), service.address()));
    let large = "x".repeat(65 * 1024);
    let answer = call(deployment.callers(0), CAPTION, &[], &large);
    assert_eq!(
        (answer.status, answer.verdict.as_str()),
        (413, "not-run"),
        "large body"
    );
    let runs = || engine.runs().len() + service.runs().len();
    for case in SERVED.iter().chain(&REFUSED) {
        let before = runs();
        let answer = call(deployment.callers(0), case.path, case.headers, case.body);
        assert_eq!(answer.status, case.status, "{}: {answer:?}", case.name);
        assert_eq!(answer.verdict, case.verdict, "{}: {answer:?}", case.name);
        let ran = usize::from(case.verdict == "ran");
        assert_eq!(runs() - before, ran, "{}: runs", case.name);
    }
}

#[test]
fn residency_is_refused_before_the_body_is_read() {
    let engine = FakeEngine::start(loopback(1), EngineSettings::default()).unwrap();
    let service = FakeService::start(loopback(1), ServiceSettings::default()).unwrap();
    let deployment = TestDeployment::start(&[1, 2], &bundle(engine.address(), service.address()));
    let mut stream = TcpStream::connect(deployment.callers(0)).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    // The head declares a body that is never sent.
    let head = "POST /v1/requests/far HTTP/1.1\r\nhost: x\r\ncontent-length: 1000\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"HTTP/1.1 421");
}

#[test]
fn the_list_of_entries_leaves_out_a_draining_entry() {
    let engine = FakeEngine::start(loopback(1), EngineSettings::default()).unwrap();
    let service = FakeService::start(loopback(1), ServiceSettings::default()).unwrap();
    let mut deployment =
        TestDeployment::start(&[1, 1, 2], &bundle(engine.address(), service.address()));
    let names = |deployment: &TestDeployment| -> Vec<String> {
        let answer = try_call(deployment.callers(0), "GET", "/v1/entries", &[], "").unwrap();
        let value: serde_json::Value = serde_json::from_str(&answer.body).unwrap();
        let entries = value["entries"].as_array().unwrap();
        entries
            .iter()
            .map(|entry| entry["name"].as_str().unwrap().to_owned())
            .collect()
    };
    wait_until("all entries are listed, the nearest first", || {
        names(&deployment) == ["vm-0", "vm-1", "vm-2"]
    });
    let draining = deployment.entries[1].take().unwrap();
    let stopper = std::thread::spawn(move || draining.stop());
    wait_until("the draining entry is not listed", || {
        names(&deployment) == ["vm-0", "vm-2"]
    });
    assert_eq!(stopper.join().unwrap(), 0);
}

#[test]
fn a_graceful_shutdown_cuts_no_stream_and_refuses_new_requests_as_not_run() {
    let settings = EngineSettings {
        token: std::time::Duration::from_millis(20),
        ..EngineSettings::default()
    };
    let engine = FakeEngine::start(loopback(1), settings).unwrap();
    let service = FakeService::start(loopback(1), ServiceSettings::default()).unwrap();
    let mut deployment =
        TestDeployment::start(&[1, 2], &bundle(engine.address(), service.address()));
    let address = deployment.callers(0);
    let body = r#"{"stream":true,"max_tokens":60}"#;
    let open = std::thread::spawn(move || call(address, "/v1/requests/caption", &[], body));
    wait_until("the stream is open", || !engine.runs().is_empty());
    let entry = deployment.entries[0].take().unwrap();
    let stopper = std::thread::spawn(move || entry.stop());
    let mut refused = 0;
    while let Some(answer) = try_call(address, "POST", "/v1/services/post/x", &[], "{}") {
        if answer.status == 503 {
            assert_eq!(answer.verdict, "not-run", "{answer:?}");
            refused += 1;
        } else {
            assert_eq!(answer.status, 200, "{answer:?}");
        }
    }
    let answer = open.join().unwrap();
    assert!(
        !answer.broken && answer.body.ends_with("data: [DONE]\n\n"),
        "{answer:?}"
    );
    assert!(refused > 0, "the entry refused requests before it exited");
    assert_eq!(stopper.join().unwrap(), 0, "no request was cut off");
    assert!(service.runs().values().all(|runs| *runs == 1));
}

#[test]
fn without_a_bundle_an_entry_refuses_as_not_run() {
    let mut deployment = TestDeployment::new(&[1]);
    deployment.start_entry(0);
    let answer = call(deployment.callers(0), "/v1/requests/caption", &[], "{}");
    assert_eq!((answer.status, answer.verdict.as_str()), (503, "not-run"));
}
