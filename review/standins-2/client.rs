//! Stand-in of a client: it sends requests over a channel that it keeps, one at a time.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::names::name;
use crate::record::Record;

/// What a client sends.
#[derive(Clone, Debug)]
pub struct Traffic {
    pub gateway: SocketAddr,
    pub host: &'static str,
    pub path: &'static str,
    /// Time budget of each request.
    pub budget: Duration,
    /// Time from one request to the next.
    pub pause: Duration,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An answer with this status.
    Status(u16),
    /// The channel ended, or the time budget passed.
    Lost(String),
}

/// A request with its end.
#[derive(Clone, Debug)]
pub struct Sent {
    pub request_id: String,
    pub outcome: Outcome,
}

/// Running clients.
pub struct Clients {
    stop: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<Sent>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    /// Starts `count` clients.
    pub fn start(count: usize, traffic: &Traffic, record: &Record) -> Self {
        Self::start_at(&[traffic.gateway], count, traffic, record)
    }

    /// Starts clients of these gateways in turn.
    pub fn start_at(
        gateways: &[SocketAddr],
        count: usize,
        traffic: &Traffic,
        record: &Record,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let sent = Arc::new(Mutex::new(Vec::new()));
        let threads = (0..count).map(|number| {
            let (mut traffic, record) = (traffic.clone(), record.clone());
            traffic.gateway = gateways[number % gateways.len()];
            let (stop, sent) = (Arc::clone(&stop), Arc::clone(&sent));
            thread::spawn(move || {
                // Clients do not send in step.
                let share = u32::try_from(number).unwrap_or(0);
                let all = u32::try_from(count).unwrap_or(1);
                thread::sleep(traffic.pause * share / all);
                run_client(number, &traffic, &record, &stop, &sent);
            })
        });
        let threads = threads.collect();
        Self {
            stop,
            sent,
            threads,
        }
    }

    /// Stops the clients, and returns what they sent.
    pub fn finish(self) -> Vec<Sent> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        let sent = self.sent.lock().expect("the clients' lock");
        sent.clone()
    }
}

fn run_client(
    number: usize,
    traffic: &Traffic,
    record: &Record,
    stop: &AtomicBool,
    sent: &Mutex<Vec<Sent>>,
) {
    let mut channel = None;
    let mut due = Instant::now();
    for count in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let request_id = format!("{number:02x}{count:06x}");
        let at_ms = record.now_ms();
        let outcome = exchange(&mut channel, traffic, &request_id);
        record.note(format!(
            "client: {request_id} sent at {at_ms} ms, {outcome:?}"
        ));
        sent.lock().expect("the clients' lock").push(Sent {
            request_id,
            outcome,
        });
        due += traffic.pause;
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
}

fn exchange(channel: &mut Option<Connection>, traffic: &Traffic, request_id: &str) -> Outcome {
    let exchanged = try_exchange(channel, traffic, request_id);
    exchanged.unwrap_or_else(|error| {
        *channel = None;
        Outcome::Lost(error.to_string())
    })
}

fn try_exchange(
    channel: &mut Option<Connection>,
    traffic: &Traffic,
    request_id: &str,
) -> std::io::Result<Outcome> {
    if channel.is_none() {
        let stream = TcpStream::connect(traffic.gateway)?;
        stream.set_read_timeout(Some(traffic.budget + Duration::from_millis(500)))?;
        *channel = Some(Connection::new(stream));
    }
    let Some(connection) = channel else {
        return Ok(Outcome::Lost("no channel".to_owned()));
    };
    let request = format!(
        "POST {} HTTP/1.1\r\nhost: {}\r\n{}: {request_id}\r\n{}: {}\r\ncontent-length: 4\r\n\r\nbody",
        traffic.path,
        traffic.host,
        name("request-id"),
        name("time-left"),
        traffic.budget.as_millis(),
    );
    connection.send(request.as_bytes())?;
    let Some(answer) = connection.receive()? else {
        *channel = None;
        return Ok(Outcome::Lost("the channel was closed".to_owned()));
    };
    let closes = answer
        .header("connection")
        .is_some_and(|text| text == "close");
    if closes {
        *channel = None;
    }
    Ok(Outcome::Status(answer.status()))
}
