//! What changes of the copy of the store mean for this VM.

use std::rc::Rc;

use onyxfall_adapter::{DecodeError, StoreEntry, StoreKey, read_item, read_key};
use onyxfall_fleet::{MirrorChange, RouteTable, ServerRecord, TeamTable};
use onyxfall_policy::Moment;
use onyxfall_rollout::RolloutOrder;
use onyxfall_types::ServiceName;

use crate::gateway::Gateway;
use crate::report::millis;

impl Gateway {
    /// Notes that another life of a server has its address.
    pub(crate) fn record_replaced(&self, server: &str) {
        log::info!(server; "another server has the address");
        self.fleet.borrow_mut().remove_server(self.now(), server);
    }

    /// Takes changes of the copy of the store.
    pub(crate) fn apply_changes(&self, changes: Vec<MirrorChange>) {
        for change in changes {
            match change {
                MirrorChange::Set(key, value) => match read_item(&key, &value) {
                    Ok(news) => self.apply_entry(&key, news),
                    Err(e) => self.reject_item(&key, &e),
                },
                MirrorChange::Removed(key) => self.take_removal(&key),
            }
        }
    }

    /// An item that is not understood. A server's entry then names no server, also where
    /// a good one stood before: who wrote it is not known.
    fn reject_item(&self, key: &str, error: &DecodeError) {
        self.metrics.count("onyxfall_items_not_understood_total");
        log::error!(key, error:% = error; "item not understood");
        match read_key(key) {
            StoreKey::Server(name) => {
                let mut fleet = self.fleet.borrow_mut();
                fleet.remove_server(self.now(), name.as_str());
            }
            // What stood there before is no longer asked for.
            StoreKey::Order(service) => self.withdraw_order(&service),
            _ => {}
        }
    }

    /// Revision at which an item stands in the copy of the store.
    fn item_revision(&self, key: &str) -> u64 {
        self.mirror.borrow().item_revision(key).unwrap_or_default()
    }

    fn take_order(&self, key: &str, order: RolloutOrder) {
        let revision = self.item_revision(key);
        log::info!(
            service = order.service.as_str(),
            version = order.target.as_str(),
            time_ms = millis(order.time),
            revision;
            "another version is ordered"
        );
        let is_known = self
            .table()
            .is_some_and(|table| table.service(&order.service).is_some());
        if !is_known {
            log::warn!(service = order.service.as_str(); "no such service is configured");
        }
        let mut rollouts = self.rollouts.borrow_mut();
        rollouts.take_order(self.now(), revision, order);
        drop(rollouts);
        self.rollout_known.notify_one();
        self.refresh_rollout_routes();
        self.refresh_rollouts(self.now());
    }

    /// An order is no longer asked for: its version is closed at once.
    fn withdraw_order(&self, service: &ServiceName) {
        self.rollouts.borrow_mut().withdraw(service);
        self.refresh_rollouts(self.now());
    }

    /// Takes a server's entry. Those of servers that this VM does not work with are only
    /// counted: thousands of lines at once would push others out of the log.
    fn take_server(&self, now: Moment, record: ServerRecord, table: Option<&RouteTable>) {
        let mut fleet = self.fleet.borrow_mut();
        let name = record.name.clone();
        let before = fleet.find(name.as_str());
        fleet.put_server(now, record, table);
        if before.is_some_and(|id| fleet.server(id).is_replaced()) {
            self.metrics.count("onyxfall_servers_reborn_total");
            self.silence.notify_waiters();
        }
        let Some(id) = fleet.find(name.as_str()) else {
            self.metrics.count("onyxfall_dormant_entries_total");
            return;
        };
        let record = &fleet.server(id).record;
        log::info!(
            server = record.name.as_str(),
            born:% = record.born,
            service = record.service.as_str(),
            phase:? = record.phase,
            cold_ms = millis(record.cold_left);
            "server seen"
        );
    }

    fn apply_entry(&self, key: &str, news: StoreEntry) {
        let now = self.now();
        let table = self.table();
        match news {
            StoreEntry::Order(order) => self.take_order(key, order),
            StoreEntry::Rollout(service, record) => {
                let revision = self.item_revision(key);
                let mut rollouts = self.rollouts.borrow_mut();
                rollouts.take_record(now, &service, revision, record);
                self.rollout_known.notify_one();
            }
            StoreEntry::Shift(service, region, order) => {
                let revision = self.item_revision(key);
                let mut rollouts = self.rollouts.borrow_mut();
                rollouts.take_shift(now, &service, region, order, revision);
            }
            StoreEntry::Config(next) => self.take_table(*next),
            StoreEntry::Server(record) => self.take_server(now, record, table.as_deref()),
            StoreEntry::Evacuation(center) => {
                log::info!(center = center.as_str(); "data centre is evacuated");
                self.fleet.borrow_mut().evacuate(center);
            }
            StoreEntry::Other => {}
        }
    }

    /// Brings a configuration into force unless a newer one is.
    fn take_table(&self, next: RouteTable) {
        let held = self.table().map(|table| table.version());
        if held.is_some_and(|held| held >= next.version()) {
            log::warn!(version:% = next.version(); "older configuration ignored");
            return;
        }
        let teams = next.teams();
        log::info!(
            version:% = next.version(),
            routes = next.len(),
            teams = teams.map_or(0, |teams| teams.iter().count()),
            disputed_keys = teams.map_or(0, TeamTable::disputed_keys);
            "configuration in force"
        );
        self.set_teams(&next);
        *self.table.borrow_mut() = Some(Rc::new(next));
        self.refresh_rollout_routes();
    }

    fn take_removal(&self, key: &str) {
        match read_key(key) {
            StoreKey::Server(name) => {
                let mut fleet = self.fleet.borrow_mut();
                if fleet.find(name.as_str()).is_some() {
                    log::info!(server = name.as_str(); "server gone");
                }
                fleet.remove_server(self.now(), name.as_str());
            }
            StoreKey::Evacuation(center) => {
                log::info!(center = center.as_str(); "data centre is taken back");
                let (now, table) = (self.now(), self.table());
                let mut fleet = self.fleet.borrow_mut();
                fleet.end_evacuation(now, &center, table.as_deref());
            }
            // A configuration is never withdrawn; the last one stays in force.
            StoreKey::Config | StoreKey::Other => {}
            // Nobody deletes these: the store was restored from an older copy.
            StoreKey::Rollout(service) => self.rollouts.borrow_mut().remove_record(&service),
            StoreKey::Shift(service, region) => {
                self.rollouts.borrow_mut().remove_shift(&service, &region);
            }
            StoreKey::Order(service) => {
                log::info!(service = service.as_str(); "order of another version is taken back");
                self.withdraw_order(&service);
            }
        }
    }
}
