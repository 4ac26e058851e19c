//! Regions that may serve a request: what route and team allow both.

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
    /// A request that passes any number of VMs, each of which cuts its regions down by
    /// what it knows of route and team, is allowed only where all of them allow it.
    #[test]
    fn a_region_serves_only_what_everybody_on_the_way_allows(
        limits in prop::collection::vec(homes(), 1..6),
    ) {
        let mut told = HomeRegions::Any;
        for limit in &limits {
            // Between VMs it travels as text.
            told = told.and(limit).to_string().parse().unwrap();
        }
        for name in REGIONS {
            let region: RegionName = name.parse().unwrap();
            let all = limits.iter().all(|limit| limit.allows(&region));
            prop_assert_eq!(told.allows(&region), all, "{} of {:?}", name, limits);
        }
    }
}
