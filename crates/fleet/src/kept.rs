//! The prefixes that a server's memory keeps, as far as this VM can tell.
//!
//! A server drops what is unused longest when its memory is full. So a prefix counts
//! as kept until as many tokens have flowed into the memory since its last use as
//! running requests leave. Tokens of other VMs' requests count by what they tell.

use std::collections::HashMap;

use onyxfall_policy::Moment;

use crate::call::PromptSize;

/// Prefixes remembered for one server.
const PREFIX_LIMIT: usize = 2048;
/// Part of a server's memory that is left to kept prefixes at least.
const LEAST_KEPT_PART: f64 = 0.1;

/// The prefixes kept by one server.
#[derive(Clone, Debug)]
pub(crate) struct CachedPrefixes {
    /// What had flowed into the memory when each prefix was last used.
    used: HashMap<u64, f64>,
    /// Tokens that have flowed into the memory until `at`.
    inflow: f64,
    at: Moment,
    /// Tokens a second that flow in from other VMs since then.
    told_flow: u64,
    /// Tokens that the memory holds; 0 until a request says so.
    capacity: u64,
}

impl CachedPrefixes {
    /// Nothing is kept yet.
    pub(crate) fn new(now: Moment) -> Self {
        Self {
            used: HashMap::new(),
            inflow: 0.0,
            at: now,
            told_flow: 0,
            capacity: 0,
        }
    }

    /// Sets how many tokens the memory holds.
    pub(crate) fn set_capacity(&mut self, tokens: u64) {
        self.capacity = tokens;
    }

    /// Sets how many tokens a second flow in from other VMs from now on.
    pub(crate) fn set_remote_flow(&mut self, now: Moment, flow: u64) {
        self.inflow = self.inflow(now);
        self.at = now;
        self.told_flow = flow;
    }

    /// Notes that a request of this VM brings tokens.
    pub(crate) fn bring(&mut self, tokens: u64) {
        self.inflow += tokens as f64;
    }

    /// Notes that every prefix of a prompt is used; `running` tokens are taken by
    /// requests under way.
    pub(crate) fn touch(&mut self, now: Moment, prompt: &PromptSize, running: u64) {
        let inflow = self.inflow(now);
        if self.used.len() >= PREFIX_LIMIT {
            let gone = inflow - self.room(running);
            self.used.retain(|_, used| *used > gone);
        }
        if self.used.len() < PREFIX_LIMIT {
            let prefixes = prompt.prefixes();
            self.used.extend(prefixes.map(|(key, _)| (key, inflow)));
        }
    }

    /// Tokens of the longest prefix of a prompt that is kept.
    pub(crate) fn tokens_of(&self, now: Moment, prompt: &PromptSize, running: u64) -> u64 {
        let gone = self.inflow(now) - self.room(running);
        prompt
            .prefixes()
            .take_while(|(key, _)| self.used.get(key).is_some_and(|used| *used > gone))
            .map(|(_, tokens)| tokens)
            .last()
            .unwrap_or(0)
    }

    /// Tokens that may flow in until a prefix that is not used again has to give way.
    fn room(&self, running: u64) -> f64 {
        let total = self.capacity as f64;
        (total - running as f64).max(LEAST_KEPT_PART * total)
    }

    fn inflow(&self, now: Moment) -> f64 {
        self.inflow + self.told_flow as f64 * (now - self.at).as_secs_f64()
    }
}
