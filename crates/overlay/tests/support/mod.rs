//! Simulates a fleet of overlay nodes in virtual time.
//!
//! Frame latencies within a data centre, between data centres and between regions match
//! those of a real fleet. A frame to a VM that is dead or partitioned is lost, and closes
//! its link.
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

/// Step by which virtual time advances.
const STEP: Duration = Duration::from_millis(10);
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(1300);
const FLEET_UPDATE_LIFETIME: Duration = Duration::from_secs(4);
const EVICT_AFTER: Duration = Duration::from_mins(2);
/// Maximum number of seed VMs whose addresses each VM is configured with.
const SEEDS: usize = 3;

/// Number of regions, of data centres per region, and of VMs per data centre.
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

/// Maximum and mean over all VMs of a per-second count, such as frames sent and received.
#[derive(Clone, Copy, Debug)]
pub struct FrameCount {
    pub most: f64,
    pub mean: f64,
}

/// Traffic of the VMs per second and VM.
#[derive(Clone, Copy, Debug)]
pub struct TellCount {
    pub frames: FrameCount,
    /// VM records and per-server work entries in the sent frames.
    pub entries: FrameCount,
}

struct Frame {
    from: usize,
    to: usize,
    /// Whether the sender is the VM that dialled the link.
    is_forward: bool,
    /// Generation of the link on which the frame was sent.
    generation: u64,
    update: OverlayUpdate,
}

#[derive(Default)]
struct Link {
    /// Distinguishes this link from earlier links between the same VMs, so that frames of
    /// closed links are dropped.
    generation: u64,
    /// When the VM that dialled last sent an update.
    last_sent: Option<Moment>,
    /// When the aggregator last sent its digest, if this link carries a member's reports.
    last_digest_sent: Option<Moment>,
    /// Relation of the last update from the VM that dialled.
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
    /// Ordered pairs of regions that cannot reach each other.
    partitions: BTreeSet<(usize, usize)>,
    shape: FleetShape,
    links: BTreeMap<(usize, usize), Link>,
    frames: BTreeMap<u64, Frame>,
    queue: BinaryHeap<Reverse<(Moment, u64)>>,
    next_frame: u64,
    next_generation: u64,
    counts: Vec<u64>,
    /// Number of VM records and work entries that each VM has sent.
    entries: Vec<u64>,
}

fn record(shape: FleetShape, index: usize, incarnation: u64) -> VmRecord {
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
            incarnation: Incarnation::new(incarnation),
            change: 0,
        },
        status: VmStatus {
            is_ready: true,
            ..VmStatus::default()
        },
    }
}

impl Fleet {
    /// Starts all VMs at the same moment, each with the addresses of [`SEEDS`] seed VMs.
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
            partitions: BTreeSet::new(),
            shape,
            links: BTreeMap::new(),
            frames: BTreeMap::new(),
            queue: BinaryHeap::new(),
            next_frame: 0,
            next_generation: 0,
            counts: vec![0; count],
            entries: vec![0; count],
        };
        fleet.nodes = (0..count).map(|index| fleet.new_node(index)).collect();
        fleet
    }

    fn new_node(&self, index: usize) -> OverlayNode {
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

    /// Restarts a dead VM with a new incarnation and no state but its settings.
    pub fn restart(&mut self, index: usize) {
        let incarnation = self.records[index].version.incarnation.get() + 1;
        self.records[index] = record(self.shape, index, incarnation);
        self.dead.remove(&index);
        self.nodes[index] = self.new_node(index);
    }

    pub fn partition_regions(&mut self, first: usize, second: usize) {
        self.partitions.insert((first, second));
        self.partitions.insert((second, first));
    }

    pub fn heal_partitions(&mut self) {
        self.partitions.clear();
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

    /// Runs the fleet for `time` and counts the frames that each VM sends and receives.
    pub fn count_frames(&mut self, time: Duration) -> FrameCount {
        self.count(time, |_| {}).frames
    }

    /// Runs the fleet for `time` and counts the frames of each VM and the entries that it
    /// sends. `change` is called every 100 ms.
    pub fn count(&mut self, time: Duration, mut change: impl FnMut(&mut Self)) -> TellCount {
        self.counts.fill(0);
        self.entries.fill(0);
        let end = self.now + time;
        while self.now < end {
            change(self);
            self.run(Duration::from_millis(100));
        }
        TellCount {
            frames: rates_per_second(&self.counts, time),
            entries: rates_per_second(&self.entries, time),
        }
    }

    /// Whether the roster of every living VM lists exactly the living VMs that it can reach as
    /// alive.
    pub fn knows_all(&self) -> bool {
        self.gaps().is_empty()
    }

    /// Describes up to five wrong roster entries of living VMs, for assertion messages.
    pub fn gaps(&self) -> String {
        let living = self.living();
        let mut gaps = Vec::new();
        for viewer in &living {
            for seen in 0..self.nodes.len() {
                if seen == *viewer {
                    continue;
                }
                let known_vm = self.nodes[*viewer].roster().get(self.name(seen));
                let is_alive = known_vm.is_some_and(onyxfall_overlay::KnownVm::is_alive);
                let is_partitioned = self.is_partitioned(*viewer, seen);
                if is_alive != (living.contains(&seen) && !is_partitioned) {
                    gaps.push(format!("vm-{viewer} has vm-{seen} as alive: {is_alive}"));
                }
            }
        }
        gaps.truncate(5);
        gaps.join(", ")
    }

    /// Sets the work of a VM to `requests` requests at each of the first `servers` servers.
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

    /// Sets the work of a VM to `requests` requests at one server.
    pub fn work_at(&mut self, index: usize, server: u32, requests: u32) {
        let share = WorkShare {
            requests,
            ..WorkShare::default()
        };
        let server = ServerTag(server);
        let entry = WorkEntry { server, share };
        self.nodes[index].totals_mut().set_own([entry]);
    }

    /// Sets the work of a VM from pairs of a server and its number of requests.
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

    /// Number of requests of other VMs at a server, in the totals of VM `index`.
    pub fn known_work(&self, index: usize, server: u32) -> u32 {
        self.nodes[index]
            .totals()
            .others(ServerTag(server))
            .requests
    }

    /// Aggregators of a VM's region according to its own roster.
    pub fn aggregators(&self, index: usize) -> Vec<usize> {
        let roster = self.nodes[index].roster();
        let levels = roster.levels();
        let names = levels.region(&roster.own().region);
        names.iter().map(|vm| self.index_of(&vm.name)).collect()
    }

    fn is_partitioned(&self, first: usize, second: usize) -> bool {
        let regions = (self.region_of(first), self.region_of(second));
        self.partitions.contains(&regions)
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

    /// Sends all digests that are due from aggregators to their members.
    fn send_digests(&mut self) {
        let reports = self.links.iter();
        let reports = reports.filter(|(_, link)| link.relation == Some(LinkRelation::Report));
        let reports: Vec<(usize, usize)> = reports.map(|(pair, _)| *pair).collect();
        for (member, aggregator) in reports {
            let link = &self.links[&(member, aggregator)];
            let Some(last_sent) = link.last_digest_sent else {
                continue;
            };
            let node = &mut self.nodes[aggregator];
            let has_changes = node.has_changes(LinkRelation::Digest, &link.backward);
            let interval = node
                .plan(self.now)
                .interval(LinkRelation::Digest, has_changes);
            if self.now >= last_sent + interval {
                self.send_digest(member, aggregator);
            }
        }
    }

    /// Exchanges a report and a digest between a member and its aggregator, without latency.
    /// Does nothing if the member has no aggregator that has already sent it a digest.
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
        if link.last_digest_sent.is_none() || self.dead.contains(&aggregator) {
            return;
        }
        link.last_sent = Some(now);
        link.last_digest_sent = Some(now);
        let [member_name, aggregator_name] = &names;
        let forward = &mut link.forward;
        let report = self.nodes[member].next_update(
            now,
            LinkRelation::Report,
            Some(aggregator_name),
            forward,
        );
        self.nodes[aggregator].apply(now, member_name, &report);
        let backward = &mut link.backward;
        let digest = self.nodes[aggregator].next_update(
            now,
            LinkRelation::Digest,
            Some(member_name),
            backward,
        );
        self.nodes[member].apply(now, aggregator_name, &digest);
        for (index, update) in [(member, &report), (aggregator, &digest)] {
            self.counts[index] += 2;
            self.entries[index] += entries_of(update);
        }
    }

    fn send_digest(&mut self, member: usize, aggregator: usize) {
        if let Some(link) = self.links.get_mut(&(member, aggregator)) {
            link.last_digest_sent = Some(self.now);
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
        let unplanned: Vec<(usize, usize)> = self
            .links
            .range((index, 0)..=(index, usize::MAX))
            .map(|(pair, _)| *pair)
            .filter(|(_, to)| !targets.contains(to))
            .collect();
        for pair in unplanned {
            self.end_link(pair);
        }
        for planned in &plan.links {
            let Some(to) = self.by_address.get(&planned.address).copied() else {
                continue;
            };
            let next_generation = &mut self.next_generation;
            let link = self.links.entry((index, to)).or_insert_with(|| {
                *next_generation += 1;
                Link {
                    generation: *next_generation,
                    ..Link::default()
                }
            });
            let has_changes = self.nodes[index].has_changes(planned.relation, &link.forward);
            let interval = plan.interval(planned.relation, has_changes);
            if link
                .last_sent
                .is_some_and(|last_sent| now < last_sent + interval)
            {
                continue;
            }
            let is_first = link.last_sent.is_none();
            if link.relation != Some(planned.relation) {
                link.last_digest_sent = None;
            }
            link.relation = Some(planned.relation);
            link.last_sent = Some(now);
            self.send(index, to, planned.relation, true, is_first);
        }
    }

    /// Closes a link that its VM no longer plans, and notifies the other end immediately if it
    /// is reachable.
    fn end_link(&mut self, pair: (usize, usize)) {
        let Some(relation) = self.links.remove(&pair).and_then(|link| link.relation) else {
            return;
        };
        let (from, to) = pair;
        if !self.dead.contains(&to) && !self.is_partitioned(from, to) {
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
        let generation = link.generation;
        self.counts[from] += 1;
        self.entries[from] += entries_of(&update);
        if self.dead.contains(&to) || self.is_partitioned(from, to) {
            self.links.remove(&pair);
            return;
        }
        let trip_count = if is_first { 3 } else { 1 };
        self.next_frame += 1;
        let frame = Frame {
            from,
            to,
            is_forward: fwd,
            generation,
            update,
        };
        self.frames.insert(self.next_frame, frame);
        let arrival = self.now + latency * trip_count;
        self.queue.push(Reverse((arrival, self.next_frame)));
    }

    fn deliver(&mut self) {
        while let Some(Reverse((arrival, id))) = self.queue.peek().copied() {
            if arrival > self.now {
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
            let is_open = self
                .links
                .get(&pair)
                .is_some_and(|link| link.generation == frame.generation);
            if !is_open || self.dead.contains(&frame.to) {
                continue;
            }
            self.counts[frame.to] += 1;
            let from = self.records[frame.from].name.clone();
            let received = self.nodes[frame.to].apply(arrival, &from, &frame.update);
            if received.is_cut {
                self.links.remove(&pair);
                continue;
            }
            let response_relation = self.nodes[frame.to].answer(&from, frame.update.relation);
            match response_relation {
                Some(LinkRelation::Digest) => {
                    let link = &self.links[&pair];
                    if link.last_digest_sent.is_none() {
                        self.send_digest(frame.from, frame.to);
                    }
                }
                Some(relation) => self.send(frame.to, frame.from, relation, false, false),
                None => {}
            }
        }
    }
}

fn rates_per_second(counts: &[u64], time: Duration) -> FrameCount {
    let per_second = |count: u64| count as f64 / time.as_secs_f64();
    FrameCount {
        most: per_second(counts.iter().copied().max().unwrap_or(0)),
        mean: per_second(counts.iter().sum()) / counts.len() as f64,
    }
}

/// Number of VM records, including removed VMs, and work entries in a message.
fn entries_of(update: &OverlayUpdate) -> u64 {
    let roster_update = update.word.as_ref();
    let records = roster_update.map_or(0, |roster| roster.records.len() + roster.gone.len());
    let work_entries = update.work.as_ref().map_or(0, |work| work.entries.len());
    (records + work_entries) as u64
}
