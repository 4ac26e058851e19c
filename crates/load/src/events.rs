//! Requests to the stubs: sets their faults during a run, and reads their counts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::scenario::LoadEvent;

const TIMEOUT: Duration = Duration::from_secs(3);

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .proxy(None)
        .timeout_global(Some(TIMEOUT))
        .build()
        .new_agent()
}

/// Posts each event at its planned time.
pub(crate) fn run_events(events: &[LoadEvent], started: Instant) {
    let agent = agent();
    for event in events {
        thread::sleep(event.at.saturating_sub(started.elapsed()));
        match agent.post(&event.url).send(&event.body) {
            Ok(_) => log(&format!(
                "event {} at {} ms",
                event.name,
                started.elapsed().as_millis()
            )),
            Err(e) => log(&format!("event {} failed: {e}", event.name)),
        }
    }
}

fn log(text: &str) {
    eprintln!("{text}");
}

/// Counts of a stub.
#[derive(Clone, Debug, Default)]
pub(crate) struct StubCounts {
    /// Number of runs, by request id.
    pub(crate) runs: BTreeMap<String, u64>,
    /// Total time in which the stub processed requests.
    pub(crate) work: Duration,
}

/// Reads the counts of the stubs; a stub that does not respond is skipped.
pub(crate) fn read_counts(counters: &[SocketAddr]) -> Vec<StubCounts> {
    let agent = agent();
    let read = |address: &SocketAddr| -> Option<StubCounts> {
        let url = format!("http://{address}/fake/runs");
        let text = agent
            .get(&url)
            .call()
            .ok()?
            .body_mut()
            .with_config()
            .limit(64 << 20)
            .read_to_string();
        let value: Value = serde_json::from_str(&text.ok()?).ok()?;
        let runs = serde_json::from_value(value["runs"].clone()).ok()?;
        let work = Duration::from_millis(value["work_ms"].as_u64().unwrap_or(0));
        Some(StubCounts { runs, work })
    };
    counters.iter().filter_map(read).collect()
}

/// Sums the metrics whose lines start with `prefix` over the admin ports.
pub(crate) fn sum_metric(admins: &[SocketAddr], prefix: &str) -> f64 {
    let agent = agent();
    let read = |address: &SocketAddr| -> Option<f64> {
        let url = format!("http://{address}/metrics");
        let text = agent
            .get(&url)
            .call()
            .ok()?
            .body_mut()
            .read_to_string()
            .ok()?;
        let lines = text.lines().filter(|line| line.starts_with(prefix));
        Some(
            lines
                .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
                .sum(),
        )
    };
    admins.iter().filter_map(read).sum()
}
