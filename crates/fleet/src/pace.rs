//! Pace of servers: how long work takes at a server at this moment, as the server states it.
//!
//! Servers that share their machines with others state their pace in responses. It changes
//! within 0.2 to 1 s, on a different server each time, so a figure is valid only briefly. A VM
//! uses the figure of its own last response while that is fresh, and otherwise the mean of what
//! the VMs of the region, this one included, have read lately.
//!
//! Invariants: without a stated figure the pace is [`ServerPace::USUAL`], and every prediction
//! is the same as without this module; reports of other VMs are never forwarded.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::ServerId;
use thiserror::Error;

use crate::view::FleetView;

/// Time for which a VM reports a figure to others; longer than the pause between two responses
/// of a busy server, and within the length of a spell of slow work (0.2 to 1 s).
const REPORT_TTL: Duration = Duration::from_millis(400);
/// Time for which a figure that this VM has read itself takes precedence over the mean. Reports
/// of other VMs are up to about this old when they arrive.
const OWN_TTL: Duration = Duration::from_millis(100);
/// Bounds of a pace in percent; values from 60 to 400 were seen.
const PERCENT_RANGE: (u32, u32) = (10, 10_000);

/// How long work takes at a server, in percent of the usual time.
///
/// ```
/// use onyxfall_fleet::ServerPace;
/// let pace: ServerPace = "160".parse().unwrap();
/// assert_eq!(pace.factor(), 1.6);
/// assert_eq!(pace.to_string(), "160");
/// assert!("0".parse::<ServerPace>().is_err());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerPace(u32);

impl ServerPace {
    /// Work takes as long as usual.
    pub const USUAL: Self = Self(100);

    /// The pace of `percent`; `None` if it is out of bounds.
    pub fn new(percent: u32) -> Option<Self> {
        let (least, most) = PERCENT_RANGE;
        (least..=most).contains(&percent).then_some(Self(percent))
    }

    /// The pace in percent of the usual time.
    pub const fn percent(self) -> u32 {
        self.0
    }

    /// Ratio of the time that work takes to the usual time; exactly 1 for
    /// [`ServerPace::USUAL`].
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }

    /// The factor by which to divide a time during which the pace went from `self` to `end`,
    /// given the ratio of that time to the one expected at the usual pace. `None` if the change
    /// alone can explain the time, so that nothing can be learned from it.
    ///
    /// When the pace changed is unknown, so the factor can be anything between both paces. With
    /// the pace at the start, a spell that begins later would be learned as slowness; with the
    /// larger one, a spell that ends early would be learned as speed.
    pub(crate) fn factor_until(self, end: Self, observed: f64) -> Option<f64> {
        let (least, most) = (self.min(end).factor(), self.max(end).factor());
        if observed <= least {
            return Some(least);
        }
        (observed >= most).then_some(most)
    }
}

impl Default for ServerPace {
    fn default() -> Self {
        Self::USUAL
    }
}

impl fmt::Display for ServerPace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Error for a text that is not a valid pace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a pace is a whole number of percent from 10 to 10000")]
pub struct ServerPaceError;

impl FromStr for ServerPace {
    type Err = ServerPaceError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        // `u32::from_str` would accept a plus sign.
        let is_number = text.bytes().all(|byte| byte.is_ascii_digit());
        let percent = is_number.then(|| text.parse().ok()).flatten();
        percent.and_then(Self::new).ok_or(ServerPaceError)
    }
}

/// Pace stated in a response of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PaceSignal {
    /// The response states no pace.
    #[default]
    None,
    /// Work takes this long at the server now.
    Percent(ServerPace),
    /// The stated pace cannot be parsed.
    Malformed,
}

/// Sum of the paces that several VMs have read from responses of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PaceReports {
    /// Number of VMs that report a pace.
    pub vms: u32,
    /// Sum of the reported paces, in percent.
    pub percent: u64,
}

impl PaceReports {
    /// The report of one VM that has read `pace`.
    fn of(pace: ServerPace) -> Self {
        Self {
            vms: 1,
            percent: pace.0.into(),
        }
    }

    /// Mean of the reported paces within the bounds of a pace; `None` without a report.
    ///
    /// ```
    /// use onyxfall_fleet::PaceReports;
    /// let reports = PaceReports { vms: 2, percent: 500 };
    /// assert_eq!(reports.mean().unwrap().percent(), 250);
    /// assert!(PaceReports::default().mean().is_none());
    /// ```
    pub fn mean(self) -> Option<ServerPace> {
        let vms = (self.vms > 0).then_some(u64::from(self.vms))?;
        let (least, most) = PERCENT_RANGE;
        let mean = u32::try_from(self.percent / vms).unwrap_or(most);
        Some(ServerPace(mean.clamp(least, most)))
    }

    /// Sum of both reports.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            vms: self.vms.saturating_add(other.vms),
            percent: self.percent.saturating_add(other.percent),
        }
    }

    /// The sum without `part`.
    #[must_use]
    pub fn without(self, part: Self) -> Self {
        Self {
            vms: self.vms.saturating_sub(part.vms),
            percent: self.percent.saturating_sub(part.percent),
        }
    }
}

/// Pace of one server instance as this VM has last read it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PaceRecord {
    /// The last stated pace, and when it was read.
    stated: Option<(ServerPace, Moment)>,
}

impl PaceRecord {
    /// Applies the pace of a response. Returns whether the stated figure differs from the last
    /// one. After a figure that cannot be parsed, the pace is unknown.
    pub(crate) fn apply(&mut self, now: Moment, signal: PaceSignal) -> bool {
        let last = self.stated.map(|(pace, _)| pace);
        match signal {
            PaceSignal::Percent(pace) => self.stated = Some((pace, now)),
            PaceSignal::Malformed => self.stated = None,
            PaceSignal::None => {}
        }
        last != self.stated.map(|(pace, _)| pace)
    }

    /// The report of this VM to other VMs.
    pub(crate) fn report(&self, now: Moment) -> PaceReports {
        self.newer_than(now, REPORT_TTL)
            .map_or(PaceReports::default(), PaceReports::of)
    }

    /// The pace that applies now, given the `reports` of other VMs.
    pub(crate) fn pace(&self, now: Moment, reports: PaceReports) -> ServerPace {
        self.newer_than(now, OWN_TTL)
            .or_else(|| self.report(now).plus(reports).mean())
            .unwrap_or_default()
    }

    /// The stated pace, if it was read less than `ttl` ago.
    fn newer_than(&self, now: Moment, ttl: Duration) -> Option<ServerPace> {
        let (pace, read) = self.stated?;
        (now - read < ttl).then_some(pace)
    }
}

impl FleetView {
    /// Applies the pace in a response of a server. Returns whether the stated figure differs
    /// from the last one that this VM has read.
    ///
    /// ```
    /// use onyxfall_fleet::{FleetView, PaceSignal, VmLocation};
    /// # use onyxfall_fleet::{StartTime, ServerPhase, ServerRecord};
    /// # use onyxfall_policy::Moment;
    /// # let (center, region): (onyxfall_types::CenterName, onyxfall_types::RegionName) =
    /// #     ("c1".parse().unwrap(), "r1".parse().unwrap());
    /// # let mut fleet = FleetView::new(VmLocation {
    /// #     vm: "vm1".parse().unwrap(),
    /// #     center: center.clone(),
    /// #     region: region.clone(),
    /// #     centers: [(center.clone(), region)].into(),
    /// # });
    /// # let record = ServerRecord {
    /// #     name: "s1".parse().unwrap(),
    /// #     started_at: StartTime::UNKNOWN,
    /// #     service: "svc".parse().unwrap(),
    /// #     version: None,
    /// #     address: "10.0.0.1:80".parse().unwrap(),
    /// #     center,
    /// #     slots: 4,
    /// #     phase: ServerPhase::Ready,
    /// #     cold_left: std::time::Duration::ZERO,
    /// # };
    /// # fleet.put_server(Moment::ZERO, record, None);
    /// let server = fleet.find("s1").unwrap();
    /// let pace = "400".parse().unwrap();
    /// assert!(fleet.apply_pace(Moment::ZERO, server, PaceSignal::Percent(pace)));
    /// assert_eq!(fleet.server(server).pace(Moment::ZERO), pace);
    /// ```
    pub fn apply_pace(&mut self, now: Moment, id: ServerId, signal: PaceSignal) -> bool {
        let id = self.same_instance(id);
        self.server_mut(id).pace_mut().apply(now, signal)
    }
}
