//! The deployment of the try-out: two regions, each with an entry and an engine, plus a
//! plain service, a stub of the platform and links with a delay.

use std::fmt::Write as _;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use onyxfall_bundle::{ContentDigest, OperatorRing, SigningSecret};
use onyxfall_entry::{EntryProcess, parse_settings};
use onyxfall_fakes::{
    EngineSettings, FakeEngine, FakeLink, FakePlatform, FakeService, LinkRules, ServiceSettings,
};
use onyxfall_operator::{OperatorContext, RollPlan};
use onyxfall_platform::{PlatformClient, PlatformSettings};

const ONE_WAY: Duration = Duration::from_millis(15);
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const REGIONS: [&str; 2] = ["brisbane", "townsville"];

/// The running deployment.
pub(crate) struct TryDeployment {
    pub(crate) platform: FakePlatform,
    pub(crate) engines: Vec<FakeEngine>,
    pub(crate) service: FakeService,
    pub(crate) rules: Arc<LinkRules>,
    pub(crate) entries: Vec<EntryProcess>,
    secrets: [SigningSecret; 2],
    ring: OperatorRing,
    /// Kept alive so that they keep forwarding.
    links: Vec<FakeLink>,
}

fn listen(region: usize) -> Result<TcpListener, String> {
    TcpListener::bind(format!("127.0.{}.1:0", region + 1)).map_err(|e| e.to_string())
}

impl TryDeployment {
    pub(crate) fn start() -> Result<Self, String> {
        let text = |e: std::io::Error| e.to_string();
        let platform = FakePlatform::start(listen(0)?).map_err(text)?;
        let slow = EngineSettings {
            slots: 2,
            prefill: Duration::from_millis(50),
            token: Duration::from_millis(25),
            ..EngineSettings::default()
        };
        let mut engines = Vec::new();
        for region in 0..REGIONS.len() {
            engines.push(FakeEngine::start(listen(region)?, slow.clone()).map_err(text)?);
        }
        let service = FakeService::start(listen(0)?, ServiceSettings::default()).map_err(text)?;
        let rules = LinkRules::new(ONE_WAY);
        let secrets = [SigningSecret::generate(), SigningSecret::generate()];
        let mut deployment = Self {
            platform,
            engines,
            service,
            rules,
            entries: Vec::new(),
            ring: ring_of(&secrets)?,
            secrets,
            links: Vec::new(),
        };
        deployment.start_entries()?;
        let content = deployment.sign_bundle(1)?;
        deployment.roll(content)?;
        deployment.wait_versions(1)?;
        Ok(deployment)
    }

    fn start_entries(&mut self) -> Result<(), String> {
        let mut addresses = Vec::new();
        for region in 0..REGIONS.len() {
            let own = free_address(region)?;
            let listener = listen(region)?;
            let link = FakeLink::start(listener, own, Arc::clone(&self.rules));
            let link = link.map_err(|e| e.to_string())?;
            addresses.push((own, link.address(), free_address(region)?));
            self.links.push(link);
        }
        for region in 0..REGIONS.len() {
            let text = self.entry_settings(region, &addresses);
            let settings = parse_settings("try.ini", &text).map_err(|e| e.to_string())?;
            self.entries
                .push(EntryProcess::start(settings).map_err(|e| e.to_string())?);
        }
        Ok(())
    }

    fn entry_settings(
        &self,
        region: usize,
        addresses: &[(SocketAddr, SocketAddr, SocketAddr)],
    ) -> String {
        let name = REGIONS[region];
        let ip = format!("127.0.{}.1", region + 1);
        let (peers, advertised, callers) = addresses[region];
        let mut text = format!(
            "[vm]\nname = {name}-vm\ndata-centre = {name}-1\nregion = {name}\ndeployment = try\n\
             [listen]\ncallers = {callers}\npeers = {peers}\npeers-advertised = {advertised}\n\
             peers-source = {ip}\nadmin = {ip}:0\n\
             [platform]\nurl = {}\ninterval-ms = 500\nwatch-ms = 2000\n\
             [control]\nbeat-ms = 200\ndata-centre-beat-ms = 200\nobserve-ms = 100\n\
             suspect-ms = 1500\ngone-ms = 6000\n[stop]\ngrace-ms = 300\nbound-ms = 20000\n",
            self.platform.url(),
        );
        for (i, secret) in self.secrets.iter().enumerate() {
            let _ = write!(text, "[operator op-{i}]\nkey = {}\n", secret.public());
        }
        for (other, (_, advertised, callers)) in addresses.iter().enumerate() {
            if other != region {
                let peer = REGIONS[other];
                let _ = write!(
                    text,
                    "[peer {peer}-vm]\ndata-centre = {peer}-1\nregion = {peer}\n\
                     callers = {callers}\npeers = {advertised}\n"
                );
            }
        }
        text
    }

    fn bundle_text(&self, edition: u32) -> String {
        let mut text = format!(
            "[bundle]\nname = try\ncost-weight = 1\ntail-weight = 1\naway-weight = 0.5\n\
             region-rtt-ms = 30\n[model captioner]\nversion = {edition}\n[service gallery-app]\n"
        );
        for (region, name) in REGIONS.iter().enumerate() {
            let _ = write!(
                text,
                "[region {name}]\n[data-centre {name}-1]\nregion = {name}\n\
                 [server {name}-engine]\ndata-centre = {name}-1\naddress = {}\n\
                 serves = captioner\nslots = 2\n",
                self.engines[region].address()
            );
        }
        let _ = write!(
            text,
            "[server gallery-1]\ndata-centre = brisbane-1\naddress = {}\nserves = gallery-app\n\
             [kind photo-caption]\nserved-by = captioner\nrepeatable = yes\nstreaming = yes\n\
             residency = anywhere\nservice-ms = 300\ndeadline-ms = 20000\n\
             [kind home-caption]\nserved-by = captioner\nrepeatable = yes\naway = never\n\
             residency = home\nservice-ms = 300\ndeadline-ms = 20000\n\
             [kind proof-fetch]\nserved-by = gallery-app\nrepeatable = no\nresidency = brisbane\n\
             away = never\nservice-ms = 20\n",
            self.service.address()
        );
        text
    }

    fn operator(&self, index: usize) -> Result<OperatorContext, String> {
        let store = Arc::new(PlatformClient::new(PlatformSettings::new(
            self.platform.url(),
        )));
        let name = format!("op-{index}").parse().map_err(|e| format!("{e}"))?;
        let secret = self.secrets[index]
            .reveal()
            .parse()
            .map_err(|e| format!("{e}"))?;
        Ok(OperatorContext::new(
            store,
            "try",
            self.ring.clone(),
            name,
            secret,
        ))
    }

    /// Proposes an edition of the bundle and signs it with both operators' keys.
    pub(crate) fn sign_bundle(&self, edition: u32) -> Result<ContentDigest, String> {
        let text = self.bundle_text(edition);
        let digest = self
            .operator(0)?
            .propose("bundle.ini", &text)
            .map_err(|e| format!("{e:?}"))?;
        for index in 0..self.secrets.len() {
            self.operator(index)?
                .sign_off(&digest)
                .map_err(|e| format!("{e:?}"))?;
        }
        Ok(digest)
    }

    /// Rolls out a content to both regions without waiting for them; returns the lower of
    /// the two regions' versions.
    pub(crate) fn roll(&self, content: ContentDigest) -> Result<u64, String> {
        let regions = REGIONS
            .iter()
            .filter_map(|name| name.parse().ok())
            .collect();
        let plan = RollPlan {
            content,
            regions,
            patience: Duration::ZERO,
        };
        let head = self
            .operator(0)?
            .roll(&plan, |_| {})
            .map_err(|e| format!("{e:?}"))?;
        Ok(head
            .regions
            .values()
            .map(|r| r.version.get())
            .min()
            .unwrap_or(0))
    }

    /// Drains a server by an order of an operator.
    pub(crate) fn drain(&self, name: &str) -> Result<(), String> {
        self.operator(1)?.drain(name).map_err(|e| format!("{e:?}"))
    }

    /// The version in force in an entry.
    pub(crate) fn version(&self, entry: usize) -> Result<u64, String> {
        let url = format!("http://{}/v1/version", self.entries[entry].caller_address());
        let agent = ureq::Agent::config_builder()
            .proxy(None)
            .timeout_global(Some(Duration::from_secs(2)))
            .build()
            .new_agent();
        let mut response = agent.get(&url).call().map_err(|e| e.to_string())?;
        let text = response
            .body_mut()
            .read_to_string()
            .map_err(|e| e.to_string())?;
        let value: serde_json::Value = serde_json::from_str(&text).map_err(|e| e.to_string())?;
        value["version"]
            .as_u64()
            .ok_or_else(|| "no version".to_owned())
    }

    /// Waits until both entries have at least `version` in force.
    pub(crate) fn wait_versions(&self, version: u64) -> Result<(), String> {
        wait_until("both regions at the version", || {
            (0..self.entries.len()).all(|entry| self.version(entry).is_ok_and(|v| v >= version))
        })
    }
}

fn ring_of(secrets: &[SigningSecret]) -> Result<OperatorRing, String> {
    let mut ring = OperatorRing::default();
    for (i, secret) in secrets.iter().enumerate() {
        ring.insert(
            format!("op-{i}").parse().map_err(|e| format!("{e}"))?,
            secret.public(),
        );
    }
    Ok(ring)
}

fn free_address(region: usize) -> Result<SocketAddr, String> {
    listen(region)?.local_addr().map_err(|e| e.to_string())
}

/// Polls `test` until it returns true.
pub(crate) fn wait_until(what: &str, test: impl Fn() -> bool) -> Result<(), String> {
    let until = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < until {
        if test() {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(50));
    }
    Err(format!("timed out after {WAIT_TIMEOUT:?}: {what}"))
}
