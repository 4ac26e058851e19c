//! Sends and applies heartbeats, load messages and the other control frames.
//!
//! Within a data centre, every entry sends heartbeats to every other entry. Between
//! data centres, one entry, which holds the speaker duty, sends them to one entry of
//! each other data centre. The receiver forwards the load message within its own data
//! centre.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use onyxfall_policy::{CenterDigest, DrainSource, MemberHeartbeat, MemberState, ModelDigest};
use onyxfall_types::{CenterName, Incarnation, name_tag};
use onyxfall_wire::{
    CenterLoad, ContentRequest, ContentText, DrainEntry, EntryHeartbeat, MemberEntry, MemberSet,
    MembersRequest, ModelLoad, PeerPayload, PingRequest, PongReply, RecordSet, RecordsRequest,
};

use crate::control::config::offer_content;
use crate::control::demand::OpenCount;
use crate::control::observe::apply_load;
use crate::control::offer_records;
use crate::core::EntryCore;
use crate::peer::PeerLink;
use crate::supervisor::StopSignal;

const SPEAKER_DUTY: &str = "speaker";
/// Interval at which the waiting queue is polled; also the resolution of the other
/// intervals.
const TICK: Duration = Duration::from_millis(20);
/// Number of heartbeat intervals without a frame after which a link is closed.
const MAX_MISSED_HEARTBEATS: u32 = 5;

/// Sends heartbeats and advances the timers of the members and the waiting queue until
/// shutdown.
pub(crate) fn run_heartbeats(core: &Arc<EntryCore>, stop: &StopSignal) {
    let mut sequence = 0;
    let mut next_heartbeat = core.now();
    let mut next_load = core.now();
    while !stop.wait(TICK) {
        core.poll_waiting();
        let now = core.now();
        if now >= next_heartbeat {
            next_heartbeat = now + core.settings.heartbeat_interval;
            sequence += 1;
            tick_members(core, sequence);
            send_heartbeats(core, sequence);
        }
        if now >= next_load {
            next_load = now + core.settings.center_interval;
            send_loads(core, sequence);
        }
    }
    sequence += 1;
    send_heartbeats(core, sequence);
}

fn tick_members(core: &EntryCore, sequence: u64) {
    let now = core.now();
    let (changed, rank, members) = {
        let mut table = core.members.lock();
        let changed = table.tick(now);
        let (rank, members) = table.own_rank();
        (changed, rank, members)
    };
    core.with_router(|router| {
        router.set_members(now, rank, members);
        for name in &changed {
            router.evict_peer(name);
        }
    });
    for name in changed {
        log::info!("member {name} changed state: no heartbeat was received");
    }
    check_links(core, sequence);
    let table = core.members.lock();
    core.links.retain(|name| table.get(name).is_some());
}

/// Pings idle links and closes those that stay idle.
fn check_links(core: &EntryCore, sequence: u64) {
    let interval = core
        .settings
        .heartbeat_interval
        .max(core.settings.center_interval);
    for link in core.links.open() {
        if link.time_since_received() > interval * MAX_MISSED_HEARTBEATS {
            log::warn!(
                "no frame was received on the link to {}; closing it",
                link.name()
            );
            link.close();
        } else if link.time_since_received() > interval {
            link.send_control(core, PeerPayload::Ping(PingRequest { sequence }));
        }
    }
}

/// Members of the own data centre that receive heartbeats.
fn center_peers(core: &EntryCore) -> Vec<MemberHeartbeat> {
    let members = core.members.lock();
    let own = members.own().center.clone();
    let receives_heartbeats = |state| !matches!(state, MemberState::Gone);
    members
        .others()
        .filter(|m| m.beat.center == own && receives_heartbeats(m.state))
        .map(|m| m.beat.clone())
        .collect()
}

fn send_heartbeats(core: &Arc<EntryCore>, sequence: u64) {
    let heartbeat = own_heartbeat(core, sequence);
    for peer in center_peers(core) {
        let mut heartbeat = heartbeat.clone();
        heartbeat.receiver_incarnation = peer.incarnation.get();
        send_or_dial(core, &peer, sequence, PeerPayload::Beat(heartbeat));
    }
}

/// Sends over an open link, or dials on a separate thread so that an unreachable peer
/// does not delay the heartbeats of the others.
fn send_or_dial(
    core: &Arc<EntryCore>,
    peer: &MemberHeartbeat,
    sequence: u64,
    payload: PeerPayload,
) {
    if let Some(link) = core.links.up(&peer.name) {
        link.record_ping(sequence);
        link.send_control(core, payload);
        return;
    }
    let (core, peer) = (Arc::clone(core), peer.clone());
    let spawned = std::thread::Builder::new()
        .name("peer-dial".to_owned())
        .stack_size(128 * 1024)
        .spawn(move || {
            if let Ok(link) = core.links.try_link_to(&core, &peer) {
                link.record_ping(sequence);
                link.send_control(&core, payload);
            }
        });
    if let Err(e) = spawned {
        log::error!("cannot start a thread to dial a peer: {e}");
    }
}

fn own_heartbeat(core: &EntryCore, sequence: u64) -> EntryHeartbeat {
    let queues = core.with_router(|router| {
        let bundle = Arc::clone(router.bundle());
        bundle
            .models
            .iter()
            .filter_map(|(id, model)| {
                let queued_ms =
                    u32::try_from(router.queued_work(id).as_millis()).unwrap_or(u32::MAX);
                let mut from_away = Vec::new();
                for (center, info) in bundle.centers.iter() {
                    let count = router.from_remote(center, id);
                    if count > 0 {
                        from_away.extend([name_tag(info.name.as_str()), count]);
                    }
                }
                let is_idle = queued_ms == 0 && from_away.is_empty();
                let model = name_tag(model.name.as_str());
                (!is_idle).then_some(ModelLoad {
                    model,
                    queued_ms,
                    from_away,
                    ..ModelLoad::default()
                })
            })
            .collect::<Vec<_>>()
    });
    let drains = core.with_router(|router| {
        let entry =
            |(server, incarnation): (&onyxfall_types::ServerName, Incarnation)| DrainEntry {
                server: server.to_string(),
                incarnation: incarnation.get(),
            };
        router.drains().iter().map(entry).collect::<Vec<_>>()
    });
    // Each lock is released before the next one is acquired.
    let (leaving, members) = {
        let table = core.members.lock();
        (
            table.own().leaving,
            table.serving_hash(&core.settings.center),
        )
    };
    let servers = core.observed.lock().values().cloned().collect();
    let records = core.config.lock().records_hash();
    EntryHeartbeat {
        sequence,
        leaving,
        servers,
        queues: queues.unwrap_or_default(),
        drains: drains.unwrap_or_default(),
        records,
        receiver_incarnation: 0,
        members,
    }
}

/// Sends heartbeats and load to one entry of each other data centre, if this VM has the
/// speaker duty.
fn send_loads(core: &Arc<EntryCore>, sequence: u64) {
    if !core.members.lock().has_duty(SPEAKER_DUTY) {
        return;
    }
    let targets = load_targets(core);
    let leaving = core.members.lock().own().leaving;
    let records = core.config.lock().records_hash();
    for target in targets {
        let heartbeat = EntryHeartbeat {
            sequence,
            leaving,
            records,
            receiver_incarnation: target.incarnation.get(),
            ..EntryHeartbeat::default()
        };
        send_or_dial(core, &target, sequence, PeerPayload::Beat(heartbeat));
        if let Some(link) = core.links.up(&target.name)
            && let Some(load) = own_load(core, &target.center)
        {
            link.send_control(core, PeerPayload::Load(load));
        }
    }
}

/// Picks one entry of each other data centre; the choice stays the same while that
/// entry is alive.
fn load_targets(core: &EntryCore) -> Vec<MemberHeartbeat> {
    let table = core.members.lock();
    let own = table.own().center.clone();
    let mut best: BTreeMap<CenterName, (MemberState, MemberHeartbeat)> = BTreeMap::new();
    for member in table.others() {
        let usable = matches!(
            member.state,
            MemberState::Alive | MemberState::Hinted | MemberState::Suspect
        );
        if member.beat.center == own || !usable {
            continue;
        }
        let better = best.get(&member.beat.center).is_none_or(|(state, _)| {
            *state != MemberState::Alive && member.state == MemberState::Alive
        });
        if better {
            best.insert(
                member.beat.center.clone(),
                (member.state, member.beat.clone()),
            );
        }
    }
    best.into_values().map(|(_, heartbeat)| heartbeat).collect()
}

/// Load message for `to`: free capacity, grants and demand of this data centre.
fn own_load(core: &EntryCore, to: &CenterName) -> Option<CenterLoad> {
    let now = core.now();
    let models = core.with_router(|router| {
        let bundle = Arc::clone(router.bundle());
        let to_id = bundle.center_id(to.as_str());
        let demand = core.demand.lock();
        let tag = |model| name_tag(bundle.models[model].name.as_str());
        let from_away = |model| {
            let own = to_id.map_or(0, |to| router.from_remote(to, model));
            own + demand.peer_open(to, tag(model))
        };
        let digests = router.digest_for(
            now,
            |model| demand.requesting_centers(now, to, tag(model)),
            from_away,
        );
        digests
            .iter()
            .map(|digest| ModelLoad {
                model: tag(digest.model),
                free: digest.free,
                wait_ms: u32::try_from(digest.wait.as_millis()).unwrap_or(u32::MAX),
                grant: digest.grant,
                queued_ms: u32::from(digest.free == 0),
                from_away: Vec::new(),
            })
            .collect::<Vec<_>>()
    })?;
    let sequence = now.as_micros() / 1000;
    let incarnation = core.incarnation().get();
    let members = core.members.lock().serving_hash(&core.settings.center);
    let center = core.settings.center.to_string();
    Some(CenterLoad {
        center,
        sequence: (incarnation << 36) | sequence,
        models,
        rtt_us: 0,
        members,
    })
}

/// Handles a control or configuration frame from either side of a link.
pub(crate) fn handle_control(core: &Arc<EntryCore>, link: &Arc<PeerLink>, payload: PeerPayload) {
    match payload {
        PeerPayload::Beat(heartbeat) => apply_heartbeat(core, link, &heartbeat),
        PeerPayload::Pong(pong) => apply_pong(core, link, &pong),
        PeerPayload::Ping(request) => {
            let pong = PongReply {
                sequence: request.sequence,
            };
            link.send_control(core, PeerPayload::Pong(pong));
        }
        PeerPayload::Load(load) => apply_center_load(core, link, load),
        PeerPayload::MembersRequest(request) => send_members(core, link, &request.center),
        PeerPayload::Members(set) => apply_members(core, &set),
        PeerPayload::RecordsRequest(RecordsRequest {}) => {
            let records = core.config.lock().records();
            let records = records
                .iter()
                .filter_map(|record| serde_json::to_string(record).ok())
                .collect();
            link.send_control(core, PeerPayload::Records(RecordSet { records }));
        }
        PeerPayload::Records(set) => {
            let parse = |text: &String| serde_json::from_str(text).ok();
            let records = set.records.iter().filter_map(parse).collect();
            for digest in offer_records(core, records) {
                let request = ContentRequest {
                    digest: digest.to_string(),
                };
                link.send_control(core, PeerPayload::ContentRequest(request));
            }
        }
        PeerPayload::ContentRequest(request) => {
            let digest = request.digest.parse().ok();
            let config = core.config.lock();
            let stored = digest.and_then(|digest| config.content(&digest).cloned());
            drop(config);
            let bundle = stored.and_then(|stored| serde_json::to_string(&stored).ok());
            let content = ContentText {
                bundle: bundle.unwrap_or_default(),
            };
            link.send_control(core, PeerPayload::Content(content));
        }
        PeerPayload::Content(content) => {
            if let Ok(bundle) = serde_json::from_str(&content.bundle) {
                offer_content(core, bundle);
            }
        }
        PeerPayload::Hello(_)
        | PeerPayload::Open(_)
        | PeerPayload::Head(_)
        | PeerPayload::Data(_)
        | PeerPayload::Credit(_)
        | PeerPayload::End(_)
        | PeerPayload::Cancel(_)
        | PeerPayload::Update(_)
        | PeerPayload::SnapshotRequest(_)
        | PeerPayload::Snapshot(_)
        | PeerPayload::Delta(_) => {
            core.metrics.count(crate::metrics::CounterName::StrayFrames);
        }
    }
}

fn apply_heartbeat(core: &Arc<EntryCore>, link: &Arc<PeerLink>, heartbeat: &EntryHeartbeat) {
    link.send_control(
        core,
        PeerPayload::Pong(PongReply {
            sequence: heartbeat.sequence,
        }),
    );
    let now = core.now();
    let sender = MemberHeartbeat {
        leaving: heartbeat.leaving,
        ..link.peer().clone()
    };
    {
        let mut members = core.members.lock();
        members.receive(now, &sender);
        let own = members.own().clone();
        let reported = Incarnation::new(heartbeat.receiver_incarnation);
        members.receive(
            now,
            &MemberHeartbeat {
                incarnation: reported,
                ..own
            },
        );
    }
    for load in &heartbeat.servers {
        apply_load(core, load);
    }
    apply_drains(core, &heartbeat.drains);
    if sender.center == core.settings.center {
        apply_queues(core, &sender, &heartbeat.queues);
        compare_members(core, link, heartbeat.members);
    }
    if heartbeat.records != core.config.lock().records_hash() {
        link.send_control(core, PeerPayload::RecordsRequest(RecordsRequest {}));
    }
}

fn apply_drains(core: &EntryCore, drains: &[DrainEntry]) {
    for drain in drains {
        let Ok(name) = drain.server.parse() else {
            continue;
        };
        let incarnation = Incarnation::new(drain.incarnation);
        let is_new = core.with_router(|router| router.drain(&name, incarnation));
        if is_new == Some(true) {
            log::info!("server {name} is draining ({})", DrainSource::Peer.as_str());
        }
    }
}

fn apply_queues(core: &EntryCore, sender: &MemberHeartbeat, queues: &[ModelLoad]) {
    let now = core.now();
    let mut open = Vec::new();
    for queue in queues {
        for pair in queue.from_away.chunks_exact(2) {
            open.push(OpenCount {
                model: queue.model,
                center: pair[0],
                count: pair[1],
            });
        }
    }
    core.demand.lock().record_open(now, &sender.name, open);
    core.with_router(|router| {
        let bundle = Arc::clone(router.bundle());
        for (id, model) in bundle.models.iter() {
            let tag = name_tag(model.name.as_str());
            let work = queues.iter().find(|queue| queue.model == tag);
            let work = work.map_or(0, |queue| u64::from(queue.queued_ms));
            router.set_peer_work(id, &sender.name, Duration::from_millis(work));
        }
    });
}

fn apply_pong(core: &EntryCore, link: &PeerLink, pong: &PongReply) {
    let Some(rtt) = link.finish_ping(pong.sequence) else {
        return;
    };
    let center = link.peer().center.clone();
    core.with_router(|router| {
        if let Some(id) = router.bundle().center_id(center.as_str()) {
            router.centers_mut().record_rtt(id, rtt);
        }
    });
}

fn apply_center_load(core: &Arc<EntryCore>, link: &Arc<PeerLink>, load: CenterLoad) {
    let now = core.now();
    let Ok(center) = load.center.parse::<CenterName>() else {
        return;
    };
    {
        let mut demand = core.demand.lock();
        for model in load.models.iter().filter(|model| model.queued_ms > 0) {
            demand.record_waiting(now, &center, model.model);
        }
    }
    core.with_router(|router| {
        let bundle = Arc::clone(router.bundle());
        let Some(id) = bundle.center_id(center.as_str()) else {
            return;
        };
        let models = load.models.iter().filter_map(|model| {
            Some(ModelDigest {
                model: router.model_by_tag(model.model)?,
                free: model.free,
                wait: Duration::from_millis(u64::from(model.wait_ms)),
                grant: model.grant,
            })
        });
        let digest = CenterDigest {
            center: id,
            sequence: load.sequence,
            models: models.collect(),
        };
        router.receive_center(now, &digest);
        if load.rtt_us > 0 {
            let rtt = Duration::from_micros(u64::from(load.rtt_us));
            router.centers_mut().record_rtt(id, rtt);
        }
    });
    apply_members_hash(core, link, &center, load.members);
    let came_from_outside = link.peer().center != core.settings.center;
    if came_from_outside && center != core.settings.center {
        relay_load(core, &center, load);
    }
}

/// Requests the members of the own data centre from a peer whose member hash differs.
fn compare_members(core: &EntryCore, link: &PeerLink, hash: u64) {
    let center = &core.settings.center;
    let is_same = core.members.lock().serving_hash(center) == hash;
    if !is_same {
        let request = MembersRequest {
            center: center.to_string(),
        };
        link.send_control(core, PeerPayload::MembersRequest(request));
    }
}

/// Refreshes the members of a data centre, or requests them if they have changed.
fn apply_members_hash(core: &EntryCore, link: &PeerLink, center: &CenterName, hash: u64) {
    if *center == core.settings.center {
        return;
    }
    let now = core.now();
    let is_known = {
        let mut members = core.members.lock();
        let is_known = members.serving_hash(center) == hash;
        if is_known {
            members.receive_center(now, center);
        }
        is_known
    };
    if !is_known {
        let request = MembersRequest {
            center: center.to_string(),
        };
        link.send_control(core, PeerPayload::MembersRequest(request));
    }
}

/// Sends the serving members of a data centre that this VM has recorded.
fn send_members(core: &EntryCore, link: &PeerLink, center: &str) {
    let Ok(name) = center.parse::<CenterName>() else {
        return;
    };
    let members = core
        .members
        .lock()
        .serving_in(&name)
        .into_iter()
        .map(MemberEntry::from)
        .collect();
    let set = MemberSet {
        center: center.to_owned(),
        members,
    };
    link.send_control(core, PeerPayload::Members(set));
}

/// Applies the members of a data centre. Members of the own data centre are only hints:
/// they are dialled, and their own heartbeat decides their state.
fn apply_members(core: &EntryCore, set: &MemberSet) {
    let Ok(center) = set.center.parse::<CenterName>() else {
        return;
    };
    let heartbeats: Vec<MemberHeartbeat> = set
        .members
        .iter()
        .filter_map(MemberEntry::to_beat)
        .collect();
    let now = core.now();
    let mut members = core.members.lock();
    if center == core.settings.center {
        for heartbeat in &heartbeats {
            members.hint(now, heartbeat);
        }
    } else if !heartbeats.is_empty() {
        members.receive_members(now, &center, &heartbeats);
    }
}

/// Forwards the load of another data centre to the entries of the own one.
fn relay_load(core: &Arc<EntryCore>, center: &CenterName, mut load: CenterLoad) {
    let rtt = core.with_router(|router| {
        let id = router.bundle().center_id(center.as_str())?;
        Some(router.centers_mut().view(id).rtt())
    });
    let rtt = rtt.flatten().unwrap_or_default();
    load.rtt_us = u32::try_from(rtt.as_micros()).unwrap_or(u32::MAX);
    let peers = center_peers(core);
    for link in core.links.open() {
        if peers.iter().any(|peer| peer.name == *link.name()) {
            link.send_control(core, PeerPayload::Load(load.clone()));
        }
    }
}
