//! Rollouts on this VM: the version that a request is sent to, the evidence from its outcome,
//! and the records to write to the store.

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
use crate::metrics::escape_label;
use crate::serve::CallProgress;
use crate::store_client::{CallError, StoreClient};

/// Largest plausible count; a larger one from another VM is treated as invalid.
const MAX_COUNT: u64 = 1 << 40;
/// Interval at which due records are looked for.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

impl Gateway {
    /// Decides where a request goes if it is part of the share of the version that does not get
    /// the main traffic.
    pub(crate) fn decide_version(
        &self,
        call: &SharedCall,
        progress: &CallProgress,
    ) -> Option<RouteStep> {
        if self.rollouts.borrow().is_empty() || call.needs.version.is_some() {
            return None;
        }
        let is_first = progress.log.attempts() == 0 && progress.events == 0;
        if !is_first || call.origin != CallOrigin::Caller {
            return None;
        }
        let (now, service) = (self.now(), &call.needs.service);
        let side = {
            let mut rollouts = self.rollouts.borrow_mut();
            rollouts.other_side(now, service, &mut *self.rng.borrow_mut())?
        };
        // A VM that hears from no other VM would not learn that the version is aborted.
        if side == VersionSide::New && !self.has_live_peers() && self.has_configured_peers() {
            return None;
        }
        let step = self.choose_version(now, side, call)?;
        if side == VersionSide::New {
            self.rollouts.borrow_mut().claim_canary(service);
        }
        Some(step)
    }

    /// Whether the settings name another VM.
    fn has_configured_peers(&self) -> bool {
        let settings = self.settings();
        settings.seeds.iter().any(|seed| *seed != settings.peers)
    }

    /// Where a request goes if the usual version has no server for it but the old version may
    /// still take it.
    pub(crate) fn decide_spare(&self, call: &SharedCall) -> Option<RouteStep> {
        if call.needs.version.is_some() {
            return None;
        }
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

    /// Counts the outcome of an attempt at a server. `ratio` is how many times slower than
    /// usual the response was.
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
            | AttemptResult::Overtaken
            | AttemptResult::TimedOut
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
        let (service, instance) = (&state.record.service, state.instance_hash());
        // Any response would have ended the silence: the caller's time was over.
        if result == AttemptResult::Failed && fleet.is_service_silent(service) {
            rollouts.note_unanswered(self.now(), service, &call.route, side, instance);
        } else {
            rollouts.note(service, &call.route, side, instance, outcome);
        }
    }

    /// Evidence of this VM, encoded as work for other VMs.
    pub(crate) fn own_evidence(&self) -> Vec<WorkEntry> {
        let rollouts = self.rollouts.borrow();
        let entries = rollouts.own_evidence().map(|(tag, counts)| WorkEntry {
            server: ServerTag(tag.0),
            share: evidence_share(&counts),
        });
        entries.collect()
    }

    /// Applies evidence of other VMs. Returns whether the tag is one of evidence.
    pub(crate) fn apply_evidence(&self, tag: ServerTag, share: &WorkShare) -> bool {
        let mut rollouts = self.rollouts.borrow_mut();
        // Called for every entry of work that is not a server's, even without a rollout.
        !rollouts.is_empty() && rollouts.set_regional(EvidenceTag(tag.0), evidence_counts(share))
    }

    /// Evidence of this region, for other regions.
    pub(crate) fn region_evidence(&self) -> Vec<EvidenceEntry> {
        let rollouts = self.rollouts.borrow();
        rollouts.region_evidence().map(evidence_entry).collect()
    }

    /// Evidence received from another region, for members of this VM.
    pub(crate) fn remote_evidence(&self, region: &RegionName) -> Vec<EvidenceEntry> {
        let rollouts = self.rollouts.borrow();
        rollouts.far_evidence(region).map(evidence_entry).collect()
    }

    /// Applies the evidence of another region.
    pub(crate) fn apply_remote_evidence(&self, region: &RegionName, entries: &[EvidenceEntry]) {
        let mut rollouts = self.rollouts.borrow_mut();
        for entry in entries {
            let tag = EvidenceTag(entry.tag);
            if !rollouts.set_far(region, tag, read_figures(&entry.figures)) {
                log::debug!("ignoring evidence of an unknown rollout {}", tag.0);
            }
        }
    }

    /// Updates the routes of each service that has a rollout.
    pub(crate) fn refresh_rollout_routes(&self) {
        let Some(table) = self.table() else { return };
        let mut rollouts = self.rollouts.borrow_mut();
        let services: Vec<ServiceName> = rollouts.services().cloned().collect();
        for service in services {
            let is_target = |target: &onyxfall_fleet::RouteTarget| target.service == service;
            let rules = table.routes();
            let rules = rules.filter(|rule| rule.targets.iter().any(is_target));
            let mut routes: Vec<RouteName> = Vec::new();
            let mut longest = Duration::ZERO;
            for rule in rules {
                routes.push(rule.name.clone());
                longest = longest.max(rule.timeout);
            }
            rollouts.set_routes(&service, &routes, longest);
        }
    }

    /// Reevaluates rollouts by time and evidence: versions are closed, opened or aborted.
    pub(crate) fn refresh_rollouts(&self, now: Moment) {
        if self.rollouts.borrow().is_empty() {
            return;
        }
        let fleet = self.fleet.borrow();
        let silence_end = |service: &ServiceName| fleet.silence_end(service);
        let mut rollouts = self.rollouts.borrow_mut();
        rollouts.settle_unanswered(now, silence_end);
        drop((rollouts, fleet));
        self.log_verdicts(now);
        let rules: BTreeMap<_, _> = {
            let rollouts = self.rollouts.borrow();
            let rules = rollouts.rules(now);
            rules
                .map(|(service, rule)| (service.clone(), rule))
                .collect()
        };
        self.fleet.borrow_mut().set_version_rules(rules);
        self.log_phases(now);
    }

    fn log_verdicts(&self, now: Moment) {
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

    /// Logs changes of the phase of each rollout.
    fn log_phases(&self, now: Moment) {
        let rollouts = self.rollouts.borrow();
        let mut logged = self.logged_phases.borrow_mut();
        for status in rollouts.statuses(now) {
            let phase = status.phase.as_str();
            if logged.insert(status.service.clone(), phase) == Some(phase) {
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

    /// Rollouts as metrics: the phase, the weight of the evidence, and counts by version.
    pub(crate) fn rollout_gauges(&self) -> String {
        use std::fmt::Write as _;
        let now = self.now();
        let mut out = String::new();
        for status in self.rollouts.borrow().statuses(now) {
            let label = format!(
                "service=\"{}\",version=\"{}\"",
                status.service,
                escape_label(status.target.as_str())
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

    /// Rank of this VM among those that write records; `None` if it does not watch the store.
    /// The order of regions rotates by service, so that not all write at once.
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
        let position = regions.iter().position(|r| **r == settings.place.region)?;
        let position = u32::try_from(position).unwrap_or_default();
        let rank = near_rank.saturating_mul(count).saturating_add(position);
        Some(StoreWriter { rank, near_rank })
    }

    fn due_rollout_writes(&self) -> Vec<RolloutWrite> {
        if self.rollouts.borrow().is_empty() || self.is_shutting_down() {
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

/// Starts the task that writes rollout records to the store.
pub(crate) fn start(gateway: &Rc<Gateway>) {
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        let mut client = StoreClient::new(&gateway);
        loop {
            // Usually there is no rollout, and then this task does not wake.
            if gateway.rollouts.borrow().is_empty() {
                gateway.rollout_known.notified().await;
            }
            tokio::time::sleep(WRITE_INTERVAL).await;
            for write in gateway.due_rollout_writes() {
                match send_write(&mut client, &write).await {
                    Ok(end) => log_write(&write, end),
                    // The watch shows whether the write took effect. If nothing arrives, it is
                    // retried.
                    Err(e) => log::warn!(
                        service = write.service().as_str(),
                        error:% = e;
                        "writing a rollout record failed"
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

fn log_write(write: &RolloutWrite, end: WriteOutcome) {
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
            "region shifts its traffic to the new version"
        ),
    }
}

/// Encodes evidence as work, so that it is summed over VMs in the same way.
fn evidence_share(counts: &EvidenceCounts) -> WorkShare {
    let [answers, figures @ ..] = figures_of(counts);
    WorkShare {
        memory: answers,
        prefill: PrefillTokens::from_slice(&figures),
        ..WorkShare::default()
    }
}

fn evidence_counts(share: &WorkShare) -> EvidenceCounts {
    let mut figures = vec![share.memory];
    figures.extend(share.prefill.as_slice());
    read_figures(&figures)
}

fn evidence_entry((tag, counts): (EvidenceTag, EvidenceCounts)) -> EvidenceEntry {
    EvidenceEntry {
        tag: tag.0,
        figures: figures_of(&counts).to_vec(),
    }
}

/// Number of figures that encode a set of counts.
const FIGURES: usize = 3 + SLOW_RATIOS.len();

fn figures_of(counts: &EvidenceCounts) -> [u64; FIGURES] {
    let mut figures = [0; FIGURES];
    figures[0] = counts.answers;
    figures[1] = counts.failures;
    figures[2] = counts.timed;
    figures[3..].copy_from_slice(&counts.slow);
    figures
}

/// Decodes counts from their figures. Missing and implausible figures count as zero.
fn read_figures(figures: &[u64]) -> EvidenceCounts {
    let figure = |index: usize| {
        let figure = figures.get(index).copied().unwrap_or_default();
        if figure > MAX_COUNT { 0 } else { figure }
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
