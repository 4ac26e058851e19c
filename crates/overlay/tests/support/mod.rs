//! A fleet of nodes in virtual time. Frames take as long as between data centres and
//! regions of a real fleet; a frame to a VM that is dead or cut off is lost with its
//! link.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use onyxfall_fleet::WorkShare;
use onyxfall_overlay::{
    LinkRelation, LinkState, OverlayNode, OverlayUpdate, RecordVersion, RosterTiming, ServerTag,
    VmCapacity, VmRecord, VmStatus, WorkEntry,
};
use onyxfall_policy::Moment;
use onyxfall_types::{Incarnation, VmName};

/// Step of virtual time.
const STEP: Duration = Duration::from_millis(10);
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(1300);
const FLEET_UPDATE_LIFETIME: Duration = Duration::from_secs(4);
const EVICT_AFTER: Duration = Duration::from_mins(2);
const SEEDS: usize = 3;

/// Regions, data centres of each, and VMs of each data centre.
#[derive(Clone, Copy, Debug)]
pub struct FleetShape {
    regions: usize,
    centers: usize,
    vms: usize,
}

impl FleetShape {
    pub const fn new(regions: usize, centers: usize, vms: usize) -> Self {
        Self {
            regions,
            centers,
            vms,
        }
    }
}

/// Frames sent and taken, a second and VM.
#[derive(Clone, Copy, Debug)]
pub struct FrameCount {
    pub most: f64,
    pub mean: f64,
}

/// What VMs tell, a second and VM.
#[derive(Clone, Copy, Debug)]
pub struct TellCount {
    pub frames: FrameCount,
    /// Records of VMs and figures of servers in the frames.
    pub entries: FrameCount,
}

struct Frame {
    from: usize,
    to: usize,
    /// Whether it goes from the VM that dialled the link.
    is_forward: bool,
    life: u64,
    update: OverlayUpdate,
}

#[derive(Default)]
struct Link {
    life: u64,
    /// When the VM that dialled last told.
    told: Option<Moment>,
    /// When the other end last told its sum, if this is a member's report.
    digest_told: Option<Moment>,
    /// What the VM that dialled last told.
    relation: Option<LinkRelation>,
    forward: LinkState,
    backward: LinkState,
}

pub struct Fleet {
    pub now: Moment,
    pub nodes: Vec<OverlayNode>,
    records: Vec<VmRecord>,
    by_address: BTreeMap<SocketAddr, usize>,
    dead: BTreeSet<usize>,
    /// Pairs of regions that cannot reach each other.
    cuts: BTreeSet<(usize, usize)>,
    shape: FleetShape,
    links: BTreeMap<(usize, usize), Link>,
    frames: BTreeMap<u64, Frame>,
    queue: BinaryHeap<Reverse<(Moment, u64)>>,
    next_frame: u64,
    next_life: u64,
    counts: Vec<u64>,
    /// Records and figures that each VM has sent.
    entries: Vec<u64>,
}

fn record(shape: FleetShape, index: usize, life: u64) -> VmRecord {
    let center = index / shape.vms;
    let region = center / shape.centers;
    let host = u32::try_from(index + 256).unwrap();
    let ip = IpAddr::V4(Ipv4Addr::from_bits(0x0a00_0000 + host));
    // Three VMs of a data centre are larger than the rest.
    let is_large = index % shape.vms < 3;
    VmRecord {
        name: format!("vm-{index}").parse().unwrap(),
        center: format!("c{center}").parse().unwrap(),
        region: format!("r{region}").parse().unwrap(),
        address: SocketAddr::new(ip, 1),
        peer_address: SocketAddr::new(ip, 2),
        capacity: VmCapacity::from_millicores(if is_large { 500 } else { 120 }),
        version: RecordVersion {
            incarnation: Incarnation::new(life),
            change: 0,
        },
        status: VmStatus {
            is_ready: true,
            ..VmStatus::default()
        },
    }
}

impl Fleet {
    /// Every VM starts at the same moment and knows the addresses of three.
    pub fn start(shape: FleetShape) -> Self {
        let count = shape.regions * shape.centers * shape.vms;
        let records: Vec<VmRecord> = (0..count).map(|index| record(shape, index, 1)).collect();
        let by_address = records
            .iter()
            .enumerate()
            .map(|(index, record)| (record.peer_address, index))
            .collect();
        let mut fleet = Self {
            now: Moment::ZERO,
            nodes: Vec::new(),
            records,
            by_address,
            dead: BTreeSet::new(),
            cuts: BTreeSet::new(),
            shape,
            links: BTreeMap::new(),
            frames: BTreeMap::new(),
            queue: BinaryHeap::new(),
            next_frame: 0,
            next_life: 0,
            counts: vec![0; count],
            entries: vec![0; count],
        };
        fleet.nodes = (0..count).map(|index| fleet.fresh(index)).collect();
        fleet
    }

    fn fresh(&self, index: usize) -> OverlayNode {
        let timing = RosterTiming {
            unresponsive_after: UNRESPONSIVE_AFTER,
            fleet_update_lifetime: FLEET_UPDATE_LIFETIME,
            forget_after: EVICT_AFTER,
        };
        let stride = self.records.len() / SEEDS.min(self.records.len());
        let seeds = (0..SEEDS.min(self.records.len()))
            .map(|seed| self.records[seed * stride].peer_address)
            .collect();
        OverlayNode::new(self.records[index].clone(), timing, seeds)
    }

    pub fn name(&self, index: usize) -> &VmName {
        &self.records[index].name
    }

    pub fn index_of(&self, name: &VmName) -> usize {
        self.records.iter().position(|r| r.name == *name).unwrap()
    }

    pub fn living(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|index| !self.dead.contains(index))
            .collect()
    }

    pub fn region_of(&self, index: usize) -> usize {
        index / self.shape.vms / self.shape.centers
    }

    pub fn center_of(&self, index: usize) -> usize {
        index / self.shape.vms
    }

    pub fn kill(&mut self, index: usize) {
        self.dead.insert(index);
        self.links
            .retain(|(from, to), _| *from != index && *to != index);
    }

    /// A VM that was dead starts with nothing but its settings.
    pub fn restart(&mut self, index: usize) {
        let life = self.records[index].version.incarnation.get() + 1;
        self.records[index] = record(self.shape, index, life);
        self.dead.remove(&index);
        self.nodes[index] = self.fresh(index);
    }

    pub fn cut_regions(&mut self, one: usize, other: usize) {
        self.cuts.insert((one, other));
        self.cuts.insert((other, one));
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            self.deliver();
            for index in self.living() {
                self.step(index);
            }
            self.send_digests();
        }
    }

    /// Frames of each VM over the next `time`.
    pub fn count_frames(&mut self, time: Duration) -> FrameCount {
        self.count(time, |_| {}).frames
    }

    /// Frames of each VM, and what is in them, over the next `time`; `change` is called
    /// each tenth of a second.
    pub fn count(&mut self, time: Duration, mut change: impl FnMut(&mut Self)) -> TellCount {
        self.counts.fill(0);
        self.entries.fill(0);
        let end = self.now + time;
        while self.now < end {
            change(self);
            self.run(Duration::from_millis(100));
        }
        TellCount {
            frames: a_second(&self.counts, time),
            entries: a_second(&self.entries, time),
        }
    }

    /// Whether every living VM sees every living one as alive, and no dead one.
    pub fn knows_all(&self) -> bool {
        self.gaps().is_empty()
    }

    /// What living VMs see wrongly, for messages of tests.
    pub fn gaps(&self) -> String {
        let living = self.living();
        let mut gaps = Vec::new();
        for viewer in &living {
            for seen in 0..self.nodes.len() {
                if seen == *viewer {
                    continue;
                }
                let known = self.nodes[*viewer].roster().get(self.name(seen));
                let is_alive = known.is_some_and(onyxfall_overlay::KnownVm::is_alive);
                let is_cut = self.is_cut(*viewer, seen);
                if is_alive != (living.contains(&seen) && !is_cut) {
                    gaps.push(format!("vm-{viewer} sees vm-{seen}: {is_alive}"));
                }
            }
        }
        gaps.truncate(5);
        gaps.join(", ")
    }

    /// Sets the work of a VM at each of `servers`: its own number of requests.
    pub fn work(&mut self, index: usize, servers: u32, requests: u32) {
        let share = WorkShare {
            requests,
            ..WorkShare::default()
        };
        let entries = (0..servers).map(|server| WorkEntry {
            server: ServerTag(server),
            share,
        });
        self.nodes[index].totals_mut().set_own(entries);
    }

    /// Sets the work of a VM: so many requests at one server.
    pub fn work_at(&mut self, index: usize, server: u32, requests: u32) {
        let share = WorkShare {
            requests,
            ..WorkShare::default()
        };
        let server = ServerTag(server);
        let entry = WorkEntry { server, share };
        self.nodes[index].totals_mut().set_own([entry]);
    }

    /// Sets the work of a VM: so many requests at each of some servers.
    pub fn work_on(&mut self, index: usize, work: impl Iterator<Item = (u32, u32)>) {
        let entries = work.map(|(server, requests)| WorkEntry {
            server: ServerTag(server),
            share: WorkShare {
                requests,
                ..WorkShare::default()
            },
        });
        self.nodes[index].totals_mut().set_own(entries);
    }

    /// Requests of other VMs that a VM knows of at a server.
    pub fn known_work(&self, index: usize, server: u32) -> u32 {
        self.nodes[index]
            .totals()
            .others(ServerTag(server))
            .requests
    }

    /// The aggregators of a VM's region, as it sees them.
    pub fn aggregators(&self, index: usize) -> Vec<usize> {
        let roster = self.nodes[index].roster();
        let levels = roster.levels();
        let names = levels.region(&roster.own().region);
        names.iter().map(|vm| self.index_of(&vm.name)).collect()
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        let regions = (self.region_of(one), self.region_of(other));
        self.cuts.contains(&regions)
    }

    fn latency(&self, from: usize, to: usize) -> Duration {
        if self.region_of(from) != self.region_of(to) {
            Duration::from_millis(55)
        } else if self.center_of(from) != self.center_of(to) {
            Duration::from_micros(1400)
        } else {
            Duration::from_micros(100)
        }
    }

    /// Aggregators tell their members the sums that are due.
    fn send_digests(&mut self) {
        let reports = self.links.iter();
        let reports = reports.filter(|(_, link)| link.relation == Some(LinkRelation::Report));
        let reports: Vec<(usize, usize)> = reports.map(|(pair, _)| *pair).collect();
        for (member, aggregator) in reports {
            let link = &self.links[&(member, aggregator)];
            let Some(told) = link.digest_told else {
                continue;
            };
            let node = &mut self.nodes[aggregator];
            let has_changes = node.has_changes(LinkRelation::Digest, &link.backward);
            let interval = node
                .plan(self.now)
                .interval(LinkRelation::Digest, has_changes);
            if self.now >= told + interval {
                self.send_digest(member, aggregator);
            }
        }
    }

    /// A member asks its aggregator for what it knows, and waits for the answer.
    pub fn ask(&mut self, member: usize) {
        let reports = self.links.range((member, 0)..=(member, usize::MAX));
        let mut reports = reports.filter(|(_, link)| link.relation == Some(LinkRelation::Report));
        let Some(pair) = reports.next().map(|(pair, _)| *pair) else {
            return;
        };
        let (now, aggregator) = (self.now, pair.1);
        let names = [member, aggregator].map(|index| self.records[index].name.clone());
        let Some(link) = self.links.get_mut(&pair) else {
            return;
        };
        if link.digest_told.is_none() || self.dead.contains(&aggregator) {
            return;
        }
        link.told = Some(now);
        link.digest_told = Some(now);
        let [own, other] = &names;
        let forward = &mut link.forward;
        let report =
            self.nodes[member].next_update(now, LinkRelation::Report, Some(other), forward);
        self.nodes[aggregator].apply(now, own, &report);
        let backward = &mut link.backward;
        let digest =
            self.nodes[aggregator].next_update(now, LinkRelation::Digest, Some(own), backward);
        self.nodes[member].apply(now, other, &digest);
        for (index, update) in [(member, &report), (aggregator, &digest)] {
            self.counts[index] += 2;
            self.entries[index] += entries_of(update);
        }
    }

    fn send_digest(&mut self, member: usize, aggregator: usize) {
        if let Some(link) = self.links.get_mut(&(member, aggregator)) {
            link.digest_told = Some(self.now);
        }
        self.send(aggregator, member, LinkRelation::Digest, false, false);
    }

    fn step(&mut self, index: usize) {
        let now = self.now;
        if now.as_micros().is_multiple_of(100_000) {
            self.nodes[index].tick(now);
        }
        let plan = self.nodes[index].plan(now).clone();
        let targets: BTreeSet<usize> = plan
            .links
            .iter()
            .filter_map(|link| self.by_address.get(&link.address).copied())
            .collect();
        let dropped: Vec<(usize, usize)> = self
            .links
            .range((index, 0)..=(index, usize::MAX))
            .map(|(pair, _)| *pair)
            .filter(|(_, to)| !targets.contains(to))
            .collect();
        for pair in dropped {
            self.end_link(pair);
        }
        for planned in &plan.links {
            let Some(to) = self.by_address.get(&planned.address).copied() else {
                continue;
            };
            let next_life = &mut self.next_life;
            let link = self.links.entry((index, to)).or_insert_with(|| {
                *next_life += 1;
                Link {
                    life: *next_life,
                    ..Link::default()
                }
            });
            let has_changes = self.nodes[index].has_changes(planned.relation, &link.forward);
            let interval = plan.interval(planned.relation, has_changes);
            if link.told.is_some_and(|told| now < told + interval) {
                continue;
            }
            let is_first = link.told.is_none();
            if link.relation != Some(planned.relation) {
                link.digest_told = None;
            }
            link.relation = Some(planned.relation);
            link.told = Some(now);
            self.send(index, to, planned.relation, true, is_first);
        }
    }

    /// A VM closes a link that it no longer plans; the other end sees it at once.
    fn end_link(&mut self, pair: (usize, usize)) {
        let Some(relation) = self.links.remove(&pair).and_then(|link| link.relation) else {
            return;
        };
        let (from, to) = pair;
        if !self.dead.contains(&to) && !self.is_cut(from, to) {
            let name = self.records[from].name.clone();
            self.nodes[to].end_link(self.now, &name, relation);
        }
    }

    fn send(&mut self, from: usize, to: usize, relation: LinkRelation, fwd: bool, is_first: bool) {
        let pair = if fwd { (from, to) } else { (to, from) };
        let latency = self.latency(from, to);
        let peer = self.records[to].name.clone();
        let Some(link) = self.links.get_mut(&pair) else {
            return;
        };
        let state = if fwd {
            &mut link.forward
        } else {
            &mut link.backward
        };
        let update = self.nodes[from].next_update(self.now, relation, Some(&peer), state);
        let life = link.life;
        self.counts[from] += 1;
        self.entries[from] += entries_of(&update);
        if self.dead.contains(&to) || self.is_cut(from, to) {
            self.links.remove(&pair);
            return;
        }
        let trips = if is_first { 3 } else { 1 };
        self.next_frame += 1;
        let frame = Frame {
            from,
            to,
            is_forward: fwd,
            life,
            update,
        };
        self.frames.insert(self.next_frame, frame);
        let at = self.now + latency * trips;
        self.queue.push(Reverse((at, self.next_frame)));
    }

    fn deliver(&mut self) {
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > self.now {
                return;
            }
            self.queue.pop();
            let Some(frame) = self.frames.remove(&id) else {
                continue;
            };
            let pair = if frame.is_forward {
                (frame.from, frame.to)
            } else {
                (frame.to, frame.from)
            };
            let is_up = self
                .links
                .get(&pair)
                .is_some_and(|link| link.life == frame.life);
            if !is_up || self.dead.contains(&frame.to) {
                continue;
            }
            self.counts[frame.to] += 1;
            let from = self.records[frame.from].name.clone();
            let taken = self.nodes[frame.to].apply(at, &from, &frame.update);
            if taken.is_cut {
                self.links.remove(&pair);
                continue;
            }
            let answer = self.nodes[frame.to].answer(&from, frame.update.relation);
            match answer {
                Some(LinkRelation::Digest) => {
                    let link = &self.links[&pair];
                    if link.digest_told.is_none() {
                        self.send_digest(frame.from, frame.to);
                    }
                }
                Some(answer) => self.send(frame.to, frame.from, answer, false, false),
                None => {}
            }
        }
    }
}

fn a_second(counts: &[u64], time: Duration) -> FrameCount {
    let per_second = |count: u64| count as f64 / time.as_secs_f64();
    FrameCount {
        most: per_second(counts.iter().copied().max().unwrap_or(0)),
        mean: per_second(counts.iter().sum()) / counts.len() as f64,
    }
}

/// Records and figures in a message.
fn entries_of(update: &OverlayUpdate) -> u64 {
    let roster = update.word.as_ref();
    let records = roster.map_or(0, |word| word.records.len() + word.gone.len());
    let figures = update.work.as_ref().map_or(0, |work| work.entries.len());
    (records + figures) as u64
}
