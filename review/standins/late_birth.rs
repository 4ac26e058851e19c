//! A server crashes and starts again under its id while the store is down. The gateway goes on to
//! use it; when the store is back and names the new life, seconds later, the gateway breaks off all
//! that this server is sending.
//!
//! Arguments: the file of the record. Environment: `TROUBLE=0` leaves out the crash and the fault of
//! the store; `TROUBLE=store` leaves out the crash only.

#[path = "site.rs"]
mod site;

use std::collections::BTreeSet;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddrV4, TcpListener, TcpStream};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use site::{Entry, Head, Record, SIGHUP, Site, Wire, connect, name, send_signal};

const SERVERS: u8 = 4;
const CLIENTS: u32 = 120;
/// Pause of a client between two requests, and between the starts of two clients.
const CLIENT_PAUSE: Duration = Duration::from_millis(50);
const START_PAUSE: Duration = Duration::from_millis(8);
const EVENTS: usize = 10;
const EVENT_PAUSE: Duration = Duration::from_millis(90);

/// When the store goes down and when it is back, from the start of the clients.
const STORE_DOWN_AT: Duration = Duration::from_millis(1000);
const STORE_BACK_AT: Duration = Duration::from_millis(9000);
/// When the server crashes and when it is back.
const CRASH_AT: Duration = Duration::from_millis(1300);
const RESTART_AT: Duration = Duration::from_millis(2000);
/// Planned work.
const SIGHUP_AT: Duration = Duration::from_millis(8000);
/// When the server's next write reaches the store (`BeatMs` 1,200).
const BEAT_AT: Duration = Duration::from_millis(9300);
const END_AT: Duration = Duration::from_millis(12_500);

/// Bounds of the site: `ContactMs` and `ConfigApplyMs`.
const CONTACT: Duration = Duration::from_secs(5);
const CONFIG_APPLY: Duration = Duration::from_secs(3);
/// Time budget of a request and the route's timeout.
const BUDGET: Duration = Duration::from_secs(3);

/// What the run disturbs.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    Store,
    StoreAndServer,
}

fn main() -> ExitCode {
    let path = std::env::args().nth(1);
    let path = path.unwrap_or_else(|| "record.txt".to_owned());
    let trouble = match std::env::var("TROUBLE").as_deref() {
        Ok("0") => Trouble::None,
        Ok("store") => Trouble::Store,
        _ => Trouble::StoreAndServer,
    };
    match run(&path, trouble) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("cannot run: {error}");
            ExitCode::from(2)
        }
    }
}

/// What a server process shares with its connections.
#[derive(Clone)]
struct Life {
    id: String,
    record: Record,
    is_running: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    /// Number of requests that it has run.
    runs: Arc<AtomicU32>,
    /// Answers that the server itself broke off, by request.
    broken_off: Arc<Mutex<BTreeSet<String>>>,
}

/// A server process: its port is closed and its connections end when it ends.
struct Process {
    life: Life,
    thread: thread::JoinHandle<()>,
}

impl Process {
    fn start(
        address: SocketAddrV4,
        id: &str,
        record: &Record,
        broken_off: &Arc<Mutex<BTreeSet<String>>>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let life = Life {
            id: id.to_owned(),
            record: record.clone(),
            is_running: Arc::new(AtomicBool::new(true)),
            streams: Arc::default(),
            runs: Arc::default(),
            broken_off: Arc::clone(broken_off),
        };
        let served = life.clone();
        let thread = thread::spawn(move || {
            while served.is_running.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        served.streams.lock().unwrap().extend(stream.try_clone());
                        let life = served.clone();
                        thread::spawn(move || serve(Wire::new(stream), &life));
                    }
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        thread::sleep(Duration::from_millis(1));
                    }
                    Err(_) => return,
                }
            }
        });
        Ok(Self { life, thread })
    }

    fn end(self) {
        self.life.is_running.store(false, Ordering::Relaxed);
        let _ = self.thread.join();
        for stream in self.life.streams.lock().unwrap().iter() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(mut wire: Wire, life: &Life) -> io::Result<()> {
    while let Some(head) = wire.head()? {
        wire.body(&head)?;
        let id = head.field(name("request-id")).unwrap_or("").to_owned();
        let (key, seal) = (name("request-id"), name("seal"));
        if head.first.contains(" /health ") {
            let (instance, own) = (name("instance"), &life.id);
            let head = format!("HTTP/1.1 200 OK\r\n{instance}: {own}\r\n");
            write!(wire.stream, "{head}Content-Length: 0\r\n\r\n")?;
            continue;
        }
        if is_for_another(&head, &life.id) {
            let head = format!("HTTP/1.1 421 Misdirected Request\r\n{key}: {id}\r\n");
            write!(wire.stream, "{head}Content-Length: 0\r\n\r\n")?;
            continue;
        }
        let after = head.field("last-event-id").and_then(|id| id.parse().ok());
        let after: usize = after.unwrap_or(0);
        let note = |what: &str| life.record.add(&format!("server {}: {what}", life.id));
        note(&format!("runs {id} from event {}", after + 1));
        life.runs.fetch_add(1, Ordering::Relaxed);
        write!(
            wire.stream,
            "HTTP/1.1 200 OK\r\n{key}: {id}\r\n{seal}: seal-{id}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        for number in after + 1..=EVENTS {
            thread::sleep(EVENT_PAUSE);
            if !life.is_running.load(Ordering::Relaxed) {
                life.broken_off.lock().unwrap().insert(id);
                return Ok(());
            }
            let event = format!("id: {number}\ndata: {}\n\n", "x".repeat(50));
            let written = write!(wire.stream, "{:x}\r\n{event}\r\n", event.len());
            if written.is_err() {
                note(&format!(
                    "{id} was closed by its caller before event {number}"
                ));
                return written;
            }
        }
        write!(wire.stream, "0\r\n\r\n")?;
    }
    Ok(())
}

fn is_for_another(head: &Head, own: &str) -> bool {
    head.field(name("expected")).is_some_and(|id| id != own)
}

/// Unix time in milliseconds.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or_default()
}

fn entry(address: SocketAddrV4, born: u64) -> Entry {
    Entry {
        service: "models",
        address,
        center: 0,
        slots: 128,
        state: "ready",
        born: Some(born),
        seq: 1,
    }
}

/// Runs the case; returns whether the rule held.
fn run(path: &str, trouble: Trouble) -> io::Result<bool> {
    let record = Record::create(path)?;
    let mut site = Site::prepare(&["west"])?;
    let broken_off = Arc::default();
    let (mut addresses, mut processes) = (Vec::new(), Vec::new());
    let ids: Vec<String> = (0..SERVERS).map(|number| format!("i-{number}")).collect();
    for (number, id) in (0..SERVERS).zip(&ids) {
        let ip = site.ip(100 + number);
        let port = TcpListener::bind((ip, 0))?.local_addr()?.port();
        let address = SocketAddrV4::new(ip, port);
        processes.push(Process::start(address, id, &record, &broken_off)?);
        site.write_entry(id, &entry(address, unix_ms() - 3_600_000));
        addresses.push(address);
    }
    site.store.put(name("config-key"), &configuration());
    let gateway = site.start_gateway(0, 0)?;
    site.wait_ready(0)?;

    let start = Instant::now();
    let clients = Clients::start(site.callers(0));
    wait_until(start + STORE_DOWN_AT);
    if trouble != Trouble::None {
        site.store.set_busy(true);
        record.add("store: answers each call with 503");
    }
    let mut disturbed_until = start;
    let mut reborn = None;
    if trouble == Trouble::StoreAndServer {
        wait_until(start + CRASH_AT);
        // The requests' shared part draws most of them to one server, and that one crashes.
        let runs = |number: &usize| processes[*number].life.runs.load(Ordering::Relaxed);
        let busiest = (0..processes.len()).max_by_key(runs).unwrap_or_default();
        let (id, address) = (&ids[busiest], addresses[busiest]);
        processes.remove(busiest).end();
        record.add(&format!("server {id}: ended without a word"));
        wait_until(start + RESTART_AT);
        let process = Process::start(address, id, &record, &broken_off)?;
        processes.insert(busiest, process);
        reborn = Some((busiest, unix_ms()));
        disturbed_until = Instant::now();
        record.add(&format!("server {id}: started again under its id"));
    }
    wait_until(start + SIGHUP_AT);
    // Planned work in all runs: the settings file has changed.
    if !send_signal(gateway, SIGHUP) {
        return Err(io::Error::other("cannot signal the gateway"));
    }
    let signalled = Instant::now();
    record.add("SIGHUP sent to the gateway");
    wait_until(start + STORE_BACK_AT);
    if trouble != Trouble::None {
        site.store.set_busy(false);
        record.add("store: answers again");
    }
    wait_until(start + BEAT_AT);
    if let Some((number, born)) = reborn {
        site.write_entry(&ids[number], &entry(addresses[number], born));
        record.add(&format!("server {}: has written its entry", ids[number]));
    }
    wait_until(start + END_AT);
    let endings = clients.end();

    let excused = broken_off.lock().unwrap();
    let (mut lost, mut incomplete) = (0, 0);
    for ending in &endings {
        let is_lost = ending.is_closed
            && ending.sent >= signalled
            && ending.sent - signalled <= CONFIG_APPLY
            && ending.sent >= disturbed_until + CONTACT
            && ending.took < BUDGET
            && !excused.contains(&ending.id);
        lost += u32::from(is_lost);
        incomplete += u32::from(!ending.is_complete);
        record.add(&format!(
            "client: {} sent {:.3} s after the start: {} after {:.3} s{}",
            ending.id,
            (ending.sent - start).as_secs_f64(),
            ending.cause,
            ending.took.as_secs_f64(),
            if is_lost { ": LOST" } else { "" },
        ));
    }
    record.add(&format!(
        "{lost} requests ended with a closed channel and no complete answer, against the rule; {incomplete} \
         of {} were not answered whole",
        endings.len()
    ));
    Ok(lost == 0)
}

fn wait_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// How a request ended.
struct Ending {
    id: String,
    sent: Instant,
    took: Duration,
    is_complete: bool,
    /// Whether the channel was closed before the end of the answer.
    is_closed: bool,
    cause: String,
}

/// Clients that each send requests one after the other.
struct Clients {
    is_running: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<Vec<Ending>>>,
}

impl Clients {
    fn start(address: SocketAddrV4) -> Self {
        let is_running = Arc::new(AtomicBool::new(true));
        let threads = (0..CLIENTS).map(|client| {
            let running = Arc::clone(&is_running);
            thread::spawn(move || call_on(address, client, &running))
        });
        let threads = threads.collect();
        Self {
            is_running,
            threads,
        }
    }

    fn end(self) -> Vec<Ending> {
        self.is_running.store(false, Ordering::Relaxed);
        let threads = self.threads.into_iter();
        let endings = threads.flat_map(|client| client.join().unwrap_or_default());
        endings.collect()
    }
}

/// Sends requests until the clients are told to end.
fn call_on(address: SocketAddrV4, client: u32, running: &AtomicBool) -> Vec<Ending> {
    thread::sleep(START_PAUSE * client);
    let mut endings = Vec::new();
    let mut number = 0;
    while running.load(Ordering::Relaxed) {
        let (id, sent) = (format!("s-{client}-{number}"), Instant::now());
        let subject = client * 1000 + number + 1;
        let result = request(address, &id, subject);
        let cause = result.unwrap_or_else(|error| format!("channel closed: {error}"));
        endings.push(Ending {
            id,
            sent,
            took: sent.elapsed(),
            is_complete: cause == "complete",
            is_closed: cause.starts_with("channel closed"),
            cause,
        });
        number += 1;
        thread::sleep(CLIENT_PAUSE);
    }
    endings
}

/// Sends a request for a stream and reads its answer; returns how it ended.
fn request(address: SocketAddrV4, id: &str, subject: u32) -> io::Result<String> {
    let mut wire = Wire::new(connect(address, None)?);
    let body = "p".repeat(2400);
    write!(
        wire.stream,
        "POST /draft/{subject} HTTP/1.1\r\nHost: a.example\r\n{}: {id}\r\n{}: {}\r\nModel: m\r\n\
         {}: 600,70\r\n{}: 5c1e07a2:300,{subject:x}:300\r\nContent-Length: {}\r\n\r\n{body}",
        name("request-id"),
        name("deadline"),
        BUDGET.as_millis(),
        name("tokens"),
        name("parts"),
        body.len()
    )?;
    let head = wire.head()?.ok_or(ErrorKind::UnexpectedEof)?;
    if !head.first.contains(" 200 ") {
        return Ok(format!("got `{}`", head.first));
    }
    let mut received = std::mem::take(&mut wire.buffer);
    wire.stream.set_read_timeout(Some(BUDGET))?;
    while !received.ends_with(b"\r\n0\r\n\r\n") {
        let mut piece = [0; 4096];
        let count = wire.stream.read(&mut piece)?;
        if count == 0 {
            let events = count_events(&received);
            return Ok(format!("channel closed with {events} of {EVENTS} events"));
        }
        received.extend_from_slice(&piece[..count]);
    }
    Ok(match count_events(&received) {
        EVENTS => "complete".to_owned(),
        events => format!("ended as complete with {events} of {EVENTS} events"),
    })
}

fn count_events(received: &[u8]) -> usize {
    String::from_utf8_lossy(received).matches("id: ").count()
}

/// A desired state like the site file's: a stream that may be resumed.
fn configuration() -> String {
    "{\"Version\":1,\"Routes\":[{\"Name\":\"r-draft\",\"Host\":\"a.example\",\
     \"PathPrefix\":\"/draft/\",\"Priority\":0,\"Service\":\"models\",\"HomeRegions\":[],\
     \"Kind\":\"streaming\",\"TimeoutMs\":3000,\"GoalMs\":600,\"MaxAttempts\":2,\"Sticky\":true,\
     \"Resumable\":true,\"GapTargetMs\":400}],\"Services\":[{\"Name\":\"models\",\
     \"HealthPath\":\"/health\",\"MaxConns\":620,\"Protocol\":\"h1\",\"Tls\":false,\"ColdS\":0,\
     \"ColdPerS\":0,\"Engine\":{\"Slots\":128,\"KvTokens\":671115,\"KvTokenBytes\":35136,\
     \"LinkMbps\":1100000.0,\"MoveCount\":true,\"BackupCount\":true,\"Stride\":7,\"most\":12,\
     \"PinTtlMs\":4000.0,\"HoldTimeoutMs\":2000.0,\"handle_s\":5.0,\"Models\":[{\"Name\":\"m\"}]}}],\
     \"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
     \"IdleTimeoutMs\":15000}}"
        .to_owned()
}
