//! A stream of events on its way to the caller.

use actix_http::ResponseHead;
use actix_http::body::BodySize;
use bytes::Bytes;
use cypressfork_http::client::{Broken, Connection};
use tokio::time::{Instant, timeout_at};

use super::attempt::{Ended, Exchange, of_answer};
use super::client::Client;
use super::request::Progress;

/// What a replica sends next.
enum Piece {
    Bytes(Bytes),
    End,
    Lost(String),
    Broken(String),
    Late,
    Left,
}

/// Bytes of a stream that are read after its caller has gone, at most: to count what its replica has made.
const COUNTED_MOST: usize = 64 * 1024;

/// Passes a stream on. What has come of one that its caller does not take is counted.
pub async fn pass(
    exchange: &mut Exchange<'_>,
    client: &mut Client,
    progress: &mut Progress,
    mut connection: Connection,
    head: ResponseHead,
) -> Ended {
    let passed = pass_events(exchange, client, progress, &mut connection, &head).await;
    match passed {
        Some(ended) => {
            if matches!(ended, Ended::Left | Ended::Late) {
                count_arrived(progress, &mut connection).await;
            }
            ended
        }
        None => end(exchange, client, connection, &head).await,
    }
}

/// Counts events that had come and were not passed on.
async fn count_arrived(progress: &mut Progress, connection: &mut Connection) {
    let (pieces, all) = connection.arrived(COUNTED_MOST).await;
    let before = progress.events.passed();
    // A gap ends the stream all the same; what came before it counts.
    let sound = pieces.iter().all(|piece| progress.events.feed(piece).is_ok());
    progress.timing.left(progress.events.passed() - before, all && sound);
}

/// Passes whole events on as they come. The head goes out with the first of them, so that a
/// stream that breaks off before it may still be answered by another replica. None: it ends as it should.
async fn pass_events(
    exchange: &mut Exchange<'_>,
    client: &mut Client,
    progress: &mut Progress,
    connection: &mut Connection,
    head: &ResponseHead,
) -> Option<Ended> {
    let job = exchange.job;
    let Progress { events, timing } = progress;
    let mut first = true;
    loop {
        let before = events.passed();
        // What has come is read before a caller is taken to have gone: it counts.
        let piece = tokio::select! {
            biased;
            piece = next(connection, job.deadline) => piece,
            () = client.gone() => Piece::Left,
        };
        let whole = match piece {
            Piece::Bytes(bytes) => match events.feed(&bytes) {
                Ok(whole) => whole,
                Err(fault) => return Some(Ended::Broken(format!("{fault:?}"))),
            },
            Piece::End if !events.is_whole() => {
                return Some(Ended::Broken("it ends inside an event".to_owned()));
            }
            // Another replica began it in a form that tells its end, and this one does not.
            Piece::End if connection.is_unframed() && client.is_framed() => {
                let why = "the answer does not tell whether it is whole";
                return Some(Ended::Broken(why.to_owned()));
            }
            Piece::End => return None,
            Piece::Lost(why) => return Some(Ended::Lost(why)),
            Piece::Broken(why) => return Some(Ended::Broken(why)),
            Piece::Late => return Some(Ended::Late),
            Piece::Left => return Some(Ended::Left),
        };
        if whole.is_empty() {
            continue;
        }
        timing.came(exchange.sent, events.passed() - before);
        if std::mem::take(&mut first) {
            let took = exchange.sent.elapsed();
            exchange.first = Some(took);
            job.gw.learn(&job.service, exchange.choice, took.as_micros() as u64);
        }
        let unframed = connection.is_unframed();
        let begun = Instant::now();
        let sent = send(client, head, unframed, whole, job.deadline).await;
        timing.passed(begun.elapsed());
        if !sent {
            return Some(Ended::Left);
        }
    }
}

async fn next(connection: &mut Connection, until: Instant) -> Piece {
    match timeout_at(until, connection.piece()).await {
        Ok(Ok(Some(bytes))) => Piece::Bytes(bytes),
        Ok(Ok(None)) => Piece::End,
        Ok(Err(Broken::Sent(why) | Broken::NotSent(why))) => Piece::Broken(why),
        Ok(Err(Broken::Closed(why))) => Piece::Lost(why),
        Ok(Err(Broken::Stale)) => Piece::Lost("the connection was closed".to_owned()),
        Err(_) => Piece::Late,
    }
}

/// Sends events, and the head before the first of them; false if the caller does not take them.
async fn send(
    client: &mut Client,
    head: &ResponseHead,
    unframed: bool,
    events: Bytes,
    until: Instant,
) -> bool {
    if begin(client, head, unframed).is_err() || client.piece(events).is_err() {
        return false;
    }
    matches!(timeout_at(until, client.flush()).await, Ok(Ok(())))
}

fn begin(client: &mut Client, head: &ResponseHead, unframed: bool) -> std::io::Result<()> {
    if client.has_begun() {
        return Ok(());
    }
    if unframed {
        return client.unframed_head(head.status, of_answer(head));
    }
    client.head(head.status, of_answer(head), BodySize::Stream)
}

async fn end(
    exchange: &Exchange<'_>,
    client: &mut Client,
    connection: Connection,
    head: &ResponseHead,
) -> Ended {
    let gw = &exchange.job.gw;
    let unframed = connection.is_unframed();
    // One that ends with its connection may have been cut short.
    if !unframed {
        gw.quarantines.answered(exchange.job);
    }
    gw.keep(&exchange.job.service, exchange.choice.address, exchange.replica, connection);
    if begin(client, head, unframed).is_err() || client.end().is_err() {
        return Ended::Left;
    }
    match timeout_at(exchange.job.deadline, client.flush()).await {
        Ok(Ok(())) => Ended::Answered,
        _ => Ended::Left,
    }
}
