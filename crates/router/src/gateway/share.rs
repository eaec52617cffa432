//! Requests between gateways: loans of tokens, permits, and announcements of long prompts.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::budget::Reservation;
use cypressfork_core::code::Code;
use cypressfork_core::fleet::document::budget_name;
use cypressfork_core::fleet::limit::permits;
use cypressfork_core::fleet::message_rate::MessageRateLimit;
use cypressfork_core::fleet::peer::{
    Loans, PeerReply, PeerRequest, Placement, Shortfall, choose_lenders,
};
use cypressfork_core::unit::{Millis, Time, Tokens};
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use cypressfork_node::group::GroupClient;
use cypressfork_node::link::{self, Credentials, Link};
use cypressfork_node::metric;
use cypressfork_node::silence;
use cypressfork_wire::{Ask, Call, Frame, Return, body};
use metrics::counter;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

use super::budget::holder_policy;
use super::dial::RelayLists;
use super::homes::Homes;
use super::relay;
use super::state::Gateway;
use crate::reservation_result::{Grantor, PartialReservation};
use crate::token_store::TokenStore;

/// Timeout of a lender's response.
const LEND_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum number of lenders asked for one request.
const MAX_LENDERS: usize = 6;

/// Time for which the known amount that a peer can spare remains valid.
const SPARE_TTL: Millis = Millis(1_000);

/// Time for which the settlement of a loan is retried.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout of an announcement. By then the replica has processed the prompt.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for which a peer that did not respond receives no announcements.
const UNRESPONSIVE_FOR: Millis = Millis(1_000);

/// Interval at which loans that were not settled in time are expired.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum time that a home waits for more tokens for a borrower.
const MAX_HOME_WAIT: Millis = Millis(1_000);

/// Delay after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Capacity of the queue of responses on a link to a peer.
const RESPONSE_QUEUE: usize = 256;

/// A loan made by this gateway, with its reservation.
struct Loan {
    token_store: Rc<TokenStore>,
    grantor: Grantor,
    budget: String,
    reservation: Reservation,
}

impl Loan {
    /// Settles the reservation with `used` tokens; the rest returns to the token store.
    fn settle(self, used: Tokens) {
        self.token_store.settle(self.grantor, &self.budget, self.reservation, used);
    }
}

/// The other gateways, and the loans between them and this one.
#[derive(Default)]
pub struct Peers {
    /// Clients for requests to other gateways, by address.
    clients: RefCell<BTreeMap<SocketAddr, GroupClient>>,
    /// The gateways that receive announcements of prompts, and that lend tokens where budgets have no
    /// homes.
    addresses: RefCell<BTreeSet<SocketAddr>>,
    /// The amount that each peer could last spare of an account, and when it was reported.
    spare: RefCell<BTreeMap<(SocketAddr, String), (Tokens, Time)>>,
    loans: RefCell<Loans<Loan>>,
    /// When each peer last failed to respond to an announcement.
    unresponsive_since: Rc<RefCell<BTreeMap<SocketAddr, Time>>>,
    announcement_limit: RefCell<MessageRateLimit>,
    /// Number of loans to this gateway whose settlement has not been delivered yet.
    unsettled: Rc<Cell<usize>>,
    /// The gateways that hold the tokens of budgets.
    pub homes: Homes,
}

/// Tokens that another gateway has reserved for a request of this one.
pub struct BorrowedTokens {
    lender: GroupClient,
    id: u64,
    tokens: Tokens,
    unsettled: Rc<Cell<usize>>,
}

impl BorrowedTokens {
    /// Returns the number of tokens.
    pub fn amount(&self) -> Tokens {
        self.tokens
    }

    /// Settles the loan: reports the number of used tokens to the lender in a separate task, with retries.
    pub fn settle(self, used: Tokens) {
        let ask = Ask::Share(body::pack(&PeerRequest::Settle { id: self.id, used }));
        self.unsettled.set(self.unsettled.get() + 1);
        actix_rt::spawn(async move {
            // A lender that is not reached in time counts the whole loan as used.
            let _ = self.lender.call(ask, SETTLE_TIMEOUT).await;
            self.unsettled.set(self.unsettled.get() - 1);
        });
    }
}

impl Peers {
    /// Adds the addresses of other gateways; `own` and invalid ones are ignored.
    pub fn add(&self, own: SocketAddr, addresses: &[String]) {
        let parsed = addresses.iter().filter_map(|a| a.parse::<SocketAddr>().ok());
        self.addresses.borrow_mut().extend(parsed.filter(|a| *a != own));
    }

    /// Returns the client for the gateway at `address`, and creates it on first use.
    fn client(&self, credentials: &Credentials, address: SocketAddr) -> GroupClient {
        let mut all = self.clients.borrow_mut();
        let create = || GroupClient::new(credentials.clone(), vec![address]);
        all.entry(address).or_insert_with(create).clone()
    }

    /// Replaces the peers with the gateways of this gateway's data centre, if budgets have homes there.
    /// Drops the clients of gateways that are no longer listed.
    pub fn update_from_homes(&self, own: SocketAddr) {
        let local = self.homes.local();
        if local.is_empty() {
            return;
        }
        *self.addresses.borrow_mut() = local.into_iter().filter(|a| *a != own).collect();
        self.clients.borrow_mut().retain(|a, _| self.homes.is_known(a));
    }

    /// Returns the gateways that may relay connections to replicas.
    pub fn relay_lists(&self) -> RelayLists {
        let near = self.addresses.borrow().iter().copied().collect();
        RelayLists { near, far: self.homes.remote_in_region() }
    }

    /// Returns the gateways of each data centre in this gateway's region; all in one list in small fleets.
    pub fn data_centres(&self) -> Vec<Vec<SocketAddr>> {
        let near = self.addresses.borrow().iter().copied().collect();
        let mut all = self.homes.remote_data_centres();
        all.push(near);
        all
    }

    /// Sends a request to the gateway at `to` and returns its response, or `None` if there is none within `within`.
    pub async fn ask(
        &self,
        gw: &Gateway,
        to: SocketAddr,
        request: &PeerRequest,
        within: Duration,
    ) -> Option<PeerReply> {
        let peer = self.client(&gw.credentials, to);
        let answer = peer.call(Ask::Share(body::pack(request)), within).await;
        body::unpack(&answer.ok()?).ok()
    }

    /// Sends a request to the gateway at `to` without waiting for its response.
    pub fn tell(&self, gw: &Gateway, to: SocketAddr, request: &PeerRequest) {
        let (peer, ask) = (self.client(&gw.credentials, to), Ask::Share(body::pack(request)));
        actix_rt::spawn(async move {
            if let Err(code) = peer.call(ask, ANNOUNCE_TIMEOUT).await {
                emit!(Event::LinkFailed, address = to, why = code);
            }
        });
    }

    /// Asks the gateway at `to` to back off from a replica, without waiting for its response.
    pub fn report_backoff(
        &self,
        gw: &Gateway,
        to: SocketAddr,
        service: &str,
        replica: SocketAddr,
        span: Millis,
    ) {
        let request = PeerRequest::BackedOff { service: service.to_owned(), replica, span };
        self.tell(gw, to, &request);
    }

    /// Asks all peers to back off from a replica for a `span` of their own, within the rate limit of announcements and
    /// without waiting for their responses.
    pub fn share_rejection(
        &self,
        gw: &Gateway,
        service: &str,
        replica: SocketAddr,
        mut span: impl FnMut() -> Millis,
    ) {
        let addresses = self.addresses.borrow();
        if self.announcement_limit.borrow_mut().try_take(gw.now(), addresses.len() as u64) {
            addresses.iter().for_each(|a| self.report_backoff(gw, *a, service, replica, span()));
        }
    }

    /// Returns whether the settlements of all loans to this gateway have been delivered or given up.
    pub fn is_settled(&self) -> bool {
        self.unsettled.get() == 0
    }

    /// Borrows tokens from a home, which waits for more for up to `within` if it has too few. Returns the
    /// loan, if any tokens were reserved, and the reason if fewer than `tokens` were.
    pub async fn borrow_from_home(
        &self,
        gw: &Gateway,
        home: SocketAddr,
        account: &str,
        tokens: Tokens,
        within: Duration,
    ) -> (Option<BorrowedTokens>, Option<Shortfall>) {
        let lender = self.client(&gw.credentials, home);
        let id = rand::random();
        let wait = Millis(within.as_millis() as u64);
        let request = PeerRequest::Hold { id, account: account.to_owned(), tokens, within: wait };
        let answer = lender.call(Ask::Share(body::pack(&request)), within + LEND_TIMEOUT).await;
        let loan =
            |tokens| BorrowedTokens { lender, id, tokens, unsettled: self.unsettled.clone() };
        match answer.ok().and_then(|b| body::unpack::<PeerReply>(&b).ok()) {
            Some(PeerReply::Held(reserved, shortfall)) => {
                if shortfall == Some(Shortfall::Closed) {
                    self.homes.mark_unavailable(gw.now(), home);
                }
                ((reserved > 0).then(|| loan(reserved.min(tokens))), shortfall)
            }
            _ => {
                // The home may have reserved tokens although no response arrived.
                loan(0).settle(0);
                emit!(Event::HomeUnreachable, address = home, account = account);
                self.homes.mark_unavailable(gw.now(), home);
                (None, Some(Shortfall::Closed))
            }
        }
    }

    /// Requests permits from another gateway. Returns `None` if it does not respond within `within`.
    pub async fn request_permits(
        &self,
        gw: &Gateway,
        issuer: SocketAddr,
        req: &permits::PermitRequest,
        within: Duration,
    ) -> Option<permits::Grant> {
        match self.ask(gw, issuer, &PeerRequest::Permit(req.clone()), within).await? {
            PeerReply::Permitted(grant) => Some(grant),
            _ => None,
        }
    }

    /// Asks another gateway, the primary permit issuer of a replica, how much longer it issues permits at the
    /// reduced rate. Returns `Some(None)` if it does not, and `None` if it does not respond in time.
    pub async fn query_reduced_rate(
        &self,
        gw: &Gateway,
        issuer: SocketAddr,
        replica: &str,
        data_centre: &str,
    ) -> Option<Option<Millis>> {
        let (replica, data_centre) = (replica.to_owned(), data_centre.to_owned());
        let request = PeerRequest::Settles { replica, data_centre };
        match self.ask(gw, issuer, &request, LEND_TIMEOUT).await? {
            PeerReply::Settles(reduced_for) => Some(reduced_for),
            _ => None,
        }
    }

    /// Returns the peers to ask for tokens of an account, those expected to spare the most first.
    fn lenders(&self, now: Time, account: &str) -> Vec<SocketAddr> {
        let spare = self.spare.borrow();
        let expected_spare = |a: &SocketAddr| {
            let known = spare.get(&(*a, account.to_owned()));
            // An unknown or outdated amount counts as unlimited.
            let recent = known.filter(|(_, at)| now.since(*at) < SPARE_TTL);
            recent.map_or(Tokens::MAX, |(tokens, _)| *tokens)
        };
        let addresses = self.addresses.borrow();
        let all = addresses.iter().map(|a| (*a, expected_spare(a)));
        choose_lenders(all.filter(|(_, spare)| *spare > 0), MAX_LENDERS, &mut rand::rng())
    }

    /// Borrows `tokens` from several peers, a part from each. Returns `None` and settles all parts as
    /// unused if the peers cannot spare enough.
    pub async fn borrow(
        &self,
        gw: &Gateway,
        account: &str,
        tokens: Tokens,
    ) -> Option<Vec<BorrowedTokens>> {
        let mut parts = Vec::new();
        let mut missing = tokens;
        for address in self.lenders(gw.now(), account) {
            if let Some(part) = self.borrow_from(gw, address, account, missing).await {
                missing -= part.amount();
                parts.push(part);
            }
            if missing == 0 {
                counter!(metric::BORROWED).increment(tokens);
                emit!(
                    Event::TokensBorrowed,
                    account = account,
                    tokens = tokens,
                    lenders = parts.len()
                );
                return Some(parts);
            }
        }
        parts.into_iter().for_each(|part| part.settle(0));
        None
    }

    /// Borrows up to `max` tokens from one peer. Returns `None` if it spares none or does not respond.
    async fn borrow_from(
        &self,
        gw: &Gateway,
        address: SocketAddr,
        account: &str,
        max: Tokens,
    ) -> Option<BorrowedTokens> {
        let lender = self.client(&gw.credentials, address);
        let id = rand::random();
        let unsettled = self.unsettled.clone();
        let request = PeerRequest::Reserve { id, account: account.to_owned(), tokens: max };
        let answer = lender.call(Ask::Share(body::pack(&request)), LEND_TIMEOUT).await;
        match answer.ok().and_then(|b| body::unpack::<PeerReply>(&b).ok()) {
            Some(PeerReply::Reserved(tokens)) => {
                if tokens < max {
                    let key = (address, account.to_owned());
                    self.spare.borrow_mut().insert(key, (0, gw.now()));
                }
                let loan = BorrowedTokens { lender, id, tokens: tokens.min(max), unsettled };
                (tokens > 0).then_some(loan)
            }
            _ => {
                // The peer may have reserved tokens although no response arrived.
                BorrowedTokens { lender, id, tokens: 0, unsettled }.settle(0);
                None
            }
        }
    }

    /// Announces a prompt sent to a replica to all peers, without waiting for their responses. Only counts
    /// the prompt if the rate limit of announcements is reached.
    pub fn announce_placement(&self, gw: &Gateway, p: Placement) {
        let (now, clock) = (gw.now(), gw.clock);
        let addresses = self.addresses.borrow();
        if !self.announcement_limit.borrow_mut().try_take(now, addresses.len() as u64) {
            return counter!(metric::UNSHARED_PROMPTS).increment(1);
        }
        let ask = Ask::Share(body::pack(&PeerRequest::Placed(p)));
        for address in addresses.iter().copied() {
            let failed_at = self.unresponsive_since.borrow().get(&address).copied();
            if failed_at.is_some_and(|at| now.since(at) < UNRESPONSIVE_FOR) {
                continue;
            }
            let (peer, ask) = (self.client(&gw.credentials, address), ask.clone());
            let unresponsive_since = self.unresponsive_since.clone();
            actix_rt::spawn(async move {
                // Not retried: the peer only lacks this prompt in its choice of replicas.
                if let Err(code) = peer.call(ask, ANNOUNCE_TIMEOUT).await {
                    emit!(Event::LinkFailed, address = address, why = code);
                    unresponsive_since.borrow_mut().insert(address, clock.now());
                }
            });
        }
    }

    /// Serves a request of another gateway, except [`PeerRequest::Hold`].
    fn serve(&self, gw: &Gateway, request: PeerRequest) -> Result<PeerReply, Code> {
        let now = gw.now();
        match request {
            PeerRequest::Reserve { id, account, tokens } => self.lend(gw, id, &account, tokens),
            PeerRequest::Settle { id, used } => {
                if let Some(loan) = self.loans.borrow_mut().settle(now, id) {
                    loan.settle(used);
                }
                Ok(PeerReply::Settled)
            }
            PeerRequest::Placed(p) => {
                gw.record_peer_placement(&p);
                Ok(PeerReply::Noted)
            }
            PeerRequest::Permit(ask) => Ok(PeerReply::Permitted(gw.limits.issue_permits(gw, &ask))),
            PeerRequest::Settles { replica, data_centre } => {
                Ok(PeerReply::Settles(gw.limits.reduced_for(gw, &replica, &data_centre)))
            }
            PeerRequest::BackedOff { service, replica, span } => {
                gw.back_off(&service, replica, span);
                Ok(PeerReply::Noted)
            }
            PeerRequest::KeepOrigins(records) => {
                gw.origins.keep(now, records);
                Ok(PeerReply::Noted)
            }
            PeerRequest::FindOrigin(stream) => Ok(PeerReply::Origin(gw.origins.get(now, &stream))),
            // Served by [`Peers::serve_hold`], because it may wait, and by [`relay::serve`], on a link of its own.
            PeerRequest::Hold { .. } | PeerRequest::Connect(_) => Err(Code::MessageBad),
        }
    }

    /// Reserves tokens for a request of another gateway, waiting for more if there are too few.
    async fn serve_hold(
        &self,
        gw: &Gateway,
        id: u64,
        account: &str,
        tokens: Tokens,
        within: Millis,
    ) -> PeerReply {
        let prepaid = gw.documents.in_force().and_then(|r| r.prepaid(account));
        let (Some(prepaid), Some(token_store)) = (prepaid, gw.token_store()) else {
            return PeerReply::Held(0, Some(Shortfall::Closed));
        };
        if gw.stop.is_requested() {
            return PeerReply::Held(0, Some(Shortfall::Closed));
        }
        let budget = budget_name(account);
        let policy = holder_policy(gw, &budget, prepaid);
        let within = Duration::from_millis(within.0.min(MAX_HOME_WAIT.0));
        let PartialReservation { reserved, shortfall } = match within {
            Duration::ZERO => token_store.reserve_available(&budget, policy, tokens),
            within => {
                token_store.reserve_up_to(&budget, policy, tokens, Instant::now() + within).await
            }
        };
        let Some((grantor, reservation)) = reserved else { return PeerReply::Held(0, shortfall) };
        let mut loans = self.loans.borrow_mut();
        let loan = Loan { token_store, grantor, budget, reservation };
        // The borrower may have settled the loan meanwhile, or sent the request twice.
        if let Err(loan) = loans.open_once(gw.now(), id, loan) {
            loan.settle(0);
        }
        PeerReply::Held(loans.get(id).map_or(0, |loan| loan.reservation.amount()), shortfall)
    }

    /// Reserves as many of the tokens as this gateway can spare for another gateway. A repeated request
    /// gets the same response.
    fn lend(
        &self,
        gw: &Gateway,
        id: u64,
        account: &str,
        tokens: Tokens,
    ) -> Result<PeerReply, Code> {
        let mut loans = self.loans.borrow_mut();
        if let Some(loan) = loans.get(id) {
            return Ok(PeerReply::Reserved(loan.reservation.amount()));
        }
        if gw.stop.is_requested() {
            return Ok(PeerReply::Reserved(0));
        }
        let prepaid = gw.documents.in_force().and_then(|r| r.prepaid(account));
        let (Some(prepaid), Some(token_store)) = (prepaid, gw.token_store()) else {
            return Ok(PeerReply::Reserved(0));
        };
        let budget = budget_name(account);
        let policy = holder_policy(gw, &budget, prepaid);
        let reservation = match loans.can_open(id) {
            true => token_store.reserve_part(&budget, policy, tokens),
            false => None,
        };
        let Some(reservation) = reservation else { return Ok(PeerReply::Reserved(0)) };
        let amount = reservation.amount();
        let grantor = Grantor::Group;
        loans.open(gw.now(), id, Loan { token_store, grantor, budget, reservation });
        Ok(PeerReply::Reserved(amount))
    }
}

/// Accepts links from other gateways and serves each in its own task. Never returns.
pub async fn serve_peers(gw: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                actix_rt::spawn(serve_peer(gw.clone(), stream, from));
            }
            // Most likely the process is out of file descriptors, which are released later.
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Serves the requests of another gateway on one link, until the link ends.
async fn serve_peer(gw: Rc<Gateway>, stream: TcpStream, from: SocketAddr) {
    // Without the options, a peer that fell silent is noticed later.
    let _ = silence::PROMPT.apply(&stream);
    let mut link = match link::accept(stream, &gw.credentials).await {
        Ok(link) => link,
        Err(e) => return emit!(Event::LinkRefused, address = from, why = e),
    };
    let Ok(Frame::Call(mut c)) = link.reader.next().await else { return };
    if let Ok(PeerRequest::Connect(request)) = peer_request(&c) {
        return relay::serve(&gw, link, c.id, &request).await;
    }
    let Link { mut reader, mut writer, .. } = link;
    let (tx, mut rx) = mpsc::channel(RESPONSE_QUEUE);
    let writing = actix_rt::spawn(async move {
        while let Some(f) = rx.recv().await {
            if writer.send(&f).await.is_err() {
                return;
            }
        }
    });
    loop {
        if serve_call(&gw, &c, &tx).await.is_err() {
            break;
        }
        match reader.next().await {
            Ok(Frame::Call(next)) => c = next,
            _ => break,
        }
    }
    writing.abort();
}

fn peer_request(c: &Call) -> Result<PeerRequest, Code> {
    match &c.ask {
        Ask::Share(bytes) => body::unpack(bytes).map_err(|_| Code::MessageBad),
        _ => Err(Code::MessageBad),
    }
}

/// Serves one request on a link. Fails if the link has ended.
async fn serve_call(
    gw: &Rc<Gateway>,
    c: &Call,
    tx: &mpsc::Sender<Frame>,
) -> Result<(), mpsc::error::SendError<Frame>> {
    let request = peer_request(c);
    if let Ok(PeerRequest::Hold { id, account, tokens, within }) = request {
        // Served in its own task, so that it does not block other requests on this link.
        let (gw, tx, call) = (gw.clone(), tx.clone(), c.id);
        actix_rt::spawn(async move {
            let reply = gw.peers.serve_hold(&gw, id, &account, tokens, within).await;
            // If the link has ended, the borrower settles the loan on another one.
            let _ = tx.send(response_frame(call, Ok(reply))).await;
        });
        return Ok(());
    }
    let result = request.and_then(|r| gw.peers.serve(gw, r));
    tx.send(response_frame(c.id, result)).await
}

/// Returns the message that responds to the call `id`.
pub fn response_frame(id: i64, result: Result<PeerReply, Code>) -> Frame {
    Frame::Answer(match result {
        Ok(reply) => Return::new(id, 0, Some(body::pack(&reply)), None),
        Err(code) => Return::new(id, i32::from(code.number()), None, None),
    })
}

/// Expires loans that were not settled in time and counts them as used. Never returns.
pub async fn expire_loans_forever(gw: Rc<Gateway>) {
    loop {
        sleep(EXPIRE_INTERVAL).await;
        for loan in gw.peers.loans.borrow_mut().expire(gw.now()) {
            loan.settle(Tokens::MAX);
        }
    }
}
