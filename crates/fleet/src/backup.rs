//! Which runs get a copy of their memory at another server, and where.
//!
//! A generation that may run only once is lost with its server, unless its memory was
//! being copied to another one, which can then go on as the same run. A copy costs
//! what it moves. It is made when the expected loss is larger: the chance that the
//! server breaks while the run lasts, times the request. Crashes come in bursts, so
//! the chance is that of the last seconds, by service.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::{ServerId, ServiceName};

use crate::call::CallRequirements;
use crate::flow::FlowMeter;
use crate::predict::TimePrediction;
use crate::switches::DecisionSwitch;
use crate::view::FleetView;

/// Time in which a server's crash fades to a third. On days with faults a second burst
/// of crashes followed the first within 1 to 10 s; a longer memory pays for copies
/// long after.
const CRASH_FADE: Duration = Duration::from_secs(15);

/// How often servers of a service crashed lately.
#[derive(Clone, Debug)]
pub(crate) struct CrashRecord {
    flow: FlowMeter,
    /// Lives that were counted; each crashes once.
    counted: BTreeSet<ServerId>,
}

impl Default for CrashRecord {
    fn default() -> Self {
        Self {
            flow: FlowMeter::new(CRASH_FADE),
            counted: BTreeSet::new(),
        }
    }
}

impl CrashRecord {
    fn note(&mut self, now: Moment, server: ServerId) {
        if self.counted.insert(server) {
            self.flow.note(now, 1);
        }
    }

    /// Crashes of one of `servers` a second.
    fn rate(&self, now: Moment, servers: usize) -> f64 {
        self.flow.per_second(now) / servers.max(1) as f64
    }
}

/// What decided about a copy, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackupDecision {
    /// Where the copy goes; none if it does not pay, or nobody has room.
    pub server: Option<ServerId>,
    /// Part of the request that is expected to be lost without a copy.
    pub risk: f64,
    /// What the copy costs, in requests.
    pub cost: f64,
}

/// Crashes by service.
pub(crate) type CrashTable = BTreeMap<ServiceName, CrashRecord>;

impl FleetView {
    /// Notes that a server broke off an answer that it had begun.
    pub fn note_crash(&mut self, now: Moment, id: ServerId) {
        let service = self.server(id).record.service.clone();
        self.crashes_mut().entry(service).or_default().note(now, id);
    }

    /// Decides whether a run that may not be repeated gets a copy while it runs at
    /// `source`. `copied_gb` is what a GB costs, in requests that are lost.
    pub fn choose_backup(
        &self,
        now: Moment,
        source: ServerId,
        needs: &CallRequirements,
        predicted: &TimePrediction,
        copied_gb: f64,
    ) -> BackupDecision {
        let none = BackupDecision {
            server: None,
            risk: 0.0,
            cost: 0.0,
        };
        let Some(engine) = needs.engine.filter(|engine| engine.keeps_backups) else {
            return none;
        };
        if !self.switches().is_on(DecisionSwitch::Backups) {
            return none;
        }
        let servers = self.servers_of(&needs.service).len();
        let rate = self.crashes().get(&needs.service);
        let rate = rate.map_or(0.0, |record| record.rate(now, servers));
        let bytes = needs.prompt.likely_memory() as f64 * engine.token_bytes as f64;
        let risk = rate * predicted.whole.as_secs_f64();
        let cost = bytes / 1e9 * copied_gb;
        let server = (risk > cost).then(|| self.backup_server(now, source, needs));
        BackupDecision {
            server: server.flatten(),
            risk,
            cost,
        }
    }

    /// The server with the least work that could hold a copy: of this region, in
    /// another data centre than the source's where there is one.
    fn backup_server(
        &self,
        now: Moment,
        source: ServerId,
        needs: &CallRequirements,
    ) -> Option<ServerId> {
        let place = &self.server(source).record.center;
        self.free_servers(now, needs)
            .filter(|id| *id != source)
            .min_by_key(|id| {
                let server = self.server(*id);
                let work = server.work();
                (server.record.center == *place, work.memory, work.requests)
            })
    }
}
