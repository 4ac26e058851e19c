//! Time of one plan at the planned sizes, in overload.

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use onyxfall_capacity::{
    ClassDemand, Importance, PlanRules, RegionMask, ServiceDemand, ServicePlan, WorkRate,
};

/// Overload by `factor`: uneven regions, and every `kinds`th class may run in the same few
/// regions.
fn demand(classes: u8, regions: usize, kinds: u8, factor: f64) -> ServiceDemand {
    let rate =
        |region: usize| WorkRate::clamped(factor * (1 + region % 3) as f64 / f64::from(classes));
    let class = |index: u8| {
        let start = usize::from(index % kinds);
        let span = 2 + usize::from(index % kinds) % 5;
        let some = (0..span).map(|step| (start + step) % regions).collect();
        ClassDemand {
            importance: Importance {
                kind: index / 4,
                team: index % 4,
            },
            homes: if index.is_multiple_of(kinds) {
                RegionMask::ALL
            } else {
                some
            },
            offered: (0..regions).map(rate).collect(),
        }
    };
    ServiceDemand {
        capacity: (0..regions)
            .map(|region| WorkRate::clamped((1 + region % 2) as f64))
            .collect(),
        classes: (0..classes).map(class).collect(),
    }
}

fn plans(criterion: &mut Criterion) {
    let rules = PlanRules::default();
    for (classes, regions, kinds) in [(12, 3, 3), (40, 12, 5), (40, 12, 12), (40, 12, 40)] {
        for factor in [0.7, 2.0] {
            let demand = demand(classes, regions, kinds, factor);
            let name =
                format!("{classes} classes, {regions} regions, {kinds} homes, load {factor}");
            criterion.bench_function(&name, |bench| {
                bench.iter(|| ServicePlan::compute(black_box(&demand), &rules));
            });
        }
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .warm_up_time(std::time::Duration::from_millis(200))
        .measurement_time(std::time::Duration::from_millis(800))
        .sample_size(20);
    targets = plans
}
criterion_main!(benches);
