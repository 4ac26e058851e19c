//! Polls the load of backend servers.
//!
//! Each server has one observer, chosen by rendezvous hashing among the entries of its
//! data centre. The observer sends the load to the others with its heartbeats.

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{Receiver, bounded};
use onyxfall_bundle::BackendServer;
use onyxfall_policy::{CacheEvent, LoadReport, PrefixKey};
use onyxfall_types::{Incarnation, name_tag};
use onyxfall_wire::ServerLoad;
use serde::Deserialize;

use crate::core::EntryCore;
use crate::metrics::CounterName;
use crate::supervisor::StopSignal;

const WORKERS: usize = 4;
const QUEUE_DEPTH: usize = 256;
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);
const MAX_REPORT_LEN: u64 = 256 * 1024;

/// A load report, the response of a backend server to `GET /load`.
#[derive(Deserialize)]
struct ServerReport {
    incarnation: u64,
    #[serde(default)]
    running: u32,
    #[serde(default)]
    queued: u32,
    #[serde(default)]
    draining: bool,
    #[serde(default)]
    first_event: u64,
    #[serde(default)]
    events: Vec<ReportEvent>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum ReportEvent {
    Stored(String),
    Evicted(String),
}

impl ReportEvent {
    fn cache_event(&self) -> Option<CacheEvent> {
        match self {
            Self::Stored(prefix) => prefix
                .parse()
                .ok()
                .map(|p| CacheEvent::Stored(PrefixKey(p))),
            Self::Evicted(prefix) => prefix
                .parse()
                .ok()
                .map(|p| CacheEvent::Evicted(PrefixKey(p))),
        }
    }
}

/// Polls the servers that this VM observes until shutdown.
pub(crate) fn run_observers(core: &Arc<EntryCore>, stop: &StopSignal) {
    let agent = ureq::Agent::config_builder()
        .proxy(None)
        .http_status_as_error(false)
        .timeout_global(Some(REPORT_TIMEOUT))
        .build()
        .new_agent();
    let (jobs, queue) = bounded::<BackendServer>(QUEUE_DEPTH);
    std::thread::scope(|scope| {
        for _ in 0..WORKERS {
            scope.spawn(|| run_worker(core, &agent, &queue));
        }
        while !stop.wait(core.settings.observe_interval) {
            for server in observed_servers(core) {
                // A full queue means that polls take longer than the interval; the
                // server is polled again in the next round.
                let _ = jobs.try_send(server);
            }
        }
        drop(jobs);
    });
}

/// Servers of this data centre whose observer is this VM.
fn observed_servers(core: &EntryCore) -> Vec<BackendServer> {
    let Some(bundle) = core.bundle() else {
        return Vec::new();
    };
    let Some(center) = bundle.center_id(core.settings.center.as_str()) else {
        return Vec::new();
    };
    let members = core.members.lock();
    let own: Vec<BackendServer> = bundle
        .servers
        .values()
        .filter(|server| server.center == center)
        .filter(|server| members.has_duty(&format!("observe {}", server.name)))
        .cloned()
        .collect();
    drop(members);
    let tags: Vec<u32> = own
        .iter()
        .map(|server| name_tag(server.name.as_str()))
        .collect();
    core.observed.lock().retain(|tag, _| tags.contains(tag));
    own
}

fn run_worker(core: &EntryCore, agent: &ureq::Agent, queue: &Receiver<BackendServer>) {
    for server in queue {
        core.metrics.count(CounterName::Observations);
        match fetch_report(agent, &server) {
            Ok(report) => apply_report(core, &server, &report),
            Err(e) => {
                core.metrics.count(CounterName::ObservationFailures);
                log::debug!("no load report of {}: {e}", server.name);
                record_unresponsive(core, &server);
            }
        }
    }
}

/// Records a poll without a report. The second one in a row marks the server as
/// unresponsive, for this VM and, by its heartbeats, for the others.
fn record_unresponsive(core: &EntryCore, server: &BackendServer) {
    let tag = name_tag(server.name.as_str());
    let former = core.observed.lock().remove(&tag);
    let Some(mut load) = former else { return };
    if load.silent {
        apply_load(core, &load);
    }
    load.silent = true;
    core.observed.lock().insert(tag, load);
}

fn fetch_report(agent: &ureq::Agent, server: &BackendServer) -> Result<ServerReport, String> {
    let url = format!("http://{}/load", server.address);
    let mut response = agent.get(&url).call().map_err(|e| e.to_string())?;
    if response.status() != 200 {
        return Err(format!("status {}", response.status()));
    }
    let body = response
        .body_mut()
        .with_config()
        .limit(MAX_REPORT_LEN)
        .read_to_vec();
    serde_json::from_slice(&body.map_err(|e| e.to_string())?).map_err(|e| e.to_string())
}

fn apply_report(core: &EntryCore, server: &BackendServer, report: &ServerReport) {
    let load = ServerLoad {
        server: name_tag(server.name.as_str()),
        incarnation: report.incarnation,
        running: report.running,
        queued: report.queued,
        draining: report.draining,
        silent: false,
    };
    apply_load(core, &load);
    core.observed.lock().insert(load.server, load);
    let events: Vec<CacheEvent> = report
        .events
        .iter()
        .filter_map(ReportEvent::cache_event)
        .collect();
    let now = core.now();
    core.with_router(|router| {
        if let Some(id) = router.bundle().server_id(server.name.as_str()) {
            router.cache_events(now, id, report.first_event, &events);
        }
    });
}

/// Applies a server's load, polled by this VM or received from the server's observer.
pub(crate) fn apply_load(core: &EntryCore, load: &ServerLoad) {
    let now = core.now();
    let report = LoadReport {
        incarnation: Incarnation::new(load.incarnation),
        running: load.running,
        queued: load.queued,
        draining: load.draining,
    };
    core.with_router(|router| {
        let Some(id) = router.server_by_tag(load.server) else {
            return;
        };
        if load.silent {
            router.report_unresponsive(now, id);
        } else {
            router.report(now, id, &report);
        }
    });
}
