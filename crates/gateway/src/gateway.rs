//! State that the tasks of one process share.
//!
//! Each part has a cell of its own. A part is borrowed for one decision and
//! never across an await.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use onyxfall_fleet::{
    AnswerLengths, AwayTable, DecisionSwitch, FleetView, RetryShare, RoundTrips, RouteTable,
    StoreMirror,
};
use onyxfall_policy::{MemberBeat, MemberTable, MemberTiming, Moment};
use onyxfall_types::{Incarnation, RegionName, ServiceName, VmName};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::Notify;

use crate::metrics::GatewayMetrics;
use crate::pool::ConnectionPool;
use crate::settings::GatewaySettings;
use crate::share::StoreShare;
use crate::store::StoreLink;

/// Look at what has changed by time alone.
const TICK: Duration = Duration::from_millis(250);
/// Silence after which another VM is suspected: a few heartbeats.
const SUSPECT_AFTER: Duration = Duration::from_millis(1300);
const GONE_AFTER: Duration = Duration::from_secs(6);
const FORGET_AFTER: Duration = Duration::from_mins(2);

/// Age up to which a VM may not have heard of every other one. Greetings take three
/// round trips, and lists of members spread within one more.
const ALONE_FOR: Duration = Duration::from_millis(1500);

/// What a VM has said of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct VmStatus {
    /// Callers may be sent to it.
    pub(crate) is_ready: bool,
    /// It watches the store and reaches it.
    pub(crate) watches_store: bool,
}

/// Shared state of a gateway.
pub(crate) struct Gateway {
    settings: RefCell<Rc<GatewaySettings>>,
    vm: VmName,
    pub(crate) started: Instant,
    pub(crate) table: RefCell<Option<Rc<RouteTable>>>,
    pub(crate) fleet: RefCell<FleetView>,
    pub(crate) mirror: RefCell<StoreMirror>,
    pub(crate) members: RefCell<MemberTable>,
    /// What other VMs have said of themselves.
    pub(crate) heard_vms: RefCell<BTreeMap<VmName, VmStatus>>,
    /// Addresses of VMs that this VM has greeted.
    pub(crate) greeted: RefCell<BTreeSet<SocketAddr>>,
    /// VMs to which a link of this VM is up.
    pub(crate) linked: RefCell<BTreeSet<VmName>>,
    pub(crate) away: RefCell<AwayTable>,
    /// Round trips to other regions.
    pub(crate) trips: RefCell<RoundTrips>,
    /// Lengths of the answers of each route.
    pub(crate) lengths: RefCell<AnswerLengths>,
    retries: RefCell<BTreeMap<ServiceName, RetryShare>>,
    pub(crate) pool: ConnectionPool,
    pub(crate) store: RefCell<StoreLink>,
    pub(crate) share: RefCell<StoreShare>,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) stop_asked: Cell<Option<Instant>>,
    pub(crate) open_requests: Cell<usize>,
    pub(crate) open_streams: Cell<usize>,
    /// Sends a heartbeat on every link at once.
    pub(crate) beat_now: Notify,
    /// VMs whose copy of the store should be asked for.
    snapshot_wishes: RefCell<BTreeSet<VmName>>,
    pub(crate) rng: RefCell<StdRng>,
    next_attempt: Cell<u64>,
}

/// A number that is larger in a later life of a VM; should the clock have gone
/// back, peers tell of the former life and a larger one is taken.
fn first_incarnation() -> Incarnation {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation::new(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

impl Gateway {
    pub(crate) fn new(settings: GatewaySettings) -> Self {
        let place = settings.place.clone();
        let own = MemberBeat {
            name: place.vm.clone(),
            center: place.center.clone(),
            region: place.region.clone(),
            incarnation: first_incarnation(),
            leaving: false,
            address: settings.callers,
            peer_address: settings.peers,
        };
        let timing = MemberTiming {
            suspect_after: SUSPECT_AFTER,
            gone_after: GONE_AFTER,
            forget_after: FORGET_AFTER,
        };
        let mut fleet = FleetView::new(place.clone());
        fleet.set_switches(settings.switches.clone());
        Self {
            vm: place.vm,
            started: Instant::now(),
            table: RefCell::default(),
            fleet: RefCell::new(fleet),
            mirror: RefCell::default(),
            members: RefCell::new(MemberTable::new(own, timing)),
            heard_vms: RefCell::default(),
            greeted: RefCell::default(),
            linked: RefCell::default(),
            away: RefCell::default(),
            trips: RefCell::default(),
            lengths: RefCell::default(),
            retries: RefCell::default(),
            pool: ConnectionPool::default(),
            store: RefCell::default(),
            share: RefCell::default(),
            metrics: GatewayMetrics::default(),
            stop_asked: Cell::new(None),
            open_requests: Cell::new(0),
            open_streams: Cell::new(0),
            beat_now: Notify::new(),
            snapshot_wishes: RefCell::default(),
            rng: RefCell::new(StdRng::from_os_rng()),
            next_attempt: Cell::new(1),
            settings: RefCell::new(Rc::new(settings)),
        }
    }

    /// Name of this VM.
    pub(crate) fn vm(&self) -> &VmName {
        &self.vm
    }

    /// Whether a region is this VM's own.
    pub(crate) fn is_near(&self, region: &RegionName) -> bool {
        *region == self.settings.borrow().place.region
    }

    /// The settings in force.
    pub(crate) fn settings(&self) -> Rc<GatewaySettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Brings new settings into force.
    pub(crate) fn set_settings(&self, settings: GatewaySettings) {
        let switches = settings.switches.clone();
        self.fleet.borrow_mut().set_switches(switches);
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Whether a mechanism of the decisions is on.
    pub(crate) fn is_on(&self, switch: DecisionSwitch) -> bool {
        self.settings.borrow().switches.is_on(switch)
    }

    /// Time since the start.
    pub(crate) fn now(&self) -> Moment {
        Moment::from_duration(self.started.elapsed())
    }

    /// The configuration in force.
    pub(crate) fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Whether a planned stop has begun.
    pub(crate) fn is_leaving(&self) -> bool {
        self.stop_asked.get().is_some()
    }

    /// Whether callers may be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        self.table.borrow().is_some() && !self.is_leaving()
    }

    /// Streams under way.
    pub(crate) fn open_streams(&self) -> usize {
        self.open_streams.get()
    }

    /// Notes whether a VM's copy of the store should be asked for.
    pub(crate) fn note_snapshot_wish(&self, vm: &VmName, wants: bool) {
        let mut wishes = self.snapshot_wishes.borrow_mut();
        if wants {
            wishes.insert(vm.clone());
        } else {
            wishes.remove(vm);
        }
    }

    /// Whether a VM's copy of the store should be asked for.
    pub(crate) fn wants_snapshot_of(&self, vm: &VmName) -> bool {
        self.snapshot_wishes.borrow().contains(vm)
    }

    /// A number for a new attempt.
    pub(crate) fn next_attempt(&self) -> u64 {
        let id = self.next_attempt.get();
        self.next_attempt.set(id + 1);
        id
    }

    /// Notes that a request for a service came from a caller.
    pub(crate) fn note_first(&self, service: &ServiceName) {
        let now = self.now();
        let mut retries = self.retries.borrow_mut();
        retries.entry(service.clone()).or_default().note_first(now);
    }

    /// Number of VMs, those lost lately included; none while this VM is too young to
    /// have heard of all.
    fn known_vms(&self) -> Option<usize> {
        let others = self.members.borrow().others().count();
        (self.started.elapsed() >= ALONE_FOR).then_some(others + 1)
    }

    /// Takes one retry from the budget of a service.
    pub(crate) fn take_retry(&self, service: &ServiceName) -> bool {
        let now = self.now();
        let vms = self.known_vms();
        let limits = self.settings().retries;
        let mut retries = self.retries.borrow_mut();
        let share = retries.entry(service.clone()).or_default();
        share.try_repeat(now, &limits, vms)
    }

    /// Lets time count: silent members, missing items, idle connections.
    fn tick(&self) {
        let now = self.now();
        let changed = self.members.borrow_mut().tick(now);
        for vm in changed {
            self.tell_change(&vm);
            self.away.borrow_mut().forget(&vm);
            self.forget_work(&vm);
        }
        let expired = self.mirror.borrow_mut().expire(now);
        if self.store.borrow().is_watched() {
            let revision = self.mirror.borrow().revision();
            self.pass_on(revision, &expired);
        }
        self.apply_changes(expired);
        self.pool.sweep();
        let members = self.members.borrow();
        let vms = members
            .others()
            .filter(|member| self.is_near(&member.beat.region))
            .map(|member| member.beat.name.clone())
            .collect();
        self.fleet.borrow_mut().set_region_vms(vms);
    }

    /// Logs a member's new state. VMs that do not tell this one fall silent by
    /// plan after their greeting.
    fn tell_change(&self, vm: &VmName) {
        let members = self.members.borrow();
        let Some(member) = members.get(vm) else {
            return;
        };
        let is_expected =
            !self.is_near(&member.beat.region) && !self.heard_vms.borrow().contains_key(vm);
        let level = if is_expected {
            log::Level::Debug
        } else {
            log::Level::Info
        };
        log::log!(level, member = vm.as_str(), state:? = member.state; "member changed");
    }

    /// Forgets the work of a VM that is gone.
    fn forget_work(&self, vm: &VmName) {
        let now = self.now();
        let mut fleet = self.fleet.borrow_mut();
        let ids: Vec<_> = fleet.live().map(|(id, _)| id).collect();
        for id in ids {
            let none = onyxfall_fleet::WorkShare::default();
            fleet.server_mut(id).set_others(now, vm, none);
        }
    }
}

/// Starts the task that lets time count.
pub(crate) fn start_ticker(gateway: &Rc<Gateway>) {
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(TICK).await;
            gateway.tick();
        }
    });
}
