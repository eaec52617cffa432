//! Admission to a service: a limit on what runs, and a bounded queue by priority.

use std::collections::{BTreeMap, VecDeque};

use crate::config::Priority;
use crate::unit::{Millis, Time};

/// Weight of the newest run in the mean time of a run, as a divisor.
const SMOOTHING: u64 = 8;

/// The number of a request at its limiter.
pub type Ticket = u64;

/// A request that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// Its number.
    pub ticket: Ticket,
    /// Who sent it.
    pub client_account: String,
    /// Its class.
    pub priority: Priority,
    /// When it must have started.
    pub deadline: Time,
    /// How many of its client account's requests may run at once.
    pub concurrency: u32,
}

/// What became of a request that came to the limiter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Entered {
    /// It runs now.
    Run,
    /// It waits.
    Wait,
    /// It waits, and this one, worth less, is refused in its place.
    Instead(Ticket, Millis),
    /// It is refused; come back after this.
    Refused(Millis),
}

/// The limiter of one service at one router.
///
/// A free place goes to the most urgent class; within it to the client account with the fewest
/// requests running, and of its requests to the oldest. A full queue refuses what is worth least:
/// the least urgent class, of it the client account with the most waiting, of these the newest.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    limit: u32,
    room: usize,
    waiting: BTreeMap<Priority, VecDeque<Waiter>>,
    running: BTreeMap<String, u32>,
    mean_run: Millis,
}

impl Limiter {
    /// A limiter that lets `limit` requests run and `room` wait.
    pub fn new(limit: u32, room: u32) -> Limiter {
        Limiter { limit, room: room as usize, ..Limiter::default() }
    }

    /// Changes the limits; what runs or waits already goes on.
    pub fn set(&mut self, limit: u32, room: u32) {
        self.limit = limit;
        self.room = room as usize;
    }

    /// Requests that run.
    pub fn running(&self) -> u32 {
        self.running.values().sum()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.values().map(VecDeque::len).sum()
    }

    /// A request comes.
    pub fn enter(&mut self, now: Time, w: Waiter) -> Entered {
        if self.waiting() == 0 && self.fits(&w) {
            self.start(&w.client_account);
            return Entered::Run;
        }
        let wait = self.expected_wait(w.priority);
        if now.after(wait) > w.deadline {
            return Entered::Refused(wait);
        }
        if self.waiting() < self.room {
            self.push(w);
            return Entered::Wait;
        }
        match self.least_worth(&w) {
            Some(victim) => {
                let wait = self.expected_wait(Priority::Bulk);
                self.remove(victim);
                self.push(w);
                Entered::Instead(victim, wait)
            }
            None => Entered::Refused(wait),
        }
    }

    fn push(&mut self, w: Waiter) {
        self.waiting.entry(w.priority).or_default().push_back(w);
    }

    fn fits(&self, w: &Waiter) -> bool {
        self.running() < self.limit && self.running_of(&w.client_account) < w.concurrency
    }

    fn running_of(&self, client_account: &str) -> u32 {
        self.running.get(client_account).copied().unwrap_or(0)
    }

    fn start(&mut self, client_account: &str) {
        *self.running.entry(client_account.to_owned()).or_default() += 1;
    }

    /// The waiting request that is worth less than `w`, if any is.
    fn least_worth(&self, w: &Waiter) -> Option<Ticket> {
        let (priority, queue) = self.waiting.iter().rev().find(|(_, q)| !q.is_empty())?;
        let of = |a: &str| queue.iter().filter(|x| x.client_account == a).count();
        let most = queue.iter().map(|x| of(&x.client_account)).max()?;
        let less =
            *priority > w.priority || (*priority == w.priority && most > of(&w.client_account) + 1);
        let victim = queue.iter().rev().find(|x| of(&x.client_account) == most)?;
        less.then_some(victim.ticket)
    }

    /// Takes a waiting request away: its caller has gone, or it was refused.
    pub fn remove(&mut self, ticket: Ticket) {
        for q in self.waiting.values_mut() {
            q.retain(|w| w.ticket != ticket);
        }
    }

    /// A request that was let in has ended; `ran` tells how long it ran, if it did.
    pub fn leave(&mut self, client_account: &str, ran: Option<Millis>) {
        if let Some(n) = self.running.get_mut(client_account) {
            *n = n.saturating_sub(1);
        }
        self.running.retain(|_, n| *n > 0);
        let Some(span) = ran else { return };
        let mean = self.mean_run.0;
        self.mean_run = Millis(mean - mean / SMOOTHING + span.0.div_ceil(SMOOTHING));
    }

    /// The next request to start, counted as running from now on; call it until it gives none.
    pub fn admit(&mut self) -> Option<Ticket> {
        if self.running() >= self.limit {
            return None;
        }
        let priorities: Vec<_> = self.waiting.keys().copied().collect();
        priorities.into_iter().find_map(|p| self.admit_of(p))
    }

    fn admit_of(&mut self, priority: Priority) -> Option<Ticket> {
        let queue = self.waiting.get(&priority)?;
        let may = |w: &&Waiter| self.running_of(&w.client_account) < w.concurrency;
        let least = queue.iter().filter(may).min_by_key(|w| self.running_of(&w.client_account))?;
        let (ticket, client_account) = (least.ticket, least.client_account.clone());
        self.remove(ticket);
        self.start(&client_account);
        Some(ticket)
    }

    /// How long a request of this class would wait now.
    pub fn expected_wait(&self, priority: Priority) -> Millis {
        let ahead: usize = self.waiting.range(..=priority).map(|(_, q)| q.len()).sum();
        let free = self.limit.saturating_sub(self.running());
        let ahead = (ahead as u64 + 1).saturating_sub(u64::from(free));
        self.mean_run.scale(ahead, u64::from(self.limit.max(1)))
    }
}
