//! The limiter of one service, and the requests that wait at it.

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

/// The least time to come back after.
const AFTER_LEAST: Millis = Millis(200);

struct Waiting {
    tx: oneshot::Sender<Result<(), Refusal>>,
    client_account: String,
}

/// The limiter of one service.
pub struct Queue {
    clock: Clock,
    limiter: RefCell<Limiter>,
    waiting: RefCell<HashMap<Ticket, Waiting>>,
    tickets: Cell<Ticket>,
}

/// A place among the running requests, given up when dropped.
pub struct Permit {
    queue: Rc<Queue>,
    client_account: String,
    since: Time,
}

/// Takes a request out of the queue if its caller goes while it waits, or in the moment that it
/// was let in.
struct Place<'a> {
    queue: &'a Queue,
    ticket: Ticket,
    client_account: &'a str,
    rx: oneshot::Receiver<Result<(), Refusal>>,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.queue.waiting.borrow_mut().remove(&self.ticket);
        self.queue.limiter.borrow_mut().remove(self.ticket);
        if matches!(self.rx.try_recv(), Ok(Ok(()))) {
            self.queue.limiter.borrow_mut().release(self.client_account, None);
            self.queue.pump();
        }
    }
}

fn refused(code: Code, wait: Millis) -> Refusal {
    Refusal::from(code).after(wait.max(AFTER_LEAST))
}

impl Queue {
    /// A limiter that lets `limit` requests run and `room` wait.
    pub fn new(clock: Clock, limit: u32, room: u32) -> Queue {
        Queue {
            clock,
            limiter: RefCell::new(Limiter::new(limit, room)),
            waiting: RefCell::default(),
            tickets: Cell::new(0),
        }
    }

    /// Changes the limits.
    pub fn set(&self, limit: u32, room: u32) {
        self.limiter.borrow_mut().set_limits(limit, room);
        self.pump();
    }

    /// Waits for a place until `deadline` at most; a request that is given up hears at once.
    pub async fn enter(
        self: &Rc<Self>,
        client_account: &str,
        concurrency: u32,
        priority: Priority,
        deadline: Instant,
    ) -> Result<Permit, Refusal> {
        let ticket = self.tickets.get() + 1;
        self.tickets.set(ticket);
        let now = self.clock.now();
        let left = deadline.saturating_duration_since(Instant::now());
        let waiter = QueuedRequest {
            ticket,
            client_account: client_account.to_owned(),
            priority,
            deadline: now.after(millis(left)),
            concurrency,
        };
        let admission = self.limiter.borrow_mut().submit(now, waiter);
        match admission {
            Admission::Started => return Ok(self.permit(client_account)),
            Admission::Refused(wait) => return Err(refused(Code::Overloaded, wait)),
            Admission::Displaced(victim, wait) => {
                self.tell(victim, Err(refused(Code::Overloaded, wait)));
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
        let waiting = Waiting { tx, client_account: client_account.to_owned() };
        self.waiting.borrow_mut().insert(ticket, waiting);
        let mut place = Place { queue: self, ticket, client_account, rx };
        match timeout_at(deadline, &mut place.rx).await {
            Ok(Ok(Ok(()))) => Ok(self.permit(client_account)),
            Ok(Ok(Err(refusal))) => Err(refusal),
            _ => Err(refused(Code::DeadlinePassed, Millis::seconds(1))),
        }
    }

    fn permit(self: &Rc<Self>, client_account: &str) -> Permit {
        let (queue, since) = (self.clone(), self.clock.now());
        Permit { queue, client_account: client_account.to_owned(), since }
    }

    fn tell(&self, ticket: Ticket, word: Result<(), Refusal>) -> bool {
        let waiting = self.waiting.borrow_mut().remove(&ticket);
        waiting.is_some_and(|w| w.tx.send(word).is_ok())
    }

    /// Lets in whoever may run now.
    fn pump(&self) {
        loop {
            let next = self.limiter.borrow_mut().start_next();
            let Some(ticket) = next else { return };
            let client = self.waiting.borrow().get(&ticket).map(|w| w.client_account.clone());
            if !self.tell(ticket, Ok(()))
                && let Some(client) = client
            {
                self.limiter.borrow_mut().release(&client, None);
            }
        }
    }

    /// Requests that run and that wait.
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
        self.queue.pump();
    }
}
