//! The deployment under test: real gateways as processes, stand-ins around them,
//! and a harmed link before each of them.

use std::fmt::Write as _;
use std::fs::{self, File};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use onyxfall_adapter::stub::{
    RouteShape, RouteText, ServiceText, TeamText, config_key, document_with_teams,
    malformed_entries, server_body, server_key,
};
use onyxfall_fakes::{RequestedBackoff, ServerStub, StoreStub, StubSignals};
use onyxfall_fleet::{ServerPhase, ServerRecord, StartTime};
use parking_lot::Mutex;
use rustix::process::{Pid, Signal, kill_process};

use crate::link::HarmedLink;
use crate::plan::RunSize;

/// Host that callers name.
pub(crate) const HOST: &str = "a.example";
/// The team whose requests they are, and its key.
pub(crate) const TEAM: &str = "soak";
pub(crate) const KEY: &str = "jbvk9m68k7b2ex5wa5xw";
const SERVICE: &str = "svc";
/// Regions, each with gateways and servers in turn.
const REGIONS: usize = 3;
/// Time between the order to stop and the end of a gateway's life, in seconds.
const GRACE_S: u64 = 3;

/// Kinds of requests, with the start of their paths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// Runs at most once.
    Once,
    /// May be repeated.
    Repeatable,
    /// A stream that runs at most once.
    Stream,
    /// A stream that may be resumed.
    ResumableStream,
}

impl RequestKind {
    /// Every kind.
    pub(crate) const ALL: [Self; 4] = [
        Self::Once,
        Self::Repeatable,
        Self::Stream,
        Self::ResumableStream,
    ];

    /// Start of its paths.
    pub(crate) const fn prefix(self) -> &'static str {
        match self {
            Self::Once => "/once/",
            Self::Repeatable => "/repeat/",
            Self::Stream => "/stream/",
            Self::ResumableStream => "/stream/resume/",
        }
    }

    /// Whether a request may run at most once.
    pub(crate) const fn runs_once(self) -> bool {
        matches!(self, Self::Once | Self::Stream)
    }

    /// Whether an answer is a series of events.
    pub(crate) const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    const fn shape(self) -> RouteShape {
        match self {
            Self::Once => RouteShape::Once,
            Self::Repeatable => RouteShape::Repeatable,
            Self::Stream => RouteShape::Stream,
            Self::ResumableStream => RouteShape::ResumableStream,
        }
    }
}

/// Changes that a restored store has lost at least, so that later ones have revisions that
/// were given out before.
const CHANGES_LOST: usize = 64;
/// A key that means nothing to anybody.
const UNUSED_KEY: &str = "soak/unused";

/// Path that only version `version` of the configuration has a route for.
pub(crate) fn version_path(version: u64) -> String {
    format!("/at/{version}/")
}

/// One entry VM.
pub(crate) struct SoakVm {
    settings: PathBuf,
    /// What the settings say, but for the clock.
    text: String,
    /// Seconds that its clock is ahead of the machine's.
    ahead_s: u64,
    log: PathBuf,
    /// Its process, unless it is down.
    child: Option<Child>,
    /// Lives so far.
    pub(crate) life: u64,
    /// Whether its process was told to end.
    is_ending: bool,
    /// Link between callers and it.
    pub(crate) caller_link: HarmedLink,
    /// Link between it and the store.
    pub(crate) store_link: HarmedLink,
}

/// One backend server.
pub(crate) struct SoakServer {
    /// Names so far; the present one holds it.
    life: u64,
    /// Unix milliseconds of its present life's start.
    born: u64,
    /// What its present life says of itself.
    word: StubSignals,
    /// The stand-ins of all its lives, the present one last.
    pub(crate) lives: Vec<ServerStub>,
    /// Link between gateways and it.
    pub(crate) link: HarmedLink,
}

/// The deployment.
pub(crate) struct SoakWorld {
    program: PathBuf,
    dir: PathBuf,
    pub(crate) store: StoreStub,
    pub(crate) vms: Vec<Mutex<SoakVm>>,
    pub(crate) servers: Vec<Mutex<SoakServer>>,
    pub(crate) version: Mutex<u64>,
}

impl SoakWorld {
    /// Starts stand-ins and gateways; `seed` keeps the addresses of runs apart.
    pub(crate) fn start(program: &Path, seed: u64, size: &RunSize) -> io::Result<Self> {
        let dir = std::env::temp_dir().join(format!("onyxfall-soak-{}-{seed}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let store = StoreStub::start(stand_in_ip())?;
        let ips: Vec<Ipv4Addr> = (0..size.vms).map(vm_ip).collect();
        let ports = free_ports(&ips)?;
        let vms = (0..size.vms)
            .map(|vm| {
                let callers = SocketAddr::from((ips[vm], ports[0]));
                let store_link = HarmedLink::start(stand_in_ip(), store.address())?;
                let settings = dir.join(format!("vm{vm}.ini"));
                let text = settings_text(vm, &ips, &ports, store_link.address());
                fs::write(&settings, &text)?;
                Ok(Mutex::new(SoakVm {
                    settings,
                    text,
                    ahead_s: 0,
                    log: dir.join(format!("vm{vm}.log")),
                    child: None,
                    life: 0,
                    is_ending: false,
                    caller_link: HarmedLink::start(stand_in_ip(), callers)?,
                    store_link,
                }))
            })
            .collect::<io::Result<_>>()?;
        let servers = (0..size.servers)
            .map(|server| {
                let stub = ServerStub::start(stand_in_ip())?;
                stub.set_name(&server_name(server, 1));
                let link = HarmedLink::start(stand_in_ip(), stub.address())?;
                let lives = vec![stub];
                Ok(Mutex::new(SoakServer {
                    life: 1,
                    born: unix_millis(),
                    word: StubSignals::default(),
                    lives,
                    link,
                }))
            })
            .collect::<io::Result<_>>()?;
        let world = Self {
            program: program.to_owned(),
            dir,
            store,
            vms,
            servers,
            version: Mutex::new(0),
        };
        for server in 0..size.servers {
            world.announce(server, ServerPhase::Ready);
        }
        world.configure();
        for vm in 0..size.vms {
            world.start_vm(vm)?;
        }
        Ok(world)
    }

    /// Address that a VM's connections come from, which servers see.
    pub(crate) fn source_address(vm: usize) -> IpAddr {
        IpAddr::V4(source_ip(vm))
    }

    /// Where the logs of the gateways are.
    pub(crate) fn dir(&self) -> &Path {
        &self.dir
    }

    /// Writes the next configuration.
    pub(crate) fn configure(&self) {
        let mut version = self.version.lock();
        *version += 1;
        self.write_configuration(*version);
    }

    /// Makes a copy of the store that will lack many changes.
    pub(crate) fn save_snapshot(&self) {
        self.store.save_snapshot();
        for _ in 0..CHANGES_LOST {
            self.store.put(UNUSED_KEY, String::new());
        }
    }

    /// Lets the operator and the servers write again what a restored store may have lost,
    /// and the entries of servers that have ended lapse.
    pub(crate) fn write_again(&self) {
        let version = *self.version.lock();
        self.write_configuration(version);
        for server in 0..self.servers.len() {
            let life = self.servers[server].lock().life;
            for ended in 1..life {
                self.store.delete(&server_key(&server_name(server, ended)));
            }
            self.announce(server, ServerPhase::Ready);
        }
    }

    fn write_configuration(&self, version: u64) {
        let own_path = version_path(version);
        let route = |path_prefix, shape| RouteText {
            host: HOST,
            path_prefix,
            shape,
            service: SERVICE,
            timeout: Duration::from_secs(3),
            home_regions: &[],
            is_public: false,
        };
        let mut routes: Vec<RouteText<'_>> = RequestKind::ALL
            .iter()
            .map(|kind| route(kind.prefix(), kind.shape()))
            .collect();
        routes.push(route(&own_path, RouteShape::Repeatable));
        let service = ServiceText {
            name: SERVICE,
            engine: None,
        };
        let team = TeamText {
            name: TEAM,
            keys: &[KEY],
            rate: 0.0,
            home_regions: &[],
        };
        let body = document_with_teams(version, &routes, &[service], &[team]);
        self.store.put(config_key(), body);
    }

    fn announce(&self, server: usize, phase: ServerPhase) {
        let record = self.record(server, phase);
        let key = server_key(record.name.as_str());
        self.store.put(&key, server_body(&record));
    }

    /// What a server writes of itself.
    fn record(&self, server: usize, phase: ServerPhase) -> ServerRecord {
        let state = self.servers[server].lock();
        let name = server_name(server, state.life);
        ServerRecord {
            name: name.parse().expect("a name of letters and digits"),
            born: StartTime::from_millis(state.born),
            service: SERVICE.parse().expect("a name of letters"),
            version: None,
            address: state.link.address(),
            center: format!("c{}", server % REGIONS)
                .parse()
                .expect("a name of letters and digits"),
            slots: 8,
            phase,
            cold_left: Duration::ZERO,
        }
    }

    /// Lets a server leave, and a new life take its address.
    pub(crate) fn replace(&self, server: usize) -> io::Result<()> {
        self.drain(server);
        self.succeed(server)
    }

    /// Ends a server's life and lets a new one, under a new name, take its address. An
    /// address is given on only after its server has ended, so that no connection is left
    /// on which the former life could answer requests that are meant for the new one.
    pub(crate) fn succeed(&self, server: usize) -> io::Result<()> {
        let stub = ServerStub::start(stand_in_ip())?;
        let old = server_name(server, self.servers[server].lock().life);
        self.store.delete(&server_key(&old));
        {
            let mut state = self.servers[server].lock();
            stub.set_name(&server_name(server, state.life + 1));
            if let Some(before) = state.lives.last() {
                before.crash();
            }
            state.link.set_target(stub.address());
            state.lives.push(stub);
            state.life += 1;
            state.word = StubSignals::default();
            state.born = unix_millis().max(state.born + 1);
        }
        self.announce(server, ServerPhase::Ready);
        Ok(())
    }

    /// Crashes a server; it starts again at once, under its name.
    pub(crate) fn restart(&self, server: usize) -> io::Result<()> {
        let stub = ServerStub::start(stand_in_ip())?;
        {
            let mut state = self.servers[server].lock();
            stub.set_name(&server_name(server, state.life));
            if let Some(before) = state.lives.last() {
                before.crash();
            }
            state.link.set_target(stub.address());
            state.lives.push(stub);
            state.word = StubSignals::default();
            state.born = unix_millis().max(state.born + 1);
        }
        self.announce(server, ServerPhase::Ready);
        Ok(())
    }

    /// Lets the present life of a server say in its answers that it leaves.
    pub(crate) fn leave(&self, server: usize) {
        self.set_signals(server, |word| word.is_leaving = true);
    }

    /// Lets the present life of a server turn requests away, or no longer.
    pub(crate) fn rest(&self, server: usize, rest: Option<RequestedBackoff>) {
        self.set_signals(server, |word| word.rest = rest);
    }

    /// Lets the present life of a server name the requests a second that it takes, or none.
    pub(crate) fn limit(&self, server: usize, limit: Option<&'static str>) {
        self.set_signals(server, |word| word.limit = limit);
    }

    fn set_signals(&self, server: usize, change: impl FnOnce(&mut StubSignals)) {
        let mut state = self.servers[server].lock();
        change(&mut state.word);
        if let Some(life) = state.lives.last() {
            life.set_signals(state.word);
        }
    }

    /// Leaves something in a server's entry that is none.
    pub(crate) fn spoil(&self, server: usize, kind: usize) {
        let record = self.record(server, ServerPhase::Ready);
        let kinds = malformed_entries(&record);
        let left = kinds[kind % kinds.len()].text.clone();
        self.store.put(&server_key(record.name.as_str()), left);
    }

    /// Writes a server's own entry again.
    pub(crate) fn restore(&self, server: usize) {
        self.announce(server, ServerPhase::Ready);
    }

    /// Announces that a server leaves.
    pub(crate) fn drain(&self, server: usize) {
        self.announce(server, ServerPhase::Draining { left: None });
    }

    /// Starts the gateway of a VM, unless it runs.
    pub(crate) fn start_vm(&self, vm: usize) -> io::Result<()> {
        let mut state = self.vms[vm].lock();
        if state.child.is_some() {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(&state.log)?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&state.settings)
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        state.child = Some(child);
        state.life += 1;
        state.is_ending = false;
        Ok(())
    }

    /// Moves a VM's clock on; its gateway takes that with the reload that it is told of.
    pub(crate) fn move_clock(&self, vm: usize, seconds: u64) -> io::Result<()> {
        {
            let mut state = self.vms[vm].lock();
            state.ahead_s += seconds;
            let ahead_ms = state.ahead_s * 1000;
            let text = format!("{}[clock]\nahead-ms = {ahead_ms}\n", state.text);
            fs::write(&state.settings, text)?;
        }
        self.signal(vm, Signal::HUP)
    }

    /// Sends a signal to the gateway of a VM, if it runs.
    pub(crate) fn signal(&self, vm: usize, signal: Signal) -> io::Result<()> {
        let mut state = self.vms[vm].lock();
        let Some(child) = &state.child else {
            return Ok(());
        };
        let id = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
        if let Some(id) = id {
            kill_process(id, signal)?;
        }
        state.is_ending |= matches!(signal, Signal::KILL | Signal::TERM);
        Ok(())
    }

    /// Takes the end of a VM's process, if it has ended; an error if nobody had
    /// told it to end.
    pub(crate) fn take_end(&self, vm: usize) -> Result<bool, ExitStatus> {
        let mut state = self.vms[vm].lock();
        let Some(child) = &mut state.child else {
            return Ok(true);
        };
        match child.try_wait() {
            Ok(Some(status)) => {
                state.child = None;
                if state.is_ending {
                    Ok(true)
                } else {
                    Err(status)
                }
            }
            _ => Ok(false),
        }
    }
}

impl Drop for SoakWorld {
    fn drop(&mut self) {
        for vm in &self.vms {
            if let Some(mut child) = vm.lock().child.take() {
                // It may have ended by itself.
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.unwrap_or_default().as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX)
}

fn server_name(server: usize, life: u64) -> String {
    format!("s{server}-{life}")
}

fn own_bytes() -> (u8, u8) {
    let [.., high, low] = std::process::id().to_be_bytes();
    (high % 32, low)
}

/// Address of a VM; loopback addresses of this process alone, since gateways need
/// the same ports on every VM.
fn vm_ip(vm: usize) -> Ipv4Addr {
    let (high, low) = own_bytes();
    let vm = u8::try_from(vm + 1).expect("a run has fewer than 255 VMs");
    Ipv4Addr::new(127, 192 + high, low, vm)
}

/// Address that the connections of a VM come from; not its own, where a connection could
/// take a port that its gateway needs when it starts again.
fn source_ip(vm: usize) -> Ipv4Addr {
    let [_, high, low, last] = vm_ip(vm).octets();
    Ipv4Addr::new(127, high - 32, low, last)
}

/// Address of stand-ins and links; never a VM's, whose ports must stay free.
fn stand_in_ip() -> IpAddr {
    let (high, low) = own_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 224 + high % 31, low, 1))
}

fn free_ports(ips: &[Ipv4Addr]) -> io::Result<[u16; 5]> {
    let mut ports = [0; 5];
    let mut held = Vec::new();
    for port in &mut ports {
        let first = TcpListener::bind((ips[0], 0))?;
        *port = first.local_addr()?.port();
        held.push(first);
    }
    Ok(ports)
}

fn settings_text(vm: usize, ips: &[Ipv4Addr], ports: &[u16; 5], store: SocketAddr) -> String {
    let ip = ips[vm];
    let [callers, ready, directory, peers, relay] = ports;
    let seeds: Vec<String> = ips
        .iter()
        .take(3)
        .map(|ip| format!("{ip}:{peers}"))
        .collect();
    let mut text = format!(
        "[vm]\nname = vm{vm}\ncenter = c{}\nsource-address = {}\n\
         [listen]\ncallers = {ip}:{callers}\nready = {ip}:{ready}\ndirectory = {ip}:{directory}\n\
         peers = {ip}:{peers}\npeer-ports = {relay},{relay}\n\
         [peers]\nseeds = {}\n[store]\naddress = {store}\n\
         [bounds]\nstop-grace-s = {GRACE_S}\nretry-ratio = 1\nretry-extra = 100\n",
        vm % REGIONS,
        source_ip(vm),
        seeds.join(","),
    );
    for region in 0..REGIONS {
        let _ = writeln!(text, "[center c{region}]\nregion = r{region}");
    }
    text
}
