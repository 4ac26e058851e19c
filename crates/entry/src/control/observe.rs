//! Looking at backend servers' load. Each server has one observer, by
//! rendezvous among the entries of its data centre; the observer's heartbeats
//! tell the others.

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
const LOOK_TIMEOUT: Duration = Duration::from_millis(800);
const MAX_REPORT: u64 = 256 * 1024;

/// A load report as backend servers answer `GET /load`.
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

/// Looks at the servers that this VM observes, until the stop.
pub(crate) fn run_observers(core: &Arc<EntryCore>, stop: &StopSignal) {
    let agent = ureq::Agent::config_builder()
        .proxy(None)
        .http_status_as_error(false)
        .timeout_global(Some(LOOK_TIMEOUT))
        .build()
        .new_agent();
    let (jobs, queue) = bounded::<BackendServer>(QUEUE_DEPTH);
    std::thread::scope(|scope| {
        for _ in 0..WORKERS {
            scope.spawn(|| work(core, &agent, &queue));
        }
        while !stop.wait(core.settings.observe_interval) {
            for server in own_servers(core) {
                // A full queue means that looks take longer than the interval;
                // the server is looked at next time.
                let _ = jobs.try_send(server);
            }
        }
        drop(jobs);
    });
}

/// Servers of this data centre whose observer is this VM.
fn own_servers(core: &EntryCore) -> Vec<BackendServer> {
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

fn work(core: &EntryCore, agent: &ureq::Agent, queue: &Receiver<BackendServer>) {
    for server in queue {
        core.metrics.count(CounterName::Observations);
        match look(agent, &server) {
            Ok(report) => take_report(core, &server, &report),
            Err(e) => {
                core.metrics.count(CounterName::ObservationFailures);
                log::debug!("no load report of {}: {e}", server.name);
                note_silence(core, &server);
            }
        }
    }
}

/// A second look in a row without a report makes a server silent, for this VM
/// and, by its heartbeats, for the others.
fn note_silence(core: &EntryCore, server: &BackendServer) {
    let tag = name_tag(server.name.as_str());
    let former = core.observed.lock().remove(&tag);
    let Some(mut load) = former else { return };
    if load.silent {
        apply_load(core, &load);
    }
    load.silent = true;
    core.observed.lock().insert(tag, load);
}

fn look(agent: &ureq::Agent, server: &BackendServer) -> Result<ServerReport, String> {
    let url = format!("http://{}/load", server.address);
    let mut response = agent.get(&url).call().map_err(|e| e.to_string())?;
    if response.status() != 200 {
        return Err(format!("status {}", response.status()));
    }
    let body = response
        .body_mut()
        .with_config()
        .limit(MAX_REPORT)
        .read_to_vec();
    serde_json::from_slice(&body.map_err(|e| e.to_string())?).map_err(|e| e.to_string())
}

fn take_report(core: &EntryCore, server: &BackendServer, report: &ServerReport) {
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

/// Takes a server's load, looked at here or told by its observer.
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
