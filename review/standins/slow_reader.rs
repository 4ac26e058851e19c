//! Clients that read slowly, but without a break, lose their answers.
//!
//! Arguments: the file of the record. Environment: `TROUBLE=0` lets the clients read at once.

#[path = "site.rs"]
mod site;

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use site::{Arrival, Record, SIGHUP, Server, Site, Wire, connect, name, send_signal};

const CLIENTS: u32 = 8;
/// The longest stream of the site file: 160 events of 390 bytes, in 1.6 s.
const EVENTS: usize = 160;
const EVENT_BYTES: usize = 390;
const EVENT_PAUSE: Duration = Duration::from_millis(10);
/// Receive buffer of a slow client, and what it reads each `READ_PAUSE`: 10 KB/s without a break.
const RECEIVE_BYTES: i32 = 4096;
const READ_BYTES: usize = 1000;
const READ_PAUSE: Duration = Duration::from_millis(100);
/// Time budget and route timeout of the class.
const BUDGET: Duration = Duration::from_secs(12);
/// Requests count that are sent no later than this after a SIGHUP.
const CONFIG_APPLY: Duration = Duration::from_secs(3);

/// How a request ended at its client.
struct Ending {
    id: String,
    sent: Instant,
    took: Duration,
    bytes: usize,
    events: usize,
    is_complete: bool,
    cause: String,
}

fn main() -> ExitCode {
    let path = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "record.txt".to_owned());
    let is_slow = std::env::var("TROUBLE").as_deref() != Ok("0");
    match run(&path, is_slow) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("cannot run: {error}");
            ExitCode::from(2)
        }
    }
}

/// Runs the case; returns whether the rule held.
fn run(path: &str, is_slow: bool) -> io::Result<bool> {
    let record = Record::create(path)?;
    let mut site = Site::prepare(&["west"])?;
    let finished: Arc<Mutex<Vec<String>>> = Arc::default();
    let (noted, done) = (record.clone(), Arc::clone(&finished));
    let server = Server::start(site.ip(100), "i-1", move |arrival| {
        let id = arrival.id.clone();
        let is_long = arrival.head.first.contains("/long/");
        let written = answer(arrival, is_long);
        if is_long && written.is_ok() {
            noted.add(&format!("server: answer to {id} written whole"));
            done.lock().unwrap().push(id);
        } else if let Err(error) = &written {
            noted.add(&format!("server: answer to {id} not written: {error}"));
        }
        written
    })?;
    site.announce(&server, "models", 0, 128);
    site.store.put(name("config-key"), &configuration());
    let gateway = site.start_gateway(0, 0)?;
    site.wait_ready(0)?;
    thread::sleep(Duration::from_millis(500));

    // Planned work in both runs: the settings file has changed.
    if !send_signal(gateway, SIGHUP) {
        return Err(io::Error::other("cannot signal the gateway"));
    }
    let signalled = Instant::now();
    record.add("SIGHUP sent to the gateway");
    thread::sleep(Duration::from_millis(300));
    let address = site.callers(0);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            let buffer = is_slow.then_some(RECEIVE_BYTES);
            thread::spawn(move || request(&record, connect(address, buffer)?, number, is_slow))
        })
        .collect();
    let mut lost = 0;
    for client in clients {
        let joined = client
            .join()
            .map_err(|_| io::Error::other("a client failed"))?;
        let ending = joined?;
        let is_in_time = ending.took < BUDGET;
        let is_planned = ending.sent - signalled <= CONFIG_APPLY;
        let has_answer = finished.lock().unwrap().contains(&ending.id);
        let is_lost = !ending.is_complete && is_in_time && is_planned && has_answer;
        lost += u32::from(is_lost);
        record.add(&format!(
            "client: {} ended after {:.2} s with {} bytes, {} of {EVENTS} events, {}{}",
            ending.id,
            ending.took.as_secs_f64(),
            ending.bytes,
            ending.events,
            ending.cause,
            if is_lost { ": LOST" } else { "" },
        ));
    }
    record.add(&format!(
        "{lost} of {CLIENTS} requests ended with a closed channel and no complete answer"
    ));
    Ok(lost == 0)
}

/// The answer of a sound server: a short body, or a stream of events.
fn answer(arrival: Arrival, is_long: bool) -> io::Result<()> {
    let (id, stream) = (&arrival.id, &mut arrival.wire.stream);
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: seal-{id}\r\n",
        name("request-id"),
        name("seal")
    );
    if !is_long {
        return write!(stream, "{head}Content-Length: 2\r\n\r\nok");
    }
    write!(
        stream,
        "{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )?;
    for number in 1..=EVENTS {
        let mut event = format!("id: {number}\ndata: ");
        event.push_str(&"x".repeat(EVENT_BYTES - event.len() - 2));
        event.push_str("\n\n");
        write!(stream, "{EVENT_BYTES:x}\r\n{event}\r\n")?;
        thread::sleep(EVENT_PAUSE);
    }
    write!(stream, "0\r\n\r\n")
}

/// Sends a short request and then a long one on the same connection, and reads its answer.
fn request(record: &Record, stream: TcpStream, number: u32, is_slow: bool) -> io::Result<Ending> {
    let mut wire = Wire::new(stream);
    write!(
        wire.stream,
        "GET /short/{number} HTTP/1.1\r\nHost: a.example\r\n{}: short-{number}\r\n{}: 2500\r\n\r\n",
        name("request-id"),
        name("deadline")
    )?;
    let head = wire.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    wire.body(&head)?;
    let id = format!("long-{number}");
    record.add(&format!(
        "client: {id} sent on a kept channel (the request before got `{}`)",
        head.first
    ));
    let sent = Instant::now();
    let body = "p".repeat(12_000);
    write!(
        wire.stream,
        "POST /long/{number} HTTP/1.1\r\nHost: a.example\r\n{}: {id}\r\n{}: {}\r\nModel: m\r\n\
         {}: 1460,1120\r\n{}: 5c1e07a2:800,91bd3f06:410,{number:x}:250\r\n\
         Content-Length: {}\r\n\r\n{body}",
        name("request-id"),
        name("deadline"),
        BUDGET.as_millis(),
        name("tokens"),
        name("parts"),
        body.len()
    )?;
    let head = wire.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let is_success = head.first.contains(" 200 ");
    let mut received = std::mem::take(&mut wire.buffer);
    wire.stream.set_read_timeout(Some(BUDGET))?;
    let cause = loop {
        if received.ends_with(b"\r\n0\r\n\r\n") {
            break "answer complete".to_owned();
        }
        let mut piece = vec![0; if is_slow { READ_BYTES } else { 64 * 1024 }];
        match wire.stream.read(&mut piece) {
            Ok(0) => break "channel closed".to_owned(),
            Ok(count) => received.extend_from_slice(&piece[..count]),
            Err(error) => break format!("channel broken: {error}"),
        }
        if is_slow {
            thread::sleep(READ_PAUSE);
        }
    };
    let text = String::from_utf8_lossy(&received);
    let events = text.matches("id: ").count();
    Ok(Ending {
        id,
        sent,
        took: sent.elapsed(),
        bytes: received.len(),
        events,
        is_complete: is_success && cause == "answer complete" && events == EVENTS,
        cause,
    })
}

/// A desired state like the site file's: a stream that may not be resumed and a plain route.
fn configuration() -> String {
    let route = |route: &str, prefix: &str, rest: &str| {
        format!(
            "{{\"Name\":\"{route}\",\"Host\":\"a.example\",\"PathPrefix\":\"{prefix}\",\
             \"Priority\":1,\"Service\":\"models\",\"HomeRegions\":[],{rest}}}"
        )
    };
    let long = route(
        "r-long",
        "/long/",
        "\"Kind\":\"streaming\",\"TimeoutMs\":12000,\"GoalMs\":1000,\"MaxAttempts\":1,\
         \"Sticky\":true,\"Resumable\":false,\"GapTargetMs\":400",
    );
    let short = route(
        "r-short",
        "/short/",
        "\"Kind\":\"idempotent\",\"TimeoutMs\":2500,\"GoalMs\":400,\"MaxAttempts\":2",
    );
    format!(
        "{{\"Version\":1,\"Routes\":[{long},{short}],\"Services\":[{{\"Name\":\"models\",\
         \"HealthPath\":\"/health\",\"MaxConns\":620,\"Protocol\":\"h1\",\"Tls\":false,\
         \"ColdS\":0,\"ColdPerS\":0,\"Engine\":{{\"Slots\":128,\"KvTokens\":671115,\
         \"KvTokenBytes\":35136,\"LinkMbps\":1100000.0,\"MoveCount\":true,\"BackupCount\":true,\
         \"Stride\":7,\"most\":12,\"PinTtlMs\":4000.0,\"HoldTimeoutMs\":2000.0,\"handle_s\":5.0,\
         \"Models\":[{{\"Name\":\"m\"}}]}}}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}"
    )
}
