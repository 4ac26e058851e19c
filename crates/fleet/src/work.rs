//! What VMs have under way at a server, as they tell each other.

use crate::limit::LimitReports;
use crate::signs::ServerVotes;

/// Urgencies that a request can have; 0 goes first.
pub const URGENCIES: usize = 10;

/// Prompt tokens not yet known to be read, by the urgency of their requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefillTokens([u64; URGENCIES]);

impl PrefillTokens {
    /// The tokens of one request.
    ///
    /// ```
    /// use onyxfall_fleet::PrefillTokens;
    /// let unread = PrefillTokens::of(3, 500);
    /// assert_eq!(unread.up_to(2), 0);
    /// assert_eq!(unread.up_to(3), 500);
    /// ```
    pub fn of(urgency: u8, tokens: u64) -> Self {
        let mut unread = Self::default();
        unread.0[slot(urgency)] = tokens;
        unread
    }

    /// Tokens as another VM has told them, by urgency from 0 on.
    pub fn from_slice(tokens: &[u64]) -> Self {
        let mut unread = Self::default();
        for (own, told) in unread.0.iter_mut().zip(tokens) {
            *own = *told;
        }
        unread
    }

    /// Tokens by urgency, without the zeros at the end.
    pub fn as_slice(&self) -> &[u64] {
        let used = self.0.iter().rposition(|tokens| *tokens > 0);
        &self.0[..used.map_or(0, |last| last + 1)]
    }

    /// All tokens.
    pub fn total(&self) -> u64 {
        self.up_to(u8::MAX)
    }

    /// Tokens of requests at least as urgent as `urgency`.
    pub fn up_to(&self, urgency: u8) -> u64 {
        let tokens = self.0[..=slot(urgency)].iter();
        tokens.fold(0, |sum, tokens| sum.saturating_add(*tokens))
    }

    fn combine(self, other: Self, with: fn(u64, u64) -> u64) -> Self {
        Self(std::array::from_fn(|i| with(self.0[i], other.0[i])))
    }
}

fn slot(urgency: u8) -> usize {
    usize::from(urgency).min(URGENCIES - 1)
}

/// Work of one VM at one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkShare {
    /// Requests under way.
    pub requests: u32,
    /// Prompt tokens not yet known to be read.
    pub unread: PrefillTokens,
    /// Memory that the requests will hold, in tokens.
    pub memory: u64,
    /// Tokens a second that flow into the server's memory.
    pub flow: u64,
    /// Whether it lives, as those VMs see it.
    pub votes: ServerVotes,
    /// Limits that those VMs have read in its answers.
    pub limits: LimitReports,
}

impl WorkShare {
    /// This work and another. What other VMs tell may be absurd, so sums do not
    /// overflow.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_add(other.requests),
            unread: self.unread.combine(other.unread, u64::saturating_add),
            memory: self.memory.saturating_add(other.memory),
            flow: self.flow.saturating_add(other.flow),
            votes: self.votes.plus(other.votes),
            limits: self.limits.plus(other.limits),
        }
    }

    /// This work without another that is part of it.
    #[must_use]
    pub fn without(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(other.requests),
            unread: self.unread.combine(other.unread, u64::saturating_sub),
            memory: self.memory.saturating_sub(other.memory),
            flow: self.flow.saturating_sub(other.flow),
            votes: self.votes.without(other.votes),
            limits: self.limits.without(other.limits),
        }
    }
}
