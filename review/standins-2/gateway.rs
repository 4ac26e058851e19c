//! The project's gateways as processes, started by the command of the deploy file.

use std::fmt::Write as _;
use std::fs::{self, File};
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::names::name;

/// Command of the deploy file.
const PROGRAM: &str = "target/release/onyxfall-gateway";
/// Number of ports of each machine, from the first one on.
const PORTS: u16 = 8;
/// Longest wait until a gateway is ready.
const START_LIMIT: Duration = Duration::from_secs(15);

/// A data centre and its region.
#[derive(Clone, Copy)]
pub struct Zone {
    pub name: &'static str,
    pub region: &'static str,
}

/// What the platform tells every gateway of a deployment.
pub struct Deployment<'a> {
    pub zones: &'a [Zone],
    pub store: SocketAddr,
    /// Address of each machine, with its zone.
    pub machines: Vec<(IpAddr, Zone)>,
    /// First of the ports of every machine.
    pub first_port: u16,
    pub grace_s: u64,
    pub budget_extra: u32,
    pub contracts: &'a str,
    /// Folder for settings and logs.
    pub folder: PathBuf,
}

/// A running gateway; dropping it kills the process.
pub struct Gateway {
    child: Child,
    ip: IpAddr,
    first_port: u16,
}

/// A port from which [`PORTS`] ports are free on each address.
pub fn free_ports(addresses: &[IpAddr]) -> io::Result<u16> {
    let is_free = |port: u16| {
        let mut sockets = addresses.iter().map(|ip| TcpListener::bind((*ip, port)));
        sockets.all(|socket| socket.is_ok())
    };
    let first = 20_000 + u16::try_from(std::process::id() % 8_000).unwrap_or(0);
    let mut candidates = (first..first + 3_000).step_by(usize::from(PORTS));
    let found = candidates.find(|port| (*port..*port + PORTS).all(is_free));
    found.ok_or_else(|| io::Error::other("no free ports"))
}

impl Deployment<'_> {
    fn peers(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.first_port + 3)
    }

    /// The settings of a machine as the template of the repository gives them.
    fn settings(&self, index: usize) -> String {
        let (ip, zone) = self.machines[index];
        let port = self.first_port;
        let seeds = self.machines.iter().take(3);
        let seeds: Vec<String> = seeds.map(|(ip, _)| self.peers(*ip).to_string()).collect();
        let mut text = String::new();
        let _ = write!(
            text,
            "[vm]\nname = front-{zone}-{index}\ncenter = {zone}\ncores = 0.25\nmemory-mb = 260\n\n\
             [listen]\ncallers = {ip}:{port}\nready = {ip}:{ready}\ndirectory = {ip}:{directory}\n\
             peers = {peers}\npeer-ports = {relay},{last}\n\n\
             [peers]\nseeds = {seeds}\n\n[store]\naddress = {store}\n\n\
             [bounds]\nstop-grace-s = {grace}\nretry-ratio = 0.2\nretry-extra = {extra}\n\
             retry-window-s = 10\ndirectory-ttl-s = 5\n\n[capacity]\nfeatures = {contracts}\n",
            zone = zone.name,
            ready = port + 1,
            directory = port + 2,
            peers = self.peers(ip),
            relay = port + 4,
            last = port + PORTS - 1,
            seeds = seeds.join(","),
            store = self.store,
            grace = self.grace_s,
            extra = self.budget_extra,
            contracts = self.contracts,
        );
        for zone in self.zones {
            let _ = write!(text, "\n[center {}]\nregion = {}\n", zone.name, zone.region);
        }
        text
    }

    /// Starts all gateways and waits until they are ready.
    pub fn start(&self) -> io::Result<Vec<Gateway>> {
        let gateways: io::Result<Vec<Gateway>> = (0..self.machines.len())
            .map(|index| self.spawn(index))
            .collect();
        let gateways = gateways?;
        let end = Instant::now() + START_LIMIT;
        for gateway in &gateways {
            while !gateway.is_ready() {
                if Instant::now() >= end {
                    return Err(io::Error::other("a gateway did not become ready"));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(gateways)
    }

    fn spawn(&self, index: usize) -> io::Result<Gateway> {
        let (ip, _) = self.machines[index];
        let path = self.folder.join(format!("gateway-{index}.conf"));
        fs::write(&path, self.settings(index))?;
        let log = File::create(self.folder.join(format!("gateway-{index}.log")))?;
        let child = Command::new(Path::new(PROGRAM))
            .env(name("settings-variable"), &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Gateway {
            child,
            ip,
            first_port: self.first_port,
        })
    }
}

impl Gateway {
    /// Address for callers.
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.first_port)
    }

    /// Stops the process as the platform does.
    pub fn terminate(&self) -> io::Result<()> {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &id]).status()?;
        if sent.success() {
            return Ok(());
        }
        Err(io::Error::other("the signal could not be sent"))
    }

    fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.ip, self.first_port + 1);
        let ask = || -> io::Result<bool> {
            let mut connection = Connection::new(TcpStream::connect(address)?);
            let request = format!("GET {} HTTP/1.1\r\nhost: x\r\n\r\n", name("ready-path"));
            connection.send(request.as_bytes())?;
            let answer = connection.receive()?;
            Ok(answer.is_some_and(|answer| answer.status() == 200))
        };
        ask().unwrap_or(false)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
