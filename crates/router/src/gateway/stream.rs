//! Forwards a stream of events from a replica to the caller.

use actix_http::ResponseHead;
use bytes::Bytes;
use cypressfork_http::client::ExchangeError;
use cypressfork_http::server::client::Client;
use tokio::time::{Instant, timeout_at};

use super::attempt::{Attempt, AttemptOutcome, end_to_end_headers};
use super::request::ResponseProgress;
use super::routed_request::RoutedRequest;
use super::upstream::ReplicaConnection;

/// The result of one read from a replica's stream.
enum ReadOutcome {
    Bytes(Bytes),
    End,
    /// The connection ended.
    Lost(String),
    /// The replica's host stopped responding.
    Silent(String),
    /// The received bytes are not a valid response.
    Broken(String),
    DeadlinePassed,
    CallerClosed,
}

/// Maximum number of received bytes that are read after a stream was cut off, to count their events.
const MAX_COUNTED_BYTES: usize = 64 * 1024;

/// Forwards a stream to its caller and returns the outcome. If the caller closes its connection or the
/// deadline passes, events that were received but not forwarded are still counted.
pub async fn forward(
    attempt: &mut Attempt<'_>,
    client: &mut Client,
    progress: &mut ResponseProgress,
    mut connection: ReplicaConnection,
    head: ResponseHead,
) -> AttemptOutcome {
    let cut_off = forward_events(attempt, client, progress, &mut connection, &head).await;
    match cut_off {
        Some(ended) => {
            if matches!(ended, AttemptOutcome::Left | AttemptOutcome::Late) {
                count_buffered(progress, &mut connection).await;
            }
            ended
        }
        None => match progress.begin(attempt.request, client).await {
            Ok(()) => finish_response(attempt, client, connection, &head).await,
            Err(ended) => ended,
        },
    }
}

/// Counts the events that were received and not forwarded.
async fn count_buffered(progress: &mut ResponseProgress, connection: &mut ReplicaConnection) {
    let (chunks, is_all) = connection.read_buffered(MAX_COUNTED_BYTES).await;
    let before = progress.events.count();
    // Events before an invalid one count too.
    let is_valid = chunks.iter().all(|chunk| progress.events.feed(chunk).is_ok());
    progress.timing.record_buffered(progress.events.count() - before, is_all && is_valid);
}

/// Forwards complete events as they are received. The head is sent with the first event, so that another
/// replica can take over a stream that fails before it. Returns none at the regular end of the stream.
async fn forward_events(
    attempt: &mut Attempt<'_>,
    client: &mut Client,
    progress: &mut ResponseProgress,
    connection: &mut ReplicaConnection,
    head: &ResponseHead,
) -> Option<AttemptOutcome> {
    let request = attempt.request;
    let held = request.gw.response_memory.register();
    let mut is_first = true;
    loop {
        let before = progress.events.count();
        // Received bytes are read before a closed caller ends the stream, so that their events count.
        let read = tokio::select! {
            biased;
            read = read_next(connection, request) => read,
            error = held.wait_given_up() => ReadOutcome::Broken(format!("{error:?}")),
            () = client.closed() => ReadOutcome::CallerClosed,
        };
        let complete = match read {
            ReadOutcome::Bytes(bytes) => {
                let (service, address) = (&request.service, attempt.choice.address);
                request.gw.dialer.record_response(service, address, connection);
                let complete = match progress.events.feed(&bytes) {
                    Ok(complete) => complete,
                    Err(error) => return Some(AttemptOutcome::Broken(format!("{error:?}"))),
                };
                if let Err(error) = held.record(progress.events.buffered()) {
                    return Some(error.into());
                }
                complete
            }
            ReadOutcome::End if !progress.events.is_at_boundary() => {
                let why = "it ends inside an event".to_owned();
                return Some(match connection.is_unframed() {
                    true => AttemptOutcome::Lost(why),
                    false => AttemptOutcome::Broken(why),
                });
            }
            ReadOutcome::End => return None,
            ReadOutcome::Lost(why) => return Some(AttemptOutcome::Lost(why)),
            ReadOutcome::Silent(why) => return Some(AttemptOutcome::Silent(why)),
            ReadOutcome::Broken(why) => return Some(AttemptOutcome::Broken(why)),
            ReadOutcome::DeadlinePassed => return Some(AttemptOutcome::Late),
            ReadOutcome::CallerClosed => return Some(AttemptOutcome::Left),
        };
        if complete.is_empty() {
            continue;
        }
        progress.timing.record_events(attempt.sent, progress.events.count() - before);
        if is_first || progress.stream.as_ref().is_some_and(|s| s.is_due(request.gw.now())) {
            progress.stream = Some(request.gw.origins.store(request, attempt.version));
        }
        if std::mem::take(&mut is_first) {
            let took = attempt.sent.elapsed();
            attempt.time_to_first = Some(took);
            attempt.answering_since = Some(Instant::now());
            request.gw.record_first_event(
                &request.service,
                attempt.choice,
                took.as_micros() as u64,
            );
            if let Err(ended) = progress.begin(request, client).await {
                return Some(ended);
            }
        }
        attempt.record_survival();
        let mut begun = Instant::now();
        let sent = send_events(client, head, complete, request).await;
        if client.may_hold() {
            // So far, nothing was waited for.
            begun = Instant::now();
            progress.timing.record_held(client.held_for());
        }
        let sent = sent && wait_for_room(client, request).await;
        progress.timing.record_forwarded(begun.elapsed());
        if !sent {
            return Some(AttemptOutcome::Left);
        }
    }
}

async fn read_next(connection: &mut ReplicaConnection, request: &RoutedRequest) -> ReadOutcome {
    let Some(read) = request.in_time(connection.read_chunk()).await else {
        return ReadOutcome::DeadlinePassed;
    };
    match read {
        Ok(Some(bytes)) => ReadOutcome::Bytes(bytes),
        Ok(None) => ReadOutcome::End,
        Err(ExchangeError::Protocol(why) | ExchangeError::NotSent(why)) => ReadOutcome::Broken(why),
        Err(ExchangeError::Closed(why)) => ReadOutcome::Lost(why),
        Err(ExchangeError::Silent(why)) => ReadOutcome::Silent(why),
        Err(ExchangeError::Stale) => ReadOutcome::Lost("the connection was closed".to_owned()),
    }
}

/// Sends events, and before the first of them the head. Returns false if the caller's connection fails or does
/// not accept them in time. Where bytes may be held for the caller, does not wait for it.
async fn send_events(
    client: &mut Client,
    head: &ResponseHead,
    events: Bytes,
    request: &RoutedRequest,
) -> bool {
    if start_response(client, head).is_err() || client.write_chunk(events).is_err() {
        return false;
    }
    matches!(request.in_time(client.forward()).await, Some(Ok(())))
}

/// Waits until more may be read from the replica. Returns false if the caller's connection fails or does not
/// accept enough in time.
async fn wait_for_room(client: &mut Client, request: &RoutedRequest) -> bool {
    matches!(request.in_time(client.wait_for_room()).await, Some(Ok(())))
}

/// Buffers the head of the response unless it was sent before.
fn start_response(client: &mut Client, head: &ResponseHead) -> std::io::Result<()> {
    if client.has_started() {
        return Ok(());
    }
    client.write_stream_head(head.status, end_to_end_headers(head))
}

/// Ends the response after the replica's stream has ended regularly, and returns the outcome. Bytes of the
/// response may still be held for the caller.
async fn finish_response(
    attempt: &Attempt<'_>,
    client: &mut Client,
    connection: ReplicaConnection,
    head: &ResponseHead,
) -> AttemptOutcome {
    let gw = &attempt.request.gw;
    if connection.is_unframed() {
        attempt.record_response_end();
    } else {
        gw.quarantines.record_completion(attempt.request, attempt.sent);
    }
    gw.keep_connection(
        &attempt.request.service,
        attempt.choice.address,
        attempt.replica,
        connection,
    );
    if start_response(client, head).is_err() || client.write_end().is_err() {
        return AttemptOutcome::Left;
    }
    match timeout_at(attempt.request.deadline, client.forward()).await {
        Ok(Ok(())) => AttemptOutcome::Answered,
        _ => AttemptOutcome::Left,
    }
}
