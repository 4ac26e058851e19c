//! Updates that VMs exchange: the overlay's own messages and the gateway's additions to them
//! (state of the store copy, learned costs, free capacity of regions, suspects).

use std::collections::BTreeMap;
use std::time::Duration;

use onyxfall_fleet::{
    CallRequirements, CopyState, CostSource, CostView, HomeRegions, PromptSize, ServiceLoad,
    TeamFlow, TimePrediction, WorkShare,
};
use onyxfall_overlay::{LinkRelation, LinkState, ServerTag, VmStatus, WorkEntry};
use onyxfall_policy::Moment;
use onyxfall_suspects::SuspectCursor;
use onyxfall_types::{RegionName, VmName, name_tag};
use onyxfall_wire::{RegionLoadEntry, ServiceLoadEntry, TeamDemandEntry, VmUpdate};

use crate::costs::{CostCursor, apply_costs};
use crate::frames::{overlay_update, wire_millis, wire_update};
use crate::gateway::Gateway;
use crate::share::PeerCopy;

/// Shortest interval at which this VM's own work is collected: an aggregator sends hundreds of
/// messages a second.
const OWN_WORK_INTERVAL: Duration = Duration::from_millis(15);

/// What has been sent in one direction of one link.
#[derive(Default)]
pub(crate) struct UpdateSendState {
    link: LinkState,
    costs: CostCursor,
    suspects: SuspectCursor,
    /// For each region, the time of the last load report that was sent.
    regions: BTreeMap<RegionName, Moment>,
}

/// How to treat an update that was received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct UpdateReceiveState {
    /// What the sender is to this VM; `None` if this version does not know the relation.
    pub(crate) relation: Option<LinkRelation>,
    /// Relation of the update to reply with, if any.
    pub(crate) answer: Option<LinkRelation>,
    /// Whether the sender waits for the reply.
    pub(crate) is_query: bool,
}

impl UpdateSendState {
    /// The overlay's part of the state.
    pub(crate) fn link(&self) -> &LinkState {
        &self.link
    }
}

impl Gateway {
    /// Builds the next update for a link.
    pub(crate) fn make_update(
        &self,
        relation: LinkRelation,
        peer: Option<&VmName>,
        sent: &mut UpdateSendState,
    ) -> VmUpdate {
        let now = self.now();
        self.refresh_status();
        self.refresh_own_work(now);
        let update = self
            .overlay
            .borrow_mut()
            .next_update(now, relation, peer, &mut sent.link);
        let mut update = wire_update(&update);
        let copy = self.mirror.borrow().state();
        update.copy_hash = copy.hash;
        update.copy_revision = copy.revision;
        update.copy_is_whole = self.shares_copy();
        let age = self.copy_age().filter(|_| update.copy_is_whole);
        update.copy_age_ms = age.map(wire_millis);
        update.costs = cost_view(relation).map_or_else(Vec::new, |view| sent.costs.due(self, view));
        update.regions = self.region_updates(now, relation, &mut sent.regions);
        self.collect_suspects(&mut sent.suspects, &mut update);
        update
    }

    /// Applies an update from another VM. Returns `None` if its link has to be set up anew.
    pub(crate) fn apply_update(
        &self,
        from: &VmName,
        update: &VmUpdate,
    ) -> Option<UpdateReceiveState> {
        let now = self.now();
        let settings = self.settings();
        let Some(message) = overlay_update(update, &settings.place.centers) else {
            self.metrics.count("onyxfall_unknown_updates_total");
            return Some(UpdateReceiveState::default());
        };
        let relation = message.relation;
        let received = self.overlay.borrow_mut().apply(now, from, &message);
        self.metrics
            .count_more("onyxfall_absurd_work_total", received.implausible as u64);
        if received.is_cut {
            return None;
        }
        self.apply_work(now);
        match relation {
            LinkRelation::Digest => self.record_digest(),
            LinkRelation::Report | LinkRelation::Partial => self.queries.changed.notify_waiters(),
            _ => {}
        }
        apply_costs(self, from, cost_source(relation), &update.costs);
        self.apply_regions(now, relation, &update.regions);
        self.apply_suspects(now, update);
        self.record_peer_copy(
            from,
            PeerCopy {
                state: CopyState {
                    revision: update.copy_revision,
                    hash: update.copy_hash,
                },
                is_whole: update.copy_is_whole,
                proved_at: update
                    .copy_age_ms
                    .map(|age| self.peer_moment(now, from, age)),
            },
        );
        Some(UpdateReceiveState {
            relation: Some(relation),
            answer: self.overlay.borrow().answer(from, relation),
            is_query: update.asks,
        })
    }

    /// The moment that another VM states as an age in milliseconds, if the message took half a
    /// round trip.
    fn peer_moment(&self, now: Moment, from: &VmName, age_ms: u32) -> Moment {
        let overlay = self.overlay.borrow();
        let roster = overlay.roster();
        let far = roster.get(from).filter(|vm| !roster.is_near(&vm.record));
        let trip = far.map_or(Duration::ZERO, |vm| {
            self.trips.borrow().to(&vm.record.region)
        });
        now.before(Duration::from_millis(age_ms.into()) + trip / 2)
    }

    /// Refreshes this VM's own status. If it has changed, other VMs are notified at once.
    pub(crate) fn refresh_status(&self) {
        let status = VmStatus {
            is_ready: self.is_ready(),
            is_leaving: self.is_shutting_down(),
            watches_store: self.store.borrow().is_watched(),
            unreached: self.unreached_services(),
        };
        if self.overlay.borrow_mut().roster_mut().set_status(status) {
            self.send_updates_now.notify_waiters();
        }
    }

    /// Applies changes of other VMs' work.
    pub(crate) fn apply_work(&self, now: Moment) {
        let changed = self.overlay.borrow_mut().totals_mut().take_changes();
        for tag in changed {
            let work = self.overlay.borrow().totals().others(tag);
            let server = self.fleet.borrow().find_tag(tag.0);
            match server {
                Some(server) => {
                    let was_limited = self.is_limited(now, server);
                    let mut fleet = self.fleet.borrow_mut();
                    fleet.server_mut(server).set_others(now, work);
                    drop(fleet);
                    self.update_suspected(now, server);
                    self.log_limit_change(now, server, was_limited);
                }
                None if self.apply_evidence(tag, &work) => {}
                None => self.apply_rate(now, tag, work.flow),
            }
        }
    }

    /// Sets the rate that other VMs report under a tag that is not a server's: a team's demand
    /// or usage, or a request rate in thousandths.
    fn apply_rate(&self, now: Moment, tag: ServerTag, flow: u64) {
        if self
            .quotas
            .borrow_mut()
            .set_peer_flow(now, tag.0, flow as f64)
        {
            return;
        }
        let is_class = {
            let mut capacity = self.capacity.borrow_mut();
            capacity.ledger_mut().set_peer_flow(tag.0, flow)
        };
        if is_class {
            return;
        }
        let rate = flow as f64 / 1e3;
        let is_service = self.fleet.borrow_mut().set_peer_rate(tag.0, rate);
        if !is_service
            && !self
                .remote_table
                .borrow_mut()
                .set_peer_rate(now, tag.0, rate)
        {
            log::debug!("ignoring work of an unknown server {}", tag.0);
        }
    }

    pub(crate) fn refresh_own_work(&self, now: Moment) {
        let collected_at = self.own_work_at.get();
        if collected_at.is_some_and(|at| now - at < OWN_WORK_INTERVAL) {
            return;
        }
        self.own_work_at.set(Some(now));
        let fleet = self.fleet.borrow();
        let work = fleet
            .live()
            .map(|(id, server)| (server, fleet.own_work(now, id)))
            .filter(|(_, share)| *share != WorkShare::default())
            .map(|(server, share)| WorkEntry {
                server: ServerTag(server.tag()),
                share,
            });
        let away = self.remote_table.borrow();
        let rates = fleet.own_rates(now).chain(away.own_rates(now));
        let rates = rates.map(|(tag, rate)| (tag, thousandths(rate).into()));
        let quotas = self.quotas.borrow();
        let team_flows = quotas.own_flows(now);
        let team_flows = team_flows.map(|(tag, flow)| (tag, whole(flow)));
        let flows = rates.chain(team_flows).map(|(tag, flow)| WorkEntry {
            server: ServerTag(tag),
            share: WorkShare {
                flow,
                ..WorkShare::default()
            },
        });
        let work = work.chain(flows).chain(self.own_evidence());
        let work = work.chain(self.own_class_work(now));
        self.overlay.borrow_mut().totals_mut().set_own(work);
    }

    /// The load reports of regions that have not been sent on a link yet.
    fn region_updates(
        &self,
        now: Moment,
        relation: LinkRelation,
        sent: &mut BTreeMap<RegionName, Moment>,
    ) -> Vec<RegionLoadEntry> {
        match relation {
            LinkRelation::Region => vec![RegionLoadEntry {
                region: self.settings().place.region.to_string(),
                age_ms: 0,
                services: self.own_loads(now),
                teams: demand_entries(self.quotas.borrow().region_flows(now)),
                evidence: self.region_evidence(),
                classes: self.class_flows(now),
            }],
            LinkRelation::Digest | LinkRelation::StandbyDigest => self
                .remote_table
                .borrow()
                .reports(now)
                .filter(|(region, at, _)| sent.insert((*region).clone(), *at) != Some(*at))
                .map(|(region, at, loads)| RegionLoadEntry {
                    region: region.to_string(),
                    age_ms: wire_millis(now - at),
                    services: loads
                        .iter()
                        .map(|(tag, load)| load_entry(*tag, load))
                        .collect(),
                    teams: demand_entries(self.quotas.borrow().flows_of(region)),
                    evidence: self.remote_evidence(region),
                    classes: self.reported_class_flows(region),
                })
                .collect(),
            _ => Vec::new(),
        }
    }

    /// Applies load reports of other regions. An aggregator of a region reports its own region
    /// only.
    fn apply_regions(&self, now: Moment, relation: LinkRelation, updates: &[RegionLoadEntry]) {
        let own = self.settings().place.region.clone();
        for update in updates {
            let Ok(region) = update.region.parse::<RegionName>() else {
                continue;
            };
            if region == own {
                continue;
            }
            let trip = self.trips.borrow().to(&region);
            let mut age = Duration::from_millis(update.age_ms.into());
            if relation == LinkRelation::Region {
                age += trip / 2;
            }
            let loads = update.services.iter();
            let loads: Vec<(u32, ServiceLoad)> = loads
                .map(|entry| (entry.service, load_from_entry(entry)))
                .collect();
            let reported_at = now.before(age);
            let flows: Vec<TeamFlow> = update
                .teams
                .iter()
                .map(|entry| TeamFlow {
                    team: entry.team,
                    demand: entry.demand as f64,
                    used: entry.used.map(|used| used as f64),
                })
                .collect();
            self.apply_remote_evidence(&region, &update.evidence);
            self.apply_class_flows(reported_at, &region, &update.classes, &loads);
            self.quotas
                .borrow_mut()
                .receive(reported_at, &region, &flows);
            self.remote_table.borrow_mut().apply(
                reported_at,
                &region,
                trip,
                loads.into_iter().collect(),
            );
        }
    }

    /// Free capacity of this region, by service.
    fn own_loads(&self, now: Moment) -> Vec<ServiceLoadEntry> {
        let Some(table) = self.table() else {
            return Vec::new();
        };
        let fleet = self.fleet.borrow();
        let mut entries = Vec::new();
        for service in table.services() {
            let typical = CallRequirements {
                service: service.name.clone(),
                engine: service.engine,
                prompt: PromptSize::default(),
                goal: Duration::from_secs(1),
                urgency: 0,
                backlog_limit: None,
                deadline: now,
                events: None,
                homes: HomeRegions::Any,
                version: None,
            };
            let offers: Vec<(TimePrediction, Duration)> = fleet
                .free_servers(now, &typical)
                .map(|id| {
                    (
                        fleet.predict(now, id, &typical),
                        fleet.predict_event_interval(now, id, &typical),
                    )
                })
                .collect();
            let Some((least, event_interval)) = offers.iter().min_by_key(|(offer, _)| offer.loaded)
            else {
                continue;
            };
            let load = ServiceLoad {
                wait: least.loaded,
                usable: u32::try_from(offers.len()).unwrap_or(u32::MAX),
                event_interval: *event_interval,
                backlog: least.backlog,
                capacity: if service.engine.is_some() {
                    self.reported_capacity(&service.name)
                } else {
                    0
                },
                spare: if service.engine.is_none() {
                    thousandths(fleet.spare(now, &service.name))
                } else {
                    0
                },
            };
            entries.push(load_entry(name_tag(service.name.as_str()), &load));
        }
        entries
    }
}

/// Whose costs a relation reports, if any.
fn cost_view(relation: LinkRelation) -> Option<CostView> {
    match relation {
        LinkRelation::Report => Some(CostView::Own),
        LinkRelation::Partial => Some(CostView::Partial),
        LinkRelation::Digest => Some(CostView::All),
        _ => None,
    }
}

fn cost_source(relation: LinkRelation) -> CostSource {
    match relation {
        LinkRelation::Report => CostSource::Member,
        _ => CostSource::Aggregator,
    }
}

fn load_entry(service: u32, load: &ServiceLoad) -> ServiceLoadEntry {
    ServiceLoadEntry {
        service,
        wait_ms: wire_millis(load.wait),
        backlog_ms: wire_millis(load.backlog),
        pace_ms: wire_millis(load.event_interval),
        usable: load.usable,
        spare: load.spare,
        capacity: load.capacity,
    }
}

fn load_from_entry(entry: &ServiceLoadEntry) -> ServiceLoad {
    ServiceLoad {
        wait: Duration::from_millis(entry.wait_ms.into()),
        usable: entry.usable,
        event_interval: Duration::from_millis(entry.pace_ms.into()),
        backlog: Duration::from_millis(entry.backlog_ms.into()),
        spare: entry.spare,
        capacity: entry.capacity,
    }
}

fn demand_entries(flows: impl Iterator<Item = TeamFlow>) -> Vec<TeamDemandEntry> {
    flows
        .map(|flow| TeamDemandEntry {
            team: flow.team,
            demand: whole(flow.demand),
            used: flow.used.map(whole),
        })
        .filter(|entry| entry.demand > 0)
        .collect()
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn thousandths(rate: f64) -> u32 {
    (rate.max(0.0) * 1e3).round() as u32
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(amount: f64) -> u64 {
    amount.max(0.0).round() as u64
}
