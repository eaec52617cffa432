//! Lending tokens to other gateways, borrowing from them, and telling them of long prompts.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::budget::{Policy, Reservation};
use cypressfork_core::code::Code;
use cypressfork_core::fleet::document::budget_name;
use cypressfork_core::fleet::limit::permits;
use cypressfork_core::fleet::share::{
    Loans, PeerReply, PeerRequest, Placement, Shortfall, choose_lenders,
};
use cypressfork_core::fleet::telling::MessageRateLimit;
use cypressfork_core::unit::{Millis, Time, Tokens};
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use cypressfork_node::group::Group;
use cypressfork_node::link::{self, Credentials, Link};
use cypressfork_node::metric;
use cypressfork_wire::{Ask, Frame, Return, body};
use metrics::counter;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

use super::homes::Homes;
use super::state::Gateway;
use crate::taken::{Source, Taken};
use crate::token_store::TokenStore;

/// How long a lender may take to answer.
const LEND_WITHIN: Duration = Duration::from_millis(150);

/// Lenders that are asked for one request.
const LENDERS: usize = 6;

/// How long it counts what a peer said that it can spare.
const SPARE_KEPT: Millis = Millis(1_000);

/// How long a word on what was used is sent again.
const SETTLE_WITHIN: Duration = Duration::from_secs(20);

/// How long a peer may take to hear of a prompt: later, the replica has read it.
const TELL_WITHIN: Duration = Duration::from_millis(200);

/// How long a peer that did not answer is told nothing.
const TELL_PAUSE: Millis = Millis(1_000);

/// How often loans whose borrowers keep silent are looked for.
const EXPIRE_EVERY: Duration = Duration::from_secs(5);

/// The longest that a home waits for more tokens, whatever a borrower asks for.
const WAIT_MOST: Millis = Millis(1_000);

/// How long to wait when no connection can be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers that may wait for a link to a peer.
const QUEUE: usize = 256;

/// What a lender holds for one loan.
struct Lent {
    token_store: Rc<TokenStore>,
    source: Source,
    budget: String,
    reservation: Reservation,
}

impl Lent {
    fn settle(self, used: Tokens) {
        self.token_store.settle(self.source, &self.budget, self.reservation, used);
    }
}

/// Other gateways, and the loans between them and this one.
#[derive(Default)]
pub struct Share {
    /// Clients of other gateways.
    clients: RefCell<BTreeMap<SocketAddr, Group>>,
    /// Those that are told of prompts, and asked for tokens where budgets have no homes.
    peers: RefCell<BTreeSet<SocketAddr>>,
    /// What each peer could last spare of an account, and when it said so.
    spare: RefCell<BTreeMap<(SocketAddr, String), (Tokens, Time)>>,
    loans: RefCell<Loans<Lent>>,
    /// When each peer last did not answer when it was told of a prompt.
    unheard: Rc<RefCell<BTreeMap<SocketAddr, Time>>>,
    telling: RefCell<MessageRateLimit>,
    /// Lenders that have yet to hear what was used.
    unsettled: Rc<Cell<usize>>,
    /// Where the tokens of budgets are kept.
    pub homes: Homes,
}

/// Tokens that another gateway has set aside for a request of this one.
pub struct Borrowed {
    lender: Group,
    id: u64,
    tokens: Tokens,
    unsettled: Rc<Cell<usize>>,
}

impl Borrowed {
    /// How many.
    pub fn amount(&self) -> Tokens {
        self.tokens
    }

    /// Tells the lender what was used.
    pub fn settle(self, used: Tokens) {
        let ask = Ask::Share(body::pack(&PeerRequest::Settle { id: self.id, used }));
        self.unsettled.set(self.unsettled.get() + 1);
        actix_rt::spawn(async move {
            // Out of reach for that long, the lender counts all of it as used.
            let _ = self.lender.call(ask, SETTLE_WITHIN).await;
            self.unsettled.set(self.unsettled.get() - 1);
        });
    }
}

impl Share {
    /// Takes addresses of other gateways into use.
    pub fn meet(&self, own: SocketAddr, addresses: &[String]) {
        let parsed = addresses.iter().filter_map(|a| a.parse::<SocketAddr>().ok());
        self.peers.borrow_mut().extend(parsed.filter(|a| *a != own));
    }

    fn client(&self, me: &Credentials, address: SocketAddr) -> Group {
        let mut all = self.clients.borrow_mut();
        let fresh = || Group::new(me.clone(), vec![address]);
        all.entry(address).or_insert_with(fresh).clone()
    }

    /// Takes the gateways of the own data centre into use as the only peers, and forgets those
    /// that are no longer listed.
    pub fn meet_near(&self, own: SocketAddr) {
        let near = self.homes.near();
        if near.is_empty() {
            return;
        }
        *self.peers.borrow_mut() = near.into_iter().filter(|a| *a != own).collect();
        self.clients.borrow_mut().retain(|a, _| self.homes.is_known(a));
    }

    /// Whether every lender has heard what was used of its loans.
    pub fn is_settled(&self) -> bool {
        self.unsettled.get() == 0
    }

    /// Has a home set tokens aside, waiting there for `within` at most if it has too few.
    pub async fn hold(
        &self,
        gw: &Gateway,
        home: SocketAddr,
        account: &str,
        tokens: Tokens,
        within: Duration,
    ) -> (Option<Borrowed>, Option<Shortfall>) {
        let lender = self.client(&gw.me, home);
        let id = rand::random();
        let wait = Millis(within.as_millis() as u64);
        let request = PeerRequest::Hold { id, account: account.to_owned(), tokens, within: wait };
        let answer = lender.call(Ask::Share(body::pack(&request)), within + LEND_WITHIN).await;
        let loan = |tokens| Borrowed { lender, id, tokens, unsettled: self.unsettled.clone() };
        match answer.ok().and_then(|b| body::unpack::<PeerReply>(&b).ok()) {
            Some(PeerReply::Held(held, short)) => {
                if short == Some(Shortfall::Closed) {
                    self.homes.set_out(gw.now(), home);
                }
                ((held > 0).then(|| loan(held.min(tokens))), short)
            }
            _ => {
                // It may have set some aside all the same.
                loan(0).settle(0);
                emit!(Event::HomeLost, address = home, account = account);
                self.homes.set_out(gw.now(), home);
                (None, Some(Shortfall::Closed))
            }
        }
    }

    /// Asks another gateway for permits; none if it does not answer in time.
    pub async fn permits(
        &self,
        gw: &Gateway,
        home: SocketAddr,
        ask: &permits::PermitRequest,
        within: Duration,
    ) -> Option<permits::Grant> {
        let home = self.client(&gw.me, home);
        let request = PeerRequest::Permit(ask.clone());
        let answer = home.call(Ask::Share(body::pack(&request)), within).await;
        match body::unpack::<PeerReply>(&answer.ok()?).ok()? {
            PeerReply::Permitted(grant) => Some(grant),
            _ => None,
        }
    }

    /// Asks another gateway how much longer it stands back as the first of a replica; none if it does not
    /// answer in time.
    pub async fn settles(
        &self,
        gw: &Gateway,
        home: SocketAddr,
        replica: &str,
        data_centre: &str,
    ) -> Option<Option<Millis>> {
        let home = self.client(&gw.me, home);
        let (replica, data_centre) = (replica.to_owned(), data_centre.to_owned());
        let request = PeerRequest::Settles { replica, data_centre };
        let answer = home.call(Ask::Share(body::pack(&request)), LEND_WITHIN).await;
        match body::unpack::<PeerReply>(&answer.ok()?).ok()? {
            PeerReply::Settles(settles) => Some(settles),
            _ => None,
        }
    }

    /// The peers to ask for tokens of an account: those that can likely spare most first.
    fn lenders(&self, now: Time, account: &str) -> Vec<SocketAddr> {
        let spare = self.spare.borrow();
        let hope = |a: &SocketAddr| {
            let known = spare.get(&(*a, account.to_owned()));
            // What was said long ago tells nothing.
            let fresh = known.filter(|(_, at)| now.since(*at) < SPARE_KEPT);
            fresh.map_or(Tokens::MAX, |(tokens, _)| *tokens)
        };
        let peers = self.peers.borrow();
        let all = peers.iter().map(|a| (*a, hope(a)));
        choose_lenders(all.filter(|(_, hope)| *hope > 0), LENDERS, &mut rand::rng())
    }

    /// Borrows `tokens` of peers, a part from each; none if those that answer cannot spare enough.
    pub async fn borrow(
        &self,
        gw: &Gateway,
        account: &str,
        tokens: Tokens,
    ) -> Option<Vec<Borrowed>> {
        let mut parts = Vec::new();
        let mut missing = tokens;
        for address in self.lenders(gw.now(), account) {
            if let Some(part) = self.borrow_of(gw, address, account, missing).await {
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

    /// Borrows what one peer can spare of `most` tokens.
    async fn borrow_of(
        &self,
        gw: &Gateway,
        address: SocketAddr,
        account: &str,
        most: Tokens,
    ) -> Option<Borrowed> {
        let lender = self.client(&gw.me, address);
        let id = rand::random();
        let unsettled = self.unsettled.clone();
        let request = PeerRequest::Reserve { id, account: account.to_owned(), tokens: most };
        let answer = lender.call(Ask::Share(body::pack(&request)), LEND_WITHIN).await;
        match answer.ok().and_then(|b| body::unpack::<PeerReply>(&b).ok()) {
            Some(PeerReply::Reserved(tokens)) => {
                if tokens < most {
                    let key = (address, account.to_owned());
                    self.spare.borrow_mut().insert(key, (0, gw.now()));
                }
                let loan = Borrowed { lender, id, tokens: tokens.min(most), unsettled };
                (tokens > 0).then_some(loan)
            }
            _ => {
                // It may have set some aside all the same.
                Borrowed { lender, id, tokens: 0, unsettled }.settle(0);
                None
            }
        }
    }

    /// Tells peers of a prompt that was sent to a replica, without waiting for them.
    pub fn tell(&self, gw: &Gateway, p: Placement) {
        let (now, clock) = (gw.now(), gw.clock);
        let peers = self.peers.borrow();
        if !self.telling.borrow_mut().try_take(now, peers.len() as u64) {
            return counter!(metric::UNTOLD).increment(1);
        }
        let ask = Ask::Share(body::pack(&PeerRequest::Placed(p)));
        for address in peers.iter().copied() {
            let unheard = self.unheard.borrow().get(&address).copied();
            if unheard.is_some_and(|at| now.since(at) < TELL_PAUSE) {
                continue;
            }
            let (peer, ask) = (self.client(&gw.me, address), ask.clone());
            let unheard = self.unheard.clone();
            actix_rt::spawn(async move {
                // It reckons without this prompt, no worse than before it could be told.
                if let Err(code) = peer.call(ask, TELL_WITHIN).await {
                    emit!(Event::LinkFailed, address = address, why = code);
                    unheard.borrow_mut().insert(address, clock.now());
                }
            });
        }
    }

    fn serve(&self, gw: &Gateway, request: PeerRequest) -> Result<PeerReply, Code> {
        let now = gw.now();
        match request {
            PeerRequest::Reserve { id, account, tokens } => self.lend(gw, id, &account, tokens),
            PeerRequest::Settle { id, used } => {
                if let Some(lent) = self.loans.borrow_mut().settle(now, id) {
                    lent.settle(used);
                }
                Ok(PeerReply::Settled)
            }
            PeerRequest::Placed(p) => {
                gw.placed(&p);
                Ok(PeerReply::Noted)
            }
            PeerRequest::Permit(ask) => Ok(PeerReply::Permitted(gw.limits.serve(gw, &ask))),
            PeerRequest::Settles { replica, data_centre } => {
                Ok(PeerReply::Settles(gw.limits.settles(gw, &replica, &data_centre)))
            }
            // It may have to wait, and is served by [`Share::serve_home`].
            PeerRequest::Hold { .. } => Err(Code::MessageBad),
        }
    }

    /// Sets tokens aside for a request of another gateway, waiting for more if there are too few.
    async fn serve_home(
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
        if gw.stopping.get() {
            return PeerReply::Held(0, Some(Shortfall::Closed));
        }
        let (budget, policy) = (budget_name(account), Policy::for_prepaid(prepaid));
        let within = Duration::from_millis(within.0.min(WAIT_MOST.0));
        let Taken { part, short } = match within {
            Duration::ZERO => token_store.take_at_hand(&budget, policy, tokens),
            within => token_store.take(&budget, policy, tokens, Instant::now() + within).await,
        };
        let Some((source, reservation)) = part else { return PeerReply::Held(0, short) };
        let mut loans = self.loans.borrow_mut();
        let lent = Lent { token_store, source, budget, reservation };
        // The borrower may have given up meanwhile, or asked twice.
        if let Err(lent) = loans.open_once(gw.now(), id, lent) {
            lent.settle(0);
        }
        PeerReply::Held(loans.get(id).map_or(0, |lent| lent.reservation.amount()), short)
    }

    fn lend(
        &self,
        gw: &Gateway,
        id: u64,
        account: &str,
        tokens: Tokens,
    ) -> Result<PeerReply, Code> {
        let mut loans = self.loans.borrow_mut();
        if let Some(lent) = loans.get(id) {
            return Ok(PeerReply::Reserved(lent.reservation.amount()));
        }
        let prepaid = gw.documents.in_force().and_then(|r| r.prepaid(account));
        let (Some(prepaid), Some(token_store)) = (prepaid, gw.token_store()) else {
            return Ok(PeerReply::Reserved(0));
        };
        let (budget, policy) = (budget_name(account), Policy::for_prepaid(prepaid));
        let reservation = match loans.can_open(id) {
            true => token_store.reserve_part(&budget, policy, tokens),
            false => None,
        };
        let Some(reservation) = reservation else { return Ok(PeerReply::Reserved(0)) };
        let lent = reservation.amount();
        let source = Source::Group;
        loans.open(gw.now(), id, Lent { token_store, source, budget, reservation });
        Ok(PeerReply::Reserved(lent))
    }
}

/// Serves other gateways.
pub async fn serve_peers(gw: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                actix_rt::spawn(serve_peer(gw.clone(), stream, from));
            }
            // Out of descriptors, most likely: those in use come free again.
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve_peer(gw: Rc<Gateway>, stream: TcpStream, from: SocketAddr) {
    let Link { mut reader, mut writer, .. } = match link::accept(stream, &gw.me).await {
        Ok(link) => link,
        Err(e) => return emit!(Event::LinkRefused, address = from, why = e),
    };
    let (tx, mut rx) = mpsc::channel(QUEUE);
    let writing = actix_rt::spawn(async move {
        while let Some(f) = rx.recv().await {
            if writer.send(&f).await.is_err() {
                return;
            }
        }
    });
    while let Ok(Frame::Call(c)) = reader.next().await {
        let request = match &c.ask {
            Ask::Share(bytes) => body::unpack::<PeerRequest>(bytes).map_err(|_| Code::MessageBad),
            _ => Err(Code::MessageBad),
        };
        if let Ok(PeerRequest::Hold { id, account, tokens, within }) = request {
            // Others on this link need not wait for it.
            let (gw, tx) = (gw.clone(), tx.clone());
            actix_rt::spawn(async move {
                let reply = gw.share.serve_home(&gw, id, &account, tokens, within).await;
                // A borrower that has gone settles on another link.
                let _ = tx.send(answer(c.id, Ok(reply))).await;
            });
            continue;
        }
        let result = request.and_then(|r| gw.share.serve(&gw, r));
        if tx.send(answer(c.id, result)).await.is_err() {
            break;
        }
    }
    writing.abort();
}

fn answer(id: i64, result: Result<PeerReply, Code>) -> Frame {
    Frame::Answer(match result {
        Ok(reply) => Return::new(id, 0, Some(body::pack(&reply)), None),
        Err(code) => Return::new(id, i32::from(code.number()), None, None),
    })
}

/// Ends loans whose borrowers keep silent, for as long as the process runs.
pub async fn expire_forever(gw: Rc<Gateway>) {
    loop {
        sleep(EXPIRE_EVERY).await;
        for lent in gw.share.loans.borrow_mut().expire(gw.now()) {
            lent.settle(Tokens::MAX);
        }
    }
}
