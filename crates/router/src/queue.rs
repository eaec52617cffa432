//! Concurrency limit of one service, with a queue of waiting requests.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::code::Code;
use cypressfork_core::config::Priority;
use cypressfork_core::route::{Admission, Limiter, QueuedRequest, Ticket};
use cypressfork_core::unit::{Millis, Time};
use cypressfork_node::time::Clock;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

use crate::reply::Refusal;

/// Minimum retry delay for refused requests.
const MIN_RETRY_AFTER: Millis = Millis(200);

struct Waiter {
    tx: oneshot::Sender<Result<(), Refusal>>,
    client_account: String,
}

/// Concurrency limiter of one service and the requests that wait for a permit.
pub struct Queue {
    clock: Clock,
    limiter: RefCell<Limiter>,
    waiting: RefCell<HashMap<Ticket, Waiter>>,
    last_ticket: Cell<Ticket>,
}

/// A permit for one running request, released when dropped.
pub struct Permit {
    queue: Rc<Queue>,
    client_account: String,
    since: Time,
}

/// A queued request, removed from the queue when dropped. A permit that was granted but not
/// received is released.
struct QueueEntry<'a> {
    queue: &'a Queue,
    ticket: Ticket,
    client_account: &'a str,
    rx: oneshot::Receiver<Result<(), Refusal>>,
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        self.queue.waiting.borrow_mut().remove(&self.ticket);
        self.queue.limiter.borrow_mut().remove(self.ticket);
        if matches!(self.rx.try_recv(), Ok(Ok(()))) {
            self.queue.limiter.borrow_mut().release(self.client_account, None);
            self.queue.start_waiting();
        }
    }
}

fn refusal(code: Code, wait: Millis) -> Refusal {
    Refusal::from(code).retry_after(wait.max(MIN_RETRY_AFTER))
}

impl Queue {
    /// Creates a limiter for `limit` running and `queue_capacity` waiting requests.
    pub fn new(clock: Clock, limit: u32, queue_capacity: u32) -> Queue {
        Queue {
            clock,
            limiter: RefCell::new(Limiter::new(limit, queue_capacity)),
            waiting: RefCell::default(),
            last_ticket: Cell::new(0),
        }
    }

    /// Changes the limits and starts waiting requests that they allow.
    pub fn set_limits(&self, limit: u32, queue_capacity: u32) {
        self.limiter.borrow_mut().set_limits(limit, queue_capacity);
        self.start_waiting();
    }

    /// Acquires a permit, waiting until `deadline` at most. At most `concurrency` requests of the
    /// client account run at once.
    ///
    /// Returns the refusal for the caller if the queue is full, the request would miss its
    /// deadline, or another request evicts it.
    pub async fn acquire(
        self: &Rc<Self>,
        client_account: &str,
        concurrency: u32,
        priority: Priority,
        deadline: Instant,
    ) -> Result<Permit, Refusal> {
        let ticket = self.last_ticket.get() + 1;
        self.last_ticket.set(ticket);
        let now = self.clock.now();
        let left = deadline.saturating_duration_since(Instant::now());
        let queued = QueuedRequest {
            ticket,
            client_account: client_account.to_owned(),
            priority,
            deadline: now.after(millis(left)),
            concurrency,
        };
        let admission = self.limiter.borrow_mut().submit(now, queued);
        match admission {
            Admission::Started => return Ok(self.permit(client_account)),
            Admission::Refused(wait) => return Err(refusal(Code::Overloaded, wait)),
            Admission::Displaced(victim, wait) => {
                self.notify(victim, Err(refusal(Code::Overloaded, wait)));
            }
            Admission::Queued => {}
        }
        self.wait(ticket, client_account, deadline).await
    }

    async fn wait(
        self: &Rc<Self>,
        ticket: Ticket,
        client_account: &str,
        deadline: Instant,
    ) -> Result<Permit, Refusal> {
        let (tx, rx) = oneshot::channel();
        let waiter = Waiter { tx, client_account: client_account.to_owned() };
        self.waiting.borrow_mut().insert(ticket, waiter);
        let mut entry = QueueEntry { queue: self, ticket, client_account, rx };
        match timeout_at(deadline, &mut entry.rx).await {
            Ok(Ok(Ok(()))) => Ok(self.permit(client_account)),
            Ok(Ok(Err(r))) => Err(r),
            _ => Err(refusal(Code::DeadlinePassed, Millis::seconds(1))),
        }
    }

    fn permit(self: &Rc<Self>, client_account: &str) -> Permit {
        let (queue, since) = (self.clone(), self.clock.now());
        Permit { queue, client_account: client_account.to_owned(), since }
    }

    /// Sends a waiting request its result. Returns whether the request was still waiting.
    fn notify(&self, ticket: Ticket, result: Result<(), Refusal>) -> bool {
        let waiter = self.waiting.borrow_mut().remove(&ticket);
        waiter.is_some_and(|w| w.tx.send(result).is_ok())
    }

    /// Starts the waiting requests that the limits allow now.
    fn start_waiting(&self) {
        loop {
            let next = self.limiter.borrow_mut().start_next();
            let Some(ticket) = next else { return };
            let account = self.waiting.borrow().get(&ticket).map(|w| w.client_account.clone());
            if !self.notify(ticket, Ok(()))
                && let Some(account) = account
            {
                self.limiter.borrow_mut().release(&account, None);
            }
        }
    }

    /// Returns the numbers of running and waiting requests.
    pub fn load(&self) -> (u32, usize) {
        let limiter = self.limiter.borrow();
        (limiter.running(), limiter.waiting())
    }
}

fn millis(d: Duration) -> Millis {
    Millis(d.as_millis() as u64)
}

impl Drop for Permit {
    fn drop(&mut self) {
        let ran = self.queue.clock.now().since(self.since);
        self.queue.limiter.borrow_mut().release(&self.client_account, Some(ran));
        self.queue.start_waiting();
    }
}
