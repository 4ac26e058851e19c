//! Estimate of the prefixes that a server has in its KV cache.
//!
//! A server evicts the least recently used prefix when its memory is full. So a prefix
//! counts as cached until the tokens added to the memory since its last use exceed the
//! memory that running requests leave free. Tokens of other VMs' requests count by the
//! rates that these VMs report.

use std::collections::HashMap;

use onyxfall_policy::Moment;

use crate::call::PromptSize;

/// Most prefixes that are tracked for one server.
const MAX_PREFIXES: usize = 2048;
/// Least part of a server's memory that is available to cached prefixes.
const MIN_CACHE_PART: f64 = 0.1;

/// Prefixes in the cache of one server.
#[derive(Clone, Debug)]
pub(crate) struct CachedPrefixes {
    /// Value of `inflow` at the last use of each prefix.
    used: HashMap<u64, f64>,
    /// Tokens that were added to the memory until `at`.
    inflow: f64,
    at: Moment,
    /// Tokens a second that requests of other VMs add since `at`.
    remote_flow: u64,
    /// Capacity of the memory in tokens; 0 until a request sets it.
    capacity: u64,
}

impl CachedPrefixes {
    /// Creates an empty estimate.
    pub(crate) fn new(now: Moment) -> Self {
        Self {
            used: HashMap::new(),
            inflow: 0.0,
            at: now,
            remote_flow: 0,
            capacity: 0,
        }
    }

    /// Sets the capacity of the memory in tokens.
    pub(crate) fn set_capacity(&mut self, tokens: u64) {
        self.capacity = tokens;
    }

    /// Sets the tokens a second that requests of other VMs add from now on.
    pub(crate) fn set_remote_flow(&mut self, now: Moment, flow: u64) {
        self.inflow = self.inflow(now);
        self.at = now;
        self.remote_flow = flow;
    }

    /// Records that a request of this VM adds `tokens` to the memory.
    pub(crate) fn bring(&mut self, tokens: u64) {
        self.inflow += tokens as f64;
    }

    /// Records a use of every prefix of `prompt`. Requests in progress occupy `running`
    /// tokens.
    pub(crate) fn touch(&mut self, now: Moment, prompt: &PromptSize, running: u64) {
        let inflow = self.inflow(now);
        if self.used.len() >= MAX_PREFIXES {
            let evicted = inflow - self.room(running);
            self.used.retain(|_, used| *used > evicted);
        }
        if self.used.len() < MAX_PREFIXES {
            let prefixes = prompt.prefixes();
            self.used.extend(prefixes.map(|(key, _)| (key, inflow)));
        }
    }

    /// Tokens of the longest cached prefix of `prompt`. Requests in progress occupy `running`
    /// tokens.
    pub(crate) fn tokens_of(&self, now: Moment, prompt: &PromptSize, running: u64) -> u64 {
        let evicted = self.inflow(now) - self.room(running);
        prompt
            .prefixes()
            .take_while(|(key, _)| self.used.get(key).is_some_and(|used| *used > evicted))
            .map(|(_, tokens)| tokens)
            .last()
            .unwrap_or(0)
    }

    /// Tokens that may be added until a prefix that is not used again is evicted.
    fn room(&self, running: u64) -> f64 {
        let total = self.capacity as f64;
        (total - running as f64).max(MIN_CACHE_PART * total)
    }

    /// Tokens that were added to the memory until `now`.
    fn inflow(&self, now: Moment) -> f64 {
        self.inflow + self.remote_flow as f64 * (now - self.at).as_secs_f64()
    }
}
