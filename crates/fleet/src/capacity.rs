//! Capacity of the model servers of this region, in seconds of work a second.

use onyxfall_policy::Moment;
use onyxfall_types::ServiceName;

use crate::view::FleetView;

impl FleetView {
    /// Seconds of work a second that the usable model servers of a service do in this region.
    /// Work is counted in the time that a typical server takes, so a slow server does less.
    pub fn model_capacity(&self, now: Moment, service: &ServiceName) -> f64 {
        self.region_servers(service)
            .filter(|id| self.is_trusted(now, *id) && !self.server(*id).is_cold(now))
            .map(|id| 1.0 / self.server(id).slowness(now).max(1.0))
            .sum()
    }
}
