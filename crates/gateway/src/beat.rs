//! Heartbeats between VMs: what is told, and what is taken from them.

use std::collections::BTreeMap;
use std::time::Duration;

use onyxfall_fleet::{
    CallNeeds, PromptSize, ServiceLoad, StoreItem, TimePrediction, UnreadTokens, WorkShare,
};
use onyxfall_policy::MemberBeat;
use onyxfall_types::{RegionName, name_tag};
use onyxfall_wire::{ServerWorkEntry, ServiceLoadEntry, StoreSnapshot, VmBeat};

use crate::costs::take_costs;
use crate::gateway::{Gateway, VmStatus};
use crate::share::{store_item, wire_item};

/// Least time between two heartbeats to a VM of another region.
const FAR_INTERVAL: Duration = Duration::from_millis(400);
/// The same within a region, where they tell work at servers that are shared and
/// their bytes cost nothing.
const NEAR_INTERVAL: Duration = Duration::from_millis(60);
/// Heartbeats that a VM sends within its region each second at most, so that its work
/// does not grow with the region. Eight VMs hear each other each 60 ms with it, which
/// brought a mean worth of 0.680 where 150 and 400 ms brought 0.676 and 0.668.
const NEAR_BEATS_PER_SECOND: f64 = 130.0;
/// Longest time between two heartbeats: three are sent before a VM is suspected.
const LONGEST_INTERVAL: Duration = Duration::from_millis(400);

/// Time between two heartbeats to one VM, with `near_vms` others in the region.
/// Those told in other regions are few whatever the size of the fleet.
pub(crate) fn beat_interval(near_vms: usize, is_near: bool, is_dense: bool) -> Duration {
    if !is_near {
        return FAR_INTERVAL;
    }
    if !is_dense {
        return LONGEST_INTERVAL;
    }
    let shared = Duration::from_secs_f64(near_vms as f64 / NEAR_BEATS_PER_SECOND);
    shared.clamp(NEAR_INTERVAL, LONGEST_INTERVAL)
}

/// This VM's heartbeat for a VM of `region`.
pub(crate) fn own_beat(gateway: &Gateway, region: &RegionName) -> VmBeat {
    let is_near = gateway.is_near(region);
    let mirror = gateway.mirror.borrow();
    VmBeat {
        ready: gateway.is_ready(),
        leaving: gateway.is_leaving(),
        watches_store: gateway.store.borrow().is_watched(),
        mirror_hash: mirror.hash(),
        mirror_revision: mirror.revision(),
        loads: if is_near { Vec::new() } else { loads(gateway) },
        work: if is_near { work(gateway) } else { Vec::new() },
        costs: Vec::new(),
    }
}

/// What this region has free, by service.
fn loads(gateway: &Gateway) -> Vec<ServiceLoadEntry> {
    let Some(table) = gateway.table() else {
        return Vec::new();
    };
    let now = gateway.now();
    let fleet = gateway.fleet.borrow();
    let region = fleet.place().region.clone();
    let mut entries = Vec::new();
    for service in table.services() {
        let usual = CallNeeds {
            service: service.name.clone(),
            engine: service.engine,
            prompt: PromptSize::default(),
            goal: Duration::from_secs(1),
            urgency: 0,
            deadline: now,
            events: None,
            home_regions: Vec::new(),
        };
        let offers: Vec<(TimePrediction, Duration)> = fleet
            .servers_of(&service.name)
            .iter()
            .copied()
            .filter(|id| {
                let server = fleet.server(*id);
                server.region == region
                    && server.takes_work()
                    && server.is_trusted(now)
                    && !server.is_cold(now)
                    && server.has_room(&usual)
                    && !fleet.is_evacuated(&server.record.center)
            })
            .map(|id| {
                let predicted = fleet.predict(now, id, &usual);
                (predicted, fleet.predict_pace(now, id, &usual))
            })
            .collect();
        let Some((least, pace)) = offers.iter().min_by_key(|(offer, _)| offer.loaded) else {
            continue;
        };
        entries.push(ServiceLoadEntry {
            service: name_tag(service.name.as_str()),
            wait_ms: wire_millis(least.loaded),
            backlog_ms: wire_millis(least.backlog),
            pace_ms: wire_millis(*pace),
            usable: u32::try_from(offers.len()).unwrap_or(u32::MAX),
        });
    }
    entries
}

fn wire_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// This VM's work at the servers of its region.
fn work(gateway: &Gateway) -> Vec<ServerWorkEntry> {
    let now = gateway.now();
    let fleet = gateway.fleet.borrow();
    fleet
        .live()
        .map(|(_, server)| (server, server.own_work(now)))
        .filter(|(_, own)| *own != WorkShare::default())
        .map(|(server, own)| ServerWorkEntry {
            server: name_tag(server.record.name.as_str()),
            requests: own.requests,
            unread: own.unread.as_slice().to_vec(),
            memory: own.memory,
            flow: own.flow,
        })
        .collect()
}

/// Takes another VM's heartbeat; whether its copy of the store should be asked for.
pub(crate) fn take_beat(gateway: &Gateway, from: &MemberBeat, beat: &VmBeat) -> bool {
    let now = gateway.now();
    let mut member = from.clone();
    member.leaving = beat.leaving;
    let news = gateway.members.borrow_mut().hear(now, &member);
    if news {
        log::info!(member = from.name.as_str(), leaving = beat.leaving; "member heard");
    }
    let status = VmStatus {
        is_ready: beat.ready,
        watches_store: beat.watches_store,
    };
    gateway
        .heard_vms
        .borrow_mut()
        .insert(from.name.clone(), status);
    take_costs(gateway, &from.name, &beat.costs);
    let is_near = gateway.is_near(&from.region);
    gateway.compare_copy(beat, is_near);
    if is_near {
        take_work(gateway, from, &beat.work);
    } else if beat.ready {
        take_loads(gateway, from, &beat.loads);
    } else {
        gateway.away.borrow_mut().forget(&from.name);
    }
    wants_snapshot(gateway, beat)
}

fn take_work(gateway: &Gateway, from: &MemberBeat, work: &[ServerWorkEntry]) {
    let told: BTreeMap<u32, &ServerWorkEntry> =
        work.iter().map(|entry| (entry.server, entry)).collect();
    let now = gateway.now();
    let mut fleet = gateway.fleet.borrow_mut();
    let tags: Vec<_> = fleet
        .live()
        .map(|(id, server)| (id, name_tag(server.record.name.as_str())))
        .collect();
    for (id, tag) in tags {
        let share = told
            .get(&tag)
            .map_or(WorkShare::default(), |entry| WorkShare {
                requests: entry.requests,
                unread: UnreadTokens::from_slice(&entry.unread),
                memory: entry.memory,
                flow: entry.flow,
            });
        fleet.server_mut(id).set_others(now, &from.name, share);
    }
}

fn take_loads(gateway: &Gateway, from: &MemberBeat, loads: &[ServiceLoadEntry]) {
    let loads = loads
        .iter()
        .map(|entry| {
            let load = ServiceLoad {
                wait: Duration::from_millis(u64::from(entry.wait_ms)),
                usable: entry.usable,
                pace: Duration::from_millis(u64::from(entry.pace_ms)),
                backlog: Duration::from_millis(u64::from(entry.backlog_ms)),
            };
            (entry.service, load)
        })
        .collect();
    let now = gateway.now();
    let mut away = gateway.away.borrow_mut();
    away.hear(now, &from.name, &from.region, loads);
}

/// A copy is asked for while the store does not answer here, if the other's is
/// newer, or if there is none here at all.
fn wants_snapshot(gateway: &Gateway, beat: &VmBeat) -> bool {
    let mirror = gateway.mirror.borrow();
    let is_other = beat.mirror_hash != mirror.hash() && beat.mirror_revision > 0;
    let is_newer = beat.mirror_revision >= mirror.revision();
    is_other && is_newer && !gateway.store.borrow().is_reached()
}

/// This VM's copy of the store.
pub(crate) fn own_snapshot(gateway: &Gateway) -> StoreSnapshot {
    let mirror = gateway.mirror.borrow();
    let items = mirror.snapshot().into_iter().map(wire_item).collect();
    StoreSnapshot {
        revision: mirror.revision(),
        items,
    }
}

/// Takes another VM's copy of the store, unless the store itself answers here.
pub(crate) fn take_snapshot(gateway: &Gateway, snapshot: StoreSnapshot) {
    let now = gateway.now();
    if gateway.store.borrow().is_reached() {
        return;
    }
    let items: Vec<StoreItem> = snapshot.items.into_iter().map(store_item).collect();
    log::info!(revision = snapshot.revision, items = items.len(); "copy of the store taken from a peer");
    let health = gateway.store.borrow().health(now);
    let changes = {
        let mut mirror = gateway.mirror.borrow_mut();
        mirror.replace(now, "", items, snapshot.revision, health)
    };
    gateway.apply_changes(changes);
}
