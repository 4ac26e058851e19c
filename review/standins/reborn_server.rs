//! A server starts again under its name while its machine's clock is set back, and leaves as
//! planned some seconds later. The gateway goes on sending requests to it.
//!
//! Arguments: the file of the record. Environment: `TROUBLE=0` leaves out the end of the server
//! and the clock step; `TROUBLE=crash` leaves out the clock step only.

#[path = "site.rs"]
mod site;

use std::io::{self, ErrorKind, Write};
use std::net::{Shutdown, SocketAddrV4, TcpListener, TcpStream};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use site::{Entry, Head, Record, Site, Wire, connect, name};

const SERVERS: u8 = 3;
/// The server that starts again and leaves.
const REBORN: &str = "i-0";
/// How far its clock is set back, from when on and for how long, after its first start.
const CLOCK_STEP: Duration = Duration::from_millis(2400);
const STEP_AT: Duration = Duration::from_millis(300);
/// When it ends without a word, and when it starts again, after its first start.
const CRASH_AT: Duration = Duration::from_millis(600);
const RESTART_AT: Duration = Duration::from_millis(1300);
/// When it says that it leaves, after its first start: the clock has returned after 6 s, and the
/// gateway is in touch 5 s (`ContactMs`) later.
const LEAVE_AT: Duration = Duration::from_millis(12_000);
/// Time within which requests may still reach a server that leaves (`DrainMs`).
const DRAIN_TIME: Duration = Duration::from_secs(3);
/// How long it serves after its word.
const SERVES_FOR: Duration = Duration::from_secs(6);
const CALLERS: u32 = 6;
const REQUEST_PAUSE: Duration = Duration::from_millis(25);
/// Time that a server works on a request.
const WORK: Duration = Duration::from_millis(120);

/// What the run does to the server before it leaves.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    Crash,
    CrashAndStep,
}

fn main() -> ExitCode {
    let path = std::env::args().nth(1);
    let path = path.unwrap_or_else(|| "record.txt".to_owned());
    let trouble = match std::env::var("TROUBLE").as_deref() {
        Ok("0") => Trouble::None,
        Ok("crash") => Trouble::Crash,
        _ => Trouble::CrashAndStep,
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

/// A server process: its port is closed and its connections end when it ends.
struct Process {
    is_running: Arc<AtomicBool>,
    is_leaving: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    thread: thread::JoinHandle<()>,
}

impl Process {
    fn start(address: SocketAddrV4, id: &str, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let is_running = Arc::new(AtomicBool::new(true));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let is_leaving = Arc::new(AtomicBool::new(false));
        let leaving = Arc::clone(&is_leaving);
        let (running, kept) = (Arc::clone(&is_running), Arc::clone(&streams));
        let (id, record) = (id.to_owned(), record.clone());
        let thread = thread::spawn(move || {
            while running.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        kept.lock().unwrap().extend(stream.try_clone());
                        let (id, record) = (id.clone(), record.clone());
                        let leaving = Arc::clone(&leaving);
                        thread::spawn(move || serve(Wire::new(stream), &id, &leaving, &record));
                    }
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        thread::sleep(Duration::from_millis(1));
                    }
                    Err(_) => return,
                }
            }
        });
        Ok(Self {
            is_running,
            is_leaving,
            streams,
            thread,
        })
    }

    /// From now on its status checks fail and its answers close their connections.
    fn leave(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    fn end(self) {
        self.is_running.store(false, Ordering::Relaxed);
        let _ = self.thread.join();
        for stream in self.streams.lock().unwrap().iter() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(mut wire: Wire, own: &str, leaving: &AtomicBool, record: &Record) -> io::Result<()> {
    while let Some(head) = wire.head()? {
        wire.body(&head)?;
        let is_leaving = leaving.load(Ordering::Relaxed);
        if head.first.contains(" /health ") {
            let instance = name("instance");
            let status = if is_leaving {
                "503 Service Unavailable"
            } else {
                "200 OK"
            };
            let head = format!("HTTP/1.1 {status}\r\n{instance}: {own}\r\n");
            write!(wire.stream, "{head}Content-Length: 0\r\n\r\n")?;
            continue;
        }
        let id = head.field(name("request-id")).unwrap_or("").to_owned();
        let (key, seal) = (name("request-id"), name("seal"));
        if is_for_another(&head, own) {
            record.add(&format!("server {own}: {id} is for another instance, 421"));
            let head = format!("HTTP/1.1 421 Misdirected Request\r\n{key}: {id}\r\n");
            write!(wire.stream, "{head}Content-Length: 0\r\n\r\n")?;
            continue;
        }
        record.add(&format!("server {own}: runs {id}"));
        thread::sleep(WORK);
        let is_last = leaving.load(Ordering::Relaxed);
        let close = if is_last { "Connection: close\r\n" } else { "" };
        let head = format!("HTTP/1.1 200 OK\r\n{key}: {id}\r\n{seal}: seal-{id}\r\n{close}");
        write!(wire.stream, "{head}Content-Length: 2\r\n\r\nok")?;
        if is_last {
            // Another handle of the connection is kept for the end of the process.
            return wire.stream.shutdown(Shutdown::Both);
        }
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

fn entry(address: SocketAddrV4, state: &'static str, born: u64, seq: u32) -> Entry {
    Entry {
        service: "portal",
        address,
        center: 0,
        slots: 6,
        state,
        born: Some(born),
        seq,
    }
}

/// Runs the case; returns whether the rule held.
fn run(path: &str, trouble: Trouble) -> io::Result<bool> {
    let record = Record::create(path)?;
    let mut site = Site::prepare(&["west"])?;
    let addresses: Vec<SocketAddrV4> = (0..SERVERS)
        .map(|number| free_address(&site, number))
        .collect::<io::Result<_>>()?;
    let mut others = Vec::new();
    for number in 1..SERVERS {
        let (id, address) = (format!("i-{number}"), addresses[usize::from(number)]);
        others.push(Process::start(address, &id, &record)?);
        site.write_entry(&id, &entry(address, "ready", unix_ms() - 3_600_000, 1));
    }
    site.store.put(name("config-key"), &configuration());
    site.start_gateway(0, 0)?;
    site.wait_ready(0)?;

    let address = addresses[0];
    let mut process = Process::start(address, REBORN, &record)?;
    let start = Instant::now();
    let mut born = unix_ms();
    site.write_entry(REBORN, &entry(address, "ready", born, 1));
    record.add(&format!("server {REBORN}: started, ready, born {born}"));

    let callers = Callers::start(site.callers(0));
    if trouble != Trouble::None {
        if trouble == Trouble::CrashAndStep {
            wait_until(start + STEP_AT);
            record.add(&format!(
                "clock of {REBORN}: set back by {} ms, for 6 s",
                CLOCK_STEP.as_millis()
            ));
        }
        wait_until(start + CRASH_AT);
        process.end();
        record.add(&format!("server {REBORN}: ended without a word"));
        wait_until(start + RESTART_AT);
        process = Process::start(address, REBORN, &record)?;
        let step = match trouble {
            Trouble::CrashAndStep => CLOCK_STEP.as_millis() as u64,
            Trouble::None | Trouble::Crash => 0,
        };
        born = unix_ms() - step;
        site.write_entry(REBORN, &entry(address, "ready", born, 1));
        record.add(&format!(
            "server {REBORN}: started again under its id, ready, born {born}"
        ));
    }
    wait_until(start + LEAVE_AT);
    process.leave();
    site.write_entry(REBORN, &entry(address, "draining", born, 2));
    let confirmed = record.seconds();
    record.add(&format!(
        "server {REBORN}: draining; the store has confirmed it"
    ));
    thread::sleep(SERVES_FOR);
    process.end();
    site.remove_entry(REBORN);
    record.add(&format!("server {REBORN}: ended as planned, entry gone"));
    thread::sleep(Duration::from_secs(1));
    callers.end(&record);
    drop(others);
    let limit = confirmed + DRAIN_TIME.as_secs_f64();
    let marker = format!("server {REBORN}: runs ");
    let late = record.times_of(&marker).filter(|at| *at > limit).count();
    record.add(&format!(
        "{late} requests reached {REBORN} later than {} ms after it was confirmed to be draining",
        DRAIN_TIME.as_millis()
    ));
    Ok(late == 0)
}

fn wait_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

fn free_address(site: &Site, number: u8) -> io::Result<SocketAddrV4> {
    let ip = site.ip(100 + number);
    let port = TcpListener::bind((ip, 0))?.local_addr()?.port();
    Ok(SocketAddrV4::new(ip, port))
}

/// Callers that each send requests one after the other.
struct Callers {
    is_running: Arc<AtomicBool>,
    answers: Vec<thread::JoinHandle<Vec<String>>>,
}

impl Callers {
    fn start(address: SocketAddrV4) -> Self {
        let is_running = Arc::new(AtomicBool::new(true));
        let answers = (0..CALLERS).map(|caller| {
            let running = Arc::clone(&is_running);
            thread::spawn(move || call_on(address, caller, &running))
        });
        let answers = answers.collect();
        Self {
            is_running,
            answers,
        }
    }

    /// Records the answers that were no success, and the number of all.
    fn end(self, record: &Record) {
        self.is_running.store(false, Ordering::Relaxed);
        let callers = self.answers.into_iter();
        let answers = callers.flat_map(|caller| caller.join().unwrap_or_default());
        let answers: Vec<String> = answers.collect();
        let mut served = 0;
        for answer in &answers {
            if answer.contains(" 200 ") {
                served += 1;
            } else {
                record.add(&format!("client: {answer}"));
            }
        }
        record.add(&format!(
            "clients: {served} of {} requests got 200",
            answers.len()
        ));
    }
}

/// Sends requests until the callers are told to end; returns their answers.
fn call_on(address: SocketAddrV4, caller: u32, running: &AtomicBool) -> Vec<String> {
    let mut answers = Vec::new();
    let mut number = 0;
    while running.load(Ordering::Relaxed) {
        let id = format!("buy-{caller}-{number}");
        let answer = send(address, number, &id);
        answers.push(answer.unwrap_or_else(|error| format!("{id} got {error}")));
        number += 1;
        thread::sleep(REQUEST_PAUSE);
    }
    answers
}

fn send(address: SocketAddrV4, number: u32, id: &str) -> io::Result<String> {
    let mut wire = Wire::new(connect(address, None)?);
    write!(
        wire.stream,
        "POST /buy/{number} HTTP/1.1\r\nHost: a.example\r\n{}: {id}\r\n{}: 2500\r\n\
         Content-Length: 4\r\n\r\nitem",
        name("request-id"),
        name("deadline")
    )?;
    let head = wire.head()?.ok_or(ErrorKind::UnexpectedEof)?;
    wire.body(&head)?;
    Ok(format!("{id} got `{}`", head.first))
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
