//! A small test site: real gateway processes and in-process stubs, each on loopback
//! addresses of its own.
#![allow(dead_code)]

pub mod versioned;

use std::fmt::Write as _;
use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use onyxfall_adapter::stub::{
    RouteShape, RouteText, ServiceText, TeamText, caller_headers, config_key, document_body,
    document_with_teams, server_body, server_key, set_prompt_parts, set_prompt_size,
    with_body_limit, with_time_limits,
};
use onyxfall_fakes::{ServerStub, StoreStub};
use onyxfall_fleet::{EngineLimits, ServerPhase, ServerRecord, StartTime};
use tokio::net::TcpSocket;

pub const HOST: &str = "a.example";
pub const SERVICE: &str = "svc";
/// A service of model servers.
pub const MODELS: &str = "models";
const ENGINE: EngineLimits = EngineLimits {
    slots: 8,
    memory_tokens: 100_000,
    token_bytes: 1000,
    keeps_backups: true,
};
/// Longest time for a site to become ready. It is generous because test machines are
/// shared.
const READY_LIMIT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Tokens of prompts and of their responses, and of each part of a prompt.
const PROMPT_TOKENS: (u32, u32) = (300, 20);
const PART_TOKENS: u32 = 100;
/// Timeout of the routes.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(3);
const CALL_LIMIT: Duration = Duration::from_secs(20);

static NEXT_SITE: AtomicU32 = AtomicU32::new(1);
/// Held while ports are probed and while a process is started. A child process holds its
/// parent's listening sockets until it executes its program, so a port that was just closed
/// could still be in use when its gateway binds it.
static SPAWNING: Mutex<()> = Mutex::new(());

/// Ports of a gateway, the same on every VM of a site.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub callers: u16,
    pub ready: u16,
    pub directory: u16,
    pub peers: u16,
    pub relay: u16,
}

/// A site on loopback addresses that no other test uses, with ports that are free on them.
pub struct Site {
    pub store: StoreStub,
    pub ports: Ports,
    ips: Vec<Ipv4Addr>,
    regions: usize,
    /// Whether each VM has a source address of its own, so that links can tell VMs apart.
    has_sources: bool,
    /// A VM that forwards requests to another port than the VMs listen on, and that port.
    relay_port: Option<(usize, u16)>,
    dir: PathBuf,
}

pub struct Gateway {
    pub ip: Ipv4Addr,
    pub ports: Ports,
    pub child: Child,
    log: PathBuf,
}

impl Site {
    /// Starts a site with `vms` VMs, each in a region of its own.
    pub fn start(vms: u8) -> Self {
        Self::start_in(vms, usize::from(vms))
    }

    /// Starts a site with `vms` VMs, each in a data centre of its own. The data centres are
    /// assigned to the regions in turn.
    pub fn start_in(vms: u8, regions: usize) -> Self {
        let number = NEXT_SITE.fetch_add(1, Ordering::SeqCst);
        let process = std::process::id();
        let [_, _, high, low] = process.to_be_bytes();
        let base = u8::try_from(number % 25).unwrap() * 10;
        let ips: Vec<Ipv4Addr> = (0..vms)
            .map(|vm| Ipv4Addr::new(127, 64 + (high % 64), low, base + vm + 1))
            .collect();
        let store = StoreStub::start(stub_ip(ips[0])).unwrap();
        let dir = std::env::temp_dir().join(format!("onyxfall-test-{process}-{number}"));
        fs::create_dir_all(&dir).unwrap();
        let ports = free_ports(&ips);
        Self {
            store,
            ports,
            ips,
            regions,
            has_sources: false,
            relay_port: None,
            dir,
        }
    }

    /// Gives each VM a source address of its own; before any gateway is started.
    pub fn with_sources(mut self) -> Self {
        self.has_sources = true;
        self
    }

    /// Lets a VM forward requests to `port` of the other VMs, where a link may listen; before its
    /// gateway is started. The VM itself listens on that port, too.
    pub fn set_relay_port(&mut self, vm: usize, port: u16) {
        self.relay_port = Some((vm, port));
    }

    /// Address of a VM itself.
    pub fn vm_ip(&self, vm: usize) -> IpAddr {
        IpAddr::V4(self.ips[vm])
    }

    /// Source address of a VM's connections.
    pub fn source(&self, vm: usize) -> Ipv4Addr {
        let [net, second, third, fourth] = self.ips[vm].octets();
        Ipv4Addr::new(net, second - 64, third, fourth)
    }

    /// Address on which the stubs of a VM's data centre listen. It differs from the VM's own
    /// address, so that the ports found free there stay free until the gateway starts.
    pub fn ip(&self, vm: usize) -> IpAddr {
        stub_ip(self.ips[vm])
    }

    /// Writes a configuration with every kind of route.
    pub fn configure(&self, version: u64) {
        let body = Self::with_routes(ROUTE_TIMEOUT, |routes, services| {
            document_body(version, routes, services)
        });
        self.store.put(config_key(), body);
    }

    /// Writes a configuration with every kind of route, whose requests may last for `timeout` and
    /// have bodies of up to `bytes` bytes.
    pub fn configure_limits(&self, version: u64, timeout: Duration, bytes: usize) {
        let body = Self::with_routes(timeout, |routes, services| {
            with_body_limit(&document_body(version, routes, services), bytes)
        });
        self.store.put(config_key(), body);
    }

    /// Writes a configuration with every kind of route, whose callers may take `head` for a request
    /// head, and leave a connection idle for `idle`.
    pub fn configure_times(&self, version: u64, head: Duration, idle: Duration) {
        let body = Self::with_routes(ROUTE_TIMEOUT, |routes, services| {
            with_time_limits(&document_body(version, routes, services), head, idle)
        });
        self.store.put(config_key(), body);
    }

    /// Writes the same configuration with teams, and a route below `/public/` that needs no key.
    pub fn configure_teams(&self, version: u64, teams: &[TeamText<'_>]) {
        let body = Self::with_routes(ROUTE_TIMEOUT, |routes, services| {
            document_with_teams(version, routes, services, teams)
        });
        self.store.put(config_key(), body);
    }

    fn with_routes(
        timeout: Duration,
        write: impl Fn(&[RouteText<'_>], &[ServiceText<'_>]) -> String,
    ) -> String {
        let route = |path_prefix, shape| RouteText {
            host: HOST,
            path_prefix,
            shape,
            service: SERVICE,
            timeout,
            home_regions: &[],
            is_public: false,
        };
        let routes = [
            route("/once/", RouteShape::Once),
            route("/repeat/", RouteShape::Repeatable),
            route("/stream/", RouteShape::Stream),
            route("/stream/resume/", RouteShape::ResumableStream),
            RouteText {
                service: MODELS,
                ..route("/stream/model/", RouteShape::Stream)
            },
            RouteText {
                is_public: true,
                ..route("/public/", RouteShape::Repeatable)
            },
        ];
        let services = [
            ServiceText {
                name: SERVICE,
                engine: None,
            },
            ServiceText {
                name: MODELS,
                engine: Some(ENGINE),
            },
        ];
        write(&routes, &services)
    }

    /// Starts and announces servers `s0`, `s1` and so on in the first VM's data centre.
    pub fn start_servers(&self, count: usize) -> Vec<ServerStub> {
        let start = |number| {
            let server = ServerStub::start(self.ip(0)).unwrap();
            self.announce(&format!("s{number}"), &server, 0);
            server
        };
        (0..count).map(start).collect()
    }

    /// Writes the store entry of a server.
    pub fn put(&self, record: &ServerRecord) {
        let key = server_key(record.name.as_str());
        self.store.put(&key, server_body(record));
    }

    /// Announces a server in the data centre of a VM.
    pub fn announce(&self, name: &str, server: &ServerStub, vm: usize) {
        self.announce_as(name, server.address(), vm, ServerPhase::Ready);
    }

    pub fn announce_as(&self, name: &str, address: SocketAddr, vm: usize, phase: ServerPhase) {
        self.announce_of(SERVICE, name, address, vm, phase);
    }

    /// Deletes the store entry of a server.
    pub fn retire(&self, name: &str) {
        self.store.delete(&server_key(name));
    }

    /// Announces a model server in the data centre of a VM.
    pub fn announce_model(&self, name: &str, server: &ServerStub, vm: usize) {
        self.announce_of(MODELS, name, server.address(), vm, ServerPhase::Ready);
    }

    /// Announces a server of the given software version in the data centre of a VM.
    pub fn announce_version(&self, name: &str, server: &ServerStub, vm: usize, version: &str) {
        let mut entry = record(name, server, 0);
        entry.version = Some(version.parse().unwrap());
        entry.center = format!("c{vm}").parse().unwrap();
        self.put(&entry);
    }

    fn announce_of(
        &self,
        service: &str,
        name: &str,
        address: SocketAddr,
        vm: usize,
        phase: ServerPhase,
    ) {
        let record = ServerRecord {
            name: name.parse().unwrap(),
            started_at: StartTime::UNKNOWN,
            service: service.parse().unwrap(),
            version: None,
            address,
            center: format!("c{vm}").parse().unwrap(),
            slots: 8,
            phase,
            cold_left: Duration::ZERO,
        };
        self.store.put(&server_key(name), server_body(&record));
    }

    /// Starts the gateway of a VM.
    pub fn gateway(&self, vm: usize) -> Gateway {
        self.gateway_with_store(vm, self.store.address())
    }

    pub fn gateway_with_store(&self, vm: usize, store: SocketAddr) -> Gateway {
        let command = Command::new(env!("CARGO_BIN_EXE_onyxfall-gateway"));
        self.start_gateway(vm, command, &self.settings(vm, store))
    }

    /// Starts the gateway of a VM with `megabytes` of memory and at most `open_files` descriptors,
    /// without a capacity plan.
    pub fn gateway_on(&self, vm: usize, megabytes: u64, open_files: u64) -> Gateway {
        let limit = format!("ulimit -n {open_files} && exec \"$0\" \"$@\"");
        let mut command = Command::new("sh");
        command.args(["-c", &limit, env!("CARGO_BIN_EXE_onyxfall-gateway")]);
        let settings = self.settings(vm, self.store.address());
        let memory = format!("[vm]\nmemory-mb = {megabytes}\n");
        self.start_gateway(vm, command, &settings.replacen("[vm]\n", &memory, 1))
    }

    fn start_gateway(&self, vm: usize, mut command: Command, settings: &str) -> Gateway {
        let file = self.dir.join(format!("vm{vm}.ini"));
        fs::write(&file, settings).unwrap();
        let log = self.dir.join(format!("vm{vm}.log"));
        command
            .arg("--settings")
            .arg(&file)
            .stdout(fs::File::create(&log).unwrap());
        let child = spawn(&mut command);
        Gateway {
            ip: self.ips[vm],
            ports: self.ports,
            child,
            log,
        }
    }

    /// Sets the clock of a VM ahead through its settings; applied at the next reload.
    pub fn move_clock(&self, vm: usize, ahead: Duration) {
        self.add_settings(vm, &format!("[clock]\nahead-ms = {}\n", ahead.as_millis()));
    }

    /// Replaces the sections that were added to a VM's settings; applied at the next reload.
    pub fn add_settings(&self, vm: usize, sections: &str) {
        let file = self.dir.join(format!("vm{vm}.ini"));
        let text = self.settings(vm, self.store.address());
        fs::write(file, text + sections).unwrap();
    }

    /// Sets the memory of a VM through its settings; applied at the next reload. Returns the
    /// settings file.
    pub fn set_memory(&self, vm: usize, megabytes: &str) -> PathBuf {
        let file = self.dir.join(format!("vm{vm}.ini"));
        let text = self.settings(vm, self.store.address());
        let section = format!("[vm]\nmemory-mb = {megabytes}\n");
        // The bound applies where capacity is planned.
        let text = text.replacen("[vm]\n", &section, 1) + "[capacity]\nplan = on\n";
        fs::write(&file, text).unwrap();
        file
    }

    fn settings(&self, vm: usize, store: SocketAddr) -> String {
        let (ip, ports) = (self.ips[vm], self.ports);
        let seeds: Vec<String> = self
            .ips
            .iter()
            .map(|ip| format!("{ip}:{}", ports.peers))
            .collect();
        let mut centers = String::new();
        for n in 0..self.ips.len() {
            let _ = writeln!(centers, "[center c{n}]\nregion = r{}", n % self.regions);
        }
        let relay = match self.relay_port {
            Some((at, port)) if at == vm => port,
            _ => ports.relay,
        };
        let mut source = String::new();
        if self.has_sources {
            source = format!("source-address = {}\n", self.source(vm));
        }
        format!(
            "[vm]\nname = vm{vm}\ncenter = c{vm}\n{source}\
             [listen]\ncallers = {ip}:{}\nready = {ip}:{}\ndirectory = {ip}:{}\n\
             peers = {ip}:{}\npeer-ports = {},{}\n\
             [peers]\nseeds = {}\n[store]\naddress = {store}\n\
             [bounds]\nstop-grace-s = 3\nretry-ratio = 10\n{centers}",
            ports.callers,
            ports.ready,
            ports.directory,
            ports.peers,
            relay,
            relay,
            seeds.join(","),
        )
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// A site with one gateway and one server, ready to serve.
pub struct ServingSite {
    // Fields drop in order: the gateway before what it depends on.
    pub gateway: Gateway,
    pub server: ServerStub,
    pub site: Site,
}

impl ServingSite {
    pub fn start() -> Self {
        Self::start_at(1)
    }

    /// Starts a site whose configuration has the given version.
    pub fn start_at(version: u64) -> Self {
        let site = Site::start(1);
        let server = ServerStub::start(site.ip(0)).unwrap();
        site.announce("s0", &server, 0);
        site.configure(version);
        let gateway = site.gateway(0);
        gateway.wait_served();
        Self {
            gateway,
            server,
            site,
        }
    }
}

fn stub_ip(vm: Ipv4Addr) -> IpAddr {
    let [net, second, third, fourth] = vm.octets();
    IpAddr::V4(Ipv4Addr::new(net, second + 64, third, fourth))
}

fn spawn(command: &mut Command) -> Child {
    let _guard = SPAWNING.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn().unwrap()
}

fn free_ports(ips: &[Ipv4Addr]) -> Ports {
    let _guard = SPAWNING.lock().unwrap_or_else(PoisonError::into_inner);
    let mut free = Vec::new();
    while free.len() < 5 {
        let probe = TcpListener::bind((ips[0], 0)).unwrap();
        let port = probe.local_addr().unwrap().port();
        let others: Vec<_> = ips[1..]
            .iter()
            .map(|ip| TcpListener::bind((*ip, port)))
            .collect();
        if others.iter().all(Result::is_ok) && !free.contains(&port) {
            free.push(port);
        }
    }
    Ports {
        callers: free[0],
        ready: free[1],
        directory: free[2],
        peers: free[3],
        relay: free[4],
    }
}

impl Gateway {
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), self.ports.callers)
    }

    pub fn ready(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), self.ports.ready)
    }

    pub fn directory(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), self.ports.directory)
    }

    pub fn is_ready(&self) -> bool {
        let reply = get(self.ready(), onyxfall_adapter::READY_PATH);
        reply.is_some_and(|reply| reply.status == StatusCode::OK)
    }

    pub fn wait_ready(&self) {
        wait_for("a gateway to be ready", || self.is_ready());
    }

    /// Waits until a request is served, so that servers and peers are known.
    pub fn wait_served(&self) {
        wait_for("a request to be served", || {
            let reply = call(self.callers(), "/repeat/first", "first");
            reply.is_some_and(|reply| reply.status == StatusCode::OK)
        });
    }

    /// Returns what the gateway has logged so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap()
    }

    /// Waits until requests without a key are served on the public route.
    pub fn wait_public(&self) {
        wait_for("a public request to be served", || {
            let reply = call(self.callers(), "/public/first", "first");
            reply.is_some_and(|reply| reply.status == StatusCode::OK)
        });
    }

    /// Peak of the memory that the process holds, in bytes.
    pub fn peak_memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
        kilobytes.unwrap().parse::<u64>().unwrap() * 1024
    }

    /// Whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let mut kill = spawn(Command::new("kill").args([signal, &pid]));
        assert!(kill.wait().unwrap().success());
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if thread::panicking() {
            let log = fs::read_to_string(&self.log).unwrap_or_default();
            eprintln!("log of {}:\n{log}", self.ip);
        }
    }
}

pub fn wait_for(what: &str, mut done: impl FnMut() -> bool) {
    let until = Instant::now() + READY_LIMIT;
    while !done() {
        assert!(Instant::now() < until, "timed out waiting for {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// A response as received by a caller.
#[derive(Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Whether the connection was lost during the body.
    pub broken: bool,
}

impl Reply {
    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap()
    }
}

/// Sends a request as a caller. Returns `None` if the connection brought no response.
pub fn call(address: SocketAddr, path: &str, id: &str) -> Option<Reply> {
    call_from(Ipv4Addr::LOCALHOST, address, path, id, b"body")
}

/// Sends a request with the given body from the given address.
pub fn call_from(
    from: Ipv4Addr,
    address: SocketAddr,
    path: &str,
    id: &str,
    body: &'static [u8],
) -> Option<Reply> {
    let headers = caller_headers(HOST, id, Duration::from_secs(3));
    let body = Bytes::from_static(body);
    send_from(from, address, Method::POST, path, headers, body)
}

/// Sends a request with a prompt of the given parts as a caller that waits for `patience`.
pub fn call_parts(
    address: SocketAddr,
    path: &str,
    id: &str,
    parts: &[u64],
    patience: Duration,
) -> Option<Reply> {
    let mut headers = caller_headers(HOST, id, patience);
    set_prompt_size(&mut headers, PROMPT_TOKENS.0, PROMPT_TOKENS.1);
    set_prompt_parts(&mut headers, parts, PART_TOKENS);
    // No two requests have the same content.
    let body = Bytes::from(id.to_owned());
    send(address, Method::POST, path, headers, body)
}

/// Store entry of a server in the first VM's data centre.
pub fn record(name: &str, server: &ServerStub, started_at: u64) -> ServerRecord {
    ServerRecord {
        name: name.parse().unwrap(),
        started_at: StartTime::from_millis(started_at),
        service: SERVICE.parse().unwrap(),
        version: None,
        address: server.address(),
        center: "c0".parse().unwrap(),
        slots: 8,
        phase: ServerPhase::Ready,
        cold_left: Duration::ZERO,
    }
}

/// Sends a request as forwarded by a VM of another region, with a goal of 0.4 s.
pub fn relay(
    gateway: &Gateway,
    path: &str,
    id: &str,
    own: &[(&'static str, &'static str)],
) -> Reply {
    let mut headers = caller_headers(HOST, id, Duration::from_secs(3));
    let default = [
        ("onyxfall-vm", "vm9"),
        ("onyxfall-service", SERVICE),
        ("onyxfall-goal-ms", "400"),
    ];
    for (name, value) in default.iter().chain(own) {
        headers.insert(*name, HeaderValue::from_static(value));
    }
    let address = SocketAddr::new(IpAddr::V4(gateway.ip), gateway.ports.relay);
    let body = Bytes::from_static(b"body");
    send(address, Method::POST, path, headers, body).unwrap()
}

/// Sends requests to a gateway until one reaches `server`.
pub fn wait_used(what: &str, gateway: &Gateway, server: &ServerStub) {
    let before = server.arrived();
    let mut attempts = 0;
    wait_for(what, || {
        attempts += 1;
        call(gateway.callers(), "/repeat/x", &format!("{what}{attempts}"));
        server.arrived() > before
    });
}

pub fn get(address: SocketAddr, path: &str) -> Option<Reply> {
    send(address, Method::GET, path, HeaderMap::new(), Bytes::new())
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap()
}

pub fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: HeaderMap,
    body: Bytes,
) -> Option<Reply> {
    send_from(Ipv4Addr::LOCALHOST, address, method, path, headers, body)
}

fn send_from(
    from: Ipv4Addr,
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: HeaderMap,
    body: Bytes,
) -> Option<Reply> {
    runtime().block_on(async {
        let sent = tokio::time::timeout(CALL_LIMIT, async {
            let socket = TcpSocket::new_v4().unwrap();
            // An explicitly bound port must not be in use by any recently closed connection. A
            // port chosen on connect must only be unused by those to the same address.
            if from != Ipv4Addr::LOCALHOST {
                socket.bind((from, 0).into()).unwrap();
            }
            let stream = socket.connect(address).await.ok()?;
            let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
            tokio::spawn(connection);
            let mut request = Request::new(Full::new(body));
            *request.method_mut() = method;
            *request.uri_mut() = path.parse().unwrap();
            *request.headers_mut() = headers;
            let response = sender.send_request(request).await.ok()?;
            let (head, mut body) = response.into_parts();
            let mut bytes = Vec::new();
            let mut broken = false;
            while let Some(frame) = body.frame().await {
                let Ok(frame) = frame else {
                    broken = true;
                    break;
                };
                bytes.extend_from_slice(&frame.into_data().unwrap_or_default());
            }
            Some(Reply {
                status: head.status,
                headers: head.headers,
                body: Bytes::from(bytes),
                broken,
            })
        });
        sent.await.expect("a call timed out")
    })
}
