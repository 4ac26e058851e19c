//! The story of a request, from the logs of several processes.

use expect_test::expect;
use onyxfall_operator::RequestStory;

const NEAR: &str = r#"
{"time_ms":1000,"message":"sent away","request":"a","target":"vm2","local_ms":900}
{"time_ms":1001,"message":"request ended","request":"b"}
not a line of a program
{"module":"log","left_out":3}
{"time_ms":1500,"message":"request ended","request":"a","target":"vm2","outcome":"served"}
"#;
const FAR: &str = r#"{"time_ms":1400,"message":"attempt failed","request":"a","cause":"no connection","level":"info"}"#;

#[test]
fn lines_of_one_request_are_told_in_order() {
    let mut story = RequestStory::default();
    story.read("vm1.log", "a", NEAR.as_bytes()).unwrap();
    story.read("vm2.log", "a", FAR.as_bytes()).unwrap();
    expect![[r#"
        +0 ms vm1.log: sent away local_ms=900 target=vm2
        +400 ms vm2.log: attempt failed cause="no connection"
        +500 ms vm1.log: request ended outcome=served target=vm2
        the logs left out 3 lines for volume
    "#]]
    .assert_eq(&story.to_string());
}

#[test]
fn a_collectors_prefix_names_the_process() {
    let mut story = RequestStory::default();
    let line = r#"  5.5 vm7 {"time_ms":1,"message":"request ended","request":"a"}"#;
    story.read("-", "a", line.as_bytes()).unwrap();
    assert_eq!(story.to_string(), "+0 ms vm7: request ended\n");
}

#[test]
fn a_request_that_no_line_names_has_no_story() {
    let mut story = RequestStory::default();
    story.read("vm1.log", "zzz", NEAR.as_bytes()).unwrap();
    assert!(story.is_empty());
    assert_eq!(story.left_out(), 3);
}
