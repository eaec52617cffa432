//! One attempt to serve a request: sends it to one replica and forwards the response.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use actix_http::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, TRANSFER_ENCODING, UPGRADE,
};
use actix_http::{Method, ResponseHead, StatusCode};
use cypressfork_core::fleet::document::RouteKind;
use cypressfork_core::fleet::quarantine::SURVIVAL_TIME;
use cypressfork_core::route::{Choice, backoff};
use cypressfork_core::unit::Millis;
use cypressfork_http::client::{ExchangeError, OpenError, OutboundRequest};
use cypressfork_http::server::client::{Client, ResponseBody};
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use cypressfork_node::metric;
use metrics::counter;
use tokio::time::{Instant, timeout};

use super::dial::Target;
use super::dialect::{Dialect, ForwardHeaders};
use super::notices::{SendKind, SendTarget};
use super::request::ResponseProgress;
use super::response_buffers::{HeldResponse, read_body, skip_body};
use super::routed_request::RoutedRequest;
use super::state::PickedReplica;
use super::stream;
use super::upstream::ReplicaConnection;
use super::witness::{self, record_connection_loss};

/// Maximum number of responses to other requests that are skipped on one connection.
const MAX_SKIPPED_RESPONSES: usize = 4;

/// Time in which the rest of a response to another request, and each part of a head on a reused connection, has to arrive
/// if the request may be sent elsewhere.
const MAX_SKIP_TIME: Duration = Duration::from_millis(200);

/// Time without a response after which the path to the replica is checked, unless other replicas respond.
const CHECK_DELAY: Duration = Duration::from_millis(200);

/// A replica's complete response.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers without those that describe the connection and the framing.
    pub headers: HeaderMap,
    /// Its body.
    pub body: ResponseBody,
    /// The account of the body's bytes.
    pub _held: HeldResponse,
}

/// The outcome of an attempt.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The complete response was forwarded.
    Answered,
    /// The caller closed its connection.
    Left,
    /// The replica was not reached, or a permit for a second send was denied after an idle connection
    /// turned out to be closed.
    NotSent(String),
    /// The replica's host refused the connection at once.
    Refused(String),
    /// The replica left or requested a backoff after it was picked, or the request was quarantined, so nothing
    /// more was sent.
    Withheld,
    /// The retry was not sent, because other requests have used up the retry budget since the replica was
    /// picked.
    OverBudget,
    /// The replica rejected the request without running it.
    NotRun,
    /// The replica returned a server error, which was not forwarded.
    Failed(Box<Answer>),
    /// The connection to the replica ended before a complete response. The replica may have run the request.
    Lost(String),
    /// The replica's host stopped responding. The replica may have run the request.
    Silent(String),
    /// The response is invalid. The replica may have run the request.
    Broken(String),
    /// The request's deadline passed, or a planned stop ended it.
    Late,
}

impl AttemptOutcome {
    /// Returns whether the attempt counts as a failure of the replica.
    pub fn is_failure(&self) -> bool {
        !matches!(
            self,
            AttemptOutcome::Answered
                | AttemptOutcome::Left
                | AttemptOutcome::Withheld
                | AttemptOutcome::OverBudget
                | AttemptOutcome::NotRun
        )
    }

    /// Returns its label in metrics.
    pub fn label(&self) -> &'static str {
        match self {
            AttemptOutcome::Answered => "answered",
            AttemptOutcome::Left => "caller_left",
            AttemptOutcome::NotSent(_) | AttemptOutcome::Refused(_) => "not_sent",
            AttemptOutcome::Withheld => "withheld",
            AttemptOutcome::OverBudget => "over_budget",
            AttemptOutcome::NotRun => "not_run",
            AttemptOutcome::Failed(_) => "failed",
            AttemptOutcome::Lost(_) => "lost",
            AttemptOutcome::Silent(_) => "silent",
            AttemptOutcome::Broken(_) => "broken",
            AttemptOutcome::Late => "late",
        }
    }
}

impl From<ExchangeError> for AttemptOutcome {
    fn from(error: ExchangeError) -> AttemptOutcome {
        match error {
            ExchangeError::NotSent(why) => AttemptOutcome::NotSent(why),
            ExchangeError::Stale => {
                AttemptOutcome::Lost("the kept connection was closed".to_owned())
            }
            ExchangeError::Closed(why) => AttemptOutcome::Lost(why),
            ExchangeError::Silent(why) => AttemptOutcome::Silent(why),
            ExchangeError::Protocol(why) => AttemptOutcome::Broken(why),
        }
    }
}

impl From<OpenError> for AttemptOutcome {
    fn from(error: OpenError) -> AttemptOutcome {
        match error {
            OpenError::Refused => AttemptOutcome::Refused(error.to_string()),
            _ => AttemptOutcome::NotSent(error.to_string()),
        }
    }
}

/// Sends a request to the replica that was picked and forwards the response. Returns the outcome, and the
/// time from sending to the first event or, without events, to the head of the response.
pub async fn run<D: Dialect>(
    request: &RoutedRequest,
    client: &mut Client,
    progress: &mut ResponseProgress,
    chosen: &PickedReplica,
    send_kind: SendKind,
) -> (AttemptOutcome, Option<Duration>) {
    let (choice, replica) = (&chosen.choice, chosen.replica.as_str());
    let data_centre = chosen.data_centre.as_str();
    let (born, sent) = (request.gw.born(replica), Instant::now());
    let mut attempt = Attempt {
        request,
        choice,
        replica,
        data_centre,
        version: &chosen.version,
        send_kind,
        born,
        sent,
        relay: None,
        is_reused: false,
        time_to_first: None,
        answering_since: None,
        has_survived: false,
    };
    let outcome = attempt.run::<D>(client, progress).await;
    attempt.record_path(&outcome);
    if matches!(outcome, AttemptOutcome::Lost(_) | AttemptOutcome::Silent(_)) {
        let (sent, answering) = (attempt.sent, attempt.answering());
        record_connection_loss(request, choice.address, replica, sent, answering);
    }
    (outcome, attempt.time_to_first)
}

/// One attempt at a replica.
pub struct Attempt<'a> {
    /// The request.
    pub request: &'a RoutedRequest,
    /// The replica's address and the estimates by which it was picked.
    pub choice: &'a Choice,
    /// The replica's id.
    pub replica: &'a str,
    /// The replica's data centre.
    pub data_centre: &'a str,
    /// The version of the replica's software.
    pub version: &'a str,
    /// Whether this is the first send of the request.
    send_kind: SendKind,
    /// Start time of the replica's process at the time it was picked; 0 if unknown.
    born: u64,
    /// When the request was sent.
    pub sent: Instant,
    /// The gateway that relays the connection to the replica; none if it is direct.
    relay: Option<SocketAddr>,
    /// Whether the connection has carried an earlier exchange.
    is_reused: bool,
    /// Time from sending to the first event or, before that, to the head of the response.
    pub time_to_first: Option<Duration>,
    /// When the response began: a stream with its first event, any other with its head.
    pub answering_since: Option<Instant>,
    /// Whether the response has continued for [`SURVIVAL_TIME`].
    has_survived: bool,
}

impl Attempt<'_> {
    /// Returns the time since the response began.
    fn answering(&self) -> Option<Duration> {
        self.answering_since.map(|since| since.elapsed())
    }

    /// Records that the replica survives the request, once its response has continued long enough.
    pub fn record_survival(&mut self) {
        let survived = |span: Duration| span.as_millis() as u64 >= SURVIVAL_TIME.0;
        if !self.has_survived && self.answering().is_some_and(survived) {
            self.has_survived = true;
            self.request.gw.quarantines.record_survival(self.request, self.sent);
        }
    }

    /// Records that the response ended with its connection.
    pub fn record_response_end(&self) {
        let (address, answering) = (self.choice.address, self.answering());
        witness::record_response_end(self.request, address, self.replica, self.sent, answering);
    }

    async fn run<D: Dialect>(
        &mut self,
        client: &mut Client,
        progress: &mut ResponseProgress,
    ) -> AttemptOutcome {
        let request = self.request;
        // Returning early when the caller closes its connection drops the connection to the replica.
        // A head that was received is processed first: its backoff or rate limit affects other requests too.
        let result = tokio::select! {
            biased;
            result = request.in_time(self.send_request::<D>(progress.events.last())) => result,
            () = client.closed() => return AttemptOutcome::Left,
        };
        let (connection, head) = match result {
            Some(Ok(started)) => started,
            Some(Err(outcome)) => return outcome,
            None => return AttemptOutcome::Late,
        };
        self.time_to_first = Some(self.sent.elapsed());
        self.forward_response::<D>(client, progress, connection, head).await
    }

    /// Sends the request and returns the connection with the head of the response.
    async fn send_request<D: Dialect>(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<(ReplicaConnection, ResponseHead), AttemptOutcome> {
        let gw = &self.request.gw;
        self.check_replica()?;
        let mut connection = match self.request.method {
            // A late second response to another request would be read without its body.
            Method::HEAD => gw.open_connection(&self.target()).await?,
            _ => gw.connect(&self.target()).await?,
        };
        self.set_connection(&connection);
        if let Err(outcome) = self.check_replica().and_then(|()| self.take_retry()) {
            gw.keep_connection(
                &self.request.service,
                self.choice.address,
                self.replica,
                connection,
            );
            return Err(outcome);
        }
        self.sent = Instant::now();
        gw.signals.record_send(self.request, &self.send_target(), self.send_kind);
        match self.send::<D>(&mut connection, last_event).await {
            Err(ExchangeError::Stale) if self.request.is_repeatable() => {
                self.acquire_second_permit().await?;
                // The idle connection was closed, and nothing was sent. A new one shows whether the replica
                // is still running.
                connection = match gw.open_connection(&self.target()).await {
                    Ok(c) => c,
                    Err(error) => {
                        record_connection_loss(
                            self.request,
                            self.choice.address,
                            self.replica,
                            self.sent,
                            None,
                        );
                        return Err(error.into());
                    }
                };
                self.set_connection(&connection);
                self.check_replica()?;
                gw.signals.record_send(self.request, &self.send_target(), SendKind::Resend);
                self.send::<D>(&mut connection, last_event).await?;
            }
            result => result?,
        }
        self.read_own_head::<D>(connection).await
    }

    /// Fails if the replica has left or requested a backoff since it was picked, or the request has been
    /// quarantined.
    fn check_replica(&self) -> Result<(), AttemptOutcome> {
        let (service, address) = (&self.request.service, self.choice.address);
        let gw = &self.request.gw;
        let allowed = gw.may_send(service, address, self.replica)
            && gw.quarantines.find(self.request).is_none();
        allowed.then_some(()).ok_or(AttemptOutcome::Withheld)
    }

    /// Takes a retry from the fleet's budget unless this is the first send of the request. Fails if none is
    /// left.
    fn take_retry(&self) -> Result<(), AttemptOutcome> {
        let allowed =
            self.send_kind == SendKind::First || self.request.gw.take_retry(&self.request.service);
        allowed.then_some(()).ok_or(AttemptOutcome::OverBudget)
    }

    /// Records the connection on which the request is sent.
    fn set_connection(&mut self, connection: &ReplicaConnection) {
        self.relay = connection.transport().relay();
        self.is_reused = connection.is_reused();
    }

    /// Returns the replica to connect to.
    fn target(&self) -> Target<'_> {
        let (replica, address) = (self.replica, self.choice.address);
        Target { service: &self.request.service, replica, address }
    }

    /// Returns the replica incarnation, the time of the send and the relay.
    fn send_target(&self) -> SendTarget<'_> {
        let (replica, address) = (self.replica, self.choice.address);
        SendTarget { replica, address, born: self.born, sent: self.sent, relay: self.relay }
    }

    /// Records what the outcome shows of the way to the replica.
    fn record_path(&self, outcome: &AttemptOutcome) {
        let gw = &self.request.gw;
        let is_late = matches!(outcome, AttemptOutcome::Late) && self.time_to_first.is_none();
        match (self.relay, outcome) {
            (Some(relay), AttemptOutcome::Lost(_) | AttemptOutcome::Silent(_)) => {
                gw.dialer.record_relay_failed(&self.request.service, relay);
            }
            (None, AttemptOutcome::Silent(_)) => gw.dialer.record_silence(self.sent.elapsed()),
            (None, _) if is_late => gw.dialer.record_silence(self.sent.elapsed()),
            _ => {}
        }
    }

    /// Acquires a second permit, because the first may expire while a connection is opened.
    async fn acquire_second_permit(&self) -> Result<(), AttemptOutcome> {
        let (gw, priority) = (&self.request.gw, self.request.priority);
        let permit = gw.limits.acquire_permit(gw, self.replica, self.data_centre, priority).await;
        permit.map_err(|_| AttemptOutcome::NotSent(gw.limits.describe(gw.now(), self.replica)))
    }

    async fn send<D: Dialect>(
        &self,
        connection: &mut ReplicaConnection,
        last_event: Option<u64>,
    ) -> Result<(), ExchangeError> {
        let request = self.request;
        let mut headers = request.headers.clone();
        let forwarded = ForwardHeaders {
            time_left: Millis(request.time_left().as_millis() as u64),
            replica: self.replica,
            born: self.born,
            account: request.account.as_deref(),
            last_event,
            urgency: request.inbound.prompt.as_ref().map(|_| request.priority),
        };
        D::set_forward_headers(&mut headers, &forwarded);
        let (method, uri, body) = (&request.method, &request.uri, &request.body);
        connection.send(OutboundRequest { method, uri, headers, body }).await
    }

    /// Reads the head of the next response. If it takes long, checks the path to the replica meanwhile.
    async fn read_head(
        &self,
        connection: &mut ReplicaConnection,
    ) -> Result<ResponseHead, ExchangeError> {
        let is_direct = connection.transport().relay().is_none();
        let mut reading = pin!(connection.read_head());
        if let Ok(result) = timeout(CHECK_DELAY, &mut reading).await {
            return result;
        }
        if is_direct {
            self.check_path();
        }
        reading.await
    }

    /// Checks the direct path to the replica by another connection, if no replica of the service has sent anything
    /// since the request was sent. Does not wait for the result.
    fn check_path(&self) {
        let (gw, service) = (self.request.gw.clone(), self.request.service.clone());
        if !gw.dialer.begin_check(&service, self.sent.elapsed()) {
            return;
        }
        let (replica, address) = (self.replica.to_owned(), self.choice.address);
        actix_rt::spawn(async move {
            let target = Target { service: &service, replica: &replica, address };
            // Opening a connection records what it shows of the path.
            let _ = gw.open_connection(&target).await;
            gw.dialer.end_check(&service);
        });
    }

    /// Reads the head of the response to this request. Late responses to other requests are skipped.
    async fn read_own_head<D: Dialect>(
        &self,
        mut connection: ReplicaConnection,
    ) -> Result<(ReplicaConnection, ResponseHead), AttemptOutcome> {
        if self.is_reused && self.request.is_repeatable() {
            connection.limit_head_pause(MAX_SKIP_TIME);
        }
        for _ in 0..MAX_SKIPPED_RESPONSES {
            let head = self.read_head(&mut connection).await.inspect_err(|e| {
                if self.is_reused && matches!(e, ExchangeError::Protocol(_)) {
                    self.record_surplus();
                }
            })?;
            let (service, address) = (&self.request.service, self.choice.address);
            self.request.gw.dialer.record_response(service, address, &connection);
            let response = D::parse_response(&head);
            if !response.wrong_replica {
                witness::record_response(&self.request.gw, address, self.replica, self.sent);
            }
            let is_own = response.id == Some(self.request.inbound.id.as_str());
            let signals = &self.request.gw.signals;
            if is_own || (response.id.is_none() && response.not_run) {
                signals.record_response(self.request, &self.send_target(), &response);
                if !response.not_run
                    && !response.wrong_replica
                    && response.retry_after == backoff::RetryAfter::Absent
                {
                    self.request.gw.record_accepted(&self.request.service, self.choice);
                }
                return Ok((connection, head));
            }
            // A backoff applies to this gateway, whichever request the response is for.
            signals.record_backoff(self.request, &self.send_target(), &response);
            if response.wrong_replica && response.id.is_none() {
                return Ok((connection, head));
            }
            self.record_foreign_response(response.id);
            self.record_surplus();
            connection.mark_surplus();
            self.skip_foreign_body(&mut connection).await?;
        }
        Err(AttemptOutcome::Broken("the connection brings answers to other requests".to_owned()))
    }

    /// Reads the rest of a response to another request without keeping it. Does not wait for long where the request may
    /// be sent to another replica: the rest may never come, and the request's own response be taken for it.
    async fn skip_foreign_body(
        &self,
        connection: &mut ReplicaConnection,
    ) -> Result<(), AttemptOutcome> {
        let skipping = skip_body(connection);
        if !self.request.is_repeatable() {
            return Ok(skipping.await?);
        }
        match timeout(MAX_SKIP_TIME, skipping).await {
            Ok(skipped) => Ok(skipped?),
            Err(_) => {
                let why = "the rest of a response to another request does not arrive";
                Err(AttemptOutcome::Broken(why.to_owned()))
            }
        }
    }

    /// Records that the replica sends bytes that answer no request.
    fn record_surplus(&self) {
        self.request.gw.connections.record_surplus(Instant::now(), &self.request.service);
    }

    /// Records a response to another request, with the id that it names.
    fn record_foreign_response(&self, found: Option<&str>) {
        let kind = if found.is_some() { "other_request" } else { "no_id" };
        counter!(metric::FOREIGN_RESPONSES, "kind" => kind).increment(1);
        emit!(
            Event::ForeignResponse,
            id = self.request.inbound.id,
            found = found.unwrap_or_default(),
            replica = self.replica,
            kept = self.is_reused,
        );
    }

    /// Reads the rest of the response, forwards it and returns the outcome.
    async fn forward_response<D: Dialect>(
        &mut self,
        client: &mut Client,
        progress: &mut ResponseProgress,
        mut connection: ReplicaConnection,
        head: ResponseHead,
    ) -> AttemptOutcome {
        let response = D::parse_response(&head);
        let (not_run, is_valid) =
            (response.not_run || response.wrong_replica, response.well_formed);
        if response.wrong_replica {
            self.request.gw.mark_replaced(self.replica);
        }
        if !is_valid {
            return AttemptOutcome::Broken(
                "the answer is not in the form that was asked for".to_owned(),
            );
        }
        let is_stream = self.request.kind == RouteKind::Stream && !connection.has_no_body();
        if is_stream && head.status.is_success() && !not_run {
            return stream::forward(self, client, progress, connection, head).await;
        }
        if client.has_started() && !not_run && !head.status.is_server_error() {
            return AttemptOutcome::Broken("the replica does not continue the stream".to_owned());
        }
        if !not_run {
            self.answering_since = Some(Instant::now());
        }
        let held = self.request.gw.response_memory.register();
        let result = tokio::select! {
            result = self.request.in_time(read_body(&mut connection, &held)) => result,
            () = client.closed() => return AttemptOutcome::Left,
        };
        let body = match result {
            Some(Ok(body)) => {
                let body = match connection.has_no_body() {
                    true => ResponseBody::Omitted(connection.content_length()),
                    false => ResponseBody::Whole(body),
                };
                let gw = &self.request.gw;
                match (not_run, connection.is_unframed()) {
                    (true, _) => {}
                    (false, true) => self.record_response_end(),
                    (false, false) => gw.quarantines.record_completion(self.request, self.sent),
                }
                gw.keep_connection(
                    &self.request.service,
                    self.choice.address,
                    self.replica,
                    connection,
                );
                body
            }
            Some(Err(_)) if not_run => return AttemptOutcome::NotRun,
            Some(Err(error)) => return error.into(),
            None => return AttemptOutcome::Late,
        };
        if not_run {
            return AttemptOutcome::NotRun;
        }
        let headers = end_to_end_headers(&head);
        if head.status.is_server_error() {
            return AttemptOutcome::Failed(Box::new(Answer {
                status: head.status,
                headers,
                body,
                _held: held,
            }));
        }
        if let Err(ended) = progress.begin(self.request, client).await {
            return ended;
        }
        match client.send_response(head.status, headers, body).await {
            Ok(()) => AttemptOutcome::Answered,
            Err(_) => AttemptOutcome::Left,
        }
    }
}

/// Returns a response's headers without those that describe the connection and the framing.
pub fn end_to_end_headers(head: &ResponseHead) -> HeaderMap {
    let mut headers = head.headers.clone();
    let keep_alive = HeaderName::from_static("keep-alive");
    for name in [CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING, UPGRADE, keep_alive] {
        headers.remove(name);
    }
    headers
}
