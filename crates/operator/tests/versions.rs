//! Tests of the rollout progress report over the metrics of several VMs.

use expect_test::expect;
use onyxfall_operator::VersionReport;

const FIRST: &str = "\
onyxfall_rollout{service=\"svc\",version=\"v2\",phase=\"sampling\",reason=\"none\"} 1
onyxfall_rollout_weight{service=\"svc\",version=\"v2\"} 2.500
onyxfall_rollout_answers{service=\"svc\",version=\"v2\",route=\"r\",side=\"old\"} 950
onyxfall_rollout_answers{service=\"svc\",version=\"v2\",route=\"r\",side=\"new\"} 50
onyxfall_rollout_failures{service=\"svc\",version=\"v2\",route=\"r\",side=\"new\"} 3
onyxfall_rollout_slow{service=\"svc\",version=\"v2\",route=\"r\",side=\"new\",ratio=\"2\"} 4
onyxfall_team_limit{team=\"huka\"} 36000
";
const SECOND: &str = "\
onyxfall_rollout{service=\"svc\",version=\"v2\",phase=\"rolled-back\",reason=\"failures\"} 1
onyxfall_rollout_weight{service=\"svc\",version=\"v2\"} 14.100
onyxfall_rollout_answers{service=\"svc\",version=\"v2\",route=\"r\",side=\"new\"} 60
onyxfall_rollout_failures{service=\"svc\",version=\"v2\",route=\"r\",side=\"new\"} not a number
onyxfall_rollout_answers{service=\"svc\"
";

#[test]
fn phases_of_all_vms_and_the_maximum_counts_are_shown() {
    let mut report = VersionReport::default();
    assert!(report.is_empty());
    report.read("10.0.0.1:9", FIRST);
    report.read("10.0.0.2:9", SECOND);
    expect![[r"
        svc to v2, weight 14.1
          rolled-back (failures): 10.0.0.2:9
          sampling: 10.0.0.1:9
          r                        new        60 answers        3 failures      4 slow x2
          r                        old       950 answers        0 failures
    "]]
    .assert_eq(&report.to_string());
}
