//! The tokens that a request sets aside before it is sent.

use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::budget::{Policy, Reservation};
use cypressfork_core::code::Code;
use cypressfork_core::fleet::document::budget_name;
use cypressfork_core::fleet::share::charges;
use cypressfork_core::unit::{Millis, Tokens};
use tokio::time::Instant;

use super::dialect::Prompt;
use super::share::Borrowed;
use super::state::Gateway;
use crate::reply::Refusal;
use crate::token_store::{Source, TokenStore};

/// How long a request waits for more tokens before peers are asked.
const QUICK: Duration = Duration::from_millis(60);

/// How long it waits for tokens to be called back after that.
const WAIT: Duration = Duration::from_millis(400);

/// When to come back while tokens are elsewhere.
const AGAIN_AFTER: Millis = Millis(700);

/// Events that a replica may have sent unseen when a stream breaks off.
const UNSEEN: u64 = 2;

/// Tokens set aside for one request. Whatever becomes of it, [`Held::settle`] ends it.
pub struct Held {
    own: Option<Own>,
    /// What other gateways have set aside for it.
    borrowed: Vec<Borrowed>,
    prompt: Tokens,
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

/// What became of a request's tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spent {
    /// A replica may have run it.
    pub ran: bool,
    /// Events that were taken from replicas.
    pub events: u64,
    /// Tokens of one event at most.
    pub stride: Tokens,
    /// The answer ended as it should.
    pub whole: bool,
}

/// Sets aside what a request takes at its most.
pub async fn hold(
    gw: &Gateway,
    account: &str,
    prepaid: Tokens,
    prompt: &Prompt,
    deadline: Instant,
) -> Result<Held, Refusal> {
    let not_ready = || Refusal::from(Code::BudgetUnreachable).after(AGAIN_AFTER);
    let registered = deadline.min(Instant::now() + WAIT);
    let token_store = gw.wait_for_token_store(registered).await.ok_or_else(not_ready)?;
    let budget = budget_name(account);
    let most = prompt.tokens.saturating_add(prompt.most);
    let policy = Policy::for_prepaid(prepaid);
    let own = |source, reservation| {
        let (token_store, budget) = (token_store.clone(), budget.clone());
        Own { token_store, source, budget, reservation }
    };
    let held = |own, borrowed| Held { own, borrowed, prompt: prompt.tokens };
    // First what can be had at once, then what peers can spare, then what the group calls back.
    let quick = deadline.min(Instant::now() + QUICK);
    if let Ok((source, r)) = token_store.reserve(&budget, policy, most, quick).await {
        return Ok(held(Some(own(source, r)), Vec::new()));
    }
    let part = token_store.reserve_part(&budget, policy, most).map(|r| own(Source::Group, r));
    let at_hand = part.as_ref().map_or(0, |o| o.reservation.amount());
    if let Some(borrowed) = gw.share.borrow(gw, account, most - at_hand).await {
        return Ok(held(part, borrowed));
    }
    if let Some(part) = part {
        part.settle(0);
    }
    let until = deadline.min(Instant::now() + WAIT);
    match token_store.reserve(&budget, policy, most, until).await {
        Ok((source, r)) => Ok(held(Some(own(source, r)), Vec::new())),
        Err(r) => Err(refusal(r, account, most, token_store.at_hand(&budget, policy))),
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
    /// Ends it. A stream that broke off is charged for events that may have been sent unseen.
    pub fn settle(self, s: Spent) {
        let events = if s.whole { s.events } else { s.events + UNSEEN };
        let used = if s.ran { self.prompt + events * s.stride } else { 0 };
        let own = self.own.as_ref().map_or(0, |o| o.reservation.amount());
        let lent = self.borrowed.iter().map(Borrowed::amount);
        let parts: Vec<Tokens> = [own].into_iter().chain(lent).collect();
        let mut charged = charges(&parts, used).into_iter();
        let own_charge = charged.next().unwrap_or(0);
        if let Some(own) = self.own {
            own.settle(own_charge);
        }
        for (part, charge) in self.borrowed.into_iter().zip(charged) {
            part.settle(charge);
        }
    }
}
