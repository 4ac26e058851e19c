//! A word on which VMs live: whole at first, then what has changed.

use std::collections::{BTreeMap, BTreeSet};

use onyxfall_types::VmName;

use crate::evidence::UpdateScope;
use crate::record::{RecordVersion, VmRecord};
use crate::roster::Roster;

/// Names VMs that live, and those that the teller no longer vouches for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RosterUpdate {
    /// Whom it names.
    pub scope: UpdateScope,
    /// Whether it replaces every earlier word of this scope on the link.
    pub is_whole: bool,
    /// VMs that are new, or whose record has changed.
    pub records: Vec<VmRecord>,
    /// VMs named before that are no longer vouched for.
    pub gone: Vec<VmName>,
}

/// What was told in one direction of a link.
#[derive(Clone, Debug, Default)]
pub struct RosterCursor {
    /// The scope, and the roster's changes that were looked at, if anything was told.
    seen: Option<(UpdateScope, u64)>,
    versions: BTreeMap<VmName, RecordVersion>,
}

impl Roster {
    /// What to tell in a scope on a link, after what was told before; none if nothing
    /// has changed.
    pub(crate) fn tell(&self, scope: UpdateScope, told: &mut RosterCursor) -> Option<RosterUpdate> {
        if told.seen == Some((scope, self.changes())) {
            return None;
        }
        self.tell_chosen(scope, told, |_| true)
    }

    /// Where the aggregators of every region are.
    pub(crate) fn tell_aggregators(&self, told: &mut RosterCursor) -> Option<RosterUpdate> {
        let levels = self.levels();
        let chosen: BTreeSet<&VmName> = levels
            .regions()
            .flat_map(|(_, vms)| vms)
            .map(|vm| &vm.name)
            .collect();
        self.tell_chosen(UpdateScope::Hint, told, |vm| chosen.contains(&vm.name))
    }

    /// The same, of VMs that `chooses` takes.
    fn tell_chosen(
        &self,
        scope: UpdateScope,
        told: &mut RosterCursor,
        chooses: impl Fn(&VmRecord) -> bool,
    ) -> Option<RosterUpdate> {
        let is_whole = told.seen.is_none_or(|(before, _)| before != scope);
        if is_whole {
            told.versions.clear();
        }
        told.seen = Some((scope, self.changes()));
        let named: BTreeMap<&VmName, &VmRecord> = self
            .named_in(scope)
            .filter(|record| chooses(record))
            .map(|record| (&record.name, record))
            .collect();
        let gone: Vec<VmName> = told
            .versions
            .keys()
            .filter(|name| !named.contains_key(name))
            .cloned()
            .collect();
        for name in &gone {
            told.versions.remove(name);
        }
        let mut records = Vec::new();
        for (name, record) in named {
            if told.versions.get(name) != Some(&record.version) {
                told.versions.insert(name.clone(), record.version);
                records.push(record.clone());
            }
        }
        let is_news = is_whole || !records.is_empty() || !gone.is_empty();
        is_news.then_some(RosterUpdate {
            scope,
            is_whole,
            records,
            gone,
        })
    }
}
