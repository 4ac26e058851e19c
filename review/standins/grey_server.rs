//! A grey server runs requests that may run once and answers 503. The callers are told that these
//! requests have not run, and send them again.
//!
//! Arguments: the file of the record. Environment: `TROUBLE=0` leaves all servers sound.

#[path = "site.rs"]
mod site;

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::SocketAddrV4;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use site::{Arrival, Record, Server, Site, Wire, connect, name};

const SERVERS: u8 = 3;
/// The server that fails, and how many of 100 requests that it has run.
const GREY_SERVER: u8 = 0;
const GREY_PERCENT: u32 = 45;
/// How long it is grey.
const GREY_FOR: Duration = Duration::from_secs(4);
const REQUESTS: u32 = 60;
const REQUEST_PAUSE: Duration = Duration::from_millis(60);
/// Time that a server works on a request.
const WORK: Duration = Duration::from_millis(15);

fn main() -> ExitCode {
    let path = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "record.txt".to_owned());
    let is_grey = std::env::var("TROUBLE").as_deref() != Ok("0");
    match run(&path, is_grey) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("cannot run: {error}");
            ExitCode::from(2)
        }
    }
}

/// Runs the case; returns whether the rule held.
fn run(path: &str, is_grey: bool) -> io::Result<bool> {
    let record = Record::create(path)?;
    let mut site = Site::prepare(&["west"])?;
    // What was run, by attempt id: the purchase and how often.
    let runs: Arc<Mutex<BTreeMap<String, u32>>> = Arc::default();
    let grey_since: Arc<Mutex<Option<Instant>>> = Arc::default();
    for number in 0..SERVERS {
        let (noted, counted) = (record.clone(), Arc::clone(&runs));
        let since = Arc::clone(&grey_since);
        let served = AtomicU32::new(0);
        let id = format!("i-{number}");
        let own = id.clone();
        let fails = is_grey && number == GREY_SERVER;
        let server = Server::start(site.ip(100 + number), &id, move |arrival| {
            let attempt = arrival.id.clone();
            *counted.lock().unwrap().entry(attempt.clone()).or_default() += 1;
            thread::sleep(WORK);
            let count = served.fetch_add(1, Ordering::Relaxed);
            let is_chosen = count * GREY_PERCENT / 100 != (count + 1) * GREY_PERCENT / 100;
            let is_now = since
                .lock()
                .unwrap()
                .is_some_and(|at| at.elapsed() < GREY_FOR);
            let is_failed = fails && is_chosen && is_now;
            let status = if is_failed {
                "503 Service Unavailable"
            } else {
                "200 OK"
            };
            noted.add(&format!(
                "server {own}: has run {attempt}, answers {status}"
            ));
            answer(arrival, status)
        })?;
        site.announce(&server, "portal", 0, 6);
    }
    site.store.put(name("config-key"), &configuration());
    site.start_gateway(0, 0)?;
    site.wait_ready(0)?;
    thread::sleep(Duration::from_millis(500));

    let address = site.callers(0);
    *grey_since.lock().unwrap() = Some(Instant::now());
    let mut refused_but_run = 0;
    let mut run_again = 0;
    for number in 0..REQUESTS {
        let first = format!("buy-{number}-a");
        let has_run = |id: &str| runs.lock().unwrap().contains_key(id);
        let Some(retry_after) = send(&record, address, number, &first)? else {
            thread::sleep(REQUEST_PAUSE);
            continue;
        };
        // The promise of the status: it has not run and never will.
        let is_broken = has_run(&first);
        refused_but_run += u32::from(is_broken);
        thread::sleep(retry_after);
        let second = format!("buy-{number}-b");
        send(&record, address, number, &second)?;
        let is_twice = is_broken && has_run(&second);
        run_again += u32::from(is_twice);
        if is_broken {
            record.add(&format!(
                "REFUSED: {first} was refused and has run{}",
                if is_twice {
                    "; the caller sent it again, and it ran again"
                } else {
                    ""
                }
            ));
        }
    }
    record.add(&format!(
        "{refused_but_run} of {REQUESTS} requests were refused by 503 or 429 and have run; {run_again} of \
         them ran again when their callers came back"
    ));
    Ok(refused_but_run == 0)
}

fn answer(arrival: Arrival, status: &str) -> io::Result<()> {
    let (id, stream) = (&arrival.id, &mut arrival.wire.stream);
    write!(
        stream,
        "HTTP/1.1 {status}\r\n{}: {id}\r\n{}: seal-{id}\r\nContent-Length: 2\r\n\r\nok",
        name("request-id"),
        name("seal")
    )
}

/// Sends a request that may run once. Returns when to come back if it was refused as not run.
fn send(
    record: &Record,
    address: SocketAddrV4,
    number: u32,
    id: &str,
) -> io::Result<Option<Duration>> {
    let mut wire = Wire::new(connect(address, None)?);
    write!(
        wire.stream,
        "POST /buy/{number} HTTP/1.1\r\nHost: a.example\r\n{}: {id}\r\n{}: 2500\r\n\
         Content-Length: 4\r\n\r\nitem",
        name("request-id"),
        name("deadline")
    )?;
    let head = wire.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    wire.body(&head)?;
    let seal = head.field(name("seal")).unwrap_or("none");
    record.add(&format!("client: {id} got `{}`, seal {seal}", head.first));
    let is_promise = [" 503 ", " 429 "].iter().any(|s| head.first.contains(s));
    let retry_after = head.field("retry-after").and_then(|v| v.parse().ok());
    Ok(is_promise.then(|| Duration::from_secs_f64(retry_after.unwrap_or(0.1))))
}

/// A desired state like the site file's: a plain route whose requests may run once.
fn configuration() -> String {
    "{\"Version\":1,\"Routes\":[{\"Name\":\"r-buy\",\"Host\":\"a.example\",\
     \"PathPrefix\":\"/buy/\",\"Priority\":2,\"Service\":\"portal\",\"HomeRegions\":[],\
     \"Kind\":\"non_idempotent\",\"TimeoutMs\":1200,\"GoalMs\":400,\"MaxAttempts\":1}],\
     \"Services\":[{\"Name\":\"portal\",\"HealthPath\":\"/health\",\"MaxConns\":110,\
     \"Protocol\":\"h1\",\"Tls\":false,\"ColdS\":0,\"ColdPerS\":0}],\
     \"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
     \"IdleTimeoutMs\":15000}}"
        .to_owned()
}
