//! What callers get under a plan, compared with the best that is possible.

use onyxfall_capacity::{
    ClassCap, ClassDemand, ClassReserve, ClassStanding, PlanRules, RegionMask, ServiceDemand,
    ServicePlan, WorkRate,
};
use proptest::prelude::*;

/// Rounding, and the small demand that the plan assumes of idle classes, as a part of the
/// capacity.
const EXACT: f64 = 1e-4;

type ClassRow = (&'static str, &'static str, &'static [f64]);

fn demand(capacity: &[f64], classes: &[ClassRow]) -> ServiceDemand {
    let rates = |figures: &[f64]| {
        figures
            .iter()
            .map(|rate| WorkRate::clamped(*rate))
            .collect()
    };
    let class = |(importance, homes, offered): &ClassRow| ClassDemand {
        importance: importance.parse().unwrap(),
        homes: homes.parse().unwrap(),
        offered: rates(offered),
    };
    ServiceDemand {
        capacity: rates(capacity),
        classes: classes.iter().map(class).collect(),
    }
}

/// A plan with the demand that it was made from.
struct Outcome<'a> {
    demand: &'a ServiceDemand,
    rules: &'a PlanRules,
    plan: ServicePlan,
    regions: usize,
}

impl<'a> Outcome<'a> {
    /// Computes a plan and checks what holds for all: shares add up to 1, work stays within
    /// its homes, and no region gets more than it can do.
    fn of(demand: &'a ServiceDemand, rules: &'a PlanRules) -> Self {
        let plan = ServicePlan::compute(demand, rules);
        let regions = demand.capacity.len();
        let outcome = Self {
            demand,
            rules,
            plan,
            regions,
        };
        for (index, class) in demand.classes.iter().enumerate() {
            for origin in 0..regions {
                let share = outcome.plan.share(index, origin);
                let sum = share.refused + share.served.iter().sum::<f64>();
                assert!((sum - 1.0).abs() < 1e-6, "{share:?}");
                for (region, served) in share.served.iter().enumerate() {
                    assert!((0.0..1.0 + 1e-6).contains(served), "{share:?}");
                    assert!(*served == 0.0 || class.homes.contains(region), "{share:?}");
                }
            }
        }
        for region in 0..regions {
            let load: f64 = outcome
                .flows()
                .map(|flow| if flow.2 == region { flow.3 } else { 0.0 })
                .sum();
            assert!(
                load <= outcome.usable(region) * (1.0 + 1e-6),
                "region {region}: {load}"
            );
        }
        outcome
    }

    fn offered(&self, class: usize, region: usize) -> f64 {
        let offered = &self.demand.classes[class].offered;
        offered.get(region).map_or(0.0, |rate| rate.per_second())
    }

    fn asked(&self, class: usize) -> f64 {
        (0..self.regions)
            .map(|region| self.offered(class, region))
            .sum()
    }

    fn usable(&self, region: usize) -> f64 {
        self.demand.capacity[region].per_second() * self.rules.utilisation
    }

    /// Class, callers' region, serving region and amount.
    fn flows(&self) -> impl Iterator<Item = (usize, usize, usize, f64)> {
        let regions = self.regions;
        (0..self.demand.classes.len()).flat_map(move |class| {
            (0..regions * regions).map(move |index| {
                let (origin, region) = (index / regions, index % regions);
                let share = self.plan.share(class, origin).served[region];
                (class, origin, region, share * self.offered(class, origin))
            })
        })
    }

    fn served(&self, class: usize) -> f64 {
        self.flows()
            .map(|flow| if flow.0 == class { flow.3 } else { 0.0 })
            .sum()
    }

    /// Work outside its callers' region.
    fn moved(&self) -> f64 {
        self.flows()
            .map(|flow| if flow.1 == flow.2 { 0.0 } else { flow.3 })
            .sum()
    }

    /// Served fraction of a class; of one without demand, that of a first request.
    fn fraction(&self, class: usize) -> f64 {
        let asked = self.asked(class);
        if asked > 0.0 {
            self.served(class) / asked
        } else {
            1.0 - self.plan.share(class, 0).refused
        }
    }

    /// The most that can be served of `wanted` by class: the minimum cut over sets of regions.
    fn best(&self, wanted: &[f64]) -> f64 {
        let total = |set: u32| {
            let regions: RegionMask = (0..self.regions)
                .filter(|region| set & (1 << region) != 0)
                .collect();
            let capacity: f64 = regions.regions().map(|region| self.usable(region)).sum();
            let all = RegionMask::first(self.regions);
            let outside = self.demand.classes.iter().zip(wanted);
            let outside = outside.filter(|(class, _)| !class.homes.and(all).is_within(regions));
            capacity + outside.map(|(_, want)| want).sum::<f64>()
        };
        (0..1 << self.regions)
            .map(total)
            .fold(f64::INFINITY, f64::min)
    }

    /// Least cost of moving placed work from one region to another, by Floyd-Warshall:
    /// negative if the placement has needless moves.
    fn move_costs(&self) -> Vec<Vec<f64>> {
        let mut costs = vec![vec![f64::INFINITY; self.regions]; self.regions];
        for (class, origin, from, amount) in self.flows() {
            let homes = self.demand.classes[class].homes;
            for to in (0..self.regions).filter(|to| amount > EXACT && homes.contains(*to)) {
                let cost = f64::from(u8::from(to != origin)) - f64::from(u8::from(from != origin));
                costs[from][to] = costs[from][to].min(cost);
            }
        }
        for over in 0..self.regions {
            for from in 0..self.regions {
                for to in 0..self.regions {
                    costs[from][to] = costs[from][to].min(costs[from][over] + costs[over][to]);
                }
            }
        }
        costs
    }

    /// Checks the plan against the best possible: for each prefix of importances, first of
    /// floors and then of all demand, no more could be served. Importances must differ.
    fn assert_best(&self) {
        let mut order: Vec<usize> = (0..self.demand.classes.len()).collect();
        order.sort_by_key(|class| self.demand.classes[*class].importance);
        let mut wanted = vec![0.0; order.len()];
        for part in [self.rules.floor, 1.0] {
            for class in &order {
                wanted[*class] = self.asked(*class) * part;
                let served: f64 = (0..order.len())
                    .map(|class| self.served(class).min(wanted[class]))
                    .sum();
                let best = self.best(&wanted);
                let whole: f64 = (0..self.regions).map(|region| self.usable(region)).sum();
                assert!(
                    (served - best).abs() <= EXACT * whole,
                    "{served} of {best} at class {class}, part {part}: {:?}",
                    self.plan
                );
            }
        }
    }

    /// Checks that no work could be moved back to its callers' region.
    fn assert_fewest_moves(&self) {
        let load = |region| -> f64 {
            self.flows()
                .filter(|flow| flow.2 == region)
                .map(|flow| flow.3)
                .sum()
        };
        for (from, costs) in self.move_costs().iter().enumerate() {
            for (to, cost) in costs.iter().enumerate() {
                let has_room = load(to) + EXACT < self.usable(to);
                assert!(
                    *cost >= 0.0 || !(has_room || from == to),
                    "{from} to {to}: {:?}",
                    self.plan
                );
            }
        }
    }
}

struct PlanCase {
    /// The failure it guards against.
    name: &'static str,
    capacity: &'static [f64],
    /// Importance, homes and offered work by callers' region.
    classes: &'static [ClassRow],
    rules: PlanRules,
    /// Served fraction by class.
    served: &'static [f64],
    moved: f64,
}

fn floor(floor: f64) -> PlanRules {
    PlanRules {
        floor,
        ..PlanRules::default()
    }
}

fn run_cases(cases: &[PlanCase]) {
    for case in cases {
        let demand = demand(case.capacity, case.classes);
        let outcome = Outcome::of(&demand, &case.rules);
        for (class, expected) in case.served.iter().enumerate() {
            let fraction = outcome.fraction(class);
            assert!(
                (fraction - expected).abs() < EXACT,
                "{}: class {class} {fraction}",
                case.name
            );
        }
        let moved = outcome.moved();
        assert!(
            (moved - case.moved).abs() < EXACT,
            "{}: moved {moved}",
            case.name
        );
        outcome.assert_fewest_moves();
    }
}

#[test]
fn contended_capacity_goes_by_importance_and_region() {
    run_cases(&[
        PlanCase {
            name: "a cheap class crowds out an important one",
            capacity: &[1.0, 1.0],
            classes: &[("1.0", "*", &[2.2, 2.2]), ("0.0", "*", &[0.5, 0.5])],
            rules: floor(0.2),
            served: &[1.0 / 4.4, 1.0],
            moved: 0.0,
        },
        PlanCase {
            name: "one region is at three times its load while others idle",
            capacity: &[1.0, 1.0, 1.0],
            classes: &[("0.0", "*", &[3.0, 0.0, 0.0])],
            rules: floor(0.2),
            served: &[1.0],
            moved: 2.0,
        },
        PlanCase {
            name: "a class that may go anywhere takes the place of one that may not",
            capacity: &[1.0, 1.0, 1.0],
            classes: &[("0.0", "*", &[1.0, 1.0]), ("1.0", "0,1", &[0.5, 0.5])],
            rules: floor(0.0),
            served: &[1.0, 1.0],
            moved: 1.0,
        },
        PlanCase {
            name: "room is made over two regions, or not at all",
            capacity: &[1.0, 1.0, 1.0],
            classes: &[
                ("0.0", "1,2", &[0.0, 1.0]),
                ("1.0", "0,1", &[1.0]),
                ("2.0", "0", &[1.0]),
            ],
            rules: floor(0.0),
            served: &[1.0, 1.0, 1.0],
            moved: 2.0,
        },
        PlanCase {
            name: "a quarter of the capacity is lost and its callers fare worse than others",
            capacity: &[1.0, 1.0, 1.0, 0.0],
            classes: &[("0.0", "*", &[0.5; 4]), ("0.1", "*", &[0.5; 4])],
            rules: floor(0.2),
            served: &[1.0, 0.5],
            moved: 0.75,
        },
    ]);
}

#[test]
fn floors_reserves_and_caps_hold() {
    run_cases(&[
        PlanCase {
            name: "a less important class starves",
            capacity: &[2.0],
            classes: &[("0.0", "*", &[5.0]), ("0.1", "*", &[2.0])],
            rules: floor(0.2),
            served: &[0.32, 0.2],
            moved: 0.0,
        },
        PlanCase {
            name: "floors beyond the capacity ignore importance",
            capacity: &[1.0],
            classes: &[("0.1", "*", &[2.0]), ("0.0", "*", &[4.0])],
            rules: floor(0.2),
            served: &[0.1, 0.2],
            moved: 0.0,
        },
        PlanCase {
            name: "of equal classes the first one takes all",
            capacity: &[1.0, 1.0],
            classes: &[("0.0", "0", &[1.5, 0.0]), ("0.0", "*", &[0.0, 1.5])],
            rules: floor(0.0),
            served: &[2.0 / 3.0, 2.0 / 3.0],
            moved: 0.0,
        },
        PlanCase {
            name: "a class bound to a full region holds back its equals",
            capacity: &[1.0, 1.0],
            classes: &[("0.0", "0", &[3.0, 0.0]), ("0.0", "*", &[0.5, 0.5])],
            rules: floor(0.0),
            served: &[1.0 / 3.0, 1.0],
            moved: 0.5,
        },
        PlanCase {
            name: "a reserve is taken by a more important kind",
            capacity: &[2.0],
            classes: &[("0.0", "*", &[4.0]), ("2.0", "*", &[1.0])],
            rules: PlanRules {
                reserved: vec![ClassReserve {
                    kind: 2,
                    share: 0.25,
                }],
                ..floor(0.0)
            },
            served: &[0.375, 0.5],
            moved: 0.0,
        },
        PlanCase {
            name: "an unused reserve idles",
            capacity: &[2.0],
            classes: &[("0.0", "*", &[4.0]), ("2.0", "*", &[0.1])],
            rules: PlanRules {
                reserved: vec![ClassReserve {
                    kind: 2,
                    share: 0.25,
                }],
                ..floor(0.0)
            },
            served: &[0.475, 1.0],
            moved: 0.0,
        },
        PlanCase {
            name: "teams of a capped kind each get the cap, or a reserve passes it",
            capacity: &[2.0],
            classes: &[
                ("0.0", "*", &[0.8]),
                ("0.1", "*", &[0.8]),
                ("1.0", "*", &[0.5]),
            ],
            rules: PlanRules {
                reserved: vec![ClassReserve {
                    kind: 0,
                    share: 0.9,
                }],
                caps: vec![ClassCap {
                    kind: 0,
                    share: 0.5,
                }],
                ..floor(0.2)
            },
            served: &[1.0, 0.25, 1.0],
            moved: 0.0,
        },
        PlanCase {
            name: "half of the capacity is usable, all is allocated",
            capacity: &[2.0],
            classes: &[("0.0", "*", &[2.0])],
            rules: PlanRules {
                utilisation: 0.5,
                ..floor(0.0)
            },
            served: &[0.5],
            moved: 0.0,
        },
    ]);
}

#[test]
fn absent_and_absurd_figures_do_no_harm() {
    run_cases(&[
        PlanCase {
            name: "no capacity gives NaN",
            capacity: &[0.0, 0.0],
            classes: &[("0.0", "*", &[1.0, 0.0]), ("0.1", "*", &[])],
            rules: floor(0.2),
            served: &[0.0, 0.0],
            moved: 0.0,
        },
        PlanCase {
            name: "the first request of an idle class is refused, or promised what others have",
            capacity: &[1.0, 1.0],
            classes: &[
                ("0.0", "*", &[]),
                ("0.1", "0", &[4.0]),
                ("0.2", "0", &[]),
                ("0.3", "1", &[]),
            ],
            rules: floor(0.2),
            served: &[1.0, 0.25, 0.2, 1.0],
            moved: 0.0,
        },
        PlanCase {
            name: "a class without a region is served elsewhere",
            capacity: &[1.0],
            classes: &[("0.0", "-", &[0.1]), ("0.0", "7", &[0.1])],
            rules: floor(0.2),
            served: &[0.0, 0.0],
            moved: 0.0,
        },
        PlanCase {
            name: "figures that are no figures spoil the plan",
            capacity: &[1.0, f64::NAN],
            classes: &[
                ("0.0", "*", &[f64::NAN, -5.0]),
                ("0.1", "*", &[2.0, f64::NAN]),
            ],
            rules: PlanRules {
                reserved: vec![ClassReserve {
                    kind: 0,
                    share: f64::NAN,
                }],
                caps: vec![ClassCap {
                    kind: 0,
                    share: f64::NAN,
                }],
                ..floor(f64::NAN)
            },
            served: &[1.0, 0.5],
            moved: 0.0,
        },
        PlanCase {
            name: "a huge demand takes from a more important class, or overflows",
            capacity: &[1.0, 1e-6],
            classes: &[
                ("0.0", "*", &[0.5]),
                ("0.1", "*", &[f64::INFINITY, f64::INFINITY]),
            ],
            rules: floor(0.0),
            served: &[1.0, 0.0],
            moved: 0.25,
        },
    ]);
}

/// Guards against callers of one region that are refused more than others of their class, and
/// against a full region that is reported as free.
#[test]
fn regions_share_and_standing_follows() {
    use ClassStanding::{Partial, Refused, Served};
    let classes: &[ClassRow] = &[
        ("0.0", "*", &[1.5, 0.0, 0.0]),
        ("0.1", "0,1", &[2.0, 0.5, 0.5]),
        ("0.2", "0,1", &[0.5]),
    ];
    let demand = demand(&[1.0, 1.0, 1.0], classes);
    let rules = floor(0.0);
    let outcome = Outcome::of(&demand, &rules);
    let refused = [0, 1, 2].map(|region| outcome.plan.share(1, region).refused);
    assert!(
        refused.iter().all(|share| (share - 0.5).abs() < EXACT),
        "{refused:?}"
    );
    let standing = [0, 1, 2].map(|class| outcome.plan.standing(class, 0));
    assert_eq!(standing, [Served, Partial, Refused]);
    assert_eq!(
        [0, 1, 2, 3].map(|region| outcome.plan.is_full(region)),
        [true, true, true, true]
    );
    assert_eq!(outcome.plan.standing(3, 0), Refused);
    assert_eq!(
        outcome.plan.share(0, 40).refused.to_bits(),
        1.0_f64.to_bits()
    );
}

/// Guards against refusals that fall on the last of equal classes where a set of regions is
/// exhausted that is not listed in advance.
#[test]
fn many_homes_are_shared_fairly() {
    let idle = ["0", "1", "2", "3", "4", "5", "6", "7", "8"];
    let mut classes: Vec<ClassRow> = idle.map(|homes| ("0.0", homes, &[][..])).to_vec();
    classes.extend([("1.0", "9,10", &[1.8][..]), ("1.0", "10,11", &[1.8][..])]);
    let demand = demand(&[1.0; 12], &classes);
    let rules = floor(0.2);
    let outcome = Outcome::of(&demand, &rules);
    let fractions = [9, 10].map(|class| outcome.fraction(class));
    assert!(
        fractions
            .iter()
            .all(|part| (part - 5.0 / 6.0).abs() < EXACT),
        "{fractions:?}"
    );
}

/// Guards against an important class that leaves its region so that a cheap one can stay.
#[test]
fn the_least_important_makes_room() {
    let classes: &[ClassRow] = &[
        ("1.0", "*", &[0.5]),
        ("0.0", "*", &[0.5]),
        ("2.0", "0", &[0.0, 0.5]),
    ];
    let demand = demand(&[1.0, 1.0], classes);
    let rules = floor(0.0);
    let outcome = Outcome::of(&demand, &rules);
    let left = [0, 1].map(|class| outcome.plan.share(class, 0).served[1]);
    assert!((left[0] - 1.0).abs() < EXACT && left[1] < EXACT, "{left:?}");
}

/// Random demand of classes whose importances differ.
fn demands(classes: usize, regions: usize) -> impl Strategy<Value = ServiceDemand> {
    let rate = || prop_oneof![Just(0.0), 0.1..4.0].prop_map(WorkRate::clamped);
    let class = (1_u32..1 << regions, prop::collection::vec(rate(), regions));
    let classes = prop::collection::vec(class, 1..=classes).prop_shuffle();
    (prop::collection::vec(rate(), regions), classes).prop_map(move |(capacity, classes)| {
        let class = |(index, (homes, offered)): (usize, (u32, Vec<WorkRate>))| ClassDemand {
            importance: format!("{}.{}", index % 2, index / 2).parse().unwrap(),
            homes: (0..regions)
                .filter(|region| homes & (1 << region) != 0)
                .collect(),
            offered,
        };
        let classes = classes.into_iter().enumerate().map(class).collect();
        ServiceDemand { capacity, classes }
    })
}

fn assert_optimal(demand: &ServiceDemand, rules: &PlanRules) {
    let outcome = Outcome::of(demand, rules);
    outcome.assert_best();
    outcome.assert_fewest_moves();
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against plans that serve less of an important class than possible, or that move
    /// work without need.
    #[test]
    fn no_plan_could_serve_more(demand in demands(6, 4), part in prop_oneof![Just(0.0), 0.0..1.0]) {
        assert_optimal(&demand, &floor(part));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    /// The same with more homes and regions.
    #[test]
    fn no_plan_could_serve_more_with_many_homes(demand in demands(14, 10)) {
        assert_optimal(&demand, &floor(0.2));
    }
}
