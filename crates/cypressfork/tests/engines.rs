//! Engines and plain services that do wrong: whole answers or clear errors, and never more charged
//! than was reserved.

mod support;

use rstest::rstest;
use support::{Fleet, Plan, ask};

fn fleet(fault: &'static str) -> Fleet {
    Fleet::start(Plan {
        routers: 1,
        engines: vec![vec!["--fault", fault]],
        boards: vec![vec!["--fault", fault]],
        ..Plan::default()
    })
}

/// Each row: the fault, the code that the caller gets, what is charged at least and at most.
/// A request reserves the prompt's bound and 8 tokens.
#[rstest]
#[case::sends_more_than_asked("overrun", "CF1306", 3 + 8, 3 + 8)]
#[case::breaks_the_stream("break", "CF1306", 3 + 3, 3 + 3)]
#[case::mixes_another_answer_in("cross", "CF1306", 3 + 2, 3 + 2)]
fn a_wrong_answer_is_an_error(
    #[case] fault: &'static str,
    #[case] code: &str,
    #[case] least: u64,
    #[case] most: u64,
) {
    let f = fleet(fault);
    let a = f.chat(0).send(&ask(false, 8));
    assert_eq!(a.code(), code, "{}", a.body);
    assert_eq!(a.json()["error"]["ran"], "unknown");
    let streamed = f.chat(0).send(&ask(true, 8));
    assert!(!streamed.body.contains("[DONE]"), "{}", streamed.body);
    assert!(streamed.body.contains(code), "{}", streamed.body);
    support::until("both bills", || f.budget()["total"]["requests"] == 2);
    let spent = f.budget()["spent"].as_u64().unwrap();
    assert!((2 * least..=2 * most).contains(&spent), "{spent}");
}

/// An engine that refuses by its status has used nothing up: nothing is charged.
#[test]
fn a_busy_engine_costs_nothing() {
    let f = fleet("busy");
    let a = f.chat(0).send(&ask(false, 8));
    assert_eq!(a.code(), "CF1306", "{}", a.body);
    assert_eq!(a.json()["error"]["ran"], "unknown", "its bytes were sent");
    assert!(a.header("retry-after").is_some());
    f.until_spent(0);
    assert_eq!(f.budget()["total"]["requests"], 0);
}

/// Each row: the fault and what is charged for a whole answer of 8 tokens. Without a count the
/// bytes of the text bound it; a count below the events seen is not believed.
#[rstest]
#[case::reports_no_usage("silent", 8)]
#[case::reports_too_little("undercount", 8)]
fn a_wrong_count_is_charged_safely(#[case] fault: &'static str, #[case] output: u64) {
    let f = fleet(fault);
    let a = f.chat(0).send(&ask(false, 8));
    assert_eq!(a.status, 200);
    let usage = a.json()["usage"].clone();
    assert_eq!(usage["completion_tokens"], output);
    assert!(usage["prompt_tokens"].as_u64().unwrap() >= 3);
    f.until_spent(usage["total_tokens"].as_u64().unwrap());
    assert!(f.routers[0].log().contains("CFE408"));
}

/// An engine that accepts and never answers: the caller hears at its deadline, not later, and the
/// prompt counts as used.
#[test]
fn a_mute_engine_ends_at_the_deadline() {
    let f = fleet("mute");
    let a = f.chat(0).header("x-deadline-ms", "300").send(&ask(false, 8));
    assert_eq!((a.status, a.code().as_str()), (504, "CF1302"), "{}", a.body);
    assert_eq!(a.json()["error"]["ran"], "unknown");
    assert!(a.json()["error"]["retry_after_ms"].is_u64());
}

/// A plain service that accepts a call marked not repeatable and never answers: it ran at most
/// once, and that is what every copy is told.
#[test]
fn a_mute_service_leaves_an_unknown_outcome_that_is_not_run_again() {
    let f = fleet("mute");
    let send = || {
        f.call(0)
            .header("x-not-repeatable", "true")
            .header("idempotency-key", "m1")
            .header("x-deadline-ms", "300")
            .send("e2e4")
    };
    let first = send();
    assert_eq!(first.code(), "CF1302", "{}", first.body);
    assert_eq!(first.json()["error"]["ran"], "unknown");
    support::until("the outcome", || {
        let a = send();
        assert_ne!(a.status, 200);
        a.code() == "CF1403"
    });
    assert_eq!(f.board_runs(0)["m1"], 1);
}

/// Nothing listens: the request has provably not run, and the id is free for the next try.
#[test]
fn a_refused_connection_is_not_run() {
    let mut f = fleet("");
    f.boards[0].0.kill();
    f.engines[0].0.kill();
    let a = f.call(0).header("x-not-repeatable", "true").header("idempotency-key", "m1").send("x");
    assert_eq!((a.status, a.code().as_str()), (503, "CF1303"), "{}", a.body);
    assert_eq!(a.json()["error"]["ran"], "no");
    let a = f.chat(0).send(&ask(false, 8));
    assert_eq!((a.status, a.code().as_str()), (503, "CF1303"), "{}", a.body);
    assert_eq!(a.json()["error"]["ran"], "no");
    assert!(a.header("retry-after").is_some());
    f.until_spent(0);
}
