//! The deployment under test: real gateways as processes, stubs of the store and the
//! backend servers, and a link that can be made faulty in front of each of them.

use std::fmt::Write as _;
use std::fs::{self, File};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use onyxfall_adapter::stub::{
    RouteShape, RouteText, ServiceText, TeamText, config_key, document_with_teams,
    malformed_entries, server_body, server_key, with_route_priority,
};
use onyxfall_fakes::{FaultyLink, PathCut, RequestedBackoff, ServerStub, StoreStub, StubSignals};
use onyxfall_fleet::{BudgetLimits, EngineLimits, ServerPhase, ServerRecord, StartTime};
use parking_lot::Mutex;
use rustix::process::{Pid, Signal, kill_process};

use crate::plan::RunSize;
use crate::processes::{ServerProcess, ServerReport};
use crate::repeats::budget_of;

/// Host header of the callers' requests.
pub(crate) const HOST: &str = "a.example";
/// The callers' team, and its key.
pub(crate) const TEAM: &str = "soak";
pub(crate) const KEY: &str = "jbvk9m68k7b2ex5wa5xw";
const SERVICE: &str = "svc";
/// Number of regions; gateways and servers are assigned to them in turn.
pub(crate) const REGIONS: usize = 3;
/// Time in which a gateway must exit after a shutdown signal, in seconds.
pub(crate) const STOP_GRACE_S: u64 = 3;
/// Longest time that a request may take.
pub(crate) const ROUTE_TIMEOUT: Duration = Duration::from_secs(3);

/// Kinds of requests; each has a path prefix of its own.
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
    /// May be repeated, and is less important than the other kinds.
    LessImportant,
}

impl RequestKind {
    /// Every kind.
    pub(crate) const ALL: [Self; 5] = [
        Self::Once,
        Self::Repeatable,
        Self::Stream,
        Self::ResumableStream,
        Self::LessImportant,
    ];

    /// Prefix of the paths of this kind.
    pub(crate) const fn prefix(self) -> &'static str {
        match self {
            Self::Once => "/once/",
            Self::Repeatable => "/repeat/",
            Self::Stream => "/stream/",
            Self::ResumableStream => "/stream/resume/",
            Self::LessImportant => "/less/",
        }
    }

    /// Whether a request may run at most once.
    pub(crate) const fn runs_once(self) -> bool {
        matches!(self, Self::Once | Self::Stream)
    }

    /// Whether the response is a stream of events.
    pub(crate) const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Size of a request's body. The kinds that are compared by importance have bodies of
    /// the same size, of which three are more than a VM with the capacity plan may hold.
    pub(crate) const fn body_bytes(self) -> usize {
        match self {
            Self::Repeatable | Self::LessImportant => 24 * 1024,
            _ => 4,
        }
    }

    /// Body of the request `id`. The kinds that are compared by importance have a content of
    /// their own for each request: all requests with the content of one that was lost with several
    /// servers are held back, whatever their importance.
    pub(crate) fn body(self, id: &str) -> String {
        let filler = "b".repeat(self.body_bytes());
        match self {
            Self::Repeatable | Self::LessImportant => format!("{id}{}", &filler[id.len()..]),
            _ => filler,
        }
    }

    const fn shape(self) -> RouteShape {
        match self {
            Self::Once => RouteShape::Once,
            Self::Repeatable | Self::LessImportant => RouteShape::Repeatable,
            Self::Stream => RouteShape::Stream,
            Self::ResumableStream => RouteShape::ResumableStream,
        }
    }
}

/// Software versions of the servers.
pub(crate) const VERSIONS: [&str; 2] = ["v1", "v2"];

/// Whether servers of both versions serve side by side.
pub(crate) const fn has_two_versions(seed: u64) -> bool {
    !seed.is_multiple_of(3)
}

/// Slots of a server.
pub(crate) const SLOTS: u32 = 8;
/// Requests that wait at a server with few places.
const QUEUE: u32 = 4;
/// Rank of the less important kind; the others have rank 0 or 1.
const LESS_IMPORTANT_RANK: u8 = 3;
/// Model servers of the seeds that have some; memory is no bottleneck.
const ENGINE: EngineLimits = EngineLimits {
    slots: SLOTS,
    memory_tokens: 500_000,
    token_bytes: 1000,
    keeps_backups: false,
};
/// Memory of a VM with the capacity plan, in megabytes, and the bytes that it may hold.
const MEMORY_MB: &str = "0.25";
pub(crate) const HELD_BOUND: u64 = 62_500;

/// Whether a VM has the capacity plan and a bound of held bytes.
pub(crate) const fn has_plan(vm: usize) -> bool {
    !vm.is_multiple_of(3)
}

/// Whether the service of a seed consists of model servers, whose capacity is planned.
pub(crate) const fn has_model_servers(seed: u64) -> bool {
    seed.is_multiple_of(2)
}

/// Least number of changes that a restored store has lost, so that later changes reuse
/// revisions.
const CHANGES_LOST: usize = 64;
/// A key that no program reads.
const UNUSED_KEY: &str = "soak/unused";

/// Path for which only version `version` of the configuration has a route.
pub(crate) fn version_path(version: u64) -> String {
    format!("/at/{version}/")
}

/// One entry VM.
pub(crate) struct SoakVm {
    settings: PathBuf,
    /// Text of the settings file without the clock section.
    text: String,
    /// Seconds by which the VM's clock is ahead of the machine's.
    ahead_s: u64,
    log: PathBuf,
    /// Process of the gateway; `None` while it is down.
    child: Option<Child>,
    /// Number of times that the gateway was started.
    pub(crate) incarnation: u64,
    /// Whether the process was sent a shutdown signal.
    is_ending: bool,
    /// Address of its metrics.
    pub(crate) status: SocketAddr,
    /// Link between callers and the gateway.
    pub(crate) caller_link: FaultyLink,
    /// Link between the gateway and the store.
    pub(crate) store_link: FaultyLink,
}

/// One backend server.
pub(crate) struct SoakServer {
    /// Number of names that the server has had; part of the present name.
    generation: u64,
    /// Start time of the present instance, in Unix milliseconds.
    started_ms: u64,
    /// Signals in the responses of the present instance.
    signals: StubSignals,
    /// Stubs of all instances, the present one last.
    pub(crate) instances: Vec<ServerStub>,
    /// Link between gateways and the server.
    pub(crate) link: FaultyLink,
    /// The process that serves in place of the last instance, without the link.
    process: Option<ServerProcess>,
}

/// A running deployment.
pub(crate) struct SoakDeployment {
    program: PathBuf,
    dir: PathBuf,
    pub(crate) store: StoreStub,
    pub(crate) vms: Vec<Mutex<SoakVm>>,
    pub(crate) servers: Vec<Mutex<SoakServer>>,
    pub(crate) version: Mutex<u64>,
    /// Limits of the model servers; `None` for a plain service.
    engine: Option<EngineLimits>,
    has_two_versions: bool,
}

impl SoakDeployment {
    /// Starts stubs and gateways; `seed` is part of the name of the directory.
    pub(crate) fn start(program: &Path, seed: u64, size: &RunSize) -> io::Result<Self> {
        let dir = std::env::temp_dir().join(format!("onyxfall-soak-{}-{seed}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let store = StoreStub::start(stub_ip())?;
        let ips: Vec<Ipv4Addr> = (0..size.vms).map(vm_ip).collect();
        let ports = free_ports(&ips)?;
        let vms = (0..size.vms)
            .map(|vm| {
                let callers = SocketAddr::from((ips[vm], ports[0]));
                let store_link = FaultyLink::start(stub_ip(), store.address())?;
                let settings = dir.join(format!("vm{vm}.ini"));
                let budget = budget_of(seed);
                let text = settings_text(vm, &ips, &ports, store_link.address(), &budget);
                fs::write(&settings, &text)?;
                Ok(Mutex::new(SoakVm {
                    settings,
                    text,
                    ahead_s: 0,
                    log: dir.join(format!("vm{vm}.log")),
                    child: None,
                    incarnation: 0,
                    is_ending: false,
                    status: SocketAddr::from((ips[vm], ports[1])),
                    caller_link: FaultyLink::start(stub_ip(), callers)?,
                    store_link,
                }))
            })
            .collect::<io::Result<_>>()?;
        let has_two_versions = has_two_versions(seed);
        let servers = (0..size.servers)
            .map(|server| {
                let stub = ServerStub::start(stub_ip())?;
                stub.set_name(&server_name(server, 1));
                stub.set_version(version_of(server, 1, has_two_versions));
                let link = FaultyLink::start(stub_ip(), stub.address())?;
                let instances = vec![stub];
                Ok(Mutex::new(SoakServer {
                    generation: 1,
                    started_ms: unix_millis(),
                    signals: StubSignals::default(),
                    instances,
                    link,
                    process: None,
                }))
            })
            .collect::<io::Result<_>>()?;
        let deployment = Self {
            program: program.to_owned(),
            dir,
            store,
            vms,
            servers,
            version: Mutex::new(0),
            engine: has_model_servers(seed).then_some(ENGINE),
            has_two_versions,
        };
        for server in 0..size.servers {
            deployment.put_entry(server, ServerPhase::Ready);
        }
        deployment.configure();
        for vm in 0..size.vms {
            deployment.start_vm(vm)?;
        }
        Ok(deployment)
    }

    /// Source address of a VM's connections, by which servers identify it.
    pub(crate) fn source_address(vm: usize) -> IpAddr {
        IpAddr::V4(source_ip(vm))
    }

    /// Directory of the gateways' settings and logs.
    pub(crate) fn dir(&self) -> &Path {
        &self.dir
    }

    /// Writes the next configuration.
    pub(crate) fn configure(&self) {
        let mut version = self.version.lock();
        *version += 1;
        self.write_configuration(*version);
    }

    /// Saves a snapshot of the store, then makes changes that a restore loses.
    pub(crate) fn save_snapshot(&self) {
        self.store.save_snapshot();
        for _ in 0..CHANGES_LOST {
            self.store.put(UNUSED_KEY, String::new());
        }
    }

    /// Rewrites the configuration and the servers' entries, which a restored store may have
    /// lost, and deletes the entries of ended servers.
    pub(crate) fn rewrite_lost(&self) {
        let version = *self.version.lock();
        self.write_configuration(version);
        for server in 0..self.servers.len() {
            let generation = self.servers[server].lock().generation;
            for ended in 1..generation {
                self.store.delete(&server_key(&server_name(server, ended)));
            }
            self.put_entry(server, ServerPhase::Ready);
        }
    }

    fn write_configuration(&self, version: u64) {
        let own_path = version_path(version);
        let route = |path_prefix, shape| RouteText {
            host: HOST,
            path_prefix,
            shape,
            service: SERVICE,
            timeout: ROUTE_TIMEOUT,
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
            engine: self.engine,
        };
        let team = TeamText {
            name: TEAM,
            keys: &[KEY],
            rate: 0.0,
            home_regions: &[],
        };
        let body = document_with_teams(version, &routes, &[service], &[team]);
        let less_important = RequestKind::LessImportant.prefix();
        let body = with_route_priority(&body, less_important, LESS_IMPORTANT_RANK);
        self.store.put(config_key(), body);
    }

    fn put_entry(&self, server: usize, phase: ServerPhase) {
        let record = self.record(server, phase);
        let key = server_key(record.name.as_str());
        self.store.put(&key, server_body(&record));
    }

    /// The record of a server's present instance.
    fn record(&self, server: usize, phase: ServerPhase) -> ServerRecord {
        let state = self.servers[server].lock();
        let name = server_name(server, state.generation);
        let version = version_of(server, state.generation, self.has_two_versions);
        ServerRecord {
            name: name.parse().expect("a name of letters and digits"),
            started_at: StartTime::from_millis(state.started_ms),
            service: SERVICE.parse().expect("a name of letters"),
            version: Some(version.parse().expect("a word of letters and digits")),
            address: state
                .process
                .as_ref()
                .map_or(state.link.address(), ServerProcess::address),
            center: format!("c{}", server % REGIONS)
                .parse()
                .expect("a name of letters and digits"),
            slots: SLOTS,
            phase,
            cold_left: Duration::ZERO,
        }
    }

    /// Number of servers whose present instance is of a version.
    pub(crate) fn servers_of(&self, version: &str) -> usize {
        let servers = self.servers.iter().enumerate();
        let of_version = servers.filter(|(server, state)| {
            let generation = state.lock().generation;
            version_of(*server, generation, self.has_two_versions) == version
        });
        of_version.count()
    }

    /// Drains a server and replaces it by a new instance at its address.
    pub(crate) fn replace(&self, server: usize) -> io::Result<()> {
        self.drain(server);
        self.replace_instance(server)
    }

    /// Ends an instance of a server; a new one, under a new name, takes its address. An
    /// address is reused only after its server has ended, so that the former instance has
    /// no connection left on which it could answer requests to the new one.
    pub(crate) fn replace_instance(&self, server: usize) -> io::Result<()> {
        let stub = ServerStub::start(stub_ip())?;
        let old = server_name(server, self.servers[server].lock().generation);
        self.store.delete(&server_key(&old));
        {
            let mut state = self.servers[server].lock();
            stub.set_name(&server_name(server, state.generation + 1));
            stub.set_version(version_of(
                server,
                state.generation + 1,
                self.has_two_versions,
            ));
            if let Some(before) = state.instances.last() {
                before.crash();
            }
            state.link.set_target(stub.address());
            state.instances.push(stub);
            state.generation += 1;
            state.signals = StubSignals::default();
            state.started_ms = unix_millis().max(state.started_ms + 1);
        }
        self.put_entry(server, ServerPhase::Ready);
        Ok(())
    }

    /// Ends an instance of a server; a process replaces it under a new name.
    pub(crate) fn replace_by_process(&self, server: usize) -> io::Result<()> {
        let generation = self.servers[server].lock().generation;
        let name = server_name(server, generation + 1);
        let version = version_of(server, generation + 1, self.has_two_versions);
        let process = ServerProcess::start(stub_ip(), &name, version)?;
        self.store
            .delete(&server_key(&server_name(server, generation)));
        {
            let mut state = self.servers[server].lock();
            if let Some(before) = state.instances.last() {
                before.crash();
            }
            state.process = Some(process);
            state.generation += 1;
            state.signals = StubSignals::default();
            state.started_ms = unix_millis().max(state.started_ms + 1);
        }
        self.put_entry(server, ServerPhase::Ready);
        Ok(())
    }

    /// Sends a signal to the process of a server.
    pub(crate) fn signal_server(&self, server: usize, signal: Signal) -> io::Result<()> {
        match &self.servers[server].lock().process {
            Some(process) => process.signal(signal),
            None => Ok(()),
        }
    }

    /// Ends the process of a server, which a new instance replaces; returns what reached it.
    pub(crate) fn end_process(&self, server: usize) -> io::Result<ServerReport> {
        let process = self.servers[server].lock().process.take();
        let report = process.map(ServerProcess::finish).transpose()?;
        self.replace_instance(server)?;
        Ok(report.unwrap_or_default())
    }

    /// Crashes a server and restarts it at once under the same name.
    pub(crate) fn restart(&self, server: usize) -> io::Result<()> {
        let stub = ServerStub::start(stub_ip())?;
        {
            let mut state = self.servers[server].lock();
            stub.set_name(&server_name(server, state.generation));
            stub.set_version(version_of(server, state.generation, self.has_two_versions));
            if let Some(before) = state.instances.last() {
                before.crash();
            }
            state.link.set_target(stub.address());
            state.instances.push(stub);
            state.signals = StubSignals::default();
            state.started_ms = unix_millis().max(state.started_ms + 1);
        }
        self.put_entry(server, ServerPhase::Ready);
        Ok(())
    }

    /// Makes the present instance of a server signal that it is draining.
    pub(crate) fn signal_drain(&self, server: usize) {
        self.set_signals(server, |signals| signals.is_draining = true);
    }

    /// Makes the present instance of a server reject requests and ask for `backoff`; `None` ends
    /// that.
    pub(crate) fn set_backoff(&self, server: usize, backoff: Option<RequestedBackoff>) {
        self.set_signals(server, |signals| signals.backoff = backoff);
    }

    /// Makes the present instance of a server signal a limit in requests per second; `None`
    /// ends that.
    pub(crate) fn set_limit(&self, server: usize, limit: Option<&'static str>) {
        self.set_signals(server, |signals| signals.limit = limit);
    }

    /// Makes the present instance of a server say which rejections a second it bears; `None` ends
    /// that.
    pub(crate) fn set_brittle(&self, server: usize, rejections: Option<&'static str>) {
        self.set_signals(server, |signals| signals.brittle = rejections);
    }

    /// Sets how many requests all instances of a server run at the same time, with [`QUEUE`] more
    /// under way; `None` ends that.
    pub(crate) fn set_places(&self, server: usize, places: Option<u32>) {
        for instance in &self.servers[server].lock().instances {
            instance.set_places(places);
            instance.set_room(places.map(|places| places + QUEUE));
        }
    }

    /// Sets how many requests may be under way at the present instance of a server.
    pub(crate) fn set_room(&self, server: usize, room: Option<u32>) {
        if let Some(instance) = self.servers[server].lock().instances.last() {
            instance.set_room(room);
        }
    }

    /// Stops the present instance of a server as a signal stops a process, or lets all its instances
    /// go on.
    pub(crate) fn set_stopped(&self, server: usize, is_stopped: bool) {
        let state = self.servers[server].lock();
        let count = if is_stopped { 1 } else { state.instances.len() };
        for instance in state.instances.iter().rev().take(count) {
            instance.set_silent(is_stopped);
        }
    }

    /// Whether the present instance of a server has crashed.
    pub(crate) fn has_crashed(&self, server: usize) -> bool {
        let state = self.servers[server].lock();
        state.instances.last().is_some_and(ServerStub::is_crashed)
    }

    /// Cuts a VM's paths to all servers, or restores them.
    ///
    /// # Errors
    ///
    /// The kernel accepts no packet filter.
    pub(crate) fn cut_paths(&self, vm: usize, cut: Option<PathCut>) -> io::Result<()> {
        for server in &self.servers {
            server.lock().link.set_cut(source_ip(vm), cut)?;
        }
        Ok(())
    }

    fn set_signals(&self, server: usize, change: impl FnOnce(&mut StubSignals)) {
        let mut state = self.servers[server].lock();
        change(&mut state.signals);
        if let Some(instance) = state.instances.last() {
            instance.set_signals(state.signals);
        }
    }

    /// Overwrites a server's entry with a value that is not a server record.
    pub(crate) fn put_foreign_entry(&self, server: usize, kind: usize) {
        let record = self.record(server, ServerPhase::Ready);
        let kinds = malformed_entries(&record);
        let left = kinds[kind % kinds.len()].text.clone();
        self.store.put(&server_key(record.name.as_str()), left);
    }

    /// Rewrites a server's entry with its own record.
    pub(crate) fn rewrite_entry(&self, server: usize) {
        self.put_entry(server, ServerPhase::Ready);
    }

    /// Sets the pace that the present instance of a server states.
    pub(crate) fn set_pace(&self, server: usize, pace: &'static str) {
        if let Some(instance) = self.servers[server].lock().instances.last() {
            instance.set_pace(SLOTS, pace);
        }
    }

    /// Marks a server as draining in its entry.
    pub(crate) fn drain(&self, server: usize) {
        self.put_entry(server, ServerPhase::Draining { left: None });
    }

    /// Starts the gateway of a VM, unless it is running.
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
        state.incarnation += 1;
        state.is_ending = false;
        Ok(())
    }

    /// Whether all gateways run and none was told to stop.
    pub(crate) fn is_running(&self) -> bool {
        self.vms.iter().all(|vm| {
            let state = vm.lock();
            state.child.is_some() && !state.is_ending
        })
    }

    /// Advances a VM's clock; its gateway applies the change when it reloads its settings.
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

    /// Sends a signal to the gateway of a VM, if it is running.
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

    /// Reaps a VM's process; returns whether it is down.
    ///
    /// # Errors
    ///
    /// The process has exited without a shutdown signal.
    pub(crate) fn reap(&self, vm: usize) -> Result<bool, ExitStatus> {
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

impl Drop for SoakDeployment {
    fn drop(&mut self) {
        for vm in &self.vms {
            if let Some(mut child) = vm.lock().child.take() {
                // The process may already have ended.
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

fn server_name(server: usize, generation: u64) -> String {
    format!("s{server}-{generation}")
}

/// Software version of a server under its name of a generation. A replacement has the other one.
fn version_of(server: usize, generation: u64, has_two_versions: bool) -> &'static str {
    let number = usize::try_from(generation).unwrap_or(0) + server + 1;
    let index = if has_two_versions {
        number % VERSIONS.len()
    } else {
        0
    };
    VERSIONS[index]
}

fn own_bytes() -> (u8, u8) {
    let [.., high, low] = std::process::id().to_be_bytes();
    (high % 32, low)
}

/// Address of a VM. The loopback addresses are unique to this process, since gateways need
/// the same ports on every VM.
fn vm_ip(vm: usize) -> Ipv4Addr {
    let (high, low) = own_bytes();
    let vm = u8::try_from(vm + 1).expect("a run has fewer than 255 VMs");
    Ipv4Addr::new(127, 192 + high, low, vm)
}

/// Source address of a VM's connections. It differs from the VM's own address, where a
/// connection could occupy a port that the gateway needs when it restarts.
fn source_ip(vm: usize) -> Ipv4Addr {
    let [_, high, low, last] = vm_ip(vm).octets();
    Ipv4Addr::new(127, high - 32, low, last)
}

/// Address of stubs and links; never a VM's, whose ports must stay free.
fn stub_ip() -> IpAddr {
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

fn settings_text(
    vm: usize,
    ips: &[Ipv4Addr],
    ports: &[u16; 5],
    store: SocketAddr,
    budget: &BudgetLimits,
) -> String {
    let ip = ips[vm];
    let [callers, ready, directory, peers, relay] = ports;
    let seeds: Vec<String> = ips
        .iter()
        .take(3)
        .map(|ip| format!("{ip}:{peers}"))
        .collect();
    let (memory, plan) = if has_plan(vm) {
        (MEMORY_MB, "on")
    } else {
        ("", "off")
    };
    let mut text = format!(
        "[vm]\nname = vm{vm}\ncenter = c{}\nsource-address = {}\nmemory-mb = {memory}\n\
         [capacity]\nplan = {plan}\n\
         [listen]\ncallers = {ip}:{callers}\nready = {ip}:{ready}\ndirectory = {ip}:{directory}\n\
         peers = {ip}:{peers}\npeer-ports = {relay},{relay}\n\
         [peers]\nseeds = {}\n[store]\naddress = {store}\n\
         [bounds]\nstop-grace-s = {STOP_GRACE_S}\nretry-ratio = {}\nretry-extra = {}\n",
        vm % REGIONS,
        source_ip(vm),
        seeds.join(","),
        budget.ratio,
        budget.extra,
    );
    for region in 0..REGIONS {
        let _ = writeln!(text, "[center c{region}]\nregion = r{region}");
    }
    text
}
