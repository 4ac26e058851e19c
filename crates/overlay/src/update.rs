//! Updates on which VMs are alive: a complete one first, then differences.

use std::collections::{BTreeMap, BTreeSet};

use onyxfall_types::VmName;

use crate::evidence::UpdateScope;
use crate::record::{RecordVersion, VmRecord};
use crate::roster::Roster;

/// Lists VMs that are alive, and VMs for which the sender no longer has enough evidence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RosterUpdate {
    /// Scope that determines which VMs are listed.
    pub scope: UpdateScope,
    /// Whether this update replaces every earlier one of this scope on the link.
    pub is_whole: bool,
    /// Records of VMs that are new or have changed.
    pub records: Vec<VmRecord>,
    /// VMs listed earlier for which the sender no longer has enough evidence.
    pub gone: Vec<VmName>,
}

/// Roster state already sent in one direction of a link.
#[derive(Clone, Debug, Default)]
pub struct RosterCursor {
    /// Scope and change counter of the roster at the last update, if any was sent.
    seen: Option<(UpdateScope, u64)>,
    versions: BTreeMap<VmName, RecordVersion>,
}

impl Roster {
    /// Returns the update for a scope that follows the state in `cursor`, or none if
    /// nothing has changed.
    pub(crate) fn update_scope(
        &self,
        scope: UpdateScope,
        cursor: &mut RosterCursor,
    ) -> Option<RosterUpdate> {
        if cursor.seen == Some((scope, self.changes())) {
            return None;
        }
        self.update_matching(scope, cursor, |_| true)
    }

    /// Returns an update with the aggregators of every region.
    pub(crate) fn update_aggregators(&self, cursor: &mut RosterCursor) -> Option<RosterUpdate> {
        let levels = self.levels();
        let chosen: BTreeSet<&VmName> = levels
            .regions()
            .flat_map(|(_, vms)| vms)
            .map(|vm| &vm.name)
            .collect();
        self.update_matching(UpdateScope::Hint, cursor, |vm| chosen.contains(&vm.name))
    }

    /// Returns the update for a scope, restricted to VMs that match `matches`.
    fn update_matching(
        &self,
        scope: UpdateScope,
        cursor: &mut RosterCursor,
        matches: impl Fn(&VmRecord) -> bool,
    ) -> Option<RosterUpdate> {
        let is_whole = cursor.seen.is_none_or(|(before, _)| before != scope);
        if is_whole {
            cursor.versions.clear();
        }
        cursor.seen = Some((scope, self.changes()));
        let listed: BTreeMap<&VmName, &VmRecord> = self
            .listed_in(scope)
            .filter(|record| matches(record))
            .map(|record| (&record.name, record))
            .collect();
        let gone: Vec<VmName> = cursor
            .versions
            .keys()
            .filter(|name| !listed.contains_key(name))
            .cloned()
            .collect();
        for name in &gone {
            cursor.versions.remove(name);
        }
        let mut records = Vec::new();
        for (name, record) in listed {
            if cursor.versions.get(name) != Some(&record.version) {
                cursor.versions.insert(name.clone(), record.version);
                records.push(record.clone());
            }
        }
        let has_changed = is_whole || !records.is_empty() || !gone.is_empty();
        has_changed.then_some(RosterUpdate {
            scope,
            is_whole,
            records,
            gone,
        })
    }
}
