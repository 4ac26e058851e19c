//! Several VMs receive entries of servers that restart under the same name: from the
//! store, from each other and from resumed watches, late, duplicated, out of order or
//! not at all. No VM ever uses a former instance, and all converge to the current
//! servers.

mod support;

use std::collections::BTreeMap;

use onyxfall_fleet::{
    FleetView, MirrorChange, ServerRecord, StartTime, StoreEvent, StoreHealth, StoreItem,
    StoreMirror,
};
use onyxfall_policy::Moment;
use proptest::prelude::*;
use support::{place, ready_server};

const VMS: usize = 3;
const NAMES: [&str; 3] = ["s1", "s2", "s3"];
const NOW: Moment = Moment::ZERO;

/// One VM: its mirror of the store, and its view of the servers.
struct TestVm {
    mirror: StoreMirror,
    fleet: FleetView,
    /// Latest start time that the VM has seen under each name.
    seen: BTreeMap<String, u64>,
}

impl TestVm {
    fn new() -> Self {
        let fleet = FleetView::new(place("vm1", &[("c0", "r0")]));
        Self {
            mirror: StoreMirror::default(),
            fleet,
            seen: BTreeMap::new(),
        }
    }

    fn apply(&mut self, changes: Vec<MirrorChange>) {
        for change in changes {
            match change {
                MirrorChange::Set(name, value) => {
                    let started_at: u64 = std::str::from_utf8(&value).unwrap().parse().unwrap();
                    let seen = self.seen.entry(name.clone()).or_default();
                    *seen = started_at.max(*seen);
                    self.fleet.put_server(NOW, record(&name, started_at), None);
                }
                MirrorChange::Removed(name) => self.fleet.remove_server(NOW, &name),
            }
        }
    }

    fn receive(&mut self, events: Vec<StoreEvent>) {
        let changes = self.mirror.apply(NOW, events, StoreHealth::Steady);
        self.apply(changes);
    }

    fn read_all(&mut self, items: Vec<StoreItem>, revision: u64) {
        let health = StoreHealth::Steady;
        let changes = self.mirror.replace(NOW, "", items, revision, health);
        self.apply(changes);
    }

    /// Start times of the servers that the VM would use.
    fn usable(&self) -> BTreeMap<String, u64> {
        let usable = self.fleet.live().filter(|(_, server)| server.takes_work());
        usable
            .map(|(_, server)| {
                let record = &server.record;
                (record.name.to_string(), record.started_at.millis())
            })
            .collect()
    }
}

fn record(name: &str, started_at: u64) -> ServerRecord {
    ServerRecord {
        started_at: StartTime::from_millis(started_at),
        ..ready_server(name)
    }
}

/// The store with its full history.
#[derive(Default)]
struct TestStore {
    items: BTreeMap<String, StoreItem>,
    history: Vec<StoreEvent>,
}

impl TestStore {
    fn revision(&self) -> u64 {
        self.history.len() as u64
    }

    fn write(&mut self, name: &str, started_at: u64) {
        let item = StoreItem {
            key: name.to_owned(),
            value: started_at.to_string().into_bytes().into(),
            revision: self.revision() + 1,
        };
        self.items.insert(name.to_owned(), item.clone());
        self.history.push(StoreEvent::Put(item));
    }

    fn delete(&mut self, name: &str) {
        let revision = self.revision() + 1;
        if self.items.remove(name).is_some() {
            let key = name.to_owned();
            self.history.push(StoreEvent::Delete { key, revision });
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// A server starts or restarts.
    Start(usize),
    /// A server renews its entry.
    Renew(usize),
    /// An entry expires.
    Expire(usize),
    /// A watch delivers a part of the history, which may be known already.
    Watch(usize, prop::sample::Index, prop::sample::Index),
    /// A VM applies another VM's mirror.
    Copy(usize, usize),
    /// A VM reads the whole store.
    Read(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let name = 0..NAMES.len();
    prop_oneof![
        name.clone().prop_map(Step::Start),
        name.clone().prop_map(Step::Renew),
        name.prop_map(Step::Expire),
        (
            0..VMS,
            any::<prop::sample::Index>(),
            any::<prop::sample::Index>()
        )
            .prop_map(|(vm, from, to)| Step::Watch(vm, from, to)),
        (0..VMS, 0..VMS).prop_map(|(from, to)| Step::Copy(from, to)),
        (0..VMS).prop_map(Step::Read),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn no_vm_uses_a_former_instance_and_all_converge(
        steps in proptest::collection::vec(step(), 1..60),
    ) {
        let mut store = TestStore::default();
        let mut started = [0_u64; NAMES.len()];
        let mut vms: Vec<TestVm> = (0..VMS).map(|_| TestVm::new()).collect();
        for step in steps {
            match step {
                Step::Start(name) => {
                    started[name] += 1;
                    store.write(NAMES[name], started[name]);
                }
                Step::Renew(name) if started[name] > 0 => store.write(NAMES[name], started[name]),
                Step::Expire(name) => store.delete(NAMES[name]),
                Step::Watch(vm, from, to) if !store.history.is_empty() => {
                    let (from, to) = (from.index(store.history.len()), to.index(store.history.len()));
                    let part = &store.history[from.min(to)..=from.max(to)];
                    vms[vm].receive(part.to_vec());
                }
                Step::Renew(_) | Step::Watch(..) => {}
                Step::Copy(from, to) => {
                    let (items, revision) = (vms[from].mirror.snapshot(), vms[from].mirror.revision());
                    vms[to].read_all(items, revision);
                }
                Step::Read(vm) => {
                    let items = store.items.values().cloned().collect();
                    vms[vm].read_all(items, store.revision());
                }
            }
            for vm in &vms {
                for (name, started_at) in vm.usable() {
                    prop_assert!(started_at >= vm.seen[&name], "{name} has restarted since");
                }
            }
        }
        let expected: BTreeMap<String, u64> = store.items.iter().map(|(name, item)| {
            let started_at = std::str::from_utf8(&item.value).unwrap().parse().unwrap();
            (name.clone(), started_at)
        }).collect();
        for vm in &mut vms {
            let items = store.items.values().cloned().collect();
            vm.read_all(items, store.revision());
            prop_assert_eq!(vm.usable(), expected.clone());
        }
    }
}
