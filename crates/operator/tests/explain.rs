//! Tests of the timeline of a request, assembled from the logs of several processes.

use expect_test::expect;
use onyxfall_operator::RequestTimeline;

const HOME_LOG: &str = r#"
{"time_ms":1000,"message":"sent away","request":"a","target":"vm2","local_ms":900}
{"time_ms":1001,"message":"request ended","request":"b"}
not a line of a program
{"module":"log","left_out":3}
{"time_ms":1500,"message":"request ended","request":"a","target":"vm2","outcome":"served"}
"#;
const REMOTE_LOG: &str = r#"{"time_ms":1400,"message":"attempt failed","request":"a","cause":"no connection","level":"info"}"#;

#[test]
fn lines_of_one_request_are_shown_in_order() {
    let mut timeline = RequestTimeline::default();
    timeline.read("vm1.log", "a", HOME_LOG.as_bytes()).unwrap();
    timeline
        .read("vm2.log", "a", REMOTE_LOG.as_bytes())
        .unwrap();
    expect![[r#"
        +0 ms vm1.log: sent away local_ms=900 target=vm2
        +400 ms vm2.log: attempt failed cause="no connection"
        +500 ms vm1.log: request ended outcome=served target=vm2
        the logs left out 3 lines for volume
    "#]]
    .assert_eq(&timeline.to_string());
}

#[test]
fn a_collector_prefix_names_the_process() {
    let mut timeline = RequestTimeline::default();
    let line = r#"  5.5 vm7 {"time_ms":1,"message":"request ended","request":"a"}"#;
    timeline.read("-", "a", line.as_bytes()).unwrap();
    assert_eq!(timeline.to_string(), "+0 ms vm7: request ended\n");
}

#[test]
fn a_request_without_log_lines_has_an_empty_timeline() {
    let mut timeline = RequestTimeline::default();
    timeline
        .read("vm1.log", "zzz", HOME_LOG.as_bytes())
        .unwrap();
    assert!(timeline.is_empty());
    assert_eq!(timeline.left_out(), 3);
}
