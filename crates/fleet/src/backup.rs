//! Choice of the runs whose memory is copied to another server, and of that server.
//!
//! A generation that may run only once is lost with its server, unless its memory was
//! being copied to another one, which can then continue the same run. A copy costs
//! transfer. It is made when the expected loss is larger: the probability that the
//! server crashes during the run, times one request. Crashes come in bursts, so the
//! probability is derived from the last seconds, by service.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::{ServerId, ServiceName};

use crate::call::CallRequirements;
use crate::flow::FlowMeter;
use crate::predict::TimePrediction;
use crate::switches::DecisionSwitch;
use crate::view::FleetView;

/// Decay time of a server's crash. On days with faults a second burst of crashes
/// followed the first within 1 to 10 s; a longer time would make copies long after the
/// risk is over.
const CRASH_DECAY: Duration = Duration::from_secs(15);

/// Recent crash rate of the servers of a service.
#[derive(Clone, Debug)]
pub(crate) struct CrashRate {
    flow: FlowMeter,
    /// Server instances that were counted; each crashes at most once.
    counted: BTreeSet<ServerId>,
}

impl Default for CrashRate {
    fn default() -> Self {
        Self {
            flow: FlowMeter::new(CRASH_DECAY),
            counted: BTreeSet::new(),
        }
    }
}

impl CrashRate {
    fn note(&mut self, now: Moment, server: ServerId) {
        if self.counted.insert(server) {
            self.flow.note(now, 1);
        }
    }

    /// Crashes per second and server, for `servers` servers.
    fn rate(&self, now: Moment, servers: usize) -> f64 {
        self.flow.per_second(now) / servers.max(1) as f64
    }
}

/// Decision on a copy with the figures behind it, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackupDecision {
    /// Server that receives the copy; none if the copy costs more than it saves, or no
    /// server has capacity.
    pub server: Option<ServerId>,
    /// Expected loss without a copy, in requests.
    pub risk: f64,
    /// Cost of the copy, in requests.
    pub cost: f64,
}

/// Crash records by service.
pub(crate) type CrashTable = BTreeMap<ServiceName, CrashRate>;

impl FleetView {
    /// Records that a server broke the connection during a response.
    pub fn record_crash(&mut self, now: Moment, id: ServerId) {
        let service = self.server(id).record.service.clone();
        self.crashes_mut().entry(service).or_default().note(now, id);
    }

    /// Decides whether a run that may not be repeated is copied while it runs at
    /// `source`. `copied_gb` is the cost of copying one GB, in lost requests.
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
        let rate = rate.map_or(0.0, |rate| rate.rate(now, servers));
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

    /// The server of this region, of the version of the source, with the least work that could
    /// hold a copy, if possible in another data centre than the source.
    fn backup_server(
        &self,
        now: Moment,
        source: ServerId,
        needs: &CallRequirements,
    ) -> Option<ServerId> {
        let source_center = &self.server(source).record.center;
        let version = self.server(source).record.version.as_ref()?;
        self.free_servers(now, needs)
            .filter(|id| *id != source && self.server(*id).record.version.as_ref() == Some(version))
            .min_by_key(|id| {
                let server = self.server(*id);
                let work = server.work();
                (
                    server.record.center == *source_center,
                    work.memory,
                    work.requests,
                )
            })
    }
}
