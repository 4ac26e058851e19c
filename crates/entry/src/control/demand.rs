//! What other data centres want and have under way here, for the grants.

use std::collections::BTreeMap;
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::{CenterName, VmName, name_tag};

/// Wishes and reports older than this do not count.
const LIFE: Duration = Duration::from_secs(5);

/// Requests of one data centre under way for one model, by name tags.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenCount {
    pub(crate) model: u32,
    pub(crate) center: u32,
    pub(crate) count: u32,
}

/// What another entry here has under way.
struct PeerOpen {
    heard: Moment,
    counts: Vec<OpenCount>,
}

/// Demand seen by a speaker.
#[derive(Default)]
pub(crate) struct CenterDemand {
    wants: BTreeMap<(CenterName, u32), Moment>,
    peer_open: BTreeMap<VmName, PeerOpen>,
}

impl CenterDemand {
    /// Notes that a data centre has work waiting for a model (by tag).
    pub(crate) fn note_want(&mut self, now: Moment, center: &CenterName, model: u32) {
        self.wants.insert((center.clone(), model), now);
    }

    /// Data centres that want a model, `center` counted in any case.
    pub(crate) fn askers(&self, now: Moment, center: &CenterName, model: u32) -> usize {
        let others = self.wants.iter().filter(|((other, wanted), at)| {
            *wanted == model && other != center && now - **at < LIFE
        });
        others.count() + 1
    }

    /// Notes what another entry here has under way.
    pub(crate) fn note_open(&mut self, now: Moment, vm: &VmName, counts: Vec<OpenCount>) {
        self.peer_open
            .insert(vm.clone(), PeerOpen { heard: now, counts });
        self.peer_open.retain(|_, peer| now - peer.heard < LIFE);
    }

    /// Requests of a data centre that other entries here have under way.
    pub(crate) fn peer_open(&self, center: &CenterName, model: u32) -> u32 {
        let tag = name_tag(center.as_str());
        self.peer_open
            .values()
            .flat_map(|peer| &peer.counts)
            .filter(|open| open.model == model && open.center == tag)
            .map(|open| open.count)
            .sum()
    }
}
