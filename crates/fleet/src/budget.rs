//! This VM's share of a service's retry budget.
//!
//! The budget of a service is `ratio` times its requests in a window plus a fixed
//! number, summed over all VMs. The part by ratio needs no sharing: each VM counts its
//! own requests. The fixed number is divided by the known VMs, including those lost
//! recently. A VM that has just started uses nothing of it: the retries of its former
//! process still count, and it may not know the others yet.
//!
//! Moments are counted from the start of the process.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::CenterName;

/// Age from which a VM takes a data centre of which it knows no VM for empty. It is that after
/// which lost VMs are forgotten.
const MEETING_TIME: Duration = Duration::from_mins(2);
/// Longest time from the claim of a retry to its arrival: it may wait for a server, or a server be
/// silent. Until then it may still arrive in a later window.
const LATEST_ARRIVAL: Duration = Duration::from_secs(3);
/// Fraction of the part by ratio that is used. Where callers move from one VM to another, requests
/// of two windows pay for the retries of one, and they are at most twice those of the larger one.
const RATIO_FRACTION: f64 = 0.5;
/// Fraction of the fixed part that is used. The rest covers VMs that are not known yet.
const FIXED_FRACTION: f64 = 0.8;

/// Parameters of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Additional retries allowed for all VMs together.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

/// What a retry saves, and with it how much of a share it may use. The rest is kept for retries that
/// save more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPurpose {
    /// A request whose caller has received nothing yet and can send it again.
    Repetition,
    /// A second run beside a silent server, which may go on by itself.
    SecondRun,
    /// The rest of a response that its caller has begun to receive, whose server has ended.
    Resumption,
}

impl RetryPurpose {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Repetition => "repetition",
            Self::SecondRun => "second run",
            Self::Resumption => "resumption",
        }
    }

    /// Fraction of a share that retries of this purpose may use.
    fn usable_share(self) -> f64 {
        match self {
            Self::Repetition => 0.6,
            Self::SecondRun => 0.75,
            Self::Resumption => 1.0,
        }
    }
}

/// How much of its share of a retry budget a VM has used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetUsage {
    /// Retries that count now.
    pub retries: usize,
    /// Retries that the share allows now.
    pub allowed: f64,
}

impl BudgetUsage {
    /// Whether one more retry is allowed.
    ///
    /// ```
    /// use onyxfall_fleet::{BudgetUsage, RetryPurpose};
    /// let usage = BudgetUsage { retries: 8, allowed: 10.0 };
    /// assert!(!usage.has_left(RetryPurpose::SecondRun));
    /// assert!(usage.has_left(RetryPurpose::Resumption));
    /// ```
    pub fn has_left(self, purpose: RetryPurpose) -> bool {
        (self.retries + 1) as f64 <= purpose.usable_share() * self.allowed
    }
}

impl fmt::Display for BudgetUsage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:.1}", self.retries, self.allowed)
    }
}

/// VMs that share the fixed part of a budget, as far as this VM knows.
///
/// ```
/// use onyxfall_fleet::SharerCount;
/// use onyxfall_policy::Moment;
/// # use onyxfall_types::CenterName;
/// let [near, far]: [CenterName; 2] = ["c0", "c1"].map(|name| name.parse().unwrap());
/// let mut count = SharerCount::new([near.clone(), far.clone()]);
/// count.update([&near, &near]);
/// assert_eq!(count.known(Moment::ZERO), None);
/// count.update([&near, &near, &far]);
/// assert_eq!(count.known(Moment::ZERO), Some(3));
/// ```
#[derive(Clone, Debug)]
pub struct SharerCount {
    /// Known VMs of each data centre.
    centers: BTreeMap<CenterName, usize>,
}

impl SharerCount {
    /// Creates the count of a VM in a deployment of `centers`.
    pub fn new(centers: impl IntoIterator<Item = CenterName>) -> Self {
        Self {
            centers: centers.into_iter().map(|center| (center, 0)).collect(),
        }
    }

    /// Records the data centres of all known VMs, including this one and those lost recently.
    pub fn update<'a>(&mut self, vms: impl IntoIterator<Item = &'a CenterName>) {
        self.centers.values_mut().for_each(|count| *count = 0);
        for center in vms {
            match self.centers.get_mut(center) {
                Some(count) => *count += 1,
                None => _ = self.centers.insert(center.clone(), 1),
            }
        }
    }

    /// Number of VMs that share the budget. `None` while this VM, whose process started at
    /// [`Moment::ZERO`], may not have met all of them: one that starts behind a cut knows none of
    /// some data centres.
    pub fn known(&self, now: Moment) -> Option<usize> {
        let is_complete = self.centers.values().all(|count| *count > 0);
        (is_complete || now >= Moment::ZERO + MEETING_TIME).then(|| self.centers.values().sum())
    }
}

/// Requests and retries of one service in this VM.
#[derive(Clone, Debug, Default)]
pub struct RetryShare {
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

impl RetryShare {
    /// Records the first sending of a request.
    pub fn record_first(&mut self, now: Moment) {
        self.requests.push_back(now);
    }

    /// Claims one retry of the budget if one is left for its purpose.
    ///
    /// ```
    /// use onyxfall_fleet::{BudgetLimits, RetryPurpose, RetryShare};
    /// use onyxfall_policy::Moment;
    /// let window = std::time::Duration::from_secs(10);
    /// let limits = BudgetLimits { ratio: 0.2, extra: 0.0, window };
    /// let mut share = RetryShare::default();
    /// assert!(!share.try_retry(Moment::ZERO, &limits, Some(1), RetryPurpose::Resumption));
    /// ```
    pub fn try_retry(
        &mut self,
        now: Moment,
        limits: &BudgetLimits,
        vms: Option<usize>,
        purpose: RetryPurpose,
    ) -> bool {
        let has_left = self.usage(now, limits, vms).has_left(purpose);
        if has_left {
            self.retries.push_back(now);
        }
        has_left
    }

    /// How much of the share is used. The fixed part of the budget is divided by `vms`, and not
    /// used while their number is unknown.
    ///
    /// ```
    /// use onyxfall_fleet::{BudgetLimits, RetryShare};
    /// use onyxfall_policy::Moment;
    /// let window = std::time::Duration::from_secs(10);
    /// let limits = BudgetLimits { ratio: 0.2, extra: 40.0, window };
    /// let now = Moment::ZERO + window * 2;
    /// let usage = RetryShare::default().usage(now, &limits, Some(4));
    /// assert_eq!(usage.to_string(), "0/8.0");
    /// ```
    pub fn usage(&mut self, now: Moment, limits: &BudgetLimits, vms: Option<usize>) -> BudgetUsage {
        self.drop_expired(now, limits.window);
        let vms = vms.filter(|_| now > Moment::ZERO + limits.window + LATEST_ARRIVAL);
        let fixed = vms.map_or(0.0, |vms| limits.extra / vms.max(1) as f64);
        let by_ratio = limits.ratio * self.requests.len() as f64;
        BudgetUsage {
            retries: self.retries.len(),
            allowed: RATIO_FRACTION * by_ratio + FIXED_FRACTION * fixed,
        }
    }

    fn drop_expired(&mut self, now: Moment, window: Duration) {
        drop_older(&mut self.requests, now, window);
        drop_older(&mut self.retries, now, window + LATEST_ARRIVAL);
    }
}

fn drop_older(times: &mut VecDeque<Moment>, now: Moment, age: Duration) {
    while times.front().is_some_and(|at| now - *at > age) {
        times.pop_front();
    }
}
