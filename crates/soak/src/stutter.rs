//! Replicas that stutter: they send interim heads, and some responses a second time.

use std::cell::RefCell;
use std::io;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Percentage of responses with an interim head before them.
const INTERIM_PERCENT: u32 = 30;

/// Percentage of responses that are sent a second time.
const SECOND_PERCENT: u32 = 20;

/// Longest delay of a second response, in milliseconds.
const MAX_DELAY_MS: u64 = 40;

/// Largest response that is sent a second time, in bytes.
const MAX_SECOND_BYTES: usize = 64 * 1024;

/// Buffer size for forwarding, in bytes.
const BUFFER_SIZE: usize = 16 * 1024;

/// Name of the header with a request's id, as gateways write it.
const REQUEST_ID: &str = "x-request-id: ";

/// Forwards a connection of a gateway to a replica that stutters, until either side closes it. `seed` decides what is
/// sent besides.
///
/// # Errors
/// Fails if one of the connections does.
pub async fn forward(client: &mut TcpStream, server: &mut TcpStream, seed: u64) -> io::Result<()> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let (mut from_client, mut to_client) = client.split();
    let (mut from_server, mut to_server) = server.split();
    // The id of the last request, until its response begins.
    let pending = RefCell::new(None);
    let requests = async {
        let mut buf = vec![0; BUFFER_SIZE];
        loop {
            let n = from_client.read(&mut buf).await?;
            if n == 0 {
                return Ok(());
            }
            if let Some(id) = request_id(&buf[..n]) {
                pending.replace(Some(id));
            }
            to_server.write_all(&buf[..n]).await?;
        }
    };
    let responses = async {
        let mut buf = vec![0; BUFFER_SIZE];
        let mut response = Vec::new();
        loop {
            let n = from_server.read(&mut buf).await?;
            if n == 0 {
                return Ok(());
            }
            if let Some(id) = pending.take() {
                response.clear();
                if rng.random_range(0..100) < INTERIM_PERCENT {
                    let head = format!("HTTP/1.1 103 Early Hints\r\n{REQUEST_ID}{id}\r\n\r\n");
                    to_client.write_all(head.as_bytes()).await?;
                }
            }
            to_client.write_all(&buf[..n]).await?;
            response.extend_from_slice(&buf[..n]);
            let is_whole = is_whole(&response);
            if is_whole && rng.random_range(0..100) < SECOND_PERCENT {
                let delay = rng.random_range(0..=MAX_DELAY_MS);
                sleep(Duration::from_millis(delay)).await;
                to_client.write_all(&response).await?;
            }
            if is_whole || response.len() > MAX_SECOND_BYTES {
                response.clear();
            }
        }
    };
    tokio::select! {
        result = requests => result,
        result = responses => result,
    }
}

/// Returns the id in the head of a request that begins in `bytes`.
fn request_id(bytes: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(bytes);
    let (head, _) = text.split_once("\r\n\r\n")?;
    let fields = head.lines().filter_map(|l| l.split_at_checked(REQUEST_ID.len()));
    let mut ids = fields.filter(|(name, _)| name.eq_ignore_ascii_case(REQUEST_ID));
    ids.next().map(|(_, id)| id.to_owned())
}

/// Returns whether these bytes are a whole response.
fn is_whole(response: &[u8]) -> bool {
    let text = String::from_utf8_lossy(response).to_ascii_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    if head.contains("transfer-encoding: chunked") {
        return body.ends_with("\r\n0\r\n\r\n");
    }
    let length = head.lines().find_map(|l| l.strip_prefix("content-length: ")?.parse().ok());
    length.is_some_and(|length: usize| body.len() >= length)
}
