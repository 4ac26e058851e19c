//! Work that VMs have in progress at a server, as VMs exchange it.

use crate::limit::LimitReports;
use crate::liveness::ServerVotes;
use crate::pace::PaceReports;

/// Number of urgency levels of requests; level 0 goes first.
pub const URGENCIES: usize = 10;

/// Prompt tokens that are not known to be prefilled yet, by the urgency of their requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefillTokens([u64; URGENCIES]);

impl PrefillTokens {
    /// The tokens of one request.
    ///
    /// ```
    /// use onyxfall_fleet::PrefillTokens;
    /// let pending = PrefillTokens::of(3, 500);
    /// assert_eq!(pending.up_to(2), 0);
    /// assert_eq!(pending.up_to(3), 500);
    /// ```
    pub fn of(urgency: u8, tokens: u64) -> Self {
        let mut pending = Self::default();
        pending.0[level(urgency)] = tokens;
        pending
    }

    /// Tokens as another VM has reported them, by urgency from 0 on.
    pub fn from_slice(tokens: &[u64]) -> Self {
        let mut pending = Self::default();
        for (own, reported) in pending.0.iter_mut().zip(tokens) {
            *own = *reported;
        }
        pending
    }

    /// Tokens by urgency, without trailing zeros.
    pub fn as_slice(&self) -> &[u64] {
        let used = self.0.iter().rposition(|tokens| *tokens > 0);
        &self.0[..used.map_or(0, |last| last + 1)]
    }

    /// Tokens of all urgencies.
    pub fn total(&self) -> u64 {
        self.up_to(u8::MAX)
    }

    /// Tokens of requests at least as urgent as `urgency`.
    pub fn up_to(&self, urgency: u8) -> u64 {
        let tokens = self.0[..=level(urgency)].iter();
        tokens.fold(0, |sum, tokens| sum.saturating_add(*tokens))
    }

    fn combine(self, other: Self, with: fn(u64, u64) -> u64) -> Self {
        Self(std::array::from_fn(|i| with(self.0[i], other.0[i])))
    }
}

/// Index of an urgency.
fn level(urgency: u8) -> usize {
    usize::from(urgency).min(URGENCIES - 1)
}

/// Work of one or several VMs at one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkShare {
    /// Requests in progress.
    pub requests: u32,
    /// Prompt tokens that are not known to be prefilled yet.
    pub prefill: PrefillTokens,
    /// Memory that the requests will occupy, in tokens.
    pub memory: u64,
    /// Tokens a second that are added to the server's memory.
    pub flow: u64,
    /// Liveness votes of the VMs on the server.
    pub votes: ServerVotes,
    /// Rate limits that the VMs have read from responses of the server.
    pub limits: LimitReports,
    /// Paces that the VMs have lately read from responses of the server.
    pub paces: PaceReports,
}

impl WorkShare {
    /// Sum of both shares. Figures of other VMs may be out of any range, so the sums
    /// saturate.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_add(other.requests),
            prefill: self.prefill.combine(other.prefill, u64::saturating_add),
            memory: self.memory.saturating_add(other.memory),
            flow: self.flow.saturating_add(other.flow),
            votes: self.votes.plus(other.votes),
            limits: self.limits.plus(other.limits),
            paces: self.paces.plus(other.paces),
        }
    }

    /// This share without `other`, which is part of it.
    #[must_use]
    pub fn without(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(other.requests),
            prefill: self.prefill.combine(other.prefill, u64::saturating_sub),
            memory: self.memory.saturating_sub(other.memory),
            flow: self.flow.saturating_sub(other.flow),
            votes: self.votes.without(other.votes),
            limits: self.limits.without(other.limits),
            paces: self.paces.without(other.paces),
        }
    }
}
