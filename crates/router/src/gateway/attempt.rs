//! One attempt: a request sent to one replica.

use std::time::Duration;

use actix_http::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, TRANSFER_ENCODING};
use actix_http::{ResponseHead, StatusCode};
use bytes::{Bytes, BytesMut};
use cypressfork_core::fleet::document::Kind;
use cypressfork_core::route::{Choice, rest};
use cypressfork_core::unit::Millis;
use cypressfork_http::client::{Broken, Connection, Outbound};
use tokio::time::{Instant, timeout_at};

use super::client::Client;
use super::dialect::{Dialect, Told};
use super::job::Job;
use super::notices::{Addressee, Try};
use super::request::Progress;
use super::state::Chosen;
use super::stream;
use super::witness::note_lost;

/// The largest answer that is not a stream.
const ANSWER_CAP: usize = 8 * 1024 * 1024;

/// Answers to other requests that are skipped on one connection.
const SKIPPED: usize = 4;

/// A replica's whole answer.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers, without those of the connection.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// How an attempt ended.
#[derive(Debug)]
pub enum Ended {
    /// The answer was passed on whole.
    Answered,
    /// The caller has gone.
    Left,
    /// The replica was not reached.
    NotSent(String),
    /// It was not sent: the replica has gone or asked for rest since it was chosen.
    Withheld,
    /// The replica says that it did not run it.
    NotRun,
    /// The replica answers with a failure of its own; nothing of it was passed on.
    Failed(Box<Answer>),
    /// The connection to the replica ended: it may have run it, and there is no whole answer.
    Lost(String),
    /// The replica may have run it, and what it sends is no whole answer.
    Broken(String),
    /// The request's time is over.
    Late,
}

impl Ended {
    /// Whether it speaks against the replica.
    pub fn is_failure(&self) -> bool {
        !matches!(self, Ended::Answered | Ended::Left | Ended::Withheld | Ended::NotRun)
    }

    /// Its name in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Ended::Answered => "answered",
            Ended::Left => "caller_left",
            Ended::NotSent(_) => "not_sent",
            Ended::Withheld => "withheld",
            Ended::NotRun => "not_run",
            Ended::Failed(_) => "failed",
            Ended::Lost(_) => "lost",
            Ended::Broken(_) => "broken",
            Ended::Late => "late",
        }
    }
}

impl From<Broken> for Ended {
    fn from(b: Broken) -> Ended {
        match b {
            Broken::NotSent(why) => Ended::NotSent(why),
            Broken::Stale => Ended::Lost("the kept connection was closed".to_owned()),
            Broken::Closed(why) => Ended::Lost(why),
            Broken::Sent(why) => Ended::Broken(why),
        }
    }
}

/// Sends a request to the replica that was chosen, and passes its answer on. Returns how that ended,
/// and after which time the first byte of the answer's content came.
pub async fn run<D: Dialect>(
    job: &Job,
    client: &mut Client,
    progress: &mut Progress,
    chosen: &Chosen,
    which: Try,
) -> (Ended, Option<Duration>) {
    let (choice, replica) = (&chosen.choice, chosen.replica.as_str());
    let data_centre = chosen.data_centre.as_str();
    let (born, sent) = (job.gw.born(replica), Instant::now());
    let mut exchange =
        Exchange { job, choice, replica, data_centre, which, born, sent, first: None };
    let ended = exchange.run::<D>(client, progress).await;
    if matches!(ended, Ended::Lost(_)) {
        note_lost(job, choice.address, replica, exchange.sent);
    }
    (ended, exchange.first)
}

/// What an attempt consists of.
pub struct Exchange<'a> {
    /// The request.
    pub job: &'a Job,
    /// The choice of the replica.
    pub choice: &'a Choice,
    /// The replica's id.
    pub replica: &'a str,
    /// Its data centre.
    pub data_centre: &'a str,
    /// Which send of the request it is.
    which: Try,
    /// When the replica's life began that it had as it was chosen.
    born: u64,
    /// When the request was sent.
    pub sent: Instant,
    /// How long it took until the first event, or the head of an answer that is no stream.
    pub first: Option<Duration>,
}

impl Exchange<'_> {
    async fn run<D: Dialect>(&mut self, client: &mut Client, progress: &mut Progress) -> Ended {
        let until = self.job.deadline;
        // A caller that goes away ends the exchange, and with it the connection to the replica.
        // A head that has come is read first: it may say what holds for other requests.
        let done = tokio::select! {
            biased;
            done = timeout_at(until, self.begin::<D>(progress.events.last())) => done,
            () = client.gone() => return Ended::Left,
        };
        let (connection, head) = match done {
            Ok(Ok(begun)) => begun,
            Ok(Err(ended)) => return ended,
            Err(_) => return Ended::Late,
        };
        self.first = Some(self.sent.elapsed());
        self.finish::<D>(client, progress, connection, head).await
    }

    /// Sends the request and reads the head of its answer.
    async fn begin<D: Dialect>(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<(Connection, ResponseHead), Ended> {
        let gw = &self.job.gw;
        self.check()?;
        let mut connection = gw.connections.get(Instant::now(), self.choice.address).await?;
        if let Err(ended) = self.check() {
            gw.keep(&self.job.service, self.choice.address, self.replica, connection);
            return Err(ended);
        }
        self.sent = Instant::now();
        gw.notices.count_send(self.job, &self.addressee(), self.which);
        match self.send::<D>(&mut connection, last_event).await {
            Err(Broken::Stale) if self.job.is_repeatable() => {
                self.permit_again().await?;
                // Nothing of an answer came: a new connection tells whether the replica is there.
                connection = match gw.connections.fresh(self.choice.address).await {
                    Ok(c) => c,
                    Err(b) => {
                        note_lost(self.job, self.choice.address, self.replica, self.sent);
                        return Err(b.into());
                    }
                };
                self.check()?;
                gw.notices.count_send(self.job, &self.addressee(), Try::Again);
                self.send::<D>(&mut connection, last_event).await?;
            }
            sent => sent?,
        }
        self.own_head::<D>(connection).await
    }

    /// Whether the replica still takes the request: time has passed since it was chosen.
    fn check(&self) -> Result<(), Ended> {
        let (service, address) = (&self.job.service, self.choice.address);
        let may = self.job.gw.may_send(service, address, self.replica);
        may.then_some(()).ok_or(Ended::Withheld)
    }

    fn addressee(&self) -> Addressee<'_> {
        let (replica, address) = (self.replica, self.choice.address);
        Addressee { replica, address, born: self.born, sent: self.sent }
    }

    /// The replica may have got the first send: the second counts against its limit as well.
    async fn permit_again(&self) -> Result<(), Ended> {
        let (gw, priority) = (&self.job.gw, self.job.priority);
        let permit = gw.limits.permit(gw, self.replica, self.data_centre, priority).await;
        permit.map_err(|_| Ended::NotSent(gw.limits.describe(gw.now(), self.replica)))
    }

    async fn send<D: Dialect>(
        &self,
        connection: &mut Connection,
        last_event: Option<u64>,
    ) -> Result<(), Broken> {
        let job = self.job;
        let mut headers = job.headers.clone();
        let told = Told {
            deadline: Millis(job.left().as_millis() as u64),
            replica: self.replica,
            account: job.account.as_deref(),
            last_event,
            urgency: job.inbound.prompt.as_ref().map(|_| job.priority),
        };
        D::outbound(&mut headers, &told);
        let (method, uri, body) = (&job.method, &job.uri, &job.body);
        connection.send(Outbound { method, uri, headers, body }).await
    }

    /// The head of the answer to this request. Late answers to other requests are skipped.
    async fn own_head<D: Dialect>(
        &self,
        mut connection: Connection,
    ) -> Result<(Connection, ResponseHead), Ended> {
        for _ in 0..SKIPPED {
            let head = connection.head().await?;
            let said = D::head(&head);
            let is_own = said.id == Some(self.job.inbound.id.as_str());
            let notices = &self.job.gw.notices;
            if is_own || (said.id.is_none() && said.not_run) {
                notices.heard(self.job, &self.addressee(), &said);
                if !said.not_run && !said.another && said.rest == rest::RetryAfter::Absent {
                    self.job.gw.let_in(&self.job.service, self.choice);
                }
                return Ok((connection, head));
            }
            // Whatever request it answers, a rest is asked of this gateway.
            notices.hear_rest(self.job, &self.addressee(), &said);
            if said.another && said.id.is_none() {
                return Ok((connection, head));
            }
            while connection.piece().await?.is_some() {}
        }
        Err(Ended::Broken("the connection brings answers to other requests".to_owned()))
    }

    async fn finish<D: Dialect>(
        &mut self,
        client: &mut Client,
        progress: &mut Progress,
        connection: Connection,
        head: ResponseHead,
    ) -> Ended {
        let said = D::head(&head);
        let (not_run, sound) = (said.not_run || said.another, said.sound);
        if said.another {
            self.job.gw.replica_not_there(self.replica);
        }
        if !sound {
            return Ended::Broken("the answer is not in the form that was asked for".to_owned());
        }
        if self.job.kind == Kind::Stream && head.status.is_success() && !not_run {
            return stream::pass(self, client, progress, connection, head).await;
        }
        let whole = tokio::select! {
            whole = timeout_at(self.job.deadline, collect(connection)) => whole,
            () = client.gone() => return Ended::Left,
        };
        let (body, unframed) = match whole {
            Ok(Ok((connection, body))) => {
                let gw = &self.job.gw;
                let unframed = connection.is_unframed();
                // One that ends with its connection may have been cut short.
                if !unframed && !not_run {
                    gw.quarantines.answered(self.job);
                }
                gw.keep(&self.job.service, self.choice.address, self.replica, connection);
                (body, unframed)
            }
            Ok(Err(_)) if not_run => return Ended::NotRun,
            Ok(Err(b)) => return b.into(),
            Err(_) => return Ended::Late,
        };
        if not_run {
            return Ended::NotRun;
        }
        let headers = of_answer(&head);
        if head.status.is_server_error() {
            return Ended::Failed(Box::new(Answer { status: head.status, headers, body }));
        }
        let sent = match unframed {
            true => client.unframed(head.status, headers, body).await,
            false => client.whole(head.status, headers, body).await,
        };
        match sent {
            Ok(()) => Ended::Answered,
            Err(_) => Ended::Left,
        }
    }
}

/// A replica's headers, without those of the connection.
pub fn of_answer(head: &ResponseHead) -> HeaderMap {
    let mut headers = head.headers.clone();
    let keep_alive = HeaderName::from_static("keep-alive");
    for name in [CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING, keep_alive] {
        headers.remove(name);
    }
    headers
}

async fn collect(mut connection: Connection) -> Result<(Connection, Bytes), Broken> {
    let mut all = BytesMut::new();
    while let Some(piece) = connection.piece().await? {
        if all.len() + piece.len() > ANSWER_CAP {
            return Err(Broken::Sent("the answer is too large".to_owned()));
        }
        all.extend_from_slice(&piece);
    }
    Ok((connection, all.freeze()))
}
