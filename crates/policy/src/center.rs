//! This VM's view of the other data centres: free capacity, grants, round-trip times.
//!
//! A data centre sends each other one a grant per model: the number of requests
//! that the other may have open there. Grants keep many senders from overloading
//! one receiver at once. The entries of the sending data centre split a grant by
//! rank, so it is not spent twice. Invariant: when this VM forwards a request, its
//! open requests in the target data centre do not exceed its share of the grant.

use std::collections::BTreeMap;
use std::time::Duration;

use onyxfall_types::{CenterId, EntityId, EntityMap, ModelId};

use crate::moment::Moment;

/// Maximum age of a usable digest.
const DIGEST_TTL: Duration = Duration::from_secs(6);
const RTT_GAIN: f64 = 0.2;
/// Pause in forwarding to a data centre after it refused or failed a request.
const REFUSED_PAUSE: Duration = Duration::from_millis(400);

/// Report of a data centre on one model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ModelDigest {
    /// The model.
    pub model: ModelId,
    /// Free slots, less the data centre's own reserve.
    pub free: u32,
    /// Expected wait in the data centre.
    pub wait: Duration,
    /// Requests that the receiver of the digest may have open in the data centre.
    pub grant: u32,
}

/// Report that a data centre sends to another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CenterDigest {
    /// The data centre that sent the digest.
    pub center: CenterId,
    /// Sequence number, from the sender's incarnation and the digest's number; lower
    /// ones are ignored.
    pub sequence: u64,
    /// Reports by model.
    pub models: Vec<ModelDigest>,
}

/// This VM's view of a data centre.
#[derive(Clone, Debug)]
pub struct CenterView {
    sequence: u64,
    received_at: Option<Moment>,
    models: BTreeMap<ModelId, ModelDigest>,
    open: BTreeMap<ModelId, u32>,
    rtt: Duration,
    paused_until: Moment,
}

impl CenterView {
    fn new(rtt: Duration) -> Self {
        Self {
            sequence: 0,
            received_at: None,
            models: BTreeMap::new(),
            open: BTreeMap::new(),
            rtt,
            paused_until: Moment::ZERO,
        }
    }

    /// Round-trip time to the data centre.
    pub fn rtt(&self) -> Duration {
        self.rtt
    }

    /// Open requests of this VM in the data centre.
    pub fn own_open(&self, model: ModelId) -> u32 {
        self.open.get(&model).copied().unwrap_or(0)
    }

    /// The data centre's report on a model, unless it is too old.
    pub fn model(&self, now: Moment, model: ModelId) -> Option<&ModelDigest> {
        let received_at = self.received_at?;
        if now - received_at > DIGEST_TTL {
            return None;
        }
        self.models.get(&model)
    }
}

/// Views of the data centres of a bundle.
#[derive(Clone, Debug)]
pub struct CenterTable {
    views: EntityMap<CenterId, CenterView>,
    rank: usize,
    members: usize,
}

impl CenterTable {
    /// Creates a table with the bundle's round-trip times as initial values.
    pub fn new(rtts: impl IntoIterator<Item = Duration>) -> Self {
        let views = rtts.into_iter().map(CenterView::new).collect();
        Self {
            views,
            rank: 0,
            members: 1,
        }
    }

    /// Sets this VM's rank among the members of its data centre.
    pub fn set_members(&mut self, rank: usize, members: usize) {
        debug_assert!(rank < members);
        self.rank = rank;
        self.members = members;
    }

    /// View of a data centre.
    pub fn view(&self, center: CenterId) -> &CenterView {
        &self.views[center]
    }

    /// Views of all data centres.
    pub fn iter(&self) -> impl Iterator<Item = (CenterId, &CenterView)> {
        self.views.iter()
    }

    /// Applies a digest, unless its sequence number is lower than the last one's.
    pub fn receive(&mut self, now: Moment, digest: &CenterDigest) {
        if self.views.get(digest.center).is_none() {
            return;
        }
        let view = &mut self.views[digest.center];
        if digest.sequence < view.sequence {
            return;
        }
        view.sequence = digest.sequence;
        view.received_at = Some(now);
        view.models = digest
            .models
            .iter()
            .map(|model| (model.model, *model))
            .collect();
    }

    /// Records a measured round-trip time.
    pub fn record_rtt(&mut self, center: CenterId, rtt: Duration) {
        if self.views.get(center).is_some() {
            let view = &mut self.views[center];
            let old = view.rtt.as_secs_f64();
            view.rtt = Duration::from_secs_f64(old + RTT_GAIN * (rtt.as_secs_f64() - old));
        }
    }

    /// Unused remainder of this VM's share of a grant.
    ///
    /// ```
    /// use onyxfall_policy::{CenterDigest, CenterTable, ModelDigest, Moment};
    /// use onyxfall_types::{CenterId, EntityId, ModelId};
    /// use std::time::Duration;
    /// let (center, model) = (CenterId::from_index(0), ModelId::from_index(0));
    /// let mut table = CenterTable::new([Duration::from_millis(40)]);
    /// let models = vec![ModelDigest { model, free: 4, wait: Duration::ZERO, grant: 3 }];
    /// table.receive(Moment::ZERO, &CenterDigest { center, sequence: 1, models });
    /// assert_eq!(table.grant_left(Moment::ZERO, center, model), 3);
    /// table.start(center, model);
    /// assert_eq!(table.grant_left(Moment::ZERO, center, model), 2);
    /// ```
    pub fn grant_left(&self, now: Moment, center: CenterId, model: ModelId) -> u32 {
        let view = &self.views[center];
        if now < view.paused_until {
            return 0;
        }
        let grant = view.model(now, model).map_or(0, |digest| digest.grant);
        self.own_share(grant, center)
            .saturating_sub(view.own_open(model))
    }

    /// Records that a request is forwarded to a data centre.
    pub fn start(&mut self, center: CenterId, model: ModelId) {
        *self.views[center].open.entry(model).or_default() += 1;
    }

    /// Records the end of a forwarded request; `refused` pauses forwarding there.
    pub fn end(&mut self, now: Moment, center: CenterId, model: ModelId, refused: bool) {
        let view = &mut self.views[center];
        if let Some(open) = view.open.get_mut(&model) {
            debug_assert!(*open > 0);
            *open = open.saturating_sub(1);
        }
        if refused {
            view.paused_until = now + REFUSED_PAUSE;
        }
    }

    fn own_share(&self, grant: u32, center: CenterId) -> u32 {
        let members = u32::try_from(self.members).unwrap_or(u32::MAX);
        let turn = (self.rank + center.index()) % self.members;
        let extra = (turn as u64) < u64::from(grant % members);
        grant / members + u32::from(extra)
    }
}
