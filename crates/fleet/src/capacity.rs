//! Capacity of the model servers of this region.

use onyxfall_policy::Moment;
use onyxfall_types::ServiceName;

use crate::view::FleetView;

impl FleetView {
    /// Number of model servers of a service in this region that take requests. Cold ones are
    /// left out, since they take only few.
    pub fn usable_servers(&self, now: Moment, service: &ServiceName) -> usize {
        self.region_servers(service)
            .filter(|id| self.is_trusted(now, *id) && !self.server(*id).is_cold(now))
            .count()
    }
}
