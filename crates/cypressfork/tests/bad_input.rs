//! Invalid requests to real processes: each is refused with its result code, and nothing is run or charged.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;

use support::{Answer, Fleet, KEY, Plan, Request, chat_body};

struct Case {
    name: &'static str,
    request: Request,
    body: String,
    status: u16,
    code: &'static str,
}

fn cases(f: &Fleet) -> Vec<Case> {
    let case = |name, request, body: &str, status, code| Case {
        name,
        request,
        body: body.to_owned(),
        status,
        code,
    };
    let good = chat_body(true, 4);
    let big = "x".repeat(70_000);
    let at = |path: &str| Request::new(&f.router_addresses[0], path);
    vec![
        case("no key", f.chat(0).without_header("authorization"), &good, 401, "CF1001"),
        case(
            "another scheme",
            f.chat(0).header("authorization", "Basic abc"),
            &good,
            401,
            "CF1001",
        ),
        case(
            "unknown key",
            f.chat(0).header("authorization", "Bearer nobody"),
            &good,
            401,
            "CF1002",
        ),
        case("wrong method", f.chat(0).method("DELETE"), "", 405, "CF1101"),
        case("wrong method on entry", at("/v1/entry"), "", 405, "CF1101"),
        case("unknown path", at("/nowhere"), "", 404, "CF1102"),
        case("body not JSON", f.chat(0), "{\"model\":", 400, "CF1103"),
        case("body a list", f.chat(0), "[]", 400, "CF1103"),
        case("no model", f.chat(0), "{\"messages\":[]}", 400, "CF1103"),
        case("no messages", f.chat(0), r#"{"model":"go-7b","messages":[]}"#, 400, "CF1103"),
        case("max_tokens negative", f.chat(0), &good.replace(":4", ":-4"), 400, "CF1103"),
        case("body over the cap", f.chat(0), &big, 413, "CF1104"),
        case(
            "headers over the cap",
            f.chat(0).header("x-big", &"x".repeat(20_000)),
            &good,
            431,
            "CF1105",
        ),
        case("unknown model", f.chat(0), &good.replace("go-7b", "go-9b"), 404, "CF1106"),
        case("bad deadline", f.chat(0).header("x-deadline-ms", "soon"), &good, 400, "CF1108"),
        case("bad priority", f.chat(0).header("x-priority", "mine"), &good, 400, "CF1108"),
        case(
            "id too long",
            f.chat(0).header("idempotency-key", &"x".repeat(129)),
            &good,
            400,
            "CF1108",
        ),
        case(
            "not repeatable without id",
            f.call(0).header("x-not-repeatable", "true"),
            "e2e4",
            400,
            "CF1109",
        ),
    ]
}

fn check(c: &Case, a: &Answer) {
    assert_eq!((a.status, a.code().as_str()), (c.status, c.code), "{}: {}", c.name, a.body);
    let e = &a.json()["error"];
    assert_eq!(e["ran"], "no", "{}", c.name);
    assert!(e["message"].is_string() && e["type"].is_string(), "{}: {e}", c.name);
    assert_eq!(a.header("x-ran"), Some("no"), "{}", c.name);
    assert!(a.header("x-request-id").is_some(), "{}", c.name);
}

/// Sends a request whose body is shorter than its `Content-Length`, and closes the connection.
fn send_incomplete_request(address: &str) {
    let mut s = TcpStream::connect(address).unwrap();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 500\r\n\r\n{{\"model\":"
    );
    s.write_all(head.as_bytes()).unwrap();
}

/// Sends headers above the size limit and returns the first line of the answer, empty if there is none.
fn send_oversized_headers(address: &str) -> String {
    let mut s = TcpStream::connect(address).unwrap();
    let line = format!("X-Big: {}\r\n", "x".repeat(8000));
    let _ = s.write_all(b"GET /v1/entry HTTP/1.1\r\nHost: x\r\n");
    for _ in 0..40 {
        if s.write_all(line.as_bytes()).is_err() {
            break;
        }
    }
    let mut answer = Vec::new();
    let _ = s.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).lines().next().unwrap_or_default().to_owned()
}

/// Guards against an invalid request that is charged, reaches an upstream or stops the router.
#[test]
fn invalid_requests_are_refused_with_a_code_and_not_charged() {
    let f = Fleet::start(Plan::default());
    for c in cases(&f) {
        let expected = Case { request: Request::new("", ""), ..c };
        let a = c.request.send(&expected.body);
        check(&expected, &a);
    }
    send_incomplete_request(&f.router_addresses[0]);
    let line = send_oversized_headers(&f.router_addresses[0]);
    assert!(line.is_empty() || line.contains(" 4"), "{line}");
    let a = f.chat(0).send(&chat_body(false, 4));
    assert_eq!(a.status, 200, "the router still serves: {}", a.body);
    f.wait_until_spent(7);
    assert_eq!(f.engine_stats(0)["started"], 1, "only the good request reached the engine");
    assert_eq!(f.board_runs(0).as_object().unwrap().len(), 0);
}
