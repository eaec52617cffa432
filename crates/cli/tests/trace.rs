//! Tests of `cypressfork trace` and of the parsing of log lines.

#![allow(missing_docs)]

use std::fs;
use std::path::Path;

use cypressfork_cli::cmd;
use cypressfork_cli::line::Line;
use rstest::rstest;
use serde_json::Value;
use tempfile::TempDir;

#[rstest]
#[case::json(r#"{"ms":5,"level":"INFO","event":420,"text":"t","id":"r-1"}"#, Some((5, Some(420))))]
#[case::json_without_an_event(r#"{"ms":5,"text":"t"}"#, Some((5, None)))]
#[case::plain("5 INFO CFE420 a request is refused id=r-1", Some((5, Some(420))))]
#[case::plain_without_an_event("5 INFO something", Some((5, None)))]
#[case::cut_short(r#"{"ms":5,"level":"IN"#, None)]
#[case::no_time(r#"{"level":"INFO"}"#, None)]
#[case::a_panic("thread 'main' panicked at src/main.rs:1", None)]
#[case::nothing("", None)]
fn log_lines_are_read(#[case] text: &str, #[case] expected: Option<(u64, Option<u16>)>) {
    assert_eq!(Line::parse(text).map(|l| (l.ms, l.event)), expected);
}

#[rstest]
#[case::json(r#"{"ms":5,"id":"r-1"}"#, true)]
#[case::a_longer_id(r#"{"ms":5,"id":"r-10"}"#, false)]
#[case::within_another_value(r#"{"ms":5,"why":"not r-1"}"#, false)]
#[case::plain("5 INFO CFE420 refused id=r-1 code=1203", true)]
#[case::plain_a_longer_id("5 INFO CFE420 refused id=r-10 code=1203", false)]
fn a_line_names_whole_ids(#[case] text: &str, #[case] names: bool) {
    assert_eq!(Line::parse(text).unwrap().mentions("r-1"), names);
}

fn log(dir: &Path, name: &str, text: &str) -> String {
    let path = dir.join(name);
    fs::write(&path, text).unwrap();
    path.display().to_string()
}

fn trace(args: &[&str]) -> Result<String, String> {
    let args: Vec<String> = ["trace"].iter().chain(args).map(|a| (*a).to_owned()).collect();
    cmd::run(&args).map_err(|e| e.to_string())
}

/// Logs of two gateways that handled the same request. The first had lost its connection to the control group.
const FIRST: &str = r#"{"ms":1,"level":"INFO","event":101,"text":"the process serves"}
{"ms":50000,"level":"WARN","event":403,"text":"the control group is out of reach"}
{"ms":50500,"level":"INFO","event":420,"text":"a request is refused","id":"r-0"}
{"ms":51000,"level":"INFO","event":420,"text":"a request is refused","id":"r-1","code":"1203"}
thread panicked
{"ms":52000,"level":"INFO","event":404,"text":"the control group is in reach again"}
"#;
const SECOND: &str = "51500 INFO CFE420 a request is refused or fails id=r-1 code=1306\n";

#[test]
fn lines_of_several_logs_come_in_order() {
    let dir = TempDir::new().unwrap();
    let (a, b) = (log(dir.path(), "a.log", FIRST), log(dir.path(), "b.log", SECOND));
    let text = trace(&["r-1", &b, &a]).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 3, "{text}");
    assert!(lines[0].starts_with("  ") && lines[0].contains("\"event\":403"));
    assert!(lines[1].starts_with("* ") && lines[1].contains("\"code\":\"1203\""));
    assert!(lines[2].starts_with("* ") && lines[2].contains("code=1306"));
    let json: Value = serde_json::from_str(&trace(&["r-1", &a, &b, "--json"]).unwrap()).unwrap();
    assert_eq!(json[2]["ms"], 51_500);
    assert_eq!(json[0]["own"], false);
}

#[test]
fn only_the_last_lines_before_a_request_are_shown() {
    let dir = TempDir::new().unwrap();
    let many: String = (0..50).map(|n| format!("{} INFO CFE317 changed\n", 1_000 + n)).collect();
    let a = log(dir.path(), "a.log", &format!("{many}1100 INFO CFE420 refused id=r-1\n"));
    assert_eq!(trace(&["r-1", &a]).unwrap().lines().count(), 9);
}

#[rstest]
#[case::no_id(&[], "CF3006: the request's id is missing")]
#[case::no_log(&["r-1"], "CF3006: a log to read is missing")]
#[case::no_such_log(&["r-1", "/nowhere/a.log"], "CF3002: could not read /nowhere/a.log")]
fn invalid_arguments_are_reported(#[case] args: &[&str], #[case] expected: &str) {
    let e = trace(args).unwrap_err();
    assert!(e.starts_with(expected), "{e}");
}

#[test]
fn a_request_that_no_log_names_is_an_error() {
    let dir = TempDir::new().unwrap();
    let a = log(dir.path(), "a.log", FIRST);
    assert_eq!(trace(&["r-9", &a]).unwrap_err(), "CF3006: no log names the request 'r-9'");
}
