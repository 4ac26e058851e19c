//! Tests of the comparison of predicted with measured times from logs.

use expect_test::expect;
use onyxfall_operator::PredictionReport;

const LOG: &str = r#"
  1.0 vm1 {"message":"request ended","route":"a","region":"r1","reason":"owner","outcome":"served","sent_ms":10,"predicted_ms":100,"predicted_end_ms":1000,"first_ms":110,"age_ms":1510}
  1.1 vm1 {"message":"request ended","route":"a","region":"r1","reason":"earliest","outcome":"broken off","sent_ms":0,"predicted_ms":100,"predicted_end_ms":1000,"first_ms":300,"age_ms":400}
  1.2 vm1 {"message":"request ended","route":"a","region":"r1","reason":"away","outcome":"served","sent_ms":0,"predicted_ms":200,"predicted_end_ms":200,"first_ms":100,"age_ms":100}
not a line of a program
{"message":"request refused","route":"a","predicted_ms":100}
{"message":"request ended","route":"a","resumes":1,"sent_ms":0,"predicted_ms":1,"first_ms":900}
{"message":"request ended","route":"a","sent_ms":0,"predicted_ms":0,"first_ms":900}
{"message":"request ended","route":"a"}
"#;

#[test]
fn ratios_are_reported_by_route_and_place() {
    let mut report = PredictionReport::default();
    report.read(LOG.as_bytes()).unwrap();
    expect![[r"
        route            place                    requests     first p50 p90 p99       end p50 p90 p99
        a                r1, away                        1    0.50   0.50   0.50      -      -      -
        a                r1, home                        2    3.00   3.00   3.00   1.50   1.50   1.50
    "]]
    .assert_eq(&report.to_string());
}

#[test]
fn logs_without_predictions_give_an_empty_report() {
    let mut report = PredictionReport::default();
    report.read(&b"\xff\xfe nothing\n{}"[..]).unwrap();
    assert!(report.is_empty());
}

#[test]
fn a_plot_is_written() {
    let mut report = PredictionReport::default();
    report.read(LOG.as_bytes()).unwrap();
    let dir = std::env::temp_dir();
    let path = dir.join(format!("onyxfall-predictions-{}.svg", std::process::id()));
    report.plot(&path).unwrap();
    let text = std::fs::read_to_string(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    assert!(text.starts_with("<svg") && text.contains("polyline"));
    assert!(
        text.contains("a (r1, home)"),
        "the legend does not name the curve"
    );
}
