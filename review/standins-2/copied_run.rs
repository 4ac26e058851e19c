//! The answer of a run that may happen once is lost on its way. The gateway continues the run from
//! its copy while the first server is still at work on it.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::documents::{HOST, PATH, ServerEntry, once_config};
use crate::gateway::{Deployment, Zone, free_ports};
use crate::http::{Connection, Message, response};
use crate::names::name;
use crate::record::Record;
use crate::stage::Stage;
use crate::store::Store;

const SERVICE: &str = "caption-models";
const ZONES: [Zone; 1] = [Zone {
    name: "bne-hall-a",
    region: "brisbane",
}];
const SERVERS: u8 = 4;
/// Events of an answer, the time from one to the next, and the tokens of a prompt and of an answer.
const EVENTS: u64 = 100;
const EVENT_PAUSE: Duration = Duration::from_millis(30);
const TOKENS: &str = "200,700";
const BUDGET: Duration = Duration::from_secs(12);
/// One of four servers crashes (0.25) for this long.
const DOWN: Duration = Duration::from_millis(4500);
/// While answers are lost, two servers of four (0.5) lose each answer of this number (0.33).
const LOSE_EACH: usize = 3;
const LOSERS: usize = 2;
const LOST_FOR: Duration = Duration::from_secs(5);
/// Event after which an answer is lost.
const LOST_AFTER: u64 = 20;
/// Bound of the rule.
const BOUND_MS: u64 = 400;

/// A run of a request at a server.
#[derive(Clone, Debug)]
struct Run {
    request_id: String,
    server: String,
    began_ms: u64,
    ended_ms: Option<u64>,
    is_continued: bool,
}

/// What the servers of the service share: the copies that they keep of each other's runs.
#[derive(Default)]
struct Service {
    /// Runs that have a copy: address of the server that has it, and of the source with the id.
    copies: Mutex<BTreeSet<(String, String)>>,
    runs: Mutex<Vec<Run>>,
}

#[derive(Clone)]
struct Engine {
    id: String,
    address: SocketAddr,
    service: Arc<Service>,
    record: Record,
    loses_answers: Arc<AtomicBool>,
    has_crashed: Arc<AtomicBool>,
    answers: Arc<AtomicUsize>,
    channels: Arc<Mutex<BTreeMap<usize, TcpStream>>>,
}

impl Engine {
    fn start(
        id: &str,
        address: SocketAddr,
        service: &Arc<Service>,
        record: &Record,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let engine = Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            service: Arc::clone(service),
            record: record.clone(),
            loses_answers: Arc::default(),
            has_crashed: Arc::default(),
            answers: Arc::default(),
            channels: Arc::default(),
        };
        let accepting = engine.clone();
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                if accepting.has_crashed.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(handle) = stream.try_clone() {
                    let mut channels = accepting.channels.lock().expect("the channels' lock");
                    channels.insert(number, handle);
                }
                let engine = accepting.clone();
                thread::spawn(move || engine.serve(Connection::new(stream)));
            }
        });
        Ok(engine)
    }

    /// Ends the process: its port is closed, its channels are reset, and its runs end.
    fn crash(&self) {
        self.has_crashed.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for channel in self.channels.lock().expect("the channels' lock").values() {
            let _ = channel.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.receive() {
            let instance = (name("instance"), self.id.as_str());
            let sent = if request.target() == name("health-path") {
                connection.send(&response("200 OK", &[instance], b""))
            } else if request.header(name("expected-server")) == Some(self.id.as_str()) {
                self.answer(&mut connection, &request)
            } else {
                connection.send(&response("421 Misdirected Request", &[instance], b""))
            };
            if sent.is_err() {
                return;
            }
        }
    }

    /// Runs a request. The run goes to its end although its answer is lost.
    fn answer(&self, connection: &mut Connection, request: &Message) -> io::Result<()> {
        let request_id = request.header(name("request-id")).unwrap_or_default();
        let copy_from = request.header(name("copy-from"));
        if let Some(source) = copy_from {
            let copy = (self.address.to_string(), source.to_owned());
            let is_kept = self
                .service
                .copies
                .lock()
                .expect("the copies' lock")
                .remove(&copy);
            if !is_kept {
                let not_run = (name("not-run"), "1");
                let id = (name("request-id"), request_id);
                return connection.send(&response("503 Service Unavailable", &[not_run, id], b""));
            }
        }
        if let Some(target) = request.header(name("copy-to")) {
            let copy = (target.to_owned(), format!("{}/{request_id}", self.address));
            self.service
                .copies
                .lock()
                .expect("the copies' lock")
                .insert(copy);
        }
        let first = request.header(name("last-event"));
        let first = first.and_then(|id| id.parse().ok()).unwrap_or(0) + 1;
        let run = self.begin(request_id, copy_from.is_some());
        let answers = self.answers.fetch_add(1, Ordering::SeqCst);
        let loses = answers.is_multiple_of(LOSE_EACH)
            && copy_from.is_none()
            && self.loses_answers.load(Ordering::SeqCst);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}: {request_id}\r\n{}: {}.{request_id}\r\n\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            name("request-id"),
            name("seal"),
            self.id,
        );
        let mut sent = connection.send(head.as_bytes());
        for number in first..=EVENTS {
            thread::sleep(EVENT_PAUSE);
            if self.has_crashed.load(Ordering::SeqCst) {
                break;
            }
            if loses && number == LOST_AFTER + 1 {
                self.record.note(format!(
                    "server {}: the answer to {request_id} is lost",
                    self.id
                ));
                let _ = connection.stream().shutdown(Shutdown::Both);
                sent = Err(io::ErrorKind::ConnectionReset.into());
            }
            if sent.is_ok() {
                let event = format!("id: {number}\ndata: {}\n\n", "x".repeat(50));
                sent = connection.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
            }
            // A run whose channel its caller has closed is dropped.
            if sent.is_err() && !loses {
                break;
            }
        }
        if sent.is_ok() {
            sent = connection.send(b"0\r\n\r\n");
        }
        self.end(run);
        sent
    }

    fn begin(&self, request_id: &str, is_continued: bool) -> usize {
        let began_ms = self.record.now_ms();
        let how = if is_continued { "continues" } else { "runs" };
        self.record
            .note(format!("server {} {how} {request_id}", self.id));
        let mut runs = self.service.runs.lock().expect("the runs' lock");
        runs.push(Run {
            request_id: request_id.to_owned(),
            server: self.id.clone(),
            began_ms,
            ended_ms: None,
            is_continued,
        });
        runs.len() - 1
    }

    fn end(&self, run: usize) {
        let mut runs = self.service.runs.lock().expect("the runs' lock");
        let run = &mut runs[run];
        run.ended_ms = Some(self.record.now_ms());
        self.record
            .note(format!("server {} has ended {}", self.id, run.request_id));
    }
}

fn write_entry(store: &Store, engine: &Engine) {
    let entry = ServerEntry {
        service: SERVICE,
        zone: ZONES[0].name,
        address: engine.address,
        state: "ready",
        slots: 128,
        born: None,
    };
    store.put(
        &format!("{}{}", name("server-prefix"), engine.id),
        &entry.text(),
    );
}

pub fn play(record: &Record, is_disturbed: bool) -> io::Result<Verdict> {
    let stage = Stage::new()?;
    let store = Store::start(stage.ip(1))?;
    store.put(name("config-key"), &once_config(SERVICE));
    let service: Arc<Service> = Arc::default();
    let start = |id: &str, ip: IpAddr| -> io::Result<Engine> {
        let engine = Engine::start(id, SocketAddr::new(ip, 0), &service, record)?;
        write_entry(&store, &engine);
        Ok(engine)
    };
    let engines =
        (0..SERVERS).map(|number| start(&format!("i-5f01c{number}"), stage.ip(21 + number)));
    let engines: Vec<Engine> = engines.collect::<io::Result<_>>()?;
    let machines: Vec<_> = [11, 12].map(|host| (stage.ip(host), ZONES[0])).into();
    let addresses: Vec<_> = machines.iter().map(|(ip, _)| *ip).collect();
    let deployment = Deployment {
        zones: &ZONES,
        store: store.address(),
        machines,
        first_port: free_ports(&addresses)?,
        grace_s: 8,
        budget_extra: 54,
        contracts: "base,drain,config,cost,retry,recover,engine,stream,places,platform",
        folder: stage.folder(),
    };
    let gateways = deployment.start()?;
    thread::sleep(Duration::from_secs(2));
    let is_over: Arc<AtomicBool> = Arc::default();
    let clients = (0..40).map(|number| {
        let (gateway, record, is_over) =
            (gateways[0].callers(), record.clone(), Arc::clone(&is_over));
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(75) * number);
            for count in 0.. {
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                let request_id = format!("{number:02x}{count:06x}");
                let read = read_stream(gateway, &request_id);
                record.note(format!("client: {request_id} ended: {read:?}"));
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    thread::sleep(Duration::from_secs(14));
    if is_disturbed {
        let last = &engines[usize::from(SERVERS) - 1];
        record.note(format!("server {} crashes", last.id));
        last.crash();
        thread::sleep(Duration::from_millis(500));
        record.note("servers lose answers from now on");
        let set_losing = |loses| {
            for engine in &engines[..LOSERS] {
                engine.loses_answers.store(loses, Ordering::SeqCst);
            }
        };
        set_losing(true);
        thread::sleep(DOWN - Duration::from_millis(500));
        store.remove(&format!("{}{}", name("server-prefix"), last.id));
        start("i-5f01d9", stage.ip(31))?;
        thread::sleep(LOST_FOR.saturating_sub(DOWN - Duration::from_millis(500)));
        set_losing(false);
        record.note("the disturbances are over");
    } else {
        thread::sleep(Duration::from_secs(6));
    }
    thread::sleep(Duration::from_secs(3));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    drop(gateways);
    let runs = service.runs.lock().expect("the runs' lock").clone();
    Ok(judge(record, &runs))
}

fn judge(record: &Record, runs: &[Run]) -> Verdict {
    let continued: Vec<&Run> = runs.iter().filter(|run| run.is_continued).collect();
    let mut twice = 0;
    for run in &continued {
        let before =
            |other: &&Run| other.request_id == run.request_id && other.server != run.server;
        let Some(first) = runs.iter().find(before) else {
            continue;
        };
        let ended_ms = first.ended_ms.unwrap_or(u64::MAX);
        if ended_ms > run.began_ms + BOUND_MS {
            twice += 1;
            record.tell(format!(
                "TWICE: {} continued at {} at {} ms, and {} worked on it until {ended_ms} ms",
                run.request_id, run.server, run.began_ms, first.server
            ));
        }
    }
    record.tell(format!(
        "{} runs, {} continued from a copy, {twice} of them beside the first server",
        runs.len(),
        continued.len()
    ));
    if twice > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Sends a request and reads its answer; returns its number of events, and whether it is complete.
fn read_stream(gateway: SocketAddr, request_id: &str) -> io::Result<(usize, bool)> {
    let mut stream = TcpStream::connect(gateway)?;
    stream.set_read_timeout(Some(BUDGET))?;
    let request = format!(
        "POST {PATH} HTTP/1.1\r\nhost: {HOST}\r\n{}: {request_id}\r\n{}: {}\r\n{}: m\r\n{}: {TOKENS}\r\n\
         {}: {request_id}:200\r\ncontent-length: 4\r\n\r\nbody",
        name("request-id"),
        name("time-left"),
        BUDGET.as_millis(),
        name("model"),
        name("prompt-tokens"),
        name("prompt-parts"),
    );
    stream.write_all(request.as_bytes())?;
    let sent = Instant::now();
    let mut connection = Connection::new(stream);
    match connection.receive() {
        Ok(Some(answer)) => {
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            if answer.status() != 200 {
                thread::sleep(Duration::from_millis(500));
                return Err(io::Error::other(format!("status {}", answer.status())));
            }
            Ok((body.matches("data: ").count(), true))
        }
        Ok(None) => Ok((0, false)),
        Err(error) => Err(io::Error::other(format!(
            "{error} after {} ms",
            sent.elapsed().as_millis()
        ))),
    }
}
