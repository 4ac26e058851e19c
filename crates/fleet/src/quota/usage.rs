//! One team's use of its limit, as a VM knows it.

use std::collections::BTreeMap;
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::RegionName;

use super::side::{QuotaSide, SideState};
use super::{QuotaPeers, QuotaSettings};
use crate::flow::FlowMeter;
use crate::switches::QuotaMode;
use crate::team::QuotaLimit;

/// Time in which what a team asks for fades to a third. It adds to the time in which a
/// flood is not known: one of 4.2 times the limit filled 99 % of what may run in a window
/// with 0.25 s, 95 % with 0.15 (test `quota`).
const DEMAND_FADE: Duration = Duration::from_millis(150);
/// Age up to which a region's word on a team counts as its demand of now. Words come each
/// 0.4 s, and need 0.2 s for their way.
const FRESH_WORD: Duration = Duration::from_millis(1500);
/// Time in which a region's part of what is asked for becomes the usual one.
const PART_FADE: Duration = Duration::from_millis(500);
/// Least part of its region's VMs that a VM must hear to act for the whole region.
const MAJORITY: f64 = 0.5;

/// What another region told of a team.
#[derive(Clone, Copy, Debug)]
pub(super) struct FarDemand {
    pub(super) rate: f64,
    pub(super) said: Moment,
}

/// One team as this VM knows it.
#[derive(Clone, Debug)]
pub(super) struct TeamUsage {
    pub(super) limit: QuotaLimit,
    /// Units that are asked of this VM.
    pub(super) own: FlowMeter,
    /// The same of the region's other VMs, in units a second.
    pub(super) near: f64,
    pub(super) far: BTreeMap<RegionName, FarDemand>,
    /// Units that the side has admitted and that have not drained.
    pub(super) level: f64,
    /// The part of them that is not known, but may have been admitted before this process
    /// began. It drains first, and counts only while more than the limit is asked for:
    /// where all VMs are started anew, teams that keep to their limit lose nothing.
    assumed: f64,
    /// When the level was last worked out, and what held from then on.
    at: Moment,
    pub(super) held: SideState,
    /// The region's part of the demand while all regions were heard.
    usual_part: f64,
    /// When it was last noted.
    part_at: Moment,
}

impl TeamUsage {
    /// A team of which nothing is known: what it used before this process began may have
    /// filled its bucket.
    pub(super) fn new(
        now: Moment,
        limit: QuotaLimit,
        settings: &QuotaSettings,
        peers: &QuotaPeers,
    ) -> Self {
        let level = settings.start_level(&limit);
        let side = QuotaSide::alone(&limit, 1, 0.0);
        Self {
            limit,
            own: FlowMeter::new(DEMAND_FADE),
            near: 0.0,
            far: BTreeMap::new(),
            level,
            assumed: level,
            at: now,
            held: SideState::new(&limit, settings, side, 0.0),
            usual_part: 1.0 / peers.regions.max(1) as f64,
            part_at: now,
        }
    }

    pub(super) fn region_demand(&self, now: Moment) -> f64 {
        self.own.per_second(now) + self.near
    }

    pub(super) fn far_demand(&self) -> f64 {
        self.far.values().map(|word| word.rate).sum()
    }

    /// Whether every region that asked for something was heard lately.
    pub(super) fn hears_regions(&self, now: Moment) -> bool {
        let mut words = self.far.values();
        words.all(|word| now - word.said < FRESH_WORD || word.rate <= 0.0)
    }

    /// What this VM's side may use. A side that hears all others shares one bucket with
    /// them; one that does not has a part of its own, in the belief that the others use
    /// theirs.
    pub(super) fn side(&mut self, now: Moment, peers: &QuotaPeers) -> QuotaSide {
        let limit = self.limit;
        let (near, far) = (self.region_demand(now), self.far_demand());
        let hears_regions = self.hears_regions(now);
        if hears_regions {
            self.note_part(now, near, far);
        }
        if hears_regions && peers.reachable_share >= MAJORITY {
            return QuotaSide {
                rate: limit.rate,
                part: 1.0,
                demand: near + far,
                others: self.near + far,
            };
        }
        // What was usual may have moved: half of it, and half of an equal part.
        let equal = 1.0 / peers.regions.max(1) as f64;
        let region = f64::midpoint(self.usual_part, equal);
        let heard = if peers.reachable_share < MAJORITY {
            peers.reachable_share
        } else {
            1.0
        };
        QuotaSide {
            rate: limit.rate * region * heard,
            part: region * heard,
            demand: near,
            others: self.near,
        }
    }

    /// Notes the region's part of what is asked for.
    pub(super) fn note_part(&mut self, now: Moment, near: f64, far: f64) {
        if near + far <= 0.0 {
            return;
        }
        let fade = (now - self.part_at).as_secs_f64() / PART_FADE.as_secs_f64();
        let seen = near / (near + far);
        self.usual_part = seen + (self.usual_part - seen) * (-fade).exp();
        self.part_at = now;
    }

    /// Lets time count: the bucket drains, and others have been admitted.
    pub(super) fn settle(&mut self, now: Moment, settings: &QuotaSettings, peers: &QuotaPeers) {
        let seconds = (now - self.at).as_secs_f64();
        let others = self.held.side.others * self.held.chance;
        let drained = self.held.side.rate * seconds;
        self.level = (self.level + others * seconds - drained).max(0.0);
        self.assumed = (self.assumed - drained).clamp(0.0, self.level);
        self.at = now;
        let side = match settings.way {
            QuotaMode::Pooled => self.side(now, peers),
            QuotaMode::EqualParts => {
                QuotaSide::alone(&self.limit, peers.vms, self.own.per_second(now))
            }
        };
        let counted = if side.demand > side.rate {
            self.level
        } else {
            self.level - self.assumed
        };
        self.held = SideState::new(&self.limit, settings, side, counted);
    }
}
