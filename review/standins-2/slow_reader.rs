//! Clients that stop reading for some seconds lose their answers at a machine that is stopped as
//! planned.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::documents::{HOST, PATH, ServerEntry, stream_config};
use crate::gateway::{Deployment, Zone, free_ports};
use crate::http::Connection;
use crate::names::name;
use crate::record::Record;
use crate::small_window::connect_with_buffer;
use crate::stage::Stage;
use crate::store::Store;

const SERVICE: &str = "onyx-review";
const ZONES: [Zone; 1] = [Zone {
    name: "hanoi-a",
    region: "hanoi",
}];
const SERVERS: u8 = 3;
/// Events of an answer, their bytes, and the time from one to the next.
const EVENTS: usize = 120;
const EVENT_BYTES: usize = 450;
const EVENT_PAUSE: Duration = Duration::from_millis(30);
const CLIENTS: usize = 12;
const BUDGET: Duration = Duration::from_secs(12);
/// Receive buffer of a client.
const WINDOW: i32 = 4096;
/// When a client stops reading, counted from its request, and for how long.
const READS_FOR: Duration = Duration::from_millis(500);
const STALL: Duration = Duration::from_millis(3000);
/// When the gateway gets SIGTERM, counted from the requests.
const STOPPED_AFTER: Duration = Duration::from_millis(300);

pub fn play(record: &Record, is_disturbed: bool) -> io::Result<Verdict> {
    let stage = Stage::new()?;
    let store = Store::start(stage.ip(1))?;
    store.put(name("config-key"), &stream_config(SERVICE));
    for host in 21..21 + SERVERS {
        let listener = TcpListener::bind((stage.ip(host), 0))?;
        let id = format!("i-63c74{host}");
        let entry = ServerEntry {
            service: SERVICE,
            zone: ZONES[0].name,
            address: listener.local_addr()?,
            state: "ready",
            slots: 48,
            born: None,
        };
        store.put(&format!("{}{id}", name("server-prefix")), &entry.text());
        let record = record.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, record) = (id.clone(), record.clone());
                thread::spawn(move || {
                    if let Err(error) = serve(&id, &mut Connection::new(stream), &record) {
                        record.note(format!("server {id}: a channel ended: {error}"));
                    }
                });
            }
        });
    }
    let machines: Vec<_> = [11, 12].map(|host| (stage.ip(host), ZONES[0])).into();
    let addresses: Vec<_> = machines.iter().map(|(ip, _)| *ip).collect();
    let deployment = Deployment {
        zones: &ZONES,
        store: store.address(),
        machines,
        first_port: free_ports(&addresses)?,
        grace_s: 8,
        budget_extra: 162,
        contracts: "base,drain,config,cost,retry,recover,health,pool,engine,stream,places,platform",
        folder: stage.folder(),
    };
    let gateways = deployment.start()?;
    // Longer than `ContactMs`.
    thread::sleep(Duration::from_secs(7));
    let whole: Arc<Mutex<usize>> = Arc::default();
    let clients = (0..CLIENTS).map(|number| {
        let (gateway, record, whole) = (gateways[0].callers(), record.clone(), Arc::clone(&whole));
        thread::spawn(move || {
            let request_id = format!("{number:08x}");
            record.note(format!("client: {request_id} sent"));
            let read = read_stream(gateway, &request_id, is_disturbed);
            match read {
                Ok(events) if events == EVENTS => {
                    *whole.lock().expect("the count's lock") += 1;
                    record.note(format!("client: {request_id} got its whole answer"));
                }
                Ok(events) => {
                    record.tell(format!("LOST: {request_id} ended after {events} events"))
                }
                Err(error) => record.tell(format!("LOST: {request_id}: {error}")),
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    thread::sleep(STOPPED_AFTER);
    gateways[0].terminate()?;
    record.note("the gateway gets SIGTERM");
    for client in clients {
        let _ = client.join();
    }
    let whole = *whole.lock().expect("the count's lock");
    record.tell(format!("{CLIENTS} requests, {whole} whole answers"));
    Ok(if whole == CLIENTS {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

/// Serves the streams of one channel.
fn serve(id: &str, connection: &mut Connection, record: &Record) -> io::Result<()> {
    while let Some(request) = connection.receive()? {
        if request.target() == name("health-path") {
            connection.send(&crate::http::response(
                "200 OK",
                &[(name("instance"), id)],
                b"",
            ))?;
            continue;
        }
        let request_id = request.header(name("request-id")).unwrap_or_default();
        let first = request.header(name("last-event"));
        let first = first.and_then(|id| id.parse().ok()).unwrap_or(0) + 1;
        record.note(format!(
            "server {id} runs {request_id} from event {first} on"
        ));
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}: {request_id}\r\n{}: {id}.{request_id}\r\n\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            name("request-id"),
            name("seal"),
        );
        connection.send(head.as_bytes())?;
        for number in first..=EVENTS {
            thread::sleep(EVENT_PAUSE);
            let start = format!("id: {number}\ndata: ");
            let filler = "x".repeat(EVENT_BYTES - start.len() - 2);
            let event = format!("{start}{filler}\n\n");
            connection.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        connection.send(b"0\r\n\r\n")?;
        record.note(format!("server {id} has answered {request_id}"));
    }
    Ok(())
}

/// Sends a request and reads its answer; returns the number of events of a complete one.
fn read_stream(gateway: SocketAddr, request_id: &str, stalls: bool) -> io::Result<usize> {
    let mut stream: TcpStream = connect_with_buffer(gateway, WINDOW)?;
    stream.set_read_timeout(Some(BUDGET))?;
    let request = format!(
        "POST {PATH} HTTP/1.1\r\nhost: {HOST}\r\n{}: {request_id}\r\n{}: {}\r\ncontent-length: 4\r\n\r\nbody",
        name("request-id"),
        name("time-left"),
        BUDGET.as_millis(),
    );
    stream.write_all(request.as_bytes())?;
    let sent = Instant::now();
    let mut has_stalled = !stalls;
    let mut received = Vec::new();
    let mut buffer = [0; 1024];
    loop {
        if !has_stalled && sent.elapsed() >= READS_FOR {
            has_stalled = true;
            thread::sleep(STALL);
        }
        let count = stream.read(&mut buffer)?;
        received.extend_from_slice(&buffer[..count]);
        let text = String::from_utf8_lossy(&received);
        let events = text.matches("data: ").count();
        if text.ends_with("0\r\n\r\n") && events == EVENTS {
            return Ok(events);
        }
        if count == 0 {
            let error = format!("the channel was closed after {events} events");
            return Err(io::Error::other(error));
        }
    }
}
