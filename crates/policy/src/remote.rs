//! Whether to forward a request to another data centre, and to which.
//!
//! All options are compared in seconds of expected completion. Forwarding adds
//! the round trip, the work of a cold prefix and a cost for leaving this region.
//! It requires a gain above a margin, which is smaller while the model's
//! requests are being forwarded (hysteresis), and a grant.

use std::time::Duration;

use onyxfall_bundle::{ObjectiveWeights, ServiceBundle};
use onyxfall_types::{CenterId, ModelId};

use crate::center::CenterTable;
use crate::moment::Moment;
use crate::residency::RegionSet;

/// Cost of leaving this region at weight 1.
const REGION_COST: Duration = Duration::from_millis(100);
const START_MARGIN: Duration = Duration::from_millis(40);
const STOP_MARGIN: Duration = Duration::from_millis(5);
/// Minimum time between two changes of mode.
const MODE_DWELL: Duration = Duration::from_secs(3);

/// A data centre chosen as the target of a forwarded request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RemoteChoice {
    /// The data centre.
    pub center: CenterId,
    /// Expected time to completion, round trip included.
    pub expected: Duration,
    /// Score in seconds, with the costs of work and of leaving the region. Lower is
    /// better.
    pub score: f64,
}

/// Whether requests of a model are being forwarded, with hysteresis and a count of
/// the changes.
#[derive(Clone, Copy, Debug, Default)]
pub struct RemoteMode {
    forwarding: bool,
    changed: Option<Moment>,
    switches: u64,
}

impl RemoteMode {
    /// Whether a request is forwarded for a gain of so many seconds.
    pub fn accepts(&mut self, now: Moment, gain: f64) -> bool {
        let margin = if self.forwarding {
            STOP_MARGIN
        } else {
            START_MARGIN
        };
        let accepted = gain > margin.as_secs_f64();
        if accepted != self.forwarding {
            self.switch(now, accepted);
        }
        accepted
    }

    /// Number of mode changes so far.
    pub fn switches(&self) -> u64 {
        self.switches
    }

    fn switch(&mut self, now: Moment, forwarding: bool) {
        let settled = self.changed.is_none_or(|at| now - at >= MODE_DWELL);
        if settled {
            self.forwarding = forwarding;
            self.changed = Some(now);
            self.switches += 1;
        }
    }
}

pub(crate) struct RemoteContext<'a> {
    pub(crate) now: Moment,
    pub(crate) bundle: &'a ServiceBundle,
    pub(crate) centers: &'a CenterTable,
    pub(crate) own_center: CenterId,
    pub(crate) allowed: RegionSet,
    pub(crate) excluded: &'a [CenterId],
    pub(crate) model: ModelId,
    pub(crate) service: Duration,
    pub(crate) cold_work: Duration,
    pub(crate) remaining: Duration,
}

impl RemoteContext<'_> {
    /// The best data centre that has a grant left and can meet the deadline.
    pub(crate) fn choose(&self) -> Option<RemoteChoice> {
        self.centers
            .iter()
            .filter(|(center, _)| *center != self.own_center)
            .filter(|(center, _)| !self.excluded.contains(center))
            .filter(|(center, _)| self.allowed.contains(self.bundle.centers[*center].region))
            .filter(|(center, _)| self.centers.grant_left(self.now, *center, self.model) > 0)
            .filter_map(|(center, _)| self.option(center))
            .filter(|choice| choice.expected <= self.remaining)
            .min_by(|a, b| a.score.total_cmp(&b.score))
    }

    fn option(&self, center: CenterId) -> Option<RemoteChoice> {
        let view = self.centers.view(center);
        let wait = view.model(self.now, self.model)?.wait;
        let expected = view.rtt() + wait + self.service;
        let score = objective_score(&self.bundle.objective, expected, self.cold_work)
            + self.region_cost(center);
        Some(RemoteChoice {
            center,
            expected,
            score,
        })
    }

    fn region_cost(&self, center: CenterId) -> f64 {
        let own_region = self.bundle.centers[self.own_center].region;
        if self.bundle.centers[center].region == own_region {
            return 0.0;
        }
        self.bundle.objective.away * REGION_COST.as_secs_f64()
    }
}

/// Score in seconds: weighted completion time plus weighted work.
pub(crate) fn objective_score(
    objective: &ObjectiveWeights,
    expected: Duration,
    work: Duration,
) -> f64 {
    objective.tail * expected.as_secs_f64() + objective.cost * work.as_secs_f64()
}
