//! Case 3: a rolling restart of two regions cuts streams between them before the end of the grace.
//!
//! Arguments: the folder of the case. Environment: `TROUBLE=0` stops nothing.

#[path = "site.rs"]
mod site;

use std::io::{self, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use site::{Arrival, Record, SIGTERM, Server, Site, Wire, connect, name, send_signal};

const CLIENTS: u32 = 4;
/// Events of a stream, and the pause after each: 8 s in all. Neither is the largest of the class.
const EVENTS: u32 = 100;
const EVENT_PAUSE: Duration = Duration::from_millis(80);
/// Time from the requests to the first SIGTERM, and from there to the second one.
const BEFORE_STOP: Duration = Duration::from_millis(400);
const STOP_GAP: Duration = Duration::from_secs(2);
/// Time between SIGTERM and SIGKILL.
const GRACE: Duration = Duration::from_secs(8);
/// Time budget and route timeout of the class.
const BUDGET: Duration = Duration::from_secs(12);

/// How a request ended at its client.
struct Ending {
    id: String,
    ended: Instant,
    took: Duration,
    events: usize,
    is_complete: bool,
    cause: String,
}

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let is_stopped = std::env::var("TROUBLE").as_deref() != Ok("0");
    match run(&folder, is_stopped) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("cannot run: {error}");
            ExitCode::from(2)
        }
    }
}

/// Runs the case; returns whether the rule held.
fn run(folder: &str, is_stopped: bool) -> io::Result<bool> {
    let record = Record::create(&format!("{folder}/record.txt"))?;
    let mut site = Site::prepare(&["west", "east"])?;
    // When each server run would end or has ended.
    let ends: Arc<Mutex<Vec<Instant>>> = Arc::default();
    for (last, id) in [(100, "i-east-1"), (101, "i-east-2")] {
        let (noted, starts) = (record.clone(), Arc::clone(&ends));
        let server = Server::start(site.ip(last), id, move |arrival| {
            let id = arrival.id.clone();
            noted.add(&format!("server: runs {id}"));
            let end = Instant::now() + EVENT_PAUSE * EVENTS;
            starts.lock().unwrap().push(end);
            let written = answer(arrival);
            match &written {
                Ok(()) => noted.add(&format!("server: answer to {id} written whole")),
                Err(error) => noted.add(&format!("server: {id} broken off by its caller: {error}")),
            }
            written
        })?;
        site.announce(&server, "models", 1, 128);
    }
    site.store.put(name("config-key"), &configuration());
    let west = site.start_gateway(0, 0)?;
    let east = site.start_gateway(1, 1)?;
    site.wait_ready(0)?;
    site.wait_ready(1)?;
    thread::sleep(Duration::from_secs(2));

    let address = site.callers(0);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || request(&record, address, number))
        })
        .collect();
    thread::sleep(BEFORE_STOP);
    let mut stopped = None;
    if is_stopped {
        stop(&record, east, "east")?;
        thread::sleep(STOP_GAP);
        stop(&record, west, "west, which has accepted the requests")?;
        stopped = Some(Instant::now());
    }
    let mut lost = 0;
    for client in clients {
        let joined = client
            .join()
            .map_err(|_| io::Error::other("a client failed"))?;
        let ending = joined?;
        // The excuse: the server was still working in the last sixth of the grace of the gateway
        // that accepted the request.
        let last_sixth = stopped.map(|at| at + GRACE * 5 / 6);
        let served_until = ends.lock().unwrap().iter().max().copied();
        let is_excused = served_until >= last_sixth;
        let is_planned =
            stopped.is_some_and(|at| ending.ended <= at + GRACE + Duration::from_secs(1));
        let is_in_time = ending.took < BUDGET;
        let is_lost = !ending.is_complete && is_planned && is_in_time && !is_excused;
        lost += u32::from(is_lost);
        record.add(&format!(
            "client: {} ended after {:.2} s with {} of {EVENTS} events, {}{}",
            ending.id,
            ending.took.as_secs_f64(),
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

fn stop(record: &Record, gateway: u32, region: &str) -> io::Result<()> {
    if !send_signal(gateway, SIGTERM) {
        return Err(io::Error::other("cannot signal a gateway"));
    }
    record.add(&format!("SIGTERM sent to the gateway of {region}"));
    Ok(())
}

/// The answer of a sound server: a stream of events.
fn answer(arrival: Arrival) -> io::Result<()> {
    let (id, stream) = (&arrival.id, &mut arrival.wire.stream);
    write!(
        stream,
        "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: seal-{id}\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n",
        name("request-id"),
        name("seal")
    )?;
    for number in 1..=EVENTS {
        let event = format!("id: {number}\ndata: {}\n\n", "x".repeat(50));
        write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
        thread::sleep(EVENT_PAUSE);
    }
    write!(stream, "0\r\n\r\n")
}

fn request(record: &Record, address: SocketAddrV4, number: u32) -> io::Result<Ending> {
    let stream: TcpStream = connect(address, None)?;
    let mut wire = Wire::new(stream);
    let id = format!("stream-{number}");
    let body = "p".repeat(12_000);
    record.add(&format!("client: {id} sent to the gateway of west"));
    let sent = Instant::now();
    write!(
        wire.stream,
        "POST /long/{number} HTTP/1.1\r\nHost: a.example\r\n{}: {id}\r\n{}: {}\r\nModel: m\r\n\
         {}: 1460,700\r\n{}: 5c1e07a2:800,91bd3f06:410,{number:x}:250\r\n\
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
        let mut piece = vec![0; 64 * 1024];
        match wire.stream.read(&mut piece) {
            Ok(0) => break "channel closed".to_owned(),
            Ok(count) => received.extend_from_slice(&piece[..count]),
            Err(error) => break format!("channel broken: {error}"),
        }
    };
    let text = String::from_utf8_lossy(&received);
    let events = text.matches("id: ").count();
    Ok(Ending {
        id,
        ended: Instant::now(),
        took: sent.elapsed(),
        events,
        is_complete: is_success && cause == "answer complete" && events == EVENTS as usize,
        cause: format!("head `{}`, {cause}", head.first),
    })
}

/// A desired state like the site file's: a stream that may not be resumed, at home in one region.
fn configuration() -> String {
    "{\"Version\":1,\"Routes\":[{\"Name\":\"r-long\",\"Host\":\"a.example\",\
     \"PathPrefix\":\"/long/\",\"Priority\":1,\"Service\":\"models\",\"HomeRegions\":[\"east\"],\
     \"Kind\":\"streaming\",\"TimeoutMs\":12000,\"GoalMs\":1000,\"MaxAttempts\":1,\
     \"Sticky\":true,\"Resumable\":false,\"GapTargetMs\":400}],\
     \"Services\":[{\"Name\":\"models\",\"HealthPath\":\"/health\",\"MaxConns\":620,\
     \"Protocol\":\"h1\",\"Tls\":false,\"ColdS\":0,\"ColdPerS\":0,\"Engine\":{\"Slots\":128,\
     \"KvTokens\":671115,\"KvTokenBytes\":35136,\"LinkMbps\":1100000.0,\"MoveCount\":true,\
     \"BackupCount\":true,\"Stride\":7,\"most\":12,\"PinTtlMs\":4000.0,\
     \"HoldTimeoutMs\":2000.0,\"handle_s\":5.0,\"Models\":[{\"Name\":\"m\"}]}}],\
     \"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
     \"IdleTimeoutMs\":15000}}"
        .to_owned()
}
