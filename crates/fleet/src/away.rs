//! Whether a request leaves the region, and to which one.
//!
//! Aggregators tell how long a usual request would wait for their region's servers.
//! A request goes away when its own region cannot meet the goal and another one,
//! round trip included, is better by a margin. What was sent away lately counts
//! against the region that it went to until that region's word can include it, what
//! the other VMs of this region have sent as well: a hundred VMs that count their own
//! only would all send to the same region until its next word.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::{RegionName, name_tag};
use rand::Rng;

use crate::call::CallRequirements;
use crate::flow::FlowMeter;
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
/// Age after which a word on a region no longer counts.
const WORD_LIFE: Duration = Duration::from_secs(4);
/// Time until a region's aggregators know of work that has arrived there: a report, a
/// sum and the way of both.
const KNOWN_AFTER: Duration = Duration::from_millis(100);

/// Time in which the rate of work sent away fades to a third: a region's word is renewed
/// within half of it.
const SENT_FADE: Duration = Duration::from_millis(800);
/// Time in which a rate becomes the usual one. What is usual is part of what the other
/// region tells; counting it once more kept requests at home that were better off away
/// (mean worth of 27 days of three small sites 0.675, 0.679 without).
const USUAL_FADE: Duration = Duration::from_millis(1500);
/// Rate of work sent to a region, in seconds each second, that is believed at most.
const MOST_RATE: f64 = 10_000.0;

/// What an aggregator tells of one service in its region.
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
    /// Thousandths of a request a second that a plain service there has to spare.
    pub spare: u32,
}

/// Work that was sent to a region.
#[derive(Clone, Copy, Debug)]
struct SentWork {
    at: Moment,
    service_tag: u32,
    work: Duration,
}

/// What is known of one region.
#[derive(Clone, Debug)]
struct RegionWord {
    /// When it was said.
    said: Moment,
    /// Round trip to the region.
    trip: Duration,
    loads: BTreeMap<u32, ServiceLoad>,
    /// Work that this VM has sent there and that the word cannot include.
    sent: VecDeque<SentWork>,
    /// Work that this VM sends there, in microseconds each second, by service.
    rates: BTreeMap<u32, FlowMeter>,
    /// The same of the other VMs of this region.
    told: BTreeMap<u32, ToldRate>,
}

impl RegionWord {
    /// Work sent there by all VMs of this region that the word cannot include.
    fn sent(&self, now: Moment, service_tag: u32) -> Duration {
        let own: Duration = self
            .sent
            .iter()
            .filter(|sent| sent.service_tag == service_tag)
            .map(|sent| sent.work)
            .sum();
        let surge = self
            .told
            .get(&service_tag)
            .map_or(0.0, |told| told.surge(now));
        let unknown_for = now - self.said + unknown_before(self.trip);
        own + unknown_for.mul_f64(surge)
    }
}

/// A rate that other VMs tell, and what is usual of it.
#[derive(Clone, Copy, Debug, Default)]
struct ToldRate {
    /// Seconds of work each second.
    rate: f64,
    /// The same in the mean of the last while.
    usual: f64,
    at: Moment,
}

impl ToldRate {
    fn set(&mut self, now: Moment, rate: f64) {
        self.usual = self.usual_at(now);
        self.rate = rate.clamp(0.0, MOST_RATE);
        self.at = now;
    }

    fn usual_at(&self, now: Moment) -> f64 {
        let kept = (-(now - self.at).as_secs_f64() / USUAL_FADE.as_secs_f64()).exp();
        self.rate + (self.usual - self.rate) * kept
    }

    /// How much more than usual is sent: the usual is part of what the region tells.
    fn surge(&self, now: Moment) -> f64 {
        (self.rate - self.usual_at(now)).max(0.0)
    }
}

/// Time before a region's word in which work was sent there that the word does not
/// include.
fn unknown_before(trip: Duration) -> Duration {
    trip / 2 + KNOWN_AFTER
}

/// Short name of the rate of work of a service that is sent to a region, in messages
/// between VMs of another one.
fn rate_tag(region: &RegionName, service_tag: u32) -> u32 {
    name_tag(&format!("sent {region} {service_tag}"))
}

/// A search for a region to send a request to.
#[derive(Clone, Copy)]
pub struct RemoteSearch<'a> {
    /// What the request needs.
    pub needs: &'a CallRequirements,
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
    pub work_with_prefix: Duration,
    /// Regions of which no VM is left to try.
    pub excluded: &'a [RegionName],
}

/// Where a request could be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct RemoteOption {
    /// The region that would run it.
    pub region: RegionName,
    /// Whether the request's shared prefix is kept in that region.
    pub holds_prefix: bool,
    /// Work that the request brings there.
    pub work: Duration,
    /// Expected times, round trip included.
    pub predicted: TimePrediction,
}

/// What other regions have told.
#[derive(Clone, Debug, Default)]
pub struct RemoteTable {
    words: BTreeMap<RegionName, RegionWord>,
    /// Mean logarithm of how much longer first bytes took there than was told.
    delays: BTreeMap<RegionName, f64>,
}

impl RemoteTable {
    /// Takes a word on a region that was said at `said`, `trip` away; an older one than
    /// the last is left.
    pub fn hear(
        &mut self,
        said: Moment,
        region: &RegionName,
        trip: Duration,
        loads: BTreeMap<u32, ServiceLoad>,
    ) {
        let Some(word) = self.words.get_mut(region) else {
            let word = RegionWord {
                said,
                trip,
                loads,
                sent: VecDeque::new(),
                rates: BTreeMap::new(),
                told: BTreeMap::new(),
            };
            self.words.insert(region.clone(), word);
            return;
        };
        if word.said >= said {
            return;
        }
        word.said = said;
        word.trip = trip;
        word.loads = loads;
        let unknown_for = unknown_before(trip);
        while word
            .sent
            .front()
            .is_some_and(|sent| sent.at + unknown_for < said)
        {
            word.sent.pop_front();
        }
    }

    /// The words on other regions that still count: when they were said, and what.
    pub fn words(
        &self,
        now: Moment,
    ) -> impl Iterator<Item = (&RegionName, Moment, &BTreeMap<u32, ServiceLoad>)> {
        self.words
            .iter()
            .filter(move |(_, word)| now - word.said < WORD_LIFE)
            .map(|(region, word)| (region, word.said, &word.loads))
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

    /// Notes that a request is sent to the region of an option.
    pub fn note_sent(&mut self, now: Moment, option: &RemoteOption, service_tag: u32) {
        if let Some(word) = self.words.get_mut(&option.region) {
            let meter = word.rates.entry(service_tag);
            let micros = u64::try_from(option.work.as_micros()).unwrap_or(u64::MAX);
            meter.or_insert(FlowMeter::new(SENT_FADE)).note(now, micros);
            word.sent.push_back(SentWork {
                at: now,
                service_tag,
                work: option.work,
            });
        }
    }

    /// This VM's rates of work sent to regions, in seconds each second, with the short
    /// name of each.
    pub fn own_rates(&self, now: Moment) -> impl Iterator<Item = (u32, f64)> {
        self.words.iter().flat_map(move |(region, word)| {
            word.rates.iter().map(move |(service_tag, meter)| {
                let rate = meter.per_second(now) / 1e6;
                (rate_tag(region, *service_tag), rate)
            })
        })
    }

    /// Sets the other VMs' rate with this short name, in seconds each second; whether
    /// there is such a rate.
    pub fn set_peer_rate(&mut self, now: Moment, tag: u32, rate: f64) -> bool {
        for (region, word) in &mut self.words {
            for service_tag in word.loads.keys() {
                if rate_tag(region, *service_tag) == tag {
                    word.told.entry(*service_tag).or_default().set(now, rate);
                    return true;
                }
            }
        }
        false
    }

    /// The best other region, if any may run the request.
    pub fn best(&self, now: Moment, search: &RemoteSearch<'_>) -> Option<RemoteOption> {
        self.options(now, search)
            .min_by_key(|option| option.predicted.first)
    }

    /// What each other region that may run the request offers.
    fn options<'a>(
        &'a self,
        now: Moment,
        search: &'a RemoteSearch<'_>,
    ) -> impl Iterator<Item = RemoteOption> + 'a {
        self.words
            .iter()
            .filter(move |(region, word)| {
                *region != search.own_region
                    && search.needs.allows_region(region)
                    && now - word.said < WORD_LIFE
                    && !search.excluded.contains(region)
            })
            .filter_map(move |(region, word)| self.option(now, region, word, search))
    }

    fn option(
        &self,
        now: Moment,
        region: &RegionName,
        word: &RegionWord,
        search: &RemoteSearch<'_>,
    ) -> Option<RemoteOption> {
        let load = word.loads.get(&search.service_tag)?;
        if load.usable == 0 {
            return None;
        }
        let holds_prefix = search.prefix_home == Some(region);
        let brought = if holds_prefix {
            search.work_with_prefix
        } else {
            search.work
        };
        let sent = word.sent(now, search.service_tag) / load.usable;
        let delay = self.delay(region);
        let there = (load.wait + sent + brought).mul_f64(delay);
        let first = search.trips.to(region) + there;
        let gaps = (search.needs.events.unwrap_or(1.0) - 1.0).max(0.0);
        let whole = first + load.pace.mul_f64(gaps.min(MOST_GAPS));
        Some(RemoteOption {
            region: region.clone(),
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

    /// A region drawn by its spare capacity for a plain service, of those that answer
    /// within `limit`; none by the chance that all of them together lack for `excess`
    /// requests a second.
    pub fn draw_spare(
        &self,
        now: Moment,
        search: &RemoteSearch<'_>,
        limit: Duration,
        excess: f64,
        rng: &mut impl Rng,
    ) -> Option<RemoteOption> {
        let options: Vec<(f64, RemoteOption)> = self
            .options(now, search)
            .filter(|option| option.predicted.first <= limit)
            .map(|option| {
                let load = self.words[&option.region].loads.get(&search.service_tag);
                let spare = load.map_or(0.0, |load| f64::from(load.spare) / 1e3);
                (spare, option)
            })
            .collect();
        let total: f64 = options.iter().map(|(spare, _)| spare).sum();
        let mut point = rng.random::<f64>() * total.max(excess);
        for (spare, option) in options {
            if point < spare {
                return Some(option);
            }
            point -= spare;
        }
        None
    }

    /// A region drawn by its usable servers, `own_usable` of them here; none if this
    /// region is drawn.
    pub fn draw(
        &self,
        now: Moment,
        search: &RemoteSearch<'_>,
        own_usable: u32,
        rng: &mut impl Rng,
    ) -> Option<RemoteOption> {
        let options: Vec<RemoteOption> = self.options(now, search).collect();
        let usable = |option: &RemoteOption| {
            let load = self.words[&option.region].loads.get(&search.service_tag);
            load.map_or(0, |load| load.usable)
        };
        let total = own_usable.saturating_add(options.iter().map(usable).sum());
        let mut point = rng.random_range(0..total.max(1));
        for option in options {
            if point < usable(&option) {
                return Some(option);
            }
            point -= usable(&option);
        }
        None
    }
}

/// Whether a request is better off away than at a server of its region that
/// answers after `local`; `saved` is the time of reading that is saved if the other
/// region keeps its prefix.
///
/// ```
/// use onyxfall_fleet::goes_remote;
/// use std::time::Duration;
/// let ms = Duration::from_millis;
/// assert!(!goes_remote(ms(600), ms(200), ms(0), ms(120), false));
/// assert!(goes_remote(ms(600), ms(900), ms(0), ms(200), false));
/// assert!(goes_remote(ms(1000), ms(200), ms(45), ms(250), true));
/// ```
pub fn goes_remote(
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
