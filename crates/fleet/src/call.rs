//! What the choice of a server needs to know of a request.

use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::{RegionName, ServiceName};

use crate::home::HomeRegions;
use crate::route::EngineLimits;

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the part.
    pub id: u64,
    /// Its tokens.
    pub tokens: u64,
}

/// Size of a request to a model server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptSize {
    /// Parts in order; the last belongs to the request or its session.
    pub parts: Vec<PromptPart>,
    /// Tokens of the whole prompt.
    pub input: u64,
    /// Most tokens of the answer.
    pub output: u64,
    /// The caller's guess at the tokens of the answer.
    pub output_guess: Option<u64>,
}

impl PromptSize {
    /// Tokens that the request holds in a server's memory when it ends.
    pub fn memory(&self) -> u64 {
        self.input + self.output
    }

    /// Tokens that the request is likely to hold in the end.
    pub fn likely_memory(&self) -> u64 {
        self.input.saturating_add(self.likely_output())
    }

    /// Tokens of the answer, as far as the request tells.
    pub fn likely_output(&self) -> u64 {
        self.output_guess.unwrap_or(self.output).min(self.output)
    }

    /// Hash over the shared parts, for affinity; none if nothing is shared.
    pub fn affinity(&self) -> Option<u64> {
        let shared = self.parts.len().saturating_sub(1).max(1);
        let parts = self.parts.get(..shared)?;
        Some(parts.iter().fold(0, |key, part| chain(key, part.id)))
    }

    /// Tokens of the parts that other requests may share.
    pub fn shared_tokens(&self) -> u64 {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].iter().map(|part| part.tokens).sum()
    }

    /// Keys of every prefix with its tokens, shortest first.
    pub fn prefixes(&self) -> impl Iterator<Item = (u64, u64)> {
        self.parts.iter().scan((0_u64, 0_u64), |state, part| {
            state.0 = chain(state.0, part.id);
            state.1 += part.tokens;
            Some(*state)
        })
    }
}

/// Key of the prefix `before` followed by part `id`.
fn chain(before: u64, id: u64) -> u64 {
    (before.rotate_left(23) ^ id).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// What a request needs of a server.
#[derive(Clone, Debug)]
pub struct CallRequirements {
    /// The service that serves it.
    pub service: ServiceName,
    /// Limits of its model servers; none for plain services.
    pub engine: Option<EngineLimits>,
    /// Size of the prompt; empty for plain services.
    pub prompt: PromptSize,
    /// Time within which the answer (or its first event) is in time.
    pub goal: Duration,
    /// Order of admission in a model server; 0 goes first.
    pub urgency: u8,
    /// When the caller leaves.
    pub deadline: Moment,
    /// Expected events of the answer; none if it is no stream, or not known.
    pub events: Option<f64>,
    /// Regions that may serve it.
    pub homes: HomeRegions,
}

impl CallRequirements {
    /// Whether servers of `region` may run it.
    pub fn allows_region(&self, region: &RegionName) -> bool {
        self.homes.allows(region)
    }
}
