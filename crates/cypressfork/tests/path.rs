//! Tests the full request path with real processes: requests are served, billed exactly and not run twice.

mod support;

use std::io::BufRead;
use std::path::Path;
use std::process::Command;

use support::{Fleet, Plan, chat_body, get_json, program};

/// Tokens of the prompt of [`chat_body`].
const PROMPT_TOKENS: u64 = 3;

#[test]
fn a_streamed_answer_is_whole_and_billed_exactly() {
    let f = Fleet::start(Plan { tokens: 10_000, ..Plan::default() });
    let entry = get_json(&format!("http://{}/v1/entry", f.router_addresses[1])).unwrap();
    let addresses: Vec<_> = entry["addresses"]
        .as_array()
        .unwrap()
        .iter()
        .map(|a| a["address"].as_str().unwrap())
        .collect();
    assert_eq!(addresses.len(), 2);
    assert_eq!(addresses[0], f.router_addresses[1], "the caller's own data centre comes first");
    let (status, _, reader) =
        f.chat(0).header("idempotency-key", "game-1").open(&chat_body(true, 8));
    let lines: Vec<String> = reader.lines().map(Result::unwrap).collect();
    assert_eq!(status, 200);
    assert_eq!(lines.iter().filter(|l| l.starts_with("data: {")).count(), 8);
    assert_eq!(lines.iter().rfind(|l| !l.is_empty()).unwrap(), "data: [DONE]");
    f.wait_until_spent(PROMPT_TOKENS + 8);
    let bill = f.json(&["bill", "club", "game-1"]);
    assert_eq!(
        (&bill["prompt"], &bill["output"], &bill["whole"]),
        (&3.into(), &8.into(), &true.into())
    );
}

#[test]
fn a_request_without_streaming_gets_one_object() {
    let f = Fleet::start(Plan::default());
    let a = f.chat(0).send(&chat_body(false, 4));
    assert_eq!(a.status, 200, "{}", a.body);
    let v = a.json();
    assert_eq!(v["choices"][0]["message"]["content"], "w1 w2 w3 w4 ");
    assert_eq!(v["usage"]["total_tokens"], PROMPT_TOKENS + 4);
    f.wait_until_spent(PROMPT_TOKENS + 4);
}

#[test]
fn a_call_marked_not_repeatable_runs_once() {
    let f = Fleet::start(Plan::default());
    let send = |router: usize, body: &str| {
        f.call(router)
            .header("idempotency-key", "move-1")
            .header("x-not-repeatable", "true")
            .send(body)
    };
    let first = send(0, "e2e4");
    assert_eq!(first.json()["run"], 1);
    let retry = send(1, "e2e4");
    assert_eq!(retry.body, first.body, "a retry through another router gets the recorded response");
    let changed = send(1, "d2d4");
    assert_eq!((changed.status, changed.code().as_str()), (422, "CF1404"));
    assert_eq!(f.board_runs(0)["move-1"], 1);
}

#[test]
fn the_quick_start_passes() {
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scripts/quickstart.sh");
    let bin = Path::new(program("cypressfork")).parent().unwrap();
    let out = Command::new("bash").arg(script).env("CYPRESSFORK_BIN", bin).output().unwrap();
    let (text, err) = (String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr));
    assert!(out.status.success(), "{text}\n{err}");
}
