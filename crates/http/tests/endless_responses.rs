//! Bytes without end that are no response, or no longer one.

#![allow(missing_docs)]

use std::cell::Cell;
use std::io;

use bytes::BytesMut;
use cypressfork_http::client::{Connection, ExchangeError, Transport};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;

/// Bytes that may be read of what is not the body, before a connection is given up.
const MAX_OVERHEAD: usize = 256 * 1024;

/// Bytes of a body after which the reader in these tests stops.
const MAX_BODY: usize = 1024 * 1024;

/// Maximum size of one read.
const READ: usize = 4 * 1024;

/// Bytes after which the server closes the connection, so that a test ends.
const MAX_SENT: usize = 64 * 1024 * 1024;

/// A server that sends `first` and then `repeated` without end.
struct EndlessServer {
    first: Vec<u8>,
    repeated: Vec<u8>,
    sent: Cell<usize>,
}

impl EndlessServer {
    fn new(first: &[u8], repeated: &[u8]) -> EndlessServer {
        let (first, repeated) = (first.to_vec(), repeated.to_vec());
        EndlessServer { first, repeated, sent: Cell::new(0) }
    }

    fn byte(&self, at: usize) -> u8 {
        match at.checked_sub(self.first.len()) {
            None => self.first[at],
            Some(at) => self.repeated[at % self.repeated.len()],
        }
    }
}

impl Transport for EndlessServer {
    async fn read(&mut self, buf: &mut BytesMut) -> io::Result<usize> {
        if self.sent.get() > MAX_SENT {
            return Ok(0);
        }
        let from = self.sent.replace(self.sent.get() + READ);
        buf.extend((from..from + READ).map(|at| self.byte(at)));
        Ok(READ)
    }

    async fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        Ok(bytes.len())
    }

    fn sends_partly(&self) -> bool {
        false
    }

    fn is_silent(&self) -> bool {
        false
    }

    fn has_unread(&self) -> bool {
        true
    }
}

/// Reads a response until it ends, fails or has a body of more than [`MAX_BODY`]. Returns the bytes that the server has
/// sent, those of the body, and the error.
async fn read(server: EndlessServer) -> (usize, usize, Option<ExchangeError>) {
    let mut c = Connection::new(server);
    let mut body = 0;
    let error = loop {
        if let Err(error) = c.read_head().await {
            break Some(error);
        }
        match read_body(&mut c, &mut body).await {
            Err(error) => break Some(error),
            Ok(()) if body > MAX_BODY => break None,
            // Another response may follow, such as one of status 100.
            Ok(()) if c.transport().sent.get() <= MAX_OVERHEAD => {}
            Ok(()) => break None,
        }
    };
    (c.transport().sent.get(), body, error)
}

async fn read_body(
    c: &mut Connection<EndlessServer>,
    body: &mut usize,
) -> Result<(), ExchangeError> {
    while let Some(chunk) = c.read_chunk().await? {
        *body += chunk.len();
        if *body > MAX_BODY {
            break;
        }
    }
    Ok(())
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Guards against a response that is read until its deadline although it can no longer be one.
#[rstest]
#[case::status_line("HTTP/1.1 200 ", "O")]
#[case::header_lines("HTTP/1.1 200 OK\r\n", "X-A: b\r\n")]
#[case::header_value("HTTP/1.1 200 OK\r\nX-A: ", "b")]
#[case::noise("", "noise ")]
#[case::chunk_size(&format!("{CHUNKED}0"), "0")]
#[case::chunk_size_after_a_chunk(&format!("{CHUNKED}3\r\nabc\r\n"), "0")]
#[case::chunk_extension(&format!("{CHUNKED}3;"), "x")]
#[case::white_space(&format!("{CHUNKED}3"), " ")]
#[case::trailer(&format!("{CHUNKED}0\r\n"), "x")]
#[case::trailer_lines(&format!("{CHUNKED}0\r\n"), "X-A: b\r\n")]
#[case::long_extensions_of_short_chunks(CHUNKED, &format!("1;{}\r\na\r\n", "x".repeat(8_000)))]
fn a_connection_is_given_up(#[case] first: &str, #[case] repeated: &str) {
    let server = EndlessServer::new(first.as_bytes(), repeated.as_bytes());
    let (sent, _, error) = actix_rt::System::new().block_on(read(server));
    assert!(matches!(error, Some(ExchangeError::Protocol(_))), "{error:?}");
    assert!(sent <= MAX_OVERHEAD, "{sent} bytes");
}

/// Guards against sound bodies that are refused because of how they are divided into chunks.
#[rstest]
#[case::chunks_of_one_byte("1\r\na\r\n")]
#[case::short_extensions("1;a=b\r\na\r\n")]
#[case::signed_chunks(&format!("10;chunk-signature={}\r\n0123456789abcdef\r\n", "0".repeat(64)))]
fn a_body_in_small_chunks_is_read(#[case] chunk: &str) {
    let server = EndlessServer::new(CHUNKED.as_bytes(), chunk.as_bytes());
    let (_, body, error) = actix_rt::System::new().block_on(read(server));
    assert_eq!(error, None);
    assert!(body > MAX_BODY);
}

/// Bytes from which responses are built, and any others.
fn part() -> impl Strategy<Value = Vec<u8>> {
    let known = prop::sample::select(vec![
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n",
        "Transfer-Encoding: chunked\r\n",
        "Content-Length: 5\r\n",
        "\r\n",
        "\r",
        "\n",
        "0",
        "1",
        "f;",
        " ",
        "\t",
        "0\r\n",
        "3\r\nabc\r\n",
        "X-A: b\r\n",
        "hello",
    ]);
    prop_oneof![
        8 => known.prop_map(|s| s.as_bytes().to_vec()),
        1 => prop::collection::vec(any::<u8>(), 1..40),
    ]
}

/// Guards against input of any other form that is read without end, and against panics.
#[test]
fn whatever_is_sent_is_read_for_a_bounded_time() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let cfg = Config { cases: 1_000, failure_persistence: None, ..Config::default() };
    let parts = prop::collection::vec(part(), 1..12);
    let input = (parts, prop::collection::vec(part(), 1..4));
    TestRunner::new_with_rng(cfg, rng)
        .run(&input, |(first, repeated)| {
            let server = EndlessServer::new(&first.concat(), &repeated.concat());
            let (sent, body, _) = actix_rt::System::new().block_on(read(server));
            prop_assert!(sent <= MAX_OVERHEAD + READ + body * 129, "{} bytes, body {}", sent, body);
            Ok(())
        })
        .unwrap();
}
