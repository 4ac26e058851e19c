//! Stand-in of a plain backend server: it runs requests and answers them with its seal.
//!
//! It may garble one answer, which is then followed by a second one late, in the place of the
//! answer that is due next on that channel.

use std::collections::BTreeMap;
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Connection, Message, response};
use crate::names::name;
use crate::record::Record;

/// What a server does with one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The request has arrived and was not rejected.
    Arrived,
    /// The server has begun to run it.
    Ran,
    /// The server has sent its whole answer.
    Answered,
    /// The server ended before its answer.
    Cut,
}

/// A step with its time.
#[derive(Clone, Debug)]
pub struct Entry {
    pub at_ms: u64,
    pub request_id: String,
    pub step: Step,
}

/// How a server serves.
#[derive(Clone, Debug)]
pub struct ServerPlan {
    /// Its id in the platform's store.
    pub id: String,
    /// Time that a request runs.
    pub work: Duration,
    /// While garbled, each answer with a multiple of this number is followed by a second one.
    pub garble_each: usize,
}

struct Shared {
    plan: ServerPlan,
    record: Record,
    entries: Mutex<Vec<Entry>>,
    is_garbled: AtomicBool,
    has_ended: AtomicBool,
    answers: AtomicUsize,
    channels: Mutex<BTreeMap<usize, TcpStream>>,
    next_channel: AtomicUsize,
}

/// A running server.
#[derive(Clone)]
pub struct Server {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl Server {
    /// Starts it at `address`; port 0 stands for a free one.
    pub fn start(address: SocketAddr, plan: ServerPlan, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let server = Self {
            shared: Arc::new(Shared {
                plan,
                record: record.clone(),
                entries: Mutex::default(),
                is_garbled: AtomicBool::new(false),
                has_ended: AtomicBool::new(false),
                answers: AtomicUsize::new(0),
                channels: Mutex::default(),
                next_channel: AtomicUsize::new(0),
            }),
            address: listener.local_addr()?,
        };
        let accepting = server.clone();
        thread::spawn(move || accepting.accept(&listener));
        Ok(server)
    }

    /// Starts it on a free port of `ip`.
    pub fn start_on(ip: IpAddr, plan: ServerPlan, record: &Record) -> std::io::Result<Self> {
        Self::start(SocketAddr::new(ip, 0), plan, record)
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn id(&self) -> &str {
        &self.shared.plan.id
    }

    /// Begins or ends the disturbance.
    pub fn set_garbled(&self, is_garbled: bool) {
        self.shared.is_garbled.store(is_garbled, Ordering::SeqCst);
    }

    /// Number of answers so far.
    pub fn answers(&self) -> usize {
        self.shared.answers.load(Ordering::SeqCst)
    }

    /// What it has done so far.
    pub fn entries(&self) -> Vec<Entry> {
        self.shared
            .entries
            .lock()
            .expect("the server's lock")
            .clone()
    }

    /// Ends it: its port is closed and its channels are reset, whatever it is running.
    pub fn end(&self) {
        self.shared.has_ended.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, which closes the port.
        let _ = TcpStream::connect(self.address);
        let channels = self.shared.channels.lock().expect("the server's lock");
        for channel in channels.values() {
            let _ = channel.shutdown(Shutdown::Both);
        }
    }

    fn has_ended(&self) -> bool {
        self.shared.has_ended.load(Ordering::SeqCst)
    }

    fn accept(&self, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            if self.has_ended() {
                return;
            }
            let number = self.shared.next_channel.fetch_add(1, Ordering::SeqCst);
            if let Ok(handle) = stream.try_clone() {
                let mut channels = self.shared.channels.lock().expect("the server's lock");
                channels.insert(number, handle);
            }
            let server = self.clone();
            thread::spawn(move || {
                server.serve(Connection::new(stream));
                let mut channels = server.shared.channels.lock().expect("the server's lock");
                channels.remove(&number);
            });
        }
    }

    fn serve(&self, mut connection: Connection) {
        let mut owes_extra = false;
        while let Ok(Some(request)) = connection.receive() {
            let sent = if request.target() == name("health-path") {
                let instance = (name("instance"), self.id());
                connection.send(&response("200 OK", &[instance], b""))
            } else if request.header(name("expected-server")) != Some(self.id()) {
                let instance = (name("instance"), self.id());
                connection.send(&response("421 Misdirected Request", &[instance], b""))
            } else {
                self.run(&mut connection, &request, &mut owes_extra)
            };
            if sent.is_err() {
                return;
            }
        }
    }

    /// Runs a request and answers it.
    fn run(
        &self,
        connection: &mut Connection,
        request: &Message,
        owes_extra: &mut bool,
    ) -> std::io::Result<()> {
        let request_id = request.header(name("request-id")).unwrap_or_default();
        self.note(request_id, Step::Arrived);
        self.note(request_id, Step::Ran);
        if std::mem::take(owes_extra) {
            let not_run = (name("not-run"), "1");
            let extra = response("503 Service Unavailable", &[not_run], b"");
            self.shared.record.note(format!(
                "server {} sends the extra answer while it runs {request_id}",
                self.id()
            ));
            connection.send(&extra)?;
        }
        thread::sleep(self.shared.plan.work);
        if self.has_ended() {
            self.note(request_id, Step::Cut);
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        let seal = format!("{}.{request_id}", self.id());
        let headers = [
            (name("request-id"), request_id),
            (name("seal"), seal.as_str()),
            (name("load"), "1,0,6"),
            ("keep-alive", "timeout=10"),
        ];
        let sent = connection.send(&response("200 OK", &headers, b"the server's bytes"));
        self.note(request_id, Step::Answered);
        let answers = self.shared.answers.fetch_add(1, Ordering::SeqCst) + 1;
        let each = self.shared.plan.garble_each;
        *owes_extra = each > 0
            && answers.is_multiple_of(each)
            && self.shared.is_garbled.load(Ordering::SeqCst);
        sent
    }

    fn note(&self, request_id: &str, step: Step) {
        let at_ms = self.shared.record.now_ms();
        let record = &self.shared.record;
        record.note(format!("server {}: {request_id} {step:?}", self.id()));
        let mut entries = self.shared.entries.lock().expect("the server's lock");
        entries.push(Entry {
            at_ms,
            request_id: request_id.to_owned(),
            step,
        });
    }
}
