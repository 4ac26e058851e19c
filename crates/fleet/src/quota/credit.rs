//! Spending of a team's quota by importance and cost.
//!
//! While a team exceeds its quota, every arriving request adds the admission probability times
//! its cost to a credit of this VM, and an admitted request takes its cost from it. So a VM
//! admits the same fraction of its demand, in units, as by deciding at random, but chooses the
//! requests. A part of the credit belongs to the rank of the request, so that no rank starves;
//! the rest goes to the more important ranks first.
//!
//! Invariant: what is admitted beyond the probability times the demand is bounded by the
//! overdraft, and what was saved earlier by the burst, at every VM.

use std::time::Duration;

use onyxfall_policy::Moment;

/// Number of ranks that are told apart; less important ones count as the last.
const RANKS: usize = 8;
/// Fraction of the credit that belongs to the rank of the request that adds it. An unimportant
/// rank gets twice the tenth of an even share that it must keep, as some is lost at bounds.
const OWN_FRACTION: f64 = 0.2;
/// Requests that cost less than this fraction of the mean are admitted first. All of them
/// together are less than this fraction of the demand, so refusing them frees nothing.
const SMALL_FRACTION: f64 = 0.1;
/// Step of the credit, as a fraction of the bucket's reserve for undetected excess, over all VMs
/// together. Important requests may be a step in debt, a step is kept for them, and a further
/// one may be saved. The rest of the reserve still covers a surge.
const STEP_FRACTION: f64 = 0.25;
/// Bound of what is kept for more important requests, in their mean cost: two requests that
/// follow each other.
const KEPT_REQUESTS: f64 = 2.0;
/// Time without requests of a rank after which nothing is kept for it, and without refusals
/// after which the credit starts anew.
const IDLE_AFTER: Duration = Duration::from_secs(2);
/// Least step, in mean requests, for which credit is used. A smaller team's VMs decide at random:
/// where debts and savings are cut off at a small part of a request, more debts than savings are
/// lost, and a window was used to 99 % of what is allowed instead of 96 % (test `quota`).
const LEAST_STEP: f64 = 0.25;
/// Number of requests over which the mean cost of a team and of a rank is taken.
const MEAN_WINDOW: u32 = 256;
const RANK_MEAN_WINDOW: u32 = 16;

/// Bucket of a team as far as it bounds the credit of one VM.
#[derive(Clone, Copy, Debug)]
pub(super) struct CreditTerms {
    /// Probability of admitting a request.
    pub(super) chance: f64,
    /// Units between the levels at which refusals begin and at which everything is refused.
    pub(super) reserve: f64,
    /// VMs that share the bucket; a fraction where the share of a partition is an estimate.
    pub(super) vms: f64,
}

impl CreditTerms {
    /// Step of the credit of one VM.
    pub(super) fn step(&self) -> f64 {
        STEP_FRACTION * self.reserve / self.vms.max(1.0)
    }
}

/// Mean cost of recent requests.
#[derive(Clone, Copy, Debug, Default)]
struct CostMean {
    mean: f64,
    /// Number of requests that the mean is taken over.
    count: u32,
}

impl CostMean {
    fn note(&mut self, cost: f64, window: u32) {
        self.count = (self.count + 1).min(window);
        self.mean += (cost - self.mean) / f64::from(self.count);
    }
}

/// Credit and costs of one rank.
#[derive(Clone, Copy, Debug, Default)]
struct RankCredit {
    units: f64,
    costs: CostMean,
    seen: Option<Moment>,
}

impl RankCredit {
    fn is_active(&self, now: Moment) -> bool {
        self.seen.is_some_and(|at| now - at <= IDLE_AFTER)
    }
}

/// Credit of one team at this VM.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TeamCredit {
    /// Credit that all ranks may use, the more important ones first.
    pool: f64,
    ranks: [RankCredit; RANKS],
    costs: CostMean,
    /// When the credit was last needed.
    used_at: Option<Moment>,
    step: f64,
}

impl TeamCredit {
    /// Decides whether a request is admitted, by a `point` drawn evenly between 0 and 1: with
    /// less credit than a request costs, it is admitted in the proportion of both. Otherwise
    /// a VM with few requests would refuse the first ones of every excess.
    pub(super) fn admits(
        &mut self,
        now: Moment,
        terms: &CreditTerms,
        rank: u8,
        cost: f64,
        point: f64,
    ) -> bool {
        let rank = usize::from(rank).min(RANKS - 1);
        self.note(now, rank, cost);
        if terms.chance >= 1.0 {
            return true;
        }
        if self.used_at.is_none_or(|at| now - at > IDLE_AFTER) {
            self.pool = 0.0;
            self.ranks.iter_mut().for_each(|rank| rank.units = 0.0);
        }
        self.used_at = Some(now);
        self.step = terms.step();
        if self.step < self.costs.mean * LEAST_STEP {
            let is_small = cost < self.costs.mean * SMALL_FRACTION;
            return point < terms.chance || (is_small && terms.chance > 0.0);
        }
        let gained = terms.chance * cost;
        self.ranks[rank].units += gained * OWN_FRACTION;
        self.pool += gained * (1.0 - OWN_FRACTION);
        let admitted = terms.chance > 0.0 && self.take(now, rank, cost, point);
        self.bound();
        admitted
    }

    /// Returns the cost of a request that was admitted but never ran.
    pub(super) fn give_back(&mut self, cost: f64) {
        if self.used_at.is_some() {
            self.pool += cost;
            self.bound();
        }
    }

    fn note(&mut self, now: Moment, rank: usize, cost: f64) {
        self.costs.note(cost, MEAN_WINDOW);
        let rank = &mut self.ranks[rank];
        rank.costs.note(cost, RANK_MEAN_WINDOW);
        rank.seen = Some(now);
    }

    fn take(&mut self, now: Moment, rank: usize, cost: f64, point: f64) -> bool {
        let is_small = cost < self.costs.mean * SMALL_FRACTION;
        if is_small && self.pool - cost >= -self.step - self.overdraft() {
            self.pool -= cost;
            return true;
        }
        let free = (self.pool + self.debt(now, rank) - self.kept(now, rank)).max(0.0);
        let own = self.ranks[rank].units;
        if own + free < point * cost {
            return false;
        }
        let from_pool = free.min(cost - own.clamp(0.0, cost));
        self.pool -= from_pool;
        self.ranks[rank].units -= cost - from_pool;
        true
    }

    /// Credit that is kept for ranks more important than `rank`.
    fn kept(&self, now: Moment, rank: usize) -> f64 {
        let higher = self.ranks[..rank].iter();
        let active = higher.filter(|rank| rank.is_active(now));
        let dearest = active.map(|rank| rank.costs.mean).fold(0.0, f64::max);
        (dearest * KEPT_REQUESTS).min(self.step)
    }

    /// Units that requests of `rank` may take in advance: less important ones, which are refused
    /// meanwhile, repay them.
    fn debt(&self, now: Moment, rank: usize) -> f64 {
        let is_repaid = self.ranks[rank + 1..]
            .iter()
            .any(|rank| rank.is_active(now));
        if is_repaid { self.step } else { 0.0 }
    }

    /// Units that small requests may take beyond the debt of others: at most one mean request.
    fn overdraft(&self) -> f64 {
        self.costs.mean.min(self.step)
    }

    /// Bounds savings and debts alike, so that neither is lost more than the other.
    fn bound(&mut self) {
        let (step, overdraft) = (self.step, self.overdraft());
        for rank in &mut self.ranks {
            let beyond = (rank.units - step).max(0.0);
            self.pool += beyond;
            rank.units = (rank.units - beyond).max(-step);
        }
        self.pool = self.pool.clamp(-step - overdraft, 2.0 * step);
    }
}
