//! Tests of the plan report: its JSON, its table and the constraint of each flow.

use expect_test::expect;
use onyxfall_types::{
    PlanClass, PlanConstraint, PlanFlow, PlanMode, PlanRegion, PlanReport, PlanStanding,
};

fn region(name: &str, full: bool, report_age_ms: Option<u64>) -> PlanRegion {
    PlanRegion {
        service: "search".parse().unwrap(),
        region: name.parse().unwrap(),
        capacity: 12.5,
        full,
        report_age_ms,
    }
}

fn flow(callers: &str, served: &[(&str, f64)], refused: f64, standing: PlanStanding) -> PlanFlow {
    PlanFlow {
        callers: callers.parse().unwrap(),
        offered: 4.0,
        served: served
            .iter()
            .map(|(region, share)| (region.parse().unwrap(), *share))
            .collect(),
        refused,
        standing,
        backlog_limit_ms: (standing != PlanStanding::Served).then_some(180),
        constraint: PlanConstraint::None,
    }
}

fn class(importance: &str, homes: &[&str], flows: Vec<PlanFlow>) -> PlanClass {
    PlanClass {
        service: "search".parse().unwrap(),
        importance: importance.to_owned(),
        homes: homes.iter().map(|home| home.parse().unwrap()).collect(),
        flows,
    }
}

fn sample() -> PlanReport {
    let regions = vec![
        region("brisbane", true, Some(0)),
        region("cairns", false, Some(220)),
    ];
    let urgent = class(
        "0.0",
        &[],
        vec![
            flow(
                "brisbane",
                &[("brisbane", 0.75), ("cairns", 0.25)],
                0.0,
                PlanStanding::Served,
            ),
            flow("cairns", &[("cairns", 1.0)], 0.0, PlanStanding::Served),
        ],
    );
    let cheap = class(
        "2.1",
        &["brisbane"],
        vec![
            flow("brisbane", &[("brisbane", 0.2)], 0.8, PlanStanding::Partial),
            flow("cairns", &[], 1.0, PlanStanding::Refused),
        ],
    );
    PlanReport::new(PlanMode::On, Some(120), regions, vec![urgent, cheap])
}

/// Guards against columns that move with the figures or lose their headers.
#[test]
fn the_table_has_fixed_columns() {
    expect![[r"
        plan on, computed 120 ms ago

        service              region         capacity s/s  full  report ms
        search               brisbane             12.500   yes          0
        search               cairns               12.500    no        220

        service                 rank callers        offered s/s refused standing limit ms constraint served by                    homes
        search                   0.0 brisbane             4.000   0.000 served          - -          brisbane 0.750, cairns 0.250 any
        search                   0.0 cairns               4.000   0.000 served          - -          cairns 1.000                 any
        search                   2.1 brisbane             4.000   0.800 partial       180 homes      brisbane 0.200               brisbane
        search                   2.1 cairns               4.000   1.000 refused       180 homes      -                            brisbane
    "]].assert_eq(&sample().to_string());
}

/// Guards against a plan without figures being printed as one that serves nothing.
#[test]
fn a_report_without_figures_is_one_line() {
    let empty = |mode, age| PlanReport::new(mode, age, Vec::new(), Vec::new()).to_string();
    assert_eq!(empty(PlanMode::Off, None), "plan off, never computed\n");
    assert_eq!(
        empty(PlanMode::Frozen, Some(90_000)),
        "plan frozen, computed 90000 ms ago\n"
    );
}

/// Guards against a renamed field, which tools that read the JSON would miss.
#[test]
fn the_json_has_stable_names_and_is_read_back() {
    let report = sample();
    let json = serde_json::to_string_pretty(&report).unwrap();
    expect![[r#"
        {
          "mode": "on",
          "age_ms": 120,
          "regions": [
            {
              "service": "search",
              "region": "brisbane",
              "capacity": 12.5,
              "full": true,
              "report_age_ms": 0
            },
            {
              "service": "search",
              "region": "cairns",
              "capacity": 12.5,
              "full": false,
              "report_age_ms": 220
            }
          ],
          "classes": [
            {
              "service": "search",
              "importance": "0.0",
              "homes": [],
              "flows": [
                {
                  "callers": "brisbane",
                  "offered": 4.0,
                  "served": {
                    "brisbane": 0.75,
                    "cairns": 0.25
                  },
                  "refused": 0.0,
                  "standing": "served",
                  "backlog_limit_ms": null,
                  "constraint": "none"
                },
                {
                  "callers": "cairns",
                  "offered": 4.0,
                  "served": {
                    "cairns": 1.0
                  },
                  "refused": 0.0,
                  "standing": "served",
                  "backlog_limit_ms": null,
                  "constraint": "none"
                }
              ]
            },
            {
              "service": "search",
              "importance": "2.1",
              "homes": [
                "brisbane"
              ],
              "flows": [
                {
                  "callers": "brisbane",
                  "offered": 4.0,
                  "served": {
                    "brisbane": 0.2
                  },
                  "refused": 0.8,
                  "standing": "partial",
                  "backlog_limit_ms": 180,
                  "constraint": "homes"
                },
                {
                  "callers": "cairns",
                  "offered": 4.0,
                  "served": {},
                  "refused": 1.0,
                  "standing": "refused",
                  "backlog_limit_ms": 180,
                  "constraint": "homes"
                }
              ]
            }
          ]
        }"#]]
    .assert_eq(&json);
    assert_eq!(serde_json::from_str::<PlanReport>(&json).unwrap(), report);
}

/// Guards against reports of later builds being refused for a field that they add.
#[test]
fn unknown_fields_are_ignored() {
    let json = r#"{"mode":"off","age_ms":null,"regions":[],"classes":[],"prices":[1]}"#;
    let report: PlanReport = serde_json::from_str(json).unwrap();
    assert_eq!(report.mode, PlanMode::Off);
}

struct ConstraintCase {
    name: &'static str,
    /// Regions: name, whether it is full, age of its report.
    regions: &'static [(&'static str, bool, Option<u64>)],
    homes: &'static [&'static str],
    refused: f64,
    expected: PlanConstraint,
}

/// Guards against a refusal that is explained by the wrong cause.
#[test]
fn each_flow_names_what_constrains_it() {
    let cases = [
        ConstraintCase {
            name: "wholly served",
            regions: &[("a", true, None)],
            homes: &[],
            refused: 0.0,
            expected: PlanConstraint::None,
        },
        ConstraintCase {
            name: "all regions are full",
            regions: &[("a", true, Some(0)), ("b", true, Some(1500))],
            homes: &[],
            refused: 0.3,
            expected: PlanConstraint::Capacity,
        },
        ConstraintCase {
            name: "only the home is full",
            regions: &[("a", true, Some(0)), ("b", false, Some(9))],
            homes: &["a"],
            refused: 0.3,
            expected: PlanConstraint::Homes,
        },
        ConstraintCase {
            name: "a region's report is too old",
            regions: &[("a", true, Some(0)), ("b", true, Some(1501))],
            homes: &[],
            refused: 0.3,
            expected: PlanConstraint::Report,
        },
        ConstraintCase {
            name: "a region was never heard of",
            regions: &[("a", true, Some(0)), ("b", true, None)],
            homes: &[],
            refused: 0.3,
            expected: PlanConstraint::Report,
        },
        ConstraintCase {
            name: "the missing report is of a region that may not serve it",
            regions: &[("a", true, Some(0)), ("b", true, None)],
            homes: &["a"],
            refused: 0.3,
            expected: PlanConstraint::Capacity,
        },
        ConstraintCase {
            name: "refused although an allowed region is not full",
            regions: &[("a", false, Some(0)), ("b", true, Some(0))],
            homes: &[],
            refused: 0.3,
            expected: PlanConstraint::Rules,
        },
    ];
    for case in cases {
        let regions = case
            .regions
            .iter()
            .map(|(name, full, age)| region(name, *full, *age))
            .collect();
        let flow = flow("a", &[], case.refused, PlanStanding::Partial);
        let class = class("1.0", case.homes, vec![flow]);
        let report = PlanReport::new(PlanMode::On, Some(1), regions, vec![class]);
        let found = report.classes[0].flows[0].constraint;
        assert_eq!(found, case.expected, "{}", case.name);
    }
}
