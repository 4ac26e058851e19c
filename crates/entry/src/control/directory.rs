//! Lists of entries, for callers and for the platform's directory.

use onyxfall_platform::{VmRecord, VmRole, VmState};
use onyxfall_policy::{MemberHeartbeat, MemberState, VmMember};
use onyxfall_types::{RegionName, VmName};
use serde_json::{Value, json};

use crate::core::EntryCore;

/// Entries in order of preference: those of the home region, the own data centre, the
/// own region, then the others. Draining and unresponsive entries are left out.
pub(crate) fn entries_for_callers(core: &EntryCore, home: Option<&RegionName>) -> Vec<Value> {
    let members = core.members.lock();
    let own = members.own().clone();
    let mut heartbeats: Vec<MemberHeartbeat> = members
        .others()
        .filter(|m| m.state == MemberState::Alive)
        .map(|m| m.beat.clone())
        .collect();
    drop(members);
    if !own.leaving {
        heartbeats.push(own.clone());
    }
    let home = home.unwrap_or(&own.region);
    heartbeats.sort_by_key(|heartbeat| {
        let rank = (
            heartbeat.region != *home,
            heartbeat.center != own.center,
            heartbeat.region != own.region,
        );
        (rank, heartbeat.name.clone())
    });
    heartbeats.iter().map(entry_json).collect()
}

fn entry_json(heartbeat: &MemberHeartbeat) -> Value {
    json!({
        "name": heartbeat.name.as_str(),
        "region": heartbeat.region.as_str(),
        "data_centre": heartbeat.center.as_str(),
        "address": heartbeat.address.to_string(),
    })
}

/// Entries of the own data centre, as published in the platform's directory.
pub(crate) fn publish_directory(core: &EntryCore) -> Vec<VmRecord> {
    let members = core.members.lock();
    let own = members.own().clone();
    let mut records: Vec<VmRecord> = members
        .alive_in(&own.center)
        .map(|m: &VmMember| record_of(&m.beat))
        .collect();
    if !own.leaving {
        records.push(record_of(&own));
    }
    records.sort_by(|a, b| a.name.cmp(&b.name));
    records
}

fn record_of(heartbeat: &MemberHeartbeat) -> VmRecord {
    VmRecord {
        name: heartbeat.name.to_string(),
        role: VmRole::Entry,
        state: if heartbeat.leaving {
            VmState::Leaving
        } else {
            VmState::Live
        },
        region: heartbeat.region.clone(),
        center: heartbeat.center.clone(),
        address: heartbeat.address,
        peer_address: Some(heartbeat.peer_address),
    }
}

/// Converts a record of the platform's list into a member that has sent no heartbeat
/// yet.
pub(crate) fn heartbeat_of_record(record: &VmRecord) -> Option<MemberHeartbeat> {
    let name: VmName = record.name.parse().ok()?;
    Some(MemberHeartbeat {
        name,
        center: record.center.clone(),
        region: record.region.clone(),
        incarnation: onyxfall_types::Incarnation::default(),
        leaving: false,
        address: record.address,
        peer_address: record.peer_address?,
    })
}
