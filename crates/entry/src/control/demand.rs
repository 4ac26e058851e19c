//! Demand of other data centres and their open requests here, from which grants are
//! computed.

use std::collections::BTreeMap;
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::{CenterName, VmName, name_tag};

/// Demand and open counts older than this are ignored.
const REPORT_TTL: Duration = Duration::from_secs(5);

/// Number of open requests of one data centre for one model, both given by name tag.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenCount {
    pub(crate) model: u32,
    pub(crate) center: u32,
    pub(crate) count: u32,
}

/// Open requests that another entry of this data centre reported.
struct PeerOpenCounts {
    received: Moment,
    counts: Vec<OpenCount>,
}

/// Demand of other data centres, as received by this entry.
#[derive(Default)]
pub(crate) struct CenterDemand {
    waiting: BTreeMap<(CenterName, u32), Moment>,
    peer_open: BTreeMap<VmName, PeerOpenCounts>,
}

impl CenterDemand {
    /// Records that a data centre has requests waiting for a model, given by name tag.
    pub(crate) fn record_waiting(&mut self, now: Moment, center: &CenterName, model: u32) {
        self.waiting.insert((center.clone(), model), now);
    }

    /// Number of data centres with requests waiting for a model; `center` is always
    /// counted.
    pub(crate) fn requesting_centers(&self, now: Moment, center: &CenterName, model: u32) -> usize {
        let others = self.waiting.iter().filter(|((other, waiting_model), at)| {
            *waiting_model == model && other != center && now - **at < REPORT_TTL
        });
        others.count() + 1
    }

    /// Records the open requests that another entry of this data centre reported.
    pub(crate) fn record_open(&mut self, now: Moment, vm: &VmName, counts: Vec<OpenCount>) {
        self.peer_open.insert(
            vm.clone(),
            PeerOpenCounts {
                received: now,
                counts,
            },
        );
        self.peer_open
            .retain(|_, peer| now - peer.received < REPORT_TTL);
    }

    /// Number of open requests of a data centre at the other entries of this data
    /// centre.
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
