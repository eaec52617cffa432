//! Admission control of a service: a concurrency limit and a bounded priority queue.

use std::collections::{BTreeMap, VecDeque};

use crate::config::Priority;
use crate::unit::{Millis, Time};

/// The newest run time enters the moving average with weight `1 / SMOOTHING`.
const SMOOTHING: u64 = 8;

/// Identifies a request at its limiter.
pub type Ticket = u64;

/// A request in the queue of a limiter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Identifies it at the limiter.
    pub ticket: Ticket,
    /// The client account that sent it.
    pub client_account: String,
    /// Its priority; `Live` is served first.
    pub priority: Priority,
    /// The latest time at which it may start.
    pub deadline: Time,
    /// Concurrency limit of its client account.
    pub concurrency: u32,
}

/// The result of [`Limiter::submit`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request runs now.
    Started,
    /// The request is queued.
    Queued,
    /// The request is queued and evicts this one, whose caller is to retry after the given time.
    Displaced(Ticket, Millis),
    /// The request is refused; its caller is to retry after the given time.
    Refused(Millis),
}

/// The limiter of one service at one router.
///
/// A free slot goes to the highest queued priority, within it to the client account with the fewest
/// running requests, and of its requests to the oldest. A full queue evicts the newest request of
/// the client account with the most queued requests at the lowest priority.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    limit: u32,
    queue_capacity: usize,
    waiting: BTreeMap<Priority, VecDeque<QueuedRequest>>,
    running: BTreeMap<String, u32>,
    mean_run: Millis,
}

impl Limiter {
    /// Creates a limiter that runs up to `limit` requests and queues up to `queue_capacity`.
    pub fn new(limit: u32, queue_capacity: u32) -> Limiter {
        Limiter { limit, queue_capacity: queue_capacity as usize, ..Limiter::default() }
    }

    /// Changes the limits. Running and queued requests are not affected.
    pub fn set_limits(&mut self, limit: u32, queue_capacity: u32) {
        self.limit = limit;
        self.queue_capacity = queue_capacity as usize;
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> u32 {
        self.running.values().sum()
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.waiting.values().map(VecDeque::len).sum()
    }

    /// Starts, queues or refuses a request. It is refused if it would miss its deadline, or if the
    /// queue is full and holds no request to evict for it.
    pub fn submit(&mut self, now: Time, request: QueuedRequest) -> Admission {
        if self.waiting() == 0 && self.can_start(&request) {
            self.start(&request.client_account);
            return Admission::Started;
        }
        let wait = self.expected_wait(request.priority);
        if now.after(wait) > request.deadline {
            return Admission::Refused(wait);
        }
        if self.waiting() < self.queue_capacity {
            self.enqueue(request);
            return Admission::Queued;
        }
        match self.eviction_candidate(&request) {
            Some(victim) => {
                let wait = self.expected_wait(Priority::Bulk);
                self.remove(victim);
                self.enqueue(request);
                Admission::Displaced(victim, wait)
            }
            None => Admission::Refused(wait),
        }
    }

    fn enqueue(&mut self, request: QueuedRequest) {
        self.waiting.entry(request.priority).or_default().push_back(request);
    }

    fn can_start(&self, request: &QueuedRequest) -> bool {
        self.running() < self.limit
            && self.running_of(&request.client_account) < request.concurrency
    }

    fn running_of(&self, client_account: &str) -> u32 {
        self.running.get(client_account).copied().unwrap_or(0)
    }

    fn start(&mut self, client_account: &str) {
        *self.running.entry(client_account.to_owned()).or_default() += 1;
    }

    /// Returns the queued request to evict in favour of `request`, or `None` if `request` itself
    /// ranks lowest.
    fn eviction_candidate(&self, request: &QueuedRequest) -> Option<Ticket> {
        let (priority, queue) = self.waiting.iter().rev().find(|(_, q)| !q.is_empty())?;
        let queued_of =
            |account: &str| queue.iter().filter(|x| x.client_account == account).count();
        let most = queue.iter().map(|x| queued_of(&x.client_account)).max()?;
        let outranked = *priority > request.priority
            || (*priority == request.priority && most > queued_of(&request.client_account) + 1);
        let victim = queue.iter().rev().find(|x| queued_of(&x.client_account) == most)?;
        outranked.then_some(victim.ticket)
    }

    /// Removes a queued request whose caller disconnected or was refused.
    pub fn remove(&mut self, ticket: Ticket) {
        for q in self.waiting.values_mut() {
            q.retain(|w| w.ticket != ticket);
        }
    }

    /// Records the end of a started request. `run_time` updates the average; `None` leaves it
    /// unchanged.
    pub fn release(&mut self, client_account: &str, run_time: Option<Millis>) {
        if let Some(n) = self.running.get_mut(client_account) {
            *n = n.saturating_sub(1);
        }
        self.running.retain(|_, n| *n > 0);
        let Some(run_time) = run_time else { return };
        let mean = self.mean_run.0;
        self.mean_run = Millis(mean - mean / SMOOTHING + run_time.0.div_ceil(SMOOTHING));
    }

    /// Starts the next queued request that the limits allow and returns its ticket. To be called
    /// until it returns `None`.
    pub fn start_next(&mut self) -> Option<Ticket> {
        if self.running() >= self.limit {
            return None;
        }
        let priorities: Vec<_> = self.waiting.keys().copied().collect();
        priorities.into_iter().find_map(|p| self.start_next_of(p))
    }

    fn start_next_of(&mut self, priority: Priority) -> Option<Ticket> {
        let queue = self.waiting.get(&priority)?;
        let below_limit = |w: &&QueuedRequest| self.running_of(&w.client_account) < w.concurrency;
        let next =
            queue.iter().filter(below_limit).min_by_key(|w| self.running_of(&w.client_account))?;
        let (ticket, client_account) = (next.ticket, next.client_account.clone());
        self.remove(ticket);
        self.start(&client_account);
        Some(ticket)
    }

    /// Returns the expected queueing time of a new request of this priority.
    pub fn expected_wait(&self, priority: Priority) -> Millis {
        let ahead: usize = self.waiting.range(..=priority).map(|(_, q)| q.len()).sum();
        let free = self.limit.saturating_sub(self.running());
        let ahead = (ahead as u64 + 1).saturating_sub(u64::from(free));
        self.mean_run.scale(ahead, u64::from(self.limit.max(1)))
    }
}
