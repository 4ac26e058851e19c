//! Properties of a request that the choice of a server depends on.

use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::{RegionName, ServiceName, SoftwareVersion};

use crate::home::HomeRegions;
use crate::route::EngineLimits;

/// Part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the part.
    pub id: u64,
    /// Number of tokens.
    pub tokens: u64,
}

/// Size of a request to a model server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptSize {
    /// Parts in order; the last one is specific to the request or its session.
    pub parts: Vec<PromptPart>,
    /// Tokens of the whole prompt.
    pub input: u64,
    /// Maximum number of tokens of the response.
    pub output: u64,
    /// The caller's estimate of the tokens of the response.
    pub output_guess: Option<u64>,
}

impl PromptSize {
    /// Tokens that the request occupies in a server's memory at its end.
    pub fn memory(&self) -> u64 {
        self.input + self.output
    }

    /// Tokens that the request is expected to occupy at its end.
    pub fn likely_memory(&self) -> u64 {
        self.input.saturating_add(self.likely_output())
    }

    /// Expected tokens of the response, according to the request.
    pub fn likely_output(&self) -> u64 {
        self.output_guess.unwrap_or(self.output).min(self.output)
    }

    /// Hash of the shared parts, for affinity; none if nothing is shared.
    pub fn affinity(&self) -> Option<u64> {
        let shared = self.parts.len().saturating_sub(1).max(1);
        let parts = self.parts.get(..shared)?;
        Some(parts.iter().fold(0, |key, part| chain(key, part.id)))
    }

    /// The parts that other requests may share: all but the last one.
    ///
    /// ```
    /// use onyxfall_fleet::{PromptPart, PromptSize};
    /// let parts = [0x5c, 0xe4].map(|id| PromptPart { id, tokens: 100 });
    /// let prompt = PromptSize { parts: parts.to_vec(), ..PromptSize::default() };
    /// assert_eq!(prompt.shared_parts(), &parts[..1]);
    /// ```
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// The hashes of the parts that other requests may share, as callers send them.
    ///
    /// ```
    /// use onyxfall_fleet::{PromptPart, PromptSize};
    /// let parts = [0x5c, 0x91, 0xe4].map(|id| PromptPart { id, tokens: 100 });
    /// let prompt = PromptSize { parts: parts.to_vec(), ..PromptSize::default() };
    /// assert_eq!(prompt.shared_parts_text(), "5c,91");
    /// ```
    pub fn shared_parts_text(&self) -> String {
        let ids = self.shared_parts().iter();
        let ids: Vec<String> = ids.map(|part| format!("{:x}", part.id)).collect();
        ids.join(",")
    }

    /// Tokens of the parts that other requests may share.
    pub fn shared_tokens(&self) -> u64 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }

    /// Key and tokens of every prefix, shortest first.
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

/// Requirements of a request for the choice of a server.
#[derive(Clone, Debug)]
pub struct CallRequirements {
    /// Service that serves the request.
    pub service: ServiceName,
    /// Capacity of the service's model servers; none for plain services.
    pub engine: Option<EngineLimits>,
    /// Size of the prompt; empty for plain services.
    pub prompt: PromptSize,
    /// Time within which the response (or its first event) is on time.
    pub goal: Duration,
    /// Order of admission in a model server; 0 is admitted first.
    pub urgency: u8,
    /// Time that the prompts of others at a server may take before the request is rejected
    /// there; none if only its goal limits that.
    pub backlog_limit: Option<Duration>,
    /// Deadline of the caller.
    pub deadline: Moment,
    /// Expected number of events of the response; none if it is not a stream, or
    /// unknown.
    pub events: Option<f64>,
    /// Regions that may serve the request.
    pub homes: HomeRegions,
    /// The only software version that may serve the request; none if any may.
    pub version: Option<SoftwareVersion>,
}

impl CallRequirements {
    /// Whether a backlog of others' prompts is within the limit of the request.
    pub fn allows_backlog(&self, backlog: Duration) -> bool {
        self.backlog_limit.is_none_or(|limit| backlog <= limit)
    }

    /// Whether servers of a software version may run the request. A server without a valid version
    /// runs only requests that any version may.
    pub fn allows_version(&self, version: Option<&SoftwareVersion>) -> bool {
        self.version.is_none() || self.version.as_ref() == version
    }

    /// Whether servers of `region` may run the request.
    pub fn allows_region(&self, region: &RegionName) -> bool {
        self.homes.allows(region)
    }
}
