//! Team identification and quota admission of requests.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::rc::Rc;
use std::time::Duration;

use onyxfall_adapter::CallerCredential;
use onyxfall_fleet::{
    PromptSize, QuotaDecision, QuotaLimit, QuotaPeers, QuotaReceipt, QuotaRequest, RouteRule,
    RouteTable, TeamRule, TeamTable,
};
use onyxfall_overlay::KnownVm;
use onyxfall_policy::Moment;
use onyxfall_types::{RefusalReason, RequestError, TeamId, TeamName};

use crate::gateway::Gateway;
use crate::metrics::{MAX_TEAMS, QuotaOutcome};
use crate::report::millis;

/// Quota charge of an admitted request; refunded if the request did not run and will not.
pub(crate) struct QuotaCharge {
    gateway: Rc<Gateway>,
    team: TeamName,
    tag: u32,
    cost: u64,
    receipt: QuotaReceipt,
}

/// Importance of a request, and the time that its caller has left.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerStanding {
    /// Rank of the route; 0 is the highest. The rank of the team is the same for all requests
    /// of a quota.
    pub(crate) rank: u8,
    pub(crate) time_left: Duration,
}

impl QuotaCharge {
    /// Refunds the charge of a request that did not run.
    pub(crate) fn refund(self) {
        let mut quotas = self.gateway.quotas.borrow_mut();
        quotas.give_back(self.gateway.now(), self.tag, self.cost, self.receipt);
        let metrics = &self.gateway.metrics;
        metrics.count_team(self.team.as_str(), QuotaOutcome::Refunded, self.cost);
    }
}

/// Identifies the team of a request. `None` on public routes and without teams.
pub(crate) fn identify(
    table: &RouteTable,
    rule: &RouteRule,
    credential: CallerCredential,
) -> Result<Option<TeamId>, RequestError> {
    let Some(teams) = table.teams().filter(|_| !rule.is_public) else {
        return Ok(None);
    };
    let reject = |detail| Err(RequestError::not_run(RefusalReason::Unauthorized, detail));
    match credential {
        CallerCredential::Missing => reject("the request lacks an API key"),
        CallerCredential::Malformed => reject("the credential is not a single bearer key"),
        CallerCredential::Key(key) => match teams.holder(&key) {
            Some(team) => Ok(Some(team)),
            None => reject("the API key belongs to no team"),
        },
    }
}

/// Charges a request to the quota of its team. `None` if the team has no quota.
pub(crate) fn admit(
    gateway: &Rc<Gateway>,
    teams: &TeamTable,
    team: TeamId,
    request_id: &str,
    prompt: &PromptSize,
    standing: CallerStanding,
) -> Result<Option<QuotaCharge>, RequestError> {
    let rule = teams.rule(team);
    let Some(limit) = &rule.quota else {
        return Ok(None);
    };
    let (tag, cost) = (teams.tag(team), limit.unit.cost(prompt));
    let now = gateway.now();
    let request = QuotaRequest {
        cost,
        rank: standing.rank,
        time_left: standing.time_left,
    };
    let decision = {
        let mut quotas = gateway.quotas.borrow_mut();
        let rng = &mut *gateway.rng.borrow_mut();
        quotas.admit(now, tag, &request, rng)
    };
    let outcome = match decision {
        QuotaDecision::Admitted(_) => QuotaOutcome::Admitted,
        QuotaDecision::Refused { .. } => QuotaOutcome::Refused,
    };
    gateway
        .metrics
        .count_team(rule.name.as_str(), outcome, cost);
    match decision {
        QuotaDecision::Admitted(receipt) => Ok(Some(QuotaCharge {
            gateway: Rc::clone(gateway),
            team: rule.name.clone(),
            tag,
            cost,
            receipt,
        })),
        QuotaDecision::Refused {
            retry_after,
            demand,
            level,
        } => {
            log::info!(
                request = request_id,
                team = rule.name.as_str(),
                cost,
                limit = limit.rate,
                demand = demand.round(),
                level = level.round(),
                retry_ms = millis(retry_after);
                "request exceeds the quota of its team"
            );
            let detail = format!("team {} has exceeded its quota", rule.name);
            let error = RequestError::not_run(RefusalReason::RateLimited, detail);
            Err(error.with_retry_after(retry_after))
        }
    }
}

impl Gateway {
    /// Applies the quotas of the teams of a configuration.
    pub(crate) fn set_teams(&self, table: &RouteTable) {
        let teams = table.teams().into_iter().flat_map(TeamTable::iter);
        let limited = teams.filter_map(|(_, rule): (TeamId, &TeamRule)| {
            let limit: QuotaLimit = rule.quota?;
            Some((rule.tag(), limit))
        });
        self.quotas.borrow_mut().set_teams(self.now(), limited);
    }

    /// Renders metrics: the configuration version, and the limit of each team with its demand
    /// on this VM.
    pub(crate) fn team_gauges(&self) -> String {
        let Some(table) = self.table() else {
            return String::new();
        };
        let mut out = format!("onyxfall_config_version {}\n", table.version().0);
        let now = self.now();
        let quotas = self.quotas.borrow();
        let demands: BTreeMap<u32, f64> = quotas.own_demand(now).collect();
        let teams = table.teams().into_iter().flat_map(TeamTable::iter);
        for (_, rule) in teams.take(MAX_TEAMS) {
            let Some(limit) = rule.quota else { continue };
            let demand = demands.get(&rule.tag()).copied().unwrap_or(0.0);
            let label = format!("{{team=\"{}\"}}", rule.name);
            let _ = writeln!(out, "onyxfall_team_limit{label} {}", limit.rate);
            let _ = writeln!(out, "onyxfall_team_demand{label} {demand:.0}");
        }
        out
    }

    /// Updates the number of VMs and regions that share the quotas.
    pub(crate) fn refresh_quota_peers(&self, now: Moment) {
        let overlay = self.overlay.borrow();
        let roster = overlay.roster();
        let near = || roster.others().filter(|vm| roster.is_near(&vm.record));
        let alive = near().filter(|vm| vm.is_alive()).count() + 1;
        let regions = &self.settings().place.centers;
        let mut regions: Vec<_> = regions.values().collect();
        regions.sort_unstable();
        regions.dedup();
        let mut quotas = self.quotas.borrow_mut();
        quotas.set_peers(QuotaPeers {
            reachable_share: alive as f64 / (near().count() + 1) as f64,
            vms: roster.others().filter(|vm| KnownVm::is_alive(vm)).count() + 1,
            regions: regions.len(),
        });
        quotas.tick(now);
    }
}
