//! Which entries callers should use.

use onyxfall_platform::{VmRecord, VmRole, VmState};
use onyxfall_policy::{MemberHeartbeat, MemberState, VmMember};
use onyxfall_types::{RegionName, VmName};
use serde_json::{Value, json};

use crate::core::EntryCore;

/// Entries, best first: the home region's, then the own data centre's, then the
/// own region's, then the rest. Leaving and silent ones are absent.
pub(crate) fn entries_for_callers(core: &EntryCore, home: Option<&RegionName>) -> Vec<Value> {
    let members = core.members.lock();
    let own = members.own().clone();
    let mut beats: Vec<MemberHeartbeat> = members
        .others()
        .filter(|m| m.state == MemberState::Alive)
        .map(|m| m.beat.clone())
        .collect();
    drop(members);
    if !own.leaving {
        beats.push(own.clone());
    }
    let home = home.unwrap_or(&own.region);
    beats.sort_by_key(|beat| {
        let rank = (
            beat.region != *home,
            beat.center != own.center,
            beat.region != own.region,
        );
        (rank, beat.name.clone())
    });
    beats.iter().map(entry_json).collect()
}

fn entry_json(beat: &MemberHeartbeat) -> Value {
    json!({
        "name": beat.name.as_str(),
        "region": beat.region.as_str(),
        "data_centre": beat.center.as_str(),
        "address": beat.address.to_string(),
    })
}

/// The own data centre's entries as the platform's directory lists them.
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

fn record_of(beat: &MemberHeartbeat) -> VmRecord {
    VmRecord {
        name: beat.name.to_string(),
        role: VmRole::Entry,
        state: if beat.leaving {
            VmState::Leaving
        } else {
            VmState::Live
        },
        region: beat.region.clone(),
        center: beat.center.clone(),
        address: beat.address,
        peer_address: Some(beat.peer_address),
    }
}

/// A record of the platform's list as a member that was not heard yet.
pub(crate) fn beat_of_record(record: &VmRecord) -> Option<MemberHeartbeat> {
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
