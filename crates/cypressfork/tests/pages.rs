//! Tests that the pages listing codes, events, metrics, settings and tests match the code.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

use cypressfork_control::dialect::Dialect;
use cypressfork_control::listener::{Listener, Route};
use cypressfork_control::native::Native;
use cypressfork_core::code::Code;
use cypressfork_http::operators::METRICS_LISTENER_PATHS;
use cypressfork_node::event::Event;
use cypressfork_node::metric::{self, Metric};
use cypressfork_router::gateway::run::OPERATOR_PATHS;

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

/// Returns the calls of a listener as in the table of listeners.
fn calls(name: &str, calls: impl Iterator<Item = String>) -> Vec<(String, String)> {
    calls.map(|c| (name.to_owned(), format!("`{c}`"))).collect()
}

/// Guards against a listener that takes calls which the page for operators does not tell.
#[test]
fn every_call_of_a_listener_is_listed() {
    let routes = |l: Listener| Native::ROUTES.iter().filter(move |r| l.takes(r.kind));
    let gets = |paths: &'static [&str]| paths.iter().map(|p| format!("GET {p}"));
    let expected = [
        calls("control", routes(Listener::Control).map(Route::to_string)),
        calls("directory", routes(Listener::Directory).map(Route::to_string)),
        calls("metrics", gets(&METRICS_LISTENER_PATHS)),
        calls("ready", gets(&OPERATOR_PATHS)),
    ]
    .concat();
    let text = page("OPERATIONS.md");
    let section = text.split("\n## Listeners\n").nth(1).unwrap().split("\n## ").next().unwrap();
    let cells = |l: &str| l.split('|').map(|c| c.trim().to_owned()).collect::<Vec<_>>();
    let rows = section.lines().filter(|l| l.starts_with("| ")).map(cells);
    // The rows of the other listeners and the rest of the ready listener name no fixed path.
    let is_fixed =
        |c: &Vec<String>| c[3].starts_with('`') && c[3].ends_with('`') && c[3].contains('/');
    let listed: Vec<_> = rows.filter(is_fixed).map(|c| (c[1].clone(), c[3].clone())).collect();
    assert_eq!(listed, expected);
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
