//! Faulty engines and plain services: the caller gets a complete answer or an error with a result code, and
//! is charged no more than was reserved.

mod support;

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;

use rstest::rstest;
use support::{Fleet, Plan, chat_body};

fn fleet(fault: &'static str) -> Fleet {
    Fleet::start(Plan {
        routers: 1,
        engines: vec![vec!["--fault", fault]],
        boards: vec![vec!["--fault", fault]],
        ..Plan::default()
    })
}

/// Guards against wrong output that reaches the caller or is charged above the reservation.
///
/// Each case: the fault, the result code, the minimum and maximum charge in tokens. A request reserves an
/// upper bound of its prompt tokens plus 12 output tokens. An attempt ends at the first event of another
/// answer; the request fails after five attempts of two tokens each.
#[rstest]
#[case::sends_more_than_asked("overrun", "CF1306", 3 + 12, 3 + 12)]
#[case::mixes_another_answer_in("cross", "CF1306", 3 + 5 + 7 + 9 + 11 + 10, 3 + 5 + 7 + 9 + 11 + 10)]
fn a_wrong_answer_is_an_error(
    #[case] fault: &'static str,
    #[case] code: &str,
    #[case] least: u64,
    #[case] most: u64,
) {
    let f = fleet(fault);
    let a = f.chat(0).send(&chat_body(false, 12));
    assert_eq!(a.code(), code, "{}", a.body);
    assert_eq!(a.json()["error"]["ran"], "unknown");
    let streamed = f.chat(0).send(&chat_body(true, 12));
    assert!(!streamed.body.contains("[DONE]"), "{}", streamed.body);
    assert!(streamed.body.contains(code), "{}", streamed.body);
    support::wait_for("both bills", || f.budget()["total"]["requests"] == 2);
    let spent = f.budget()["spent"].as_u64().unwrap();
    assert!((2 * least..=2 * most).contains(&spent), "{spent}");
}

/// Returns the text of an answer of `n` tokens.
fn answer_text(n: u64) -> String {
    (1..=n).map(|k| format!("w{k} ")).collect()
}

/// Guards against lost or repeated text when a stream breaks off after every three tokens. Each attempt's
/// prompt contains the text generated before it.
#[test]
fn an_answer_that_breaks_off_three_times_is_whole() {
    let f = fleet("break");
    let a = f.chat(0).send(&chat_body(false, 12));
    assert_eq!(a.status, 200, "{}", a.body);
    assert_eq!(a.json()["choices"][0]["message"]["content"], answer_text(12));
    let prompts = 3 + 6 + 9 + 12;
    assert_eq!(a.json()["usage"]["total_tokens"], prompts + 12);
    f.wait_until_spent(prompts + 12);
    let streamed = f.chat(0).send(&chat_body(true, 12)).body;
    let events = streamed.lines().filter_map(|l| l.strip_prefix("data: {"));
    let text: String = events
        .map(|l| serde_json::from_str::<serde_json::Value>(&format!("{{{l}")).unwrap())
        .map(|v| v["choices"][0]["delta"]["content"].as_str().unwrap().to_owned())
        .collect();
    assert_eq!(text, answer_text(12));
    assert!(streamed.trim_end().ends_with("data: [DONE]"));
    let ids: Vec<u64> =
        streamed.lines().filter_map(|l| l.strip_prefix("id: ")?.parse().ok()).collect();
    assert_eq!(ids, (1..=12).collect::<Vec<_>>(), "event ids continue across the breaks");
    f.wait_until_spent(2 * (prompts + 12));
    assert_eq!(f.budget()["total"]["requests"], 2, "one bill for each request");
}

/// Guards against forwarding an event of another answer to the caller.
#[test]
fn an_event_of_another_answer_is_dropped() {
    let f = fleet("cross");
    let a = f.chat(0).send(&chat_body(false, 8));
    assert_eq!(a.json()["choices"][0]["message"]["content"], answer_text(8));
    let streamed = f.chat(0).send(&chat_body(true, 8)).body;
    assert!(!streamed.contains("gen-of-another"), "{streamed}");
    assert!(streamed.trim_end().ends_with("data: [DONE]"));
}

/// Guards against a truncated answer that looks complete after the last attempt fails.
#[test]
fn an_answer_that_breaks_off_too_often_is_a_clear_error() {
    let f = fleet("break");
    let a = f.chat(0).send(&chat_body(false, 24));
    assert_eq!((a.status, a.code().as_str()), (502, "CF1306"), "{}", a.body);
    f.wait_until_spent(3 + 6 + 9 + 12 + 15 + 15);
    let streamed = f.chat(0).send(&chat_body(true, 24)).body;
    assert!(!streamed.contains("[DONE]") && streamed.contains("CF1306"), "{streamed}");
}

/// Guards against resuming a request marked not repeatable: its engine may have executed it.
#[test]
fn an_interrupted_answer_to_a_not_repeatable_request_is_not_resumed() {
    let f = fleet("break");
    let send = || {
        let r = f.chat(0).header("x-not-repeatable", "true").header("idempotency-key", "g1");
        r.send(&chat_body(false, 8))
    };
    assert_eq!(send().code(), "CF1306");
    support::wait_for("the outcome", || send().code() == "CF1403");
    assert_eq!(f.engine_stats(0)["started"], 1);
}

/// Guards against charging tokens for a request that the engine rejects by its status.
#[test]
fn a_busy_engine_charges_nothing() {
    let f = fleet("busy");
    let a = f.chat(0).send(&chat_body(false, 8));
    assert_eq!(a.code(), "CF1306", "{}", a.body);
    assert_eq!(a.json()["error"]["ran"], "unknown", "the request was sent");
    assert!(a.header("retry-after").is_some());
    f.wait_until_spent(0);
    assert_eq!(f.budget()["total"]["requests"], 0);
}

/// Guards against undercharging when an engine reports no token count or too low a count.
///
/// Each case: the fault and the output tokens charged for a complete answer of 8 tokens.
#[rstest]
#[case::reports_no_usage("silent", 8)]
#[case::reports_too_little("undercount", 8)]
fn a_missing_or_low_count_is_not_undercharged(#[case] fault: &'static str, #[case] output: u64) {
    let f = fleet(fault);
    let a = f.chat(0).send(&chat_body(false, 8));
    assert_eq!(a.status, 200);
    let usage = a.json()["usage"].clone();
    assert_eq!(usage["completion_tokens"], output);
    assert!(usage["prompt_tokens"].as_u64().unwrap() >= 3);
    f.wait_until_spent(usage["total_tokens"].as_u64().unwrap());
    assert!(f.routers[0].log().contains("CFE408"));
}

/// Guards against a caller that waits beyond its deadline for an engine that never answers.
#[test]
fn a_request_to_an_unresponsive_engine_fails_at_its_deadline() {
    let f = fleet("mute");
    let a = f.chat(0).header("x-deadline-ms", "300").send(&chat_body(false, 8));
    assert_eq!((a.status, a.code().as_str()), (504, "CF1302"), "{}", a.body);
    assert_eq!(a.json()["error"]["ran"], "unknown");
    assert!(a.json()["error"]["retry_after_ms"].is_u64());
}

/// Guards against a second run of a call marked not repeatable when its service never answers: every copy
/// gets the unknown outcome.
#[test]
fn a_call_to_an_unresponsive_service_has_an_unknown_outcome_and_is_not_run_again() {
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
    support::wait_for("the outcome", || {
        let a = send();
        assert_ne!(a.status, 200);
        a.code() == "CF1403"
    });
    assert_eq!(f.board_runs(0)["m1"], 1);
}

/// Guards against an unknown outcome where the upstream refuses the connection: the request can't have run.
#[test]
fn a_request_whose_connection_is_refused_is_reported_as_not_run() {
    let mut f = fleet("");
    f.boards[0].0.kill();
    f.engines[0].0.kill();
    let a = f.call(0).header("x-not-repeatable", "true").header("idempotency-key", "m1").send("x");
    assert_eq!((a.status, a.code().as_str()), (503, "CF1303"), "{}", a.body);
    assert_eq!(a.json()["error"]["ran"], "no");
    let a = f.chat(0).send(&chat_body(false, 8));
    assert_eq!((a.status, a.code().as_str()), (503, "CF1303"), "{}", a.body);
    assert_eq!(a.json()["error"]["ran"], "no");
    assert!(a.header("retry-after").is_some());
    f.wait_until_spent(0);
}

/// Starts an upstream that reads at least `read` bytes from each connection, sends `answer` and closes.
/// Returns its address.
fn truncating_upstream(read: usize, answer: &'static [u8]) -> String {
    let l = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = l.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for s in l.incoming() {
            let mut s = s.unwrap();
            let (mut got, mut buf) = (0, [0; 4096]);
            while got < read {
                match s.read(&mut buf) {
                    Ok(n) if n > 0 => got += n,
                    _ => break,
                }
            }
            let _ = s.write_all(answer);
        }
    });
    address
}

/// Guards against a second run after a connection breaks: in each case bytes of the request may have reached
/// the upstream, so the outcome is unknown.
#[rstest]
#[case::before_any_byte_is_read(0, b"")]
#[case::after_a_part_of_the_request(50, b"")]
#[case::after_the_whole_request(20_000, b"")]
#[case::in_the_status_line(20_000, b"HTTP/1.")]
#[case::in_the_headers(20_000, b"HTTP/1.1 200 OK\r\nContent-Le")]
#[case::in_the_body(20_000, b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nmove")]
#[case::in_a_chunk(20_000, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\nmove")]
#[case::between_chunks(
    20_000,
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmove\r\n"
)]
fn a_connection_that_breaks_leaves_the_outcome_unknown(
    #[case] read: usize,
    #[case] answer: &'static [u8],
) {
    let f = Fleet::start(Plan { routers: 1, ..Plan::default() });
    let text = f.example().replace(&f.boards[0].1, &truncating_upstream(read, answer));
    assert!(f.apply("rough.yaml", &text).status.success());
    f.wait_until_ready(0, 2);
    let send = || {
        let r = f.call(0).header("x-not-repeatable", "true").header("idempotency-key", "m1");
        r.send(&"e2e4 ".repeat(4_000))
    };
    let first = send();
    assert_eq!((first.status, first.code().as_str()), (502, "CF1306"), "{}", first.body);
    assert_eq!(first.json()["error"]["ran"], "unknown");
    support::wait_for("the outcome", || send().code() == "CF1403");
}

/// Guards against an empty body in place of one that ends with the connection, against an interim response taken for the
/// final one, and against a body taken for empty beside an offer to upgrade.
#[rstest]
#[case::unframed(b"HTTP/1.1 200 OK\r\n\r\nmove")]
#[case::old_version(b"HTTP/1.0 200 OK\r\n\r\nmove")]
#[case::interim(
    b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmove"
)]
#[case::upgrade_offered(b"HTTP/1.1 200 OK\r\nUpgrade: websocket\r\nContent-Length: 4\r\n\r\nmove")]
fn a_body_arrives_whole_however_it_is_framed(#[case] answer: &'static [u8]) {
    let f = Fleet::start(Plan { routers: 1, ..Plan::default() });
    let text = f.example().replace(&f.boards[0].1, &truncating_upstream(8, answer));
    assert!(f.apply("framing.yaml", &text).status.success());
    f.wait_until_ready(0, 2);
    let r = f.call(0).header("x-not-repeatable", "true").header("idempotency-key", "m1");
    let a = r.send("e2e4");
    assert_eq!((a.status, a.body.as_str()), (200, "move"));
}

/// Guards against an idempotency key that stays in use after its caller disconnects from the queue.
#[test]
fn a_key_is_free_again_after_its_caller_disconnects_from_the_queue() {
    let f = Fleet::start(Plan {
        routers: 1,
        engines: vec![vec!["--token-ms", "20"]],
        engine_extra: "            slots: 1\n            queue: 4",
        ..Plan::default()
    });
    thread::scope(|s| {
        let long = s.spawn(|| f.chat(0).send(&chat_body(false, 24)).status);
        support::wait_for("the long request to start", || f.engine_stats(0)["started"] == 1);
        let body = chat_body(false, 4);
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\nIdempotency-Key: g1\r\nX-Not-Repeatable: true\r\nContent-Length: {}\r\n\r\n{body}",
            support::KEY,
            body.len()
        );
        let mut abandoned = std::net::TcpStream::connect(&f.router_addresses[0]).unwrap();
        abandoned.write_all(head.as_bytes()).unwrap();
        let waiting = || {
            let url = format!("http://{}/metrics", f.ops_addresses[0]);
            let name = "cypressfork_waiting_requests{service=\"engine-talk\"} ";
            let text = support::get_text(&url).unwrap();
            text.lines().any(|l| l.strip_prefix(name).is_some_and(|n| n == "1"))
        };
        support::wait_for("a request in the queue", waiting);
        drop(abandoned);
        support::wait_for("the empty queue", || !waiting());
        assert_eq!(long.join().unwrap(), 200);
    });
    let r = f.chat(0).header("x-not-repeatable", "true").header("idempotency-key", "g1");
    assert_eq!(r.send(&chat_body(false, 4)).status, 200);
    assert_eq!(f.engine_stats(0)["started"], 2);
}

/// Returns a listener whose accept backlog is full, the streams that fill it, and its address. Further
/// connection attempts get no answer.
fn upstream_with_full_backlog() -> (TcpListener, Vec<std::net::TcpStream>, String) {
    let l = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = l.local_addr().unwrap();
    let timeout = std::time::Duration::from_millis(300);
    let mut open = Vec::new();
    while let Ok(s) = std::net::TcpStream::connect_timeout(&address, timeout) {
        open.push(s);
        assert!(open.len() < 20_000, "the accept backlog never fills");
    }
    (l, open, address.to_string())
}

/// Guards against an unknown outcome or a key in use after a connection attempt times out: nothing was sent.
#[test]
fn a_request_whose_connection_times_out_is_reported_as_not_run() {
    let f = Fleet::start(Plan { routers: 1, ..Plan::default() });
    let (_listener, _open, address) = upstream_with_full_backlog();
    let example = f.example();
    let text = example.replace(&f.boards[0].1, &address).replace(&f.engines[0].1, &address);
    assert!(f.apply("full.yaml", &text).status.success());
    f.wait_until_ready(0, 2);
    let call = || f.call(0).header("x-not-repeatable", "true").header("idempotency-key", "m1");
    for a in [call().send("e2e4"), f.chat(0).send(&chat_body(false, 4))] {
        assert_eq!((a.status, a.code().as_str()), (503, "CF1303"), "{}", a.body);
        assert_eq!(a.json()["error"]["ran"], "no");
    }
    f.wait_until_spent(0);
    assert!(f.apply("example.yaml", &example).status.success());
    f.wait_until_ready(0, 3);
    support::wait_for("the free id", || call().send("e2e4").status == 200);
    assert_eq!(f.board_runs(0)["m1"], 1);
}
