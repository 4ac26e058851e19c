//! Applies changes of the local copy of the store to the state of this VM.

use std::rc::Rc;

use onyxfall_adapter::{DecodeError, StoreEntry, StoreKey, read_item, read_key};
use onyxfall_fleet::{MirrorChange, RouteTable, ServerRecord, TeamTable};
use onyxfall_policy::Moment;
use onyxfall_rollout::RolloutOrder;
use onyxfall_types::ServiceName;

use crate::gateway::Gateway;
use crate::report::millis;

impl Gateway {
    /// Records that another instance of a server has taken over its address.
    pub(crate) fn record_replaced(&self, server: &str) {
        log::info!(server; "server replaced at its address");
        self.fleet.borrow_mut().remove_server(self.now(), server);
    }

    /// Applies changes of the local copy of the store.
    pub(crate) fn apply_changes(&self, changes: Vec<MirrorChange>) {
        for change in changes {
            match change {
                MirrorChange::Set(key, value) => match read_item(&key, &value) {
                    Ok(entry) => self.apply_entry(&key, entry),
                    Err(e) => self.reject_item(&key, &e),
                },
                MirrorChange::Removed(key) => self.apply_removal(&key),
            }
        }
    }

    /// Handles an entry that cannot be decoded. An undecodable server entry removes the server,
    /// even if a valid entry was there before, since the writer of the new one is unknown.
    fn reject_item(&self, key: &str, error: &DecodeError) {
        self.metrics.count("onyxfall_items_not_understood_total");
        log::error!(key, error:% = error; "item not understood");
        match read_key(key) {
            StoreKey::Server(name) => {
                let mut fleet = self.fleet.borrow_mut();
                fleet.remove_server(self.now(), name.as_str());
            }
            // The order that stood under this key before no longer applies.
            StoreKey::Order(service) => self.withdraw_order(&service),
            _ => {}
        }
    }

    /// Revision of an entry in the local copy of the store.
    fn item_revision(&self, key: &str) -> u64 {
        self.mirror.borrow().item_revision(key).unwrap_or_default()
    }

    fn apply_order(&self, key: &str, order: RolloutOrder) {
        let revision = self.item_revision(key);
        log::info!(
            service = order.service.as_str(),
            version = order.target.as_str(),
            time_ms = millis(order.time),
            revision;
            "rollout order received"
        );
        let is_known = self
            .table()
            .is_some_and(|table| table.service(&order.service).is_some());
        if !is_known {
            log::warn!(service = order.service.as_str(); "no such service is configured");
        }
        let mut rollouts = self.rollouts.borrow_mut();
        rollouts.apply_order(self.now(), revision, order);
        drop(rollouts);
        self.rollout_known.notify_one();
        self.refresh_rollout_routes();
        self.refresh_rollouts(self.now());
    }

    /// Withdraws the order of a service, which closes its target version at once.
    fn withdraw_order(&self, service: &ServiceName) {
        self.rollouts.borrow_mut().withdraw(service);
        self.refresh_rollouts(self.now());
    }

    /// Applies a server's entry. Entries of servers that this VM does not use are counted but
    /// not logged: thousands of lines at once would displace others from the log.
    fn apply_server(&self, now: Moment, record: ServerRecord, table: Option<&RouteTable>) {
        let mut fleet = self.fleet.borrow_mut();
        let name = record.name.clone();
        let before = fleet.find(name.as_str());
        fleet.put_server(now, record, table);
        if before.is_some_and(|id| fleet.server(id).is_replaced()) {
            self.metrics.count("onyxfall_servers_reborn_total");
            self.suspicion.notify_waiters();
        }
        let Some(id) = fleet.find(name.as_str()) else {
            self.metrics.count("onyxfall_dormant_entries_total");
            return;
        };
        let record = &fleet.server(id).record;
        log::info!(
            server = record.name.as_str(),
            born:% = record.started_at,
            service = record.service.as_str(),
            phase:? = record.phase,
            cold_ms = millis(record.cold_left);
            "server entry applied"
        );
    }

    fn apply_entry(&self, key: &str, entry: StoreEntry) {
        let now = self.now();
        let table = self.table();
        match entry {
            StoreEntry::Order(order) => self.apply_order(key, order),
            StoreEntry::Rollout(service, record) => {
                let revision = self.item_revision(key);
                let mut rollouts = self.rollouts.borrow_mut();
                rollouts.apply_record(now, &service, revision, record);
                self.rollout_known.notify_one();
            }
            StoreEntry::Shift(service, region, order) => {
                let revision = self.item_revision(key);
                let mut rollouts = self.rollouts.borrow_mut();
                rollouts.apply_shift(now, &service, region, order, revision);
            }
            StoreEntry::Config(next) => self.apply_table(*next),
            StoreEntry::Server(record) => self.apply_server(now, record, table.as_deref()),
            StoreEntry::Evacuation(center) => {
                log::info!(center = center.as_str(); "evacuation of a data centre started");
                self.fleet.borrow_mut().evacuate(center);
            }
            StoreEntry::Other => {}
        }
    }

    /// Brings a configuration into force unless the current one is as new or newer.
    fn apply_table(&self, next: RouteTable) {
        let current = self.table().map(|table| table.version());
        if current.is_some_and(|current| current >= next.version()) {
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
        self.capacity.borrow_mut().set_table(&next);
        *self.table.borrow_mut() = Some(Rc::new(next));
        self.refresh_rollout_routes();
    }

    fn apply_removal(&self, key: &str) {
        match read_key(key) {
            StoreKey::Server(name) => {
                let mut fleet = self.fleet.borrow_mut();
                if fleet.find(name.as_str()).is_some() {
                    log::info!(server = name.as_str(); "server entry removed");
                }
                fleet.remove_server(self.now(), name.as_str());
            }
            StoreKey::Evacuation(center) => {
                log::info!(center = center.as_str(); "evacuation of a data centre ended");
                let (now, table) = (self.now(), self.table());
                let mut fleet = self.fleet.borrow_mut();
                fleet.end_evacuation(now, &center, table.as_deref());
            }
            // A configuration is never withdrawn; the last one stays in force.
            StoreKey::Config | StoreKey::Other => {}
            // No writer deletes these keys, so the store was restored from an older backup.
            StoreKey::Rollout(service) => self.rollouts.borrow_mut().remove_record(&service),
            StoreKey::Shift(service, region) => {
                self.rollouts.borrow_mut().remove_shift(&service, &region);
            }
            StoreKey::Order(service) => {
                log::info!(service = service.as_str(); "rollout order withdrawn");
                self.withdraw_order(&service);
            }
        }
    }
}
