//! Runs a scenario and summarizes its results.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Instant;

use crossbeam::channel::unbounded;

use crate::arrivals::{PlannedArrival, plan_arrivals};
use crate::caller::{CallResult, call};
use crate::events::{StubCounts, read_counts, run_events, sum_metric};
use crate::record::{KindRecord, LoadResult};
use crate::scenario::LoadScenario;

const CALLER_STACK: usize = 256 * 1024;
/// Largest number of concurrent callers; arrivals beyond it are dropped, not delayed.
const MAX_CALLERS: usize = 6000;

/// Sums of the entries' counters before or after a run.
struct EntryCounters {
    control: f64,
    first: f64,
    retries: f64,
    switches: f64,
}

impl EntryCounters {
    fn read(admins: &[SocketAddr]) -> Self {
        let control = ["control", "configuration"].map(|class| {
            sum_metric(
                admins,
                &format!("onyxfall_peer_bytes_total{{class=\"{class}\""),
            )
        });
        Self {
            control: control.iter().sum(),
            first: sum_metric(admins, "onyxfall_attempts_local_total")
                + sum_metric(admins, "onyxfall_attempts_away_total"),
            retries: sum_metric(admins, "onyxfall_retries_total"),
            switches: sum_metric(admins, "onyxfall_away_switches_total"),
        }
    }
}

/// Runs a scenario and returns its results; `label` names the run.
pub fn run_scenario(scenario: &LoadScenario, label: &str) -> LoadResult {
    let arrivals = plan_arrivals(scenario);
    let admins: Vec<SocketAddr> = scenario
        .regions
        .iter()
        .flat_map(|region| region.admins.clone())
        .collect();
    let work_before = total_work(&read_counts(&scenario.counters));
    let before = EntryCounters::read(&admins);
    let started = Instant::now();
    let calls = thread::scope(|scope| {
        scope.spawn(|| run_events(&scenario.events, started));
        send_all(scenario, &arrivals, started)
    });
    let seconds = started.elapsed().as_secs_f64();
    let after = EntryCounters::read(&admins);
    let counts = read_counts(&scenario.counters);
    let mut result = summarize(scenario, &calls);
    label.clone_into(&mut result.label);
    let weighted: f64 = result
        .kinds
        .values()
        .map(|k| k.in_time as f64 * k.weight)
        .sum();
    let work = total_work(&counts) - work_before;
    result.cost = work / weighted.max(1.0);
    result.doubled_runs = doubled_runs(scenario, &counts, &calls);
    result.false_not_run = false_not_run(&counts, &calls);
    let daemons = admins.len().max(1) as f64;
    result.control_bytes = (after.control - before.control) / seconds / daemons;
    let retries = after.retries - before.retries;
    result.retry_share = retries / (after.first - before.first - retries).max(1.0);
    result.switches_per_minute = (after.switches - before.switches) / seconds * 60.0;
    result
}

type SentCall = (PlannedArrival, CallResult);

fn send_all(
    scenario: &LoadScenario,
    arrivals: &[PlannedArrival],
    started: Instant,
) -> Vec<SentCall> {
    let (sender, receiver) = unbounded();
    let open = AtomicUsize::new(0);
    thread::scope(|scope| {
        for arrival in arrivals {
            thread::sleep(arrival.at.saturating_sub(started.elapsed()));
            if open.fetch_add(1, Ordering::SeqCst) >= MAX_CALLERS {
                open.fetch_sub(1, Ordering::SeqCst);
                eprintln!("arrival dropped: {MAX_CALLERS} callers are active");
                continue;
            }
            let (sender, open) = (sender.clone(), &open);
            let caller = move || {
                let late = started.elapsed().saturating_sub(arrival.at);
                let region = &scenario.regions[arrival.region];
                let kind = &scenario.kinds[arrival.kind];
                let result = call(region, kind, arrival.prefix, arrival.entry, late);
                let _ = sender.send((*arrival, result));
                open.fetch_sub(1, Ordering::SeqCst);
            };
            let builder = thread::Builder::new().stack_size(CALLER_STACK);
            if let Err(e) = builder.spawn_scoped(scope, caller) {
                eprintln!("cannot start a caller thread: {e}");
            }
        }
    });
    drop(sender);
    receiver.into_iter().collect()
}

fn summarize(scenario: &LoadScenario, calls: &[SentCall]) -> LoadResult {
    let mut records: Vec<KindRecord> = scenario.kinds.iter().map(KindRecord::new).collect();
    for (arrival, call) in calls.iter().filter(|(a, _)| a.at >= scenario.warmup) {
        records[arrival.kind].record(&scenario.kinds[arrival.kind], call);
    }
    let seconds = scenario
        .duration
        .saturating_sub(scenario.warmup)
        .as_secs_f64();
    let mut result = LoadResult {
        scenario: scenario.name.clone(),
        seconds,
        ..LoadResult::default()
    };
    for (kind, record) in scenario.kinds.iter().zip(records) {
        result
            .kinds
            .insert(kind.name.to_string(), record.into_result());
    }
    let kinds = result.kinds.values();
    let weighted: f64 = kinds.clone().map(|k| k.in_time as f64 * k.weight).sum();
    let answered: u64 = kinds.clone().map(|k| k.answered).sum();
    let away: u64 = kinds.map(|k| k.away).sum();
    result.weighted_per_second = weighted / seconds;
    result.away_share = away as f64 / (answered.max(1)) as f64;
    result
}

fn total_work(counts: &[StubCounts]) -> f64 {
    counts.iter().map(|count| count.work.as_secs_f64()).sum()
}

/// Number of requests that must not be repeated but ran more than once.
fn doubled_runs(scenario: &LoadScenario, counts: &[StubCounts], calls: &[SentCall]) -> u64 {
    let runs = |id: &String| -> u64 { counts.iter().filter_map(|count| count.runs.get(id)).sum() };
    let guarded = calls
        .iter()
        .filter(|(arrival, _)| !scenario.kinds[arrival.kind].repeatable);
    guarded
        .flat_map(|(_, call)| &call.request_ids)
        .filter(|id| runs(id) > 1)
        .count() as u64
}

/// Number of runs of requests that were reported as not run.
fn false_not_run(counts: &[StubCounts], calls: &[SentCall]) -> u64 {
    let told: BTreeSet<&String> = calls
        .iter()
        .flat_map(|(_, call)| &call.not_run_ids)
        .collect();
    let ran = |id: &String| counts.iter().any(|count| count.runs.contains_key(id));
    told.iter().copied().filter(|id| ran(id)).count() as u64
}
