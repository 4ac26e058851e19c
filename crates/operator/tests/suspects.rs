//! The report of what gateways refuse because servers crash under it.

use expect_test::expect;
use onyxfall_operator::SuspectReport;

const PART: &str = "kind=\"part\",service=\"models\",team=\"red\",id=\"91bd\"";
const REQUEST: &str = "kind=\"request\",id=\"00ff\"";

#[test]
fn suspects_of_several_vms_are_merged() {
    let mut report = SuspectReport::default();
    let first = format!(
        "onyxfall_suspect_seconds_left{{{PART}}} 593\n\
         onyxfall_suspect_crashes{{{PART}}} 3\n\
         onyxfall_suspect_together{{{PART}}} 0\n"
    );
    let second = format!(
        "onyxfall_suspect_seconds_left{{{PART}}} 594\n\
         onyxfall_suspect_crashes{{{PART}}} 4\n\
         onyxfall_suspect_seconds_left{{{REQUEST}}} 0\n\
         onyxfall_suspect_crashes{{{REQUEST}}} 3\n\
         onyxfall_suspect_together{{{REQUEST}}} 2\n"
    );
    report.read("vm1", &first);
    report.read("vm2", &second);
    expect![[r"
        part 91bd of prompts to models, team red: 4 servers crashed, refused for 594 s (vm1 vm2)
        request 00ff: 3 servers crashed, tested by one request at a time, on the same servers as 2 others (vm2)
    "]]
    .assert_eq(&report.to_string());
}

struct LineCase {
    name: &'static str,
    line: &'static str,
}

#[test]
fn malformed_lines_are_left_out() {
    let cases = [
        LineCase {
            name: "another metric",
            line: "onyxfall_lost_runs_total 3",
        },
        LineCase {
            name: "no labels",
            line: "onyxfall_suspect_crashes 3",
        },
        LineCase {
            name: "no value",
            line: "onyxfall_suspect_crashes{kind=\"request\",id=\"00ff\"} ",
        },
        LineCase {
            name: "an unknown kind",
            line: "onyxfall_suspect_crashes{kind=\"adapter\",id=\"00ff\"} 3",
        },
        LineCase {
            name: "a part without a service",
            line: "onyxfall_suspect_crashes{kind=\"part\",id=\"91bd\"} 3",
        },
    ];
    for case in cases {
        let mut report = SuspectReport::default();
        report.read("vm1", case.line);
        assert!(report.is_empty(), "{}", case.name);
    }
}
