//! Conversion of the overlay's messages to and from their wire form.
//!
//! Invalid values (an unknown data centre, a missing address, a relation of a later version)
//! are dropped here, so that the rest of the program handles typed values only.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use onyxfall_fleet::{LimitReports, PaceReports, PrefillTokens, ServerVotes, WorkShare};
use onyxfall_overlay::{
    LinkRelation, OverlayUpdate, RecordVersion, RosterUpdate, ServerTag, ServiceSet, UpdateScope,
    VmCapacity, VmRecord, VmStatus, WorkEntry, WorkUpdate,
};
use onyxfall_suspects::{CrashUpdate, InstanceTag, InstanceUpdate, KeyUpdate, SuspectUpdate};
use onyxfall_types::{CenterName, Incarnation, RegionName};
use onyxfall_wire::{
    LostInstanceEntry, ServerWorkEntry, SuspectEntry, VmEntry, VmRosterUpdate, VmUpdate, WorkSet,
};

/// The region of each data centre in the settings.
pub(crate) type CenterRegions = BTreeMap<CenterName, RegionName>;

/// Converts a VM record to its wire form.
pub(crate) fn vm_entry(record: &VmRecord) -> VmEntry {
    let ip = match record.address.ip() {
        IpAddr::V4(ip) => Bytes::copy_from_slice(&ip.octets()),
        IpAddr::V6(ip) => Bytes::copy_from_slice(&ip.octets()),
    };
    VmEntry {
        name: record.name.to_string(),
        center: record.center.to_string(),
        incarnation: record.version.incarnation.get(),
        change: record.version.change,
        ip,
        callers_port: record.address.port().into(),
        peers_port: record.peer_address.port().into(),
        millicores: record.capacity.millicores(),
        ready: record.status.is_ready,
        leaving: record.status.is_leaving,
        watches_store: record.status.watches_store,
        unreached: record.status.unreached.bits(),
    }
}

/// Converts a VM entry received. Returns `None` if a field is malformed or its data centre is
/// unknown.
pub(crate) fn vm_record(entry: &VmEntry, regions: &CenterRegions) -> Option<VmRecord> {
    let ip = read_ip(&entry.ip)?;
    let address = |port: u32| Some(SocketAddr::new(ip, u16::try_from(port).ok()?));
    let center: CenterName = entry.center.parse().ok()?;
    Some(VmRecord {
        name: entry.name.parse().ok()?,
        region: regions.get(&center)?.clone(),
        center,
        address: address(entry.callers_port)?,
        peer_address: address(entry.peers_port)?,
        capacity: VmCapacity::from_millicores(entry.millicores),
        version: RecordVersion {
            incarnation: Incarnation::new(entry.incarnation),
            change: entry.change,
        },
        status: VmStatus {
            is_ready: entry.ready,
            is_leaving: entry.leaving,
            watches_store: entry.watches_store,
            unreached: ServiceSet::from_bits(entry.unreached),
        },
    })
}

fn read_ip(bytes: &[u8]) -> Option<IpAddr> {
    if let Ok(four) = <[u8; 4]>::try_from(bytes) {
        return Some(IpAddr::from(four));
    }
    <[u8; 16]>::try_from(bytes).ok().map(IpAddr::from)
}

/// Converts an update of the overlay to its wire form, without the gateway's additions.
pub(crate) fn wire_update(update: &OverlayUpdate) -> VmUpdate {
    VmUpdate {
        relation: update.relation.number(),
        record: update.record.as_ref().map(vm_entry),
        word: update.word.as_ref().map(wire_roster),
        work: update.work.as_ref().map(wire_work),
        is_warm: update.is_warm,
        ..VmUpdate::default()
    }
}

/// Extracts the overlay's update from a message. Returns `None` if its relation is unknown.
pub(crate) fn overlay_update(update: &VmUpdate, regions: &CenterRegions) -> Option<OverlayUpdate> {
    let word = update
        .word
        .as_ref()
        .and_then(|roster| read_roster(roster, regions));
    Some(OverlayUpdate {
        relation: LinkRelation::from_number(update.relation)?,
        record: update
            .record
            .as_ref()
            .and_then(|entry| vm_record(entry, regions)),
        word,
        work: update.work.as_ref().map(read_work),
        is_warm: update.is_warm,
    })
}

fn wire_roster(roster: &RosterUpdate) -> VmRosterUpdate {
    VmRosterUpdate {
        scope: roster.scope.number(),
        is_whole: roster.is_whole,
        vms: roster.records.iter().map(vm_entry).collect(),
        gone: roster.gone.iter().map(ToString::to_string).collect(),
    }
}

fn read_roster(roster: &VmRosterUpdate, regions: &CenterRegions) -> Option<RosterUpdate> {
    Some(RosterUpdate {
        scope: UpdateScope::from_number(roster.scope)?,
        is_whole: roster.is_whole,
        records: roster
            .vms
            .iter()
            .filter_map(|entry| vm_record(entry, regions))
            .collect(),
        gone: roster
            .gone
            .iter()
            .filter_map(|name| name.parse().ok())
            .collect(),
    })
}

fn wire_work(work: &WorkUpdate) -> WorkSet {
    WorkSet {
        is_whole: work.is_whole,
        servers: work
            .entries
            .iter()
            .map(|entry| ServerWorkEntry {
                server: entry.server.0,
                requests: entry.share.requests,
                unread: entry.share.prefill.as_slice().to_vec(),
                memory: entry.share.memory,
                flow: entry.share.flow,
                good: entry.share.votes.good,
                bad: entry.share.votes.bad,
                limit_vms: entry.share.limits.vms,
                limit_thousandths: entry.share.limits.thousandths,
                pace_vms: some_count(entry.share.paces.vms),
                pace_percent: some_count(entry.share.paces.percent),
            })
            .collect(),
    }
}

/// A count in an optional field, which is absent for 0.
fn some_count<N: Default + PartialEq>(count: N) -> Option<N> {
    (count != N::default()).then_some(count)
}

fn read_work(work: &WorkSet) -> WorkUpdate {
    WorkUpdate {
        is_whole: work.is_whole,
        entries: work
            .servers
            .iter()
            .map(|entry| WorkEntry {
                server: ServerTag(entry.server),
                share: WorkShare {
                    requests: entry.requests,
                    prefill: PrefillTokens::from_slice(&entry.unread),
                    memory: entry.memory,
                    flow: entry.flow,
                    votes: ServerVotes {
                        good: entry.good,
                        bad: entry.bad,
                    },
                    limits: LimitReports {
                        vms: entry.limit_vms,
                        thousandths: entry.limit_thousandths,
                    },
                    paces: PaceReports {
                        vms: entry.pace_vms.unwrap_or_default(),
                        percent: entry.pace_percent.unwrap_or_default(),
                    },
                },
            })
            .collect(),
    }
}

/// Adds changes of crash suspects to a message.
pub(crate) fn wire_suspects(suspects: &SuspectUpdate, update: &mut VmUpdate) {
    let keys = suspects.keys.iter();
    update.suspects = keys
        .map(|key| SuspectEntry {
            fingerprint: Bytes::copy_from_slice(key.key.as_bytes()),
            lives: key.crashes.iter().map(|c| c.instance.number()).collect(),
            ages_ms: key.crashes.iter().map(|c| wire_millis(c.age)).collect(),
            survivals: key.crashes.iter().map(|c| c.survivals).collect(),
            good_runs: key.good_runs,
            has_control: key.has_control,
        })
        .collect();
    let instances = suspects.instances.iter();
    update.lost_lives = instances
        .map(|instance| LostInstanceEntry {
            life: instance.instance.number(),
            survivals: instance.survivals,
            lost_ms: instance.lost.map(wire_millis),
        })
        .collect();
}

/// Extracts the changes of crash suspects from a message, and the number of malformed entries.
pub(crate) fn read_suspects(update: &VmUpdate) -> (SuspectUpdate, u64) {
    let keys: Vec<KeyUpdate> = update.suspects.iter().filter_map(read_suspect).collect();
    let malformed = update.suspects.len() - keys.len();
    let instances = update.lost_lives.iter().map(|entry| InstanceUpdate {
        instance: InstanceTag::from_number(entry.life),
        survivals: entry.survivals,
        lost: entry.lost_ms.map(read_millis),
    });
    let suspects = SuspectUpdate {
        keys,
        instances: instances.collect(),
    };
    (suspects, malformed as u64)
}

fn read_suspect(entry: &SuspectEntry) -> Option<KeyUpdate> {
    let instances = entry.lives.len();
    if instances != entry.ages_ms.len() || instances != entry.survivals.len() {
        return None;
    }
    let crashes = entry.lives.iter().zip(&entry.ages_ms).zip(&entry.survivals);
    Some(KeyUpdate {
        key: entry.fingerprint.as_ref().try_into().ok()?,
        crashes: crashes
            .map(|((instance, age), survivals)| CrashUpdate {
                instance: InstanceTag::from_number(*instance),
                age: read_millis(*age),
                survivals: *survivals,
            })
            .collect(),
        good_runs: entry.good_runs,
        has_control: entry.has_control,
    })
}

/// A duration in milliseconds, as messages carry it.
pub(crate) fn wire_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn read_millis(millis: u32) -> Duration {
    Duration::from_millis(millis.into())
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against figures that are lost between VMs, and against larger messages where
    /// servers state no pace.
    #[test]
    fn paces_are_sent_where_there_are_any() {
        let cases = [
            ("without reports", PaceReports::default(), false),
            (
                "one VM",
                PaceReports {
                    vms: 1,
                    percent: 100,
                },
                true,
            ),
            (
                "many VMs",
                PaceReports {
                    vms: 36,
                    percent: 14_400,
                },
                true,
            ),
        ];
        for (name, paces, is_sent) in cases {
            let share = WorkShare {
                requests: 3,
                paces,
                ..WorkShare::default()
            };
            let entry = WorkEntry {
                server: ServerTag(9),
                share,
            };
            let update = WorkUpdate {
                is_whole: true,
                entries: vec![entry],
            };
            let sent = wire_work(&update);
            assert_eq!(sent.servers[0].pace_vms.is_some(), is_sent, "{name}");
            assert_eq!(sent.servers[0].pace_percent.is_some(), is_sent, "{name}");
            assert_eq!(read_work(&sent), update, "{name}");
        }
    }
}
