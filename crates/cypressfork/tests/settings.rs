//! Tests that invalid settings stop real processes with a numbered error.

mod support;

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::process::Command;

use rstest::rstest;
use support::program;

const COMMON: &str = "common:
  cluster: test
  region: tas-north
  data_centre: tamar-a
  vm: entry-1
  key_file: DIR/cluster.key
  control: [\"127.0.0.1:7001\"]
";

/// Returns valid settings for a daemon; `DIR` stands for its folder.
fn settings(daemon: &str) -> String {
    let own = match daemon {
        "control" => "listen: \"127.0.0.1:7001\"\ndata_folder: DIR/data\n",
        _ => "listen: \"127.0.0.1:8001\"\noperators: \"127.0.0.1:8002\"\n",
    };
    format!("{COMMON}{own}")
}

/// Runs `--check` on settings in a file; returns the exit code and the error output.
fn check(daemon: &str, text: &str, key_mode: u32) -> (i32, String) {
    let dir = tempfile::tempdir().unwrap();
    let here = dir.path().to_str().unwrap();
    fs::create_dir(dir.path().join("data")).unwrap();
    let key = dir.path().join("cluster.key");
    fs::write(&key, "0123456789abcdef0123456789abcdef").unwrap();
    fs::set_permissions(&key, fs::Permissions::from_mode(key_mode)).unwrap();
    let file = dir.path().join("settings.yaml");
    fs::write(&file, text.replace("DIR", here)).unwrap();
    run(daemon, &file)
}

/// Runs `--check` on a settings file; returns the exit code and the error output.
fn run(daemon: &str, file: &Path) -> (i32, String) {
    let out = Command::new(program(daemon)).arg("--settings").arg(file).arg("--check").output();
    let out = out.unwrap();
    (out.status.code().unwrap(), String::from_utf8(out.stderr).unwrap())
}

#[rstest]
fn a_good_file_passes(#[values("control", "router")] daemon: &str) {
    assert_eq!(check(daemon, &settings(daemon), 0o600), (0, String::new()));
}

/// Guards against callers that reach the calls of operators because two settings happen to be the same. Each case has the
/// port of `entry`, a setting, and the words of the error; none if the settings are accepted.
#[rstest]
#[case::one_address("7002", "", &["CF3003", "fleet.entry", "127.0.0.1:7002", "fleet.shared_address"])]
#[case::one_address_by_choice("7002", "  shared_address: true\n", &[])]
#[case::two_addresses("7003", "  shared_address: false\n", &[])]
#[case::two_addresses_called_one("7003", "  shared_address: true\n", &["CF3003", "fleet.shared_address", "fleet.entry"])]
fn one_address_for_operators_and_callers_must_be_chosen(
    #[case] port: &str,
    #[case] setting: &str,
    #[case] expected: &[&str],
) {
    let fleet = format!("fleet:\n  listen: 127.0.0.1:7002\n  entry: 127.0.0.1:{port}\n{setting}");
    let (code, text) = check("control", &(settings("control") + &fleet), 0o600);
    assert_eq!(code, if expected.is_empty() { 0 } else { 78 }, "{text}");
    assert!(expected.iter().all(|w| text.contains(w)), "{text}");
}

/// Guards against errors that do not name the invalid setting. Each case has the daemon, the text to replace in a
/// valid file, the replacement, and the words that the error must contain.
#[rstest]
#[case::unknown_key("router", "listen:", "lissten:", &["CF3002", "lissten", "expected one of"])]
#[case::missing_key("router", "  vm: entry-1\n", "", &["CF3002", "vm"])]
#[case::not_yaml("control", "listen:", "listen: [", &["CF3002"])]
#[case::bad_address("router", "127.0.0.1:8001", "entry.example", &["CF3003", "listen", "entry.example", "IP address and a port"])]
#[case::bad_control("control", "[\"127.0.0.1:7001\"]", "[\"here\"]", &["CF3003", "common.control", "here"])]
#[case::no_control("router", "[\"127.0.0.1:7001\"]", "[]", &["CF3003", "common.control", "at least one"])]
#[case::missing_folder("control", "DIR/data", "DIR/none", &["CF3003", "data_folder", "none", "folder that exists"])]
#[case::number_too_small("control", "listen:", "heartbeat_ms: 1\nlisten:", &["CF3003", "heartbeat_ms", "'1'", "from 5 to 10000"])]
#[case::election_too_short("control", "listen:", "election_ms: 10\nlisten:", &["CF3003", "election_ms", "from 300"])]
#[case::not_a_number("router", "listen:", "body_cap: many\nlisten:", &["CF3002", "body_cap", "many"])]
#[case::bad_name("router", "vm: entry-1", "vm: \"entry 1\"", &["CF3003", "common.vm", "entry 1", "letters"])]
#[case::bad_level("router", "  vm:", "  log_level: loud\n  vm:", &["CF3003", "common.log_level", "loud", "debug"])]
#[case::missing_secret("router", "DIR/cluster.key", "DIR/other.key", &["CF3003", "common.key_file", "other.key"])]
fn a_bad_value_is_named(
    #[case] daemon: &str,
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: &[&str],
) {
    let good = settings(daemon);
    assert!(good.contains(from));
    let (code, text) = check(daemon, &good.replacen(from, to, 1), 0o600);
    assert_eq!(code, 78, "{text}");
    for word in expected {
        assert!(text.contains(word), "'{word}' is missing in: {text}");
    }
}

#[rstest]
fn a_secret_that_others_can_read_is_refused(#[values("control", "router")] daemon: &str) {
    let (code, text) = check(daemon, &settings(daemon), 0o644);
    assert_eq!(code, 78);
    assert!(text.contains("CF3004") && text.contains("chmod 600"), "{text}");
}

#[rstest]
fn a_missing_file_is_named(#[values("control", "router")] daemon: &str) {
    let (code, text) = run(daemon, Path::new("/nonexistent/settings.yaml"));
    assert_eq!(code, 78);
    assert!(text.contains("CF3001") && text.contains("/nonexistent/settings.yaml"), "{text}");
}

#[rstest]
#[case::nothing(&[], "--settings")]
#[case::unknown_option(&["--lissten"], "lissten")]
#[case::extra_word(&["--settings", "x", "serve"], "serve")]
fn a_bad_command_line_is_refused(#[case] args: &[&str], #[case] expected: &str) {
    let out = Command::new(program("router")).args(args).output().unwrap();
    let text = String::from_utf8(out.stderr).unwrap();
    assert_eq!(out.status.code(), Some(64));
    assert!(text.contains("CF3006") && text.contains(expected), "{text}");
}
