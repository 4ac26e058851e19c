//! Runs at servers that restart under their name.
//!
//! A store entry with a later start time shows that the former process has ended, but not which
//! process a run is at. The entry may arrive seconds after the restart, and what was sent meanwhile
//! runs at the new process though it is recorded for the former instance.
//!
//! Invariant: an entry never ends a run. A process that ends loses its connections, and a machine
//! without power fails their keep-alive probes. Start times come from the clocks of servers, so
//! that no more than a suspicion and the attribution of a run follow from them.

use onyxfall_policy::Moment;
use onyxfall_types::{ServerId, SoftwareVersion};

use crate::signals::CLOCK_TOLERANCE;
use crate::view::FleetView;

impl FleetView {
    /// When the latest instance of a server started, by this VM's clock, if it is a later one than
    /// `id`. It is no later than the arrival of its entry.
    fn restarted_at(&self, id: ServerId) -> Option<Moment> {
        let record = &self.server(id).record;
        let latest = self.latest_instance(&record.name)?;
        let started_at = self.moment_of(latest.started_at).min(latest.received_at);
        (latest.started_at > record.started_at).then_some(started_at)
    }

    /// Whether a run recorded for server `id`, which was sent or last sent something at
    /// `last_seen`, is suspected to be lost. The later instance of a restarted server runs what was
    /// seen since its start.
    pub fn is_run_suspected(&self, now: Moment, id: ServerId, last_seen: Moment) -> bool {
        if self.restarted_at(id).is_none_or(|at| last_seen < at) {
            return self.is_suspected(now, id);
        }
        let later = self.find(self.server(id).record.name.as_str());
        later.is_some_and(|later| self.is_suspected(now, later))
    }

    /// Software version of the process of a run recorded for server `id`, which last sent something
    /// at `last_seen`. `None` if it has no valid version, or if a later instance of another one may
    /// have sent it.
    pub fn run_version(&self, id: ServerId, last_seen: Moment) -> Option<&SoftwareVersion> {
        let record = &self.server(id).record;
        let version = record.version.as_ref()?;
        if self
            .restarted_at(id)
            .is_none_or(|at| last_seen + CLOCK_TOLERANCE < at)
        {
            return Some(version);
        }
        let later = self.server(self.find(record.name.as_str())?);
        (later.record.version.as_ref() == Some(version)).then_some(version)
    }

    /// Whether the store shows that the process of a run which was given up at `at` has ended.
    pub(crate) fn has_lost_run(&self, id: ServerId, at: Moment) -> bool {
        match self.restarted_at(id) {
            Some(restarted_at) => at < restarted_at,
            None => self.server(id).is_gone(),
        }
    }
}
