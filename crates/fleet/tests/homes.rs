//! Regions that may serve a request: the intersection of those that route and team
//! allow.

use onyxfall_fleet::HomeRegions;
use onyxfall_types::RegionName;
use proptest::prelude::*;

const REGIONS: [&str; 4] = ["ra", "rb", "rc", "rd"];

fn homes() -> impl Strategy<Value = HomeRegions> {
    let region = prop::sample::select(REGIONS.to_vec());
    prop::collection::vec(region, 0..4).prop_map(|names| {
        let regions = names.iter().map(|name| name.parse().unwrap());
        HomeRegions::listed(regions.collect())
    })
}

proptest! {
    /// A request may pass any number of VMs, each of which restricts its regions by its
    /// own route and team configuration. It is allowed only where all of them allow it.
    #[test]
    fn a_region_is_allowed_only_if_all_vms_on_the_path_allow_it(
        limits in prop::collection::vec(homes(), 1..6),
    ) {
        let mut received = HomeRegions::Any;
        for limit in &limits {
            // Sets of regions are sent between VMs as text.
            received = received.and(limit).to_string().parse().unwrap();
        }
        for name in REGIONS {
            let region: RegionName = name.parse().unwrap();
            let all = limits.iter().all(|limit| limit.allows(&region));
            prop_assert_eq!(received.allows(&region), all, "{} of {:?}", name, limits);
        }
    }
}
