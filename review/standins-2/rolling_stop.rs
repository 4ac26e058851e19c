//! Machines of two regions are stopped in turn. The one that relays streams ends before its grace
//! does, and they are lost at the other one, which has accepted them and has most of its grace left.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::documents::{HOST, PATH, ServerEntry, home_config};
use crate::gateway::{Deployment, Zone, free_ports};
use crate::http::{Connection, response};
use crate::names::name;
use crate::record::Record;
use crate::stage::Stage;
use crate::store::Store;

const SERVICE: &str = "onyx-inzerat";
/// Zone of the callers, and that of the servers, in which the route is at home.
const NEAR: Zone = Zone {
    name: "tn-hala",
    region: "sk-zapad",
};
const HOME: Zone = Zone {
    name: "bb-hala",
    region: "sk-stred",
};
const SERVERS: u8 = 4;
const CLIENTS: usize = 12;
/// Events of every other answer, and the time before each: 7.6 s and 9.6 s in all.
const EVENTS: [usize; 2] = [95, 120];
const EVENT_PAUSE: Duration = Duration::from_millis(80);
/// Number of events that fit into what is left of a machine's grace when it ends its process.
const NEARLY: usize = 7;
/// Time budget of a request, and timeout of its route.
const BUDGET: Duration = Duration::from_secs(12);
/// Time from the requests to the first SIGTERM, and from one SIGTERM to the next.
const STOPPED_AFTER: Duration = Duration::from_millis(300);
const GAP: Duration = Duration::from_secs(2);
const GRACE: Duration = Duration::from_secs(8);

/// How a request ended.
struct Ending {
    at: Instant,
    took: Duration,
    is_whole: bool,
    /// Number of events that are missing.
    missing: usize,
}

pub fn play(record: &Record, is_disturbed: bool) -> io::Result<Verdict> {
    let stage = Stage::new()?;
    let store = Store::start(stage.ip(1))?;
    store.put(name("config-key"), &home_config(SERVICE, HOME.region));
    // When the last answer of a server is written.
    let served: Arc<Mutex<Option<Instant>>> = Arc::default();
    for host in 21..21 + SERVERS {
        let listener = TcpListener::bind((stage.ip(host), 0))?;
        let id = format!("i-63c74{host}");
        let entry = ServerEntry {
            service: SERVICE,
            zone: HOME.name,
            address: listener.local_addr()?,
            state: "ready",
            slots: 128,
            born: None,
        };
        store.put(&format!("{}{id}", name("server-prefix")), &entry.text());
        let (record, served) = (record.clone(), Arc::clone(&served));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, record, served) = (id.clone(), record.clone(), Arc::clone(&served));
                thread::spawn(move || {
                    if let Err(error) = serve(&id, &mut Connection::new(stream), &record, &served) {
                        record.note(format!("server {id}: a channel ended: {error}"));
                    }
                });
            }
        });
    }
    let zones = [NEAR, HOME];
    let machines: Vec<_> = [(11, NEAR), (12, NEAR), (13, HOME), (14, HOME)]
        .map(|(host, zone)| (stage.ip(host), zone))
        .into();
    let addresses: Vec<_> = machines.iter().map(|(ip, _)| *ip).collect();
    let deployment = Deployment {
        zones: &zones,
        store: store.address(),
        machines,
        first_port: free_ports(&addresses)?,
        grace_s: GRACE.as_secs(),
        budget_extra: 162,
        contracts: "base,drain,config,cost,retry,recover,health,pool,engine,stream,places,platform",
        folder: stage.folder(),
    };
    let gateways = deployment.start()?;
    // Longer than `ContactMs`.
    thread::sleep(Duration::from_secs(7));
    let clients = (0..CLIENTS).map(|number| {
        let (gateway, record) = (gateways[0].callers(), record.clone());
        thread::spawn(move || {
            let request_id = format!("{number:08x}");
            record.note(format!("client: {request_id} sent"));
            let sent = Instant::now();
            let read = read_stream(gateway, &request_id);
            let expected = expected_events(&request_id);
            let (is_whole, events) = match read {
                Ok((is_whole, events)) => (is_whole && events == expected, events),
                Err(error) => {
                    record.note(format!("client: {request_id}: {error}"));
                    (false, 0)
                }
            };
            record.note(format!(
                "client: {request_id} got {events} of {expected} events"
            ));
            Ending {
                at: Instant::now(),
                took: sent.elapsed(),
                is_whole,
                missing: expected.saturating_sub(events),
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    thread::sleep(STOPPED_AFTER);
    let mut accepted_by = None;
    if is_disturbed {
        let order = [
            (2, "the first machine of the servers' region"),
            (3, "the second machine of the servers' region"),
            (0, "the machine that has accepted the requests"),
        ];
        for (index, text) in order {
            gateways[index].terminate()?;
            record.note(format!("SIGTERM to {text}"));
            if index == 0 {
                accepted_by = Some(Instant::now());
            }
            thread::sleep(GAP);
        }
    }
    let endings: Vec<Ending> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .collect();
    // The excuse of the rule: a server that works in the last sixth of the grace.
    let last_sixth = accepted_by.map(|at| at + GRACE * 5 / 6);
    let served = *served.lock().expect("the time's lock");
    let is_excused = served >= last_sixth && last_sixth.is_some();
    let lost = endings.iter().filter(|ending| {
        let is_planned = accepted_by.is_none_or(|at| ending.at <= at + GRACE);
        // The relaying machine's grace would have sufficed.
        let was_nearly_done = ending.missing <= NEARLY;
        !ending.is_whole && was_nearly_done && is_planned && ending.took < BUDGET && !is_excused
    });
    let lost = lost.count();
    let whole = endings.iter().filter(|ending| ending.is_whole).count();
    record.tell(format!(
        "{CLIENTS} requests, {whole} whole answers; LOST: {lost} others inside the grace of all machines"
    ));
    Ok(if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Number of events of the answer to a request.
fn expected_events(request_id: &str) -> usize {
    let number = usize::from_str_radix(request_id, 16).unwrap_or(0);
    EVENTS[number % EVENTS.len()]
}

/// Serves the streams of one channel, and notes when the last one is due.
fn serve(
    id: &str,
    connection: &mut Connection,
    record: &Record,
    served: &Mutex<Option<Instant>>,
) -> io::Result<()> {
    while let Some(request) = connection.receive()? {
        if request.target() == name("health-path") {
            connection.send(&response("200 OK", &[(name("instance"), id)], b""))?;
            continue;
        }
        let request_id = request.header(name("request-id")).unwrap_or_default();
        record.note(format!("server {id} runs {request_id}"));
        let events = expected_events(request_id);
        let due = Instant::now() + EVENT_PAUSE * u32::try_from(events).unwrap_or(0);
        {
            let mut latest = served.lock().expect("the time's lock");
            *latest = (*latest).max(Some(due));
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}: {request_id}\r\n{}: {id}.{request_id}\r\n\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            name("request-id"),
            name("seal"),
        );
        connection.send(head.as_bytes())?;
        for number in 1..=events {
            thread::sleep(EVENT_PAUSE);
            let event = format!("id: {number}\ndata: {number:050}\n\n");
            connection.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        connection.send(b"0\r\n\r\n")?;
        record.note(format!("server {id} has answered {request_id}"));
    }
    Ok(())
}

/// Sends a request and reads its answer. Returns whether it is complete, and its number of events.
fn read_stream(gateway: SocketAddr, request_id: &str) -> io::Result<(bool, usize)> {
    let mut stream = TcpStream::connect(gateway)?;
    stream.set_read_timeout(Some(BUDGET))?;
    let request = format!(
        "POST {PATH} HTTP/1.1\r\nhost: {HOST}\r\n{}: {request_id}\r\n{}: {}\r\n{}: m\r\n\
         {}: 1460,700\r\n{}: 5c1e07a2:800,91bd3f06:410,{request_id}:250\r\n\
         content-length: 4\r\n\r\nbody",
        name("request-id"),
        name("time-left"),
        BUDGET.as_millis(),
        name("model"),
        name("prompt-tokens"),
        name("prompt-parts"),
    );
    stream.write_all(request.as_bytes())?;
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let count = stream.read(&mut buffer)?;
        received.extend_from_slice(&buffer[..count]);
        let text = String::from_utf8_lossy(&received);
        let events = text.matches("data: ").count();
        if text.ends_with("0\r\n\r\n") {
            return Ok((true, events));
        }
        if count == 0 {
            return Ok((false, events));
        }
    }
}
