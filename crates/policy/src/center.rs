//! Other data centres as this VM sees them: free capacity, grants, distance.
//!
//! A data centre tells each other one how many of its requests a model may have
//! under way there: the grant. Many senders so cannot stampede one receiver.
//! The entries of the sending data centre split a grant by rank, so it is not
//! spent twice. Invariant: requests that this VM has under way in a data centre
//! never exceed its part of the grant when the last one was sent.

use std::collections::BTreeMap;
use std::time::Duration;

use onyxfall_types::{CenterId, EntityId, EntityMap, ModelId};

use crate::moment::Moment;

/// A digest older than this says nothing.
const DIGEST_LIFE: Duration = Duration::from_secs(6);
const RTT_GAIN: f64 = 0.2;
/// Pause after a data centre refused or failed a request.
const REFUSED_PAUSE: Duration = Duration::from_millis(400);

/// What a data centre says of one model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ModelDigest {
    /// The model.
    pub model: ModelId,
    /// Free slots, less its own reserve.
    pub free: u32,
    /// Expected wait there.
    pub wait: Duration,
    /// Requests that we may have under way there.
    pub grant: u32,
}

/// What a data centre says of itself to us.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CenterDigest {
    /// The data centre.
    pub center: CenterId,
    /// Life and number of the digest; older ones are ignored.
    pub sequence: u64,
    /// Per model.
    pub models: Vec<ModelDigest>,
}

/// A data centre as seen from here.
#[derive(Clone, Debug)]
pub struct CenterView {
    sequence: u64,
    heard: Option<Moment>,
    models: BTreeMap<ModelId, ModelDigest>,
    open: BTreeMap<ModelId, u32>,
    rtt: Duration,
    paused_until: Moment,
}

impl CenterView {
    fn new(rtt: Duration) -> Self {
        Self {
            sequence: 0,
            heard: None,
            models: BTreeMap::new(),
            open: BTreeMap::new(),
            rtt,
            paused_until: Moment::ZERO,
        }
    }

    /// Round trip to it.
    pub fn rtt(&self) -> Duration {
        self.rtt
    }

    /// Our own requests under way there.
    pub fn own_open(&self, model: ModelId) -> u32 {
        self.open.get(&model).copied().unwrap_or(0)
    }

    /// What it said of a model, unless that is too old.
    pub fn model(&self, now: Moment, model: ModelId) -> Option<&ModelDigest> {
        let heard = self.heard?;
        if now - heard > DIGEST_LIFE {
            return None;
        }
        self.models.get(&model)
    }
}

/// All other data centres.
#[derive(Clone, Debug)]
pub struct CenterTable {
    views: EntityMap<CenterId, CenterView>,
    rank: usize,
    members: usize,
}

impl CenterTable {
    /// A table with the bundle's round trips as a start.
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

    /// A data centre's view.
    pub fn view(&self, center: CenterId) -> &CenterView {
        &self.views[center]
    }

    /// Every data centre's view.
    pub fn iter(&self) -> impl Iterator<Item = (CenterId, &CenterView)> {
        self.views.iter()
    }

    /// Takes a digest; an older one than the last is ignored.
    pub fn hear(&mut self, now: Moment, digest: &CenterDigest) {
        if self.views.get(digest.center).is_none() {
            return;
        }
        let view = &mut self.views[digest.center];
        if digest.sequence < view.sequence {
            return;
        }
        view.sequence = digest.sequence;
        view.heard = Some(now);
        view.models = digest
            .models
            .iter()
            .map(|model| (model.model, *model))
            .collect();
    }

    /// Takes a measured round trip.
    pub fn note_rtt(&mut self, center: CenterId, rtt: Duration) {
        if self.views.get(center).is_some() {
            let view = &mut self.views[center];
            let old = view.rtt.as_secs_f64();
            view.rtt = Duration::from_secs_f64(old + RTT_GAIN * (rtt.as_secs_f64() - old));
        }
    }

    /// What is left of this VM's part of a grant.
    ///
    /// ```
    /// use onyxfall_policy::{CenterDigest, CenterTable, ModelDigest, Moment};
    /// use onyxfall_types::{CenterId, EntityId, ModelId};
    /// use std::time::Duration;
    /// let (center, model) = (CenterId::from_index(0), ModelId::from_index(0));
    /// let mut table = CenterTable::new([Duration::from_millis(40)]);
    /// let models = vec![ModelDigest { model, free: 4, wait: Duration::ZERO, grant: 3 }];
    /// table.hear(Moment::ZERO, &CenterDigest { center, sequence: 1, models });
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
        self.own_part(grant, center)
            .saturating_sub(view.own_open(model))
    }

    /// Notes that a request is sent there.
    pub fn start(&mut self, center: CenterId, model: ModelId) {
        *self.views[center].open.entry(model).or_default() += 1;
    }

    /// Notes that a request sent there ended; `refused` pauses the sending.
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

    fn own_part(&self, grant: u32, center: CenterId) -> u32 {
        let members = u32::try_from(self.members).unwrap_or(u32::MAX);
        let turn = (self.rank + center.index()) % self.members;
        let extra = (turn as u64) < u64::from(grant % members);
        grant / members + u32::from(extra)
    }
}
