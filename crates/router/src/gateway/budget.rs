//! The tokens that a request sets aside before it is sent.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::budget::{Policy, Reservation};
use cypressfork_core::code::Code;
use cypressfork_core::fleet::document::budget_name;
use cypressfork_core::fleet::share::{Shortfall, split_charge};
use cypressfork_core::unit::{Millis, Tokens};
use tokio::time::Instant;

use super::dialect::Prompt;
use super::share::Borrowed;
use super::state::Gateway;
use crate::reply::Refusal;
use crate::taken::{Source, Taken};
use crate::token_store::TokenStore;

/// How long a request waits for more tokens before peers are asked.
const QUICK: Duration = Duration::from_millis(60);

/// How long a request waits at a home for tokens to be called back. The rounds before it take up to
/// two times [`QUICK`] and a message to each data centre.
const LAST_WAIT: Duration = Duration::from_millis(200);

/// How long it waits for tokens to be called back after that.
const WAIT: Duration = Duration::from_millis(400);

/// When to come back while tokens are elsewhere.
const AGAIN_AFTER: Millis = Millis(700);

/// The times to come back that a caller is told while tokens are elsewhere, at least and at most.
const BUSY_LEAST: Millis = Millis(300);
const BUSY_MOST: Millis = Millis::seconds(2);

/// Tokens set aside for one request. Whatever becomes of it, [`Held::settle`] ends it.
#[derive(Default)]
pub struct Held {
    parts: Vec<Part>,
    prompt: Tokens,
}

/// A part of a request's tokens.
enum Part {
    /// In this gateway's own slices.
    Own(Own),
    /// Set aside by another gateway.
    Borrowed(Borrowed),
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

/// Tokens set aside in this gateway's own slices.
struct Own {
    token_store: Rc<TokenStore>,
    source: Source,
    budget: String,
    reservation: Reservation,
}

impl Own {
    fn settle(self, used: Tokens) {
        self.token_store.settle(self.source, &self.budget, self.reservation, used);
    }
}

/// What a request needs of a budget.
struct Need<'a> {
    account: &'a str,
    budget: String,
    policy: Policy,
    /// What it takes at its most.
    most: Tokens,
    deadline: Instant,
}

/// What became of a request's tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spent {
    /// A replica may have run it.
    pub ran: bool,
    /// Events that were taken from replicas.
    pub events: u64,
    /// Tokens of one event at most.
    pub stride: Tokens,
    /// Events that a replica may have made besides; none if the answer ended as it should.
    pub unseen: u64,
}

/// Sets aside what a request takes at its most.
pub async fn hold(
    gw: &Gateway,
    account: &str,
    prepaid: Tokens,
    prompt: &Prompt,
    deadline: Instant,
) -> Result<Held, Refusal> {
    let need = Need {
        account,
        budget: budget_name(account),
        policy: Policy::for_prepaid(prepaid),
        most: prompt.tokens.saturating_add(prompt.most),
        deadline,
    };
    gw.share.homes.note_request(gw.now(), &need.budget);
    let parts = match gw.share.homes.of(gw.now(), gw.settings.link, &need.budget).is_empty() {
        true => hold_here(gw, &need).await?,
        false => hold_at_homes(gw, &need).await?,
    };
    Ok(Held { parts, prompt: prompt.tokens })
}

/// The rounds in which a request asks the homes of its budget.
#[derive(Clone, Copy)]
enum Round {
    /// Those of the own data centre, for what they have or can have at once.
    Near,
    /// One of each other data centre, for what it has.
    Elsewhere,
    /// One of the own data centre again, for what the group calls back.
    Last,
}

impl Round {
    fn homes(self, gw: &Gateway, budget: &str) -> Vec<SocketAddr> {
        let (homes, own) = (&gw.share.homes, gw.settings.link);
        match self {
            Round::Near => homes.of(gw.now(), own, budget),
            Round::Elsewhere => homes.elsewhere(gw.now(), own, budget),
            Round::Last => homes.of(gw.now(), own, budget).into_iter().take(1).collect(),
        }
    }

    /// How long a home may wait for tokens.
    fn wait(self) -> Duration {
        match self {
            Round::Near => QUICK,
            Round::Elsewhere => Duration::ZERO,
            Round::Last => LAST_WAIT,
        }
    }
}

/// Sets tokens aside at the budget's homes, a part at each if none has all: first what those of
/// the own data centre have, then what those elsewhere have, then what the group gives.
async fn hold_at_homes(gw: &Gateway, need: &Need<'_>) -> Result<Vec<Part>, Refusal> {
    let mut parts: Vec<Part> = Vec::new();
    let mut missing = need.most;
    let mut reason = None;
    'rounds: for round in [Round::Near, Round::Elsewhere, Round::Last] {
        for home in round.homes(gw, &need.budget) {
            let left = need.deadline.saturating_duration_since(Instant::now());
            let (part, short) = hold_at(gw, need, home, missing, round.wait().min(left)).await;
            missing -= part.as_ref().map_or(0, Part::amount);
            parts.extend(part);
            if missing == 0 {
                return Ok(parts);
            }
            reason = of_both(reason, short);
            if reason == Some(Shortfall::Spent) {
                break 'rounds;
            }
        }
    }
    let at_hand = need.most - missing;
    parts.into_iter().for_each(|part| part.settle(0));
    Err(not_held(need, reason, at_hand))
}

/// Sets aside what one home has of `tokens`.
async fn hold_at(
    gw: &Gateway,
    need: &Need<'_>,
    home: SocketAddr,
    tokens: Tokens,
    within: Duration,
) -> (Option<Part>, Option<Shortfall>) {
    if home != gw.settings.link {
        let (part, short) = gw.share.hold(gw, home, need.account, tokens, within).await;
        return (part.map(Part::Borrowed), short);
    }
    let until = Instant::now() + within;
    let Some(token_store) = gw.wait_for_token_store(until).await else {
        return (None, Some(Shortfall::Closed));
    };
    let Taken { part, short } = token_store.take(&need.budget, need.policy, tokens, until).await;
    let own = |(source, reservation)| {
        Part::Own(Own { token_store, source, budget: need.budget.clone(), reservation })
    };
    (part.map(own), short)
}

/// What callers are told of the reasons of two homes: that the budget is spent before when to come
/// back, and the sooner of two times.
fn of_both(a: Option<Shortfall>, b: Option<Shortfall>) -> Option<Shortfall> {
    let rank = |s: &Shortfall| match s {
        Shortfall::Spent => (0, Millis(0)),
        Shortfall::Limited(after) => (1, *after),
        Shortfall::Busy(after) => (2, *after),
        Shortfall::Closed => (3, Millis(0)),
    };
    [a, b].into_iter().flatten().min_by_key(rank)
}

fn not_held(need: &Need<'_>, reason: Option<Shortfall>, at_hand: Tokens) -> Refusal {
    let (account, most) = (need.account, need.most);
    let why = format!("account {account}, {most} wanted, {at_hand} at its homes, {reason:?}");
    let after = match reason {
        Some(Shortfall::Spent) => return Refusal::from(Code::BudgetTooSmall).detail(why),
        Some(Shortfall::Busy(after) | Shortfall::Limited(after)) => {
            after.clamp(BUSY_LEAST, BUSY_MOST)
        }
        _ => AGAIN_AFTER,
    };
    Refusal::from(Code::BudgetUnreachable).after(after).detail(why)
}

/// Sets tokens aside in this gateway's own slices, or in those of peers.
async fn hold_here(gw: &Gateway, need: &Need<'_>) -> Result<Vec<Part>, Refusal> {
    let not_ready = || Refusal::from(Code::BudgetUnreachable).after(AGAIN_AFTER);
    let Need { account, budget, policy, most, deadline } = need;
    let (policy, most, deadline) = (*policy, *most, *deadline);
    let registered = deadline.min(Instant::now() + WAIT);
    let token_store = gw.wait_for_token_store(registered).await.ok_or_else(not_ready)?;
    let own = |source, reservation| {
        let (token_store, budget) = (token_store.clone(), budget.clone());
        Part::Own(Own { token_store, source, budget, reservation })
    };
    // First what can be had at once, then what peers can spare, then what the group calls back.
    let quick = deadline.min(Instant::now() + QUICK);
    if let Ok((source, r)) = token_store.reserve(budget, policy, most, quick).await {
        return Ok(vec![own(source, r)]);
    }
    let part = token_store.reserve_part(budget, policy, most).map(|r| own(Source::Group, r));
    let at_hand = part.as_ref().map_or(0, Part::amount);
    if let Some(borrowed) = gw.share.borrow(gw, account, most - at_hand).await {
        return Ok(part.into_iter().chain(borrowed.into_iter().map(Part::Borrowed)).collect());
    }
    if let Some(part) = part {
        part.settle(0);
    }
    let until = deadline.min(Instant::now() + WAIT);
    match token_store.reserve(budget, policy, most, until).await {
        Ok((source, r)) => Ok(vec![own(source, r)]),
        Err(r) => Err(refusal(r, account, most, token_store.at_hand(budget, policy))),
    }
}

fn refusal(r: Refusal, account: &str, most: Tokens, at_hand: (Tokens, Tokens)) -> Refusal {
    let (idle, allowed) = at_hand;
    let text = r.code.text();
    let why = format!("{text}; account {account}, {most} wanted, {idle} idle, {allowed} allowed");
    match r.code {
        Code::BudgetSpent => Refusal::from(Code::BudgetTooSmall).detail(why),
        _ => Refusal::from(Code::BudgetUnreachable).after(AGAIN_AFTER).detail(why),
    }
}

impl Held {
    /// Ends it. A stream that broke off is charged for events that may have been made unseen, up to the most
    /// that it may have.
    pub fn settle(self, s: Spent) {
        let events = s.events.saturating_add(s.unseen);
        let made = events.saturating_mul(s.stride);
        let used = if s.ran { self.prompt.saturating_add(made) } else { 0 };
        let parts: Vec<Tokens> = self.parts.iter().map(Part::amount).collect();
        for (part, charge) in self.parts.into_iter().zip(split_charge(&parts, used)) {
            part.settle(charge);
        }
    }
}
