//! A test deployment of many entries in one process, on loopback, with a stub of
//! the platform and a stub for each backend server.

use std::fmt::Write as _;
use std::io::{Read, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use onyxfall_bundle::{ContentDigest, OperatorRing, SigningSecret};
use onyxfall_entry::{EntryProcess, parse_settings};
use onyxfall_fakes::FakePlatform;
use onyxfall_operator::{OperatorContext, RollPlan};
use onyxfall_platform::{PlatformClient, PlatformSettings};
use onyxfall_types::RegionName;

/// Limit on the wait until a content is in force in all entries.
const IN_FORCE_TIMEOUT: Duration = Duration::from_mins(1);
/// Operators who sign off each content.
const OPERATORS: [&str; 2] = ["ann", "ben"];

/// Size of a deployment: the number of data centres, of members (entries) and backend
/// servers in each data centre, and of models.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BenchShape {
    pub(crate) centers: usize,
    pub(crate) members: usize,
    pub(crate) servers: usize,
    pub(crate) models: usize,
}

impl BenchShape {
    /// Number of entries in the whole deployment.
    pub(crate) fn daemons(&self) -> usize {
        self.centers * self.members
    }
}

/// A running deployment.
pub(crate) struct SlopeBench {
    pub(crate) platform: FakePlatform,
    pub(crate) entries: Vec<EntryProcess>,
    shape: BenchShape,
    secrets: [SigningSecret; 2],
    servers: Vec<SocketAddr>,
}

/// Binds a free loopback port.
fn listen() -> Result<TcpListener, String> {
    TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())
}

/// Starts a stub of a backend server, which responds to every request with the same load
/// report. It serves one connection at a time and closes it after the response.
fn start_responder() -> Result<SocketAddr, String> {
    let listener = listen()?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    thread::Builder::new()
        .stack_size(64 * 1024)
        .spawn(move || {
            let body = "{\"incarnation\":1,\"running\":2,\"queued\":1}";
            let response = format!(
                "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
            for mut stream in listener.incoming().flatten() {
                let mut chunk = [0; 1024];
                let _ = stream.read(&mut chunk);
                let _ = stream.write_all(response.as_bytes());
            }
        })
        .map_err(|e| e.to_string())?;
    Ok(address)
}

impl SlopeBench {
    /// Starts a deployment and waits until its first bundle is in force in every entry.
    pub(crate) fn start(shape: BenchShape) -> Result<Self, String> {
        let platform = FakePlatform::start(listen()?).map_err(|e| e.to_string())?;
        let servers: Result<Vec<_>, _> = (0..shape.centers * shape.servers)
            .map(|_| start_responder())
            .collect();
        let secret = |byte: &str| byte.repeat(32).parse().map_err(|e| format!("{e}"));
        let secrets = [secret("01")?, secret("02")?];
        let mut bench = Self {
            platform,
            entries: Vec::new(),
            shape,
            secrets,
            servers: servers?,
        };
        let mut first_peers: Vec<SocketAddr> = Vec::new();
        for index in 0..shape.daemons() {
            let text = bench.entry_settings(index, &first_peers);
            let settings = parse_settings("slopes.ini", &text).map_err(|e| e.to_string())?;
            let entry = EntryProcess::start(settings).map_err(|e| e.to_string())?;
            if index % shape.members == 0 {
                first_peers.push(entry.peer_address());
            }
            bench.entries.push(entry);
        }
        bench.publish_vms()?;
        let content = bench.sign(1)?;
        bench.roll(content)?;
        bench.wait_in_force(content)?;
        Ok(bench)
    }

    /// Returns the settings of an entry. Its configured peers are the first entries of the
    /// data centres, as far as these have started; it reads all other VMs from the
    /// platform's list.
    fn entry_settings(&self, index: usize, first_peers: &[SocketAddr]) -> String {
        let center = index / self.shape.members;
        let mut text = format!(
            "[vm]\nname = vm-{index}\ndata-centre = c{center}\nregion = r{center}\n\
             deployment = slopes\n[listen]\ncallers = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
             admin = 127.0.0.1:0\n[platform]\nurl = {}\ninterval-ms = 5000\n\
             [log]\nlevel = error\n",
            self.platform.url()
        );
        for (name, secret) in OPERATORS.iter().zip(&self.secrets) {
            let _ = write!(text, "[operator {name}]\nkey = {}\n", secret.public());
        }
        for (other, address) in first_peers.iter().enumerate() {
            let peer = other * self.shape.members;
            let _ = write!(
                text,
                "[peer vm-{peer}]\ndata-centre = c{other}\nregion = r{other}\n\
                 callers = {address}\npeers = {address}\n"
            );
        }
        text
    }

    /// Sets the platform's list of VMs to all started entries.
    fn publish_vms(&self) -> Result<(), String> {
        let mut vms = Vec::new();
        for (index, entry) in self.entries.iter().enumerate() {
            let center = index / self.shape.members;
            vms.push(onyxfall_platform::VmRecord {
                name: format!("vm-{index}"),
                role: onyxfall_platform::VmRole::Entry,
                state: onyxfall_platform::VmState::Live,
                region: format!("r{center}").parse().map_err(|e| format!("{e}"))?,
                center: format!("c{center}").parse().map_err(|e| format!("{e}"))?,
                address: entry.caller_address(),
                peer_address: Some(entry.peer_address()),
            });
        }
        self.platform.set_vms(vms);
        Ok(())
    }

    /// Returns the bundle with `edition` as the version of every model. Every server serves
    /// every model.
    fn bundle_text(&self, edition: u32) -> String {
        let mut text = "[bundle]\nname = slopes\n".to_owned();
        for model in 0..self.shape.models {
            let _ = write!(text, "[model m{model}]\nversion = {edition}\n");
        }
        let models: Vec<String> = (0..self.shape.models)
            .map(|model| format!("m{model}"))
            .collect();
        let models = models.join(", ");
        for center in 0..self.shape.centers {
            let _ = write!(
                text,
                "[region r{center}]\n[data-centre c{center}]\nregion = r{center}\n"
            );
            for server in 0..self.shape.servers {
                let index = center * self.shape.servers + server;
                let _ = write!(
                    text,
                    "[server s{index}]\ndata-centre = c{center}\naddress = {}\nserves = {models}\n",
                    self.servers[index]
                );
            }
        }
        text
    }

    /// Returns a context that runs commands as the operator at `index`.
    fn operator(&self, index: usize) -> Result<OperatorContext, String> {
        let mut ring = OperatorRing::default();
        for (name, secret) in OPERATORS.iter().zip(&self.secrets) {
            ring.insert(name.parse().map_err(|e| format!("{e}"))?, secret.public());
        }
        let settings = PlatformSettings {
            rate: 1000.0,
            burst: 1000,
            ..PlatformSettings::new(self.platform.url())
        };
        let store = Arc::new(PlatformClient::new(settings));
        let secret = self.secrets[index]
            .reveal()
            .parse()
            .map_err(|e| format!("{e}"))?;
        let name = OPERATORS[index].parse().map_err(|e| format!("{e}"))?;
        Ok(OperatorContext::new(store, "slopes", ring, name, secret))
    }

    /// Proposes an edition of the bundle and signs it off as every operator.
    pub(crate) fn sign(&self, edition: u32) -> Result<ContentDigest, String> {
        let text = self.bundle_text(edition);
        let digest = self
            .operator(0)?
            .propose("b.ini", &text)
            .map_err(|e| e.to_string())?;
        for index in 0..OPERATORS.len() {
            self.operator(index)?
                .sign_off(&digest)
                .map_err(|e| e.to_string())?;
        }
        Ok(digest)
    }

    /// Rolls out a content to every region, with no wait between regions.
    pub(crate) fn roll(&self, content: ContentDigest) -> Result<(), String> {
        let regions: Vec<RegionName> = (0..self.shape.centers)
            .filter_map(|c| format!("r{c}").parse().ok())
            .collect();
        let plan = RollPlan {
            content,
            regions,
            patience: Duration::ZERO,
        };
        self.operator(0)?
            .roll(&plan, |_| {})
            .map(|_| ())
            .map_err(|e| e.to_string())
    }

    /// Waits until a content is in force in every entry and returns the time waited.
    pub(crate) fn wait_in_force(&self, content: ContentDigest) -> Result<Duration, String> {
        let started = Instant::now();
        let head = self.operator(0)?.head().map_err(|e| e.to_string())?;
        for (index, entry) in self.entries.iter().enumerate() {
            let region = format!("r{}", index / self.shape.members);
            let region: RegionName = region.parse().map_err(|e| format!("{e}"))?;
            let record = head
                .regions
                .get(&region)
                .filter(|record| record.content == content);
            let version = record.ok_or("the rollout is not complete")?.version.get();
            while version_in_force(entry.caller_address()) < Some(version) {
                if started.elapsed() > IN_FORCE_TIMEOUT {
                    return Err(format!("vm-{index} has not reached version {version}"));
                }
                thread::sleep(Duration::from_millis(10));
            }
        }
        Ok(started.elapsed())
    }

    /// Returns the sum of all metrics whose lines start with `prefix`, over all entries.
    /// Entries that do not respond are left out.
    pub(crate) fn metric(&self, prefix: &str) -> f64 {
        let read = |entry: &EntryProcess| -> Option<f64> {
            let text = get(entry.admin_address(), "/metrics")?;
            let lines = text.lines().filter(|line| line.starts_with(prefix));
            Some(
                lines
                    .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
                    .sum(),
            )
        };
        self.entries.iter().filter_map(read).sum()
    }

    /// Kills all entries without waiting for each, then waits 700 ms.
    pub(crate) fn end(self) {
        for entry in self.entries {
            entry.kill();
        }
        thread::sleep(Duration::from_millis(700));
    }
}

/// Fetches a page over HTTP; `None` on any error.
fn get(address: SocketAddr, path: &str) -> Option<String> {
    let agent = ureq::Agent::config_builder()
        .proxy(None)
        .timeout_global(Some(Duration::from_secs(5)))
        .build()
        .new_agent();
    agent
        .get(format!("http://{address}{path}"))
        .call()
        .ok()?
        .body_mut()
        .read_to_string()
        .ok()
}

/// Returns the configuration version in force in the entry at `address`.
fn version_in_force(address: SocketAddr) -> Option<u64> {
    let text = get(address, "/v1/version")?;
    serde_json::from_str::<serde_json::Value>(&text).ok()?["version"].as_u64()
}
