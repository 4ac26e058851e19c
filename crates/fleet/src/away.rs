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
use rand::Rng;

use crate::call::CallNeeds;
use crate::learn::RoundTrips;
use crate::predict::TimePrediction;

/// Part of the goal up to which a request stays in its region.
const STAY_PART: f64 = 0.5;
/// Gain that pays for the bytes between regions and a prefix read anew.
const AWAY_MARGIN: Duration = Duration::from_millis(60);
/// Reading time that must be saved for a request to follow its prefix into
/// another region: below, the bytes between regions cost more than they save.
const PREFIX_GAIN: Duration = Duration::from_millis(12);
/// Weight of one answer in the correction of what a region tells: its VMs tell of
/// their best server, as it was a heartbeat ago, and requests go to the one that
/// keeps their prefix. First bytes took 1.2 to 1.5 times what was predicted in the
/// median without the correction.
const DELAY_GAIN: f64 = 0.03;
/// Bounds of the correction.
const DELAY_RANGE: (f64, f64) = (0.5, 4.0);
/// Events of an answer that are counted at most, against overflow.
const MOST_GAPS: f64 = 1e6;
/// Age after which a VM's word no longer counts.
const WORD_LIFE: Duration = Duration::from_secs(4);

/// What a VM tells of one service in its region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceLoad {
    /// Expected time to a first byte for a usual request at the best server.
    pub wait: Duration,
    /// The part of it that is others' work.
    pub backlog: Duration,
    /// Servers that take work.
    pub usable: u32,
    /// Expected time between two events of an answer there.
    pub pace: Duration,
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
#[derive(Clone, Copy)]
pub struct AwaySearch<'a> {
    /// What the request needs.
    pub needs: &'a CallNeeds,
    /// Tag of its service's name.
    pub service_tag: u32,
    /// Region of this VM.
    pub own_region: &'a RegionName,
    /// Region where the request's shared prefix is kept, if any.
    pub prefix_home: Option<&'a RegionName>,
    /// Round trips to other regions.
    pub trips: &'a RoundTrips,
    /// Work that the request brings to a region that does not keep its prefix.
    pub work: Duration,
    /// The same for the region that does.
    pub work_at_home: Duration,
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
    /// Expected times, round trip included.
    pub predicted: TimePrediction,
}

/// What the VMs of other regions have told.
#[derive(Clone, Debug, Default)]
pub struct AwayTable {
    words: BTreeMap<VmName, VmWord>,
    /// Mean logarithm of how much longer first bytes took there than was told.
    delays: BTreeMap<RegionName, f64>,
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

    /// Notes that a first byte came from a region after `took` where `predicted` was
    /// expected.
    pub fn note_first(&mut self, region: &RegionName, predicted: Duration, took: Duration) {
        let ratio = took.as_secs_f64().max(1e-3) / predicted.as_secs_f64().max(1e-3);
        let delay = self.delays.entry(region.clone()).or_default();
        let (least, most) = DELAY_RANGE;
        *delay = (*delay + DELAY_GAIN * ratio.ln()).clamp(least.ln(), most.ln());
    }

    /// How many times longer than told work in a region takes.
    fn delay(&self, region: &RegionName) -> f64 {
        self.delays.get(region).map_or(1.0, |delay| delay.exp())
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
        self.options(now, search)
            .min_by_key(|option| (option.predicted.first, self.sent_by(option, search)))
    }

    /// What each VM of another region that may run the request offers.
    fn options<'a>(
        &'a self,
        now: Moment,
        search: &'a AwaySearch<'_>,
    ) -> impl Iterator<Item = AwayOption> + 'a {
        self.words
            .iter()
            .filter(move |(vm, word)| {
                word.region != *search.own_region
                    && search.needs.allows_region(&word.region)
                    && now - word.heard < WORD_LIFE
                    && !search.excluded.contains(vm)
            })
            .filter_map(move |(vm, word)| self.option(vm, word, search))
    }

    fn option(&self, vm: &VmName, word: &VmWord, search: &AwaySearch<'_>) -> Option<AwayOption> {
        let load = word.loads.get(&search.service_tag)?;
        if load.usable == 0 {
            return None;
        }
        let holds_prefix = search.prefix_home == Some(&word.region);
        let brought = if holds_prefix {
            search.work_at_home
        } else {
            search.work
        };
        let sent = self.sent_to(&word.region, search.service_tag) / load.usable;
        let delay = self.delay(&word.region);
        let there = (load.wait + sent + brought).mul_f64(delay);
        let first = search.trips.to(&word.region) + there;
        let gaps = (search.needs.events.unwrap_or(1.0) - 1.0).max(0.0);
        let whole = first + load.pace.mul_f64(gaps.min(MOST_GAPS));
        Some(AwayOption {
            vm: vm.clone(),
            holds_prefix,
            work: brought,
            predicted: TimePrediction {
                first,
                loaded: first,
                backlog: (load.backlog + sent).mul_f64(delay),
                whole,
            },
        })
    }

    /// The VM with the least work sent there among those of a region drawn by its
    /// usable servers, `own_usable` of them here; none if this region is drawn.
    pub fn draw(
        &self,
        now: Moment,
        search: &AwaySearch<'_>,
        own_usable: u32,
        rng: &mut impl Rng,
    ) -> Option<AwayOption> {
        let mut regions: BTreeMap<&RegionName, u32> = BTreeMap::new();
        for word in self.words.values() {
            let usable = word.loads.get(&search.service_tag).map_or(0, |l| l.usable);
            if search.needs.allows_region(&word.region) && word.region != *search.own_region {
                let most = regions.entry(&word.region).or_default();
                *most = usable.max(*most);
            }
        }
        let total = own_usable + regions.values().sum::<u32>();
        let mut point = rng.random_range(0..total.max(1));
        for (region, usable) in regions {
            if point < usable {
                let here = |vm: &VmName| self.words[vm].region == *region;
                let options = self.options(now, search).filter(|o| here(&o.vm));
                return options.min_by_key(|option| self.sent_by(option, search));
            }
            point -= usable;
        }
        None
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
/// answers after `local`; `saved` is the time of reading that is saved if the other
/// region keeps its prefix.
///
/// ```
/// use onyxfall_fleet::goes_away;
/// use std::time::Duration;
/// let ms = Duration::from_millis;
/// assert!(!goes_away(ms(600), ms(200), ms(0), ms(120), false));
/// assert!(goes_away(ms(600), ms(900), ms(0), ms(200), false));
/// assert!(goes_away(ms(1000), ms(200), ms(45), ms(250), true));
/// ```
pub fn goes_away(
    goal: Duration,
    local: Duration,
    saved: Duration,
    away: Duration,
    holds_prefix: bool,
) -> bool {
    let stay = goal.mul_f64(STAY_PART);
    let is_faster = local > stay && away + AWAY_MARGIN < local;
    let saves_reading = holds_prefix && saved >= PREFIX_GAIN && away <= stay;
    is_faster || saves_reading
}
