//! Whether a request leaves the region, and to which one.
//!
//! Every VM tells how long a usual request would wait for its region's servers.
//! A request goes away when its own region cannot meet the goal and another one,
//! round trip included, is better by a margin. What was sent away lately counts
//! against the region that it went to until that region tells of it.

use std::collections::BTreeMap;
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::{RegionName, VmName};

use crate::call::CallNeeds;
use crate::server::read_time;

/// Round trip between two regions, from the users' sheets (55 ms one way).
pub const REGION_ROUND_TRIP: Duration = Duration::from_millis(112);
/// Part of the goal up to which a request stays in its region.
const STAY_PART: f64 = 0.5;
/// Gain that pays for the bytes between regions and a prefix read anew.
const AWAY_MARGIN: Duration = Duration::from_millis(60);
/// Reading time that must be saved for a request to follow its prefix into
/// another region: below, the bytes between regions cost more than they save.
const PREFIX_GAIN: Duration = Duration::from_millis(12);
/// Work that a request to a plain service brings: the sheets' 15 to 30 ms, on
/// servers of six slots.
const PLAIN_WORK: Duration = Duration::from_millis(5);
/// Age after which a VM's word no longer counts.
const WORD_LIFE: Duration = Duration::from_secs(4);

/// What a VM tells of one service in its region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceLoad {
    /// Expected time to a first byte for a usual request at the best server.
    pub wait: Duration,
    /// Servers that take work.
    pub usable: u32,
}

#[derive(Clone, Debug)]
struct VmWord {
    region: RegionName,
    heard: Moment,
    loads: BTreeMap<u32, ServiceLoad>,
    /// Work sent there since its last word, by service.
    sent: BTreeMap<u32, Duration>,
}

/// A search for a region to send a request to.
#[derive(Clone, Copy, Debug)]
pub struct AwaySearch<'a> {
    /// What the request needs.
    pub needs: &'a CallNeeds,
    /// Tag of its service's name.
    pub service_tag: u32,
    /// Region of this VM.
    pub own_region: &'a RegionName,
    /// Region where the request's shared prefix is kept, if any.
    pub prefix_home: Option<&'a RegionName>,
    /// VMs that were tried.
    pub excluded: &'a [VmName],
}

/// Where a request could be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct AwayOption {
    /// The VM that would run it.
    pub vm: VmName,
    /// Whether the request's shared prefix is kept in that region.
    pub holds_prefix: bool,
    /// Work that the request brings there.
    pub work: Duration,
    /// Expected time to the first byte, round trip included.
    pub predicted: Duration,
}

/// What the VMs of other regions have told.
#[derive(Clone, Debug, Default)]
pub struct AwayTable {
    words: BTreeMap<VmName, VmWord>,
}

impl AwayTable {
    /// Takes a VM's word on its region.
    pub fn hear(
        &mut self,
        now: Moment,
        vm: &VmName,
        region: &RegionName,
        loads: BTreeMap<u32, ServiceLoad>,
    ) {
        let word = VmWord {
            region: region.clone(),
            heard: now,
            loads,
            sent: BTreeMap::new(),
        };
        self.words.insert(vm.clone(), word);
    }

    /// Forgets a VM that is gone or leaving.
    pub fn forget(&mut self, vm: &VmName) {
        self.words.remove(vm);
    }

    /// Notes that a request is sent to the VM of an option.
    pub fn note_sent(&mut self, option: &AwayOption, service_tag: u32) {
        if let Some(word) = self.words.get_mut(&option.vm) {
            *word.sent.entry(service_tag).or_default() += option.work;
        }
    }

    /// The best VM of another region, if any may run the request; `prefix_home`
    /// is the region where its shared prefix is kept.
    pub fn best(&self, now: Moment, search: &AwaySearch<'_>) -> Option<AwayOption> {
        self.words
            .iter()
            .filter(|(vm, word)| {
                word.region != *search.own_region
                    && search.needs.allows_region(&word.region)
                    && now - word.heard < WORD_LIFE
                    && !search.excluded.contains(vm)
            })
            .filter_map(|(vm, word)| self.option(vm, word, search))
            .min_by_key(|option| (option.predicted, self.sent_by(option, search)))
    }

    fn option(&self, vm: &VmName, word: &VmWord, search: &AwaySearch<'_>) -> Option<AwayOption> {
        let load = word.loads.get(&search.service_tag)?;
        if load.usable == 0 {
            return None;
        }
        let prompt = &search.needs.prompt;
        let holds_prefix = search.prefix_home == Some(&word.region);
        let kept = if holds_prefix {
            prompt.shared_tokens()
        } else {
            0
        };
        let brought = match search.needs.engine {
            Some(_) => read_time(prompt.input.saturating_sub(kept)),
            None => PLAIN_WORK,
        };
        let sent = self.sent_to(&word.region, search.service_tag) / load.usable;
        Some(AwayOption {
            vm: vm.clone(),
            holds_prefix,
            work: brought,
            predicted: REGION_ROUND_TRIP + load.wait + sent + brought,
        })
    }

    fn sent_to(&self, region: &RegionName, service_tag: u32) -> Duration {
        self.words
            .values()
            .filter(|word| word.region == *region)
            .filter_map(|word| word.sent.get(&service_tag))
            .sum()
    }

    fn sent_by(&self, option: &AwayOption, search: &AwaySearch<'_>) -> Duration {
        let word = self.words.get(&option.vm);
        let sent = word.and_then(|word| word.sent.get(&search.service_tag));
        sent.copied().unwrap_or_default()
    }
}

/// Whether a request is better off away than at a server of its region that
/// answers after `local` and would read `unread` shared tokens anew.
///
/// ```
/// use onyxfall_fleet::goes_away;
/// use std::time::Duration;
/// let ms = Duration::from_millis;
/// assert!(!goes_away(ms(600), ms(200), 0, ms(120), false));
/// assert!(goes_away(ms(600), ms(900), 0, ms(200), false));
/// assert!(goes_away(ms(1000), ms(200), 5_000, ms(250), true));
/// ```
pub fn goes_away(
    goal: Duration,
    local: Duration,
    unread: u64,
    away: Duration,
    holds_prefix: bool,
) -> bool {
    let stay = goal.mul_f64(STAY_PART);
    let is_faster = local > stay && away + AWAY_MARGIN < local;
    let saves_reading = holds_prefix && read_time(unread) >= PREFIX_GAIN && away <= stay;
    is_faster || saves_reading
}
