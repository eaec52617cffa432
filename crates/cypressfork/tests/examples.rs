//! Checks the example deployments: the documents pass `cypressfork check`, and each daemon accepts its
//! settings.

mod support;

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;

use rstest::rstest;
use support::program;

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name)
}

#[rstest]
fn the_documents_pass_the_check(#[values("kellaway", "asante")] name: &str) {
    let out = Command::new(program("cypressfork"))
        .arg("check")
        .args([example(name).join("templates.yaml"), example(name).join("applications.yaml")])
        .output()
        .unwrap();
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
}

/// Guards against invalid example settings; the paths of folders and key are replaced by temporary ones.
#[rstest]
fn every_settings_file_is_valid(#[values("kellaway", "asante")] name: &str) {
    let dir = tempfile::tempdir().unwrap();
    let key = dir.path().join("cluster.key");
    fs::write(&key, "0123456789abcdef0123456789abcdef").unwrap();
    fs::set_permissions(&key, fs::Permissions::from_mode(0o600)).unwrap();
    let mut checked = 0;
    for f in fs::read_dir(example(name)).unwrap() {
        let path = f.unwrap().path();
        let file = path.file_name().unwrap().to_str().unwrap().to_owned();
        let Some((daemon, _)) = file.split_once('-') else { continue };
        let text = fs::read_to_string(&path).unwrap();
        assert!(text.contains("/etc/cypressfork/cluster.key"));
        let text = text
            .replace("/etc/cypressfork/cluster.key", key.to_str().unwrap())
            .replace("/var/lib/cypressfork", dir.path().to_str().unwrap());
        let copy = dir.path().join(&file);
        fs::write(&copy, text).unwrap();
        let out =
            Command::new(program(daemon)).arg("--settings").arg(&copy).arg("--check").output();
        let out = out.unwrap();
        assert!(out.status.success(), "{file}: {}", String::from_utf8_lossy(&out.stderr));
        checked += 1;
    }
    assert!(checked >= 10, "{checked}");
}

/// Guards against a template error that is reported without its code and place.
#[rstest]
#[case::unknown_field("max_output", "max_outputs", &["CF2006", "services/engine-talk", "max_outputs"])]
#[case::unknown_kind("budgets:", "bugdets:", &["CF2006", "bugdets"])]
#[case::undeclared("\"${tokens}\"", "\"${tokenz}\"", &["CF2003", "tokenz"])]
#[case::open_placeholder("\"${tokens}\"", "\"${tokens\"", &["CF2006"])]
#[case::not_yaml("templates:", "templates: [", &["CF3002", "templates.yaml"])]
fn a_template_error_is_reported(#[case] from: &str, #[case] to: &str, #[case] expected: &[&str]) {
    let dir = tempfile::tempdir().unwrap();
    let text = fs::read_to_string(example("kellaway").join("templates.yaml")).unwrap();
    assert!(text.contains(from));
    let path = dir.path().join("templates.yaml");
    fs::write(&path, text.replacen(from, to, 1)).unwrap();
    let out = Command::new(program("cypressfork"))
        .arg("check")
        .args([path, example("kellaway").join("applications.yaml")])
        .output()
        .unwrap();
    let err = String::from_utf8_lossy(&out.stderr);
    assert_eq!(out.status.code(), Some(2), "{err}");
    for word in expected {
        assert!(err.contains(word), "'{word}' is missing in: {err}");
    }
}
