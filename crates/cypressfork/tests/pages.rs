//! Tests that the pages listing codes, events, metrics, settings and tests match the code.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

use cypressfork_core::code::Code;
use cypressfork_node::event::Event;
use cypressfork_node::metric::{self, Metric};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page(name: &str) -> String {
    fs::read_to_string(root().join("docs").join(name)).unwrap()
}

#[test]
fn every_result_code_is_listed() {
    let rows: Vec<String> = Code::ALL
        .iter()
        .map(|c| {
            let status = if c.status() == 0 { "-".to_owned() } else { c.status().to_string() };
            format!("| CF{} | {status} | `{}` | {} |", c.number(), c.kind(), c.text())
        })
        .collect();
    let text = page("RESULT-CODES.md");
    let listed: Vec<&str> = text.lines().filter(|l| l.starts_with("| CF")).collect();
    assert_eq!(listed, rows, "the table should be:\n{}", rows.join("\n"));
}

#[test]
fn every_event_is_listed() {
    let rows: Vec<String> = Event::ALL
        .iter()
        .map(|e| {
            format!("| CFE{} | {} | {} |", e.number(), e.level().as_str().to_lowercase(), e.text())
        })
        .collect();
    let text = page("EVENTS.md");
    let listed: Vec<&str> = text.lines().filter(|l| l.starts_with("| CFE")).collect();
    assert_eq!(listed, rows, "the table should be:\n{}", rows.join("\n"));
}

#[test]
fn every_metric_is_listed() {
    let row = |m: &Metric| {
        let labels = if m.labels.is_empty() { "-" } else { m.labels };
        format!("| `{}` | {} | {labels} | {} |", m.name, m.kind, m.about)
    };
    let rows: Vec<String> = metric::ALL.iter().map(row).collect();
    let text = page("METRICS.md");
    let listed: Vec<&str> = text.lines().filter(|l| l.starts_with("| `")).collect();
    assert_eq!(listed, rows, "the table should be:\n{}", rows.join("\n"));
}

#[test]
fn numbers_are_unique_and_ascending() {
    let codes: Vec<_> = Code::ALL.iter().map(|c| c.number()).collect();
    let events: Vec<_> = Event::ALL.iter().map(|e| e.number()).collect();
    assert!(codes.is_sorted_by(|a, b| a < b), "{codes:?}");
    assert!(events.is_sorted_by(|a, b| a < b), "{events:?}");
}

/// Returns the names of the functions in `tests/` of every crate, including the platform's.
fn test_functions() -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    let crates = fs::read_dir(root().join("crates")).unwrap().map(|c| c.unwrap().path());
    for c in crates.chain([root().join("platform")]) {
        let Ok(files) = fs::read_dir(c.join("tests")) else { continue };
        for f in
            files.map(|f| f.unwrap().path()).filter(|p| p.extension().is_some_and(|e| e == "rs"))
        {
            let text = fs::read_to_string(f).unwrap();
            let fns = text.lines().filter_map(|l| l.trim().strip_prefix("fn "));
            names.extend(fns.filter_map(|l| l.split(['(', '<']).next()).map(str::to_owned));
        }
    }
    names
}

#[test]
fn every_test_named_as_a_proof_exists() {
    let known = test_functions();
    let text = page("PROOFS.md");
    let rows = text.lines().filter(|l| l.starts_with("| ") && l.contains('`'));
    let mut checked = 0;
    for row in rows {
        // The third column holds the tests; a case is written as test::case.
        let cell = row.split('|').nth(3).unwrap_or_default();
        for name in cell.split('`').skip(1).step_by(2) {
            let name = name.split("::").next().unwrap_or_default();
            assert!(
                known.contains(name),
                "docs/PROOFS.md names a test that does not exist: {name}"
            );
            checked += 1;
        }
    }
    assert!(checked > 0);
}

/// Returns the field names of a settings struct, read from its source.
fn field_names(file: &str, structure: &str) -> Vec<String> {
    let text = fs::read_to_string(root().join("crates").join(file)).unwrap();
    let body = text.split(&format!("pub struct {structure} {{")).nth(1).unwrap();
    let body = body.split("\n}").next().unwrap();
    let fields = body.lines().filter_map(|l| l.trim().strip_prefix("pub "));
    fields.map(|l| l.split(':').next().unwrap().to_owned()).collect()
}

#[test]
fn every_setting_is_listed() {
    let text = page("SETTINGS.md");
    let sections: Vec<&str> = text.split("\n## ").skip(1).collect();
    let sources = [
        ("node/src/settings.rs", "Common"),
        ("control/src/settings.rs", "File"),
        ("control/src/settings.rs", "FleetFile"),
        ("router/src/settings.rs", "File"),
        ("router/src/gateway/settings.rs", "File"),
        ("cli/src/settings.rs", "File"),
    ];
    assert_eq!(sections.len(), sources.len());
    for (section, (file, structure)) in sections.iter().zip(sources) {
        let rows = section.lines().filter_map(|l| l.strip_prefix("| `"));
        let listed: Vec<_> = rows.map(|l| l.split('`').next().unwrap().to_owned()).collect();
        assert_eq!(listed, field_names(file, structure), "{file}");
    }
}

/// Guards against shipped completions and a manual page that differ from what the command line prints.
#[test]
fn completions_and_manual_are_shipped() {
    let files = [
        (vec!["completions", "bash"], "cypressfork.bash"),
        (vec!["completions", "zsh"], "_cypressfork"),
        (vec!["completions", "fish"], "cypressfork.fish"),
        (vec!["manual"], "cypressfork.1"),
    ];
    for (args, file) in files {
        let out = Command::new(env!("CARGO_BIN_EXE_cypressfork")).args(&args).output().unwrap();
        let text = String::from_utf8(out.stdout).unwrap();
        let path = root().join("share").join(file);
        assert!(fs::read_to_string(path).unwrap() == text, "share/{file} should be:\n{text}");
    }
}
