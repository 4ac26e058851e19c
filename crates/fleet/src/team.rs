//! Teams of a configuration: API keys, priorities, home regions and quotas.
//!
//! Plain keys are not stored. A key is digested where it is read, and the digest is looked up
//! in a hash table that is keyed per process, so that no comparison of key texts can be
//! timed.
//!
//! Invariant: a key that two teams claim belongs to neither.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::fmt;

use onyxfall_types::{EntityMap, TeamId, TeamName, name_tag};

use crate::call::PromptSize;
use crate::home::HomeRegions;

/// Digest of a caller's API key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Creates a digest from its bytes.
    pub const fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Unit in which a quota is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Tokens of a request: its prompt and the maximum length of its response. A request
    /// without token counts costs `plain` tokens.
    Tokens {
        /// Tokens charged for a request to a plain service.
        plain: u64,
    },
    /// Requests.
    Requests,
}

impl QuotaUnit {
    /// Cost of a request in this unit.
    ///
    /// ```
    /// use onyxfall_fleet::{PromptSize, QuotaUnit};
    /// let tokens = QuotaUnit::Tokens { plain: 200 };
    /// let prompt = PromptSize { input: 1000, output: 50, ..PromptSize::default() };
    /// assert_eq!(tokens.cost(&prompt), 1050);
    /// assert_eq!(tokens.cost(&PromptSize::default()), 200);
    /// assert_eq!(QuotaUnit::Requests.cost(&prompt), 1);
    /// ```
    pub fn cost(self, prompt: &PromptSize) -> u64 {
        match self {
            Self::Requests => 1,
            Self::Tokens { plain } if *prompt == PromptSize::default() => plain,
            Self::Tokens { .. } => prompt.input.saturating_add(prompt.output),
        }
    }
}

/// Quota of a team over all VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// Units per second.
    pub rate: f64,
    /// Units that may be used at once after an idle time.
    pub burst: f64,
    /// Unit of `rate` and `burst`.
    pub unit: QuotaUnit,
}

/// Configuration of one team.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamRule {
    /// Name of the team.
    pub name: TeamName,
    /// Digests of the team's API keys.
    pub keys: Vec<KeyDigest>,
    /// Priority of the team's requests, overriding that of their routes; 0 is the highest.
    pub priority: Option<u8>,
    /// Quota of the team; `None` if it has no limit.
    pub quota: Option<QuotaLimit>,
    /// Regions that may serve the team's requests.
    pub homes: HomeRegions,
}

impl TeamRule {
    /// Short identifier of the team in messages between VMs.
    pub fn tag(&self) -> u32 {
        name_tag(&format!("team {}", self.name))
    }
}

/// Teams of one configuration, indexed by key and by name.
#[derive(Clone, Debug, Default)]
pub struct TeamTable {
    teams: EntityMap<TeamId, TeamRule>,
    tags: EntityMap<TeamId, u32>,
    /// Team of each key; `None` if several teams claim the key.
    by_key: HashMap<KeyDigest, Option<TeamId>>,
    by_name: HashMap<TeamName, TeamId>,
}

impl TeamTable {
    /// Creates a table of teams.
    pub fn new(rules: Vec<TeamRule>) -> Self {
        let mut table = Self::default();
        for rule in rules {
            table.add(rule);
        }
        table
    }

    fn add(&mut self, rule: TeamRule) {
        let tag = rule.tag();
        let (keys, name) = (rule.keys.clone(), rule.name.clone());
        let id = self.teams.push(rule);
        self.tags.push(tag);
        self.by_name.insert(name, id);
        for key in keys {
            match self.by_key.entry(key) {
                Entry::Vacant(entry) => {
                    entry.insert(Some(id));
                }
                Entry::Occupied(mut entry) if *entry.get() != Some(id) => {
                    entry.insert(None);
                }
                Entry::Occupied(_) => {}
            }
        }
    }

    /// The team that a key belongs to.
    pub fn holder(&self, key: &KeyDigest) -> Option<TeamId> {
        self.by_key.get(key).copied().flatten()
    }

    /// The team with a name.
    pub fn named(&self, name: &str) -> Option<TeamId> {
        self.by_name.get(name).copied()
    }

    /// Configuration of a team.
    pub fn rule(&self, id: TeamId) -> &TeamRule {
        &self.teams[id]
    }

    /// Short identifier of a team in messages between VMs.
    pub fn tag(&self, id: TeamId) -> u32 {
        self.tags[id]
    }

    /// Iterates over all teams.
    pub fn iter(&self) -> impl Iterator<Item = (TeamId, &TeamRule)> {
        self.teams.iter()
    }

    /// Number of keys that more than one team claims.
    pub fn disputed_keys(&self) -> usize {
        self.by_key.values().filter(|team| team.is_none()).count()
    }
}
