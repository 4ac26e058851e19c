//! Tests of the team usage report over the metrics of several VMs.

use expect_test::expect;
use onyxfall_operator::TeamReport;

const FIRST: &str = "\
onyxfall_requests_total{route=\"r\",outcome=\"served\"} 4
onyxfall_team_units_total{team=\"huka\",outcome=\"admitted\"} 4000
onyxfall_team_units_total{team=\"huka\",outcome=\"refused\"} 12400
onyxfall_config_version 7
onyxfall_team_limit{team=\"huka\"} 36000
onyxfall_team_demand{team=\"huka\"} 1500
";
const SECOND: &str = "\
onyxfall_team_units_total{team=\"huka\",outcome=\"admitted\"} 1000
onyxfall_team_units_total{team=\"huka\",outcome=\"given-back\"} 200
onyxfall_team_units_total{team=\"other\",outcome=\"admitted\"} not a number
onyxfall_config_version 6
onyxfall_team_limit{team=\"huka\"} 36000
onyxfall_team_demand{team=\"huka\"} 500
onyxfall_team_limit{team=
";

#[test]
fn usage_is_summed_and_a_vm_that_is_behind_is_listed() {
    let mut report = TeamReport::default();
    assert!(report.is_empty());
    report.read("10.0.0.1:9", FIRST);
    report.read("10.0.0.2:9", SECOND);
    expect![[r"
        team                          limit/s      asked/s       admitted        refused   given back
        huka                            36000         2000           5000          12400          200
        version 6: 10.0.0.2:9
        version 7: 10.0.0.1:9
    "]]
    .assert_eq(&report.to_string());
}
