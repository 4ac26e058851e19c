//! Roll-outs on this VM: which version a request goes to, what came of it, and the records
//! that are due in the store.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use onyxfall_adapter::{WriteOutcome, read_write, rollout_request};
use onyxfall_fleet::{AttemptResult, LocalOption, PrefillTokens, WorkShare};
use onyxfall_overlay::{ServerTag, WorkEntry};
use onyxfall_policy::Moment;
use onyxfall_rollout::{
    EvidenceCounts, EvidenceTag, ResponseOutcome, RolloutPhase, RolloutTable, RolloutWrite,
    SLOW_RATIOS, StoreWriter, VersionSide,
};
use onyxfall_types::{RegionName, RouteName, ServerId, ServiceName, stable_hash};
use onyxfall_wire::EvidenceEntry;

use crate::call::{CallContext, CallOrigin, SharedCall};
use crate::decide::{RouteStep, server_target};
use crate::gateway::Gateway;
use crate::serve::CallProgress;
use crate::store_client::{CallError, StoreClient};

/// Answers that a count can hold: beyond, what another VM tells is absurd.
const MOST_COUNTED: u64 = 1 << 40;
/// Time between two looks for records that are due.
const WRITE_LOOK: Duration = Duration::from_millis(100);

impl Gateway {
    /// Decides where a request goes that is one of those meant for the version that does
    /// not get the others.
    pub(crate) fn decide_version(
        &self,
        call: &SharedCall,
        progress: &CallProgress,
    ) -> Option<RouteStep> {
        if self.rollouts.borrow().is_empty() {
            return None;
        }
        let is_first = progress.arrivals + progress.unreached == 0 && progress.events == 0;
        if !is_first || call.origin != CallOrigin::Caller {
            return None;
        }
        let (now, service) = (self.now(), &call.needs.service);
        let side = {
            let mut rollouts = self.rollouts.borrow_mut();
            rollouts.other_side(now, service, &mut *self.rng.borrow_mut())?
        };
        // A VM that hears nobody would not learn that the version is given up.
        if side == VersionSide::New && !self.has_live_peers() && self.expects_others() {
            return None;
        }
        let step = self.choose_version(now, side, call)?;
        if side == VersionSide::New {
            self.rollouts.borrow_mut().claim_canary(service);
        }
        Some(step)
    }

    /// Whether the settings name another VM.
    fn expects_others(&self) -> bool {
        let settings = self.settings();
        settings.seeds.iter().any(|seed| *seed != settings.peers)
    }

    /// Where a request goes that the usual version has no server for, while another one
    /// may still take it.
    pub(crate) fn decide_spare(&self, call: &SharedCall) -> Option<RouteStep> {
        let (now, service) = (self.now(), &call.needs.service);
        let phase = self.rollouts.borrow().phase(now, service)?;
        let RolloutPhase::Shifting {
            old_is_spare: true, ..
        } = phase
        else {
            return None;
        };
        self.choose_version(now, VersionSide::Old, call)
    }

    fn choose_version(
        &self,
        now: Moment,
        side: VersionSide,
        call: &SharedCall,
    ) -> Option<RouteStep> {
        let chosen = {
            let rng = &mut *self.rng.borrow_mut();
            let mut fleet = self.fleet.borrow_mut();
            fleet.choose_version(now, side, &call.needs, rng)
        };
        let LocalOption::Free(choice) = chosen else {
            return None;
        };
        if self.is_too_late(call, &choice.predicted) {
            return None;
        }
        Some(RouteStep::Server(server_target(
            &self.fleet.borrow(),
            &choice,
        )))
    }

    /// Counts how an attempt at a server ended. `ratio` is how many times slower than
    /// usual its answer was.
    pub(crate) fn record_outcome(
        &self,
        call: &CallContext,
        server: ServerId,
        result: AttemptResult,
        ratio: Option<f64>,
    ) {
        let outcome = match result {
            AttemptResult::Failed => ResponseOutcome::Failed,
            AttemptResult::Succeeded => ResponseOutcome::Succeeded { ratio },
            AttemptResult::Unreachable
            | AttemptResult::Broken
            | AttemptResult::Shed
            | AttemptResult::Unknown => return,
        };
        if self.rollouts.borrow().is_empty() {
            return;
        }
        let fleet = self.fleet.borrow();
        let Some(side) = fleet.side_of(server) else {
            return;
        };
        let state = fleet.server(server);
        let mut rollouts = self.rollouts.borrow_mut();
        let service = &state.record.service;
        rollouts.note(service, &call.route, side, state.instance_hash(), outcome);
    }

    /// Counts of this VM, as work that is told to the others.
    pub(crate) fn own_evidence(&self) -> Vec<WorkEntry> {
        let rollouts = self.rollouts.borrow();
        let told = rollouts.own_evidence().map(|(tag, counts)| WorkEntry {
            server: ServerTag(tag.0),
            share: evidence_share(&counts),
        });
        told.collect()
    }

    /// Takes other VMs' counts; whether the tag is one of counts.
    pub(crate) fn take_evidence(&self, tag: ServerTag, share: &WorkShare) -> bool {
        let mut rollouts = self.rollouts.borrow_mut();
        // Asked for each figure that is no server's, with or without a roll-out.
        !rollouts.is_empty() && rollouts.set_regional(EvidenceTag(tag.0), evidence_counts(share))
    }

    /// Counts of this region, for other regions.
    pub(crate) fn region_evidence(&self) -> Vec<EvidenceEntry> {
        let rollouts = self.rollouts.borrow();
        rollouts.region_evidence().map(evidence_entry).collect()
    }

    /// Counts that another region has told, for members of this one.
    pub(crate) fn far_evidence(&self, region: &RegionName) -> Vec<EvidenceEntry> {
        let rollouts = self.rollouts.borrow();
        rollouts.far_evidence(region).map(evidence_entry).collect()
    }

    /// Takes the counts of another region.
    pub(crate) fn take_far_evidence(&self, region: &RegionName, entries: &[EvidenceEntry]) {
        let mut rollouts = self.rollouts.borrow_mut();
        for entry in entries {
            let tag = EvidenceTag(entry.tag);
            if !rollouts.set_far(region, tag, read_figures(&entry.figures)) {
                log::debug!("counts told of an unknown roll-out {}", tag.0);
            }
        }
    }

    /// Makes the routes of services with a roll-out known to it.
    pub(crate) fn refresh_rollout_routes(&self) {
        let Some(table) = self.table() else { return };
        let mut rollouts = self.rollouts.borrow_mut();
        let services: Vec<ServiceName> = rollouts.services().cloned().collect();
        for service in services {
            let leads = |target: &onyxfall_fleet::RouteTarget| target.service == service;
            let rules = table.routes();
            let rules = rules.filter(|rule| rule.targets.iter().any(leads));
            let mut routes: Vec<RouteName> = Vec::new();
            let mut longest = Duration::ZERO;
            for rule in rules {
                routes.push(rule.name.clone());
                longest = longest.max(rule.timeout);
            }
            rollouts.set_routes(&service, &routes, longest);
        }
    }

    /// Lets time and evidence count: versions are closed, opened and given up.
    pub(crate) fn refresh_rollouts(&self, now: Moment) {
        if self.rollouts.borrow().is_empty() {
            return;
        }
        self.tell_verdicts(now);
        let rules: BTreeMap<_, _> = {
            let rollouts = self.rollouts.borrow();
            let rules = rollouts.rules(now);
            rules
                .map(|(service, rule)| (service.clone(), rule))
                .collect()
        };
        self.fleet.borrow_mut().set_version_rules(rules);
        self.tell_phases(now);
    }

    fn tell_verdicts(&self, now: Moment) {
        let bad = self.rollouts.borrow_mut().judge(now);
        let rollouts = self.rollouts.borrow();
        for (service, metric) in bad {
            self.metrics.count("onyxfall_versions_given_up_total");
            for status in rollouts.statuses(now).filter(|s| s.service == service) {
                let evidence: Vec<String> = status.routes.iter().map(evidence_text).collect();
                log::warn!(
                    service = service.as_str(),
                    version = status.target.as_str(),
                    reason = metric.reason().as_str(),
                    weight = status.judgement.weight,
                    evidence:% = evidence.join("; ");
                    "version is given up"
                );
            }
        }
    }

    /// Logs each change of where requests go.
    fn tell_phases(&self, now: Moment) {
        let rollouts = self.rollouts.borrow();
        let mut told = self.logged_phases.borrow_mut();
        for status in rollouts.statuses(now) {
            let phase = status.phase.as_str();
            if told.insert(status.service.clone(), phase) == Some(phase) {
                continue;
            }
            log::info!(
                service = status.service.as_str(),
                version = status.target.as_str(),
                phase,
                weight = status.judgement.weight,
                answers = status.judgement.answers;
                "roll-out"
            );
        }
    }

    /// Roll-outs as metrics: the step, the share of evidence, counts by version.
    pub(crate) fn rollout_gauges(&self) -> String {
        use std::fmt::Write as _;
        let now = self.now();
        let mut out = String::new();
        for status in self.rollouts.borrow().statuses(now) {
            let label = format!(
                "service=\"{}\",version=\"{}\"",
                status.service, status.target
            );
            let phase = status.phase.as_str();
            let reason = status.reason;
            let _ = writeln!(
                out,
                "onyxfall_rollout{{{label},phase=\"{phase}\",reason=\"{reason}\"}} 1"
            );
            let weight = status.judgement.weight;
            let _ = writeln!(out, "onyxfall_rollout_weight{{{label}}} {weight:.3}");
            for (route, old, new) in &status.routes {
                for (side, counts) in [("old", old), ("new", new)] {
                    let label = format!("{label},route=\"{route}\",side=\"{side}\"");
                    let (all, bad) = (counts.answers, counts.failures);
                    let _ = writeln!(out, "onyxfall_rollout_answers{{{label}}} {all}");
                    let _ = writeln!(out, "onyxfall_rollout_failures{{{label}}} {bad}");
                    for (slow, ratio) in counts.slow.iter().zip(SLOW_RATIOS) {
                        let label = format!("{label},ratio=\"{ratio}\"");
                        let _ = writeln!(out, "onyxfall_rollout_slow{{{label}}} {slow}");
                    }
                }
            }
        }
        out
    }

    /// The place of this VM among those that write records; none if it does not watch the
    /// store. Regions take turns by service, so that not all write at once.
    fn store_writer(&self) -> Option<StoreWriter> {
        if !self.store.borrow().is_watched() {
            return None;
        }
        let order = self.watch_order();
        let near_rank = order.iter().position(|name| name == self.vm())?;
        let near_rank = u32::try_from(near_rank).unwrap_or(u32::MAX);
        let settings = self.settings();
        let mut regions: Vec<_> = settings.place.centers.values().collect();
        regions.sort_by_cached_key(|region| stable_hash(&["write", region.as_str()]));
        regions.dedup();
        let count = u32::try_from(regions.len()).unwrap_or(1);
        let place = regions.iter().position(|r| **r == settings.place.region)?;
        let place = u32::try_from(place).unwrap_or_default();
        let rank = near_rank.saturating_mul(count).saturating_add(place);
        Some(StoreWriter { rank, near_rank })
    }

    fn due_rollout_writes(&self) -> Vec<RolloutWrite> {
        if self.rollouts.borrow().is_empty() || self.is_leaving() {
            return Vec::new();
        }
        let Some(writer) = self.store_writer() else {
            return Vec::new();
        };
        let fleet = self.fleet.borrow();
        let servers = |service: &ServiceName, target: &_| fleet.version_counts(service, target);
        let mut rollouts: std::cell::RefMut<'_, RolloutTable> = self.rollouts.borrow_mut();
        rollouts.due_writes(self.now(), writer, servers)
    }
}

/// Starts the task that writes records of roll-outs to the store.
pub(crate) fn start(gateway: &Rc<Gateway>) {
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        let mut client = StoreClient::new(&gateway);
        loop {
            // Without any roll-out, as nearly always, nothing wakes this VM.
            if gateway.rollouts.borrow().is_empty() {
                gateway.rollout_known.notified().await;
            }
            tokio::time::sleep(WRITE_LOOK).await;
            for write in gateway.due_rollout_writes() {
                match send_write(&mut client, &write).await {
                    Ok(end) => tell_write(&write, end),
                    // What became of it shows with the watch; it is tried again if nothing
                    // does.
                    Err(e) => log::warn!(
                        service = write.service().as_str(),
                        error:% = e;
                        "record of a roll-out not written"
                    ),
                }
            }
        }
    });
}

async fn send_write(
    client: &mut StoreClient,
    write: &RolloutWrite,
) -> Result<WriteOutcome, CallError> {
    let request = rollout_request(&client.host(), write)?;
    let reply = client.call(request, Duration::ZERO, "rollout").await?;
    Ok(read_write(reply.status)?)
}

fn tell_write(write: &RolloutWrite, end: WriteOutcome) {
    let made = end == WriteOutcome::Done;
    match write {
        RolloutWrite::Record {
            service, record, ..
        } => log::info!(
            service = service.as_str(),
            version = record.target.as_str(),
            state:? = record.state,
            reason = record.reason.as_str(),
            made;
            "record of a roll-out"
        ),
        RolloutWrite::Shift {
            service, region, ..
        } => log::info!(
            service = service.as_str(),
            region = region.as_str(),
            made;
            "region moves its traffic to the new version"
        ),
    }
}

/// Counts as VMs tell each other's work: the sums over VMs are made in the same way.
fn evidence_share(counts: &EvidenceCounts) -> WorkShare {
    let [answers, figures @ ..] = figures_of(counts);
    WorkShare {
        memory: answers,
        unread: PrefillTokens::from_slice(&figures),
        ..WorkShare::default()
    }
}

fn evidence_counts(share: &WorkShare) -> EvidenceCounts {
    let mut figures = vec![share.memory];
    figures.extend(share.unread.as_slice());
    read_figures(&figures)
}

fn evidence_entry((tag, counts): (EvidenceTag, EvidenceCounts)) -> EvidenceEntry {
    EvidenceEntry {
        tag: tag.0,
        figures: figures_of(&counts).to_vec(),
    }
}

/// Figures of counts in messages.
const FIGURES: usize = 3 + SLOW_RATIOS.len();

fn figures_of(counts: &EvidenceCounts) -> [u64; FIGURES] {
    let mut figures = [0; FIGURES];
    figures[0] = counts.answers;
    figures[1] = counts.failures;
    figures[2] = counts.timed;
    figures[3..].copy_from_slice(&counts.slow);
    figures
}

/// Counts from their figures; those that are missing, or beyond what is possible, are zero.
fn read_figures(figures: &[u64]) -> EvidenceCounts {
    let figure = |index: usize| {
        let figure = figures.get(index).copied().unwrap_or_default();
        if figure > MOST_COUNTED { 0 } else { figure }
    };
    EvidenceCounts {
        answers: figure(0),
        failures: figure(1),
        timed: figure(2),
        slow: std::array::from_fn(|step| figure(3 + step)),
    }
}

fn evidence_text((route, old, new): &(RouteName, EvidenceCounts, EvidenceCounts)) -> String {
    let side = |counts: &EvidenceCounts| {
        let [first, .., last] = counts.slow;
        format!(
            "{} answers, {} failures, {first} to {last} slow",
            counts.answers, counts.failures
        )
    };
    format!("{route}: old {}, new {}", side(old), side(new))
}
