//! Reservation of a request's tokens before it is sent to a replica.
//!
//! A budget with home gateways is reserved at those, any other in this gateway's own slices.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::budget::{Policy, Reservation, TokenUsage, may_wait_for_limit};
use cypressfork_core::code::Code;
use cypressfork_core::fleet::document::budget_name;
use cypressfork_core::fleet::peer::{Shortfall, split_charge};
use cypressfork_core::unit::{Millis, Tokens};
use tokio::time::{Instant, sleep};

use super::share::BorrowedTokens;
use super::state::Gateway;
use crate::reply::Refusal;
use crate::reservation_result::{Available, Grantor, PartialReservation};
use crate::token_store::TokenStore;

/// How long a request waits for more tokens before other gateways are asked.
const SHORT_WAIT: Duration = Duration::from_millis(60);

/// How long a request waits at a home for recalled tokens. The earlier rounds take up to two times
/// [`SHORT_WAIT`] and a round trip to each other data centre.
const HOME_RECALL_WAIT: Duration = Duration::from_millis(200);

/// How long a request without homes waits for this gateway's registration, and later for recalled tokens.
const RECALL_WAIT: Duration = Duration::from_millis(400);

/// `Retry-After` while tokens are leased elsewhere and no home returned a delay.
const DEFAULT_RETRY_AFTER: Millis = Millis(700);

/// Bounds of a `Retry-After` that is taken from the delay that a home returned. The upper one does not
/// apply to a home whose spending limit is reached.
const MIN_HOME_RETRY_AFTER: Millis = Millis(300);
const MAX_HOME_RETRY_AFTER: Millis = Millis::seconds(2);

/// Tokens reserved for one request. Must be ended with [`TokenReservation::settle`].
#[derive(Default)]
pub struct TokenReservation {
    parts: Vec<Part>,
}

/// A part of a request's reservation.
enum Part {
    /// Reserved in this gateway's own slices.
    Own(OwnReservation),
    /// Reserved by another gateway.
    Borrowed(BorrowedTokens),
}

impl Part {
    fn amount(&self) -> Tokens {
        match self {
            Part::Own(o) => o.reservation.amount(),
            Part::Borrowed(b) => b.amount(),
        }
    }

    fn settle(self, used: Tokens) {
        match self {
            Part::Own(o) => o.settle(used),
            Part::Borrowed(b) => b.settle(used),
        }
    }
}

/// Tokens reserved in this gateway's own slices.
struct OwnReservation {
    token_store: Rc<TokenStore>,
    grantor: Grantor,
    budget: String,
    reservation: Reservation,
}

impl OwnReservation {
    async fn begin(&mut self, deadline: Instant) -> bool {
        let OwnReservation { token_store, grantor, budget, reservation } = self;
        token_store.begin(*grantor, budget, reservation, deadline).await
    }

    fn settle(self, used: Tokens) {
        self.token_store.settle(self.grantor, &self.budget, self.reservation, used);
    }
}

/// The tokens that a request needs from a budget.
struct TokenDemand<'a> {
    account: &'a str,
    budget: String,
    policy: Policy,
    /// The most tokens that the request can use.
    max_tokens: Tokens,
    deadline: Instant,
}

impl TokenDemand<'_> {
    fn time_left(&self) -> Millis {
        Millis(self.deadline.saturating_duration_since(Instant::now()).as_millis() as u64)
    }
}

/// Reserves `max_tokens`, the most that a request can use. Returns the refusal for the caller if they cannot be
/// reserved, at `deadline` at the latest.
pub async fn reserve_tokens(
    gw: &Gateway,
    account: &str,
    prepaid: Tokens,
    max_tokens: Tokens,
    deadline: Instant,
) -> Result<TokenReservation, Refusal> {
    let budget = budget_name(account);
    let demand = TokenDemand {
        account,
        policy: holder_policy(gw, &budget, prepaid),
        budget,
        max_tokens,
        deadline,
    };
    gw.peers.homes.record_request(gw.now(), &demand.budget);
    let reserved = match reserve_parts(gw, &demand).await {
        Err(Unreserved { limit_allows_in: Some(after), .. })
            if may_wait_for_limit(after, demand.time_left()) =>
        {
            sleep(Duration::from_millis(after.0)).await;
            reserve_parts(gw, &demand).await
        }
        reserved => reserved,
    };
    let parts = reserved.map_err(|u| u.refusal)?;
    Ok(TokenReservation { parts })
}

/// Why a request's tokens could not be reserved.
struct Unreserved {
    /// The refusal for the caller.
    refusal: Refusal,
    /// How long until a holder's spending limit allows the tokens, if it has them.
    limit_allows_in: Option<Millis>,
}

impl From<Refusal> for Unreserved {
    fn from(refusal: Refusal) -> Unreserved {
        Unreserved { refusal, limit_allows_in: None }
    }
}

async fn reserve_parts(gw: &Gateway, demand: &TokenDemand<'_>) -> Result<Vec<Part>, Unreserved> {
    let own = gw.settings.link_advertise;
    match gw.peers.homes.for_budget(gw.now(), own, &demand.budget).is_empty() {
        true => reserve_locally(gw, demand).await,
        false => reserve_at_homes(gw, demand).await,
    }
}

/// Returns this gateway's policy as a holder of a budget of `prepaid` tokens.
pub fn holder_policy(gw: &Gateway, budget: &str, prepaid: Tokens) -> Policy {
    let routers = gw.router_count.get() as usize;
    let holders = gw.peers.homes.holder_count(gw.settings.link_advertise, budget, routers);
    let interval = Millis(gw.report_interval().as_millis() as u64);
    Policy::for_holder(prepaid, holders, interval, gw.settings.spending_hold_off)
}

/// The rounds in which a request reserves tokens at the homes of its budget.
#[derive(Clone, Copy)]
enum Round {
    /// The homes in this data centre, for the tokens that they have or get at short notice.
    Local,
    /// One home in each other data centre, for the tokens that it has.
    Remote,
    /// One home in this data centre again, for the tokens that the control group recalls.
    Recall,
}

impl Round {
    fn homes(self, gw: &Gateway, budget: &str) -> Vec<SocketAddr> {
        let (homes, own) = (&gw.peers.homes, gw.settings.link_advertise);
        match self {
            Round::Local => homes.for_budget(gw.now(), own, budget),
            Round::Remote => homes.remote_homes(gw.now(), own, budget),
            Round::Recall => homes.for_budget(gw.now(), own, budget).into_iter().take(1).collect(),
        }
    }

    /// Returns how long a home may wait for tokens.
    fn wait(self) -> Duration {
        match self {
            Round::Local => SHORT_WAIT,
            Round::Remote => Duration::ZERO,
            Round::Recall => HOME_RECALL_WAIT,
        }
    }
}

/// Reserves tokens at the budget's homes, in the order of [`Round`], and takes parts from several if none
/// has all. On failure every part is released.
async fn reserve_at_homes(gw: &Gateway, demand: &TokenDemand<'_>) -> Result<Vec<Part>, Unreserved> {
    let mut parts: Vec<Part> = Vec::new();
    let mut missing = demand.max_tokens;
    let mut reason = None;
    'rounds: for round in [Round::Local, Round::Remote, Round::Recall] {
        for home in round.homes(gw, &demand.budget) {
            let left = demand.deadline.saturating_duration_since(Instant::now());
            let (part, shortfall) =
                reserve_at_home(gw, demand, home, missing, round.wait().min(left)).await;
            missing -= part.as_ref().map_or(0, Part::amount);
            parts.extend(part);
            if missing == 0 {
                return Ok(parts);
            }
            reason = combine_reasons(reason, shortfall);
            if reason == Some(Shortfall::Spent) {
                break 'rounds;
            }
        }
    }
    let reserved = demand.max_tokens - missing;
    parts.into_iter().for_each(|part| part.settle(0));
    let limit_allows_in = match reason {
        Some(Shortfall::Limited(after)) => Some(after),
        _ => None,
    };
    Err(Unreserved { refusal: homes_refusal(demand, reason, reserved), limit_allows_in })
}

/// Reserves up to `tokens` at one home, waiting up to `within`. Returns the reserved part, and the reason if
/// it is less than requested.
async fn reserve_at_home(
    gw: &Gateway,
    demand: &TokenDemand<'_>,
    home: SocketAddr,
    tokens: Tokens,
    within: Duration,
) -> (Option<Part>, Option<Shortfall>) {
    if home != gw.settings.link_advertise {
        let (part, shortfall) =
            gw.peers.borrow_from_home(gw, home, demand.account, tokens, within).await;
        return (part.map(Part::Borrowed), shortfall);
    }
    let until = Instant::now() + within;
    let Some(token_store) = gw.wait_for_token_store(until).await else {
        return (None, Some(Shortfall::Closed));
    };
    let PartialReservation { reserved, shortfall } =
        token_store.reserve_up_to(&demand.budget, demand.policy, tokens, until).await;
    let to_part = |(grantor, reservation)| {
        Part::Own(OwnReservation {
            token_store,
            grantor,
            budget: demand.budget.clone(),
            reservation,
        })
    };
    (reserved.map(to_part), shortfall)
}

/// Combines the reasons of two homes into the one reported to the caller: a spent budget wins over any
/// retry time, and the earlier of two retry times of the same kind wins.
fn combine_reasons(a: Option<Shortfall>, b: Option<Shortfall>) -> Option<Shortfall> {
    let rank = |s: &Shortfall| match s {
        Shortfall::Spent => (0, Millis(0)),
        Shortfall::Limited(after) => (1, *after),
        Shortfall::Busy(after) => (2, *after),
        Shortfall::Closed => (3, Millis(0)),
    };
    [a, b].into_iter().flatten().min_by_key(rank)
}

/// Returns the refusal after the homes could reserve only the tokens `reserved`.
fn homes_refusal(demand: &TokenDemand<'_>, reason: Option<Shortfall>, reserved: Tokens) -> Refusal {
    let (account, max_tokens) = (demand.account, demand.max_tokens);
    let detail =
        format!("account {account}, {max_tokens} wanted, {reserved} at its homes, {reason:?}");
    let after = match reason {
        Some(Shortfall::Spent) => return Refusal::from(Code::BudgetTooSmall).detail(detail),
        Some(Shortfall::Busy(after)) => after.clamp(MIN_HOME_RETRY_AFTER, MAX_HOME_RETRY_AFTER),
        // An earlier retry would be refused again.
        Some(Shortfall::Limited(after)) => after.max(MIN_HOME_RETRY_AFTER),
        _ => DEFAULT_RETRY_AFTER,
    };
    Refusal::from(Code::BudgetUnreachable).retry_after(after).detail(detail)
}

/// Reserves tokens in this gateway's own slices and, if those do not suffice, in those of other gateways.
async fn reserve_locally(gw: &Gateway, demand: &TokenDemand<'_>) -> Result<Vec<Part>, Unreserved> {
    let not_ready = || Refusal::from(Code::BudgetUnreachable).retry_after(DEFAULT_RETRY_AFTER);
    let TokenDemand { account, budget, policy, max_tokens, deadline } = demand;
    let (policy, max_tokens, deadline) = (*policy, *max_tokens, *deadline);
    let registered = deadline.min(Instant::now() + RECALL_WAIT);
    let token_store = gw.wait_for_token_store(registered).await.ok_or_else(not_ready)?;
    let to_part = |grantor, reservation| {
        let (token_store, budget) = (token_store.clone(), budget.clone());
        Part::Own(OwnReservation { token_store, grantor, budget, reservation })
    };
    // The order is: tokens available at short notice, idle tokens of other gateways, recalled tokens.
    let short_until = deadline.min(Instant::now() + SHORT_WAIT);
    if let Ok((grantor, r)) = token_store.set_aside(budget, policy, max_tokens, short_until).await {
        return Ok(vec![to_part(grantor, r)]);
    }
    let part =
        token_store.reserve_part(budget, policy, max_tokens).map(|r| to_part(Grantor::Group, r));
    let reserved = part.as_ref().map_or(0, Part::amount);
    if let Some(borrowed) = gw.peers.borrow(gw, account, max_tokens - reserved).await {
        return Ok(part.into_iter().chain(borrowed.into_iter().map(Part::Borrowed)).collect());
    }
    if let Some(part) = part {
        part.settle(0);
    }
    let until = deadline.min(Instant::now() + RECALL_WAIT);
    match token_store.set_aside(budget, policy, max_tokens, until).await {
        Ok((grantor, r)) => Ok(vec![to_part(grantor, r)]),
        Err(r) => {
            let available = token_store.available(budget, policy, max_tokens);
            let limit_allows_in = available.limit_retry_after;
            let refusal = local_refusal(r, account, max_tokens, available);
            Err(Unreserved { refusal, limit_allows_in })
        }
    }
}

/// Returns the refusal after a local reservation failed with `r`. `available` is what this gateway has.
fn local_refusal(r: Refusal, account: &str, max_tokens: Tokens, available: Available) -> Refusal {
    let Available { idle, allowed, limit_retry_after } = available;
    let retry_after = limit_retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
    let text = r.code.text();
    let detail =
        format!("{text}; account {account}, {max_tokens} wanted, {idle} idle, {allowed} allowed");
    match r.code {
        Code::BudgetSpent => Refusal::from(Code::BudgetTooSmall).detail(detail),
        _ => Refusal::from(Code::BudgetUnreachable).retry_after(retry_after).detail(detail),
    }
}

/// Begins to spend `own` tokens, or borrowed ones in their place, and adds them to `parts`. Returns false if neither
/// is possible by `deadline`.
async fn begin_part(
    gw: &Gateway,
    account: &str,
    mut own: OwnReservation,
    deadline: Instant,
    parts: &mut Vec<Part>,
) -> bool {
    if !own.begin(deadline.min(Instant::now() + SHORT_WAIT)).await {
        let needed = own.reservation.amount();
        if let Some(borrowed) = gw.peers.borrow(gw, account, needed).await {
            own.settle(0);
            parts.extend(borrowed.into_iter().map(Part::Borrowed));
            return true;
        }
        if !own.begin(deadline).await {
            parts.push(Part::Own(own));
            return false;
        }
    }
    parts.push(Part::Own(own));
    true
}

impl TokenReservation {
    /// Begins to spend the tokens; must precede the forwarding of any of the response. Where the limit of this
    /// gateway is too low, tokens of other gateways take their place. Returns false if none of them may be spent
    /// by `deadline`.
    pub async fn begin(&mut self, gw: &Gateway, account: &str, deadline: Instant) -> bool {
        let mut parts = Vec::with_capacity(self.parts.len());
        let mut begun = true;
        for part in std::mem::take(&mut self.parts) {
            match part {
                Part::Own(own) => begun &= begin_part(gw, account, own, deadline, &mut parts).await,
                // Its lender counts a loan as being spent from the start.
                Part::Borrowed(_) => parts.push(part),
            }
        }
        self.parts = parts;
        begun
    }

    /// Ends the reservation: charges the used tokens, at most the reserved ones, and releases the rest.
    pub fn settle(self, usage: &TokenUsage) {
        let parts: Vec<Tokens> = self.parts.iter().map(Part::amount).collect();
        for (part, charge) in self.parts.into_iter().zip(split_charge(&parts, usage.charge())) {
            part.settle(charge);
        }
    }
}
